#include "src/load_report.h"

#include <catch2/catch.hpp>

namespace crocuslatch {
namespace {

LoadPlan TwoPhasePlan() {
  LoadPlan plan;
  plan.targets = {{.rank = "urgent",
                   .first_token = Millis{100},
                   .between_tokens = Millis{37}},
                  {.rank = "bulk"}};
  plan.client_accounts = {{.name = "big", .weight = 3},
                          {.name = "small", .weight = 1}};
  plan.streams = {{.name = "a", .client_account = "small", .rank = "urgent"},
                  {.name = "b", .client_account = "big", .rank = "bulk"},
                  {.name = "flood", .client_account = "big", .rank = "bulk"}};
  plan.phases = {
      {.name = "before", .duration = Millis{2000}, .streams = {"a", "b"}},
      {.name = "during",
       .duration = Millis{1000},
       .streams = {"a", "b", "flood"},
       .compare_to = "before"}};
  return plan;
}

LoadTranscript Answer(std::size_t stream, std::size_t phase, double first) {
  return {.stream = stream,
          .phase = phase,
          .max_tokens = 10,
          .codes = {"answered"},
          .not_run = false,
          .first_token = first,
          .gaps = {20, 40},
          .tokens = 10};
}

LoadTranscript Refusal(std::size_t stream,
                       std::size_t phase,
                       const std::string& code) {
  return {.stream = stream, .phase = phase, .max_tokens = 10, .codes = {code}};
}

LoadTranscript Order(const std::string& key, const std::string& code) {
  return {.stream = 0,
          .is_order = true,
          .idempotency_key = key,
          .codes = {code},
          .not_run = code != "answered"};
}

// Guards against quantiles that interpolate or are off by one.
TEST_CASE("quantiles use the nearest rank") {
  std::vector<double> samples;
  for (int i = 100; i >= 1; --i) {
    samples.push_back(i);
  }
  REQUIRE(QuantilesOf(samples) == LoadQuantiles{100, 50, 95, 99});
  REQUIRE(QuantilesOf({7}) == LoadQuantiles{1, 7, 7, 7});
  REQUIRE(QuantilesOf({}) == LoadQuantiles{});
}

// Guards against entitlements above the requested amount, and against a surplus
// that is not distributed.
TEST_CASE("fair shares follow the weights and redistribute the surplus") {
  REQUIRE(MaxMinFairShares(12, {{1, 100}, {3, 100}}) ==
          std::vector<double>{3, 9});
  REQUIRE(MaxMinFairShares(12, {{1, 100}, {3, 3}}) ==
          std::vector<double>{9, 3});
  REQUIRE(MaxMinFairShares(12, {{1, 4}, {3, 4}}) == std::vector<double>{4, 4});
  REQUIRE(MaxMinFairShares(0, {{1, 4}}) == std::vector<double>{0});
}

TEST_CASE("Jain's index distinguishes equal from unequal shares") {
  REQUIRE(JainIndex({0.5, 0.5, 0.5}) == Approx(1));
  REQUIRE(JainIndex({1, 0, 0, 0}) == Approx(0.25));
  REQUIRE(JainIndex({}) == 1);
}

// Guards against refused requests that are missing from the ratios.
TEST_CASE("a rank's summary counts answers and refusals") {
  const auto report = Summarize(
      TwoPhasePlan(),
      {Answer(0, 0, 90), Answer(0, 0, 110), Refusal(0, 0, "queue_full")}, {},
      1);
  REQUIRE(report.ranks.size() == 1);
  const auto& it = report.ranks[0];
  CHECK(it.requests == 3);
  CHECK(it.answered == 2);
  CHECK(it.first_token.p95 == 110);
  CHECK(it.first_token_within == Approx(0.5));
  CHECK(it.between_tokens_within == Approx(0.5));
  CHECK(it.served_within == Approx(1.0 / 3));
  CHECK(it.goodput == Approx(10));
  CHECK(it.served_share == Approx(2.0 / 3));
  CHECK(report.outcomes.at({"urgent", "queue_full"}) == 1);
}

// Guards against a comparison that includes the flood itself.
TEST_CASE("goodput is compared for the ranks without flood streams") {
  const auto report =
      Summarize(TwoPhasePlan(),
                {Answer(0, 0, 1), Answer(1, 0, 1), Answer(0, 1, 1),
                 Refusal(0, 1, "queue_full"), Answer(2, 1, 1)},
                {}, 1);
  REQUIRE(report.goodput.size() == 1);
  CHECK(report.goodput[0].rank == "urgent");
  CHECK(report.goodput[0].before == Approx(5));
  CHECK(report.goodput[0].during == Approx(10));
  CHECK(report.goodput[0].served_share_during == Approx(0.5));
}

// Guards against a large client account that hides the shortfall of a small
// one.
TEST_CASE("the share of entitlement shows which account was starved") {
  auto plan = TwoPhasePlan();
  plan.streams[0].rank = "bulk";
  // 20 of 60 requested tokens were delivered, all to the large account; the
  // small one was entitled to a quarter of them.
  const auto report =
      Summarize(plan,
                {Answer(1, 0, 1), Answer(1, 0, 1), Refusal(1, 0, "x"),
                 Refusal(0, 0, "x"), Refusal(0, 0, "x"), Refusal(0, 0, "x")},
                {}, 1);
  REQUIRE(report.entitlements.size() == 2);
  CHECK(report.entitlements[0].entitled == Approx(15));
  CHECK(report.entitlements[0].share == Approx(20.0 / 15));
  CHECK(report.entitlements[1].share == 0);
  CHECK(report.fairness[0].second == Approx(0.5));
}

// Guards against nonzero counts that go unnoticed although they must be 0.
TEST_CASE("results that break an invariant are counted") {
  auto plan = TwoPhasePlan();
  CHECK(IsSound(Summarize(plan, {Answer(0, 0, 1)}, {}, 1)));
  auto truncated = Answer(0, 0, 1);
  truncated.incomplete = true;
  CHECK_FALSE(IsSound(Summarize(plan, {truncated}, {}, 1)));
  auto foreign = Answer(0, 0, 1);
  foreign.foreign = true;
  CHECK_FALSE(IsSound(Summarize(plan, {foreign}, {}, 1)));

  LoadCounts counts;
  counts.order_runs = {{"k1", 2}, {"k2", 1}, {"k3", 1}};
  const auto report =
      Summarize(plan,
                {Order("k1", "answered"), Order("k2", "answered"),
                 Order("k3", "queue_full"), Order("k4", "queue_full")},
                counts, 1);
  CHECK(report.orders_run_twice == 1);
  CHECK(report.not_run_but_ran == 1);
  CHECK_FALSE(IsSound(report));
}

// Guards against a retry that hides a false refusal.
TEST_CASE("a refusal of a covered request is false even if a retry succeeds") {
  auto plan = TwoPhasePlan();
  auto retried = Answer(0, 0, 1);
  retried.codes = {"budget_exhausted", "answered"};
  CHECK(Summarize(plan, {retried}, {}, 1).false_refusals == 1);
  plan.client_accounts[1].budget_covers = false;
  CHECK(Summarize(plan, {retried}, {}, 1).false_refusals == 0);
}

}  // namespace
}  // namespace crocuslatch
