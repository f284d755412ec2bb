#include <signal.h>

#include <catch2/catch.hpp>

#include "tests/process/batch.h"

namespace crocuslatch::test {

// Guards against cut requests (R7), double bills (R2) and tokens that stay
// behind when every host is replaced in turn under load.
TEST_CASE("every router is replaced in turn under load") {
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
  REQUIRE(batch.WaitEnded());
  REQUIRE(orders.WaitEnded());
  batch.CheckWholeAnswers();
  orders.CheckOrders();
  CHECK(orders.Count(Transcript::End::kAnswered) == 9);
  for (std::size_t i = 0; i < fleet.router_count(); ++i) {
    CHECK(batch.CountAttempts(i, HttpResult::kBroken) == 0);
    CHECK(orders.CountAttempts(i, HttpResult::kBroken) == 0);
  }
  CheckBilled(fleet, 1, batch.Used() + 9 * kOrderCost);
  CheckBalance(fleet, 1);
}

// Guards against faults that each are handled alone and not together: a
// router dies while the store is down and an engine goes silent.
TEST_CASE("three faults together overspend, lose and double nothing") {
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
  REQUIRE(streams.WaitEnded());
  REQUIRE(orders.WaitEnded());
  streams.CheckWholeAnswers();
  orders.CheckOrders();
  CHECK(fleet.EngineCount("small", "generated_tokens") +
            fleet.EngineCount("small", "prompt_tokens") <=
        options.prepaid);
  RunFor(Millis(3000));
  const auto account = ReadAccount(fleet, 1);
  const auto answered = static_cast<Tokens>(
      orders.Count(Transcript::End::kAnswered) * kOrderCost);
  CHECK(account.billed <= streams.Used() + 12 * kOrderCost);
  CHECK(account.billed + account.outstanding + account.open_charges >=
        streams.Used() + answered);
  CheckBalance(fleet, 1);
}

}  // namespace crocuslatch::test
