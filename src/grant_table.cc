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

// Keeps an exchange far below the size limits of peer frames and stored values.
constexpr std::size_t kMaxBillsPerExchange = 1000;

// A grant is refilled when less than the spare size divided by this is free.
constexpr Tokens kLowWaterDivisor = 4;

// Weight of the latest request in the mean size of requests.
constexpr double kMeanRequestWeight = 0.1;

// Shortest time over which a usage rate is computed.
constexpr Millis kMinUsageTime{1000};

// Samples of recent usage in one window.
constexpr int kUsageBuckets = 10;

struct Waiter {
  std::uint64_t id = 0;
  Tokens amount = 0;
  std::function<void(ReserveStatus)> callback;
  // A durable reply has said that the budget does not cover the amount.
  bool is_insufficient = false;
};

struct UsageSample {
  Millis at{0};
  Tokens amount = 0;
};

struct InFlightExchange {
  ExchangeCommand exchange;
  // All commands of the call, kept so that it can be sent again unchanged.
  std::vector<ShardCommand> commands;
  Tokens limit = 0;
  // Newest waiter that the exchange asks tokens for; 0 if there is none.
  std::uint64_t last_waiter = 0;
};

struct Budget {
  Tokens free = 0;
  Tokens reserved = 0;
  Tokens unsettled = 0;
  // Bills that are not yet part of an exchange.
  std::vector<Bill> bills;
  Tokens unsettled_sum = 0;
  // Usage bound that the ledger knows; see UsageBound.
  Tokens armed = 0;
  Tokens pace = 0;
  bool needs_rearm = false;
  // As of the last reply; -1 before the first.
  Tokens available = -1;
  Tokens limit = 0;
  std::size_t other_holders = 0;
  // Time of the last reply.
  Millis answered_at{0};
  // Cached refusal: until it expires, requests for at least this amount get
  // this status.
  Millis refusal_expires_at{0};
  Tokens refusal_min_amount = 0;
  ReserveStatus refusal = ReserveStatus::kInsufficient;
  std::optional<InFlightExchange> in_flight;
  std::uint64_t sequence = 0;
  Tokens limit_sent = 0;
  std::deque<Waiter> waiters;
  std::deque<UsageSample> usage_samples;
  // Moving average of the size of a request; 0 before the first.
  double mean_request = 0;
  // Time of the first usage, for the rate while the first window is incomplete.
  Millis usage_since{0};
  Millis last_used_at{0};
  // The next exchange refills the grant to the spare size, or returns what
  // exceeds it.
  bool needs_refill = false;
  bool has_excess = false;
  // Time at which the oldest unsettled bill has to be settled.
  Millis settle_at = Millis::max();
  // Earliest times of the next exchange for waiters and of the next refill.
  Millis request_after{0};
  Millis refill_after{0};
  // Earliest wake-up that is scheduled; max() if there is none.
  Millis wake_at = Millis::max();
  // End of the wait for other holders to return tokens; set when a grant was
  // too small.
  std::optional<Millis> recall_until;
  bool is_recalled = false;
};

// Tasks to run after the lock is released.
using Tasks = std::vector<Task>;

Tokens BilledIn(const ExchangeCommand& exchange) {
  Tokens sum = exchange.settled;
  for (const auto& it : exchange.bills) {
    sum += it.amount;
  }
  return sum;
}

// Puts the bills of a rejected exchange back, up to the tokens `held` by which
// the ledger can settle them.
void RestoreBills(Budget& budget,
                  const ExchangeCommand& sent,
                  Tokens held,
                  Millis settle_at) {
  const Tokens settled = std::min(sent.settled, held);
  budget.unsettled_sum += settled;
  budget.unsettled += settled;
  Tokens left = held - settled;
  for (const auto& it : sent.bills) {
    if (it.amount <= left) {
      left -= it.amount;
      budget.bills.push_back(it);
      budget.unsettled += it.amount;
    }
  }
  budget.settle_at = std::min(budget.settle_at, settle_at);
}

bool HoldsNothing(const Budget& budget) {
  return budget.free + budget.reserved + budget.unsettled == 0;
}

