#include <signal.h>

#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "tests/resources/limited_host.h"

// A planned stop of one host in calm, with requests that take longer than the
// grace period.

namespace crocuslatch::test {
namespace {

constexpr Millis kGrace{8000};

struct Answer {
  HttpResult end = HttpResult::kComplete;
  int status = 0;
  std::string body;
};

}  // namespace

// Guards against requests that are cut without an answer at the end of the
// grace period. A stream that has begun can only be cut.
TEST_CASE("a planned stop answers the requests that it cannot wait for") {
  LimitedHost host(kManyDescriptors, 0);
  HttpClient client;
  std::map<std::string, Answer> answers;
  const auto send = [&](const std::string& id, const std::string& path) {
    client.SendAndCollect(
        {.method = "POST",
         .url = Url(host.port(), path),
         .headers = {{"Host", "h.example"},
                     {"Crocuslatch-Request-Id", id},
                     {"Crocuslatch-Request-Deadline", "30000"}},
         .body = "{}",
         .first_byte_timeout = Millis{30000}},
        [&answers, id](HttpResult end, int status, const HttpHeaders&,
                       const std::string& body) {
          answers[id] = {end, status, body};
        });
  };
  send("short", "/order/3000");
  send("long", "/order/20000");
  RunFor(Millis{300});
  host.process().Signal(SIGTERM);
  RunFor(Millis{1500});
  send("late", "/order/20000");
  CHECK(RunUntil([&] { return !host.IsRunning(); }, kGrace));
  CHECK(host.process().WaitExit(Millis{0}) == 0);
  RunUntil([&] { return answers.size() == 3; }, Millis{1000});
  CHECK(answers["short"].status == 200);
  for (const auto* id : {"long", "late"}) {
    INFO(id);
    CHECK(answers[id].end == HttpResult::kComplete);
    CHECK(answers[id].status == 502);
    CHECK(answers[id].body.find("outcome_unknown") != std::string::npos);
  }
}

}  // namespace crocuslatch::test
