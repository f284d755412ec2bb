#include "src/config_keeper.h"
#include "src/sha256.h"

#include <catch2/catch.hpp>

#include "src/sha256.h"
#include "tests/simulated_config_fleet.h"

namespace crocuslatch {

// Guards against putting a corrupt value in force.
TEST_CASE("a stored document reads back equal or not at all") {
  const StoredDocument stored{7, Sha256Hex("text"), "nonce-1", "text"};
  const auto value = EncodeStoredDocument(stored);
  CHECK(DecodeStoredDocument(value) == stored);
  for (std::size_t i = 0; i < value.size(); ++i) {
    auto damaged = value;
    damaged[i] = static_cast<char>(damaged[i] ^ 0x10);
    const auto read = DecodeStoredDocument(damaged);
    CHECK((!read || read->toml == "text"));
    CHECK_FALSE(DecodeStoredDocument(value.substr(0, i)));
  }
}

TEST_CASE(
    "of two concurrent submissions one succeeds and the other conflicts") {
  SimulatedConfigFleet fleet(2, 1);
  fleet.loop.RunFor(Millis(2000));
  fleet.Apply(0, 0, 1000, "a");
  fleet.Apply(1, 0, 2000, "b");
  fleet.loop.RunFor(Millis(7000));
  REQUIRE(fleet.results["a"].size() == 1);
  REQUIRE(fleet.results["b"].size() == 1);
  const auto& a = fleet.results["a"][0];
  const auto& b = fleet.results["b"][0];
  CHECK((a.status == ApplyStatus::kApplied) !=
        (b.status == ApplyStatus::kApplied));
  const auto& loser = a.status == ApplyStatus::kApplied ? b : a;
  CHECK(loser.status == ApplyStatus::kConflict);
  CHECK(loser.version == 1);
  CHECK(fleet.VersionOf(0) == 1);
  CHECK(fleet.VersionOf(1) == 1);
}

// Guards against a version that takes back tokens that are already paid for.
TEST_CASE("a version that lowers a prepaid amount is rejected") {
  SimulatedConfigFleet fleet(1, 1);
  fleet.Apply(0, 0, 1000, "a");
  fleet.loop.RunFor(Millis(1000));
  fleet.Apply(0, 1, 999, "b");
  fleet.loop.RunFor(Millis(1000));
  REQUIRE(fleet.results["b"].size() == 1);
  CHECK(fleet.results["b"][0].status == ApplyStatus::kRejected);
  CHECK(fleet.results["b"][0].problems.size() == 1);
  CHECK(fleet.written.size() == 1);
}

// Guards against a router that cannot start without the store.
TEST_CASE("a router that starts during a store outage fetches from its peers") {
  SimulatedConfigFleet fleet(3, 1);
  fleet.Apply(0, 0, 1000, "a");
  fleet.loop.RunFor(Millis(7000));
  for (int i = 0; i < 3; ++i) {
    fleet.SetStoreLink(i, false);
  }
  fleet.Restart(2);
  CHECK(fleet.VersionOf(2) == 0);
  fleet.loop.RunFor(Millis(2000));
  CHECK(fleet.VersionOf(2) == 1);
  fleet.Apply(2, 1, 2000, "b");
  fleet.loop.RunFor(Millis(10000));
  REQUIRE(fleet.results["b"].size() == 1);
  CHECK(fleet.results["b"][0].status == ApplyStatus::kUnavailable);
}

}  // namespace crocuslatch
