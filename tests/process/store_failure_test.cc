#include <catch2/catch.hpp>

#include "tests/process/batch.h"

namespace crocuslatch::test {

namespace {

const Call kRequest{.prompt = "a request", .max_tokens = 20};

void TestOutage(const char* kind) {
  Fleet fleet({});
  Batch before(fleet);
  before.Start(30, kRequest);
  REQUIRE(before.WaitUntilEnded());
  fleet.Control(fleet.store(), {{"outage", kind}});

  Batch during(fleet);
  Call request = kRequest;
  request.prompt = "a request in the outage";
  request.max_attempts = 1;
  during.Start(6, request);
  Batch refused(fleet);
  refused.Start(3, {.body = R"({"outage":true})", .max_attempts = 1});
  REQUIRE(during.WaitUntilEnded());
  REQUIRE(refused.WaitUntilEnded());
  CHECK(during.Count(Transcript::End::kAnswered) > 0);
  CHECK(during.Count(Transcript::End::kAnswered) +
            during.Count(Transcript::End::kNotRun) ==
        6);
  CHECK(refused.Count(Transcript::End::kNotRun) == 3);
  refused.CheckOrders();
  const auto stats = fleet.Stats(fleet.store());
  CHECK(stats["refused"].toInteger() + stats["hung"].toInteger() > 0);

  fleet.Control(fleet.store(), {{"outage", "none"}});
  Batch after(fleet);
  after.Start(3, {.body = R"({"outage":true})"});
  REQUIRE(after.WaitUntilEnded());
  CHECK(after.Count(Transcript::End::kAnswered) == 3);
  after.CheckOrders();
}

}  // namespace

// These tests guard against orders that run without a durable claim, and
// against model requests that fail whenever the store is down.
TEST_CASE("a refusing store stops orders but not model requests") {
  TestOutage("refuse");
}

TEST_CASE("a silent store stops orders but not model requests") {
  TestOutage("hang");
}

// Guards against treating a write without an answer as failed (R2, R5).
TEST_CASE("lost store answers duplicate neither orders nor bills") {
  Fleet fleet({});
  fleet.Control(fleet.store(), {{"lose_answers", 8}, {"prefix", "ledger/"}});
  Batch requests(fleet);
  Batch orders(fleet);
  requests.Start(12, kRequest);
  orders.Start(12, {});
  REQUIRE(requests.WaitUntilEnded());
  REQUIRE(orders.WaitUntilEnded());
  requests.CheckWholeAnswers();
  orders.CheckOrders();
  CHECK(fleet.Stats(fleet.store())["lost_answers"].toInteger() > 0);
  const auto answered =
      static_cast<Tokens>(orders.Count(Transcript::End::kAnswered));
  CHECK(answered == 12);
  CheckBilled(fleet, 0, requests.UsedTokens() + answered * kOrderCost);
  CheckBalance(fleet, 0);
}

// Guards against bills that differ from the orders that ran when writes take
// effect after the router has timed them out.
TEST_CASE("a slow store duplicates neither orders nor bills") {
  Fleet fleet({});
  fleet.Control(fleet.store(), {{"slow_ms", 1500}, {"prefix", "ledger/"}});
  Batch orders(fleet);
  orders.Start(6, {.time_limit = Millis(8000)});
  RunFor(Millis(6000));
  fleet.Control(fleet.store(), {{"slow_ms", 0}});
  REQUIRE(orders.WaitUntilEnded());
  orders.CheckOrders();
  Tokens runs = 0;
  for (const auto& it : orders.items()) {
    runs += fleet.OrderRuns(it.call.key);
  }
  CheckBilled(fleet, 0, runs * kOrderCost);
  CheckBalance(fleet, 0);
}

// Guards against a router that waits forever on a silent connection while new
// connections to the store work.
TEST_CASE("orders continue after the connections to the store go silent") {
  FleetOptions options{.routers = 1};
  options.relays = true;
  Fleet fleet(options);
  Batch orders(fleet);
  orders.Start(1, {});
  REQUIRE(orders.WaitUntilEnded());
  fleet.Control(fleet.store_relay(0), {{"silence", true}});
  orders.Start(3, {});
  REQUIRE(orders.WaitUntilEnded());
  CHECK(orders.Count(Transcript::End::kAnswered) == 4);
  CHECK(fleet.Stats(fleet.store_relay(0))["silent"].toInteger() > 0);
  orders.CheckOrders();
}

}  // namespace crocuslatch::test
