#ifndef CORE_MODEL_WORK_H_
#define CORE_MODEL_WORK_H_

#include <string>
#include <vector>

#include "src/types.h"

// Defines what a request asks of a model engine.

namespace crocuslatch {

// A part of a prompt that engines may have cached.
struct PromptPart {
  std::string id;
  Tokens tokens = 0;
  bool operator==(const PromptPart&) const = default;
};

struct ModelWork {
  std::string model;
  Tokens prompt_tokens = 0;
  Tokens max_output_tokens = 0;
  // The caller's estimate of the output; 0 if it made none. Often far off.
  Tokens expected_output_tokens = 0;
  // In the order of the prompt. The last one belongs to the request alone,
  // the one before it to a session or subject that other requests share.
  std::vector<PromptPart> parts;
  bool operator==(const ModelWork&) const = default;
};

}  // namespace crocuslatch

#endif  // CORE_MODEL_WORK_H_
