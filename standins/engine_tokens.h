#ifndef STANDINS_ENGINE_TOKENS_H_
#define STANDINS_ENGINE_TOKENS_H_

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <sstream>
#include <string>
#include <string_view>

#include "src/types.h"

// Defines what standin_engine answers to a prompt, so that a test can check
// that an answer is whole and belongs to its prompt. Header only: tests do not
// link the stand-ins.

namespace crocuslatch::standins {

// Text of token `index` (from 0) of the answer to `prompt`.
inline std::string EngineToken(std::string_view prompt, std::int64_t index) {
  const auto hash = StableHash(prompt, static_cast<std::uint64_t>(index));
  return fmt::format(" {:06x}", hash & 0xFFFFFF);
}

// Number of whitespace-separated words.
inline Tokens CountPromptTokens(std::string_view prompt) {
  std::istringstream words{std::string(prompt)};
  std::string it;
  Tokens n = 0;
  while (words >> it) {
    ++n;
  }
  return n;
}

// Number of tokens in the answer: `max_tokens`, or less if the prompt contains
// a word "stop:<n>".
inline Tokens AnswerLength(std::string_view prompt, Tokens max_tokens) {
  constexpr std::string_view kStopWord = "stop:";
  const auto at = prompt.find(kStopWord);
  if (at == std::string_view::npos) {
    return max_tokens;
  }
  Tokens n = max_tokens;
  const auto* begin = prompt.data() + at + kStopWord.size();
  std::from_chars(begin, prompt.data() + prompt.size(), n);
  return std::min(n, max_tokens);
}

// The whole answer.
inline std::string EngineAnswer(std::string_view prompt, Tokens max_tokens) {
  const auto length = AnswerLength(prompt, max_tokens);
  std::string answer;
  for (Tokens i = 0; i < length; ++i) {
    answer += EngineToken(prompt, i);
  }
  return answer;
}

}  // namespace crocuslatch::standins

#endif  // STANDINS_ENGINE_TOKENS_H_
