#include "src/types.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <QRandomGenerator>

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
