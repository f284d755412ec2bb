#include "src/grant_table.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <mutex>
#include <utility>

#include "src/error.h"
#include "src/log.h"

namespace crocuslatch {
namespace {

// Keeps one exchange far below the size limits of frames and stored values.
constexpr std::size_t kMaxBillsPerExchange = 1000;

// The grant is refilled when less than this part of the recent use is free.
constexpr Tokens kLowWaterDivisor = 4;

// Weight of the latest request in the mean size of requests.
constexpr double kMeanWeight = 0.1;

// Shortest time over which a rate of use is taken.
constexpr Millis kLeastUseTime{1000};

// Records of recent use for one window.
constexpr int kUseSteps = 10;

struct Waiter {
  std::uint64_t id = 0;
  Tokens amount = 0;
  std::function<void(ReserveStatus)> callback;
  // A durable reply said that the budget does not cover the amount.
  bool is_short = false;
};

struct Use {
  Millis at{0};
  Tokens amount = 0;
};

struct InFlight {
  ExchangeCommand exchange;
  // All commands of the call, kept for repeats.
  std::vector<ShardCommand> commands;
  Tokens limit = 0;
  // Newest waiter when the exchange was sized; 0 if there was none.
  std::uint64_t last_waiter = 0;
};

struct Budget {
  Tokens free = 0;
  Tokens reserved = 0;
  Tokens unsettled = 0;
  // Not yet part of an exchange.
  std::vector<Bill> bills;
  Tokens unsettled_sum = 0;
  // Bound of the use that the ledger knows.
  Tokens armed = 0;
  Tokens pace = 0;
  bool rearm = false;
  // As of the last reply; -1 before the first.
  Tokens available = -1;
  Tokens limit = 0;
  std::size_t other_holders = 0;
  // When the last exchange was answered.
  Millis answered_at{0};
  // Requests of this size and more are refused until then.
  Millis refuse_until{0};
  Tokens refuse_from = 0;
  ReserveStatus refusal = ReserveStatus::kInsufficient;
  std::optional<InFlight> in_flight;
  std::uint64_t sequence = 0;
  Tokens limit_sent = 0;
  std::deque<Waiter> waiters;
  std::deque<Use> uses;
  // Size of a typical request; 0 before the first.
  double mean_request = 0;
  // First use that the window knows of.
  Millis used_since{0};
  Millis used_at{0};
  // The next exchange fills the reserve up, or cuts it back.
  bool top_up = false;
  bool has_excess = false;
  // When the oldest entry of `bills` has to be settled.
  Millis settle_at = Millis::max();
  // No exchange for waiters, or for a refill, before these times.
  Millis ask_after{0};
  Millis refill_after{0};
  // Earliest wake-up that is set; max() if none.
  Millis wake_at = Millis::max();
  // End of the wait for other holders, once a grant fell short.
  std::optional<Millis> recall_until;
  bool is_recalled = false;
};

// What has to run once the lock is free.
using Tasks = std::vector<Task>;

Tokens BilledIn(const ExchangeCommand& exchange) {
  Tokens sum = exchange.settled;
  for (const auto& it : exchange.bills) {
    sum += it.amount;
  }
  return sum;
}

bool HoldsNothing(const Budget& budget) {
  return budget.free + budget.reserved + budget.unsettled == 0;
}

bool IsAtRest(const Budget& budget) {
  return !budget.in_flight && HoldsNothing(budget);
}

Tokens RecentUse(const Budget& budget, Millis since) {
  Tokens sum = 0;
  for (const auto& it : budget.uses) {
    sum += it.at >= since ? it.amount : 0;
  }
  // Corrections of requests from before may outweigh what came since.
  return std::max<Tokens>(0, sum);
}

void AddUse(Budget& budget, Tokens amount, Millis now, Millis window) {
  if (budget.uses.empty()) {
    budget.used_since = now;
  }
  while (!budget.uses.empty() && budget.uses.front().at < now - window) {
    budget.uses.pop_front();
  }
  if (budget.uses.empty() || budget.uses.back().at < now - window / kUseSteps) {
    budget.uses.push_back({now, 0});
  }
  budget.uses.back().amount += amount;
}

void EndWaiter(Waiter& waiter, ReserveStatus status, Tasks& tasks) {
  tasks.emplace_back(
      [callback = std::move(waiter.callback), status] { callback(status); });
}

void EndAllWaiters(Budget& budget, ReserveStatus status, Tasks& tasks) {
  for (auto& it : budget.waiters) {
    EndWaiter(it, status, tasks);
  }
  budget.waiters.clear();
}

// A reservation counts as use at once, and what it leaves is taken off when it
// ends: answers last for seconds, by which rates of use would come late.
void ReserveNow(Budget& budget, Tokens amount, Millis now, Millis window) {
  AddUse(budget, amount, now, window);
  const auto size = static_cast<double>(amount);
  budget.mean_request += budget.mean_request == 0
                             ? size
                             : kMeanWeight * (size - budget.mean_request);
  budget.free -= amount;
  budget.reserved += amount;
  budget.used_at = now;
}

// Used or about to be, as far as the last exchange that is known to have taken
// effect has not settled it.
Tokens UsedSince(const Budget& budget) {
  return budget.reserved + budget.unsettled;
}

// Bound of the use at this time after the stamp. An exchange in flight may or
// may not have taken effect, so the use has to fit both bounds.
Tokens BoundAt(const Budget& budget, Millis since_stamp) {
  const Tokens bound = UsageBound(budget.armed, budget.pace, since_stamp);
  if (!budget.in_flight) {
    return bound;
  }
  const auto& sent = budget.in_flight->exchange;
  return std::min(
      bound, UsageBound(sent.armed, sent.pace, since_stamp) + sent.settled);
}

// Refuses what is at least as large as the first waiter and was there when
// the exchange that fell short was sized.
void RefuseShort(Budget& budget,
                 ReserveStatus status,
                 std::uint64_t last_waiter,
                 Tasks& tasks) {
  const Tokens amount = budget.waiters.front().amount;
  std::erase_if(budget.waiters, [&](auto& it) {
    const bool refused = it.amount >= amount && it.id <= last_waiter;
    if (refused) {
      EndWaiter(it, status, tasks);
    }
    return refused;
  });
}

}  // namespace

struct GrantTable::Core : std::enable_shared_from_this<GrantTable::Core> {
  using LimitFunction =
      std::function<std::optional<Tokens>(const std::string&)>;

