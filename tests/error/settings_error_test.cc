#include <catch2/catch.hpp>

#include "src/settings.h"
#include "tests/fixture_document.h"

namespace crocuslatch {
namespace {

std::vector<DocumentProblem> ProblemsOf(const std::string& toml) {
  try {
    ParseSettings(toml);
  } catch (const SettingsError& error) {
    CHECK(error.code() == "settings_rejected");
    return error.problems();
  }
  return {};
}

struct BadInput {
  std::string from;
  std::string to;
  std::string message;
};

}  // namespace

// Guards against a daemon that starts with invalid settings.
TEST_CASE("each mistake in the settings is reported with line and remedy") {
  const auto it = GENERATE(values<BadInput>({
      {"port = 7100", "port = 70000", "outside 0 to 65535"},
      {"port = 7100\n", "port = 7100\nports = 1\n", "unknown key \"ports\""},
      {"address = \"127.0.0.1\"", "address = \"localhost\"",
       "not an IP address"},
      {"token = \"demonstration-admin-token\"", "token = \"short\"",
       "fewer than 16 bytes"},
      {"token = \"demonstration-admin-token\"", "", "exactly one of"},
      {"token = \"demonstration-admin-token\"", "token_file = \"/nowhere/x\"",
       "cannot be read"},
      {"http://127.0.0.1:7500", "https://127.0.0.1:7500", "not a base URL"},
      {"http://127.0.0.1:7500", "http://127.0.0.1:7500/v1", "not a base URL"},
      {"address = \"127.0.0.1:7301\"", "address = \"127.0.0.1\"",
       "not an IP address with a port"},
      {"config_head_ms = 2000", "config_head_ms = 9000", "outside 50 to 2000"},
      {"worker_threads = 2", "worker_threads = 0", "outside 1 to 64"},
      {"[store]", "[shop]", "has no \"store\""},
  }));
  const auto problems = ProblemsOf(
      Replaced(ReadSourceFile("examples/crocuslatchd.toml"), it.from, it.to));
  CAPTURE(it.to);
  REQUIRE_FALSE(problems.empty());
  const auto found = std::ranges::find_if(problems, [&](const auto& problem) {
    return problem.message.find(it.message) != std::string::npos;
  });
  REQUIRE(found != problems.end());
  CHECK(found->line > 0);
  CHECK_FALSE(found->remedy.empty());
}

TEST_CASE("a missing settings file is a typed error") {
  CHECK_THROWS_AS(LoadSettings("/nowhere/x.toml"), SettingsError);
}

}  // namespace crocuslatch
