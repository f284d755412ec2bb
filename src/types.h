#ifndef SRC_TYPES_H_
#define SRC_TYPES_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

// Defines the value types shared by all modules: amounts, names, keys and
// outcomes.

namespace crocuslatch {

using Millis = std::chrono::milliseconds;

// An amount of model tokens. Prices of orders are stated in the same unit.
using Tokens = std::int64_t;

// Largest amount in messages and stored values. Larger amounts that callers
// state are taken as this one, which no budget exceeds.
inline constexpr Tokens kMaxTokens = Tokens{1} << 53;

// Return `a + b` and `amount * factor / divisor`, limited to [-kMaxTokens,
// kMaxTokens]. `divisor` must be above 0.
Tokens AddTokens(Tokens a, Tokens b);
Tokens ScaleTokens(Tokens amount, std::int64_t factor, std::int64_t divisor);

// 128-bit hash that identifies a request of one client account for
// deduplication.
struct RequestKey {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  // clang-tidy 14 mistakes the zero in a defaulted comparison for a pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const RequestKey&) const = default;
};

// Returns the hash of `parts` and their lengths, so that ("a","bc") and
// ("ab","c") differ.
RequestKey MakeRequestKey(std::initializer_list<std::string_view> parts);

std::string ToString(const RequestKey& key);

// Stable 64-bit hash (XXH3); equal on every host and version.
std::uint64_t StableHash(std::string_view text, std::uint64_t seed = 0);

// Number of the ledger shard that holds `budget`.
std::uint32_t ShardOfBudget(std::string_view budget, std::uint32_t shard_count);

// One incarnation of a router process, written "<host>/<16 hex digits>".
struct HolderId {
  std::string host;
  std::uint64_t incarnation = 0;
  // clang-tidy 14 mistakes the zero in a defaulted comparison for a pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const HolderId&) const = default;
};

// Returns a new holder with a random incarnation.
HolderId MakeHolderId(std::string host);

std::string ToString(const HolderId& holder);

// All outcomes of a request that a caller can receive.
enum class Outcome { kAnswered, kNotRun, kInProgress, kOutcomeUnknown };

std::string_view ToString(Outcome outcome);

}  // namespace crocuslatch

template <>
struct std::hash<crocuslatch::RequestKey> {
  std::size_t operator()(const crocuslatch::RequestKey& key) const noexcept {
    return key.high ^ (key.low * 0x9E3779B97F4A7C15ULL);
  }
};

#endif  // SRC_TYPES_H_
