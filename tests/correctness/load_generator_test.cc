#include "src/load_generator.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

#include "tests/raw_server.h"

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

// Guards against an answer without end that the load command keeps until memory
// is full.
TEST_CASE("an answer without end ends the attempt") {
  const double order_fraction = GENERATE(0.0, 1.0);
  RawServer router([](QTcpSocket& socket, const QByteArray& all) {
    if (all.contains("\r\n\r\n")) {
      socket.write("HTTP/1.1 200 OK\r\n\r\n");
      socket.write(QByteArray(32 << 20, 'x'));
    }
  });
  const LoadPlan plan{
      .routers = {fmt::format("127.0.0.1:{}", router.port())},
      .duration = Millis{200},
      .drain = Millis{3000},
      .max_requests = 1,
      .client_accounts = {{.name = "a", .api_key = "k"}},
      .streams = {{.name = "s",
                   .client_account = "a",
                   .rank = "normal",
                   .model = "m",
                   .rate = 100,
                   .order_fraction = order_fraction,
                   .service = "booking"}},
      .phases = {{.name = "p", .duration = Millis{200}, .streams = {"s"}}}};
  const auto run = RunLoad(plan, 1, {});
  REQUIRE(run.transcripts.size() == 1);
  CHECK(run.transcripts[0].codes ==
        std::vector<std::string>{"answer_too_large"});
}

}  // namespace
}  // namespace crocuslatch
