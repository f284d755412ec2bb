#include <catch2/catch.hpp>

#include "tests/process/batch.h"

namespace crocuslatch::test {

namespace {

// R8: an accepted version is in force at every router within this time.
constexpr Millis kActivationTimeout{7000};

bool AllRunVersion(Fleet& fleet, std::int64_t version) {
  for (std::size_t i = 0; i < fleet.router_count(); ++i) {
    if (fleet.ActiveVersion(i) != version) {
      return false;
    }
  }
  return true;
}

}  // namespace

// Guards against reporting success to both of two concurrent changes (R8).
TEST_CASE("of two concurrent changes one succeeds and one gets a conflict") {
  Fleet fleet({.engines = 1});
  for (std::int64_t version = 1; version <= 5; ++version) {
    const auto first = std::make_shared<std::optional<int>>();
    const auto second = std::make_shared<std::optional<int>>();
    fleet.StartApply(0, 2000000 * version, version, first);
    fleet.StartApply(1, 2000000 * version + 1, version, second);
    REQUIRE(RunUntil([&] { return *first && *second; }, Millis(20000)));
    CHECK(std::min(**first, **second) == 200);
    CHECK(std::max(**first, **second) == 409);
    CHECK(RunUntil([&] { return AllRunVersion(fleet, version + 1); },
                   kActivationTimeout));
    const Tokens winner =
        **first == 200 ? 2000000 * version : 2000000 * version + 1;
    CHECK(ReadBudget(fleet, 2).prepaid == winner);
  }
}

// Guards against a document that is lost or applied twice when the store's
// answer is lost after the write took effect (R8).
TEST_CASE("a document is applied once when the store loses answers") {
  Fleet fleet({.engines = 1});
  fleet.Control(fleet.store(), {{"lose_answers", 2}, {"prefix", "config/"}});
  const auto status = std::make_shared<std::optional<int>>();
  fleet.StartApply(0, 3000000, 1, status);
  REQUIRE(RunUntil([&] { return status->has_value(); }, Millis(20000)));
  CHECK(**status == 200);
  CHECK(RunUntil([&] { return AllRunVersion(fleet, 2); }, kActivationTimeout));
  RunFor(Millis(3000));
  CHECK(AllRunVersion(fleet, 2));
}

// Guards against a router that starts without a configuration, or with an
// outdated one, while the store is down (R8).
TEST_CASE(
    "a router that starts during a store outage gets the version in force") {
  Fleet fleet({.engines = 1});
  const auto status = std::make_shared<std::optional<int>>();
  fleet.StartApply(0, 3000000, 1, status);
  REQUIRE(RunUntil([&] { return status->has_value(); }, Millis(20000)));
  REQUIRE(
      RunUntil([&] { return AllRunVersion(fleet, 2); }, kActivationTimeout));
  const auto outage = GENERATE("refuse", "hang");
  INFO(outage);
  fleet.Control(fleet.store(), {{"outage", outage}});
  fleet.RestartRouter(2);
  CHECK(RunUntil([&] { return fleet.IsReady(2); }, kActivationTimeout));
  CHECK(fleet.ActiveVersion(2) == 2);
}

// Guards against a router that cannot serve callers but exits with status 0, so
// that its supervisor does not restart it.
TEST_CASE("a router that cannot listen for callers exits with an error") {
  Fleet fleet({.engines = 1});
  // Reserved for documentation (RFC 5737), so no host has this address.
  fleet.RestartRouter(2, "192.0.2.1");
  CHECK(fleet.router(2).WaitExit(Millis(10000)) == 1);
}

}  // namespace crocuslatch::test
