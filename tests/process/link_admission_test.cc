#include <fmt/format.h>

#include <QJsonArray>
#include <QTemporaryDir>
#include <catch2/catch.hpp>
#include <fstream>

#include "io/http_client.h"
#include "src/event_loop.h"
#include "tests/process/platform_standin.h"
#include "tests/process/process.h"

namespace crocuslatch::test {
namespace {

// A host with a link of 1 Mbit/s, whose route takes orders.
class SmallHost {
 public:
  SmallHost() : server_(&store_, "app", "i-1") {
    store_.Put(
        "op/config",
        {{"version", 1},
         {"routes", QJsonArray{QJsonObject{{"name", "order"},
                                           {"host", "h.example"},
                                           {"prefix", "/order/"},
                                           {"kind", "unsafe"},
                                           {"timeout_ms", 12000},
                                           {"target_latency_ms", 500},
                                           {"service", "app"},
                                           {"max_attempts", 1},
                                           {"public", true}}}},
         {"services", QJsonArray{QJsonObject{{"name", "app"},
                                             {"health_path", "/health"}}}}});
    const auto settings = folder_.filePath("front.toml").toStdString();
    std::ofstream(settings) << fmt::format(
        "[host]\nname = \"front\"\nfailure_domain = \"a\"\n"
        "[listen]\ncallers = \"127.0.0.1:{}\"\nreadiness = \"127.0.0.1:{}\"\n"
        "metrics = \"127.0.0.1:{}\"\npeers = \"127.0.0.1:{}\"\n"
        "[store]\naddress = \"{}\"\n"
        "[bounds]\ngrace_s = 8\ndrain_ms = 2000\nconfig_apply_ms = 2000\n"
        "retry_ratio = 0.2\nretry_window_s = 10\nretry_slack = 58\n"
        "[limits]\nlink_mbps = 1.0\n",
        port_, FreePort(), FreePort(), FreePort(), store_.address());
    qputenv("CROCUSLATCH_SETTINGS", settings.c_str());
    process_ = std::make_unique<Process>(
        "crocuslatchd", std::vector<std::string>{"front"},
        folder_.filePath("front.log").toStdString());
  }

  // Sends an order on a new connection.
  void Send(
      const std::string& id,
      std::size_t body_bytes,
      const std::function<void(int, const HttpHeaders&, const std::string&)>&
          on_response) {
    client_.SendAndCollect(
        {.method = "POST",
         .url = fmt::format("http://127.0.0.1:{}/order/{}/0", port_, id),
         .headers = {{"Host", "h.example"}, {"Crocuslatch-Request-Id", id}},
         .body = std::string(body_bytes, 'x')},
        [on_response](HttpResult, int status, const HttpHeaders& headers,
                      const std::string& body) {
          on_response(status, headers, body);
        });
  }

  int SendAndWait(const std::string& id, std::size_t body_bytes) {
    std::optional<int> got;
    Send(id, body_bytes,
         [&](int status, const auto&, const auto&) { got = status; });
    CHECK(RunUntil([&] { return got.has_value(); }, Millis{5000}));
    return got.value_or(0);
  }

  const std::map<std::string, int>& runs() const { return server_.runs(); }

 private:
  PlatformStore store_;
  PlatformServer server_;
  QTemporaryDir folder_;
  const std::uint16_t port_ = FreePort();
  std::unique_ptr<Process> process_;
  HttpClient client_{{.max_idle_time = Millis{0}}};
};

}  // namespace

// Guards against a host that does not ask its link's admission, that runs a
// request which it refused, or that goes on refusing after a flood.
TEST_CASE(
    "a host refuses a flood of its link truthfully and for a short time") {
  constexpr int kRequests = 40;
  constexpr std::size_t kBytes = 20'000;
  SmallHost host;
  int attempt = 0;
  REQUIRE(RunUntil(
      [&] {
        return host.SendAndWait(fmt::format("a{}", ++attempt), 10) == 200;
      },
      Millis{10'000}));
  std::map<std::string, int> statuses;
  std::map<std::string, HttpHeaders> refusals;
  for (int i = 0; i < kRequests; ++i) {
    const auto id = fmt::format("b{}", i);
    host.Send(id, kBytes,
              [&, id](int status, const HttpHeaders& headers,
                      const std::string& body) {
                statuses[id] = status;
                if (status == 503) {
                  CHECK(body.find("link_busy") != std::string::npos);
                  refusals[id] = headers;
                }
              });
  }
  REQUIRE(
      RunUntil([&] { return statuses.size() == kRequests; }, Millis{15'000}));
  CHECK_FALSE(refusals.empty());
  CHECK(refusals.size() < kRequests);
  for (const auto& [id, status] : statuses) {
    CAPTURE(id, status);
    CHECK((status == 200 || status == 503));
    CHECK(host.runs().contains(id) == (status == 200));
  }
  for (const auto& [id, headers] : refusals) {
    CHECK_FALSE(FindHeader(headers, "Retry-After").empty());
    CHECK(FindHeader(headers, "Connection") == "close");
    CHECK(FindHeader(headers, "Crocuslatch-Request-Id") == id);
  }
  CHECK(RunUntil(
      [&] {
        return host.SendAndWait(fmt::format("c{}", ++attempt), kBytes) == 200;
      },
      Millis{5000}));
}

}  // namespace crocuslatch::test
