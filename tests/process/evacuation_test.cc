#include <fmt/format.h>

#include <QElapsedTimer>
#include <QJsonArray>
#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <vector>

#include "app/front.h"
#include "io/http_client.h"
#include "tests/process/platform_standin.h"
#include "tests/process/process.h"

// Evacuations of failure domains and limits on cold servers, through a whole
// host and the platform's store.

namespace crocuslatch::test {
namespace {

struct Fixture {
  Fixture()
      : server_a(&store, "app", "i-a", "a"),
        server_b(&store, "app", "i-b", "b") {
    store.Put("op/config",
              {{"version", 1},
               {"routes", QJsonArray{QJsonObject{{"name", "order"},
                                                 {"host", "h.example"},
                                                 {"prefix", "/order/"},
                                                 {"kind", "unsafe"},
                                                 {"timeout_ms", 2000},
                                                 {"target_latency_ms", 500},
                                                 {"service", "app"},
                                                 {"max_attempts", 2},
                                                 {"public", true}}}},
               {"services", QJsonArray{QJsonObject{{"name", "app"},
                                                   {"health_path", "/health"},
                                                   {"cold_start_s", 60},
                                                   {"cold_per_s", 6.6}}}},
               {"limits", QJsonObject{}},
               {"tenants", QJsonArray{}}});
  }

  void Start() {
    port = FreePort();
    readiness_port = FreePort();
    const auto address = [](std::uint16_t it) {
      return fmt::format("127.0.0.1:{}", it);
    };
    front = std::make_unique<Front>(
        FrontSettings{.host_name = "front",
                      .failure_domain = "a",
                      .caller_address = address(port),
                      .readiness_address = address(readiness_port),
                      .metrics_address = address(FreePort()),
                      .peer_address = address(FreePort()),
                      .store_address = store.address(),
                      .cold_excess = 1.5,
                      .cold_slack = 5,
                      .evacuate = Millis{5000}});
  }

  struct Answer {
    int status = 0;
    std::string body;
  };

  Answer Get(std::uint16_t to, const std::string& path) {
    std::optional<Answer> answer;
    caller.SendAndCollect({.method = "POST",
                           .url = Url(to, path),
                           .headers = {{"Host", "h.example"},
                                       {"Crocuslatch-Request-Id",
                                        fmt::format("r{}", ++last_id)}}},
                          [&](HttpResult, int status, const HttpHeaders&,
                              const std::string& body) {
                            answer = {status, body};
                          });
    REQUIRE(RunUntil([&] { return answer.has_value(); }, Millis{5000}));
    return *answer;
  }

  bool WaitUntilReady() {
    for (int i = 0; i < 100; ++i) {
      if (Get(readiness_port, "/-/readiness").status == 200) {
        return true;
      }
      RunFor(Millis{20});
    }
    return false;
  }

  // Number of requests that arrived at each server, of ten orders.
  std::pair<std::size_t, std::size_t> SendOrders() {
    const auto a = server_a.runs().size();
    const auto b = server_b.runs().size();
    for (int i = 0; i < 10; ++i) {
      Get(port, "/order/0");
    }
    return {server_a.runs().size() - a, server_b.runs().size() - b};
  }

  PlatformStore store;
  PlatformServer server_a;
  PlatformServer server_b;
  HttpClient caller;
  std::unique_ptr<Front> front;
  std::uint16_t port = 0;
  std::uint16_t readiness_port = 0;
  int last_id = 0;
};

using Counts = std::pair<std::size_t, std::size_t>;

}  // namespace

// Guards against requests to an evacuated domain, and against a refusal that
// does not say that the request was not run.
TEST_CASE("servers of an evacuated domain get no request") {
  Fixture it;
  it.Start();
  REQUIRE(it.WaitUntilReady());
  CHECK(it.SendOrders() == Counts{10, 0});
  it.store.Put("op/evacuate/a", {});
  RunFor(Millis{300});
  CHECK(it.SendOrders() == Counts{0, 10});
  it.store.Put("op/evacuate/b", {});
  RunFor(Millis{300});
  CHECK(it.SendOrders() == Counts{0, 0});
  const auto refusal = it.Get(it.port, "/order/0");
  CHECK(refusal.status == 503);
  CHECK(refusal.body.find("not_run") != std::string::npos);
  it.store.Remove("op/evacuate/a");
  RunFor(Millis{300});
  CHECK(it.SendOrders() == Counts{10, 0});
}

// Guards against a restarted host that sends to an evacuated domain, and
// against an evacuation that a store outage ends.
TEST_CASE("an evacuation holds over a restart and an outage of the store") {
  Fixture it;
  it.store.Put("op/evacuate/a", {});
  it.Start();
  REQUIRE(it.WaitUntilReady());
  CHECK(it.SendOrders() == Counts{0, 10});
  it.store.SetDown(true);
  RunFor(Millis{6000});
  CHECK(it.SendOrders() == Counts{0, 10});
  it.front.reset();
  it.Start();
  RunFor(Millis{300});
  CHECK(it.Get(it.readiness_port, "/-/readiness").status == 503);
  CHECK(it.SendOrders() == Counts{0, 0});
  it.store.SetDown(false);
  REQUIRE(it.WaitUntilReady());
  CHECK(it.SendOrders() == Counts{0, 10});
}

// Guards against a host that does not apply the limit on cold servers, and
// against one that never sends to them.
TEST_CASE("cold servers get few requests from a host") {
  Fixture it;
  it.server_a.SetCold(Millis{60'000});
  it.server_b.SetCold(Millis{60'000});
  // Until the next heartbeats.
  RunFor(Millis{1500});
  it.Start();
  REQUIRE(it.WaitUntilReady());
  // The other hosts may not know a new host yet.
  const auto refusal = it.Get(it.port, "/order/0");
  CHECK(refusal.status == 503);
  CHECK(refusal.body.find("servers_cold") != std::string::npos);
  CHECK(refusal.body.find("not_run") != std::string::npos);
  CHECK(it.SendOrders() == Counts{0, 0});
  QElapsedTimer clock;
  clock.start();
  std::vector<std::int64_t> served;
  while (clock.elapsed() < 12'000) {
    const auto sent_at = clock.elapsed();
    if (it.Get(it.port, "/order/0").status == 200) {
      served.push_back(sent_at);
    }
    RunFor(Millis{5});
  }
  CHECK(!served.empty());
  // Both servers together.
  constexpr auto kBound = std::ptrdiff_t{2} * 14;
  for (auto first = served.begin(); first != served.end(); ++first) {
    const auto end = std::lower_bound(first, served.end(), *first + 1000);
    CHECK(end - first <= kBound);
  }
}

}  // namespace crocuslatch::test
