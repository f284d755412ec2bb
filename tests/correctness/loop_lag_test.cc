#include "core/load/loop_lag.h"

#include <catch2/catch.hpp>

namespace crocuslatch {
namespace {

// Ticks every `interval` in [from, from + time) and returns whether the host
// was ever overloaded.
bool Tick(LoopLag& lag, Millis interval, Millis from, Millis time) {
  bool is_overloaded = false;
  for (Millis now = from; now < from + time; now += interval) {
    lag.OnTick(now);
    is_overloaded = lag.IsOverloaded(now) || is_overloaded;
  }
  return is_overloaded;
}

}  // namespace

// Guards against requests that count as new although they waited for a second.
TEST_CASE("data that a late loop reads may have waited since its last pass") {
  LoopLag lag({}, Millis{0});
  lag.OnTick(Millis{50});
  CHECK(lag.MaxUnreadTime(Millis{70}) == Millis{0});
  // The timers of a busy loop are a few milliseconds late.
  CHECK(lag.MaxUnreadTime(Millis{120}) == Millis{0});
  // The loop handles a long batch of events.
  CHECK(lag.MaxUnreadTime(Millis{800}) == Millis{700});
  lag.OnTick(Millis{800});
  // What is read now arrived during that batch or later.
  CHECK(lag.MaxUnreadTime(Millis{810}) == Millis{700});
  lag.OnTick(Millis{850});
  CHECK(lag.MaxUnreadTime(Millis{860}) == Millis{0});
}

// Guards against a host that stays in rotation while every request on it waits
// longer than the shortest latency target.
TEST_CASE("a host whose loop stays late leaves the rotation") {
  LoopLag lag({}, Millis{0});
  CHECK_FALSE(Tick(lag, Millis{50}, Millis{50}, Millis{2000}));
  CHECK(Tick(lag, Millis{350}, Millis{2000}, Millis{2000}));
  // Stays out until the loop is on time and the balancer has noticed.
  CHECK(Tick(lag, Millis{50}, Millis{4000}, Millis{500}));
  Tick(lag, Millis{50}, Millis{4500}, Millis{3500});
  CHECK_FALSE(lag.IsOverloaded(Millis{8000}));
}

// Guards against a host that leaves after one long event, such as the first
// desired state or a short freeze.
TEST_CASE("one late tick of a few hundred milliseconds is not an overload") {
  LoopLag lag({}, Millis{0});
  Tick(lag, Millis{50}, Millis{50}, Millis{1000});
  CHECK_FALSE(Tick(lag, Millis{50}, Millis{1300}, Millis{1000}));
}

}  // namespace crocuslatch
