#include "src/types.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <QRandomGenerator>
#include <algorithm>

namespace crocuslatch {

RequestKey MakeRequestKey(std::initializer_list<std::string_view> parts) {
  std::string buf;
  for (const auto& it : parts) {
    buf += fmt::format("{}:", it.size());
    buf += it;
  }
  const XXH128_hash_t hash = XXH3_128bits(buf.data(), buf.size());
  return {hash.high64, hash.low64};
}

std::string ToString(const RequestKey& key) {
  return fmt::format("{:016x}{:016x}", key.high, key.low);
}

std::uint64_t StableHash(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

Tokens AddTokens(Tokens a, Tokens b) {
  Tokens sum = 0;
  if (__builtin_add_overflow(a, b, &sum)) {
    return a < 0 ? -kMaxTokens : kMaxTokens;
  }
  return std::clamp(sum, -kMaxTokens, kMaxTokens);
}

Tokens ScaleTokens(Tokens amount, std::int64_t factor, std::int64_t divisor) {
  Tokens product = 0;
  if (!__builtin_mul_overflow(amount, factor, &product)) {
    return std::clamp(product / divisor, -kMaxTokens, kMaxTokens);
  }
  // The product does not fit, so its size matters more than its last digits.
  const double scaled = static_cast<double>(amount) *
                        static_cast<double>(factor) /
                        static_cast<double>(divisor);
  constexpr auto kLimit = static_cast<double>(kMaxTokens);
  return static_cast<Tokens>(std::clamp(scaled, -kLimit, kLimit));
}

std::uint32_t ShardOfBudget(std::string_view budget,
                            std::uint32_t shard_count) {
  return static_cast<std::uint32_t>(StableHash(budget) % shard_count);
}

HolderId MakeHolderId(std::string host) {
  return {std::move(host), QRandomGenerator::system()->generate64()};
}

std::string ToString(const HolderId& holder) {
  return fmt::format("{}/{:016x}", holder.host, holder.incarnation);
}

std::string_view ToString(Outcome outcome) {
  switch (outcome) {
    case Outcome::kAnswered:
      return "answered";
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kInProgress:
      return "in_progress";
    case Outcome::kOutcomeUnknown:
      return "outcome_unknown";
  }
  return "outcome_unknown";
}

}  // namespace crocuslatch
