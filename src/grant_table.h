#ifndef SRC_GRANT_TABLE_H_
#define SRC_GRANT_TABLE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/event_loop.h"
#include "src/ledger_client.h"
#include "src/shard_state.h"

// Defines the holder's side of prepaid budgets: the tokens granted to this
// router, the reservations made from them, and the exchanges with the ledger
// that settle bills and refill the grant.

namespace crocuslatch {

struct GrantTableOptions {
  std::uint32_t shard_count = 16;
  // Longest delay between a bill and the exchange that settles it.
  Millis settle_period{1000};
  // Window over which recent usage is measured to size the next grant.
  Millis usage_window{10000};
  // A grant that is unused for this time is returned to the ledger.
  Millis idle_return_time{30000};
  Millis exchange_timeout{1000};
  // Delay before an exchange with an unknown result is sent again.
  Millis retry_delay{250};
  // Longest wait for other holders to return tokens before a request is
  // refused, and the time between exchanges during that wait.
  Millis recall_wait{300};
  Millis recall_poll_period{100};
  // Bills are settled as one sum per exchange, without their keys.
  bool settles_without_keys = false;
  // Target size of the spare tokens, which this holder keeps beyond those that
  // waiting requests need: the usage expected over `spare_horizon` plus
  // `spare_deviations` standard deviations, and at least `min_spare_requests`
  // requests of mean size. A horizon of 0 means the usage of the last window
  // instead.
  Millis spare_horizon{0};
  double spare_deviations = 0;
  double min_spare_requests = 0;
  // The spare is at most this fraction of what the budget has left above
  // `low_budget_fraction` of its limit; 0 means no cap.
  double max_spare_fraction = 0;
  double low_budget_fraction = 0;
  // Period at which grants below `refill_threshold` of the spare size are
  // refilled, many in one write; 0 means never.
  Millis refill_period{0};
  // Uniform in [0, 1): jitter of the refill period. Without jitter, hosts that
  // started together write the same shards at the same moment.
  std::function<double()> random;
  double refill_threshold = 0.9;
  // At each refill period, a grant above this multiple of the spare size
  // returns what exceeds the spare size; 0 means never.
  double excess_factor = 0;
  // A budget with less than this fraction of its limit left is tight: its
  // holders settle and return tokens sooner, so that the others see and get
  // what is left.
  double tight_fraction = 0;
  Millis tight_settle_period{1000};
  Millis tight_idle_return_time{1500};
  // Time for which a refusal is cached and also answers later requests of at
  // least the same size: while other holders have the tokens, and once the
  // budget is exhausted. A raised limit invalidates the cached refusal.
  Millis refusal_cache_time{0};
  Millis exhausted_refusal_cache_time{0};
  // While the ledger is unreachable, requests that the grant does not cover are
  // refused at once instead of after their wait.
  bool refuses_while_unreachable = false;
  // Each exchange sends the ledger a bound on the usage that follows it; see
  // UsageBound.
  bool has_usage_bounds = false;
  // Armed tokens beyond those of the requests that an exchange is made for: the
  // usage expected over `armed_horizon`, at most this fraction of the budget's
  // limit. Armed tokens of a holder that dies count as used.
  Millis armed_horizon{0};
  double max_armed_fraction = 0;
  // Pace at which the bound grows, as a multiple of the recent usage rate, and
  // its minimum in tokens per second.
  double pace_factor = 1.5;
  Tokens min_pace = 0;
  // Longest time that a request which the grant covers waits for the bound to
  // grow. Callers' latency targets are 500 to 2000 ms.
  Millis max_bound_wait{1000};
  // Requests that would take the usage above this fraction of the limit are
  // refused with kInsufficient. Below it, requests for tokens that other
  // holders have are refused with kHeldElsewhere.
  double exhausted_fraction = 0;
  // Asks other holders to return their unreserved tokens; runs on the loop.
  std::function<void(const std::string& budget,
                     const std::vector<HolderId>& holders)>
      recall;
};

enum class ReserveStatus {
  kReserved,
  // The budget does not cover the amount.
  kInsufficient,
  // The budget covers the amount, but other holders have the tokens.
  kHeldElsewhere,
  // The ledger could not be reached within the wait, or the table is stopping.
  kUnavailable,
  kUnknownBudget,
};

// Snapshot of what this router holds of one budget.
struct HeldGrant {
  std::string budget;
  // Tokens of the grant that are neither reserved nor billed.
  Tokens free = 0;
  Tokens reserved = 0;
  // Billed locally and not yet settled with the ledger.
  Tokens unsettled = 0;
  auto operator<=>(const HeldGrant&) const = default;
};

// Snapshot of one budget, for decisions on admission.
struct BudgetView {
  // Granted and neither reserved nor used.
  Tokens free = 0;
  // Part of `free` that the usage bound allows to be used now.
  Tokens usable = 0;
  // Left in the ledger as of its last reply (-1 before the first), and the age
  // of that reply.
  Tokens available = 0;
  Millis age{0};
};

// Tokens granted to this router, by budget. Thread-safe. Callbacks run on the
// loop passed to the constructor.
class GrantTable {
 public:
  GrantTable(GrantTableOptions options,
             HolderId holder,
             EventLoop loop,
             ApplyToShard apply,
             // Returns the limit of a budget in the document in force, or
             // nullopt if the document has no such budget.
             std::function<std::optional<Tokens>(const std::string&)> limit);
  ~GrantTable();

  // Reserves `amount` tokens at once if the grant covers them, otherwise after
  // an exchange with the ledger. The callback gets kUnavailable or
  // kInsufficient if that takes longer than `wait`. A request that the usage
  // bound holds back can wait up to `max_bound_wait` instead.
  void Reserve(const std::string& budget,
               Tokens amount,
               Millis wait,
               std::function<void(ReserveStatus)> callback);

  // Reserves on behalf of a peer if the grant covers `amount` now and this
  // fraction of the spare size stays free. Returns false otherwise.
  bool ReserveForPeer(const std::string& budget,
                      Tokens amount,
                      double keep_fraction);

  // Ends a reservation of `reserved` tokens: bills `bill.amount`, capped at
  // `reserved`, and frees the rest. An amount of 0 bills nothing.
  void Settle(const std::string& budget, Tokens reserved, const Bill& bill);

  // Returns true if the unsettled usage of every budget is within its armed
  // tokens, so that the host stamp may be written. Otherwise starts the
  // exchanges that raise the armed tokens and returns false.
  bool PrepareStamp();
  // Restarts the usage bounds at `now`, the time of the host's latest stamp.
  // Must be called before the stamp is written.
  void OnStamp(Millis now);

  // Starts an exchange that returns all unreserved tokens.
  void Recall(const std::string& budget);

  // Settles and returns everything, then runs the callback. From then on all
  // reservations are refused. Used by planned stops.
  void ReturnAll(std::function<void()> callback);

  // Replaces the option of that name. A holder that accounts for the usage of
  // many hosts arms more.
  void SetMaxArmedFraction(double fraction);

  // Budgets of which this router holds any tokens.
  std::vector<HeldGrant> HeldGrants() const;
  BudgetView GetBudgetView(const std::string& budget) const;

 private:
  struct Core;
  std::shared_ptr<Core> core_;
};

}  // namespace crocuslatch

#endif  // SRC_GRANT_TABLE_H_
