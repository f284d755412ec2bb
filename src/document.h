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
  // Number of ledger shards; fixed by the first document.
  std::uint32_t ledger_shards = 16;
  bool operator==(const FleetConfig&) const = default;
};

// Ranks are listed from the most urgent to the least.
struct RankConfig {
  std::string name;
  // Target for the first token.
  Millis first_token{1700};
  // Target between tokens.
  Millis between_tokens{37};
  // Guaranteed part of dispatched tokens while the rank has work, 0 to 1.
  double share = 0;
  // Most requests of the rank that wait in one router.
  std::uint32_t max_queued = 1000;
  bool operator==(const RankConfig&) const = default;
};

struct ClientAccountConfig {
  std::string name;
  // Relative entitlement among client accounts of one rank.
  double weight = 1;
  // Rank of requests that name none.
  std::string default_rank;
  // Ranks that the account may use; empty means all.
  std::vector<std::string> ranks;
  bool operator==(const ClientAccountConfig&) const = default;
};

struct ApiKeyConfig {
  // Lower-case hex SHA-256 of the key.
  std::string sha256;
  std::string client_account;
  // Budget of requests that name none.
  std::string budget;
  bool operator==(const ApiKeyConfig&) const = default;
};

struct BudgetConfig {
  std::string name;
  std::string client_account;
  // All tokens ever paid for; a top-up raises it, nothing lowers it.
  Tokens prepaid = 0;
  bool operator==(const BudgetConfig&) const = default;
};

struct ModelConfig {
  std::string name;
  // Upper bound used to reserve the prompt before it is counted.
  double max_tokens_per_byte = 1.0;
  Tokens max_output_tokens = 4096;
  bool operator==(const ModelConfig&) const = default;
};

// A plain service, such as the booking service.
struct ServiceConfig {
  std::string name;
  // False if a call may run at most once.
  bool repeatable = false;
  // Price of one call.
  Tokens cost = 1;
  Millis timeout{10000};
  bool operator==(const ServiceConfig&) const = default;
};

struct BackendServerConfig {
  std::string name;
  // "<IP number>:<port>"
  std::string address;
  std::string failure_domain;
  // Exactly one of the two is set.
  std::string model;
  std::string service;
  // Requests that the server runs at the same time.
  std::uint32_t slots = 8;
  bool drain = false;
  // True if the server refuses an order with an old fencing number.
  bool checks_fence = false;
  bool operator==(const BackendServerConfig&) const = default;
};

struct LimitsConfig {
  std::uint32_t max_body_bytes = 1 << 20;
  Millis default_deadline{60000};
  // Longest silence of a model stream before it is resumed elsewhere.
  Millis stall_timeout{2000};
  // Part of requests that may be retried on another backend server.
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

// One error of a document. `line` is 0 if the error has no single place.
struct DocumentProblem {
  std::uint32_t line = 0;
  std::string message;
  std::string remedy;
  bool operator==(const DocumentProblem&) const = default;
};

// All problems of a rejected document; what() lists them line by line.
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

// Problems of replacing `current` by `next`: a lowered or removed prepaid
// amount, a changed number of ledger shards.
std::vector<DocumentProblem> CheckReplacement(const Document& current,
                                              const Document& next);

// The document as TOML in a fixed order; ParseDocument reads it back equal.
std::string FormatDocument(const Document& document);

// Element of `items` whose `name` is `name`; nullptr if there is none.
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
