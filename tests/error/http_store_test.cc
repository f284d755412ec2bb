#include "src/http_store.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>

#include "io/http_server.h"
#include "src/host_list.h"
#include "tests/run_until.h"

namespace crocuslatch {
namespace {

// A store over a server that gives one fixed answer.
struct Fixture {
  int status = 200;
  HttpHeaders headers;
  std::string body;
  bool silent = false;
  IncomingRequest last;
  std::vector<HttpReply> replies;
  HttpClient client;
  HttpServer front{{}, [this](const IncomingRequest& request, HttpReply reply) {
                     last = request;
                     if (silent) {
                       replies.push_back(reply);
                     } else {
                       reply.SendResponse(status, headers, body);
                     }
                   }};
  std::string url = fmt::format("http://127.0.0.1:{}", front.port());
  Store store = MakeHttpStore({.base_url = url, .timeout = Millis{200}},
                              MakeQtEventLoop(),
                              &client);

  StoreResult Put() {
    return Call([this](const StoreCallback& it) {
      store.put("config/a b", "value", 7, it);
    });
  }
  StoreResult Get() {
    return Call([this](const StoreCallback& it) { store.get("a", it); });
  }
  StoreResult Remove() {
    return Call([this](const StoreCallback& it) { store.remove("a", 3, it); });
  }

  static StoreResult Call(const std::function<void(StoreCallback)>& call) {
    std::optional<StoreResult> result;
    bool inside = true;
    call([&](const StoreResult& it) {
      CHECK_FALSE(inside);
      result = it;
    });
    inside = false;
    CHECK(RunUntil([&] { return result.has_value(); }));
    return *result;
  }
};

}  // namespace

TEST_CASE("clear answers of the store are results") {
  Fixture it;
  it.headers = {{"X-Version", "8"}};
  it.body = "stored";
  const auto got = it.Get();
  CHECK(got.status == StoreStatus::kOk);
  CHECK(got.version == 8);
  CHECK(got.value == "stored");
  CHECK(it.Put().version == 8);
  CHECK(it.last.method == "PUT");
  CHECK(it.last.path == "/v1/kv/config/a%20b");
  CHECK(it.last.body == "value");
  CHECK(FindHeader(it.last.headers, "If-Version") == "7");
  CHECK(it.Remove().status == StoreStatus::kOk);
  it.status = 409;
  CHECK(it.Put().status == StoreStatus::kVersionConflict);
  CHECK(it.Put().version == 8);
  CHECK(it.Remove().status == StoreStatus::kVersionConflict);
  it.status = 404;
  CHECK(it.Get().status == StoreStatus::kNotFound);
  CHECK(it.Get().version == 0);
}

// Guards against a write that counts as failed or done without the store
// saying so.
TEST_CASE("anything but a clear answer of the store is unknown") {
  Fixture it;
  it.headers = {{"X-Version", "8"}};
  it.status = GENERATE(302, 400, 401, 408, 429, 500, 502, 503, 504);
  CHECK(it.Put().status == StoreStatus::kUnknown);
  CHECK(it.Get().status == StoreStatus::kUnknown);
  CHECK(it.Remove().status == StoreStatus::kUnknown);
  it.status = GENERATE(200, 409);
  it.headers = {{"X-Version", GENERATE("", "x", "8x", "-1")}};
  CHECK(it.Put().status == StoreStatus::kUnknown);
}

TEST_CASE("a silent store and a slow one end at the deadline") {
  Fixture it;
  it.silent = true;
  QElapsedTimer clock;
  clock.start();
  CHECK(it.Get().status == StoreStatus::kUnknown);
  CHECK(clock.elapsed() < 1000);
  // Sends something before each timeout of the client.
  QTimer timer;
  QObject::connect(&timer, &QTimer::timeout, &timer, [&] {
    for (auto& reply : it.replies) {
      reply.StartStream(200, {{"X-Version", "1"}});
      reply.Write("x");
    }
  });
  timer.start(50);
  clock.start();
  CHECK(it.Get().status == StoreStatus::kUnknown);
  CHECK(clock.elapsed() < 1000);
}

TEST_CASE("the store lists entries") {
  Fixture it;
  it.body = R"([{"key":"a/1","version":2},{"key":"a/2","version":9}])";
  std::optional<std::vector<StoreKeyVersion>> entries;
  const auto list = [&] {
    entries.reset();
    it.store.list("a/", [&](StoreStatus status, const auto& found) {
      CHECK((status == StoreStatus::kOk) == !found.empty());
      entries = found;
    });
    REQUIRE(RunUntil([&] { return entries.has_value(); }));
  };
  list();
  CHECK(*entries == std::vector<StoreKeyVersion>{{"a/1", 2}, {"a/2", 9}});
  CHECK(it.last.query == "prefix=a/");
  it.body = "[{}]";
  list();
  CHECK(entries->empty());
}

// Guards against an outage of the host list that empties the fleet.
TEST_CASE("the last host list stays while the platform is down") {
  Fixture it;
  it.body = R"([{"name":"r1","kind":"router","address":"127.0.0.1:5",
                 "failure_domain":"d1","state":"leaving"}])";
  int lists = 0;
  HostListPoller hosts({.base_url = it.url, .period = Millis{10}},
                       MakeQtEventLoop(), &it.client,
                       [&](const auto&) { ++lists; });
  REQUIRE(RunUntil([&] { return lists >= 2; }));
  const std::vector<HostEntry> expected{
      {"r1", HostKind::kRouter, "127.0.0.1:5", "d1", HostState::kLeaving}};
  CHECK(hosts.latest() == expected);
  it.body = GENERATE("[]", "", "{}", R"([{"name":"r1"}])", "[1]");
  RunFor(Millis{100});
  CHECK(hosts.latest() == expected);
}

}  // namespace crocuslatch
