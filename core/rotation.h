#ifndef CORE_ROTATION_H_
#define CORE_ROTATION_H_

#include <deque>

#include "core/exclusion.h"
#include "src/types.h"

// Defines when a host leaves the balancer's rotation because its link is full.
//
// Load pattern: the balancer distributes connections by a hash of the caller,
// so a single small host out of sixty can receive a third of all prompts. Its
// 10 Mbit/s link is saturated, and requests wait there longer than at any
// engine, while other hosts are idle. While it is out of rotation, a host also
// closes its connections after each response, so that its callers move to other
// hosts.

namespace crocuslatch {

struct RotationOptions {
  // Time over which the link utilization is averaged.
  Millis window{1000};
  // Utilization of the link above which the host leaves the rotation, and below
  // which it returns. Only incoming bodies are counted, but each is sent out
  // again, and bursts of 17 KB prompts already queue at half utilization.
  double leave_utilization = 0.4;
  double return_utilization = 0.2;
  // Minimum time out of rotation; the balancer needs two probes to notice a
  // change. It doubles each time, because the hash assigns the same callers to
  // the host again.
  ExclusionOptions exclusion;
};

class RotationPolicy {
 public:
  // A `link_bytes_per_s` of 0 means that the bandwidth is unknown; the link is
  // then never considered full.
  RotationPolicy(RotationOptions options, double link_bytes_per_s);

  // Records the arrival of a request.
  void OnRequest(std::size_t bytes, Millis now);
  // Updates and returns the decision: true if the host must be out of rotation.
  bool IsLinkFull(Millis now);
  // Mean rate of incoming bytes over the last window.
  double BytesPerSecond(Millis now);

 private:
  struct Arrival {
    Millis at{0};
    std::size_t bytes = 0;
  };

  const RotationOptions options_;
  const double link_bytes_per_s_;
  std::deque<Arrival> arrivals_;
  std::size_t window_bytes_ = 0;
  Exclusion exclusion_;
};

}  // namespace crocuslatch

#endif  // CORE_ROTATION_H_
