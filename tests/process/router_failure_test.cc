#include <signal.h>

#include <catch2/catch.hpp>

#include "tests/process/batch.h"

namespace crocuslatch::test {

namespace {

// A stream of 60 tokens takes 1.2 s, so that streams are open when a router
// fails.
const Call kStream{.prompt = "a stream", .max_tokens = 60};
const FleetOptions kSlowTokens{.engine_arguments = {"--token-ms", "20"}};

}  // namespace

// Guards against double billing without any failure (R2).
TEST_CASE("a request sent through two routers concurrently is billed once") {
  Fleet fleet({});
  Batch batch(fleet);
  batch.Start(12, {.prompt = "a request", .max_tokens = 20});
  std::vector<std::shared_ptr<const Transcript>> repeats;
  for (const auto& it : batch.items()) {
    Call repeat = it.call;
    repeat.router = (it.call.router + 1) % 3;
    repeats.push_back(fleet.Start(repeat));
  }
  REQUIRE(batch.WaitUntilEnded());
  batch.CheckWholeAnswers();
  REQUIRE(RunUntil(
      [&] {
        return std::ranges::none_of(repeats, [](const auto& it) {
          return it->end == Transcript::End::kRunning;
        });
      },
      Millis(30000)));
  CheckBilled(fleet, 0, batch.UsedTokens());
  CheckBalance(fleet, 0);
}

// Guards against truncated answers and double billing when a router dies with
// open streams (R2, R3).
TEST_CASE("callers get complete answers when a router is killed mid-stream") {
  Fleet fleet(kSlowTokens);
  Batch batch(fleet);
  batch.Start(12, kStream);
  REQUIRE(RunUntil([&] { return batch.AllStreaming(); }, Millis(10000)));
  fleet.router(0).Signal(SIGKILL);
  REQUIRE(batch.WaitUntilEnded());
  batch.CheckWholeAnswers();
  CHECK(batch.CountAttempts(0, HttpResult::kBroken) == 4);
  // Tokens that the dead router used but did not settle remain in its grant.
  RunFor(Millis(3000));
  const auto budget = ReadBudget(fleet, 1);
  CHECK(budget.billed <= batch.UsedTokens());
  CHECK(budget.billed + budget.outstanding >= batch.UsedTokens());
  CheckBalance(fleet, 1);
}

// Guards against running an order again after its router died (R4, R5).
TEST_CASE("no order runs twice when its router is killed") {
  FleetOptions options;
  options.service_arguments = {"--work-ms", "500"};
  Fleet fleet(options);
  Batch batch(fleet);
  batch.Start(9, {});
  REQUIRE(RunUntil(
      [&] { return fleet.Stats(fleet.service(0))["runs"].toInteger() >= 3; },
      Millis(5000)));
  fleet.router(0).Signal(SIGKILL);
  fleet.Control(fleet.hosts(), {{"remove", "router-0"}});
  REQUIRE(batch.WaitUntilEnded());
  batch.CheckOrders();
  CHECK(batch.CountAttempts(0, HttpResult::kBroken) > 0);
  CHECK(batch.Count(Transcript::End::kOutcomeUnknown) > 0);
  CHECK(batch.Count(Transcript::End::kBroken) == 0);
  CheckBalance(fleet, 1);
}

// Guards against spending beyond the prepaid amount when a router dies with its
// grants (R1). The engines count the tokens actually processed.
TEST_CASE("a small budget is not overspent when a router is killed") {
  FleetOptions options = kSlowTokens;
  options.prepaid = 2000;
  Fleet fleet(options);
  Batch batch(fleet);
  Call call = kStream;
  call.max_attempts = 6;
  batch.Start(30, call);
  RunFor(Millis(1000));
  fleet.router(0).Signal(SIGKILL);
  batch.Start(30, call);
  REQUIRE(batch.WaitUntilEnded());
  CHECK(batch.UsedTokens() <= options.prepaid);
  CHECK(fleet.EngineCount("small", "generated_tokens") +
            fleet.EngineCount("small", "prompt_tokens") <=
        options.prepaid);
  CHECK(batch.Count(Transcript::End::kAnswered) > 0);
  CHECK(batch.Count(Transcript::End::kNotRun) > 0);
  RunFor(Millis(3000));
  CheckBalance(fleet, 1);
}

// Guards against a paused router that acts on stale state after resuming.
TEST_CASE("a router that is paused and resumed causes no duplicate effects") {
  FleetOptions options = kSlowTokens;
  options.service_arguments = {"--work-ms", "300"};
  Fleet fleet(options);
  Batch streams(fleet);
  Batch orders(fleet);
  Call stream = kStream;
  stream.attempt_timeout = Millis(2000);
  streams.Start(9, stream);
  orders.Start(9, {.attempt_timeout = Millis(2000)});
  RunFor(Millis(300));
  fleet.router(0).Signal(SIGSTOP);
  RunFor(Millis(6000));
  fleet.router(0).Signal(SIGCONT);
  REQUIRE(streams.WaitUntilEnded());
  REQUIRE(orders.WaitUntilEnded());
  streams.CheckWholeAnswers();
  orders.CheckOrders();
  CHECK(streams.CountAttempts(0, HttpResult::kTimedOut) > 0);
  CHECK(orders.CountAttempts(0, HttpResult::kTimedOut) > 0);
  RunFor(Millis(3000));
  const auto answered = static_cast<Tokens>(9) * kOrderCost;
  CHECK(ReadBudget(fleet, 1).billed <= streams.UsedTokens() + answered);
  CheckBalance(fleet, 1);
}

}  // namespace crocuslatch::test
