#include "core/server_roster.h"

#include <catch2/catch.hpp>

namespace crocuslatch {
namespace {

const std::vector<BackendEntry> kBoth{{.id = "a"}, {.id = "b"}};
const std::vector<BackendEntry> kOnlyA{{.id = "a"}};

std::size_t Count(const ServerRoster& roster) {
  return roster.Entries().size();
}

}  // namespace

// Guards against new work for a server that only loses its entry.
TEST_CASE("a server whose entry goes is dropped at once") {
  ServerRoster roster({});
  roster.OnSnapshot(kBoth, Millis{0}, Millis{5});
  roster.OnSnapshot(kOnlyA, Millis{500}, Millis{505});
  CHECK(Count(roster) == 1);
  CHECK(roster.removed() == std::vector<std::string>{"b"});
}

// Guards against refusing everything after an outage in which live servers'
// entries expired.
TEST_CASE("entries that expired in an outage have a moment to return") {
  ServerRosterOptions options;
  ServerRoster roster(options);
  roster.OnSnapshot(kBoth, Millis{0}, Millis{5});
  const Millis back{9000};
  roster.OnSnapshot({}, back, back + Millis{5});
  CHECK(Count(roster) == 2);
  SECTION("one comes back, the other is gone") {
    roster.OnSnapshot(kOnlyA, back + Millis{1000}, back + Millis{1005});
    CHECK(Count(roster) == 2);
    const Millis late = back + options.return_time + Millis{10};
    roster.OnSnapshot(kOnlyA, late, late);
    CHECK(Count(roster) == 1);
  }
  SECTION("a server that said that it leaves is not expected back") {
    ServerRoster other(options);
    auto leaving = kBoth;
    leaving[1].is_draining = true;
    other.OnSnapshot(leaving, Millis{0}, Millis{5});
    other.OnSnapshot(kOnlyA, back, back);
    CHECK(Count(other) == 1);
  }
}

}  // namespace crocuslatch
