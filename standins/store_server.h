#ifndef STANDINS_STORE_SERVER_H_
#define STANDINS_STORE_SERVER_H_

#include <QJsonObject>
#include <functional>
#include <list>
#include <map>
#include <string>

#include "io/http_server.h"
#include "src/event_loop.h"
#include "standins/kv_table.h"
#include "standins/standin_program.h"

// Defines the HTTP interface of the stand-in store and its injected faults.

namespace crocuslatch::standins {

// All faults but the rate limits apply only to calls whose key has `prefix`.
struct StoreFaults {
  // "none", "refuse" (status 503) or "hang" (no answer).
  std::string outage = "none";
  std::string prefix;
  // Delay before a call takes effect.
  std::int64_t slow_ms = 0;
  // Delay between the effect of a call and its answer.
  std::int64_t slow_answer_ms = 0;
  // Number of successful writes whose connection is aborted instead of
  // answered.
  std::int64_t lose_answers = 0;
  // Rate limits; 0 is unlimited.
  std::int64_t reads_per_second = 0;
  std::int64_t writes_per_second = 0;
};

// Must outlive the tasks that it posts to its event loop.
class StoreServer {
 public:
  explicit StoreServer(EventLoop loop) : loop_(std::move(loop)) {}

  void Control(const QJsonObject& changes);
  void Handle(const IncomingRequest& request, const HttpReply& reply);

 private:
  struct Call;
  struct Answer {
    int status = 200;
    HttpHeaders headers;
    std::string body;
  };
  struct Watch {
    std::string key;
    std::uint64_t after = 0;
    HttpReply reply;
  };

  // Returns true if an outage or a rate limit stopped the call.
  bool RefuseIfFaulty(const Call& call, HttpReply reply);
  // Applies the call and answers it, with the faults of the answer.
  void Execute(const Call& call, HttpReply reply);
  void SendAnswer(const Call& call, const Answer& answer, HttpReply reply);
  void StartWatch(const Call& call, const HttpReply& reply);
  void NotifyWatches(const std::string& key);
  Answer Apply(const Call& call);
  Answer Get(const std::string& key) const;
  Answer Write(const Call& call);
  Answer List(const std::string& prefix) const;
  Answer Lease(const Call& call);
  // Whether the prefix-bound faults apply to the call.
  bool IsFaultTarget(const Call& call) const;
  QJsonObject Stats() const;

  EventLoop loop_;
  KvTable table_;
  LeaseTable leases_;
  StoreFaults faults_;
  RateLimiter read_limit_;
  RateLimiter write_limit_;
  SilentReplies silent_replies_;
  std::list<Watch> watches_;
  std::map<std::string, std::int64_t> counts_;
};

}  // namespace crocuslatch::standins

#endif  // STANDINS_STORE_SERVER_H_
