#include "core/planned_stop.h"

namespace crocuslatch {

StopStep NextStopStep(const PlannedStopOptions& options,
                      const StopProgress& progress) {
  const bool has_time =
      progress.since_signal < options.grace - options.return_margin;
  if (progress.open_requests > 0 && has_time) {
    return StopStep::kWait;
  }
  if (progress.return_elapsed < Millis{0}) {
    return StopStep::kReturnTokens;
  }
  const bool can_end = progress.is_return_done ||
                       progress.return_elapsed >= options.max_return_time;
  return can_end ? StopStep::kEnd : StopStep::kWait;
}

}  // namespace crocuslatch
