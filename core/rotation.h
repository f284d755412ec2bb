#ifndef CORE_ROTATION_H_
#define CORE_ROTATION_H_

#include <deque>

#include "src/types.h"

// Defines when a host leaves the balancer's rotation because its link is full.
//
// Load pattern: the balancer spreads connections by a hash of the caller, so
// that one small host of sixty gets a third of all prompts. Its link of 10
// Mbit/s fills up, and requests wait there longer than at any engine, while
// the hosts beside it are idle. Out of rotation it keeps no connections either,
// so that its callers come to other hosts.

namespace crocuslatch {

struct RotationOptions {
  // Time over which the use of the link is taken.
  Millis window{1000};
  // The host leaves above this part of the link and comes back below the lower
  // one. Bodies go in and out again, and bursts of 17 KB prompts queue at half
  // of the link already.
  double leave_part = 0.4;
  double return_part = 0.2;
  // Time out of rotation; the balancer needs two probes to notice. It doubles
  // each time, since the same callers come back by their hash: with 4 s one
  // host of 67 filled up four times in 30 s.
  Millis first_time{8000};
  Millis longest_time{60000};
};

class RotationPolicy {
 public:
  // `link_bytes_per_s` of 0 means that the link is not known and never full.
  RotationPolicy(RotationOptions options, double link_bytes_per_s);

  // A request of this size has arrived.
  void OnRequest(std::size_t bytes, Millis now);
  // Decides anew.
  bool IsLinkFull(Millis now);
  // Bytes a second of the last window.
  double BytesPerSecond(Millis now);

 private:
  struct Arrival {
    Millis at{0};
    std::size_t bytes = 0;
  };

  const RotationOptions options_;
  const double link_;
  std::deque<Arrival> arrivals_;
  std::size_t sum_ = 0;
  bool is_full_ = false;
  Millis changed_at_{0};
  // Time out of rotation at present or the next time.
  Millis time_out_;
};

}  // namespace crocuslatch

#endif  // CORE_ROTATION_H_
