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

// Defines the queues in which requests wait for a slot at a backend server.
// Each model or service has its own queue. Within it, ranks are served in order
// of urgency with guaranteed shares, and the client accounts of a rank share
// the capacity by weighted fair queueing.

namespace crocuslatch {

struct SchedulerOptions {
  // Limit on the total size of the waiting requests of this router.
  std::size_t max_queued_bytes = 64U << 20;
  // Half-life of the exponential average of a target's service rate.
  Millis rate_half_life{5000};
  // A target must have had waiting requests for this time, decayed with the
  // half-life, before requests are refused by its measured rate.
  Millis min_rate_sample_time{2000};
};

// A request that waits for a slot. `tokens` is its reservation.
struct QueuedWork {
  std::string rank;
  std::string client_account;
  double weight = 1;
  // Model or service. Each target has its own queue, so that a busy one never
  // blocks another.
  std::string target;
  Tokens tokens = 1;
  std::size_t bytes = 0;
  // Time after which a start is useless, on the scheduler's clock.
  Millis deadline{0};
  // Continues a stream that broke at its backend server; precedes all other
  // work of the target.
  bool resumed = false;
};

enum class EnqueueStatus {
  kQueued,
  kUnknownRank,
  kQueueFull,
  // The expected wait at the current service rate exceeds the deadline.
  kDeadlineUnreachable,
};

using WorkId = std::uint64_t;

// The queueing logic without clock and locks; not thread-safe. Callers pass the
// time and a callback that starts work.
class SchedulerCore {
 public:
  // Starts the work and returns true if its target has a free slot.
  // `may_use_reserved_slots` is false for work that must leave some slots to
  // more urgent ranks.
  using TryStart = std::function<
      bool(WorkId, const QueuedWork&, bool may_use_reserved_slots)>;

  explicit SchedulerCore(SchedulerOptions options);

  // Sets the ranks, the most urgent first. Waiting work of a removed rank moves
  // to the least urgent one. An empty list is ignored.
  void SetRanks(const std::vector<RankConfig>& ranks);

  // Adds the work to the queue of its target. `id` must not be in use.
  EnqueueStatus Enqueue(WorkId id, const QueuedWork& work, Millis now);

  // Removes waiting work; false if it is not waiting any more.
  bool Cancel(WorkId id);

  // Starts one waiting request and returns its id; nullopt if no target can
  // start any.
  std::optional<WorkId> StartNext(Millis now, const TryStart& try_start);

  std::size_t queued() const { return positions_.size(); }
  std::size_t queued_bytes() const { return queued_bytes_; }
  // Number of targets with waiting or recent work.
  std::size_t TargetCount() const { return target_queues_.size(); }
  std::size_t QueuedOfRank(const std::string& rank) const;
  // Expected wait of new work; zero as long as the service rate is unknown.
  Millis ExpectedWait(const QueuedWork& work, Millis now) const;

 private:
  struct WaitingRequest {
    WorkId id = 0;
    QueuedWork work;
  };
  // Waiting requests of one client account, in order of arrival.
  struct Flow {
    std::deque<WaitingRequest> waiting;
    double weight = 1;
    // Start tag of the first waiting request.
    double start_tag = 0;
    // Finish tag of the last started request.
    double finish_tag = 0;
    Tokens queued_tokens = 0;
  };
  // Requests of one rank for one target, under start-time fair queueing.
  struct RankQueue {
    std::map<std::string, Flow> flows;
    // Start tag of the last started request.
    double virtual_time = 0;
    Tokens queued_tokens = 0;
    std::size_t count = 0;
    // Tokens of the rank's guaranteed share that it has not used yet.
    double credit = 0;
  };
  struct TargetQueue {
    std::deque<WaitingRequest> resumed;
    std::vector<RankQueue> ranks;
    // Exponentially decayed sums over the time in which requests waited; the
    // service rate is their ratio.
    double busy_ms = 0;
    double busy_tokens = 0;
    Millis rate_updated_at{0};
    Millis busy_since{0};
    std::size_t count = 0;
  };
  struct Position {
    std::string target;
    std::size_t rank = 0;
    std::string client_account;
    bool resumed = false;
  };

  std::optional<std::size_t> RankIndex(const std::string& rank) const;
  // Forgets targets without waiting work, such as those of removed models.
  void RemoveIdleTargets(Millis now);
  TargetQueue& GetOrAddTargetQueue(const std::string& target);
  void UpdateServiceRate(TargetQueue& target_queue, Millis now) const;
  Millis EstimateWait(const TargetQueue& target_queue,
                      std::size_t rank,
                      const QueuedWork& work) const;
  std::optional<WorkId> StartNextOfTarget(TargetQueue& target_queue,
                                          Millis now,
                                          const TryStart& try_start);
  std::optional<std::size_t> ChooseRank(const TargetQueue& target_queue) const;
  bool HasCredit(const TargetQueue& target_queue, std::size_t rank) const;
  void UpdateCredits(TargetQueue& target_queue,
                     std::size_t rank,
                     Tokens tokens) const;
  void Append(TargetQueue& target_queue,
              std::size_t rank,
              WaitingRequest request);
  WaitingRequest PopFirst(TargetQueue& target_queue, std::size_t rank);
  void Untrack(TargetQueue& target_queue, const WaitingRequest& request);

  SchedulerOptions options_;
  std::vector<RankConfig> ranks_;
  std::map<std::string, TargetQueue> target_queues_;
  // Target that the following StartNext tries first.
  std::string next_target_;
  std::unordered_map<WorkId, Position> positions_;
  std::size_t queued_bytes_ = 0;
};

// Thread-safe scheduler that runs callbacks.
class Scheduler {
 public:
  // Takes a slot for the work and returns true if one is free. Called with the
  // scheduler's lock held, so it may use only modules that come later in the
  // lock order.
  using TakeSlot = std::function<bool(bool may_use_reserved_slots)>;

  Scheduler(SchedulerOptions options, std::function<Millis()> now);

  void SetRanks(const std::vector<RankConfig>& ranks);

  // Sets `*id` on kQueued. `started` is then called exactly once after
  // `take_slot` has returned true, on any thread and without a lock held,
  // unless Cancel succeeds first.
  EnqueueStatus Enqueue(const QueuedWork& work,
                        TakeSlot take_slot,
                        std::function<void()> started,
                        WorkId* id);

  // Removes waiting work. True if it was still waiting and will not start.
  bool Cancel(WorkId id);

  // Starts waiting work as long as slots are free. To be called whenever a slot
  // may have become free.
  void StartWaiting();

  std::size_t queued() const;

 private:
  struct Callbacks {
    TakeSlot take_slot;
    std::function<void()> started;
  };

  std::function<Millis()> now_;
  mutable std::mutex mutex_;
  SchedulerCore core_;
  std::unordered_map<WorkId, Callbacks> callbacks_;
  WorkId last_id_ = 0;
};

}  // namespace crocuslatch

#endif  // SRC_SCHEDULER_H_
