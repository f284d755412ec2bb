#include "core/crash_evidence.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>

namespace crocuslatch {
namespace {

using Parts = std::vector<std::string>;

ModelWork Work(const Parts& ids) {
  ModelWork work;
  for (const auto& it : ids) {
    work.parts.push_back({it, 100});
  }
  return work;
}

struct Fixture {
  // A server crashes under a request whose response has begun.
  Parts Crash(const std::string& server, const Parts& parts, Millis at) {
    return evidence.OnCrash({.server_id = server,
                             .begun_parts = {parts.begin(), parts.end()},
                             .waiting_parts = {}},
                            at, at);
  }
  bool IsQuarantined(const Parts& parts, Millis at) const {
    return evidence.FindQuarantined(Work(parts), at).has_value();
  }

  CrashEvidence evidence{{}};
};

}  // namespace

// Guards against requests with one part that crash one server after the other
// (BUDGET), and against refusing sound requests that share their other parts
// (LOST).
TEST_CASE("a part at three crashes in a row is quarantined, and no other") {
  Fixture it;
  CHECK(it.Crash("i-1", {"system", "deadly"}, Millis{1000}).empty());
  CHECK(it.evidence.OnServed(Work({"system", "own-1"})).empty());
  CHECK(it.Crash("i-2", {"system", "deadly"}, Millis{3000}).empty());
  // The part has weight at hosts that have not served it.
  CHECK(it.evidence.OnServed(Work({"system", "own-2"})) == Parts{"system"});
  CHECK_FALSE(it.IsQuarantined({"deadly", "own"}, Millis{4000}));
  CHECK(it.Crash("i-3", {"system", "deadly"}, Millis{5000}) == Parts{"deadly"});
  CHECK(it.IsQuarantined({"system", "deadly", "own-3"}, Millis{5000}));
  CHECK_FALSE(it.IsQuarantined({"system", "own-4"}, Millis{5000}));
  // The last part is the request's own.
  CHECK_FALSE(it.IsQuarantined({"system", "deadly"}, Millis{5000}));
}

// Guards against tainted parts after a crash with a common cause, or one that
// several hosts report.
TEST_CASE("crashes with a common cause count once") {
  Fixture it;
  for (int i = 0; i < 20; ++i) {
    it.Crash(fmt::format("i-{}", i), {"popular"}, Millis{1000 + 10 * i});
  }
  it.Crash("i-1", {"popular"}, Millis{2500});
  it.Crash("i-50", {"popular"}, Millis{9000});
  CHECK_FALSE(it.IsQuarantined({"popular", "own"}, Millis{9000}));
}

// Guards against a server's queue that taints what it did not run.
TEST_CASE("waiting requests weigh less than those whose response had begun") {
  CrashEvidence evidence{{}};
  const auto crash = [&](int number) {
    const ServerCrash it{.server_id = fmt::format("i-{}", number),
                         .begun_parts = {},
                         .waiting_parts = {"a"}};
    const Millis at{number * 3000};
    return !evidence.OnCrash(it, at, at).empty();
  };
  for (int number = 1; number <= 5; ++number) {
    CHECK_FALSE(crash(number));
  }
  CHECK(crash(6));
}

// Guards against refusing sound requests for good.
TEST_CASE("a quarantine ends when the part is served or after its time") {
  Fixture it;
  for (int i = 1; i <= 3; ++i) {
    it.Crash(fmt::format("i-{}", i), {"a"}, Millis{i * 1000});
  }
  REQUIRE(it.IsQuarantined({"a", "own"}, Millis{3000}));
  SECTION("another host has served it") {
    CHECK(it.evidence.OnCleared({"a", "b"}, Millis{3100}) == Parts{"a"});
    CHECK_FALSE(it.IsQuarantined({"a", "own"}, Millis{3100}));
    CHECK(it.evidence.size() == 0);
  }
  SECTION("a request that was under way is served") {
    CHECK(it.evidence.OnServed(Work({"a", "own"})) == Parts{"a"});
    CHECK_FALSE(it.IsQuarantined({"a", "own"}, Millis{3100}));
  }
  SECTION("its time is over, and one more crash renews it") {
    const Millis later = Millis{3000} + CrashEvidenceOptions{}.quarantine_time;
    CHECK_FALSE(it.IsQuarantined({"a", "own"}, later));
    CHECK(it.Crash("i-9", {"a"}, later) == Parts{"a"});
  }
}

// Guards against state that grows with the parts of all requests.
TEST_CASE("the evidence is bounded") {
  CrashEvidence evidence({.max_parts = 10});
  for (int i = 0; i < 100; ++i) {
    const Millis at{i * 1000};
    evidence.OnCrash({.server_id = fmt::format("i-{}", i),
                      .begun_parts = {fmt::format("p-{}", i)},
                      .waiting_parts = {}},
                     at, at);
    CHECK(evidence.size() <= 11);
  }
  const Millis later{std::chrono::hours(3)};
  evidence.OnCrash({}, later, later);
  CHECK(evidence.size() == 0);
}

}  // namespace crocuslatch