  Core(GrantTableOptions options,
       HolderId holder,
       EventLoop loop,
       ApplyToShard apply,
       LimitFunction limit)
      : options_(std::move(options)),
        holder_(std::move(holder)),
        loop_(std::move(loop)),
        apply_(std::move(apply)),
        limit_(std::move(limit)) {}

  void Reserve(const std::string& name,
               Tokens amount,
               Millis wait,
               std::function<void(ReserveStatus)> callback);
  bool ReserveForPeer(const std::string& name, Tokens amount, double keep_part);
  void Settle(const std::string& name, Tokens reserved, const Bill& bill);
  void Recall(const std::string& name);
  void TopUpLater();
  bool PrepareStamp();
  void OnStamp(Millis now);
  void ReturnAll(std::function<void()> callback);
  std::vector<HeldGrant> HeldGrants() const;
  BudgetView GetBudgetView(const std::string& name) const;
  void SweepLater();

 private:
  // Runs the function with the core if it still exists.
  template <typename Function>
  Task Weakly(Function function) {
    return [self = weak_from_this(), function = std::move(function)] {
      if (const auto it = self.lock()) {
        function(*it);
      }
    };
  }

  void PostAll(Tasks tasks) {
    for (auto& it : tasks) {
      loop_.post(std::move(it));
    }
  }

  void PumpSoon(const std::string& name) {
    loop_.post(Weakly([name](Core& it) { it.Pump(name); }));
  }

  void PumpAfter(const std::string& name, Millis delay) {
    loop_.after(delay, Weakly([name](Core& it) { it.Pump(name); }));
  }

  bool TryReserve(const std::string& name, Tokens amount);
  bool IsTight(const Budget& budget) const;
  // Before the first stamp nothing can be taken back, so nothing is bounded.
  bool IsBounded() const { return stamped_at_ && options_.has_usage_bounds; }
  bool CanReserve(const Budget& budget, Tokens amount) const {
    return amount <= budget.free &&
           (!IsBounded() || UsedSince(budget) + amount <=
                                BoundAt(budget, loop_.now() - *stamped_at_));
  }
  Millis TimeUntilCovered(const Budget& budget, Tokens amount) const;
  void ServeWaiters(Budget& budget, Millis now, Tasks& tasks) const;
  Tokens UseIn(const Budget& budget, Millis time) const;
  Tokens LikelyUseIn(const Budget& budget, Millis time) const;
  Tokens ToArm(const Budget& budget, Tokens settled) const;
  Tokens Pace(const Budget& budget) const;
  bool NeedsRearm(const Budget& budget) const;
  Millis IdleTime(const Budget& budget) const {
    return IsTight(budget) ? options_.tight_idle_return_time
                           : options_.idle_return_time;
  }
  Tokens SpareSize(const Budget& budget) const;
  bool IsLow(const Budget& budget) const;
  std::optional<ReserveStatus> KnownRefusal(const Budget& budget,
                                            Tokens amount,
                                            Tokens limit) const;
  Tokens Want(const Budget& budget, Tokens free) const;
  Tokens ToReturn(const Budget& budget) const;
  bool IsSettleDue(const Budget& budget) const;
  std::optional<ExchangeCommand> Plan(const std::string& name,
                                      const Budget& budget) const;
  const std::vector<ShardCommand>& Begin(Budget& budget,
                                         const ExchangeCommand& exchange,
                                         std::optional<Tokens> limit);
  std::optional<Millis> NextWake(const Budget& budget) const;
  void ExpireWaiter(const std::string& name, std::uint64_t id);
  void Pump(const std::string& name);
  void Wake(const std::string& name);
  void Send(const std::string& name, const std::vector<ShardCommand>& commands);
  void Resend(const std::string& name);
  void OnReply(const std::string& name,
               LedgerStatus status,
               const std::vector<ShardReply>& replies);
  void Acknowledge(const std::string& name,
                   Budget& budget,
                   const InFlight& sent,
                   const ShardReply& reply,
                   Tasks& tasks);
  void Judge(const std::string& name,
             Budget& budget,
             const InFlight& sent,
             const ShardReply& reply,
             Tasks& tasks);
  void Forfeit(const std::string& name,
               Budget& budget,
               const ShardReply& reply,
               Tasks& tasks);
  void Sweep();
  void TopUp();
  void TakeStopCallbacks(Tasks& tasks);

