#ifndef STANDINS_PREFIX_CACHE_H_
#define STANDINS_PREFIX_CACHE_H_

#include <QJsonObject>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string_view>
#include <tuple>
#include <utility>

#include "src/types.h"

// Defines the stand-in engine's prefix cache and the events that it reports.

namespace crocuslatch::standins {

// A prefix is cached in whole blocks of the prompt.
inline constexpr std::size_t kCacheBlockBytes = 256;

class PrefixCache {
 public:
  // Stores the prefixes of `prompt`, evicts those not used for longest beyond
  // `capacity` blocks, and returns the bytes of `prompt` that were cached.
  std::size_t Use(std::string_view prompt, std::size_t capacity, Millis now);

  // Events after number `after` that are older than `lag`. Every
  // `gap_every`-th event is never reported; 0 reports all.
  QJsonObject Events(std::int64_t after,
                     Millis now,
                     Millis lag,
                     std::int64_t gap_every) const;

 private:
  struct Block {
    std::size_t bytes = 0;
    std::uint64_t hash = 0;
    bool operator<(const Block& other) const {
      return std::tie(bytes, hash) < std::tie(other.bytes, other.hash);
    }
  };
  struct Event {
    std::int64_t number = 0;
    Millis time{0};
    bool stored = false;
    Block block;
  };

  bool Touch(const Block& block);
  void Record(bool stored, const Block& block, Millis now);

  // Most recently used first.
  std::list<Block> recent_;
  std::map<Block, std::list<Block>::iterator> blocks_;
  std::deque<Event> events_;
  std::int64_t last_number_ = 0;
};

}  // namespace crocuslatch::standins

#endif  // STANDINS_PREFIX_CACHE_H_
