#include "src/load_generator.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

namespace crocuslatch {
namespace {

LoadPlan ReadExample(const std::string& name) {
  std::ifstream file(std::string(CROCUSLATCH_SOURCE_DIR) + "/examples/" + name);
  std::ostringstream text;
  text << file.rdbuf();
  return ParseLoadPlan(text.str());
}

// Guards against example plans that the load command rejects.
TEST_CASE("the example load plans are valid and give repeatable schedules") {
  const std::string name =
      GENERATE(as<std::string>(), "load-archive.toml", "load-bells.toml");
  const auto plan = ReadExample(name);
  const auto one = MakeSchedule(plan, 1, "a");
  const auto same = MakeSchedule(plan, 1, "b");
  const auto other = MakeSchedule(plan, 2, "a");
  REQUIRE(one.size() > 1000);
  REQUIRE(one.size() <= plan.max_requests);
  REQUIRE(one.size() == same.size());
  REQUIRE(std::ranges::equal(one, same, {}, &PlannedRequest::content,
                             &PlannedRequest::content));
  REQUIRE(one.front().content != other.front().content);
  REQUIRE(std::ranges::is_sorted(one, {}, &PlannedRequest::at));
  REQUIRE(one.back().at < plan.duration);
}

// Guards against retries that the callers' API declares useless, and against a
// missing retry where a caller should try again.
TEST_CASE("retries follow the rules of the callers' API") {
  CHECK_FALSE(RetryDelay({.code = "answered", .outcome = Outcome::kAnswered}));
  CHECK_FALSE(
      RetryDelay({.code = "budget_exhausted", .outcome = Outcome::kNotRun}));
  CHECK_FALSE(RetryDelay({.code = "order_outcome_unknown"}));
  CHECK(RetryDelay({.code = "queue_full",
                    .outcome = Outcome::kNotRun,
                    .retry_after = Millis{700}}) == Millis{700});
  CHECK(RetryDelay({.code = "connection_cut", .is_disconnected = true}));
}

}  // namespace
}  // namespace crocuslatch
