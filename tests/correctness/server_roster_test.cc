#include "core/server_roster.h"

#include <catch2/catch.hpp>

namespace crocuslatch {
namespace {

const std::vector<BackendEntry> kBoth{{.id = "a"}, {.id = "b"}};
const std::vector<BackendEntry> kOnlyA{{.id = "a"}};

constexpr RevisionRange kRevision{100, 100};

std::size_t Count(const ServerRoster& roster) {
  return roster.Entries().size();
}

}  // namespace

// Guards against new requests to a server whose entry was removed.
TEST_CASE("a server whose entry disappears is dropped at once") {
  ServerRoster roster({});
  roster.OnSnapshot(kBoth, kRevision, Millis{0}, Millis{5});
  roster.OnSnapshot(kOnlyA, kRevision, Millis{500}, Millis{505});
  CHECK(Count(roster) == 1);
  CHECK(roster.removed() == std::vector<std::string>{"b"});
}

// Guards against refusing all requests after an outage in which the entries of
// live servers expired.
TEST_CASE("servers whose entries expired in an outage get a grace period") {
  ServerRosterOptions options;
  ServerRoster roster(options);
  roster.OnSnapshot(kBoth, kRevision, Millis{0}, Millis{5});
  const Millis back{9000};
  roster.OnSnapshot({}, kRevision, back, back + Millis{5});
  CHECK(Count(roster) == 2);
  SECTION("one server registers again, the other does not") {
    roster.OnSnapshot(kOnlyA, kRevision, back + Millis{1000},
                      back + Millis{1005});
    CHECK(Count(roster) == 2);
    const Millis late = back + options.reregistration_grace + Millis{10};
    roster.OnSnapshot(kOnlyA, kRevision, late, late);
    CHECK(Count(roster) == 1);
  }
  SECTION("a draining server gets no grace period") {
    ServerRoster other(options);
    auto draining = kBoth;
    draining[1].is_draining = true;
    other.OnSnapshot(draining, kRevision, Millis{0}, Millis{5});
    other.OnSnapshot(kOnlyA, kRevision, back, back);
    CHECK(Count(other) == 1);
  }
}

// Guards against requests to a server that has left (DRAIN) while only this
// host could not read the registry.
TEST_CASE("a server that left while the host was cut off is dropped at once") {
  ServerRoster roster({});
  const std::vector<BackendEntry> all{{.id = "a"}, {.id = "b"}, {.id = "c"}};
  roster.OnSnapshot(all, kRevision, Millis{0}, Millis{5});
  const Millis back{3600};
  roster.OnSnapshot({all[0], all[1]}, kRevision, back, back);
  CHECK(roster.removed() == std::vector<std::string>{"c"});
}

// Guards against requests to a server that has left (DRAIN): the last page of a
// snapshot may be older than that of the one before, although its first page is
// newer.
TEST_CASE("a snapshot with an older page brings no departed server back") {
  ServerRoster roster({});
  const BackendEntry ready{.id = "b", .store_version = 90};
  BackendEntry draining = ready;
  draining.is_draining = true;
  draining.store_version = 103;
  roster.OnSnapshot({ready}, {95, 95}, Millis{0}, Millis{5});
  roster.OnSnapshot({draining}, {100, 100}, Millis{500}, Millis{505});
  SECTION("while it drains") {
    roster.OnSnapshot({ready}, {101, 101}, Millis{1000}, Millis{1005});
    REQUIRE(Count(roster) == 1);
    CHECK(roster.Entries().front().is_draining);
  }
  SECTION("after its entry was removed") {
    roster.OnSnapshot({}, {110, 110}, Millis{1000}, Millis{1005});
    CHECK(Count(roster) == 0);
    roster.OnSnapshot({draining}, {111, 111}, Millis{1500}, Millis{1505});
    CHECK(Count(roster) == 0);
    // It registers again.
    BackendEntry again = ready;
    again.store_version = 120;
    roster.OnSnapshot({again}, {121, 121}, Millis{2000}, Millis{2005});
    CHECK(Count(roster) == 1);
  }
}

// Guards against refusing work for want of a server that has just registered.
TEST_CASE("a server that is newer than the snapshot's page stays") {
  ServerRoster roster({});
  roster.OnSnapshot({{.id = "b", .store_version = 103}}, {100, 100}, Millis{0},
                    Millis{5});
  roster.OnSnapshot({}, {101, 101}, Millis{500}, Millis{505});
  CHECK(Count(roster) == 1);
  roster.OnSnapshot({}, {104, 104}, Millis{1000}, Millis{1005});
  CHECK(Count(roster) == 0);
}

// Guards against a heartbeat that was written before the server began to drain
// and takes effect after it (DRAIN).
TEST_CASE("a draining process stays draining whatever its entry says later") {
  ServerRoster roster({});
  BackendEntry entry{.id = "b", .start_time_ms = 7, .store_version = 10};
  const auto write = [&](bool is_draining, std::uint64_t version) {
    entry.is_draining = is_draining;
    entry.store_version = version;
    const Millis now{static_cast<Millis::rep>(version) * 10};
    roster.OnSnapshot({entry}, {version, version}, now, now);
    return roster.Entries().front().is_draining;
  };
  CHECK_FALSE(write(false, 10));
  CHECK(write(true, 11));
  CHECK(write(false, 12));
  roster.OnSnapshot({}, {13, 13}, Millis{130}, Millis{130});
  CHECK(Count(roster) == 0);
  CHECK(write(false, 14));
  // A new process under the same id.
  entry.start_time_ms = 8;
  CHECK_FALSE(write(false, 15));
}

// Guards against a server that left between two heartbeats that the host has
// not seen (DRAIN): the last page of a snapshot shows it missing, and a faster
// read that began later has its last entry.
TEST_CASE("only a write after the snapshot registers a missing server again") {
  ServerRoster roster({});
  const auto entry = [](std::uint64_t version) {
    return BackendEntry{.id = "b", .store_version = version};
  };
  roster.OnSnapshot({entry(130)}, {130, 132}, Millis{0}, Millis{5});
  // Written as 150, removed at 155.
  roster.OnSnapshot({}, {140, 160}, Millis{500}, Millis{900});
  REQUIRE(Count(roster) == 0);
  roster.OnSnapshot({entry(150)}, {145, 152}, Millis{700}, Millis{950});
  CHECK(Count(roster) == 0);
  roster.OnSnapshot({entry(170)}, {171, 172}, Millis{1500}, Millis{1505});
  CHECK(Count(roster) == 1);
}

// As above for a server whose entry had expired before, so that its absence is
// nothing new.
TEST_CASE("a server that is missing again is known to be missing until then") {
  ServerRoster roster({});
  const BackendEntry entry{.id = "b", .store_version = 130};
  roster.OnSnapshot({entry}, {130, 132}, Millis{0}, Millis{5});
  roster.OnSnapshot({}, {140, 140}, Millis{500}, Millis{505});
  // Registered again as 150, and removed at 155.
  roster.OnSnapshot({}, {149, 160}, Millis{1000}, Millis{1400});
  BackendEntry again = entry;
  again.store_version = 150;
  roster.OnSnapshot({again}, {151, 152}, Millis{1200}, Millis{1450});
  CHECK(Count(roster) == 0);
}

}  // namespace crocuslatch
