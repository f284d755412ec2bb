#ifndef SRC_SCHEDULER_H_
#define SRC_SCHEDULER_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/document.h"
#include "src/types.h"

// Defines the queues in which requests wait for a slot at a backend server:
// ranks in order with guaranteed shares, fair queueing over client accounts
// within a rank, and one lane for each model or service.

namespace crocuslatch {

struct SchedulerOptions {
  // Most bytes of all waiting requests of one router.
  std::size_t max_queued_bytes = 64U << 20;
  // Half-life of the measured service rate of a lane.
  Millis rate_half_life{5000};
  // Time with waiting requests that a lane must have seen before requests
  // are refused by its measured rate.
  Millis min_rate_sample_time{2000};
};

// One request that waits. `tokens` is what was reserved for it.
struct QueuedWork {
  std::string rank;
  std::string client_account;
  double weight = 1;
  // Model or service; each has its own lane, so that a busy one never blocks
  // another.
  std::string target;
  Tokens tokens = 1;
  std::size_t bytes = 0;
  // Latest useful start, on the scheduler's clock.
  Millis deadline{0};
  // A stream that broke at its backend server: goes before all others.
  bool resumed = false;
};

enum class EnqueueStatus {
  kQueued,
  kUnknownRank,
  kQueueFull,
  // The wait at the present service rate is longer than the deadline allows.
  kDeadlineUnreachable,
};

using WorkId = std::uint64_t;

// The pure part: no clock, no locks, no callbacks but the one passed to Next.
class SchedulerCore {
 public:
  // Starts the work if its target has a free slot. `may_use_last_slots` is
  // false for work that should leave some slots to more urgent ranks.
  using TryStart = std::function<
      bool(WorkId, const QueuedWork&, bool may_use_reserved_slots)>;

  explicit SchedulerCore(SchedulerOptions options);

  // Ranks from the most urgent to the least. Work of removed ranks is served
  // as the least urgent.
  void SetRanks(const std::vector<RankConfig>& ranks);

  // On kQueued, `id` must be unused.
  EnqueueStatus Enqueue(WorkId id, const QueuedWork& work, Millis now);

  // False if the work does not wait any more.
  bool Cancel(WorkId id);

  // Starts one waiting request if possible; nullopt if no lane can start any.
  std::optional<WorkId> StartNext(Millis now, const TryStart& try_start);

  std::size_t queued() const { return places_.size(); }
  std::size_t queued_bytes() const { return queued_bytes_; }
  std::size_t QueuedOfRank(const std::string& rank) const;
  // Expected wait of new work in front of its lane; zero without evidence.
  Millis ExpectedWait(const QueuedWork& work, Millis now) const;

 private:
  struct Waiting {
    WorkId id = 0;
    QueuedWork work;
  };
  // Requests of one client account, first come first served.
  struct Flow {
    std::deque<Waiting> waiting;
    double weight = 1;
    // Start tag of the first waiting request.
    double start = 0;
    // Finish tag of the last started request.
    double finish = 0;
    Tokens queued_tokens = 0;
  };
  // One rank of one lane: start-time fair queueing.
  struct RankQueue {
    std::map<std::string, Flow> flows;
    // Start tag of the last started request.
    double virtual_time = 0;
    Tokens queued_tokens = 0;
    std::size_t count = 0;
    // Tokens of its guaranteed share that the rank has not used.
    double credit = 0;
  };
  struct Lane {
    std::deque<Waiting> resumed;
    std::vector<RankQueue> ranks;
    // Decayed sums over the time in which requests waited.
    double busy_ms = 0;
    double busy_tokens = 0;
    Millis counted_until{0};
    Millis busy_since{0};
    std::size_t count = 0;
  };
  struct Place {
    std::string target;
    std::size_t rank = 0;
    std::string client_account;
    bool resumed = false;
  };

  std::optional<std::size_t> RankIndex(const std::string& rank) const;
  Lane& LaneOf(const std::string& target);
  void CountBusyTime(Lane& lane, Millis now) const;
  Millis WaitInLane(const Lane& lane,
                    std::size_t rank,
                    const QueuedWork& work) const;
  std::optional<WorkId> NextOfLane(Lane& lane,
                                   Millis now,
                                   const TryStart& try_start);
  std::optional<std::size_t> ChooseRank(const Lane& lane) const;
  bool IsOwed(const Lane& lane, std::size_t rank) const;
  void Charge(Lane& lane, std::size_t rank, Tokens tokens) const;
  void Append(Lane& lane, std::size_t rank, Waiting it);
  Waiting TakeFirst(Lane& lane, std::size_t rank);
  void Forget(Lane& lane, const Waiting& it);

  SchedulerOptions options_;
  std::vector<RankConfig> ranks_;
  std::map<std::string, Lane> lanes_;
  // Lane that is asked first by the following Next.
  std::string next_lane_;
  std::unordered_map<WorkId, Place> places_;
  std::size_t queued_bytes_ = 0;
};

// Thread-safe handle.
class Scheduler {
 public:
  // Takes a slot for the work; called with the scheduler's lock held, so it
  // may use only modules that come later in the lock order.
  using TakeSlot = std::function<bool(bool may_use_reserved_slots)>;

  Scheduler(SchedulerOptions options, std::function<Millis()> now);

  void SetRanks(const std::vector<RankConfig>& ranks);

  // On kQueued, `started` is called once after `take_slot` returned true,
  // from any thread and without a lock held, unless Cancel comes first.
  EnqueueStatus Enqueue(const QueuedWork& work,
                        TakeSlot take_slot,
                        std::function<void()> started,
                        WorkId* id);

  // True if the work was still waiting: it will not start.
  bool Cancel(WorkId id);

  // Starts what the free slots permit. Call it whenever a slot may have
  // become free.
  void StartWaiting();

  std::size_t queued() const;

 private:
  struct Hooks {
    TakeSlot take_slot;
    std::function<void()> started;
  };

  std::function<Millis()> now_;
  mutable std::mutex mutex_;
  SchedulerCore core_;
  std::unordered_map<WorkId, Hooks> hooks_;
  WorkId last_id_ = 0;
};

}  // namespace crocuslatch

#endif  // SRC_SCHEDULER_H_
