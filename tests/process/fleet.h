#ifndef TESTS_PROCESS_FLEET_H_
#define TESTS_PROCESS_FLEET_H_

#include <QJsonObject>
#include <QTemporaryDir>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "io/http_client.h"
#include "src/event_loop.h"
#include "src/types.h"
#include "tests/process/caller.h"
#include "tests/process/process.h"

// Defines a fleet of router and stand-in processes.

namespace crocuslatch::test {

struct FleetOptions {
  std::size_t routers = 3;
  std::size_t engines = 3;
  std::size_t services = 1;
  Tokens prepaid = 1000000;
  // Puts a relay in front of each engine and of each router's store.
  bool relays = false;
  // Puts a relay in front of each router's peer listener.
  bool peer_relays = false;
  std::vector<std::string> engine_arguments;
  std::vector<std::string> service_arguments;
};

struct HttpResponse {
  HttpResult end = HttpResult::kTimedOut;
  // HTTP status; 0 if no complete response arrived.
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

// A running fleet. Its document defines the client accounts "small" and
// "large", each with a budget "<account>-main"; the ranks "urgent", "normal"
// and "bulk"; the model "model"; and the non-repeatable service "booking".
class Fleet {
 public:
  // Starts the processes and waits until they are ready. With no routers,
  // starts only the stand-ins. Throws std::runtime_error if a process does not
  // become ready.
  explicit Fleet(const FleetOptions& options);
  ~Fleet();

  std::size_t router_count() const { return ports_.size(); }
  Process& router(std::size_t i) { return *routers_.at(i); }
  // Replaces the router by a new process with the same host name and ports.
  void RestartRouter(std::size_t i,
                     const std::string& caller_address = "127.0.0.1");
  bool IsReady(std::size_t i);

  // Sends `changes` to the stand-in's /control. Throws std::runtime_error if it
  // does not accept them.
  void Control(const Process& standin, const QJsonObject& changes);
  // Returns the stand-in's /stats.
  QJsonObject Stats(const Process& standin);
  const Process& store() const { return *store_; }
  const Process& hosts() const { return *hosts_; }
  const Process& engine(std::size_t i) const { return *engines_.at(i); }
  const Process& service(std::size_t i) const { return *services_.at(i); }
  const Process& engine_relay(std::size_t i) const {
    return *engine_relays_.at(i);
  }
  const Process& store_relay(std::size_t i) const {
    return *store_relays_.at(i);
  }
  // The relay for all connections that other routers open to router `i`.
  const Process& peer_relay(std::size_t i) const { return *peer_relays_.at(i); }
  // Partitions router `i` from the store and its peers, or heals the partition.
  // Requires both kinds of relays. All peer relays are cut, so with more than
  // two routers the others lose contact with each other as well.
  void SetPartition(std::size_t i, bool is_cut);
  // Starts to submit the document with a new prepaid amount, based on
  // `base_version`. `status` is set to the HTTP status, or 0 without a
  // response.
  void StartApply(std::size_t router,
                  Tokens prepaid,
                  std::uint64_t base_version,
                  std::shared_ptr<std::optional<int>> status);
  // Returns the document version in force at the router, or -1 if unknown.
  std::int64_t ActiveVersion(std::size_t router);
  // Sets the state of a host in the host list. Hosts are named "engine-<i>",
  // "service-<i>" and "router-<i>".
  void SetHostState(const std::string& name, const std::string& state);

  // Starts a call, which makes progress while the event loop runs.
  std::shared_ptr<const Transcript> Start(const Call& call);
  // Starts a call and waits for its end, at most its time limit.
  std::shared_ptr<const Transcript> Run(const Call& call);

  // Sums one of a user's counters, such as "generated_tokens", over all
  // engines.
  Tokens EngineCount(const std::string& user, const char* count);
  // Returns how many times all services together ran an order.
  std::int64_t OrderRuns(const std::string& key);
  // Sends a request and waits for its response.
  HttpResponse SendAndWait(const HttpRequest& request);
  // Reads `path` from the router's administration listener. Returns an empty
  // object on failure.
  QJsonObject Admin(std::size_t router, const std::string& path);

 private:
  struct Ports {
    std::uint16_t caller = 0;
    std::uint16_t admin = 0;
    std::uint16_t peer = 0;
  };

  std::unique_ptr<Process> MakeStandin(
      const std::string& name,
      const std::vector<std::string>& arguments);
  std::unique_ptr<Process> MakeRelay(std::uint16_t target);
  void StartStandins();
  void StartRouter(std::size_t i,
                   const std::string& caller_address = "127.0.0.1");
  void PublishHosts();
  void PutDocument();
  std::string Document(Tokens prepaid) const;

  FleetOptions options_;
  QTemporaryDir dir_;
  EventLoop loop_ = MakeQtEventLoop();
  std::vector<Ports> ports_;
  std::unique_ptr<Process> store_;
  std::unique_ptr<Process> hosts_;
  std::vector<std::unique_ptr<Process>> engines_;
  std::vector<std::unique_ptr<Process>> services_;
  std::vector<std::unique_ptr<Process>> engine_relays_;
  std::vector<std::unique_ptr<Process>> store_relays_;
  std::vector<std::unique_ptr<Process>> peer_relays_;
  std::vector<std::unique_ptr<Process>> routers_;
  // Last, so that it is destroyed before the processes.
  HttpClient client_;
};

}  // namespace crocuslatch::test

#endif  // TESTS_PROCESS_FLEET_H_
