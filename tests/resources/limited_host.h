#ifndef TESTS_RESOURCES_LIMITED_HOST_H_
#define TESTS_RESOURCES_LIMITED_HOST_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <QDir>
#include <QJsonArray>
#include <QTemporaryDir>
#include <algorithm>
#include <catch2/catch.hpp>
#include <cerrno>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "io/http_client.h"
#include "src/event_loop.h"
#include "tests/process/platform_standin.h"
#include "tests/process/process.h"

// Defines one real host with lowered limits of memory and descriptors, and a
// crowd of clients that keep to no limit.

namespace crocuslatch::test {

constexpr std::size_t kMemoryMb = 48;
constexpr std::size_t kManyDescriptors = 1000;
constexpr std::size_t kFewDescriptors = 200;
// Longer than any crowd needs, so that no time limit of the callers' server
// ends a request of a crowd before the memory is full.
constexpr int kHeaderTimeoutMs = 20000;
constexpr std::size_t kHeaderBytes = 262'144;
constexpr std::size_t kBodyBytes = 1'000'000;
// Only bounds the waits; no check depends on them.
constexpr Millis kCrowdTime{6000};
constexpr Millis kAnswerTime{60000};
constexpr Millis kStepTime{20};

// A connection that sends given bytes and reads nothing.
class RawClient {
 public:
  RawClient(std::uint16_t port, std::string bytes) : bytes_(std::move(bytes)) {
    descriptor_ =
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    // Small, so that the kernel does not take what this client does not read.
    const int receive_bytes = 4096;
    ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
                 sizeof receive_bytes);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    // The socket does not block, so that the result is not known yet.
    static_cast<void>(::connect(descriptor_,
                                reinterpret_cast<const sockaddr*>(&address),
                                sizeof address));
  }
  ~RawClient() { ::close(descriptor_); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  // Sends at most `max` further bytes. Returns false if none are left or the
  // connection is closed.
  bool SendSome(std::size_t max) {
    while (max > 0 && sent_ < bytes_.size()) {
      const auto n = ::send(descriptor_, bytes_.data() + sent_,
                            std::min(max, bytes_.size() - sent_), MSG_NOSIGNAL);
      if (n < 0) {
        return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINPROGRESS;
      }
      sent_ += static_cast<std::size_t>(n);
      max -= static_cast<std::size_t>(n);
    }
    return sent_ < bytes_.size();
  }

 private:
  int descriptor_ = -1;
  std::string bytes_;
  std::size_t sent_ = 0;
};

inline std::string Head(const std::string& path,
                        const std::string& id,
                        const std::string& more) {
  return fmt::format(
      "POST {} HTTP/1.1\r\nHost: h.example\r\n"
      "Crocuslatch-Request-Id: {}\r\nCrocuslatch-Request-Deadline: 30000\r\n"
      "{}",
      path, id, more);
}

inline std::string Post(const std::string& path,
                        const std::string& id,
                        std::size_t body_bytes) {
  return Head(path, id, fmt::format("Content-Length: {}\r\n\r\n", body_bytes)) +
         std::string(body_bytes, 'x');
}

// One host with its store and one server.
class LimitedHost {
 public:
  explicit LimitedHost(std::size_t max_descriptors,
                       std::size_t memory_mb = kMemoryMb)
      : memory_mb_(memory_mb) {
    store_.Put(
        "op/config",
        {{"version", 1},
         {"routes", QJsonArray{Route("order", "unsafe", "app"),
                               Route("faulty", "unsafe", "faulty"),
                               Route("faulty-stream", "streaming", "faulty")}},
         {"services",
          QJsonArray{
              QJsonObject{{"name", "app"}, {"health_path", "/health"}},
              QJsonObject{{"name", "faulty"}, {"health_path", "/health"}}}},
         {"limits", QJsonObject{{"header_timeout_ms", kHeaderTimeoutMs},
                                {"max_header_bytes", qint64{kHeaderBytes}},
                                {"idle_timeout_ms", 60000}}},
         {"tenants", QJsonArray{}}});
    server_ = std::make_unique<PlatformServer>(&store_, "app", "i-1");
    port_ = FreePort();
    const auto settings = folder_.filePath("front.toml").toStdString();
    std::ofstream(settings) << fmt::format(
        "[host]\nname = \"front-0\"\nfailure_domain = \"a\"\n"
        "[listen]\ncallers = \"127.0.0.1:{}\"\nreadiness = \"127.0.0.1:{}\"\n"
        "metrics = \"127.0.0.1:{}\"\npeers = \"127.0.0.1:{}\"\n"
        "[store]\naddress = \"{}\"\n"
        "[limits]\nlink_mbps = 100000.0\nmemory_mb = {}\n"
        "max_descriptors = {}\n",
        port_, FreePort(), FreePort(), FreePort(), store_.address(), memory_mb_,
        max_descriptors);
    qputenv("CROCUSLATCH_SETTINGS", settings.c_str());
    process_ = std::make_unique<Process>(
        "crocuslatchd", std::vector<std::string>{"front"},
        folder_.filePath("front.log").toStdString());
    REQUIRE(IsOrdinaryRequestAnswered());
  }

