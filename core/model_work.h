#ifndef CORE_MODEL_WORK_H_
#define CORE_MODEL_WORK_H_

#include <string>
#include <vector>

#include "src/types.h"

// Defines the work that a request causes on a model engine.

namespace crocuslatch {

// A part of a prompt that may be in an engine's prefix cache.
struct PromptPart {
  std::string id;
  Tokens tokens = 0;
  bool operator==(const PromptPart&) const = default;
};

struct ModelWork {
  std::string model;
  Tokens prompt_tokens = 0;
  Tokens max_output_tokens = 0;
  // The caller's estimate of the output; 0 if there is none. Often inaccurate.
  Tokens expected_output_tokens = 0;
  // In prompt order. The last part is specific to the request; the one before
  // it belongs to a session or subject that other requests share.
  std::vector<PromptPart> parts;
  bool operator==(const ModelWork&) const = default;
};

}  // namespace crocuslatch

#endif  // CORE_MODEL_WORK_H_
