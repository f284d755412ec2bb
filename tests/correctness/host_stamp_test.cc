#include "core/host_stamp.h"

#include <catch2/catch.hpp>

#include "src/shard_state.h"

namespace crocuslatch {
namespace {

const HostStamp kStamp{.incarnation = 0xabcdef,
                       .boot_time = Millis{50'000},
                       .wall_time = Millis{1'700'000'000'000},
                       .link_mbps = 200,
                       .peer_address = "10.0.0.1:7340",
                       .failure_domain = "kopli"};

HostStamp Later(Millis boot, Millis wall) {
  auto start = kStamp;
  start.incarnation = 2;
  start.boot_time += boot;
  start.wall_time += wall;
  return start;
}

}  // namespace

TEST_CASE("a stamp is decoded as it was encoded") {
  CHECK(DecodeHostStamp(EncodeHostStamp(kStamp)) == kStamp);
  // A stamp of the previous version.
  auto without_domain = kStamp;
  without_domain.failure_domain = "";
  CHECK(DecodeHostStamp("2 0000000000abcdef 50000 1700000000000 200 "
                        "10.0.0.1:7340") == without_domain);
  CHECK_FALSE(
      DecodeHostStamp("3 0000000000abcdef 50000 1700000000000 200 "
                      "10.0.0.1:7340"));
  for (const auto* it : {"", "2 00 1 2 a", "1 xyz 1 2 a", "1 00 1", "1 00 1 2",
                         "1 00 1 b 10.0.0.1:1"}) {
    CHECK_FALSE(DecodeHostStamp(it));
  }
}

// Guards against reclaiming tokens that a process may have used because it
// lived longer than the clocks suggest.
TEST_CASE("the maximum lifetime of a process follows from clocks that agree") {
  const HostStampOptions options;
  const auto max_lifetime_after = [&](Millis boot, Millis wall) {
    return MaxLifetime(kStamp, Later(boot, wall), options);
  };
  CHECK(max_lifetime_after(Millis{900}, Millis{950}) ==
        Millis{900} + options.clock_tolerance);
  // The wall clock was set without a reboot.
  CHECK_FALSE(max_lifetime_after(Millis{3000}, Millis{500}));
  CHECK_FALSE(max_lifetime_after(Millis{900}, Millis{3300}));
  // The host was rebooted, so only the wall clock is usable.
  CHECK(max_lifetime_after(Millis{-30'000'000}, Millis{1200}) ==
        Millis{1200} + options.max_clock_step);
  CHECK_FALSE(max_lifetime_after(Millis{-30'000'000}, Millis{-1}));
  CHECK_FALSE(max_lifetime_after(std::chrono::hours(1), std::chrono::hours(1)));
}

// Guards against counting a dead holder's unused tokens as used, and against
// overspending by a holder that was partitioned for a long time.
TEST_CASE("the bound on a holder's use grows with the time since its stamp") {
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

// Guards against requests that wait longer during a partition than the bound
// requires, or that are admitted before it allows them.
TEST_CASE("TimeUntilUsageBound returns when the bound first covers an amount") {
  for (const Tokens amount : {0, 1000, 1001, 4000, 6200, 6201, 7000, 60'000}) {
    const Millis at = TimeUntilUsageBound(1000, 4000, amount);
    CHECK(UsageBound(1000, 4000, at) >= amount);
    if (amount > 1000) {
      CHECK(UsageBound(1000, 4000, at - Millis{3}) < amount);
    }
  }
}

}  // namespace crocuslatch
