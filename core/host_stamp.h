#ifndef CORE_HOST_STAMP_H_
#define CORE_HOST_STAMP_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "src/types.h"

// Defines the stamp that tells how long a process can have lived.
//
// A holder of tokens tells the ledger a bound of what it uses beyond its last
// exchange, which grows with the time since its last stamp (shard_state.h). It
// writes a stamp with its clocks at short intervals, and none while it uses
// more than the bound allows at the moment of a stamp. The next process of the
// same host finds from the clocks how long the holder can have lived at most,
// and takes back what it cannot have used in that time.

namespace crocuslatch {

struct HostStamp {
  // Of the process that wrote the stamp.
  std::uint64_t incarnation = 0;
  // Time since the host was started, suspensions included. Starts anew, at any
  // value, when the host is started.
  Millis boot_time{0};
  // Time of day since 1970. Can be set forward and backward.
  Millis wall_time{0};
  // Of the host's own link, 0 if it is not known. Peers prefer a host with much
  // of it for work that they share.
  std::int64_t link_mbps = 0;
  // "<IP number>:<port>" where the process listens for its peers.
  std::string peer_address;
  bool operator==(const HostStamp&) const = default;
};

std::string EncodeHostStamp(const HostStamp& stamp);
// nullopt if the text is no stamp.
std::optional<HostStamp> DecodeHostStamp(std::string_view text);

struct HostStampOptions {
  // Largest difference of two clocks that agree.
  Millis clock_tolerance{200};
  // What the time of day may have been set back by while the host was started
  // again, when no other clock is left.
  Millis longest_step{400};
  // Nothing is concluded about a longer time.
  Millis longest_life{std::chrono::minutes(10)};
};

// Longest time that the process which wrote `stamp` can have lived after it,
// given the clocks at the start of the next process of the host. nullopt if
// the clocks do not tell.
std::optional<Millis> MaxLifetime(const HostStamp& stamp,
                                  const HostStamp& start,
                                  const HostStampOptions& options);

}  // namespace crocuslatch

#endif  // CORE_HOST_STAMP_H_
