#ifndef CORE_HOST_STAMP_H_
#define CORE_HOST_STAMP_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "src/types.h"

// Defines the stamp by which a host that died can be told to have died online.
//
// A holder of tokens that is cut off from the store uses what it was granted;
// one that reaches the store uses no more than the ledger knows ("armed"). It
// writes a stamp with its clocks at short intervals and counts as online until
// `offline_after` from the last stamp that it tried to write. If the next
// process of the same host finds that so little time has passed since that
// stamp that the holder cannot have gone offline, the rest of its grants can
// be taken back.

namespace crocuslatch {

struct HostStamp {
  // Of the process that wrote the stamp.
  std::uint64_t incarnation = 0;
  // Time since the host was started, suspensions included. Starts anew, at any
  // value, when the host is started.
  Millis boot_time{0};
  // Time of day since 1970. Can be set forward and backward.
  Millis wall_time{0};
  bool operator==(const HostStamp&) const = default;
};

std::string EncodeHostStamp(const HostStamp& stamp);
// nullopt if the text is no stamp.
std::optional<HostStamp> DecodeHostStamp(std::string_view text);

struct HostStampOptions {
  // One stamp each.
  Millis period{1000};
  // Online until this long after the last stamp that may have been written.
  Millis offline_after{3300};
  // Latest start of the next process after a stamp, by two clocks that agree.
  Millis restart_time{3000};
  // The same after the host itself was started again, when only the time of
  // day is left. The difference to `offline_after` is what that clock may have
  // been set back by.
  Millis reboot_time{2200};
  // Largest difference of two clocks that agree.
  Millis clock_tolerance{200};
};

// True if a process that wrote `stamp` cannot have gone offline before the
// process with the clocks of `start` began on the same host.
bool DiedOnline(const HostStamp& stamp,
                const HostStamp& start,
                const HostStampOptions& options);

}  // namespace crocuslatch

#endif  // CORE_HOST_STAMP_H_
