#include <signal.h>

#include <catch2/catch.hpp>

#include "tests/process/batch.h"

namespace crocuslatch::test {

namespace {

// Counts the attempts whose connection closed before the end of the response.
std::size_t CountBrokenAttempts(const Batch& batch) {
  std::size_t n = 0;
  for (const auto& it : batch.items()) {
    n += std::ranges::count(it.transcript->attempts, HttpResult::kBroken,
                            &Transcript::Attempt::end);
  }
  return n;
}

}  // namespace

// Guards against a planned stop that interrupts a request (R7) or does not
// return granted tokens.
TEST_CASE(
    "a planned stop under load interrupts no request and returns its grants") {
  Fleet fleet({.engine_arguments = {"--token-ms", "20"},
               .service_arguments = {"--work-ms", "300"}});
  Batch streams(fleet);
  Batch orders(fleet);
  streams.Start(12, {.prompt = "a stream", .max_tokens = 100});
  orders.Start(6, {});
  REQUIRE(RunUntil([&] { return streams.AllStreaming(); }, Millis(10000)));
  fleet.router(0).Signal(SIGTERM);
  for (int i = 0; i < 20; ++i) {
    streams.Start(1, {.prompt = "a later stream", .max_tokens = 10});
    RunFor(Millis(50));
  }
  REQUIRE(streams.WaitUntilEnded());
  REQUIRE(orders.WaitUntilEnded());
  streams.CheckWholeAnswers();
  orders.CheckOrders();
  CHECK(orders.Count(Transcript::End::kAnswered) == 6);
  // Some later requests were refused by the stopping router and retried.
  CHECK(streams.items().front().transcript->attempts.size() == 1);
  CHECK(std::ranges::any_of(streams.items(), [](const BatchItem& it) {
    return it.transcript->attempts.size() > 1;
  }));
  CHECK(CountBrokenAttempts(streams) == 0);
  CHECK(CountBrokenAttempts(orders) == 0);
  CHECK(fleet.router(0).WaitExit(Millis(20000)) == 0);
  CheckBilled(fleet, 1, streams.UsedTokens() + 6 * kOrderCost);
  CheckBalance(fleet, 1);
}

}  // namespace crocuslatch::test
