#ifndef CORE_REGISTRY_TIMING_H_
#define CORE_REGISTRY_TIMING_H_

#include "src/types.h"

// Defines how the bound on draining backend servers is divided among the delays
// with which a host learns that a server is draining or gone.
//
// Load pattern: one host reads the registry for all hosts of a failure domain
// and may fall silent at any time, links are full, and the hosts' processors
// are busy. The delays that this module sets take less than half of the bound;
// the rest is for the host's own read of the store and for what cannot be
// bounded here: the queue at its link and the lag of its event loop.

namespace crocuslatch {

struct RegistryTiming {
  // Time from the moment at which a snapshot was read at the store to the start
  // of the next read.
  Millis poll_period{0};
  // A read is shared with all hosts that ask within this time of its start.
  // More than half of the period, so that hosts end up reading at the same
  // moment and share all reads.
  Millis shared_read_ttl{0};
  // Time after which a host reads for itself if its aggregator is silent.
  Millis aggregator_timeout{0};
  // Age of a snapshot from which its replacement is logged as late.
  Millis late_after{0};
  auto operator<=>(const RegistryTiming&) const = default;
};

// `drain` is the time after which a draining server must get no request.
RegistryTiming MakeRegistryTiming(Millis drain);

// Time from a change of the registry until a host reads it at the store itself,
// if its aggregator has fallen silent.
Millis MaxUnreadTime(const RegistryTiming& timing);

// The same for evacuated failure domains. Their keys rarely change, so hosts
// share a watch of the store instead of reading.
struct EvacuationTiming {
  // Duration of one watch. While nothing changes, each watch of a failure
  // domain is one call of the store.
  Millis watch_duration{0};
  // Time beyond its duration after which a shared watch counts as failed: its
  // connection may have gone silent.
  Millis watch_overdue{0};
  // Time beyond its duration after which a host stops waiting for a watch of
  // its aggregator.
  Millis aggregator_timeout{0};
  auto operator<=>(const EvacuationTiming&) const = default;
};

// `evacuate` is the time after which servers of an evacuated failure domain
// must get no request.
EvacuationTiming MakeEvacuationTiming(Millis evacuate);

// Time from an evacuation until a host asks the store itself, if its aggregator
// or the aggregator's connection to the store has fallen silent.
Millis MaxUnreadTime(const EvacuationTiming& timing);

}  // namespace crocuslatch

#endif  // CORE_REGISTRY_TIMING_H_
