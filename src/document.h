#ifndef SRC_DOCUMENT_H_
#define SRC_DOCUMENT_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/error.h"
#include "src/types.h"

// Defines the operators' configuration document: its parsed form, and the
// checks that it passes before it may be stored or put in force.

namespace crocuslatch {

struct FleetConfig {
  std::string name;
  // Number of ledger shards; cannot be changed after the first document.
  std::uint32_t ledger_shards = 16;
  bool operator==(const FleetConfig&) const = default;
};

// Ranks are listed from the most urgent to the least.
struct RankConfig {
  std::string name;
  // Latency target of the first token.
  Millis first_token{1700};
  // Latency target between two tokens.
  Millis between_tokens{37};
  // Guaranteed fraction of dispatched tokens while the rank has work, 0 to 1.
  double share = 0;
  // Maximum number of queued requests of the rank in one router.
  std::uint32_t max_queued = 1000;
  bool operator==(const RankConfig&) const = default;
};

struct ClientAccountConfig {
  std::string name;
  // Relative weight among the client accounts of one rank.
  double weight = 1;
  // Rank of requests that do not name one.
  std::string default_rank;
  // Ranks that the account may use; empty means all.
  std::vector<std::string> ranks;
  bool operator==(const ClientAccountConfig&) const = default;
};

struct ApiKeyConfig {
  // Lower-case hex SHA-256 of the key.
  std::string sha256;
  std::string client_account;
  // Budget of requests that do not name one.
  std::string budget;
  bool operator==(const ApiKeyConfig&) const = default;
};

struct BudgetConfig {
  std::string name;
  std::string client_account;
  // Total number of tokens ever paid for. A top-up raises it; it is never
  // lowered.
  Tokens prepaid = 0;
  bool operator==(const BudgetConfig&) const = default;
};

struct ModelConfig {
  std::string name;
  // Upper bound of tokens per prompt byte, used to reserve tokens before the
  // prompt is counted.
  double max_tokens_per_byte = 1.0;
  Tokens max_output_tokens = 4096;
  bool operator==(const ModelConfig&) const = default;
};

// A service without a model, such as the booking service.
struct ServiceConfig {
  std::string name;
  // False if a call may run at most once.
  bool repeatable = false;
  // Price of one call in tokens.
  Tokens cost = 1;
  Millis timeout{10000};
  bool operator==(const ServiceConfig&) const = default;
};

struct BackendServerConfig {
  std::string name;
  // "<IP address>:<port>"
  std::string address;
  std::string failure_domain;
  // Exactly one of the two is set.
  std::string model;
  std::string service;
  // Maximum number of concurrent requests at the server.
  std::uint32_t slots = 8;
  bool drain = false;
  // True if the server rejects an order with an outdated fencing token.
  bool checks_fence = false;
  bool operator==(const BackendServerConfig&) const = default;
};

struct LimitsConfig {
  std::uint32_t max_body_bytes = 1 << 20;
  Millis default_deadline{60000};
  // Maximum time without data on a model stream before it is resumed on another
  // backend server.
  Millis stall_timeout{2000};
  // Fraction of requests that may be retried on another backend server.
  double retry_budget = 0.1;
  // How long claims of orders are kept for deduplication.
  Millis order_retention{std::chrono::hours(24)};
  // How long bill keys are kept for deduplication.
  Millis bill_retention{std::chrono::hours(1)};
  bool operator==(const LimitsConfig&) const = default;
};

struct Document {
  FleetConfig fleet;
  LimitsConfig limits;
  std::vector<RankConfig> ranks;
  std::vector<ClientAccountConfig> client_accounts;
  std::vector<ApiKeyConfig> api_keys;
  std::vector<BudgetConfig> budgets;
  std::vector<ModelConfig> models;
  std::vector<ServiceConfig> services;
  std::vector<BackendServerConfig> backend_servers;
  bool operator==(const Document&) const = default;
};

// One error in a document. `line` is 0 if the error has no single line.
struct DocumentProblem {
  std::uint32_t line = 0;
  std::string message;
  std::string remedy;
  bool operator==(const DocumentProblem&) const = default;
};

// All problems of a rejected document; what() lists them, one per line.
class DocumentError : public UserError {
 public:
  explicit DocumentError(std::vector<DocumentProblem> problems);
  const std::vector<DocumentProblem>& problems() const { return problems_; }

 private:
  std::vector<DocumentProblem> problems_;
};

// Parses and checks the whole document. Throws DocumentError with every
// problem found.
Document ParseDocument(std::string_view toml);

// Returns the problems of replacing `current` by `next`: a lowered or removed
// prepaid amount, or a changed number of ledger shards.
std::vector<DocumentProblem> CheckReplacement(const Document& current,
                                              const Document& next);

// Formats the document as TOML in a fixed order; ParseDocument reads it back
// equal.
std::string FormatDocument(const Document& document);

// Returns the element of `items` whose `name` is `name`; nullptr if there is
// none.
template <typename T>
const T* FindByName(const std::vector<T>& items, std::string_view name) {
  for (const auto& it : items) {
    if (it.name == name) {
      return &it;
    }
  }
  return nullptr;
}

}  // namespace crocuslatch

#endif  // SRC_DOCUMENT_H_
