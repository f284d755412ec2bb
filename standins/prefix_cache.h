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

// Defines the stand-in engine's LRU prefix cache and its event feed.

namespace crocuslatch::standins {

// Prefixes are cached at multiples of this length only.
inline constexpr std::size_t kCacheBlockBytes = 256;

class PrefixCache {
 public:
  // Stores the prefixes of `prompt`, evicts the least recently used blocks
  // beyond `capacity`, and returns the number of bytes of `prompt` that were
  // already cached.
  std::size_t Use(std::string_view prompt, std::size_t capacity, Millis now);

  // Returns the events with numbers above `after` that are at least `lag` old.
  // Every `gap_every`-th event is omitted; 0 omits none.
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

  // Marks the block as most recently used, adding it if needed. Returns whether
  // it was cached before.
  bool Touch(const Block& block);
  void AddEvent(bool stored, const Block& block, Millis now);

  // Most recently used first.
  std::list<Block> lru_blocks_;
  std::map<Block, std::list<Block>::iterator> block_index_;
  std::deque<Event> events_;
  std::int64_t last_event_number_ = 0;
};

}  // namespace crocuslatch::standins

#endif  // STANDINS_PREFIX_CACHE_H_
