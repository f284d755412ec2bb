#include "core/planned_stop.h"

#include <catch2/catch.hpp>

namespace crocuslatch {
namespace {

constexpr PlannedStopOptions kOptions;

}  // namespace

// Guards against aborting a request that arrives on an open connection while
// tokens are being returned. Such a request was aborted 17 ms after its backend
// server had begun.
TEST_CASE("a stop waits for a request that arrives while tokens are returned") {
  StopProgress progress{.since_signal = Millis{2500}};
  CHECK(NextStopStep(kOptions, progress) == StopStep::kReturnTokens);
  progress.return_elapsed = Millis{20};
  CHECK(NextStopStep(kOptions, progress) == StopStep::kWait);
  progress.open_requests = 1;
  progress.return_elapsed = Millis{60};
  progress.is_return_done = true;
  CHECK(NextStopStep(kOptions, progress) == StopStep::kWait);
  progress.open_requests = 0;
  CHECK(NextStopStep(kOptions, progress) == StopStep::kEnd);
}

// Guards against a stop that returns no tokens because a stream continues, or
// that waits forever for a ledger that does not reply.
TEST_CASE("a stop ends within the grace period") {
  StopProgress progress{.since_signal = Millis{2500}, .open_requests = 3};
  CHECK(NextStopStep(kOptions, progress) == StopStep::kWait);
  progress.since_signal = Millis{7000};
  CHECK(NextStopStep(kOptions, progress) == StopStep::kReturnTokens);
  progress.return_elapsed = Millis{499};
  CHECK(NextStopStep(kOptions, progress) == StopStep::kWait);
  progress.return_elapsed = Millis{500};
  CHECK(NextStopStep(kOptions, progress) == StopStep::kEnd);
}

}  // namespace crocuslatch
