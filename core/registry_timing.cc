#include "core/registry_timing.h"

namespace crocuslatch {

RegistryTiming MakeRegistryTiming(Millis drain) {
  return {.poll_period = drain * 3 / 10,
          .shared_read_ttl = drain / 5,
          .aggregator_timeout = drain * 3 / 20,
          .late_after = drain * 3 / 4};
}

Millis MaxUnreadTime(const RegistryTiming& timing) {
  return timing.poll_period + timing.aggregator_timeout;
}

}  // namespace crocuslatch
