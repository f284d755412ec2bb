#ifndef CORE_PLANNED_STOP_H_
#define CORE_PLANNED_STOP_H_

#include <cstddef>

#include "src/types.h"

// Defines the order of a planned stop once the host is out of rotation: what
// runs is finished, tokens go back, and the process ends when both are over.
//
// Load pattern: callers keep using their open connections until the process is
// gone, so that requests also come while tokens go back.

namespace crocuslatch {

struct PlannedStopOptions {
  // From SIGTERM to SIGKILL.
  Millis grace{8000};
  // Kept free at the end of the grace time to return what is held.
  Millis reserve{1000};
  // Longest wait for the return of tokens.
  Millis longest_return{500};
};

struct StopProgress {
  Millis since_signal{0};
  std::size_t open_requests = 0;
  // Tokens are on their way back since this time; negative before that.
  Millis return_elapsed{-1};
  bool is_return_done = false;
};

enum class StopStep {
  kWait,
  kReturnTokens,
  kEnd,
};

StopStep NextStopStep(const PlannedStopOptions& options,
                      const StopProgress& progress);

}  // namespace crocuslatch

#endif  // CORE_PLANNED_STOP_H_
