#include "core/host_stamp.h"

#include <catch2/catch.hpp>

#include "src/shard_state.h"

namespace crocuslatch {
namespace {

const HostStamp kStamp{.incarnation = 0xabcdef,
                       .boot_time = Millis{50'000},
                       .wall_time = Millis{1'700'000'000'000},
                       .link_mbps = 200,
                       .peer_address = "10.0.0.1:7340"};

HostStamp Later(Millis boot, Millis wall) {
  auto start = kStamp;
  start.incarnation = 2;
  start.boot_time += boot;
  start.wall_time += wall;
  return start;
}

}  // namespace

TEST_CASE("a stamp is read back") {
  CHECK(DecodeHostStamp(EncodeHostStamp(kStamp)) == kStamp);
  for (const auto* it : {"", "2 00 1 2 a", "1 xyz 1 2 a", "1 00 1", "1 00 1 2",
                         "1 00 1 b 10.0.0.1:1"}) {
    CHECK_FALSE(DecodeHostStamp(it));
  }
}

// Guards against taking back tokens that a process may have used while it
// lived longer than its clocks seem to say.
TEST_CASE("the longest life of a process follows from clocks that agree") {
  const HostStampOptions options;
  const auto lived = [&](Millis boot, Millis wall) {
    return MaxLifetime(kStamp, Later(boot, wall), options);
  };
  CHECK(lived(Millis{900}, Millis{950}) ==
        Millis{900} + options.clock_tolerance);
  // The time of day was set while the host stayed up.
  CHECK_FALSE(lived(Millis{3000}, Millis{500}));
  CHECK_FALSE(lived(Millis{900}, Millis{3300}));
  // The host was started again: only the time of day is left.
  CHECK(lived(Millis{-30'000'000}, Millis{1200}) ==
        Millis{1200} + options.longest_step);
  CHECK_FALSE(lived(Millis{-30'000'000}, Millis{-1}));
  CHECK_FALSE(lived(std::chrono::hours(1), std::chrono::hours(1)));
}

// Guards against a dead holder's unused tokens that count as used, and against
// an overspend by a holder that was cut off for long.
TEST_CASE("the bound of a holder's use grows with the time since its stamp") {
  CHECK(UsageBound(1000, 4000, Millis{0}) == 1000);
  CHECK(UsageBound(1000, 4000, kStampGrace - Millis{1}) == 1000);
  CHECK(UsageBound(1000, 4000, kStampGrace) == 1000);
  CHECK(UsageBound(1000, 4000, kStampGrace + Millis{1000}) == 5000);
  CHECK(UsageBound(1000, 4000, kDisconnectTime) == 6200);
  CHECK(UsageBound(1000, 4000, kDisconnectTime + Millis{1000}) == 14'200);
  Tokens last = 0;
  for (Millis it{0}; it < Millis{20'000}; it += Millis{100}) {
    const Tokens bound = UsageBound(1000, 4000, it);
    CHECK(bound >= last);
    last = bound;
  }
}

// Guards against requests that wait in a cut for longer than the bound asks, or
// that are let through before it allows them.
TEST_CASE("the time of a bound is the first at which it covers the amount") {
  for (const Tokens amount : {0, 1000, 1001, 4000, 6200, 6201, 7000, 60'000}) {
    const Millis at = TimeUntilUsageBound(1000, 4000, amount);
    CHECK(UsageBound(1000, 4000, at) >= amount);
    if (amount > 1000) {
      CHECK(UsageBound(1000, 4000, at - Millis{3}) < amount);
    }
  }
}

}  // namespace crocuslatch
