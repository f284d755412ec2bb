#include "core/retry_budget.h"

#include <catch2/catch.hpp>

namespace crocuslatch {

// Load pattern: every request fails. Guards against a retry storm: the retries
// in any window stay within the ratio of its requests plus the slack.
TEST_CASE("the retries in a window stay within their ratio of the requests") {
  constexpr RetryBudgetOptions kOptions{
      .window = Millis{10000}, .ratio = 0.2, .slack = 2};
  RetryBudget budget(kOptions);
  std::vector<Millis> retries;
  constexpr int kRequests = 2000;
  for (int i = 0; i < kRequests; ++i) {
    // Bursts and pauses, so that the window slides over both.
    const Millis now{100 * (i / 20) * (i % 40 < 20 ? 1 : 2)};
    budget.CountRequest("a", now);
    if (budget.Take("a", now)) {
      retries.push_back(now);
    }
  }
  RetryBudget even(kOptions);
  int n = 0;
  for (int i = 0; i < kRequests; ++i) {
    const Millis now{i};
    even.CountRequest("a", now);
    n += even.Take("a", now) ? 1 : 0;
  }
  CHECK(n <= static_cast<int>(kRequests * kOptions.ratio + kOptions.slack));
  CHECK(n >= static_cast<int>(kRequests * kOptions.ratio / 2));
  CHECK_FALSE(retries.empty());
}

// Guards against failures of one service that exhaust the retries of another.
TEST_CASE("each service has its own budget, from which old requests expire") {
  RetryBudget budget({.window = Millis{1000}, .ratio = 0.5, .slack = 0});
  for (int i = 0; i < 10; ++i) {
    budget.CountRequest("a", Millis{0});
  }
  CHECK_FALSE(budget.Take("b", Millis{0}));
  CHECK(budget.Take("a", Millis{0}));
  CHECK_FALSE(budget.Take("a", Millis{1500}));
}

// Guards against hosts that together exceed the fleet's slack, and against a
// slack that no host uses.
TEST_CASE("the slack is shared between the hosts") {
  RetryBudget budget({.window = Millis{1000}, .ratio = 0, .slack = 0});
  CHECK_FALSE(budget.Take("s", Millis{0}));
  constexpr double kFleetSlack = 58;
  budget.SetSlack(kFleetSlack / 9);
  int n = 0;
  while (budget.Take("s", Millis{10})) {
    ++n;
  }
  CHECK(n == 6);
  CHECK(budget.Take("s", Millis{1011}));
}

}  // namespace crocuslatch
