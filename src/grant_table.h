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
// router, reservations on them, and the exchanges that settle and refill.

namespace crocuslatch {

struct GrantTableOptions {
  std::uint32_t shard_count = 16;
  // Longest delay between a bill and the exchange that settles it.
  Millis settle_period{1000};
  // Window of recent use that sizes the next grant.
  Millis usage_window{10000};
  // An unused grant goes back after this time.
  Millis idle_return_time{30000};
  Millis exchange_timeout{1000};
  // Retry delay after an exchange without a known result.
  Millis retry_delay{250};
  // Longest wait for other holders to return tokens before a refusal, and the
  // time between exchanges meanwhile.
  Millis recall_wait{300};
  Millis recall_poll_period{100};
  // Bills are settled as sums without their keys.
  bool settles_without_keys = false;
  // What this holder keeps in reserve: the use of this time at the recent rate
  // and this many standard deviations, and at least so many requests of typical
  // size. 0 means the use of the last window.
  Millis spare_horizon{0};
  double spare_deviations = 0;
  double min_spare_requests = 0;
  // The reserve is at most this part of what the budget has left above
  // `low_part` of its limit; 0 means no such limit.
  double max_spare_fraction = 0;
  double low_budget_fraction = 0;
  // Every such period, reserves below `top_up_part` of their size are filled
  // up, many in one write; 0 means never.
  Millis refill_period{0};
  // Uniform in [0, 1): spreads the top-ups of hosts that started together,
  // which otherwise write the same shards at the same moment.
  std::function<double()> random;
  double refill_threshold = 0.9;
  // At the same time, reserves above this multiple of their size are cut back
  // to it; 0 means never.
  double excess_factor = 0;
  // A budget with less than this part of its limit left is tight: its holders
  // settle and return sooner, so that others see and get what is left.
  double tight_fraction = 0;
  Millis tight_settle_period{1000};
  Millis tight_idle_return_time{1500};
  // Time for which a refusal for want of tokens also answers later requests of
  // that size: where other holders have the tokens, and where nobody has. A
  // raised limit ends it.
  Millis refusal_cache_time{0};
  Millis exhausted_refusal_cache_time{0};
  // While the ledger does not answer, requests that the reserve does not cover
  // are refused at once instead of after their wait.
  bool refuses_while_unreachable = false;
  // The ledger is told a bound of the use beyond each exchange (UseBound).
  bool has_usage_bounds = false;
  // Armed beyond the requests that the exchange is made for: the use of this
  // time at the recent rate, and at most this part of the budget's limit, since
  // what is armed by a holder that dies counts as used.
  Millis armed_horizon{0};
  double max_armed_fraction = 0;
  // Pace of the bound, as a multiple of the recent rate, and what it is at
  // least, tokens a second.
  double pace_factor = 1.5;
  Tokens min_pace = 0;
  // A request that the reserve covers waits this long at most until the bound
  // lets it through: callers' targets are 500 to 2000 ms.
  Millis max_bound_wait{1000};
  // Use beyond this part of the limit is refused for good, and use below it,
  // if other holders have the tokens, for the moment.
  double exhausted_fraction = 0;
  // Asks other holders to return what they do not need; runs on the loop.
  std::function<void(const std::string& budget,
                     const std::vector<HolderId>& holders)>
      recall;
};

enum class ReserveStatus {
  kReserved,
  // The budget does not cover the amount.
  kInsufficient,
  // The budget would cover it, but other holders have the tokens.
  kHeldElsewhere,
  // The ledger was not reachable before the deadline.
  kUnavailable,
  kUnknownBudget,
};

struct HeldGrant {
  std::string budget;
  // Tokens of the grant that are neither reserved nor billed.
  Tokens free = 0;
  Tokens reserved = 0;
  // Billed locally and not yet settled.
  Tokens unsettled = 0;
  auto operator<=>(const HeldGrant&) const = default;
};

// What a decision about a budget rests on.
struct BudgetView {
  // Granted and neither reserved nor used.
  Tokens free = 0;
  // Of these, what the bound on unsettled use lets through now.
  Tokens usable = 0;
  // Left in the ledger as of the last answer, and the age of that answer.
  Tokens available = 0;
  Millis age{0};
};

// Thread-safe. Callbacks run on the loop passed to the constructor.
class GrantTable {
 public:
  GrantTable(GrantTableOptions options,
             HolderId holder,
             EventLoop loop,
             ApplyToShard apply,
             // Present limit of a budget by the document in force, or
             // nullopt if the document has no such budget.
             std::function<std::optional<Tokens>(const std::string&)> limit);
  ~GrantTable();

  // Reserves at once if the grant covers `amount`, else exchanges first and
  // waits up to `wait`.
  void Reserve(const std::string& budget,
               Tokens amount,
               Millis wait,
               std::function<void(ReserveStatus)> callback);

  // Reserves if the grant covers `amount` now and this part of the reserve is
  // left; for other holders.
  bool ReserveForPeer(const std::string& budget,
                      Tokens amount,
                      double keep_part);

  // Ends a reservation: bills `bill.amount`, at most `reserved`, and frees
  // the rest. An amount of 0 bills nothing.
  void Settle(const std::string& budget, Tokens reserved, const Bill& bill);

  // True if no budget is used beyond what is armed, so that the host may be
  // stamped. Otherwise exchanges begin that make it so.
  bool PrepareStamp();
  // The host's last stamp was made at `now`; call it before writing the stamp.
  void OnStamp(Millis now);

  // Gives unreserved tokens back with the next exchange, at once.
  void Recall(const std::string& budget);

  // Settles and returns everything, then calls back; used by planned stops.
  void ReturnAll(std::function<void()> callback);

  std::vector<HeldGrant> HeldGrants() const;
  BudgetView GetBudgetView(const std::string& budget) const;

 private:
  struct Core;
  std::shared_ptr<Core> core_;
};

}  // namespace crocuslatch

#endif  // SRC_GRANT_TABLE_H_
