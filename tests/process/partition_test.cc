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

}  // namespace crocuslatch::test
