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

// Defines the stand-in model engine: continuous batching, priorities, faults
// and the counts that tests compare with the routers' bills.

namespace crocuslatch::standins {

struct EngineConfig {
  // Sequences that generate at the same time.
  std::int64_t slots = 8;
  // Time of one step, in which each running sequence gets a token.
  std::int64_t token_ms = 5;
  // Time for each prompt token that is not cached, in microseconds.
  std::int64_t prompt_us = 100;
  std::int64_t cache_blocks = 256;
  std::int64_t cache_lag_ms = 0;
  std::int64_t cache_gap_every = 0;
  std::int64_t load_lag_ms = 0;
  // Nonzero to refuse an old fencing number.
  std::int64_t check_fence = 0;
  // Nonzero to end a sequence whose connection was closed.
  std::int64_t cancel_on_disconnect = 1;
};

struct EngineField {
  // With '_'; the option has '-' instead.
  const char* name;
  std::int64_t EngineConfig::*field;
  const char* help;
};

const std::vector<EngineField>& EngineFields();

// Must outlive its event loop's tasks, as an object of main does.
class EngineServer {
 public:
  EngineServer(EventLoop loop, const EngineConfig& config)
      : loop_(std::move(loop)), config_(config) {}

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
  bool HasOldFence(const Sequence& sequence);
  void CountAccepted();
  void Enqueue(const SequencePtr& sequence);
  void Admit();
  void Start(const SequencePtr& sequence);
  void ScheduleStep();
  void Step();
  // False when the sequence leaves the batch.
  bool Advance(Sequence& sequence);
  bool ApplyFault(Sequence& sequence);
  void SendToken(Sequence& sequence);
  void Complete(Sequence& sequence);
  std::int64_t Cancel(const std::string& request_id);
  void RecordLoad();
  QJsonObject Load();
  QJsonObject Stats() const;

  EventLoop loop_;
  EngineConfig config_;
  FaultPlan faults_;
  PrefixCache cache_;
  SilentReplies silent_;
  std::vector<SequencePtr> queue_;
  std::vector<SequencePtr> running_;
  std::deque<LoadReport> loads_;
  std::map<std::string, std::int64_t> fences_;
  std::map<std::string, UserCount> users_;
  std::map<std::string, RequestCount> requests_;
  // Times from the start of leaving at which work was accepted.
  std::vector<Millis> accepted_while_leaving_;
  Millis leaving_since_{0};
  std::int64_t refused_ = 0;
  // Requests that got a fault.
  std::int64_t faulted_ = 0;
  std::int64_t cached_prompt_bytes_ = 0;
  bool leaving_ = false;
  bool step_scheduled_ = false;
};

}  // namespace crocuslatch::standins

#endif  // STANDINS_ENGINE_SERVER_H_
