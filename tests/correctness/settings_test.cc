#include "src/settings.h"

#include <catch2/catch.hpp>
#include <filesystem>

#include "tests/fixture_document.h"

namespace crocuslatch {

// Guards against example settings that the daemon rejects, and against defaults
// that differ from the documented ones.
TEST_CASE("the example settings are valid and show the defaults") {
  const auto settings = LoadSettings(std::string(CROCUSLATCH_SOURCE_DIR) +
                                     "/examples/crocuslatchd.toml");
  CHECK(settings.host_name == "router-1");
  CHECK(settings.caller.port == 7100);
  CHECK(settings.store_url == "http://127.0.0.1:7500");
  CHECK(settings.peers.size() == 2);
  CHECK(settings.periods == PeriodSettings());
}

// Guards against a trailing newline that becomes part of a secret.
TEST_CASE("a secret may come from a file") {
  const auto path =
      std::filesystem::temp_directory_path() / "crocuslatch_settings_test";
  std::ofstream(path) << "0123456789abcdef0\n";
  const auto settings =
      ParseSettings(Replaced(ReadSourceFile("examples/crocuslatchd.toml"),
                             "fleet_secret = \"demonstration-fleet-secret\"",
                             "fleet_secret_file = \"" + path.string() + "\""));
  CHECK(settings.fleet_secret == "0123456789abcdef0");
  std::filesystem::remove(path);
}

}  // namespace crocuslatch
