#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

#include "src/log.h"

namespace crocuslatch {

// Guards against an undocumented log event.
TEST_CASE("every log event is in docs/events.md") {
  std::ifstream file(std::string(CROCUSLATCH_SOURCE_DIR) + "/docs/events.md");
  REQUIRE(file);
  std::stringstream text;
  text << file.rdbuf();
  for (const auto& it : LogCatalogue()) {
    const auto row =
        fmt::format("| {} | {} |", static_cast<int>(it.event), it.name);
    INFO(row);
    CHECK(text.str().find(row) != std::string::npos);
  }
}

}  // namespace crocuslatch
