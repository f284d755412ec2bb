#include "src/tool_commands.h"

#include <catch2/catch.hpp>

#include "src/admin_api.h"
#include "tests/simulated_config_fleet.h"

namespace crocuslatch {
namespace {

constexpr char kToken[] = "0123456789abcdef";

// The tool at the administration interface of one simulated router.
class ToolFixture {
 public:
  ToolFixture() : fleet(1, 1) {
    hooks.keeper = fleet.KeeperOf(0);
    hooks.status = [] { return "{\"a\":1}"; };
    fleet.loop.RunFor(Millis(2000));
  }

  int Run(const ToolOptions& options) {
    output.clear();
    errors.clear();
    return RunTool(
        options,
        {.send =
             [this](const std::string& method, const std::string& path,
                    const HttpHeaders& headers, const std::string& body) {
               return Send({method, path, {}, headers, body});
             },
         .wait = [this](Millis it) { fleet.loop.RunFor(it); },
         .read_file = [this](const std::string&) { return file; },
         .print = [this](std::string_view it) { output += it; },
         .print_error = [this](std::string_view it) { errors += it; }});
  }

  int RunWords(const std::vector<std::string>& words) {
    return Run({.words = words});
  }

  int TopUp(Tokens by) {
    return Run({.words = {"budget", "top-up", "one-main"}, .by = by});
  }

  SimulatedConfigFleet fleet;
  AdminApiHooks hooks;
  std::optional<std::string> file = SmallDocument();
  std::string output;
  std::string errors;
  // Answers of PUT that are lost after the request was served.
  int lost_answers = 0;
  // Called before each PUT.
  std::function<void()> before_put = [] {};
  bool is_unreachable = false;

