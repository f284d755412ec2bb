#ifndef CORE_HOST_STAMP_H_
#define CORE_HOST_STAMP_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "src/types.h"

// Defines the timestamp record (stamp) from which a restarted process derives
// how long its predecessor can have lived.
//
// A host that holds tokens declares to the ledger an upper bound on what it
// uses beyond its last exchange. The bound grows with the time since the host's
// last stamp (shard_state.h). The host writes a stamp with its clock readings
// at short intervals, but not while it uses more than the bound allows right
// after a stamp. The next process on the same host computes from the clocks how
// long its predecessor can have lived and reclaims the tokens that it cannot
// have used in that time.

namespace crocuslatch {

struct HostStamp {
  // Incarnation of the process that wrote the stamp.
  std::uint64_t incarnation = 0;
  // Time since boot, including suspensions. Restarts at an arbitrary value
  // when the host boots.
  Millis boot_time{0};
  // Wall-clock time since 1970. Can be set forward and backward.
  Millis wall_time{0};
  // Bandwidth of the host's own link; 0 if unknown. Peers prefer hosts with
  // high bandwidth for shared work.
  std::int64_t link_mbps = 0;
  // "<IP address>:<port>" where the process listens for its peers.
  std::string peer_address;
  // Empty if unknown.
  std::string failure_domain;
  bool operator==(const HostStamp&) const = default;
};

std::string EncodeHostStamp(const HostStamp& stamp);
// Returns nullopt if the text is not a valid stamp.
std::optional<HostStamp> DecodeHostStamp(std::string_view text);

struct HostStampOptions {
  // Maximum difference between the intervals measured by two clocks that
  // agree.
  Millis clock_tolerance{200};
  // How far the wall clock may have been set back during a reboot, when no
  // other clock is available.
  Millis max_clock_step{400};
  // No conclusion is drawn about longer intervals.
  Millis max_lifetime{std::chrono::minutes(10)};
};

// Returns how long the process that wrote `stamp` can have lived after it, at
// most. `start` has the clock readings at the start of the next process on the
// host. Returns nullopt if the clocks do not allow a conclusion.
std::optional<Millis> MaxLifetime(const HostStamp& stamp,
                                  const HostStamp& start,
                                  const HostStampOptions& options);

}  // namespace crocuslatch

#endif  // CORE_HOST_STAMP_H_
