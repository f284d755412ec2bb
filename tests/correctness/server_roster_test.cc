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

// Guards against new requests to a server whose entry was removed.
TEST_CASE("a server whose entry disappears is dropped at once") {
  ServerRoster roster({});
  roster.OnSnapshot(kBoth, Millis{0}, Millis{5});
  roster.OnSnapshot(kOnlyA, Millis{500}, Millis{505});
  CHECK(Count(roster) == 1);
  CHECK(roster.removed() == std::vector<std::string>{"b"});
}

// Guards against refusing all requests after an outage in which the entries of
// live servers expired.
TEST_CASE("servers whose entries expired in an outage get a grace period") {
  ServerRosterOptions options;
  ServerRoster roster(options);
  roster.OnSnapshot(kBoth, Millis{0}, Millis{5});
  const Millis back{9000};
  roster.OnSnapshot({}, back, back + Millis{5});
  CHECK(Count(roster) == 2);
  SECTION("one server registers again, the other does not") {
    roster.OnSnapshot(kOnlyA, back + Millis{1000}, back + Millis{1005});
    CHECK(Count(roster) == 2);
    const Millis late = back + options.reregistration_grace + Millis{10};
    roster.OnSnapshot(kOnlyA, late, late);
    CHECK(Count(roster) == 1);
  }
  SECTION("a draining server gets no grace period") {
    ServerRoster other(options);
    auto draining = kBoth;
    draining[1].is_draining = true;
    other.OnSnapshot(draining, Millis{0}, Millis{5});
    other.OnSnapshot(kOnlyA, back, back);
    CHECK(Count(other) == 1);
  }
}

}  // namespace crocuslatch
