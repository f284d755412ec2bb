#ifndef SRC_ORDER_CLAIMS_H_
#define SRC_ORDER_CLAIMS_H_

#include <functional>
#include <memory>
#include <string>

#include "src/event_loop.h"
#include "src/ledger_client.h"

// Defines the claims that guarantee that a non-idempotent request (an order)
// runs at most once. A claim is a durable entry in the ledger made before the
// dispatch.

namespace crocuslatch {

struct OrderClaimsOptions {
  std::uint32_t shard_count = 16;
  // Timeout of a write made by Finish, Abandon or MarkInDoubt.
  Millis write_timeout{2000};
  // Delay before the failed writes of a shard are retried; doubles up to
  // `max_retry_delay` while they fail.
  Millis retry_delay{250};
  Millis max_retry_delay{2000};
};

enum class ClaimStatus {
  // The claim is durable; only this attempt may dispatch.
  kClaimed,
  kInsufficient,
  kUnknownBudget,
  kKeyReused,
  // The key is bound to an order on another budget.
  kOtherBudget,
  // Another attempt has claimed the key or has ended; see `record`.
  kExists,
  // No claim is known to be in force. A claim that was sent will be abandoned.
  kUnknown,
};

// Identifies one attempt; passed to the function that ends it.
struct OrderAttempt {
  RequestKey key;
  std::string budget;
  std::uint64_t attempt = 0;
  auto operator<=>(const OrderAttempt&) const = default;
};

struct ClaimRequest {
  RequestKey key;
  RequestKey digest;
  std::string budget;
  Tokens cost = 0;
  Millis timeout{2000};
};

struct ClaimResult {
  ClaimStatus status = ClaimStatus::kUnknown;
  OrderAttempt attempt;
  ClaimRecord record;
};

// Longest answer body that is stored for retries.
constexpr std::size_t kMaxStoredBodyBytes = 4096;

// Thread-safe. Callbacks run on the loop passed to the constructor, which is
// also the loop on which `apply` is called.
class OrderClaims {
 public:
  OrderClaims(OrderClaimsOptions options,
              HolderId holder,
              EventLoop loop,
              ApplyToShard apply,
              std::function<std::uint64_t()> random,
              // Returns the current limit of a budget in the document in force,
              // which is sent before the claim; nullopt if the document has no
              // such budget.
              std::function<std::optional<Tokens>(const std::string&)> limit);
  ~OrderClaims();

  // Binds the key to the budget, then claims in the budget's shard, both within
  // the timeout. A claim confirmed here is kept in memory until its end is
  // durable, and answers further claims of its key without the ledger.
  void Claim(const ClaimRequest& request,
             std::function<void(const ClaimResult&)> callback);

  // Each ends the attempt: with the service's answer, without a run, or with an
  // unknown outcome. The write is retried until it is durable, in one batch
  // with the others of its shard. A `body` longer than kMaxStoredBodyBytes is
  // replaced by a note.
  void Finish(const OrderAttempt& attempt, int status, const std::string& body);
  void Abandon(const OrderAttempt& attempt);
  void MarkInDoubt(const OrderAttempt& attempt);

  // Number of writes that are not yet durable; a planned stop waits for 0.
  std::size_t pending_writes() const;

 private:
  struct Core;
  std::shared_ptr<Core> core_;
};

}  // namespace crocuslatch

#endif  // SRC_ORDER_CLAIMS_H_
