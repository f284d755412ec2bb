#include "src/scheduler.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

#include "src/error.h"

namespace crocuslatch {
namespace {

// An account with a weight of 0 would never be served.
constexpr double kLeastWeight = 1e-3;
// Reported for a lane that starts nothing.
constexpr Millis kLongestWait{std::chrono::hours(1)};

double Cost(Tokens tokens) {
  return static_cast<double>(std::max<Tokens>(tokens, 1));
}

// Flow that start-time fair queueing serves next: the least start tag.
template <typename Flows>
auto FirstFlow(Flows& flows) {
  auto best = flows.end();
  for (auto it = flows.begin(); it != flows.end(); ++it) {
    if (it->second.waiting.empty()) {
      continue;
    }
    if (best == flows.end() || it->second.start < best->second.start) {
      best = it;
    }
  }
  return best;
}

}  // namespace

SchedulerCore::SchedulerCore(SchedulerOptions options) : options_(options) {}

void SchedulerCore::SetRanks(const std::vector<RankConfig>& ranks) {
  if (ranks.empty() || ranks == ranks_) {
    return;
  }
  const auto old_ranks = std::exchange(ranks_, ranks);
  for (auto& [target, lane] : lanes_) {
    auto old = std::exchange(lane.ranks, std::vector<RankQueue>(ranks.size()));
    for (std::size_t i = 0; i < old.size(); ++i) {
      const auto rank =
          RankIndex(old_ranks[i].name).value_or(ranks_.size() - 1);
      for (auto& [account, flow] : old[i].flows) {
        for (auto& it : flow.waiting) {
          places_[it.id].rank = rank;
          Append(lane, rank, std::move(it));
        }
      }
    }
  }
}

EnqueueStatus SchedulerCore::Enqueue(WorkId id,
                                     const QueuedWork& work,
                                     Millis now) {
  const auto rank = RankIndex(work.rank);
  // A document may remove the rank of a stream that is being served.
  if (!rank && !work.resumed) {
    return EnqueueStatus::kUnknownRank;
  }
  auto& lane = LaneOf(work.target);
  CountBusyTime(lane, now);
  if (!work.resumed) {
    if (QueuedOfRank(work.rank) >= ranks_[*rank].max_queued ||
        queued_bytes_ + work.bytes > options_.max_queued_bytes) {
      return EnqueueStatus::kQueueFull;
    }
    if (work.deadline <= now ||
        now + WaitInLane(lane, *rank, work) > work.deadline) {
      return EnqueueStatus::kDeadlineUnreachable;
    }
  }
  if (lane.count == 0) {
    lane.busy_since = now;
  }
  ++lane.count;
  queued_bytes_ += work.bytes;
  places_[id] = {.target = work.target,
                 .rank = rank.value_or(0),
                 .client_account = work.client_account,
                 .resumed = work.resumed};
  if (work.resumed) {
    lane.resumed.push_back({.id = id, .work = work});
  } else {
    Append(lane, *rank, {.id = id, .work = work});
  }
  return EnqueueStatus::kQueued;
}

bool SchedulerCore::Cancel(WorkId id) {
  const auto place = places_.find(id);
  if (place == places_.end()) {
    return false;
  }
  auto& lane = LaneOf(place->second.target);
  const auto has_id = [id](const Waiting& it) { return it.id == id; };
  if (place->second.resumed) {
    const auto it = std::ranges::find_if(lane.resumed, has_id);
    const auto removed = *it;
    lane.resumed.erase(it);
    Forget(lane, removed);
    return true;
  }
  auto& queue = lane.ranks[place->second.rank];
  auto& flow = queue.flows[place->second.client_account];
  const auto it = std::ranges::find_if(flow.waiting, has_id);
  const auto removed = *it;
  flow.waiting.erase(it);
  flow.queued_tokens -= removed.work.tokens;
  queue.queued_tokens -= removed.work.tokens;
  --queue.count;
  if (queue.count == 0) {
    queue = {};
  }
  Forget(lane, removed);
  return true;
}

std::optional<WorkId> SchedulerCore::StartNext(Millis now,
                                               const TryStart& try_start) {
  // Lanes take turns so that no model is asked last each time.
  const auto first = lanes_.lower_bound(next_lane_);
  auto it = first;
  for (std::size_t n = 0; n < lanes_.size(); ++n) {
    if (it == lanes_.end()) {
      it = lanes_.begin();
    }
    if (const auto id = NextOfLane(it->second, now, try_start)) {
      const auto next = std::next(it);
      next_lane_ = next == lanes_.end() ? std::string() : next->first;
      return id;
    }
    ++it;
  }
  return std::nullopt;
}

std::size_t SchedulerCore::QueuedOfRank(const std::string& rank) const {
  const auto i = RankIndex(rank);
  if (!i) {
    return 0;
  }
  return std::accumulate(lanes_.begin(), lanes_.end(), std::size_t{0},
                         [i](std::size_t sum, const auto& it) {
                           return sum + it.second.ranks[*i].count;
                         });
}

Millis SchedulerCore::ExpectedWait(const QueuedWork& work, Millis now) const {
  const auto rank = RankIndex(work.rank);
  const auto it = lanes_.find(work.target);
  if (!rank || it == lanes_.end()) {
    return Millis{0};
  }
  auto lane = it->second;
  CountBusyTime(lane, now);
  return WaitInLane(lane, *rank, work);
}

std::optional<std::size_t> SchedulerCore::RankIndex(
    const std::string& rank) const {
  const auto it = std::ranges::find(ranks_, rank, &RankConfig::name);
  if (it == ranks_.end()) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(it - ranks_.begin());
}

SchedulerCore::Lane& SchedulerCore::LaneOf(const std::string& target) {
  auto& lane = lanes_[target];
  lane.ranks.resize(ranks_.size());
  return lane;
}

void SchedulerCore::CountBusyTime(Lane& lane, Millis now) const {
  const auto passed = static_cast<double>((now - lane.counted_until).count());
  lane.counted_until = now;
  const auto half_life = static_cast<double>(options_.rate_half_life.count());
  const double decay = std::exp2(-std::max(passed, 0.0) / half_life);
  lane.busy_ms *= decay;
  lane.busy_tokens *= decay;
  // Time without waiting requests says nothing about what the lane could do.
  if (lane.count > 0) {
    lane.busy_ms += passed;
  }
}

Millis SchedulerCore::WaitInLane(const Lane& lane,
                                 std::size_t rank,
                                 const QueuedWork& work) const {
  if (lane.count == 0 ||
      lane.busy_ms <
          static_cast<double>(options_.min_rate_sample_time.count())) {
    return Millis{0};
  }
  const auto& queue = lane.ranks[rank];
  const auto own = queue.flows.find(work.client_account);
  const double own_tokens =
      own == queue.flows.end() ? 0 : Cost(own->second.queued_tokens);
  const double weight = std::max(work.weight, kLeastWeight);
  double in_rank = own_tokens;
  for (const auto& [account, flow] : queue.flows) {
    if (account != work.client_account) {
      // Fair queueing lets another account pass by at most its part.
      const double part =
          (own_tokens + Cost(work.tokens)) * flow.weight / weight;
      in_rank += std::min(static_cast<double>(flow.queued_tokens), part);
    }
  }
  double ahead = in_rank;
  for (std::size_t i = 0; i < rank; ++i) {
    ahead += static_cast<double>(lane.ranks[i].queued_tokens);
  }
  const double share = ranks_[rank].share;
  if (share > 0) {
    ahead = std::min(ahead, in_rank / share);
  }
  if (ahead <= 0) {
    return Millis{0};
  }
  const double rate = lane.busy_tokens / lane.busy_ms;
  const double wait = rate > 0 ? ahead / rate : HUGE_VAL;
  if (wait >= static_cast<double>(kLongestWait.count())) {
    return kLongestWait;
  }
  return Millis{static_cast<Millis::rep>(wait)};
}

std::optional<WorkId> SchedulerCore::NextOfLane(Lane& lane,
                                                Millis now,
                                                const TryStart& try_start) {
  CountBusyTime(lane, now);
  if (!lane.resumed.empty()) {
    const auto it = lane.resumed.front();
    if (!try_start(it.id, it.work, true)) {
      return std::nullopt;
    }
    lane.resumed.pop_front();
    Forget(lane, it);
    return it.id;
  }
  const auto rank = ChooseRank(lane);
  if (!rank) {
    return std::nullopt;
  }
  const auto& first = FirstFlow(lane.ranks[*rank].flows)->second.waiting[0];
  const bool may_use_reserved_slots = *rank == 0 || IsOwed(lane, *rank);
  if (!try_start(first.id, first.work, may_use_reserved_slots)) {
    return std::nullopt;
  }
  // A start in the moment of arrival used a free slot: no sign of the rate.
  if (lane.busy_since < now) {
    lane.busy_tokens += Cost(first.work.tokens);
  }
  Charge(lane, *rank, first.work.tokens);
  const auto it = TakeFirst(lane, *rank);
  Forget(lane, it);
  return it.id;
}

std::optional<std::size_t> SchedulerCore::ChooseRank(const Lane& lane) const {
  std::optional<std::size_t> most_urgent;
  for (std::size_t i = 0; i < lane.ranks.size(); ++i) {
    if (IsOwed(lane, i)) {
      return i;
    }
    if (!most_urgent && lane.ranks[i].count > 0) {
      most_urgent = i;
    }
  }
  return most_urgent;
}

bool SchedulerCore::IsOwed(const Lane& lane, std::size_t rank) const {
  const auto& queue = lane.ranks[rank];
  if (rank == 0 || queue.count == 0) {
    return false;
  }
  const auto& first = FirstFlow(queue.flows)->second.waiting[0];
  return queue.credit >= Cost(first.work.tokens);
}

// Every waiting lower rank earns its share of what the lane starts. What a
// rank gets in spare time uses up its credit but leaves no debt.
void SchedulerCore::Charge(Lane& lane, std::size_t rank, Tokens tokens) const {
  for (std::size_t i = 1; i < lane.ranks.size(); ++i) {
    auto& queue = lane.ranks[i];
    if (queue.count > 0) {
      queue.credit += ranks_[i].share * Cost(tokens);
    }
    if (i == rank) {
      queue.credit = std::max(0.0, queue.credit - Cost(tokens));
    }
  }
}

void SchedulerCore::Append(Lane& lane, std::size_t rank, Waiting it) {
  auto& queue = lane.ranks[rank];
  auto& flow = queue.flows[it.work.client_account];
  if (flow.waiting.empty()) {
    flow.start = std::max(queue.virtual_time, flow.finish);
  }
  flow.weight = std::max(it.work.weight, kLeastWeight);
  flow.queued_tokens += it.work.tokens;
  queue.queued_tokens += it.work.tokens;
  ++queue.count;
  flow.waiting.push_back(std::move(it));
}

SchedulerCore::Waiting SchedulerCore::TakeFirst(Lane& lane, std::size_t rank) {
  auto& queue = lane.ranks[rank];
  auto& flow = FirstFlow(queue.flows)->second;
  auto it = std::move(flow.waiting.front());
  flow.waiting.pop_front();
  queue.virtual_time = flow.start;
  flow.finish = flow.start + Cost(it.work.tokens) / flow.weight;
  flow.start = flow.finish;
  flow.queued_tokens -= it.work.tokens;
  queue.queued_tokens -= it.work.tokens;
  --queue.count;
  // Without waiting requests there is nobody to be fair to.
  if (queue.count == 0) {
    queue = {};
  }
  return it;
}

void SchedulerCore::Forget(Lane& lane, const Waiting& it) {
  --lane.count;
  queued_bytes_ -= it.work.bytes;
  places_.erase(it.id);
}

Scheduler::Scheduler(SchedulerOptions options, std::function<Millis()> now)
    : now_(std::move(now)), core_(options) {}

void Scheduler::SetRanks(const std::vector<RankConfig>& ranks) {
  const std::lock_guard lock(mutex_);
  core_.SetRanks(ranks);
}

EnqueueStatus Scheduler::Enqueue(const QueuedWork& work,
                                 TakeSlot take_slot,
                                 std::function<void()> started,
                                 WorkId* id) {
  const std::lock_guard lock(mutex_);
  const auto status = core_.Enqueue(last_id_ + 1, work, now_());
  if (status != EnqueueStatus::kQueued) {
    return status;
  }
  *id = ++last_id_;
  hooks_[*id] = {.take_slot = std::move(take_slot),
                 .started = std::move(started)};
  return status;
}

bool Scheduler::Cancel(WorkId id) {
  Hooks removed;
  const std::lock_guard lock(mutex_);
  if (!core_.Cancel(id)) {
    return false;
  }
  auto node = hooks_.extract(id);
  removed = std::move(node.mapped());
  return true;
}

void Scheduler::StartWaiting() {
  std::vector<std::function<void()>> started;
  {
    const std::lock_guard lock(mutex_);
    const auto try_start = [this](WorkId id, const QueuedWork&, bool last) {
      return hooks_.at(id).take_slot(last);
    };
    while (const auto id = core_.StartNext(now_(), try_start)) {
      auto node = hooks_.extract(*id);
      started.push_back(std::move(node.mapped().started));
    }
  }
  for (const auto& it : started) {
    it();
  }
}

std::size_t Scheduler::queued() const {
  const std::lock_guard lock(mutex_);
  return core_.queued();
}

}  // namespace crocuslatch
