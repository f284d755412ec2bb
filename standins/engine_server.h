#ifndef STANDINS_ENGINE_SERVER_H_
#define STANDINS_ENGINE_SERVER_H_

#include <QJsonObject>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "io/http_server.h"
#include "src/event_loop.h"
#include "standins/fault_plan.h"
#include "standins/prefix_cache.h"
#include "standins/standin_program.h"

// Defines the stand-in model engine. It simulates continuous batching,
// priorities and faults, and counts tokens so that tests can check the routers'
// bills.

namespace crocuslatch::standins {

struct EngineConfig {
  // Sequences that generate at the same time.
  std::int64_t slots = 8;
  // Duration of one decoding step, which generates one token for each running
  // sequence.
  std::int64_t token_ms = 5;
  // Prefill time per uncached prompt token, in microseconds.
  std::int64_t prompt_us = 100;
  // Capacity of the prefix cache, in blocks of kCacheBlockBytes.
  std::int64_t cache_blocks = 256;
  // Delay before a cache event is reported.
  std::int64_t cache_lag_ms = 0;
  // Every n-th cache event is never reported; 0 reports all.
  std::int64_t cache_gap_every = 0;
  // Age of the load reports that the engine returns.
  std::int64_t load_lag_ms = 0;
  // Nonzero to refuse requests with a stale fencing token.
  std::int64_t check_fence = 0;
  // Nonzero to cancel a sequence when its client disconnects.
  std::int64_t cancel_on_disconnect = 1;
};

// Describes one EngineConfig field for the command line and for /control.
struct EngineField {
  // Name in /control; the command-line option has '-' instead of '_'.
  const char* name;
  std::int64_t EngineConfig::*field;
  const char* help;
};

const std::vector<EngineField>& EngineFields();

// Must outlive the tasks that it posts to its event loop.
class EngineServer {
 public:
  EngineServer(EventLoop loop, const EngineConfig& config)
      : loop_(std::move(loop)), config_(config) {}

  // Applies a /control body: EngineConfig fields, "faults" and "leaving".
  void Control(const QJsonObject& changes);
  void Handle(const IncomingRequest& request, HttpReply reply);

 private:
  struct Sequence;
  using SequencePtr = std::shared_ptr<Sequence>;
  struct UserCount {
    Tokens prompt_tokens = 0;
    Tokens generated_tokens = 0;
    std::int64_t requests = 0;
  };
  struct RequestCount {
    Tokens generated_tokens = 0;
    std::int64_t runs = 0;
    std::int64_t completed = 0;
  };
  struct LoadReport {
    Millis time{0};
    std::size_t running = 0;
    std::size_t queued = 0;
    bool leaving = false;
  };

  void Accept(const QJsonObject& body, HttpReply reply);
  bool HasStaleFence(const Sequence& sequence);
  void CountAccepted();
  void Enqueue(const SequencePtr& sequence);
  void Admit();
  void Start(const SequencePtr& sequence);
  void ScheduleStep();
  void Step();
  // Runs one decoding step of the sequence. Returns false if the sequence must
  // be removed from the batch.
  bool Advance(Sequence& sequence);
  // Applies the sequence's fault if it is due; returns false as Advance does.
  bool ApplyFault(Sequence& sequence);
  void SendToken(Sequence& sequence);
  void Complete(Sequence& sequence);
  // Returns the number of sequences cancelled.
  std::int64_t Cancel(const std::string& request_id);
  void RecordLoad();
  QJsonObject Load();
  QJsonObject Stats() const;

  EventLoop loop_;
  EngineConfig config_;
  FaultPlan faults_;
  PrefixCache cache_;
  SilentReplies silent_replies_;
  std::vector<SequencePtr> queue_;
  std::vector<SequencePtr> running_;
  std::deque<LoadReport> load_reports_;
  std::map<std::string, std::int64_t> newest_fences_;
  std::map<std::string, UserCount> user_counts_;
  std::map<std::string, RequestCount> request_counts_;
  // Acceptance times of requests, relative to leaving_since_.
  std::vector<Millis> accepted_while_leaving_;
  Millis leaving_since_{0};
  std::int64_t refused_ = 0;
  // Requests to which a fault was assigned.
  std::int64_t faulted_ = 0;
  std::int64_t cached_prompt_bytes_ = 0;
  bool leaving_ = false;
  bool step_scheduled_ = false;
};

}  // namespace crocuslatch::standins

#endif  // STANDINS_ENGINE_SERVER_H_
