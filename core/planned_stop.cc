#include "core/planned_stop.h"

namespace crocuslatch {

StopStep NextStopStep(const PlannedStopOptions& options,
                      const StopProgress& progress) {
  const bool has_time = progress.since_signal < options.grace - options.reserve;
  if (progress.open_requests > 0 && has_time) {
    return StopStep::kWait;
  }
  if (progress.return_elapsed < Millis{0}) {
    return StopStep::kReturnTokens;
  }
  const bool is_over = progress.is_return_done ||
                       progress.return_elapsed >= options.longest_return;
  return is_over ? StopStep::kEnd : StopStep::kWait;
}

}  // namespace crocuslatch