  const GrantTableOptions options_;
  const HolderId holder_;
  const EventLoop loop_;
  const ApplyToShard apply_;
  const LimitFunction limit_;

  mutable std::mutex mutex_;
  // Guarded by mutex_.
  std::map<std::string, Budget> budgets_;
  std::uint64_t last_waiter_ = 0;
  std::optional<Millis> stamped_at_;
  // An exchange has not been answered in time, and none was since.
  bool is_ledger_lost_ = false;
  bool is_stopping_ = false;
  std::vector<std::function<void()>> stop_callbacks_;
};

bool GrantTable::Core::TryReserve(const std::string& name, Tokens amount) {
  bool is_low = false;
  {
    const std::lock_guard lock(mutex_);
    const auto it = budgets_.find(name);
    if (is_stopping_ || it == budgets_.end() || !it->second.waiters.empty() ||
        !CanReserve(it->second, amount)) {
      return false;
    }
    ReserveNow(it->second, amount, loop_.now(), options_.usage_window);
    is_low = !it->second.in_flight && IsLow(it->second);
  }
  if (is_low) {
    PumpSoon(name);
  }
  return true;
}

void GrantTable::Core::Reserve(const std::string& name,
                               Tokens amount,
                               Millis wait,
                               std::function<void(ReserveStatus)> callback) {
  CROCUSLATCH_ASSERT(amount >= 0);
  Tasks tasks;
  Waiter waiter{0, amount, std::move(callback)};
  if (TryReserve(name, amount)) {
    EndWaiter(waiter, ReserveStatus::kReserved, tasks);
    PostAll(std::move(tasks));
    return;
  }
  // The document's lock comes before this table's, so the limit is read
  // without holding the latter.
  const auto limit = limit_(name);
  if (!limit) {
    EndWaiter(waiter, ReserveStatus::kUnknownBudget, tasks);
    PostAll(std::move(tasks));
    return;
  }
  std::uint64_t id = 0;
  {
    const std::lock_guard lock(mutex_);
    id = ++last_waiter_;
    waiter.id = id;
    const auto refusal = KnownRefusal(budgets_[name], amount, *limit);
    const bool is_lost = is_ledger_lost_ &&
                         options_.refuses_while_unreachable &&
                         budgets_[name].in_flight;
    // While the ledger is lost, only the bound can begin to cover the request.
    const Millis until_covered = TimeUntilCovered(budgets_[name], amount);
    const bool can_wait = until_covered.count() > 0;
    if (can_wait) {
      wait = std::max(wait, until_covered);
    }
    if (is_stopping_ || (is_lost && !can_wait) || refusal) {
      EndWaiter(waiter, refusal.value_or(ReserveStatus::kUnavailable), tasks);
    } else {
      budgets_[name].waiters.push_back(std::move(waiter));
    }
  }
  PostAll(std::move(tasks));
  // Looks once more before the wait ends, when the bound may have grown.
  loop_.after(wait, Weakly([name, id](Core& it) {
                it.Pump(name);
                it.ExpireWaiter(name, id);
              }));
  PumpSoon(name);
}

bool GrantTable::Core::ReserveForPeer(const std::string& name,
                                      Tokens amount,
                                      double keep_part) {
  const std::lock_guard lock(mutex_);
  const auto it = budgets_.find(name);
  if (is_stopping_ || it == budgets_.end() || !it->second.waiters.empty()) {
    return false;
  }
  const auto keep = static_cast<Tokens>(
      keep_part * static_cast<double>(SpareSize(it->second)));
  if (!CanReserve(it->second, amount) || it->second.free - amount < keep) {
    return false;
  }
  ReserveNow(it->second, amount, loop_.now(), options_.usage_window);
  return true;
}

void GrantTable::Core::Settle(const std::string& name,
                              Tokens reserved,
                              const Bill& bill) {
  const Tokens amount = std::clamp<Tokens>(bill.amount, 0, reserved);
  if (amount < bill.amount) {
    Log(LogEvent::kBillAboveReservation, "budget {}: used {}, reserved {}",
        name, bill.amount, reserved);
  }
  {
    const std::lock_guard lock(mutex_);
    const Millis now = loop_.now();
    Budget& budget = budgets_[name];
    CROCUSLATCH_ASSERT(reserved >= 0 && reserved <= budget.reserved);
    budget.reserved -= reserved;
    budget.free += reserved - amount;
    budget.used_at = now;
    if (amount > 0) {
      budget.unsettled += amount;
      if (options_.settles_without_keys) {
        budget.unsettled_sum += amount;
      } else {
        budget.bills.push_back({bill.key, amount});
      }
      budget.settle_at =
          std::min(budget.settle_at,
                   now + (IsTight(budget) ? options_.tight_settle_period
                                          : options_.settle_period));
    }
    AddUse(budget, amount - reserved, now, options_.usage_window);
  }
  PumpSoon(name);
}

// Fills all reserves up in one turn of the loop, so that one write carries
// the exchanges of a shard.
void GrantTable::Core::TopUp() {
  std::vector<std::string> names;
  {
    const std::lock_guard lock(mutex_);
    for (auto& [name, budget] : budgets_) {
      const auto spare = static_cast<double>(SpareSize(budget));
      const auto free = static_cast<double>(budget.free);
      const bool is_idle = loop_.now() >= budget.used_at + IdleTime(budget);
      if (is_stopping_ || budget.in_flight) {
        continue;
      }
      budget.top_up = free < options_.refill_threshold * spare && !is_idle &&
                      loop_.now() >= budget.refill_after;
      budget.has_excess =
          options_.excess_factor > 0 && free > options_.excess_factor * spare;
      if (budget.top_up || budget.has_excess) {
        names.push_back(name);
      }
    }
  }
  for (const auto& it : names) {
    Pump(it);
  }
  TopUpLater();
}

bool GrantTable::Core::PrepareStamp() {
  std::vector<std::string> names;
  bool is_within = true;
  {
    const std::lock_guard lock(mutex_);
    for (auto& [name, budget] : budgets_) {
      if (UsedSince(budget) <= BoundAt(budget, Millis{0})) {
        continue;
      }
      is_within = false;
      if (!budget.in_flight) {
        budget.rearm = true;
        names.push_back(name);
      }
    }
  }
  for (const auto& it : names) {
    PumpSoon(it);
  }
  return is_within;
}

void GrantTable::Core::OnStamp(Millis now) {
  const std::lock_guard lock(mutex_);
  stamped_at_ = now;
}

void GrantTable::Core::TopUpLater() {
  if (options_.refill_period.count() == 0) {
    return;
  }
  const double factor = options_.random ? 0.5 + options_.random() : 1;
  const auto delay = static_cast<double>(options_.refill_period.count());
  loop_.after(Millis{static_cast<Millis::rep>(delay * factor)},
              Weakly([](Core& it) { it.TopUp(); }));
}

void GrantTable::Core::Recall(const std::string& name) {
  {
    const std::lock_guard lock(mutex_);
    const auto it = budgets_.find(name);
    if (it == budgets_.end() || it->second.free == 0) {
      return;
    }
    it->second.is_recalled = true;
    // A refill would take the tokens from the router that is short of them.
    it->second.refill_after = loop_.now() + options_.settle_period;
  }
  PumpSoon(name);
}

void GrantTable::Core::ReturnAll(std::function<void()> callback) {
  std::vector<std::string> names;
  Tasks tasks;
  {
    const std::lock_guard lock(mutex_);
    is_stopping_ = true;
    stop_callbacks_.push_back(std::move(callback));
    for (auto& [name, budget] : budgets_) {
      EndAllWaiters(budget, ReserveStatus::kUnavailable, tasks);
      names.push_back(name);
    }
    TakeStopCallbacks(tasks);
  }
  PostAll(std::move(tasks));
  for (const auto& it : names) {
    PumpSoon(it);
  }
}

std::vector<HeldGrant> GrantTable::Core::HeldGrants() const {
  const std::lock_guard lock(mutex_);
  std::vector<HeldGrant> held;
  for (const auto& [name, budget] : budgets_) {
    if (!HoldsNothing(budget)) {
      held.push_back({name, budget.free, budget.reserved, budget.unsettled});
    }
  }
  return held;
}

// Serves waiters in order while the grant covers them.
void GrantTable::Core::ServeWaiters(Budget& budget,
                                    Millis now,
                                    Tasks& tasks) const {
  auto& waiters = budget.waiters;
  while (!waiters.empty() && CanReserve(budget, waiters.front().amount)) {
    ReserveNow(budget, waiters.front().amount, now, options_.usage_window);
    EndWaiter(waiters.front(), ReserveStatus::kReserved, tasks);
    waiters.pop_front();
  }
}

// Expected use of the time, at the rate of the last window.
Tokens GrantTable::Core::UseIn(const Budget& budget, Millis time) const {
  const Millis now = loop_.now();
  const Tokens use = RecentUse(budget, now - options_.usage_window);
  const Millis seen =
      std::clamp(now - budget.used_since, kLeastUseTime, options_.usage_window);
  return use * time.count() / seen.count();
}

// The same with a margin for chance: the number of requests in a time varies
// by the square root of its mean.
Tokens GrantTable::Core::LikelyUseIn(const Budget& budget, Millis time) const {
  const auto use = static_cast<double>(UseIn(budget, time));
  const double mean = budget.mean_request;
  return static_cast<Tokens>(
      std::max(use + options_.spare_deviations * std::sqrt(use * mean),
               options_.min_spare_requests * mean));
}

// The bound to tell the ledger with an exchange that settles `settled`.
Tokens GrantTable::Core::ToArm(const Budget& budget, Tokens settled) const {
  if (!options_.has_usage_bounds) {
    return 0;
  }
  const auto part = static_cast<Tokens>(options_.max_armed_fraction *
                                        static_cast<double>(budget.limit));
  Tokens bound = UsedSince(budget) - settled +
                 std::min(UseIn(budget, options_.armed_horizon), part);
  for (const auto& it : budget.waiters) {
    bound += it.amount;
  }
  return bound;
}

Tokens GrantTable::Core::Pace(const Budget& budget) const {
  if (!options_.has_usage_bounds) {
    return 0;
  }
  const auto rate = static_cast<double>(UseIn(budget, std::chrono::seconds(1)));
  return std::max(static_cast<Tokens>(rate * options_.pace_factor),
                  options_.min_pace);
}

// Time until the growing bound lets this request through after those that wait;
// zero if there is no bound, the reserve is too small, or it takes too long.
Millis GrantTable::Core::TimeUntilCovered(const Budget& budget,
                                          Tokens amount) const {
  if (!IsBounded() || amount > budget.free) {
    return Millis{0};
  }
  Tokens armed = budget.armed;
  Tokens pace = budget.pace;
  if (budget.in_flight) {
    const auto& sent = budget.in_flight->exchange;
    armed = std::min(armed, sent.armed + sent.settled);
    pace = std::min(pace, sent.pace);
  }
  if (pace <= 0) {
    return Millis{0};
  }
  Tokens needed = UsedSince(budget) + amount;
  for (const auto& it : budget.waiters) {
    needed += it.amount;
  }
  const Millis wait =
      *stamped_at_ + TimeUntilUsageBound(armed, pace, needed) - loop_.now();
  return wait <= options_.max_bound_wait ? std::max(Millis{0}, wait)
                                         : Millis{0};
}

bool GrantTable::Core::NeedsRearm(const Budget& budget) const {
  const bool is_held_up = IsBounded() && !budget.waiters.empty() &&
                          budget.waiters.front().amount <= budget.free;
  return budget.rearm || is_held_up;
}

BudgetView GrantTable::Core::GetBudgetView(const std::string& name) const {
  const std::lock_guard lock(mutex_);
  const auto it = budgets_.find(name);
  if (it == budgets_.end()) {
    return {};
  }
  const Budget& budget = it->second;
  const Tokens bound =
      IsBounded()
          ? BoundAt(budget, loop_.now() - *stamped_at_) - UsedSince(budget)
          : budget.free;
  return {.free = budget.free,
          .usable = std::clamp<Tokens>(bound, 0, budget.free),
          .available = budget.available,
          .age = loop_.now() - budget.answered_at};
}

bool GrantTable::Core::IsTight(const Budget& budget) const {
  return budget.available >= 0 &&
         static_cast<double>(budget.available) <
             options_.tight_fraction * static_cast<double>(budget.limit);
}

// What to keep beyond the requests that wait now: the recent use, unless so
// little is left that other holders would miss it.
Tokens GrantTable::Core::SpareSize(const Budget& budget) const {
  const Millis now = loop_.now();
  const Tokens use = options_.spare_horizon.count() > 0
                         ? LikelyUseIn(budget, options_.spare_horizon)
                         : RecentUse(budget, now - options_.usage_window);
  if (options_.max_spare_fraction <= 0 || budget.available < 0) {
    return use;
  }
  const double room =
      static_cast<double>(budget.available + budget.free) -
      options_.low_budget_fraction * static_cast<double>(budget.limit);
  const double part = options_.max_spare_fraction * std::max(0.0, room);
  return std::min(use, static_cast<Tokens>(part));
}

bool GrantTable::Core::IsLow(const Budget& budget) const {
  return !is_stopping_ && !budget.is_recalled &&
         loop_.now() >= budget.refill_after &&
         budget.free < SpareSize(budget) / kLowWaterDivisor;
}

// The answer that an earlier refusal gives to a request of this size. A limit
// that was raised since makes it void.
std::optional<ReserveStatus> GrantTable::Core::KnownRefusal(
    const Budget& budget,
    Tokens amount,
    Tokens limit) const {
  const bool holds = loop_.now() < budget.refuse_until &&
                     amount >= budget.refuse_from && amount > budget.free &&
                     limit <= budget.limit_sent;
  return holds ? std::optional(budget.refusal) : std::nullopt;
}

// What to ask for while `free` tokens are kept.
Tokens GrantTable::Core::Want(const Budget& budget, Tokens free) const {
  const Tokens spare = SpareSize(budget);
  if (budget.waiters.empty()) {
    return IsLow(budget) || budget.top_up ? std::max<Tokens>(0, spare - free)
                                          : 0;
  }
  if (loop_.now() < budget.ask_after) {
    return 0;
  }
  Tokens shortfall = -free;
  for (const auto& it : budget.waiters) {
    shortfall += it.amount;
  }
  return options_.spare_horizon.count() > 0 ? shortfall + spare
                                            : std::max(shortfall, spare);
}

Tokens GrantTable::Core::ToReturn(const Budget& budget) const {
  const bool is_idle = budget.waiters.empty() &&
                       loop_.now() >= budget.used_at + IdleTime(budget);
  if (budget.is_recalled || is_stopping_ || is_idle) {
    return budget.free;
  }
  return budget.has_excess && budget.waiters.empty()
             ? std::max<Tokens>(0, budget.free - SpareSize(budget))
             : 0;
}

bool GrantTable::Core::IsSettleDue(const Budget& budget) const {
  return (!budget.bills.empty() || budget.unsettled_sum > 0) &&
         (is_stopping_ || loop_.now() >= budget.settle_at);
}

std::optional<ExchangeCommand> GrantTable::Core::Plan(
    const std::string& name,
    const Budget& budget) const {
  ExchangeCommand exchange;
  exchange.returned = ToReturn(budget);
  const Tokens kept = budget.free - exchange.returned;
  exchange.want = Want(budget, kept);
  exchange.want = std::max<Tokens>(0, exchange.want);
  if (exchange.want == 0 && exchange.returned == 0 && !IsSettleDue(budget) &&
      !NeedsRearm(budget)) {
    return std::nullopt;
  }
  if (exchange.want > 0 && !budget.waiters.empty()) {
    // What is kept may cover the request, and only the bound holds it up.
    exchange.least = std::max<Tokens>(0, budget.waiters.front().amount - kept);
  }
  exchange.budget = name;
  exchange.holder = holder_;
  exchange.sequence = budget.sequence + 1;
  exchange.opens = HoldsNothing(budget);
  exchange.settled = budget.unsettled_sum;
  exchange.armed = ToArm(budget, exchange.settled);
  exchange.pace = Pace(budget);
  const auto n = std::min(budget.bills.size(), kMaxBillsPerExchange);
  exchange.bills.assign(budget.bills.begin(),
                        budget.bills.begin() + static_cast<std::ptrdiff_t>(n));
  return exchange;
}

// Makes the exchange the one in flight. Tokens that go back are not spent
// from here on, whether or not the ledger gets the exchange.
const std::vector<ShardCommand>& GrantTable::Core::Begin(
    Budget& budget,
    const ExchangeCommand& exchange,
    std::optional<Tokens> limit) {
  InFlight& sent = budget.in_flight.emplace();
  sent.exchange = exchange;
  sent.limit = budget.limit_sent;
  if (limit && *limit > budget.limit_sent) {
    sent.limit = *limit;
    sent.commands.emplace_back(SetLimitCommand{exchange.budget, *limit});
  }
  sent.commands.emplace_back(exchange);
  if (exchange.least > 0) {
    sent.last_waiter = budget.waiters.back().id;
  }
  budget.free -= exchange.returned;
  budget.is_recalled = false;
  budget.top_up = false;
  budget.has_excess = false;
  budget.rearm = false;
  budget.unsettled_sum -= exchange.settled;
  budget.bills.erase(budget.bills.begin(),
                     budget.bills.begin() +
                         static_cast<std::ptrdiff_t>(exchange.bills.size()));
  if (budget.bills.empty()) {
    budget.settle_at = Millis::max();
  }
  return sent.commands;
}

// When the budget needs its next look, if time alone makes an exchange due.
std::optional<Millis> GrantTable::Core::NextWake(const Budget& budget) const {
  const bool has_bills = !budget.bills.empty() || budget.unsettled_sum > 0;
  Millis at = has_bills ? budget.settle_at : Millis::max();
  if (!budget.waiters.empty()) {
    at = std::min(at, budget.ask_after);
  }
  return at < budget.wake_at ? std::optional(at) : std::nullopt;
}

void GrantTable::Core::ExpireWaiter(const std::string& name, std::uint64_t id) {
  Tasks tasks;
  {
    const std::lock_guard lock(mutex_);
    auto& waiters = budgets_[name].waiters;
    const auto it = std::ranges::find(waiters, id, &Waiter::id);
    if (it == waiters.end()) {
      return;
    }
    is_ledger_lost_ |= !it->is_short;
    EndWaiter(*it,
              it->is_short ? ReserveStatus::kInsufficient
                           : ReserveStatus::kUnavailable,
              tasks);
    waiters.erase(it);
  }
  PostAll(std::move(tasks));
  PumpSoon(name);
}

// Serves waiters and starts an exchange if one is due; runs on the loop.
void GrantTable::Core::Pump(const std::string& name) {
  const std::optional<Tokens> limit = limit_(name);
  Tasks tasks;
  std::vector<ShardCommand> commands;
  std::optional<Millis> wake;
  {
    const std::lock_guard lock(mutex_);
    Budget& budget = budgets_[name];
    ServeWaiters(budget, loop_.now(), tasks);
    if (!budget.in_flight) {
      budget.is_recalled &= budget.free > 0;
      if (const auto exchange = Plan(name, budget)) {
        commands = Begin(budget, *exchange, limit);
      } else {
        wake = NextWake(budget);
        budget.wake_at = wake.value_or(budget.wake_at);
      }
    }
    TakeStopCallbacks(tasks);
  }
  PostAll(std::move(tasks));
  if (!commands.empty()) {
    Send(name, commands);
  } else if (wake) {
    loop_.after(std::max(*wake - loop_.now(), Millis{1}),
                Weakly([name](Core& it) { it.Wake(name); }));
  }
}

void GrantTable::Core::Wake(const std::string& name) {
  {
    const std::lock_guard lock(mutex_);
    budgets_[name].wake_at = Millis::max();
  }
  Pump(name);
}

void GrantTable::Core::Send(const std::string& name,
                            const std::vector<ShardCommand>& commands) {
  apply_(ShardOfBudget(name, options_.shard_count), commands,
         options_.exchange_timeout,
         [self = weak_from_this(), name](
             LedgerStatus status, const std::vector<ShardReply>& replies) {
           if (const auto it = self.lock()) {
             it->OnReply(name, status, replies);
           }
         });
}

void GrantTable::Core::Resend(const std::string& name) {
  std::vector<ShardCommand> commands;
  {
    const std::lock_guard lock(mutex_);
    commands = budgets_[name].in_flight.value().commands;
  }
  Send(name, commands);
}

void GrantTable::Core::OnReply(const std::string& name,
                               LedgerStatus status,
                               const std::vector<ShardReply>& replies) {
  Tasks tasks;
  bool is_known = false;
  {
    const std::lock_guard lock(mutex_);
    Budget& budget = budgets_[name];
    is_known = status == LedgerStatus::kDurable &&
               replies.size() == budget.in_flight.value().commands.size();
    is_ledger_lost_ = !is_known;
    if (is_known) {
      const InFlight sent = std::move(*budget.in_flight);
      budget.in_flight.reset();
      Acknowledge(name, budget, sent, replies.back(), tasks);
      TakeStopCallbacks(tasks);
    }
  }
  PostAll(std::move(tasks));
  if (is_known) {
    Pump(name);
  } else {
    // The exchange may have taken effect, so only the same one may follow.
    loop_.after(options_.retry_delay,
                Weakly([name](Core& it) { it.Resend(name); }));
  }
}

void GrantTable::Core::Acknowledge(const std::string& name,
                                   Budget& budget,
                                   const InFlight& sent,
                                   const ShardReply& reply,
                                   Tasks& tasks) {
  const Millis now = loop_.now();
  budget.sequence = sent.exchange.sequence;
  budget.unsettled -= BilledIn(sent.exchange);
  if (reply.status != ReplyStatus::kOk) {
    Forfeit(name, budget, reply, tasks);
    return;
  }
  budget.limit_sent = sent.limit;
  budget.armed = sent.exchange.armed;
  budget.pace = sent.exchange.pace;
  budget.available = reply.available;
  budget.answered_at = now;
  budget.limit = reply.limit;
  budget.other_holders = reply.other_holders.size();
  budget.free += reply.granted;
  LogLine(LogEvent::kGrantChanged)
      .Add("budget", name)
      .Add("wanted", sent.exchange.want)
      .Add("granted", reply.granted)
      .Add("returned", sent.exchange.returned)
      .Add("settled", BilledIn(sent.exchange))
      .Add("free", budget.free)
      .Add("reserved", budget.reserved)
      .Add("armed", budget.armed)
      .Add("pace", budget.pace)
      .Add("spare", SpareSize(budget))
      .Add("available", reply.available)
      .Add("others", reply.others_outstanding)
      .Add("other_holders", budget.other_holders)
      .Add("limit", reply.limit);
  if (reply.granted > 0) {
    budget.used_at = now;
    budget.recall_until.reset();
  } else if (sent.exchange.want > 0) {
    budget.refill_after = now + options_.settle_period;
  }
  ServeWaiters(budget, now, tasks);
  Judge(name, budget, sent, reply, tasks);
}

// Refuses waiters that the budget does not cover, after other holders had
// time to return tokens.
void GrantTable::Core::Judge(const std::string& name,
                             Budget& budget,
                             const InFlight& sent,
                             const ShardReply& reply,
                             Tasks& tasks) {
  if (budget.waiters.empty()) {
    budget.recall_until.reset();
    return;
  }
  const Millis now = loop_.now();
  const Waiter& first = budget.waiters.front();
  // A waiter that came later than the exchange needs a reply of its own.
  if (first.id > sent.last_waiter ||
      first.amount <= budget.free + reply.available) {
    return;
  }
  const auto& until = budget.recall_until;
  if (until && now >= *until + options_.recall_wait) {
    // The answers to that recall say nothing about tokens granted since.
    budget.recall_until.reset();
  }
  const bool can_recall = options_.recall_wait.count() > 0;
  if (reply.other_holders.empty() || !can_recall || (until && now >= *until)) {
    const double used = static_cast<double>(reply.billed + budget.unsettled +
                                            budget.reserved + first.amount);
    const bool is_spent =
        reply.others_outstanding == 0 ||
        used > options_.exhausted_fraction * static_cast<double>(reply.limit);
    budget.refusal =
        is_spent ? ReserveStatus::kInsufficient : ReserveStatus::kHeldElsewhere;
    budget.refuse_from = first.amount;
    budget.refuse_until =
        now + (is_spent ? options_.exhausted_refusal_cache_time
                        : options_.refusal_cache_time);
    RefuseShort(budget, budget.refusal, sent.last_waiter, tasks);
    return;
  }
  budget.waiters.front().is_short = true;
  if (!budget.recall_until) {
    budget.recall_until = now + options_.recall_wait;
    if (options_.recall) {
      tasks.emplace_back(
          [recall = options_.recall, name, holders = reply.other_holders] {
            recall(name, holders);
          });
    }
  }
  budget.ask_after =
      std::min(now + options_.recall_poll_period, *budget.recall_until);
}

// The ledger holds no tokens for this holder. Either its record was dropped
// after the exchange took effect, and nothing is lost, or the stored value
// was replaced; then what is held here must not be spent.
void GrantTable::Core::Forfeit(const std::string& name,
                               Budget& budget,
                               const ShardReply& reply,
                               Tasks& tasks) {
  budget.free = 0;
  if (reply.status == ReplyStatus::kUnknownBudget) {
    EndAllWaiters(budget, ReserveStatus::kUnknownBudget, tasks);
  } else if (!HoldsNothing(budget)) {
    Log(LogEvent::kExchangeRejected, "budget {}, holder {}", name,
        ToString(holder_));
    EndAllWaiters(budget, ReserveStatus::kUnavailable, tasks);
  }
}

// Looks for idle grants now and then.
void GrantTable::Core::SweepLater() {
  loop_.after(
      std::min(options_.idle_return_time, options_.tight_idle_return_time) / 4,
      Weakly([](Core& it) { it.Sweep(); }));
}

void GrantTable::Core::Sweep() {
  std::vector<std::string> names;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [name, budget] : budgets_) {
      if (ToReturn(budget) > 0) {
        names.push_back(name);
      }
    }
  }
  for (const auto& it : names) {
    Pump(it);
  }
  SweepLater();
}

