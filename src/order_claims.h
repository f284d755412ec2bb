#ifndef SRC_ORDER_CLAIMS_H_
#define SRC_ORDER_CLAIMS_H_

#include <functional>
#include <memory>
#include <string>

#include "src/event_loop.h"
#include "src/ledger_client.h"

// Defines the claims on the only run of a non-idempotent request.

namespace crocuslatch {

struct OrderClaimsOptions {
  std::uint32_t shard_count = 16;
  // Timeout of one write of Finish, Abandon or Doubt.
  Millis write_timeout{2000};
  // Delay before such writes of a shard are repeated; doubles up to the
  // longest one while they fail.
  Millis retry_delay{250};
  Millis max_retry_delay{2000};
};

enum class ClaimStatus {
  // The claim is durable; this attempt alone may dispatch.
  kClaimed,
  kInsufficient,
  kUnknownBudget,
  kKeyReused,
  // The key belongs to an order on another budget.
  kOtherBudget,
  // Another attempt holds the claim or has ended; see `record`.
  kExists,
  // Nothing is known to be in force. A claim that was sent is abandoned.
  kUnknown,
};

// Identifies one attempt; passed back to end it.
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

// Longest answer that is kept for retries.
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
              // Present limit of a budget by the document in force; sent
              // before the claim. nullopt: the document has no such budget.
              std::function<std::optional<Tokens>(const std::string&)> limit);
  ~OrderClaims();

  // Binds the key to the budget, then claims in the budget's shard; both
  // within the timeout. A claim that was confirmed here is remembered until
  // its end is durable, and decides without the ledger.
  void Claim(const ClaimRequest& request,
             std::function<void(const ClaimResult&)> callback);

  // Each ends the attempt and is repeated until it is durable, together with
  // the others of its shard. `body` above kMaxStoredBodyBytes is replaced by a
  // note.
  void Finish(const OrderAttempt& attempt, int status, const std::string& body);
  void Abandon(const OrderAttempt& attempt);
  void MarkInDoubt(const OrderAttempt& attempt);

  // Writes that are not yet durable; a planned stop waits for 0.
  std::size_t pending_writes() const;

 private:
  struct Core;
  std::shared_ptr<Core> core_;
};

}  // namespace crocuslatch

#endif  // SRC_ORDER_CLAIMS_H_
