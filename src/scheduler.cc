#include "src/scheduler.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

#include "src/error.h"

namespace crocuslatch {
namespace {

// Lower bound for weights: an account with weight 0 would never be served.
constexpr double kMinWeight = 1e-3;
// Upper bound for wait estimates, also used if no request starts at all.
constexpr Millis kMaxWait{std::chrono::hours(1)};

double Cost(Tokens tokens) {
  return static_cast<double>(std::max<Tokens>(tokens, 1));
}

// Returns the flow with the smallest start tag, which start-time fair queueing
// serves next.
template <typename Flows>
auto FirstFlow(Flows& flows) {
  auto best = flows.end();
  for (auto it = flows.begin(); it != flows.end(); ++it) {
    if (it->second.waiting.empty()) {
      continue;
    }
    if (best == flows.end() || it->second.start_tag < best->second.start_tag) {
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
  for (auto& [target, target_queue] : target_queues_) {
    auto old =
        std::exchange(target_queue.ranks, std::vector<RankQueue>(ranks.size()));
    for (std::size_t i = 0; i < old.size(); ++i) {
      const auto rank =
          RankIndex(old_ranks[i].name).value_or(ranks_.size() - 1);
      for (auto& [account, flow] : old[i].flows) {
        for (auto& it : flow.waiting) {
          positions_[it.id].rank = rank;
          Append(target_queue, rank, std::move(it));
        }
      }
    }
  }
}

EnqueueStatus SchedulerCore::Enqueue(WorkId id,
                                     const QueuedWork& work,
                                     Millis now) {
  const auto rank = RankIndex(work.rank);
  // A new document may remove the rank of a stream that is in progress.
  if (!rank && !work.resumed) {
    return EnqueueStatus::kUnknownRank;
  }
  RemoveIdleTargets(now);
  auto& target_queue = GetOrAddTargetQueue(work.target);
  UpdateServiceRate(target_queue, now);
  if (!work.resumed) {
    if (QueuedOfRank(work.rank) >= ranks_[*rank].max_queued ||
        queued_bytes_ + work.bytes > options_.max_queued_bytes) {
      return EnqueueStatus::kQueueFull;
    }
    if (work.deadline <= now ||
        now + EstimateWait(target_queue, *rank, work) > work.deadline) {
      return EnqueueStatus::kDeadlineUnreachable;
    }
  }
  if (target_queue.count == 0) {
    target_queue.busy_since = now;
  }
  ++target_queue.count;
  queued_bytes_ += work.bytes;
  positions_[id] = {.target = work.target,
                    .rank = rank.value_or(0),
                    .client_account = work.client_account,
                    .resumed = work.resumed};
  if (work.resumed) {
    target_queue.resumed.push_back({.id = id, .work = work});
  } else {
    Append(target_queue, *rank, {.id = id, .work = work});
  }
  return EnqueueStatus::kQueued;
}

bool SchedulerCore::Cancel(WorkId id) {
  const auto position = positions_.find(id);
  if (position == positions_.end()) {
    return false;
  }
  auto& target_queue = GetOrAddTargetQueue(position->second.target);
  const auto has_id = [id](const WaitingRequest& it) { return it.id == id; };
  if (position->second.resumed) {
    const auto it = std::ranges::find_if(target_queue.resumed, has_id);
    const auto removed = *it;
    target_queue.resumed.erase(it);
    Untrack(target_queue, removed);
    return true;
  }
  auto& queue = target_queue.ranks[position->second.rank];
  auto& flow = queue.flows[position->second.client_account];
  const auto it = std::ranges::find_if(flow.waiting, has_id);
  const auto removed = *it;
  flow.waiting.erase(it);
  flow.queued_tokens -= removed.work.tokens;
  queue.queued_tokens -= removed.work.tokens;
  --queue.count;
  if (queue.count == 0) {
    queue = {};
  }
  Untrack(target_queue, removed);
  return true;
}

std::optional<WorkId> SchedulerCore::StartNext(Millis now,
                                               const TryStart& try_start) {
  // Round robin over the targets, so that none of them always comes last.
  const auto first = target_queues_.lower_bound(next_target_);
  auto it = first;
  for (std::size_t n = 0; n < target_queues_.size(); ++n) {
    if (it == target_queues_.end()) {
      it = target_queues_.begin();
    }
    if (const auto id = StartNextOfTarget(it->second, now, try_start)) {
      const auto next = std::next(it);
      next_target_ = next == target_queues_.end() ? std::string() : next->first;
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
  return std::accumulate(target_queues_.begin(), target_queues_.end(),
                         std::size_t{0}, [i](std::size_t sum, const auto& it) {
                           return sum + it.second.ranks[*i].count;
                         });
}

Millis SchedulerCore::ExpectedWait(const QueuedWork& work, Millis now) const {
  const auto rank = RankIndex(work.rank);
  const auto it = target_queues_.find(work.target);
  if (!rank || it == target_queues_.end()) {
    return Millis{0};
  }
  auto target_queue = it->second;
  UpdateServiceRate(target_queue, now);
  return EstimateWait(target_queue, *rank, work);
}

std::optional<std::size_t> SchedulerCore::RankIndex(
    const std::string& rank) const {
  const auto it = std::ranges::find(ranks_, rank, &RankConfig::name);
  if (it == ranks_.end()) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(it - ranks_.begin());
}

SchedulerCore::TargetQueue& SchedulerCore::GetOrAddTargetQueue(
    const std::string& target) {
  auto& target_queue = target_queues_[target];
  target_queue.ranks.resize(ranks_.size());
  return target_queue;
}

void SchedulerCore::RemoveIdleTargets(Millis now) {
  // After this many half-lives, nothing is left of a target's service rate.
  constexpr int kHalfLives = 10;
  std::erase_if(target_queues_, [&](const auto& it) {
    return it.second.count == 0 && now - it.second.rate_updated_at >
                                       kHalfLives * options_.rate_half_life;
  });
}

void SchedulerCore::UpdateServiceRate(TargetQueue& target_queue,
                                      Millis now) const {
  const auto passed =
      static_cast<double>((now - target_queue.rate_updated_at).count());
  target_queue.rate_updated_at = now;
  const auto half_life = static_cast<double>(options_.rate_half_life.count());
  const double decay = std::exp2(-std::max(passed, 0.0) / half_life);
  target_queue.busy_ms *= decay;
  target_queue.busy_tokens *= decay;
  // Idle time says nothing about the rate that the target can sustain.
  if (target_queue.count > 0) {
    target_queue.busy_ms += passed;
  }
}

Millis SchedulerCore::EstimateWait(const TargetQueue& target_queue,
                                   std::size_t rank,
                                   const QueuedWork& work) const {
  if (target_queue.count == 0 ||
      target_queue.busy_ms <
          static_cast<double>(options_.min_rate_sample_time.count())) {
    return Millis{0};
  }
  const auto& queue = target_queue.ranks[rank];
  const auto own = queue.flows.find(work.client_account);
  const double own_tokens =
      own == queue.flows.end() ? 0 : Cost(own->second.queued_tokens);
  const double weight = std::max(work.weight, kMinWeight);
  double in_rank = own_tokens;
  for (const auto& [account, flow] : queue.flows) {
    if (account != work.client_account) {
      // Fair queueing serves another account at most in proportion to its
      // weight meanwhile.
      const double part =
          (own_tokens + Cost(work.tokens)) * flow.weight / weight;
      in_rank += std::min(static_cast<double>(flow.queued_tokens), part);
    }
  }
  double ahead = in_rank;
  for (std::size_t i = 0; i < rank; ++i) {
    ahead += static_cast<double>(target_queue.ranks[i].queued_tokens);
  }
  const double share = ranks_[rank].share;
  if (share > 0) {
    ahead = std::min(ahead, in_rank / share);
  }
  if (ahead <= 0) {
    return Millis{0};
  }
  const double rate = target_queue.busy_tokens / target_queue.busy_ms;
  const double wait = rate > 0 ? ahead / rate : HUGE_VAL;
  if (wait >= static_cast<double>(kMaxWait.count())) {
    return kMaxWait;
  }
  return Millis{static_cast<Millis::rep>(wait)};
}

std::optional<WorkId> SchedulerCore::StartNextOfTarget(
    TargetQueue& target_queue,
    Millis now,
    const TryStart& try_start) {
  UpdateServiceRate(target_queue, now);
  if (!target_queue.resumed.empty()) {
    const auto request = target_queue.resumed.front();
    if (!try_start(request.id, request.work, true)) {
      return std::nullopt;
    }
    target_queue.resumed.pop_front();
    Untrack(target_queue, request);
    return request.id;
  }
  const auto rank = ChooseRank(target_queue);
  if (!rank) {
    return std::nullopt;
  }
  const auto& first =
      FirstFlow(target_queue.ranks[*rank].flows)->second.waiting[0];
  const bool may_use_reserved_slots =
      *rank == 0 || HasCredit(target_queue, *rank);
  if (!try_start(first.id, first.work, may_use_reserved_slots)) {
    return std::nullopt;
  }
  // A request that starts as it arrives took a free slot; it says nothing
  // about the service rate.
  if (target_queue.busy_since < now) {
    target_queue.busy_tokens += Cost(first.work.tokens);
  }
  UpdateCredits(target_queue, *rank, first.work.tokens);
  const auto request = PopFirst(target_queue, *rank);
  Untrack(target_queue, request);
  return request.id;
}

std::optional<std::size_t> SchedulerCore::ChooseRank(
    const TargetQueue& target_queue) const {
  std::optional<std::size_t> most_urgent;
  for (std::size_t i = 0; i < target_queue.ranks.size(); ++i) {
    if (HasCredit(target_queue, i)) {
      return i;
    }
    if (!most_urgent && target_queue.ranks[i].count > 0) {
      most_urgent = i;
    }
  }
  return most_urgent;
}

bool SchedulerCore::HasCredit(const TargetQueue& target_queue,
                              std::size_t rank) const {
  const auto& queue = target_queue.ranks[rank];
  if (rank == 0 || queue.count == 0) {
    return false;
  }
  const auto& first = FirstFlow(queue.flows)->second.waiting[0];
  return queue.credit >= Cost(first.work.tokens);
}

// Each rank below the most urgent earns its share of the started tokens while
// requests of it wait. Its own starts use up credit but never make it negative,
// so that capacity left over by other ranks creates no debt.
void SchedulerCore::UpdateCredits(TargetQueue& target_queue,
                                  std::size_t rank,
                                  Tokens tokens) const {
  for (std::size_t i = 1; i < target_queue.ranks.size(); ++i) {
    auto& queue = target_queue.ranks[i];
    if (queue.count > 0) {
      queue.credit += ranks_[i].share * Cost(tokens);
    }
    if (i == rank) {
      queue.credit = std::max(0.0, queue.credit - Cost(tokens));
    }
  }
}

void SchedulerCore::Append(TargetQueue& target_queue,
                           std::size_t rank,
                           WaitingRequest request) {
  auto& queue = target_queue.ranks[rank];
  auto& flow = queue.flows[request.work.client_account];
  if (flow.waiting.empty()) {
    flow.start_tag = std::max(queue.virtual_time, flow.finish_tag);
  }
  flow.weight = std::max(request.work.weight, kMinWeight);
  flow.queued_tokens += request.work.tokens;
  queue.queued_tokens += request.work.tokens;
  ++queue.count;
  flow.waiting.push_back(std::move(request));
}

SchedulerCore::WaitingRequest SchedulerCore::PopFirst(TargetQueue& target_queue,
                                                      std::size_t rank) {
  auto& queue = target_queue.ranks[rank];
  auto& flow = FirstFlow(queue.flows)->second;
  auto request = std::move(flow.waiting.front());
  flow.waiting.pop_front();
  queue.virtual_time = flow.start_tag;
  flow.finish_tag = flow.start_tag + Cost(request.work.tokens) / flow.weight;
  flow.start_tag = flow.finish_tag;
  flow.queued_tokens -= request.work.tokens;
  queue.queued_tokens -= request.work.tokens;
  --queue.count;
  // Fairness is defined only among waiting requests, so the tags and the
  // credit are reset when the queue is empty.
  if (queue.count == 0) {
    queue = {};
  }
  return request;
}

void SchedulerCore::Untrack(TargetQueue& target_queue,
                            const WaitingRequest& request) {
  --target_queue.count;
  queued_bytes_ -= request.work.bytes;
  positions_.erase(request.id);
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
  callbacks_[*id] = {.take_slot = std::move(take_slot),
                     .started = std::move(started)};
  return status;
}

bool Scheduler::Cancel(WorkId id) {
  Callbacks removed;
  const std::lock_guard lock(mutex_);
  if (!core_.Cancel(id)) {
    return false;
  }
  auto node = callbacks_.extract(id);
  removed = std::move(node.mapped());
  return true;
}

void Scheduler::StartWaiting() {
  std::vector<std::function<void()>> started;
  {
    const std::lock_guard lock(mutex_);
    const auto try_start = [this](WorkId id, const QueuedWork&,
                                  bool may_use_reserved_slots) {
      return callbacks_.at(id).take_slot(may_use_reserved_slots);
    };
    while (const auto id = core_.StartNext(now_(), try_start)) {
      auto node = callbacks_.extract(*id);
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
