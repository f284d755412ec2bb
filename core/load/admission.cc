#include "core/load/admission.h"

#include <algorithm>

namespace crocuslatch {

AdmissionDecision DecideAdmission(const AdmissionOptions& options,
                                  const AdmissionQuery& query) {
  const auto left = static_cast<double>(query.time_left.count());
  if (query.expected_ms <= options.max_time_ratio * left) {
    return {};
  }
  // Capacity for the request is available once the queue is as short as the
  // time left. Only part of the delay is used, and at random, so that refused
  // callers do not come back together.
  const auto earliest = static_cast<double>(options.min_retry_after.count());
  const double latest = std::max(
      earliest,
      std::min(query.expected_ms - left, options.max_retry_fraction * left));
  return {false, Millis{static_cast<Millis::rep>(
                     earliest + (latest - earliest) * query.random)}};
}

bool StatesPromptSize(const ModelWork& work) {
  return work.prompt_tokens < kMaxTokens;
}

bool FitsEngine(const ModelWork& work, const EngineSpec& engine) {
  return engine.kv_capacity <= 0 || !StatesPromptSize(work) ||
         work.prompt_tokens <= engine.kv_capacity;
}

}  // namespace crocuslatch
