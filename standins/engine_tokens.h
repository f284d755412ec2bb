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

// Defines the deterministic answers of standin_engine, so that a test can check
// that an answer is complete and belongs to its prompt. Header-only because the
// tests do not link the stand-ins.

namespace crocuslatch::standins {

// Returns the text of token `index` (0-based) of the answer to `prompt`.
inline std::string EngineToken(std::string_view prompt, std::int64_t index) {
  const auto hash = StableHash(prompt, static_cast<std::uint64_t>(index));
  return fmt::format(" {:06x}", hash & 0xFFFFFF);
}

// Counts the whitespace-separated words of the prompt; each is one token.
inline Tokens CountPromptTokens(std::string_view prompt) {
  std::istringstream words{std::string(prompt)};
  std::string word;
  Tokens n = 0;
  while (words >> word) {
    ++n;
  }
  return n;
}

// Returns the number of tokens in the answer: `max_tokens`, or `n` if the
// prompt contains "stop:<n>" and `n` is smaller.
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

// Returns the text of the complete answer.
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
