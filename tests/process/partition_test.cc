#include <catch2/catch.hpp>

#include "tests/process/batch.h"

namespace crocuslatch::test {

namespace {

constexpr Millis kActivationTimeout{7000};

}  // namespace

// Guards against overspending by a router that is partitioned from the store
// and its peers (R1), and against a top-up that is lost or counted twice.
TEST_CASE(
    "a top-up during a partition causes no overspending or double billing") {
  Fleet fleet(
      {.routers = 2, .prepaid = 2000, .relays = true, .peer_relays = true});
  const Call call{.prompt = "a request", .max_tokens = 40, .max_attempts = 1};
  Batch before(fleet);
  before.Start(4, call);
  REQUIRE(before.WaitUntilEnded());
  fleet.SetPartition(0, true);

  // 60 requests of 43 tokens each exceed the budget of 2000.
  Batch during(fleet);
  Call partitioned_call = call;
  partitioned_call.prompt = "a request in the partition";
  for (int i = 0; i < 12; ++i) {
    during.Start(5, partitioned_call);
    RunFor(Millis(200));
  }
  REQUIRE(during.WaitUntilEnded());
  for (const auto& it : during.items()) {
    INFO(it.call.key << ": " << Batch::Describe(*it.transcript));
    CHECK((it.transcript->end == Transcript::End::kNotRun ||
           IsWholeAnswer(it.call, *it.transcript)));
  }
  const auto engine_tokens = [&] {
    return fleet.EngineCount("small", "generated_tokens") +
           fleet.EngineCount("small", "prompt_tokens");
  };
  CHECK(engine_tokens() <= 2000);
  CHECK(during.Count(Transcript::End::kNotRun) > 0);

  // The top-up reaches only the router that can reach the store.
  const auto status = std::make_shared<std::optional<int>>();
  fleet.StartApply(1, 4000, 1, status);
  REQUIRE(RunUntil([&] { return status->has_value(); }, Millis(20000)));
  CHECK(**status == 200);
  CHECK(RunUntil([&] { return fleet.ActiveVersion(1) == 2; },
                 kActivationTimeout));
  CHECK(fleet.ActiveVersion(0) == 1);
  Call other_side = call;
  other_side.router = 1;
  other_side.prompt = "a request after the top-up";
  for (int i = 0; i < 10; ++i) {
    Call it = other_side;
    it.key = fmt::format("topped-up-{}", i);
    const auto transcript = fleet.Run(it);
    CHECK(transcript->end == Transcript::End::kAnswered);
  }
  CHECK(engine_tokens() <= 4000);

  fleet.SetPartition(0, false);
  CHECK(RunUntil([&] { return fleet.ActiveVersion(0) == 2; },
                 kActivationTimeout));
  RunUntil([&] { return ReadBudget(fleet, 1).billed == engine_tokens(); },
           kSettleTime);
  CHECK(ReadBudget(fleet, 1).billed == engine_tokens());
  CheckBalance(fleet, 1);
}

// Guards against stale writes and orders that run twice (R1, R4, R5): messages
// delayed by a silent partition arrive after the routers have timed them out.
TEST_CASE("messages delayed by a silent partition have no duplicate effects") {
  constexpr Tokens kPrepaid = 4000;
  FleetOptions options{.routers = 2, .prepaid = kPrepaid};
  options.relays = true;
  options.peer_relays = true;
  Fleet fleet(options);
  Batch requests(fleet);
  Batch orders(fleet);
  const Call request{.prompt = "a request", .max_tokens = 40};
  requests.Start(8, request);
  orders.Start(4, {});
  REQUIRE(requests.WaitUntilEnded());
  REQUIRE(orders.WaitUntilEnded());
  const auto forward = [&](const char* directions) {
    const QJsonObject change{{"forward", directions}};
    fleet.Control(fleet.store_relay(0), change);
    fleet.Control(fleet.peer_relay(0), change);
    fleet.Control(fleet.peer_relay(1), change);
  };
  // Router 0 can write to the store but gets no answers; then all traffic
  // stops.
  forward("to_target");
  orders.Start(4, {});
  requests.Start(20, request);
  RunFor(Millis(500));
  forward("none");
  orders.Start(4, {});
  requests.Start(20, request);
  RunFor(Millis(5000));
  forward("both");
  orders.Start(4, {});
  requests.Start(20, request);
  REQUIRE(requests.WaitUntilEnded());
  REQUIRE(orders.WaitUntilEnded());
  orders.CheckOrders();
  std::int64_t runs = 0;
  for (const auto& it : orders.items()) {
    runs += fleet.OrderRuns(it.call.key);
  }
  CHECK(runs > 4);
  const auto engine_tokens = fleet.EngineCount("small", "generated_tokens") +
                             fleet.EngineCount("small", "prompt_tokens");
  CHECK(engine_tokens + runs * kOrderCost <= kPrepaid);
  CheckBilled(fleet, 1, requests.UsedTokens() + runs * kOrderCost);
  CheckBalance(fleet, 1);
}

}  // namespace crocuslatch::test
