#ifndef CORE_PLANNED_STOP_H_
#define CORE_PLANNED_STOP_H_

#include <cstddef>

#include "src/types.h"

// Defines the steps of a planned stop once the host is out of rotation:
// requests in flight are drained, held tokens are returned to the ledger, and
// the process exits when both are done.
//
// Load pattern: callers keep using their open connections until the process
// exits, so requests also arrive while tokens are being returned.

namespace crocuslatch {

struct PlannedStopOptions {
  // Time from SIGTERM to SIGKILL.
  Millis grace{8000};
  // Part of the grace period reserved for returning tokens.
  Millis return_margin{1000};
  // Maximum time to wait for the return of tokens.
  Millis max_return_time{500};
};

struct StopProgress {
  Millis since_signal{0};
  std::size_t open_requests = 0;
  // Time since the return of tokens was started; negative before that.
  Millis return_elapsed{-1};
  bool is_return_done = false;
};

enum class StopStep {
  kWait,
  kReturnTokens,
  kEnd,
};

// Returns the next step for the current progress.
StopStep NextStopStep(const PlannedStopOptions& options,
                      const StopProgress& progress);

}  // namespace crocuslatch

#endif  // CORE_PLANNED_STOP_H_
