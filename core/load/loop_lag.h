#ifndef CORE_LOAD_LOOP_LAG_H_
#define CORE_LOAD_LOOP_LAG_H_

#include "core/exclusion.h"
#include "src/types.h"

// Defines how late the event loop runs, and when a host leaves the balancer's
// rotation because its processor is overloaded.
//
// Load pattern: one client account sends several times its usual traffic to two
// hosts with a quarter of a core each. Their event loops fall behind by more
// than a second. Requests wait unread in the kernel's buffers, where their time
// limits pass and their callers leave, and the backend servers then run
// requests that nobody waits for. Meanwhile, the hosts of other failure domains
// are nearly idle.
//
// The loop calls OnTick in a fixed period. A late tick means that everything
// the loop read since the previous one may have been waiting for as long.

namespace crocuslatch {

struct LoopLagOptions {
  Millis tick_period{50};
  // Shorter lags are ignored: timers fire a few milliseconds late.
  Millis tolerance{30};
  // Weight of the latest tick in the average lag, which covers about a second.
  double smoothing = 0.05;
  // Average lag above which the host leaves the rotation, and below which it
  // returns. The callers' shortest latency target is 100 ms.
  Millis leave_lag{120};
  Millis return_lag{30};
  // The balancer needs two probes to notice a change.
  ExclusionOptions exclusion{.initial_time = Millis{3000},
                             .max_time = Millis{12000}};
};

class LoopLag {
 public:
  LoopLag(LoopLagOptions options, Millis now);

  void OnTick(Millis now);
  Millis tick_period() const { return options_.tick_period; }

  // Longest time that data which is read now can have been waiting unread.
  Millis MaxUnreadTime(Millis now) const;
  // Average lag of the recent ticks, in milliseconds.
  double AverageMs() const { return average_ms_; }
  // Updates and returns the decision: true if the host must be out of rotation.
  bool IsOverloaded(Millis now);

 private:
  // Lag of a tick that happens now.
  Millis CurrentLag(Millis now) const;

  const LoopLagOptions options_;
  Millis last_tick_;
  // Lag of the last tick.
  Millis last_lag_{0};
  double average_ms_ = 0;
  Exclusion exclusion_;
};

}  // namespace crocuslatch

#endif  // CORE_LOAD_LOOP_LAG_H_
