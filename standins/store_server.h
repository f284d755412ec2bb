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

// Defines the HTTP interface of the stand-in store, with its faults.

namespace crocuslatch::standins {

struct StoreFaults {
  std::string outage = "none";
  std::string prefix;
  std::int64_t slow_ms = 0;
  std::int64_t slow_answer_ms = 0;
  std::int64_t lose_answers = 0;
  std::int64_t reads_per_second = 0;
  std::int64_t writes_per_second = 0;
};

// Must outlive its event loop's tasks, as an object of main does.
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

  bool Refuse(const Call& call, HttpReply reply);
  void Run(const Call& call, HttpReply reply);
  void Finish(const Call& call, const Answer& answer, HttpReply reply);
  void StartWatch(const Call& call, const HttpReply& reply);
  void WakeWatches(const std::string& key);
  Answer Apply(const Call& call);
  Answer Get(const std::string& key) const;
  Answer Write(const Call& call);
  Answer List(const std::string& prefix) const;
  Answer Lease(const Call& call);
  bool Matches(const Call& call) const;
  QJsonObject Stats() const;

  EventLoop loop_;
  KvTable table_;
  LeaseTable leases_;
  StoreFaults faults_;
  RateLimit read_limit_;
  RateLimit write_limit_;
  SilentReplies silent_;
  std::list<Watch> watches_;
  std::map<std::string, std::int64_t> counts_;
};

}  // namespace crocuslatch::standins

#endif  // STANDINS_STORE_SERVER_H_
