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

// Defines a fleet of routers and stand-ins that run as processes.

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

struct HttpAnswer {
  HttpResult end = HttpResult::kTimedOut;
  // 0 without a whole answer.
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

// The client accounts are "small" and "large", each with a budget
// "<account>-main"; the ranks are "urgent", "normal" and "bulk"; the model is
// "model" and the service, whose calls must not be repeated, is "booking".
class Fleet {
 public:
  // Without routers, only the stand-ins are started. Throws std::runtime_error
  // if a process does not get ready.
  explicit Fleet(const FleetOptions& options);
  ~Fleet();

  std::size_t router_count() const { return ports_.size(); }
  Process& router(std::size_t i) { return *routers_.at(i); }
  // Starts another process on the same host and ports.
  void RestartRouter(std::size_t i,
                     const std::string& caller_address = "127.0.0.1");
  bool IsReady(std::size_t i);

  // Sends /control to a stand-in, or reads its /stats.
  void Control(const Process& standin, const QJsonObject& changes);
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
  // Carries all connections that other routers open to router `i`.
  const Process& peer_relay(std::size_t i) const { return *peer_relays_.at(i); }
  // Cuts router `i` off from the store and from its peers, and back. Needs
  // both kinds of relays; with more than two routers, the others lose each
  // other's relays as well.
  void SetPartition(std::size_t i, bool is_cut);
  // Starts to submit the document with another prepaid amount, based on
  // `base_version`; `status` gets the HTTP status, 0 without an answer.
  void StartApply(std::size_t router,
                  Tokens prepaid,
                  std::uint64_t base_version,
                  std::shared_ptr<std::optional<int>> status);
  std::int64_t VersionInForce(std::size_t router);
  // Marks an entry of the host list: "engine-<i>", "service-<i>", "router-<i>".
  void SetHostState(const std::string& name, const std::string& state);

  // Starts a call, which goes on while the event loop runs.
  std::shared_ptr<const Transcript> Start(const Call& call);
  // Starts a call and runs it to its end.
  std::shared_ptr<const Transcript> Run(const Call& call);

  // Sum over engines of a user's count, such as "generated_tokens".
  Tokens EngineCount(const std::string& user, const char* count);
  // Runs of an order over all services.
  std::int64_t OrderRuns(const std::string& key);
  // Sends a request and waits for its end.
  HttpAnswer Exchange(const HttpRequest& request);
  // Answer of an administration listener; an empty object if there is none.
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
  // Destroyed before the processes.
  HttpClient client_;
};

}  // namespace crocuslatch::test

#endif  // TESTS_PROCESS_FLEET_H_