bool IsDrained(const Budget& budget) {
  return !budget.in_flight && HoldsNothing(budget);
}

Tokens RecentUsage(const Budget& budget, Millis since) {
  Tokens sum = 0;
  for (const auto& it : budget.usage_samples) {
    sum += it.at >= since ? it.amount : 0;
  }
  // Corrections of reservations made before `since` can exceed the usage since
  // then.
  return std::max<Tokens>(0, sum);
}

void AddUsage(Budget& budget, Tokens amount, Millis now, Millis window) {
  if (budget.usage_samples.empty()) {
    budget.usage_since = now;
  }
  while (!budget.usage_samples.empty() &&
         budget.usage_samples.front().at < now - window) {
    budget.usage_samples.pop_front();
  }
  if (budget.usage_samples.empty() ||
      budget.usage_samples.back().at < now - window / kUsageBuckets) {
    budget.usage_samples.push_back({now, 0});
  }
  budget.usage_samples.back().amount += amount;
}

void CompleteWaiter(Waiter& waiter, ReserveStatus status, Tasks& tasks) {
  tasks.emplace_back(
      [callback = std::move(waiter.callback), status] { callback(status); });
}

void CompleteAllWaiters(Budget& budget, ReserveStatus status, Tasks& tasks) {
  for (auto& it : budget.waiters) {
    CompleteWaiter(it, status, tasks);
  }
  budget.waiters.clear();
}

// A reservation counts as usage at once, and its unused part is subtracted when
// it ends. Responses take seconds, and counting usage only at their end would
// delay the measured rate by that time.
void ReserveNow(Budget& budget, Tokens amount, Millis now, Millis window) {
  AddUsage(budget, amount, now, window);
  const auto size = static_cast<double>(amount);
  budget.mean_request +=
      budget.mean_request == 0
          ? size
          : kMeanRequestWeight * (size - budget.mean_request);
  budget.free -= amount;
  budget.reserved += amount;
  budget.last_used_at = now;
}

// Tokens that are or may yet be used and that no acknowledged exchange has
// settled.
Tokens UnsettledUsage(const Budget& budget) {
  return budget.reserved + budget.unsettled;
}

// Usage bound at this time after the stamp. An exchange in flight may or may
// not have taken effect, so the usage has to stay within both bounds.
Tokens UsageBoundAt(const Budget& budget, Millis since_stamp) {
  const Tokens bound = UsageBound(budget.armed, budget.pace, since_stamp);
  if (!budget.in_flight) {
    return bound;
  }
  const auto& sent = budget.in_flight->exchange;
  return std::min(
      bound, UsageBound(sent.armed, sent.pace, since_stamp) + sent.settled);
}

