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

}  // namespace crocuslatch
