#ifndef TESTS_PROCESS_FLEET_H_
#define TESTS_PROCESS_FLEET_H_

#include <QJsonObject>
#include <QProcess>
#include <QTemporaryDir>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "src/event_loop.h"
#include "src/http_client.h"
#include "src/types.h"

// Defines a harness that runs routers and stand-ins as processes, and callers
// that record what they are told.

namespace crocuslatch::test {

// Runs the event loop until `done` or the timeout; returns the last `done`.
bool RunUntil(const std::function<bool()>& done, Millis timeout);
void RunFor(Millis time);

// A port that was free a moment ago.
std::uint16_t FreePort();

// A process of the build directory. It is killed with its owner, and also if
// the test program itself is killed. Standard error goes to `log`.
class Process {
 public:
  Process(const std::string& program,
          const std::vector<std::string>& arguments,
          const std::string& log);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // Ports of a stand-in's "listening <port> [control <port>]" line.
  std::uint16_t port() const { return port_; }
  std::uint16_t control_port() const { return control_port_; }
  // Waits for that line.
  void WaitListening();
  void Signal(int number) const;
  bool IsRunning() const;
  // Waits for the end; the exit status, or -1 if it was killed or still runs.
  int WaitExit(Millis timeout);

 private:
  QProcess process_;
  std::uint16_t port_ = 0;
  std::uint16_t control_port_ = 0;
};

// What one caller sent and was told, over all its attempts.
struct Transcript {
  enum class End { kRunning, kAnswered, kNotRun, kOutcomeUnknown, kBroken };
  struct Attempt {
    std::size_t router = 0;
    int status = 0;
    // False if the connection broke or the answer was cut short.
    bool whole = false;
    std::string body;
    // Members of an error body.
    std::string code;
    std::string outcome;
  };

  // Result of the last attempt; kRunning until there is none left to make.
  End end = End::kRunning;
  std::vector<Attempt> attempts;
  // Text of a completion, or the body of an order's answer.
  std::string answer;
  QJsonObject usage;
  Millis started{0};
  Millis ended{0};

  std::size_t BytesReceived() const {
    return attempts.empty() ? 0 : attempts.back().body.size();
  }
};

struct Call {
  // For a completion; an order if empty.
  std::string prompt;
  Tokens max_tokens = 32;
  bool stream = true;
  // For an order.
  std::string body = "{}";
  // Idempotency-Key; the same for all attempts.
  std::string key;
  std::string account = "small";
  std::string rank;
  // The first attempt goes to this router and each later one to the next.
  std::size_t router = 0;
  std::size_t max_attempts = 20;
  Millis time_limit{30000};
};

struct FleetOptions {
  std::size_t routers = 3;
  std::size_t engines = 3;
  std::size_t services = 1;
  Tokens prepaid = 1000000;
  // Puts a relay in front of each engine and of each router's store.
  bool relays = false;
  std::vector<std::string> engine_arguments;
  std::vector<std::string> service_arguments;
};

struct HttpAnswer {
  HttpEnd end = HttpEnd::kTimedOut;
  // 0 without a whole answer.
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

std::string Url(std::uint16_t port, const std::string& path);

// The client accounts are "small" and "large", each with a budget
// "<account>-main"; the ranks are "urgent", "normal" and "bulk"; the model is
// "model" and the service, whose calls must not be repeated, is "booking".
class Fleet {
 public:
  // Without routers, only the stand-ins are started. Throws std::runtime_error
  // if a process does not get ready.
  explicit Fleet(const FleetOptions& options);
  ~Fleet();

  Process& router(std::size_t i) { return *routers_.at(i); }
  // Starts another process on the same host and addresses.
  void RestartRouter(std::size_t i);
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
  struct Caller;
  struct Ports {
    std::uint16_t caller = 0;
    std::uint16_t admin = 0;
    std::uint16_t peer = 0;
  };

  std::unique_ptr<Process> MakeStandin(
      const std::string& name,
      const std::vector<std::string>& arguments);
  std::unique_ptr<Process> MakeRelay(const Process& target);
  void StartStandins();
  void StartRouter(std::size_t i);
  void PublishHosts();
  void PutDocument();
  std::string Document() const;

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
  std::vector<std::unique_ptr<Process>> routers_;
  // Destroyed before the processes.
  HttpClient client_;
};

// True if the transcript ends with the whole answer to the call, and nothing
// else.
bool IsWholeAnswer(const Call& call, const Transcript& transcript);

}  // namespace crocuslatch::test

#endif  // TESTS_PROCESS_FLEET_H_
