#include "core/server_roster.h"

namespace crocuslatch {

ServerRoster::ServerRoster(ServerRosterOptions options) : options_(options) {}

void ServerRoster::OnSnapshot(const std::vector<BackendEntry>& entries,
                              Millis requested_at,
                              Millis now) {
  if (last_snapshot_time_ &&
      requested_at - *last_snapshot_time_ > options_.outage_threshold) {
    outage_ended_ = now;
  }
  last_snapshot_time_ = requested_at;
  const bool is_after_outage =
      outage_ended_ && now - *outage_ended_ < options_.reregistration_grace;
  std::map<std::string, BackendEntry> next;
  for (const auto& it : entries) {
    next.emplace(it.id, it);
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
    const auto kept = kept_until_.find(id);
    // A draining server is not expected to register again.
    const bool is_kept = kept != kept_until_.end()
                             ? now < kept->second
                             : is_after_outage && !entry.is_draining;
    if (!is_kept) {
      removed_.push_back(id);
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
}

std::vector<BackendEntry> ServerRoster::Entries() const {
  std::vector<BackendEntry> all;
  for (const auto& [id, entry] : entries_) {
    all.push_back(entry);
  }
  return all;
}

}  // namespace crocuslatch
