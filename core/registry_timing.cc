#include "core/registry_timing.h"

#include <algorithm>

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

EvacuationTiming MakeEvacuationTiming(Millis evacuate) {
  return {.watch_duration = evacuate * 2 / 5,
          .watch_overdue = std::min(Millis{300}, evacuate / 10),
          .aggregator_timeout = std::min(Millis{300}, evacuate / 10)};
}

Millis MaxUnreadTime(const EvacuationTiming& timing) {
  return timing.watch_duration +
         std::max(timing.watch_overdue, timing.aggregator_timeout);
}

}  // namespace crocuslatch
