#include "standins/kv_table.h"

#include <algorithm>

namespace crocuslatch::standins {

std::optional<KvTable::Entry> KvTable::Get(const std::string& key) const {
  const auto it = slots_.find(key);
  if (it == slots_.end() || !it->second.value) {
    return std::nullopt;
  }
  return Entry{it->second.last_version, *it->second.value};
}

std::uint64_t KvTable::CurrentVersion(const std::string& key) const {
  const auto it = slots_.find(key);
  const bool exists = it != slots_.end() && it->second.value;
  return exists ? it->second.last_version : 0;
}

KvWrite KvTable::Put(const std::string& key,
                     const std::string& value,
                     std::uint64_t expected) {
  const auto current = CurrentVersion(key);
  if (current != expected) {
    return {.applied = false, .version = current};
  }
  Slot& slot = slots_[key];
  slot.value = value;
  return {.applied = true, .version = ++slot.last_version};
}

KvWrite KvTable::Remove(const std::string& key, std::uint64_t expected) {
  const auto current = CurrentVersion(key);
  if (current != expected || current == 0) {
    return {.applied = false, .version = current};
  }
  slots_[key].value.reset();
  return {.applied = true, .version = 0};
}

std::vector<std::pair<std::string, std::uint64_t>> KvTable::List(
    const std::string& prefix) const {
  std::vector<std::pair<std::string, std::uint64_t>> entries;
  for (auto it = slots_.lower_bound(prefix);
       it != slots_.end() && it->first.starts_with(prefix); ++it) {
    if (it->second.value) {
      entries.emplace_back(it->first, it->second.last_version);
    }
  }
  return entries;
}

std::uint64_t LeaseTable::Grant(Millis ttl, Millis now) {
  leases_[++last_id_] = {.ttl = ttl, .expiry = now + ttl};
  return last_id_;
}

bool LeaseTable::Renew(std::uint64_t id, Millis now) {
  const auto it = leases_.find(id);
  if (it == leases_.end() || it->second.expiry <= now) {
    return false;
  }
  it->second.expiry = now + it->second.ttl;
  return true;
}

bool LeaseTable::Remove(std::uint64_t id, Millis now) {
  const bool held = Renew(id, now);
  leases_.erase(id);
  return held;
}

void RateLimiter::Set(std::int64_t per_second) {
  per_second_ = per_second;
  tokens_ = static_cast<double>(per_second);
}

bool RateLimiter::TryTake(Millis now) {
  if (per_second_ == 0) {
    return true;
  }
  const auto rate = static_cast<double>(per_second_);
  const std::chrono::duration<double> elapsed = now - last_refill_;
  tokens_ = std::min(rate, tokens_ + elapsed.count() * rate);
  last_refill_ = now;
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

}  // namespace crocuslatch::standins
