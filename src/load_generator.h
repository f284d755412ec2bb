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

// Defines the generator that sends a plan's requests and records what their
// callers see.

namespace crocuslatch {

struct PlannedRequest {
  // From the start of the run.
  Millis at{0};
  // Indexes in the plan.
  std::size_t stream = 0;
  std::size_t phase = 0;
  bool is_order = false;
  // Prompt, or the order's body.
  std::string content;
  std::string idempotency_key;
};

// All requests in the order of their arrival; equal seeds give equal schedules
// but for the keys, which start with `key_prefix`. At most
// plan.max_requests.
std::vector<PlannedRequest> MakeSchedule(const LoadPlan& plan,
                                         std::uint64_t seed,
                                         std::string_view key_prefix);

// How one attempt ended.
struct AttemptEnd {
  // "answered" or the stable code of the error.
  std::string code;
  Outcome outcome = Outcome::kOutcomeUnknown;
  Millis retry_after{0};
  // No error arrived: the connection was refused, closed or silent.
  bool is_cut = false;
};

// Wait before the next attempt by the rules of the callers' interface;
// nothing if a retry is useless.
std::optional<Millis> RetryWait(const AttemptEnd& end);

struct LoadRun {
  std::vector<LoadTranscript> transcripts;
  LoadCounts counts;
};

// The answer of a known engine to (prompt, max_tokens).
using ExpectedAnswer = std::function<std::string(std::string_view, Tokens)>;

// Runs the plan on the calling thread's event loop until its end. The open
// loop never waits for answers before it sends the next request.
LoadRun RunLoad(const LoadPlan& plan,
                std::uint64_t seed,
                const ExpectedAnswer& expected_answer);

}  // namespace crocuslatch

#endif  // SRC_LOAD_GENERATOR_H_
