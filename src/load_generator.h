#ifndef SRC_LOAD_GENERATOR_H_
#define SRC_LOAD_GENERATOR_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/load_plan.h"
#include "src/load_report.h"
#include "src/types.h"

// Defines the load generator: it sends the requests of a load plan and records
// what their callers see.

namespace crocuslatch {

struct PlannedRequest {
  // Arrival time since the start of the run.
  Millis at{0};
  // Indices in the plan.
  std::size_t stream = 0;
  std::size_t phase = 0;
  bool is_order = false;
  // Prompt of a model request, or body of an order.
  std::string content;
  std::string idempotency_key;
};

// Returns all requests in the order of arrival, at most plan.max_requests.
// Equal seeds give equal schedules except for the idempotency keys, which start
// with `key_prefix`.
std::vector<PlannedRequest> MakeSchedule(const LoadPlan& plan,
                                         std::uint64_t seed,
                                         std::string_view key_prefix);

// Result of one attempt.
struct AttemptResult {
  // "answered" or the error code.
  std::string code;
  Outcome outcome = Outcome::kOutcomeUnknown;
  Millis retry_after{0};
  // No error response arrived: the connection was refused, closed or timed
  // out.
  bool is_disconnected = false;
};

// Returns the delay before the next attempt according to the rules of the
// callers' API, or nullopt if a retry is useless.
std::optional<Millis> RetryDelay(const AttemptResult& result);

// Everything recorded during a load run.
struct LoadRun {
  std::vector<LoadTranscript> transcripts;
  LoadCounts counts;
};

// Returns the text that a deterministic engine generates for (prompt,
// max_tokens).
using ExpectedAnswer = std::function<std::string(std::string_view, Tokens)>;

// Runs the plan to its end on the calling thread's event loop. The load is
// open-loop: requests are sent at their arrival times whether or not earlier
// ones were answered. `expected_answer` is used only if
// plan.check_standin_answers is set.
LoadRun RunLoad(const LoadPlan& plan,
                std::uint64_t seed,
                const ExpectedAnswer& expected_answer);

}  // namespace crocuslatch

#endif  // SRC_LOAD_GENERATOR_H_
