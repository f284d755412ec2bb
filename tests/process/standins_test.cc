#include <catch2/catch.hpp>

#include <QJsonArray>
#include <QJsonDocument>

#include "standins/engine_tokens.h"
#include "tests/process/fleet.h"

// The process tests rely on the stand-ins' counts and faults, so a defect in a
// stand-in could hide a defect in the routers.

namespace crocuslatch::test {

namespace {

const FleetOptions kStandinsOnly{.routers = 0, .engines = 1, .services = 1};

HttpRequest Put(const Process& store,
                const std::string& version,
                std::string value = "value") {
  return {.method = "PUT",
          .url = Url(store.port(), "/v1/kv/test/key"),
          .headers = {{"If-Version", version}},
          .body = std::move(value)};
}

HttpRequest Get(std::uint16_t port, const std::string& path) {
  return {.method = "GET", .url = Url(port, path)};
}

HttpRequest Completion(std::uint16_t port, int resume_from = 0) {
  const QJsonObject body{{"model", "model"},  {"prompt", "one two three"},
                         {"max_tokens", 6},   {"request_id", "id"},
                         {"user", "someone"}, {"resume_from", resume_from}};
  return {.method = "POST",
          .url = Url(port, "/v1/completions"),
          .body = QJsonDocument(body).toJson().toStdString(),
          .stall_timeout = Millis(300)};
}

// Concatenates the texts of the events of request "id".
std::string TextOf(const std::string& body) {
  std::string text;
  for (const auto& it : QByteArray::fromStdString(body).split('\n')) {
    const auto event = QJsonDocument::fromJson(it.mid(6)).object();
    if (event["request_id"].toString() == "id") {
      text += event["text"].toString().toStdString();
    }
  }
  return text;
}

QJsonObject OneFault(const QJsonObject& fault) {
  return {{"faults", QJsonArray{fault}}};
}

}  // namespace

TEST_CASE("the store writes only if the expected version matches") {
  Fleet fleet(kStandinsOnly);
  CHECK(fleet.SendAndWait(Put(fleet.store(), "0")).status == 200);
  const auto conflict = fleet.SendAndWait(Put(fleet.store(), "0", "other"));
  CHECK(conflict.status == 409);
  CHECK(FindHeader(conflict.headers, "X-Version") == "1");
  CHECK(fleet.SendAndWait(Get(fleet.store().port(), "/v1/kv/test/key")).body ==
        "value");
  const std::string large((1 << 20) + 1, 'x');
  CHECK(fleet.SendAndWait(Put(fleet.store(), "1", large)).status == 413);
}

TEST_CASE("the store drops an answer after the write took effect") {
  Fleet fleet(kStandinsOnly);
  fleet.Control(fleet.store(), {{"lose_answers", 1}});
  CHECK(fleet.SendAndWait(Put(fleet.store(), "0")).end == HttpResult::kBroken);
  CHECK(fleet.SendAndWait(Get(fleet.store().port(), "/v1/kv/test/key")).body ==
        "value");
  CHECK(fleet.SendAndWait(Put(fleet.store(), "1")).status == 200);
}

TEST_CASE("the store's faults apply only to keys with the prefix") {
  Fleet fleet(kStandinsOnly);
  fleet.Control(fleet.store(), {{"outage", "refuse"}, {"prefix", "other/"}});
  CHECK(fleet.SendAndWait(Put(fleet.store(), "0")).status == 200);
  fleet.Control(fleet.store(), {{"prefix", "test/"}});
  CHECK(fleet.SendAndWait(Put(fleet.store(), "1")).status == 503);
}

TEST_CASE("the engine resumes a stream and counts what it generated") {
  Fleet fleet(kStandinsOnly);
  const auto port = fleet.engine(0).port();
  const auto whole = standins::EngineAnswer("one two three", 6);
  CHECK(TextOf(fleet.SendAndWait(Completion(port)).body) == whole);
  const auto rest = TextOf(fleet.SendAndWait(Completion(port, 4)).body);
  CHECK(rest.size() * 3 == whole.size());
  CHECK(whole.ends_with(rest));
  CHECK(fleet.EngineCount("someone", "generated_tokens") == 8);
  CHECK(fleet.EngineCount("someone", "prompt_tokens") == 6);
}

TEST_CASE("an engine fault affects one request only") {
  Fleet fleet(kStandinsOnly);
  const auto port = fleet.engine(0).port();
  fleet.Control(fleet.engine(0),
                OneFault({{"kind", "crash"}, {"after_tokens", 2}}));
  CHECK(fleet.SendAndWait(Completion(port)).end == HttpResult::kBroken);
  CHECK(fleet.EngineCount("someone", "generated_tokens") == 2);
  fleet.Control(fleet.engine(0),
                OneFault({{"kind", "silent"}, {"after_tokens", 2}}));
  CHECK(fleet.SendAndWait(Completion(port)).end == HttpResult::kTimedOut);
  fleet.Control(fleet.engine(0), OneFault({{"kind", "refuse"}}));
  const auto refused = fleet.SendAndWait(Completion(port));
  CHECK(refused.status == 503);
  CHECK(FindHeader(refused.headers, "X-Not-Run") == "1");
  CHECK(fleet.SendAndWait(Completion(port)).status == 200);
}

TEST_CASE("the service counts a run whose answer was never sent") {
  Fleet fleet(kStandinsOnly);
  const HttpRequest order{.method = "POST",
                          .url = Url(fleet.service(0).port(), "/orders"),
                          .headers = {{"Idempotency-Key", "key"}},
                          .body = "{}"};
  fleet.Control(fleet.service(0), OneFault({{"kind", "close"}}));
  CHECK(fleet.SendAndWait(order).end == HttpResult::kBroken);
  CHECK(fleet.OrderRuns("key") == 1);
  fleet.Control(fleet.service(0), OneFault({{"kind", "refuse"}}));
  CHECK(fleet.SendAndWait(order).status == 503);
  CHECK(fleet.OrderRuns("key") == 1);
  CHECK(fleet.SendAndWait(order).status == 200);
  CHECK(fleet.OrderRuns("key") == 2);
}

TEST_CASE("a change of the host list is visible after its lag") {
  Fleet fleet(kStandinsOnly);
  const auto read = [&] {
    return fleet.SendAndWait(Get(fleet.hosts().port(), "/v1/hosts")).body;
  };
  CHECK(read().find("engine-0") != std::string::npos);
  fleet.Control(fleet.hosts(), {{"lag_ms", 200}});
  fleet.SetHostState("engine-0", "leaving");
  CHECK(read().find("leaving") == std::string::npos);
  RunFor(Millis(300));
  CHECK(read().find("leaving") != std::string::npos);
}

TEST_CASE("a silent relay stops open connections but not new ones") {
  FleetOptions options = kStandinsOnly;
  options.relays = true;
  options.engine_arguments = {"--token-ms", "100"};
  Fleet fleet(options);
  const auto& relay = fleet.engine_relay(0);
  HttpClient client;
  HttpResult end = HttpResult::kComplete;
  std::size_t bytes = 0;
  client.Send(Completion(relay.port()),
              {.on_data = [&](std::string_view it) { bytes += it.size(); },
               .on_end = [&](HttpResult it) { end = it; }});
  REQUIRE(RunUntil([&] { return bytes > 0; }, Millis(3000)));
  fleet.Control(relay, {{"silence", true}});
  CHECK(RunUntil([&] { return end == HttpResult::kTimedOut; }, Millis(3000)));
  CHECK(fleet.Stats(relay)["silent"].toInteger() == 1);
  CHECK(fleet.SendAndWait(Completion(relay.port())).end ==
        HttpResult::kComplete);
}

TEST_CASE("the relay drops connections, delays data and blocks one direction") {
  FleetOptions options = kStandinsOnly;
  options.relays = true;
  Fleet fleet(options);
  const auto& relay = fleet.engine_relay(0);
  fleet.Control(relay, {{"drop_new", true}});
  CHECK(fleet.SendAndWait(Completion(relay.port())).end !=
        HttpResult::kComplete);
  fleet.Control(relay, {{"drop_new", false}, {"delay_ms", 100}});
  CHECK(fleet.SendAndWait(Completion(relay.port())).end ==
        HttpResult::kComplete);
  fleet.Control(relay, {{"delay_ms", 0}, {"forward", "to_target"}});
  auto request = Completion(relay.port());
  request.first_byte_timeout = Millis(300);
  CHECK(fleet.SendAndWait(request).end == HttpResult::kTimedOut);
  CHECK(fleet.EngineCount("someone", "requests") == 2);
}

}  // namespace crocuslatch::test