 private:
  ToolReply Send(IncomingRequest request) {
    if (is_unreachable) {
      return {HttpResult::kNotSent, 0, {}, {}};
    }
    if (request.method == "PUT") {
      before_put();
    }
    request.headers.emplace_back("Authorization",
                                 std::string("Bearer ") + kToken);
    ToolReply reply;
    HandleAdminRequest(hooks, kToken, request, [&](const AdminResponse& it) {
      reply = {HttpResult::kComplete, it.status, it.headers, it.body};
    });
    fleet.loop.RunFor(Millis(15000));
    if (request.method == "PUT" && lost_answers > 0) {
      --lost_answers;
      return {HttpResult::kBroken, 0, {}, {}};
    }
    return reply;
  }
};

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

TEST_CASE("the tool applies, shows and compares documents") {
  ToolFixture it;
  CHECK(it.RunWords({"apply", "f"}) == kToolDone);
  CHECK(it.output == "version 1 is applied\n");
  it.file = Replaced(SmallDocument(), "prepaid = 1000", "prepaid = 1001");
  CHECK(it.RunWords({"apply", "f"}) == kToolRefused);
  CHECK(Contains(it.errors, "version_conflict"));
  CHECK(it.RunWords({"diff", "f"}) == kToolDone);
  CHECK(it.output == "~ budget one-main: prepaid 1000 -> 1001\n");
  CHECK(it.Run({.words = {"apply", "f"}, .base = "1"}) == kToolDone);
  CHECK(it.RunWords({"show"}) == kToolDone);
  CHECK(it.output == *it.file);
  CHECK(it.RunWords({"diff", "1", "2"}) == kToolDone);
  CHECK(it.output == "~ budget one-main: prepaid 1000 -> 1001\n");
  CHECK(it.RunWords({"drain", "engine-1"}) == kToolDone);
  CHECK(it.fleet.CurrentOf(0)->document.backend_servers[0].drain);
  CHECK(it.RunWords({"roll-forward", "1"}) == kToolDone);
  CHECK_FALSE(it.fleet.CurrentOf(0)->document.backend_servers[0].drain);
  CHECK(it.fleet.PrepaidOf(0) == 1001);
  CHECK(it.fleet.VersionOf(0) == 4);
  CHECK(it.RunWords({"roll-forward", "1"}) == kToolDone);
  CHECK(it.fleet.VersionOf(0) == 4);
}

// Guards against a top-up that is lost or counted twice.
TEST_CASE("a top-up takes effect once when its answers are lost") {
  ToolFixture it;
  it.RunWords({"apply", "f"});
  it.lost_answers = GENERATE(0, 1, 3);
  CHECK(it.TopUp(500) == kToolDone);
  CHECK(it.fleet.PrepaidOf(0) == 1500);
  CHECK(it.fleet.VersionOf(0) == 2);
}

// Guards against a top-up that undoes the change of another operator.
TEST_CASE("a top-up after a conflict adds to the newer version") {
  ToolFixture it;
  it.RunWords({"apply", "f"});
  int others = 2;
  it.before_put = [&] {
    if (others-- > 0) {
      const auto version = it.fleet.VersionOf(0);
      it.fleet.Apply(0, version, it.fleet.PrepaidOf(0) + 10,
                     "other-" + std::to_string(version));
      it.fleet.loop.RunFor(Millis(1000));
    }
  };
  it.lost_answers = GENERATE(0, 1);
  CHECK(it.TopUp(500) == kToolDone);
  CHECK(it.fleet.PrepaidOf(0) == 1520);
}

// Guards against a repeated command that tops up twice.
TEST_CASE("a top-up with an unknown outcome names a safe repeat") {
  ToolFixture it;
  it.RunWords({"apply", "f"});
  it.lost_answers = 100;
  CHECK(it.TopUp(500) == kToolUnknown);
  CHECK(Contains(it.errors, "budget top-up one-main --to 1500"));
  it.lost_answers = 0;
  CHECK(it.Run({.words = {"budget", "top-up", "one-main"}, .to = 1500}) ==
        kToolDone);
  CHECK(it.fleet.PrepaidOf(0) == 1500);
}

TEST_CASE("an apply with an unknown outcome is resolved by its key") {
  ToolFixture it;
  it.lost_answers = 100;
  CHECK(it.Run({.words = {"apply", "f"}, .key = "k1"}) == kToolUnknown);
  CHECK(Contains(it.errors, "--base 0 --key k1"));
  it.lost_answers = 0;
  CHECK(it.Run({.words = {"apply", "f"}, .key = "k1"}) == kToolDone);
  CHECK(it.output == "version 1 is applied\n");
}

TEST_CASE("the exit codes tell refusal, usage and an unreachable router") {
  ToolFixture it;
  it.RunWords({"apply", "f"});
  CHECK(it.RunWords({"status"}) == kToolDone);
  CHECK(it.Run({.words = {"budget", "top-up", "x"}, .by = 1}) == kToolRefused);
  CHECK(it.Run({.words = {"budget", "create", "two"},
                .prepaid = 1,
                .client_account = "x"}) == kToolRefused);
  CHECK(Contains(it.errors, "client_account \"x\", which does not exist"));
  CHECK(it.RunWords({"nonsense"}) == kToolUsage);
  CHECK(it.RunWords({"apply"}) == kToolUsage);
  CHECK(it.RunWords({"budget", "top-up", "one-main"}) == kToolUsage);
  CHECK(it.Run({.words = {"apply", "f"}, .base = "-1"}) == kToolUsage);
  it.file = Replaced(SmallDocument(), "prepaid = 1000", "prepaid = -1");
  CHECK(it.RunWords({"validate", "f"}) == kToolRefused);
  CHECK(Contains(it.errors, "line 16: "));
  it.file.reset();
  CHECK(it.RunWords({"validate", "f"}) == kToolUsage);
  it.is_unreachable = true;
  CHECK(it.RunWords({"status"}) == kToolUnknown);
  CHECK(it.TopUp(5) == kToolUnknown);
}

}  // namespace crocuslatch
