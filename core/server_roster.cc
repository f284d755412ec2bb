#include "core/server_roster.h"

namespace crocuslatch {

ServerRoster::ServerRoster(ServerRosterOptions options) : options_(options) {}

void ServerRoster::OnSnapshot(const std::vector<BackendEntry>& entries,
                              Millis asked_at,
                              Millis now) {
  if (last_reading_ && asked_at - *last_reading_ > options_.outage_time) {
    outage_ended_ = now;
  }
  last_reading_ = asked_at;
  const bool is_after_outage =
      outage_ended_ && now - *outage_ended_ < options_.return_time;
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
    // A server that said that it leaves is not expected back.
    const bool is_kept = kept != kept_until_.end()
                             ? now < kept->second
                             : is_after_outage && !entry.is_draining;
    if (!is_kept) {
      removed_.push_back(id);
      continue;
    }
    if (kept == kept_until_.end()) {
      kept_until_.emplace(id, *outage_ended_ + options_.return_time);
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