  std::uint16_t port() const { return port_; }
  bool IsRunning() const { return process_->IsRunning(); }
  Process& process() { return *process_; }

  // Registers a server of the service "faulty", which serves the routes
  // "/faulty/" and "/faulty-stream/".
  void AddFaultyServer(std::uint16_t port) {
    store_.Put(
        "servers/i-2",
        {{"service", "faulty"},
         {"address", QString::fromStdString(fmt::format("127.0.0.1:{}", port))},
         {"zone", "a"},
         {"version", "v1"},
         {"slots", 1000},
         {"state", "ready"},
         {"cold_remaining_ms", 0},
         {"sequence", 1},
         {"born", qint64{1'700'000'000'000}}});
  }

  // Sends the clients' bytes in steps of at most `step_bytes` a client, and
  // then waits while all of them stay connected.
  void RunCrowd(const std::vector<std::string>& requests,
                std::size_t step_bytes) {
    for (const auto& it : requests) {
      clients_.push_back(std::make_unique<RawClient>(port_, it));
    }
    RunUntil(
        [this, step_bytes] {
          bool has_more = false;
          for (const auto& it : clients_) {
            has_more |= it->SendSome(step_bytes);
          }
          Observe();
          RunFor(kStepTime);
          return !has_more;
        },
        kCrowdTime);
    RunUntil(
        [this] {
          Observe();
          return false;
        },
        kCrowdTime);
  }

  // Each attempt uses a new connection, as callers do after a refusal.
  bool IsOrdinaryRequestAnswered() {
    return RunUntil(
               [this] {
                 Observe();
                 HttpClient client;
                 std::optional<int> status;
                 client.SendAndCollect(
                     {.method = "POST",
                      .url = Url(port_, "/order/1"),
                      .headers = {{"Host", "h.example"},
                                  {"Crocuslatch-Request-Id",
                                   fmt::format("ordinary-{}", ++attempts_)},
                                  {"Crocuslatch-Request-Deadline", "3000"}},
                      .body = "{}",
                      .connect_timeout = Millis{1000},
                      .first_byte_timeout = Millis{4000}},
                     [&status](HttpResult, int it, const HttpHeaders&,
                               const std::string&) { status = it; });
                 RunUntil([&status] { return status.has_value(); },
                          Millis{6000});
                 return status == 200 || !process_->IsRunning();
               },
               kAnswerTime) &&
           process_->IsRunning();
  }

  // Peak of the resident memory since the start of the process, in MB.
  std::size_t PeakMemoryMb() const {
    std::ifstream status(fmt::format("/proc/{}/status", process_->pid()));
    std::string word;
    while (status >> word) {
      if (word == "VmHWM:") {
        std::size_t kilobytes = 0;
        status >> kilobytes;
        return kilobytes >> 10;
      }
    }
    return 0;
  }
  std::size_t peak_descriptors() const { return peak_descriptors_; }

  // The checks of every test.
  void CheckAfterCrowd(std::size_t max_descriptors) {
    const bool is_answered = IsOrdinaryRequestAnswered();
    const auto memory = PeakMemoryMb();
    UNSCOPED_INFO("peak memory " << memory << " MB, peak descriptors "
                                 << peak_descriptors());
    if (qEnvironmentVariableIsSet("RESOURCES_PRINT")) {
      WARN("peak memory " << memory << " MB, peak descriptors "
                          << peak_descriptors());
    }
    CHECK(IsRunning());
    CHECK(memory > 0);
    CHECK(memory <= memory_mb_);
    CHECK(peak_descriptors() <= max_descriptors);
    CHECK(is_answered);
  }

 private:
  static QJsonObject Route(const char* name,
                           const char* kind,
                           const char* service) {
    return {{"name", name},
            {"host", "h.example"},
            {"prefix", QString("/%1/").arg(name)},
            {"kind", kind},
            {"timeout_ms", 30000},
            {"target_latency_ms", 500},
            {"service", service},
            {"max_attempts", 2},
            {"public", true},
            {"session_affinity", false},
            {"resumable", false},
            {"gap_aim_ms", 300}};
  }

  void Observe() {
    const auto open =
        QDir(QString("/proc/%1/fd").arg(process_->pid()))
            .entryList(QDir::NoDotAndDotDot | QDir::AllEntries | QDir::System)
            .size();
    peak_descriptors_ =
        std::max(peak_descriptors_, static_cast<std::size_t>(open));
  }

  const std::size_t memory_mb_;
  PlatformStore store_;
  std::unique_ptr<PlatformServer> server_;
  QTemporaryDir folder_;
  std::uint16_t port_ = 0;
  std::unique_ptr<Process> process_;
  std::vector<std::unique_ptr<RawClient>> clients_;
  std::size_t peak_descriptors_ = 0;
  int attempts_ = 0;
};

}  // namespace crocuslatch::test

#endif  // TESTS_RESOURCES_LIMITED_HOST_H_
