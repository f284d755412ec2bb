#include "platform/request_codec.h"

#include <catch2/catch.hpp>

#include "platform/wire_names.h"

namespace crocuslatch::platform {
namespace {

std::optional<ReportedLoad> Decode(const std::string& text) {
  return DecodeServerResponse(200, {{std::string(kServerLoad), text}}).load;
}

}  // namespace

// Guards against dropping the reports of servers that share their machines.
TEST_CASE("a load header has three or four figures") {
  CHECK(Decode("3,0,8") == ReportedLoad{3, 0, 8, 100});
  CHECK(Decode("3,0,8,250") == ReportedLoad{3, 0, 8, 250});
  CHECK(Decode("3, 0, 8, 99999") == ReportedLoad{3, 0, 8, 1000});
  CHECK(Decode("3,0,8,0") == ReportedLoad{3, 0, 8, 20});
  CHECK_FALSE(Decode("3,0"));
  CHECK_FALSE(Decode("3,0,8,x"));
  CHECK_FALSE(Decode("3,0,8,100,1"));
}

// Guards against a malformed header that makes a server count as cold or warm.
TEST_CASE("a server states its remaining cold time in milliseconds") {
  const auto decode = [](const std::string& text) {
    return DecodeServerResponse(200, {{std::string(kColdRemaining), text}})
        .cold_remaining;
  };
  CHECK(decode("1500") == Millis{1500});
  CHECK(decode("0") == Millis{0});
  CHECK_FALSE(decode(""));
  CHECK_FALSE(decode("-5"));
  CHECK_FALSE(decode("soon"));
}

}  // namespace crocuslatch::platform
