#include "app/front_settings.h"

#include <catch2/catch.hpp>

namespace crocuslatch {
namespace {

std::string MakeToml(const std::string& link, const std::string& address) {
  return R"([host]
name = "a"
failure_domain = "d"
[listen]
callers = ")" +
         address + R"("
readiness = "10.0.0.1:2"
metrics = "10.0.0.1:3"
peers = "10.0.0.1:4"
[store]
address = "10.0.0.2:5"
[limits]
link_mbps = )" +
         link + "\n[new]\nkey = 1\n";
}

}  // namespace

// Guards against starting with misread settings, and against rejecting keys
// that the platform has added.
TEST_CASE("front settings are validated") {
  CHECK(ParseFrontSettings(MakeToml("10.5", "10.0.0.1:1")).link_mbps == 10.5);
  CHECK_THROWS_AS(ParseFrontSettings(MakeToml("-1", "10.0.0.1:1")),
                  SettingsError);
  CHECK_THROWS_AS(ParseFrontSettings(MakeToml("\"fast\"", "10.0.0.1:1")),
                  SettingsError);
  CHECK_THROWS_AS(ParseFrontSettings(MakeToml("10", "here:1")), SettingsError);
}

}  // namespace crocuslatch
