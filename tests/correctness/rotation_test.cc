#include "core/rotation.h"

#include <catch2/catch.hpp>

namespace crocuslatch {
namespace {

// 10 Mbit/s.
constexpr double kSmallLink = 1.25e6;
constexpr std::size_t kPromptBytes = 17'000;

// Sends prompts at this rate for a time and tells whether the link ever was
// full.
bool Load(RotationPolicy& rotation, int per_second, Millis from, Millis time) {
  bool is_full = false;
  for (Millis now = from; now < from + time; now += Millis{1000 / per_second}) {
    rotation.OnRequest(kPromptBytes, now);
    is_full = rotation.IsLinkFull(now) || is_full;
  }
  return is_full;
}

}  // namespace

// Replays a third of the prompts of sixty hosts at one small host: on the grown
// site its requests waited for the link longer than their target.
TEST_CASE("a host whose link is full leaves the rotation until it is empty") {
  RotationPolicy rotation({}, kSmallLink);
  CHECK_FALSE(Load(rotation, 10, Millis{0}, Millis{5000}));
  CHECK(Load(rotation, 50, Millis{5000}, Millis{2000}));
  // Probes come once a second, and two in a row count.
  CHECK(rotation.IsLinkFull(Millis{12'000}));
  CHECK_FALSE(rotation.IsLinkFull(Millis{14'000}));
}

// Guards against callers that come back by their hash and fill the link again
// and again.
TEST_CASE("a host that fills up again stays out longer") {
  RotationPolicy rotation({}, kSmallLink);
  CHECK(Load(rotation, 50, Millis{0}, Millis{2000}));
  CHECK_FALSE(rotation.IsLinkFull(Millis{10'000}));
  CHECK(Load(rotation, 50, Millis{10'000}, Millis{2000}));
  CHECK(rotation.IsLinkFull(Millis{25'000}));
  CHECK_FALSE(rotation.IsLinkFull(Millis{28'000}));
}

// Guards against a host that comes and goes with every burst.
TEST_CASE("a host out of rotation stays out while it is still busy") {
  RotationPolicy rotation({}, kSmallLink);
  CHECK(Load(rotation, 50, Millis{0}, Millis{2000}));
  Load(rotation, 20, Millis{2000}, Millis{8000});
  CHECK(rotation.IsLinkFull(Millis{9990}));
  CHECK_FALSE(rotation.IsLinkFull(Millis{11'500}));
}

// Guards against hosts that leave although their link is not known or fast.
TEST_CASE("a fast or unknown link is never full") {
  RotationPolicy unknown({}, 0);
  CHECK_FALSE(Load(unknown, 200, Millis{0}, Millis{3000}));
  RotationPolicy fast({}, 100 * kSmallLink);
  CHECK_FALSE(Load(fast, 200, Millis{0}, Millis{3000}));
}

}  // namespace crocuslatch
