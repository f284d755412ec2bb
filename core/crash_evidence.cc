#include "core/crash_evidence.h"

#include <algorithm>
#include <chrono>
#include <numeric>

namespace crocuslatch {

std::vector<std::string> SharedPartIds(const ModelWork& work) {
  std::vector<std::string> ids;
  for (std::size_t i = 0; i + 1 < work.parts.size(); ++i) {
    ids.push_back(work.parts[i].id);
  }
  return ids;
}

CrashEvidence::CrashEvidence(CrashEvidenceOptions options)
    : options_(options) {}

std::vector<std::string> CrashEvidence::OnCrash(const ServerCrash& crash,
                                                Millis at,
                                                Millis now) {
  DropOld(now);
  std::set<std::string> all = crash.begun_parts;
  all.insert(crash.waiting_parts.begin(), crash.waiting_parts.end());
  std::vector<std::string> quarantined;
  for (const auto& it : all) {
    const bool was_quarantined = QuarantineLeft(it, now) > Millis{0};
    Add(it, crash.server_id,
        crash.begun_parts.contains(it) ? options_.begun_weight
                                       : options_.waiting_weight,
        at);
    if (!was_quarantined && QuarantineLeft(it, now) > Millis{0}) {
      quarantined.push_back(it);
    }
  }
  return quarantined;
}

void CrashEvidence::Add(const std::string& part,
                        const std::string& server_id,
                        int weight,
                        Millis at) {
  auto& crashes = parts_[part];
  const auto known = std::ranges::find_if(crashes, [&](const Crash& it) {
    const Millis distance = std::chrono::abs(at - it.at);
    return distance < options_.common_cause_window ||
           (it.server_ids.contains(server_id) &&
            distance < options_.same_crash_window);
  });
  if (known != crashes.end()) {
    known->server_ids.insert(server_id);
    known->weight = std::max(known->weight, weight);
    return;
  }
  crashes.push_back({{server_id}, at, weight});
  if (crashes.size() > options_.max_crashes_per_part) {
    crashes.erase(crashes.begin());
  }
}

std::vector<std::string> CrashEvidence::OnServed(const ModelWork& work) {
  std::vector<std::string> to_tell;
  if (parts_.empty()) {
    return to_tell;
  }
  for (const auto& it : SharedPartIds(work)) {
    const auto found = parts_.find(it);
    if (found == parts_.end()) {
      continue;
    }
    // Hosts that serve no request with this part have all of this weight.
    const auto& crashes = found->second;
    const int weight =
        std::accumulate(crashes.begin(), crashes.end(), 0,
                        [](int sum, const Crash& c) { return sum + c.weight; });
    if (weight >= options_.notice_weight) {
      to_tell.push_back(it);
      parts_.erase(found);
      continue;
    }
    for (auto& crash : found->second) {
      crash.is_cleared_here = true;
    }
  }
  return to_tell;
}

std::vector<std::string> CrashEvidence::OnCleared(
    const std::vector<std::string>& parts,
    Millis now) {
  std::vector<std::string> released;
  for (const auto& it : parts) {
    if (QuarantineLeft(it, now) > Millis{0}) {
      released.push_back(it);
    }
    parts_.erase(it);
  }
  return released;
}

std::optional<std::string> CrashEvidence::FindQuarantined(const ModelWork& work,
                                                          Millis now) const {
  if (parts_.empty()) {
    return std::nullopt;
  }
  const auto ids = SharedPartIds(work);
  const auto found = std::ranges::find_if(ids, [&](const std::string& it) {
    return QuarantineLeft(it, now) > Millis{0};
  });
  return found == ids.end() ? std::nullopt : std::optional(*found);
}

Millis CrashEvidence::QuarantineLeft(const std::string& part,
                                     Millis now) const {
  const auto found = parts_.find(part);
  if (found == parts_.end()) {
    return Millis{0};
  }
  const auto& crashes = found->second;
  const int weight = std::accumulate(
      crashes.begin(), crashes.end(), 0, [](int sum, const Crash& it) {
        return sum + (it.is_cleared_here ? 0 : it.weight);
      });
  if (weight < options_.quarantine_weight) {
    return Millis{0};
  }
  return std::max(Millis{0},
                  LastCrash(crashes) + options_.quarantine_time - now);
}

Millis CrashEvidence::LastCrash(const Crashes& crashes) {
  return std::ranges::max_element(crashes, {}, &Crash::at)->at;
}

void CrashEvidence::DropOld(Millis now) {
  std::erase_if(parts_, [&](const auto& it) {
    return now - LastCrash(it.second) > options_.evidence_ttl;
  });
  while (parts_.size() > options_.max_parts) {
    parts_.erase(std::ranges::min_element(
        parts_, {}, [](const auto& it) { return LastCrash(it.second); }));
  }
}

}  // namespace crocuslatch
