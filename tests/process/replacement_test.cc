#include <signal.h>

#include <catch2/catch.hpp>

#include "tests/process/batch.h"

namespace crocuslatch::test {

// Guards against interrupted requests (R7), double billing (R2) and unreturned
// grants when replacing every router in turn under load interrupts no request.
TEST_CASE("replacing every router in turn under load interrupts no request") {
  Fleet fleet({.engine_arguments = {"--token-ms", "10"}});
  Batch batch(fleet);
  Batch orders(fleet);
  for (std::size_t i = 0; i < fleet.router_count(); ++i) {
    batch.Start(6, {.prompt = "a stream", .max_tokens = 60});
    orders.Start(3, {});
    RunFor(Millis(200));
    fleet.router(i).Signal(SIGTERM);
    for (int n = 0; n < 10; ++n) {
      batch.Start(1, {.prompt = "a later stream", .max_tokens = 20});
      RunFor(Millis(50));
    }
    REQUIRE(RunUntil([&] { return fleet.router(i).WaitExit(Millis(0)) == 0; },
                     Millis(20000)));
    fleet.RestartRouter(i);
    REQUIRE(RunUntil([&] { return fleet.IsReady(i); }, Millis(7000)));
  }
  REQUIRE(batch.WaitUntilEnded());
  REQUIRE(orders.WaitUntilEnded());
  batch.CheckWholeAnswers();
  orders.CheckOrders();
  CHECK(orders.Count(Transcript::End::kAnswered) == 9);
  for (std::size_t i = 0; i < fleet.router_count(); ++i) {
    CHECK(batch.CountAttempts(i, HttpResult::kBroken) == 0);
    CHECK(orders.CountAttempts(i, HttpResult::kBroken) == 0);
  }
  CheckBilled(fleet, 1, batch.UsedTokens() + 9 * kOrderCost);
  CheckBalance(fleet, 1);
}

// Guards against failures that occur only in combination: a router dies while
// the store is down and an engine is silent.
TEST_CASE(
    "three simultaneous faults cause no overspending, loss or duplication") {
  FleetOptions options;
  options.prepaid = 20000;
  options.engine_arguments = {"--token-ms", "10"};
  Fleet fleet(options);
  Batch streams(fleet);
  Batch orders(fleet);
  streams.Start(12, {.prompt = "a stream", .max_tokens = 100});
  orders.Start(6, {});
  REQUIRE(RunUntil([&] { return streams.AllStreaming(); }, Millis(10000)));
  fleet.Control(fleet.store(), {{"outage", "hang"}});
  fleet.Control(fleet.engine(0),
                {{"faults", QJsonArray{QJsonObject{{"kind", "silent"},
                                                   {"count", 3},
                                                   {"after_tokens", 5}}}}});
  streams.Start(6, {.prompt = "a stream in the outage", .max_tokens = 30});
  orders.Start(6, {});
  RunFor(Millis(500));
  fleet.router(0).Signal(SIGKILL);
  RunFor(Millis(4000));
  fleet.Control(fleet.store(), {{"outage", "none"}});
  REQUIRE(streams.WaitUntilEnded());
  REQUIRE(orders.WaitUntilEnded());
  streams.CheckWholeAnswers();
  orders.CheckOrders();
  CHECK(fleet.EngineCount("small", "generated_tokens") +
            fleet.EngineCount("small", "prompt_tokens") <=
        options.prepaid);
  RunFor(Millis(3000));
  const auto budget = ReadBudget(fleet, 1);
  const auto answered = static_cast<Tokens>(
      orders.Count(Transcript::End::kAnswered) * kOrderCost);
  CHECK(budget.billed <= streams.UsedTokens() + 12 * kOrderCost);
  CHECK(budget.billed + budget.outstanding + budget.open_charges >=
        streams.UsedTokens() + answered);
  CheckBalance(fleet, 1);
}

}  // namespace crocuslatch::test
