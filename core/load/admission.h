#ifndef CORE_LOAD_ADMISSION_H_
#define CORE_LOAD_ADMISSION_H_

#include "core/desired_state.h"
#include "core/model_work.h"
#include "src/types.h"

// Defines which requests are refused because no server can serve them in their
// time, or at all.
//
// Load pattern: while the fleet is overloaded, placement still names a server
// for every request, however long its queue. Requests then wait at servers
// until their time limits, and are charged to those that could be served.

namespace crocuslatch {

struct AdmissionOptions {
  // A request is refused if its expected time exceeds the time left by this
  // factor. The estimate knows prompts, but not when the outputs that occupy an
  // engine end.
  double max_time_ratio = 2;
  Millis min_retry_after{50};
  // Limit on Retry-After as a fraction of the time left. Callers wait for at
  // most a third of it, and the retry has to be served in the rest.
  double max_retry_fraction = 0.25;
};

struct AdmissionQuery {
  // Expected time to the first event at the best server.
  double expected_ms = 0;
  Millis time_left{0};
  // Uniform in [0, 1).
  double random = 0;
};

struct AdmissionDecision {
  bool is_admitted = true;
  Millis retry_after{0};
};

AdmissionDecision DecideAdmission(const AdmissionOptions& options,
                                  const AdmissionQuery& query);

// Returns false if the caller stated the largest number, which means that it
// does not know the size.
bool StatesPromptSize(const ModelWork& work);

// Returns false if the prompt alone exceeds the memory of the service's
// engines. The output does not count, since it may end before its limit.
bool FitsEngine(const ModelWork& work, const EngineSpec& engine);

}  // namespace crocuslatch

#endif  // CORE_LOAD_ADMISSION_H_
