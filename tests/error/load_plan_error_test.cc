#include <catch2/catch.hpp>
#include <string>

#include "src/error.h"
#include "src/load_plan.h"

namespace crocuslatch {
namespace {

constexpr char kLoad[] = R"([load]
routers = ["127.0.0.1:7100"]
duration_ms = 5000
max_requests = 100
)";

constexpr char kEntries[] = R"([[target]]
rank = "urgent"
[[client_account]]
name = "ferry"
api_key = "key"
[[stream]]
name = "one"
client_account = "ferry"
rank = "urgent"
model = "chime"
rate = 10
[[phase]]
name = "steady"
duration_ms = 5000
streams = ["one"]
)";

std::string ProblemsOf(const std::string& toml) {
  try {
    ParseLoadPlan(toml);
  } catch (const UserError& error) {
    return error.what();
  }
  return "";
}

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// Guards against validation that rejects every plan.
TEST_CASE("a valid load plan has no problems") {
  REQUIRE(ProblemsOf(std::string(kLoad) + kEntries).empty());
}

// Guards against sending load to other machines.
TEST_CASE("load is sent to loopback addresses only") {
  const auto problems = ProblemsOf(R"([load]
routers = ["127.0.0.1:7100", "10.0.0.5:7100", "[::1]:7100", "localhost:7100"]
engines = ["192.0.2.1:80"]
duration_ms = 5000
)" + std::string(kEntries));
  CHECK(Has(problems, "line 2: \"10.0.0.5:7100\" is not a loopback"));
  CHECK(Has(problems, "\"localhost:7100\""));
  CHECK(Has(problems, "line 3: \"192.0.2.1:80\""));
  CHECK_FALSE(Has(problems, "\"127.0.0.1:7100\""));
  CHECK_FALSE(Has(problems, "::1"));
}

// Guards against a run without limits on its duration and number of requests.
TEST_CASE("a load plan must stay within its limits") {
  const auto problems = ProblemsOf(std::string(kLoad) + kEntries +
                                   R"([[phase]]
name = "longer"
duration_ms = 6000
streams = ["one"]
)");
  CHECK(Has(problems, "line 3: the phases last 11000 ms"));
  CHECK(Has(problems, "line 4: the streams send about 110 requests"));
  CHECK(Has(ProblemsOf("[load]\nrouters = [\"127.0.0.1:1\"]\n" +
                       std::string(kEntries)),
            "[load] has no \"duration_ms\""));
}

// Guards against reporting only the first mistake.
TEST_CASE("every problem of a load plan is reported with line and remedy") {
  const auto problems = ProblemsOf(std::string(kLoad) + R"([[stream]]
name = "one"
client_account = "nobody"
rank = "none"
order_fraction = 0.5
min_prompt_words = 9
max_prompt_words = 3
shared_prefixes = 2
colour = "red"
[[phase]]
name = "steady"
duration_ms = 10
streams = ["one", "one", "two"]
compare_to = "later"
)");
  for (const auto* it :
       {"the plan has no [[target]] (add at least one)",
        "the plan has no [[client_account]]",
        "line 7: \"client_account\" of [[stream]] names the client_account",
        "the client_account \"nobody\", which does not exist",
        "line 8: \"rank\" of [[stream]] names the target \"none\"",
        "[[stream]] has no \"rate\"", "line 10: \"min_prompt_words\" is above",
        "only one of \"shared_prefixes\" and \"prefix_words\"",
        "sends model requests without a model",
        "sends orders without \"<service>/<path>\"",
        "line 13: [[stream]] has the unknown key \"colour\"",
        "line 17: \"streams\" of [[phase]] names the stream \"two\"",
        "line 17: \"streams\" of [[phase]] names a stream twice",
        "line 18: \"compare_to\" of [[phase]] names the phase \"later\""}) {
    INFO(problems);
    INFO(it);
    CHECK(Has(problems, it));
  }
}

}  // namespace
}  // namespace crocuslatch
