#include <catch2/catch.hpp>

#include "tests/process/batch.h"

namespace crocuslatch::test {

namespace {

const Call kRequest{.prompt = "a request", .max_tokens = 20};

void TestOutage(const char* kind) {
  Fleet fleet({});
  Batch before(fleet);
  before.Start(30, kRequest);
  REQUIRE(before.WaitEnded());
  fleet.Control(fleet.store(), {{"outage", kind}});

  Batch during(fleet);
  Call request = kRequest;
  request.prompt = "a request in the outage";
  request.max_attempts = 1;
  during.Start(6, request);
  Batch refused(fleet);
  refused.Start(3, {.body = R"({"outage":true})", .max_attempts = 1});
  REQUIRE(during.WaitEnded());
  REQUIRE(refused.WaitEnded());
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
  REQUIRE(after.WaitEnded());
  CHECK(after.Count(Transcript::End::kAnswered) == 3);
  after.CheckOrders();
}

}  // namespace

// Guards against orders that run without a durable claim, and against model
// requests that stop with the store.
TEST_CASE("orders wait and model requests go on while the store refuses") {
  TestOutage("refuse");
}

TEST_CASE("orders wait and model requests go on while the store is silent") {
  TestOutage("hang");
}

// Guards against assuming that a write without an answer failed (R2, R5).
TEST_CASE("lost answers of the store double neither orders nor bills") {
  Fleet fleet({});
  fleet.Control(fleet.store(), {{"lose_answers", 8}, {"prefix", "ledger/"}});
  Batch requests(fleet);
  Batch orders(fleet);
  requests.Start(12, kRequest);
  orders.Start(12, {});
  REQUIRE(requests.WaitEnded());
  REQUIRE(orders.WaitEnded());
  requests.CheckWholeAnswers();
  orders.CheckOrders();
  CHECK(fleet.Stats(fleet.store())["lost_answers"].toInteger() > 0);
  const auto answered =
      static_cast<Tokens>(orders.Count(Transcript::End::kAnswered));
  CHECK(answered == 12);
  CheckBilled(fleet, 0, requests.Used() + answered * kOrderCost);
  CheckBalance(fleet, 0);
}

// Guards against bills that disagree with the ledger when writes take effect
// after the router gave them up.
TEST_CASE("a slow store doubles neither orders nor bills") {
  Fleet fleet({});
  fleet.Control(fleet.store(), {{"slow_ms", 1500}, {"prefix", "ledger/"}});
  Batch orders(fleet);
  orders.Start(6, {.time_limit = Millis(8000)});
  RunFor(Millis(6000));
  fleet.Control(fleet.store(), {{"slow_ms", 0}});
  REQUIRE(orders.WaitEnded());
  orders.CheckOrders();
  Tokens runs = 0;
  for (const auto& it : orders.items()) {
    runs += fleet.OrderRuns(it.call.key);
  }
  CheckBilled(fleet, 0, runs * kOrderCost);
  CheckBalance(fleet, 0);
}

// Guards against a router that waits for ever on a connection that went
// silent, while new connections to the store work.
TEST_CASE("orders go on after the connections to the store went silent") {
  FleetOptions options{.routers = 1};
  options.relays = true;
  Fleet fleet(options);
  Batch orders(fleet);
  orders.Start(1, {});
  REQUIRE(orders.WaitEnded());
  fleet.Control(fleet.store_relay(0), {{"silence", true}});
  orders.Start(3, {});
  REQUIRE(orders.WaitEnded());
  CHECK(orders.Count(Transcript::End::kAnswered) == 4);
  CHECK(fleet.Stats(fleet.store_relay(0))["silent"].toInteger() > 0);
  orders.CheckOrders();
}

}  // namespace crocuslatch::test
