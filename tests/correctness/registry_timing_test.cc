#include "core/registry_timing.h"

#include <catch2/catch.hpp>

namespace crocuslatch {

// Guards against delays that are bounded one by one and pass the bound together
// (DRAIN).
TEST_CASE("the delays of the registry leave half of the drain bound") {
  const Millis drain{GENERATE(500, 1000, 2000, 8000, 30000)};
  const auto timing = MakeRegistryTiming(drain);
  CHECK(MaxUnreadTime(timing) <= drain / 2);
  CHECK(timing.shared_read_ttl < timing.poll_period);
  CHECK(2 * timing.shared_read_ttl > timing.poll_period);
  CHECK(timing.late_after < drain);
}

// Guards against a domain that still gets requests after the bound, since the
// delays of its hosts add up.
TEST_CASE("the delays of evacuations leave half of their bound") {
  const Millis evacuate{GENERATE(500, 1000, 5000, 30000)};
  const auto timing = MakeEvacuationTiming(evacuate);
  CHECK(MaxUnreadTime(timing) <= evacuate / 2);
  // Well under one call per second and failure domain at 5 s.
  CHECK((evacuate < Millis{5000} || timing.watch_duration >= Millis{2000}));
}

}  // namespace crocuslatch
