#include "standins/prefix_cache.h"

#include <fmt/format.h>

#include <QJsonArray>

namespace crocuslatch::standins {

namespace {

// Older events are dropped, as an engine's bounded event buffer does.
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
      Record(true, block, now);
    }
  }
  while (recent_.size() > capacity) {
    const Block oldest = recent_.back();
    recent_.pop_back();
    blocks_.erase(oldest);
    Record(false, oldest, now);
  }
  return cached;
}

bool PrefixCache::Touch(const Block& block) {
  const auto it = blocks_.find(block);
  if (it != blocks_.end()) {
    recent_.splice(recent_.begin(), recent_, it->second);
    return true;
  }
  recent_.push_front(block);
  blocks_[block] = recent_.begin();
  return false;
}

void PrefixCache::Record(bool stored, const Block& block, Millis now) {
  events_.push_back({++last_number_, now, stored, block});
  if (events_.size() > kMaxEvents) {
    events_.pop_front();
  }
}

QJsonObject PrefixCache::Events(std::int64_t after,
                                Millis now,
                                Millis lag,
                                std::int64_t gap_every) const {
  QJsonArray events;
  if (after > last_number_) {
    // The number is from before a restart of this engine.
    after = 0;
  }
  qint64 last = after;
  for (const auto& it : events_) {
    const bool gap = gap_every > 0 && it.number % gap_every == 0;
    if (it.number <= after || it.time + lag > now || gap) {
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
