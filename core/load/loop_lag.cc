#include "core/load/loop_lag.h"

#include <algorithm>

namespace crocuslatch {

LoopLag::LoopLag(LoopLagOptions options, Millis now)
    : options_(options), last_tick_(now), exclusion_(options.exclusion) {}

Millis LoopLag::CurrentLag(Millis now) const {
  const Millis lag = now - last_tick_ - options_.tick_period;
  return lag > options_.tolerance ? lag : Millis{0};
}

void LoopLag::OnTick(Millis now) {
  last_lag_ = CurrentLag(now);
  last_tick_ = now;
  // A late tick stands for all the ticks that should have happened meanwhile.
  const auto missed = last_lag_ / options_.tick_period;
  for (Millis::rep n = 0; n <= missed; ++n) {
    average_ms_ += options_.smoothing *
                   (static_cast<double>(last_lag_.count()) - average_ms_);
  }
}

Millis LoopLag::MaxUnreadTime(Millis now) const {
  // Data that is read in this iteration arrived after the start of the previous
  // one, which took as long as the last tick was late.
  return CurrentLag(now) + last_lag_;
}

bool LoopLag::IsOverloaded(Millis now) {
  const auto lag_ms =
      std::max(average_ms_, static_cast<double>(CurrentLag(now).count()) *
                                options_.smoothing);
  const auto exceeds = [lag_ms](Millis limit) {
    return lag_ms > static_cast<double>(limit.count());
  };
  return exclusion_.Update(exceeds(options_.leave_lag),
                           !exceeds(options_.return_lag), now);
}

}  // namespace crocuslatch
