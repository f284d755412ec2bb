#include <catch2/catch.hpp>

#include "tests/process/batch.h"

namespace crocuslatch::test {

namespace {

constexpr Millis kInForceTime{7000};

}  // namespace

// Guards against overspend by a router that is parted from the store and its
// peers (R1), and against a top-up that gets lost or counts twice.
TEST_CASE("a partition with a top-up overspends nothing and bills once") {
  Fleet fleet(
      {.routers = 2, .prepaid = 2000, .relays = true, .peer_relays = true});
  const Call call{.prompt = "a request", .max_tokens = 40, .max_attempts = 1};
  Batch before(fleet);
  before.Start(4, call);
  REQUIRE(before.WaitEnded());
  fleet.SetPartition(0, true);

  // 60 requests of 43 tokens each exceed the budget of 2000.
  Batch during(fleet);
  Call parted = call;
  parted.prompt = "a request in the partition";
  for (int i = 0; i < 12; ++i) {
    during.Start(5, parted);
    RunFor(Millis(200));
  }
  REQUIRE(during.WaitEnded());
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

  // The top-up reaches the side that sees the store.
  const auto status = std::make_shared<std::optional<int>>();
  fleet.StartApply(1, 4000, 1, status);
  REQUIRE(RunUntil([&] { return status->has_value(); }, Millis(20000)));
  CHECK(**status == 200);
  CHECK(RunUntil([&] { return fleet.VersionInForce(1) == 2; }, kInForceTime));
  CHECK(fleet.VersionInForce(0) == 1);
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
  CHECK(RunUntil([&] { return fleet.VersionInForce(0) == 2; }, kInForceTime));
  RunUntil([&] { return ReadAccount(fleet, 1).billed == engine_tokens(); },
           kSettleTime);
  CHECK(ReadAccount(fleet, 1).billed == engine_tokens());
  CheckBalance(fleet, 1);
}

// Guards against stale writes and a second run: messages that were held up in
// a silent partition arrive after it, when the routers have given them up
// (R1, R4, R5).
TEST_CASE("messages that arrive after a silent partition double nothing") {
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
  REQUIRE(requests.WaitEnded());
  REQUIRE(orders.WaitEnded());
  const auto forward = [&](const char* directions) {
    const QJsonObject change{{"forward", directions}};
    fleet.Control(fleet.store_relay(0), change);
    fleet.Control(fleet.peer_relay(0), change);
    fleet.Control(fleet.peer_relay(1), change);
  };
  // Router 0 writes to the store and gets no answer; then nothing passes.
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
  REQUIRE(requests.WaitEnded());
  REQUIRE(orders.WaitEnded());
  orders.CheckOrders();
  std::int64_t runs = 0;
  for (const auto& it : orders.items()) {
    runs += fleet.OrderRuns(it.call.key);
  }
  CHECK(runs > 4);
  const auto engine_tokens = fleet.EngineCount("small", "generated_tokens") +
                             fleet.EngineCount("small", "prompt_tokens");
  CHECK(engine_tokens + runs * kOrderCost <= kPrepaid);
  CheckBilled(fleet, 1, requests.Used() + runs * kOrderCost);
  CheckBalance(fleet, 1);
}

}  // namespace crocuslatch::test
