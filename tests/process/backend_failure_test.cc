#include <QJsonArray>
#include <catch2/catch.hpp>

#include "tests/process/batch.h"

namespace crocuslatch::test {

namespace {

// R6: a leaving backend server gets no new work after this time.
constexpr Millis kMaxLeaveDelay{5000};
const Call kStream{.prompt = "a stream", .max_tokens = 40};

QJsonObject Faults(const char* kind, int count) {
  const QJsonObject fault{
      {"kind", kind}, {"count", count}, {"after_tokens", 10}};
  return {{"faults", QJsonArray{fault}}};
}

// Checks that streams are complete although two engines each fail `count`
// requests.
void TestEngineFault(const char* kind, int count) {
  INFO(kind);
  Fleet fleet({});
  fleet.Control(fleet.engine(0), Faults(kind, count));
  fleet.Control(fleet.engine(1), Faults(kind, count));
  Batch batch(fleet);
  batch.Start(9, kStream);
  REQUIRE(batch.WaitUntilEnded());
  batch.CheckWholeAnswers();
  CheckBilled(fleet, 0, batch.UsedTokens());
  const auto faulted = [&](std::size_t i) {
    return fleet.Stats(fleet.engine(i))["faulted"].toInteger();
  };
  CHECK(faulted(0) + faulted(1) > 0);
}

// Starts a short request every 50 ms for `time`.
void RunLoad(Batch& batch, Millis time) {
  for (Millis it{0}; it < time; it += Millis(50)) {
    batch.Start(1, {.prompt = "load", .max_tokens = 4});
    RunFor(Millis(50));
  }
}

}  // namespace

// These tests guard against answers that are truncated, duplicated or mixed
// with another request's answer (R3).
TEST_CASE("streams are complete when engines crash mid-stream") {
  TestEngineFault("crash", 3);
}

TEST_CASE("streams are complete when engines go silent mid-stream") {
  TestEngineFault("silent", 2);
}

TEST_CASE("streams are complete when engines send events of other requests") {
  TestEngineFault("mix", 3);
}

TEST_CASE("streams are complete when engines omit an event") {
  TestEngineFault("skip", 3);
}

TEST_CASE("requests are answered when engines refuse to run some") {
  TestEngineFault("refuse", 3);
}

// Guards against a stream that hangs on a silent connection while new
// connections to the same engine work.
TEST_CASE("streams are complete when the connections to an engine go silent") {
  FleetOptions options;
  options.relays = true;
  options.engine_arguments = {"--token-ms", "20"};
  Fleet fleet(options);
  Batch batch(fleet);
  batch.Start(9, kStream);
  REQUIRE(RunUntil([&] { return batch.AllStreaming(); }, Millis(10000)));
  fleet.Control(fleet.engine_relay(0), {{"silence", true}});
  REQUIRE(batch.WaitUntilEnded());
  batch.CheckWholeAnswers();
  CHECK(fleet.Stats(fleet.engine_relay(0))["silent"].toInteger() > 0);
  CheckBilled(fleet, 0, batch.UsedTokens());
}

// Guards against a second run of an order whose answer was lost (R5).
TEST_CASE("no order runs twice when the service loses answers") {
  Fleet fleet({});
  const QJsonArray faults{QJsonObject{{"kind", "close"}, {"count", 2}},
                          QJsonObject{{"kind", "silent"}, {"count", 2}},
                          QJsonObject{{"kind", "refuse"}, {"count", 2}}};
  fleet.Control(fleet.service(0), {{"faults", faults}});
  Batch batch(fleet);
  batch.Start(9, {});
  REQUIRE(batch.WaitUntilEnded());
  batch.CheckOrders();
  CHECK(batch.Count(Transcript::End::kOutcomeUnknown) == 4);
  CHECK(batch.Count(Transcript::End::kAnswered) == 5);
  CheckBalance(fleet, 0);
}

// These tests guard against dispatching new work to a leaving engine (R6).
TEST_CASE("an engine that the host list marks as leaving gets no new work") {
  Fleet fleet({});
  Batch batch(fleet);
  RunLoad(batch, Millis(1000));
  fleet.SetHostState("engine-0", "leaving");
  RunLoad(batch, kMaxLeaveDelay);
  const auto count = [&] {
    return fleet.Stats(fleet.engine(0))["requests"].toObject().size();
  };
  const auto at_bound = count();
  CHECK(at_bound > 0);
  RunLoad(batch, Millis(3000));
  CHECK(count() == at_bound);
  REQUIRE(batch.WaitUntilEnded());
  batch.CheckWholeAnswers();
}

TEST_CASE("an engine that reports itself as leaving gets no new work") {
  Fleet fleet({});
  Batch batch(fleet);
  RunLoad(batch, Millis(1000));
  fleet.Control(fleet.engine(0), {{"leaving", true}});
  RunLoad(batch, kMaxLeaveDelay + Millis(3000));
  const auto stats = fleet.Stats(fleet.engine(0));
  for (const auto& it : stats["accepted_while_leaving_ms"].toArray()) {
    CHECK(it.toInteger() <= kMaxLeaveDelay.count());
  }
  REQUIRE(batch.WaitUntilEnded());
  batch.CheckWholeAnswers();
}

}  // namespace crocuslatch::test
