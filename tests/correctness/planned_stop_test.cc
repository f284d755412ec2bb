#include "core/planned_stop.h"

#include <catch2/catch.hpp>

namespace crocuslatch {
namespace {

constexpr PlannedStopOptions kOptions;

}  // namespace

// Replays hunt-81ae-31 of Lindikuivati: a request came on an open connection
// while tokens went back, and was cut 17 ms after its server had begun.
TEST_CASE("a stop waits for a request that comes while tokens go back") {
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

// Guards against a stop that takes no tokens back because a stream goes on, or
// that waits for a ledger which does not answer.
TEST_CASE("a stop ends within its time") {
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
