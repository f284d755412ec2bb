#include "standins/prefix_cache.h"

#include <fmt/format.h>

#include <QJsonArray>

namespace crocuslatch::standins {

namespace {

// The oldest events are dropped, as in a real engine's bounded event buffer.
constexpr std::size_t kMaxEvents = 1000;

}  // namespace

std::size_t PrefixCache::Use(std::string_view prompt,
                             std::size_t capacity,
                             Millis now) {
  std::size_t cached = 0;
  for (auto n = kCacheBlockBytes; n <= prompt.size(); n += kCacheBlockBytes) {
    const Block block{n, StableHash(prompt.substr(0, n))};
    if (Touch(block)) {
      cached = n;
    } else {
      AddEvent(true, block, now);
    }
  }
  while (lru_blocks_.size() > capacity) {
    const Block oldest = lru_blocks_.back();
    lru_blocks_.pop_back();
    block_index_.erase(oldest);
    AddEvent(false, oldest, now);
  }
  return cached;
}

bool PrefixCache::Touch(const Block& block) {
  const auto it = block_index_.find(block);
  if (it != block_index_.end()) {
    lru_blocks_.splice(lru_blocks_.begin(), lru_blocks_, it->second);
    return true;
  }
  lru_blocks_.push_front(block);
  block_index_[block] = lru_blocks_.begin();
  return false;
}

void PrefixCache::AddEvent(bool stored, const Block& block, Millis now) {
  events_.push_back({++last_event_number_, now, stored, block});
  if (events_.size() > kMaxEvents) {
    events_.pop_front();
  }
}

QJsonObject PrefixCache::Events(std::int64_t after,
                                Millis now,
                                Millis lag,
                                std::int64_t gap_every) const {
  QJsonArray events;
  if (after > last_event_number_) {
    // The caller's number predates a restart of this engine, so report all.
    after = 0;
  }
  qint64 last = after;
  for (const auto& it : events_) {
    const bool omitted = gap_every > 0 && it.number % gap_every == 0;
    if (it.number <= after || it.time + lag > now || omitted) {
      continue;
    }
    const auto hash = fmt::format("{:016x}", it.block.hash);
    events.append(QJsonObject{{"number", static_cast<qint64>(it.number)},
                              {"kind", it.stored ? "stored" : "removed"},
                              {"hash", QString::fromStdString(hash)},
                              {"bytes", static_cast<qint64>(it.block.bytes)}});
    last = it.number;
  }
  return {{"events", events}, {"last", last}};
}

}  // namespace crocuslatch::standins
