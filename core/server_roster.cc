#include "core/server_roster.h"

#include <algorithm>
#include <set>

namespace crocuslatch {
namespace {

bool IsSameProcess(const BackendEntry& a, const BackendEntry& b) {
  return a.start_time_ms && a.start_time_ms == b.start_time_ms;
}

bool IsOlder(const BackendEntry& a, const BackendEntry& b) {
  return a.store_version != 0 && a.store_version < b.store_version;
}

std::map<std::string, std::ptrdiff_t> CountByService(
    const std::vector<BackendEntry>& entries) {
  std::map<std::string, std::ptrdiff_t> counts;
  for (const auto& it : entries) {
    ++counts[it.service];
  }
  return counts;
}

}  // namespace

ServerRoster::ServerRoster(ServerRosterOptions options) : options_(options) {}

std::optional<BackendEntry> ServerRoster::Advance(
    const BackendEntry& entry) const {
  BackendEntry next = entry;
  if (const auto known = entries_.find(entry.id); known != entries_.end()) {
    if (IsOlder(entry, known->second)) {
      return known->second;
    }
    // A heartbeat that was delayed on its way overwrites the newer state.
    next.is_draining |=
        known->second.is_draining && IsSameProcess(entry, known->second);
  }
  if (const auto left = departed_.find(entry.id); left != departed_.end()) {
    const auto& last = left->second.entry;
    const bool is_rewritten =
        entry.store_version == 0 || entry.store_version > left->second.revision;
    if (!is_rewritten) {
      return std::nullopt;
    }
    next.is_draining |= last.is_draining && IsSameProcess(entry, last);
  }
  return next;
}

bool ServerRoster::HasLapsed(const std::string& service,
                             const ServiceCounts& present) const {
  const auto known = std::ranges::count(
      entries_, service, [](const auto& it) { return it.second.service; });
  const auto found = present.find(service);
  const auto left = found == present.end() ? 0 : found->second;
  return 2 * left < known;
}

void ServerRoster::OnSnapshot(const std::vector<BackendEntry>& entries,
                              const RevisionRange& revisions,
                              Millis read_at,
                              Millis now) {
  if (last_snapshot_time_ &&
      read_at - *last_snapshot_time_ > options_.outage_threshold) {
    outage_ended_ = now;
  }
  last_snapshot_time_ = read_at;
  const bool is_after_outage =
      outage_ended_ && now - *outage_ended_ < options_.reregistration_grace;
  const auto present = CountByService(entries);
  std::set<std::string> present_ids;
  std::map<std::string, BackendEntry> next;
  for (const auto& it : entries) {
    present_ids.insert(it.id);
    if (auto entry = Advance(it)) {
      next.emplace(it.id, *std::move(entry));
    }
  }
  added_.clear();
  removed_.clear();
  for (const auto& [id, entry] : next) {
    if (!entries_.contains(id)) {
      added_.push_back(id);
    }
  }
  for (const auto& [id, entry] : entries_) {
    if (next.contains(id)) {
      continue;
    }
    if (entry.store_version > revisions.first) {
      // The entry was written after its page was read.
      next.emplace(id, entry);
      continue;
    }
    const auto kept = kept_until_.find(id);
    // A draining server is not expected to register again.
    const bool is_kept = kept != kept_until_.end()
                             ? now < kept->second
                             : is_after_outage && !entry.is_draining &&
                                   HasLapsed(entry.service, present);
    if (!is_kept) {
      removed_.push_back(id);
      departed_[id] = {entry, std::max(revisions.last, entry.store_version),
                       now};
      continue;
    }
    if (kept == kept_until_.end()) {
      kept_until_.emplace(id, *outage_ended_ + options_.reregistration_grace);
    }
    next.emplace(id, entry);
  }
  std::erase_if(kept_until_, [&](const auto& it) {
    return !next.contains(it.first) || now >= it.second;
  });
  for (const auto& it : entries) {
    kept_until_.erase(it.id);
  }
  entries_ = std::move(next);
  for (auto& [id, left] : departed_) {
    if (!present_ids.contains(id)) {
      left.revision = std::max(left.revision, revisions.last);
    }
  }
  std::erase_if(departed_, [&](const auto& it) {
    return entries_.contains(it.first) ||
           now - it.second.departed_at > options_.departed_memory;
  });
}

std::vector<BackendEntry> ServerRoster::Entries() const {
  std::vector<BackendEntry> all;
  for (const auto& [id, entry] : entries_) {
    all.push_back(entry);
  }
  return all;
}

}  // namespace crocuslatch