void GrantTable::Core::TakeStopCallbacks(Tasks& tasks) {
  const bool is_done = !stop_callbacks_.empty() &&
                       std::ranges::all_of(budgets_, [](const auto& it) {
                         return IsAtRest(it.second);
                       });
  if (is_done) {
    std::ranges::move(stop_callbacks_, std::back_inserter(tasks));
    stop_callbacks_.clear();
  }
}

GrantTable::GrantTable(
    GrantTableOptions options,
    HolderId holder,
    EventLoop loop,
    ApplyToShard apply,
    std::function<std::optional<Tokens>(const std::string&)> limit)
    : core_(std::make_shared<Core>(std::move(options),
                                   std::move(holder),
                                   std::move(loop),
                                   std::move(apply),
                                   std::move(limit))) {
  core_->SweepLater();
  core_->TopUpLater();
}

GrantTable::~GrantTable() = default;

void GrantTable::Reserve(const std::string& budget,
                         Tokens amount,
                         Millis wait,
                         std::function<void(ReserveStatus)> callback) {
  core_->Reserve(budget, amount, wait, std::move(callback));
}

bool GrantTable::ReserveForPeer(const std::string& budget,
                                Tokens amount,
                                double keep_part) {
  return core_->ReserveForPeer(budget, amount, keep_part);
}

void GrantTable::Settle(const std::string& budget,
                        Tokens reserved,
                        const Bill& bill) {
  core_->Settle(budget, reserved, bill);
}

bool GrantTable::PrepareStamp() {
  return core_->PrepareStamp();
}

void GrantTable::OnStamp(Millis now) {
  core_->OnStamp(now);
}

void GrantTable::Recall(const std::string& budget) {
  core_->Recall(budget);
}

void GrantTable::ReturnAll(std::function<void()> callback) {
  core_->ReturnAll(std::move(callback));
}

BudgetView GrantTable::GetBudgetView(const std::string& budget) const {
  return core_->GetBudgetView(budget);
}

std::vector<HeldGrant> GrantTable::HeldGrants() const {
  return core_->HeldGrants();
}

}  // namespace crocuslatch