// Refuses the waiters for at least the first waiter's amount that the exchange
// with the too small grant asked tokens for.
void RefuseWaiters(Budget& budget,
                   ReserveStatus status,
                   std::uint64_t last_waiter,
                   Tasks& tasks) {
  const Tokens amount = budget.waiters.front().amount;
  std::erase_if(budget.waiters, [&](auto& it) {
    const bool refused = it.amount >= amount && it.id <= last_waiter;
    if (refused) {
      CompleteWaiter(it, status, tasks);
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
  bool ReserveForPeer(const std::string& name,
                      Tokens amount,
                      double keep_fraction);
  void Settle(const std::string& name, Tokens reserved, const Bill& bill);
  void Recall(const std::string& name);
  void ScheduleRefills();
  bool PrepareStamp();
  void OnStamp(Millis now);
  void ReturnAll(std::function<void()> callback);
  void SetMaxArmedFraction(double fraction) {
    const std::lock_guard lock(mutex_);
    max_armed_fraction_ = fraction;
  }
  std::vector<HeldGrant> HeldGrants() const;
  BudgetView GetBudgetView(const std::string& name) const;
  void ScheduleSweep();

 private:
  // Makes a task that runs the function with the core if it still exists.
  template <typename Function>
  Task BindWeak(Function function) {
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

  void PostPump(const std::string& name) {
    loop_.post(BindWeak([name](Core& it) { it.Pump(name); }));
  }

  void PumpAfter(const std::string& name, Millis delay) {
    loop_.after(delay, BindWeak([name](Core& it) { it.Pump(name); }));
  }

  bool TryReserve(const std::string& name, Tokens amount);
  bool IsTight(const Budget& budget) const;
  // Before the first stamp, no tokens of this holder can be reclaimed, so its
  // usage needs no bound.
  bool IsBounded() const { return stamped_at_ && options_.has_usage_bounds; }
  bool CanReserve(const Budget& budget, Tokens amount) const {
    return amount >= 0 && amount <= budget.free &&
           (!IsBounded() ||
            UnsettledUsage(budget) + amount <=
                UsageBoundAt(budget, loop_.now() - *stamped_at_));
  }
  Millis TimeUntilCovered(const Budget& budget, Tokens amount) const;
  void ServeWaiters(Budget& budget, Millis now, Tasks& tasks) const;
  Tokens ExpectedUsage(const Budget& budget, Millis time) const;
  Tokens ExpectedUsageWithMargin(const Budget& budget, Millis time) const;
  Tokens TokensToArm(const Budget& budget, Tokens settled) const;
  Tokens UsagePace(const Budget& budget) const;
  bool NeedsRearm(const Budget& budget) const;
  Millis IdleTime(const Budget& budget) const {
    return IsTight(budget) ? options_.tight_idle_return_time
                           : options_.idle_return_time;
  }
  Tokens SpareSize(const Budget& budget) const;
  bool IsLow(const Budget& budget) const;
  std::optional<ReserveStatus> CachedRefusal(const Budget& budget,
                                             Tokens amount,
                                             Tokens limit) const;
  Tokens TokensToRequest(const Budget& budget, Tokens free) const;
  Tokens TokensToReturn(const Budget& budget) const;
  bool IsSettleDue(const Budget& budget) const;
  std::optional<ExchangeCommand> PlanExchange(const std::string& name,
                                              const Budget& budget) const;
  const std::vector<ShardCommand>& BeginExchange(
      Budget& budget,
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
  void ApplyReply(const std::string& name,
                  Budget& budget,
                  const InFlightExchange& sent,
                  const ShardReply& reply,
                  Tasks& tasks);
  void RefuseOrRecall(const std::string& name,
                      Budget& budget,
                      const InFlightExchange& sent,
                      const ShardReply& reply,
                      Tasks& tasks);
  void DropGrant(const std::string& name,
                 Budget& budget,
                 const ExchangeCommand& sent,
                 const ShardReply& reply,
                 Tasks& tasks);
  void Sweep();
  void RefillGrants();
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
  // An exchange had no known result in time, and none has had one since.
  bool is_ledger_unreachable_ = false;
  double max_armed_fraction_ = options_.max_armed_fraction;
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
    PostPump(name);
  }
  return true;
}

void GrantTable::Core::Reserve(const std::string& name,
                               Tokens amount,
                               Millis wait,
                               std::function<void(ReserveStatus)> callback) {
  Tasks tasks;
  Waiter waiter{0, amount, std::move(callback)};
  if (TryReserve(name, amount)) {
    CompleteWaiter(waiter, ReserveStatus::kReserved, tasks);
    PostAll(std::move(tasks));
    return;
  }
  // The document's lock comes before this table's in the lock order, so the
  // limit is read without holding the latter.
  const auto limit = limit_(name);
  if (!limit) {
    CompleteWaiter(waiter, ReserveStatus::kUnknownBudget, tasks);
    PostAll(std::move(tasks));
    return;
  }
  // No state of the ledger covers such an amount, and an exchange for it would
  // arm all tokens of the grant.
  if (amount < 0 || amount > *limit) {
    CompleteWaiter(waiter, ReserveStatus::kInsufficient, tasks);
    PostAll(std::move(tasks));
    return;
  }
  std::uint64_t id = 0;
  {
    const std::lock_guard lock(mutex_);
    id = ++last_waiter_;
    waiter.id = id;
    const auto refusal = CachedRefusal(budgets_[name], amount, *limit);
    const bool is_unreachable = is_ledger_unreachable_ &&
                                options_.refuses_while_unreachable &&
                                budgets_[name].in_flight;
    // While the ledger is unreachable, the request can only be covered by the
    // growth of the usage bound.
    const Millis until_covered = TimeUntilCovered(budgets_[name], amount);
    const bool can_wait = until_covered.count() > 0;
    if (can_wait) {
      wait = std::max(wait, until_covered);
    }
    if (is_stopping_ || (is_unreachable && !can_wait) || refusal) {
      CompleteWaiter(waiter, refusal.value_or(ReserveStatus::kUnavailable),
                     tasks);
    } else {
      budgets_[name].waiters.push_back(std::move(waiter));
    }
  }
  PostAll(std::move(tasks));
  // Tries once more at the end of the wait, since the bound may have grown.
  loop_.after(wait, BindWeak([name, id](Core& it) {
                it.Pump(name);
                it.ExpireWaiter(name, id);
              }));
  PostPump(name);
}

bool GrantTable::Core::ReserveForPeer(const std::string& name,
                                      Tokens amount,
                                      double keep_fraction) {
  const std::lock_guard lock(mutex_);
  const auto it = budgets_.find(name);
  if (is_stopping_ || it == budgets_.end() || !it->second.waiters.empty()) {
    return false;
  }
  const auto min_free = static_cast<Tokens>(
      keep_fraction * static_cast<double>(SpareSize(it->second)));
  if (!CanReserve(it->second, amount) || it->second.free - amount < min_free) {
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
    budget.last_used_at = now;
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
    AddUsage(budget, amount - reserved, now, options_.usage_window);
  }
  PostPump(name);
}

// Refills all grants in one turn of the loop, so that one write carries all
// exchanges of a shard.
void GrantTable::Core::RefillGrants() {
  std::vector<std::string> names;
  {
    const std::lock_guard lock(mutex_);
    for (auto& [name, budget] : budgets_) {
      const auto spare = static_cast<double>(SpareSize(budget));
      const auto free = static_cast<double>(budget.free);
      const bool is_idle =
          loop_.now() >= budget.last_used_at + IdleTime(budget);
      if (is_stopping_ || budget.in_flight) {
        continue;
      }
      budget.needs_refill = free < options_.refill_threshold * spare &&
                            !is_idle && loop_.now() >= budget.refill_after;
      budget.has_excess =
          options_.excess_factor > 0 && free > options_.excess_factor * spare;
      if (budget.needs_refill || budget.has_excess) {
        names.push_back(name);
      }
    }
  }
  for (const auto& it : names) {
    Pump(it);
  }
  ScheduleRefills();
}

bool GrantTable::Core::PrepareStamp() {
  std::vector<std::string> names;
  bool is_within = true;
  {
    const std::lock_guard lock(mutex_);
    for (auto& [name, budget] : budgets_) {
      if (UnsettledUsage(budget) <= UsageBoundAt(budget, Millis{0})) {
        continue;
      }
      is_within = false;
      if (!budget.in_flight) {
        budget.needs_rearm = true;
        names.push_back(name);
      }
    }
  }
  for (const auto& it : names) {
    PostPump(it);
  }
  return is_within;
}

void GrantTable::Core::OnStamp(Millis now) {
  const std::lock_guard lock(mutex_);
  stamped_at_ = now;
}

void GrantTable::Core::ScheduleRefills() {
  if (options_.refill_period.count() == 0) {
    return;
  }
  const double factor = options_.random ? 0.5 + options_.random() : 1;
  const auto delay = static_cast<double>(options_.refill_period.count());
  loop_.after(Millis{static_cast<Millis::rep>(delay * factor)},
              BindWeak([](Core& it) { it.RefillGrants(); }));
}

void GrantTable::Core::Recall(const std::string& name) {
  {
    const std::lock_guard lock(mutex_);
    const auto it = budgets_.find(name);
    if (it == budgets_.end() || it->second.free == 0) {
      return;
    }
    it->second.is_recalled = true;
    // An immediate refill would take the tokens from the router that needs
    // them.
    it->second.refill_after = loop_.now() + options_.settle_period;
  }
  PostPump(name);
}

void GrantTable::Core::ReturnAll(std::function<void()> callback) {
  std::vector<std::string> names;
  Tasks tasks;
  {
    const std::lock_guard lock(mutex_);
    is_stopping_ = true;
    stop_callbacks_.push_back(std::move(callback));
    for (auto& [name, budget] : budgets_) {
      CompleteAllWaiters(budget, ReserveStatus::kUnavailable, tasks);
      names.push_back(name);
    }
    TakeStopCallbacks(tasks);
  }
  PostAll(std::move(tasks));
  for (const auto& it : names) {
    PostPump(it);
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

// Reserves for the waiters in order while the grant covers them.
void GrantTable::Core::ServeWaiters(Budget& budget,
                                    Millis now,
                                    Tasks& tasks) const {
  auto& waiters = budget.waiters;
  while (!waiters.empty() && CanReserve(budget, waiters.front().amount)) {
    ReserveNow(budget, waiters.front().amount, now, options_.usage_window);
    CompleteWaiter(waiters.front(), ReserveStatus::kReserved, tasks);
    waiters.pop_front();
  }
}

// Usage expected over `time` at the rate of the last window.
Tokens GrantTable::Core::ExpectedUsage(const Budget& budget,
                                       Millis time) const {
  const Millis now = loop_.now();
  const Tokens usage = RecentUsage(budget, now - options_.usage_window);
  const Millis observed = std::clamp(now - budget.usage_since, kMinUsageTime,
                                     options_.usage_window);
  return ScaleTokens(usage, time.count(), observed.count());
}

// ExpectedUsage with a margin for random variation. The number of requests in
// an interval is taken as Poisson distributed, so its standard deviation is the
// square root of its mean.
Tokens GrantTable::Core::ExpectedUsageWithMargin(const Budget& budget,
                                                 Millis time) const {
  const auto usage = static_cast<double>(ExpectedUsage(budget, time));
  const double mean = budget.mean_request;
  return static_cast<Tokens>(
      std::max(usage + options_.spare_deviations * std::sqrt(usage * mean),
               options_.min_spare_requests * mean));
}

// Armed tokens to send with an exchange that settles `settled`.
Tokens GrantTable::Core::TokensToArm(const Budget& budget,
                                     Tokens settled) const {
  if (!options_.has_usage_bounds) {
    return 0;
  }
  const auto cap = static_cast<Tokens>(max_armed_fraction_ *
                                       static_cast<double>(budget.limit));
  Tokens bound = UnsettledUsage(budget) - settled +
                 std::min(ExpectedUsage(budget, options_.armed_horizon), cap);
  for (const auto& it : budget.waiters) {
    bound = AddTokens(bound, it.amount);
  }
  return std::max<Tokens>(0, bound);
}

Tokens GrantTable::Core::UsagePace(const Budget& budget) const {
  if (!options_.has_usage_bounds) {
    return 0;
  }
  const auto rate =
      static_cast<double>(ExpectedUsage(budget, std::chrono::seconds(1)));
  const auto pace = static_cast<Tokens>(rate * options_.pace_factor);
  return std::clamp(pace, options_.min_pace, kMaxTokens);
}

// Time until the growing usage bound covers the waiters and then this request;
// zero if there is no bound, the grant does not cover the request, or it takes
// longer than `max_bound_wait`.
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
  Tokens needed = UnsettledUsage(budget) + amount;
  for (const auto& it : budget.waiters) {
    needed = AddTokens(needed, it.amount);
  }
  const Millis wait =
      *stamped_at_ + TimeUntilUsageBound(armed, pace, needed) - loop_.now();
  return wait <= options_.max_bound_wait ? std::max(Millis{0}, wait)
                                         : Millis{0};
}

bool GrantTable::Core::NeedsRearm(const Budget& budget) const {
  const bool is_held_back = IsBounded() && !budget.waiters.empty() &&
                            budget.waiters.front().amount <= budget.free;
  return budget.needs_rearm || is_held_back;
}

BudgetView GrantTable::Core::GetBudgetView(const std::string& name) const {
  const std::lock_guard lock(mutex_);
  const auto it = budgets_.find(name);
  if (it == budgets_.end()) {
    return {};
  }
  const Budget& budget = it->second;
  const Tokens bound = IsBounded()
                           ? UsageBoundAt(budget, loop_.now() - *stamped_at_) -
                                 UnsettledUsage(budget)
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

// Tokens to keep beyond those that waiting requests need: the expected usage,
// capped so that enough is left for other holders.
Tokens GrantTable::Core::SpareSize(const Budget& budget) const {
  const Millis now = loop_.now();
  const Tokens usage =
      options_.spare_horizon.count() > 0
          ? ExpectedUsageWithMargin(budget, options_.spare_horizon)
          : RecentUsage(budget, now - options_.usage_window);
  if (options_.max_spare_fraction <= 0 || budget.available < 0) {
    return usage;
  }
  const double remaining =
      static_cast<double>(budget.available + budget.free) -
      options_.low_budget_fraction * static_cast<double>(budget.limit);
  const double cap = options_.max_spare_fraction * std::max(0.0, remaining);
  return std::min(usage, static_cast<Tokens>(cap));
}

bool GrantTable::Core::IsLow(const Budget& budget) const {
  return !is_stopping_ && !budget.is_recalled &&
         loop_.now() >= budget.refill_after &&
         budget.free < SpareSize(budget) / kLowWaterDivisor;
}

// The cached refusal if it applies to a request of this size. A limit raised
// since then invalidates it.
std::optional<ReserveStatus> GrantTable::Core::CachedRefusal(
    const Budget& budget,
    Tokens amount,
    Tokens limit) const {
  const bool holds = loop_.now() < budget.refusal_expires_at &&
                     amount >= budget.refusal_min_amount &&
                     amount > budget.free && limit <= budget.limit_sent;
  return holds ? std::optional(budget.refusal) : std::nullopt;
}

// Tokens to ask for if `free` tokens are kept.
Tokens GrantTable::Core::TokensToRequest(const Budget& budget,
                                         Tokens free) const {
  const Tokens spare = SpareSize(budget);
  if (budget.waiters.empty()) {
    return IsLow(budget) || budget.needs_refill
               ? std::max<Tokens>(0, spare - free)
               : 0;
  }
  if (loop_.now() < budget.request_after) {
    return 0;
  }
  Tokens shortfall = -free;
  for (const auto& it : budget.waiters) {
    shortfall = AddTokens(shortfall, it.amount);
  }
  return options_.spare_horizon.count() > 0 ? AddTokens(shortfall, spare)
                                            : std::max(shortfall, spare);
}

Tokens GrantTable::Core::TokensToReturn(const Budget& budget) const {
  const bool is_idle = budget.waiters.empty() &&
                       loop_.now() >= budget.last_used_at + IdleTime(budget);
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

std::optional<ExchangeCommand> GrantTable::Core::PlanExchange(
    const std::string& name,
    const Budget& budget) const {
  ExchangeCommand exchange;
  exchange.returned = TokensToReturn(budget);
  const Tokens kept = budget.free - exchange.returned;
  exchange.want = TokensToRequest(budget, kept);
  exchange.want = std::max<Tokens>(0, exchange.want);
  if (exchange.want == 0 && exchange.returned == 0 && !IsSettleDue(budget) &&
      !NeedsRearm(budget)) {
    return std::nullopt;
  }
  if (exchange.want > 0 && !budget.waiters.empty()) {
    // The kept tokens may cover the request if only the bound holds it back.
    exchange.least = std::max<Tokens>(0, budget.waiters.front().amount - kept);
  }
  exchange.budget = name;
  exchange.holder = holder_;
  exchange.sequence = budget.sequence + 1;
  exchange.opens = HoldsNothing(budget);
  exchange.settled = budget.unsettled_sum;
  exchange.armed = TokensToArm(budget, exchange.settled);
  exchange.pace = UsagePace(budget);
  const auto n = std::min(budget.bills.size(), kMaxBillsPerExchange);
  exchange.bills.assign(budget.bills.begin(),
                        budget.bills.begin() + static_cast<std::ptrdiff_t>(n));
  return exchange;
}

// Puts the exchange in flight. Returned tokens are not used from here on,
// whether or not the exchange reaches the ledger.
const std::vector<ShardCommand>& GrantTable::Core::BeginExchange(
    Budget& budget,
    const ExchangeCommand& exchange,
    std::optional<Tokens> limit) {
  InFlightExchange& sent = budget.in_flight.emplace();
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
  budget.needs_refill = false;
  budget.has_excess = false;
  budget.needs_rearm = false;
  budget.unsettled_sum -= exchange.settled;
  budget.bills.erase(budget.bills.begin(),
                     budget.bills.begin() +
                         static_cast<std::ptrdiff_t>(exchange.bills.size()));
  if (budget.bills.empty()) {
    budget.settle_at = Millis::max();
  }
  return sent.commands;
}

// Time at which an exchange becomes due without another event; nullopt if there
// is none or an earlier wake-up is scheduled.
std::optional<Millis> GrantTable::Core::NextWake(const Budget& budget) const {
  const bool has_bills = !budget.bills.empty() || budget.unsettled_sum > 0;
  Millis at = has_bills ? budget.settle_at : Millis::max();
  if (!budget.waiters.empty()) {
    at = std::min(at, budget.request_after);
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
    is_ledger_unreachable_ |= !it->is_insufficient;
    CompleteWaiter(*it,
                   it->is_insufficient ? ReserveStatus::kInsufficient
                                       : ReserveStatus::kUnavailable,
                   tasks);
    waiters.erase(it);
  }
  PostAll(std::move(tasks));
  PostPump(name);
}

// Serves waiters and starts an exchange if one is due. Runs on the loop.
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
      if (const auto exchange = PlanExchange(name, budget)) {
        commands = BeginExchange(budget, *exchange, limit);
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
                BindWeak([name](Core& it) { it.Wake(name); }));
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
    is_ledger_unreachable_ = !is_known;
    if (is_known) {
      const InFlightExchange sent = std::move(*budget.in_flight);
      budget.in_flight.reset();
      ApplyReply(name, budget, sent, replies.back(), tasks);
      TakeStopCallbacks(tasks);
    }
  }
  PostAll(std::move(tasks));
  if (is_known) {
    Pump(name);
  } else {
    // The exchange may have taken effect, so it has to be sent again unchanged.
    loop_.after(options_.retry_delay,
                BindWeak([name](Core& it) { it.Resend(name); }));
  }
}

void GrantTable::Core::ApplyReply(const std::string& name,
                                  Budget& budget,
                                  const InFlightExchange& sent,
                                  const ShardReply& reply,
                                  Tasks& tasks) {
  const Millis now = loop_.now();
  budget.unsettled -= BilledIn(sent.exchange);
  if (reply.status != ReplyStatus::kOk) {
    DropGrant(name, budget, sent.exchange, reply, tasks);
    return;
  }
  budget.sequence = sent.exchange.sequence;
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
    budget.last_used_at = now;
    budget.recall_until.reset();
  } else if (sent.exchange.want > 0) {
    budget.refill_after = now + options_.settle_period;
  }
  ServeWaiters(budget, now, tasks);
  RefuseOrRecall(name, budget, sent, reply, tasks);
}

// Refuses waiters that the budget does not cover, once other holders have had
// time to return tokens.
void GrantTable::Core::RefuseOrRecall(const std::string& name,
                                      Budget& budget,
                                      const InFlightExchange& sent,
                                      const ShardReply& reply,
                                      Tasks& tasks) {
  if (budget.waiters.empty()) {
    budget.recall_until.reset();
    return;
  }
  const Millis now = loop_.now();
  const Waiter& first = budget.waiters.front();
  // A waiter that came after the exchange was planned needs a later reply.
  if (first.id > sent.last_waiter ||
      first.amount <= budget.free + reply.available) {
    return;
  }
  const auto& until = budget.recall_until;
  if (until && now >= *until + options_.recall_wait) {
    // That recall is too old: tokens may have been granted to others since.
    budget.recall_until.reset();
  }
  const bool can_recall = options_.recall_wait.count() > 0;
  if (reply.other_holders.empty() || !can_recall || (until && now >= *until)) {
    const double used = static_cast<double>(reply.billed + budget.unsettled +
                                            budget.reserved + first.amount);
    const bool is_exhausted =
        reply.others_outstanding == 0 ||
        used > options_.exhausted_fraction * static_cast<double>(reply.limit);
    budget.refusal = is_exhausted ? ReserveStatus::kInsufficient
                                  : ReserveStatus::kHeldElsewhere;
    budget.refusal_min_amount = first.amount;
    budget.refusal_expires_at =
        now + (is_exhausted ? options_.exhausted_refusal_cache_time
                            : options_.refusal_cache_time);
    RefuseWaiters(budget, budget.refusal, sent.last_waiter, tasks);
    return;
  }
  budget.waiters.front().is_insufficient = true;
  if (!budget.recall_until) {
    budget.recall_until = now + options_.recall_wait;
    if (options_.recall) {
      tasks.emplace_back(
          [recall = options_.recall, name, holders = reply.other_holders] {
            recall(name, holders);
          });
    }
  }
  budget.request_after =
      std::min(now + options_.recall_poll_period, *budget.recall_until);
}

// The ledger has rejected the exchange. If it has no outstanding tokens for
// this holder, its record was dropped after the exchange took effect, and
// nothing is lost, or the holder was taken for dead, and its usage is billed
// already. If it has some, the bills are not settled and must be sent again: an
// exchange that opens the grant anew would free the tokens that they have used.
// In either case, the tokens held here must not be used.
void GrantTable::Core::DropGrant(const std::string& name,
                                 Budget& budget,
                                 const ExchangeCommand& sent,
                                 const ShardReply& reply,
                                 Tasks& tasks) {
  budget.free = 0;
  if (reply.held > 0) {
    // The ledger has not recorded the sequence number.
    RestoreBills(budget, sent, reply.held,
                 loop_.now() + options_.settle_period);
  } else {
    budget.sequence = sent.sequence;
  }
  if (reply.status == ReplyStatus::kUnknownBudget) {
    CompleteAllWaiters(budget, ReserveStatus::kUnknownBudget, tasks);
  } else if (!HoldsNothing(budget)) {
    LogLine(LogEvent::kExchangeRejected)
        .Add("budget", name)
        .Add("holder", ToString(holder_))
        .Add("settled", BilledIn(sent))
        .Add("held", reply.held)
        .Add("unsettled", budget.unsettled)
        .Add("reserved", budget.reserved);
    CompleteAllWaiters(budget, ReserveStatus::kUnavailable, tasks);
  }
}

// Schedules the next check for idle grants.
void GrantTable::Core::ScheduleSweep() {
  loop_.after(
      std::min(options_.idle_return_time, options_.tight_idle_return_time) / 4,
      BindWeak([](Core& it) { it.Sweep(); }));
}

void GrantTable::Core::Sweep() {
  std::vector<std::string> names;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [name, budget] : budgets_) {
      if (TokensToReturn(budget) > 0) {
        names.push_back(name);
      }
    }
  }
  for (const auto& it : names) {
    Pump(it);
  }
  ScheduleSweep();
}

void GrantTable::Core::TakeStopCallbacks(Tasks& tasks) {
  const bool is_done = !stop_callbacks_.empty() &&
                       std::ranges::all_of(budgets_, [](const auto& it) {
                         return IsDrained(it.second);
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
  core_->ScheduleSweep();
  core_->ScheduleRefills();
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
                                double keep_fraction) {
  return core_->ReserveForPeer(budget, amount, keep_fraction);
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

void GrantTable::SetMaxArmedFraction(double fraction) {
  core_->SetMaxArmedFraction(fraction);
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
