#ifndef CORE_SERVER_ROSTER_H_
#define CORE_SERVER_ROSTER_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/backend_entry.h"
#include "src/types.h"

// Defines which backend servers are considered registered, based on successive
// snapshots of the registry.
//
// Entries expire during an outage of the registry, and live servers register
// again soon after it. Servers that are missing from the first snapshots after
// an outage are therefore kept for a grace period.

namespace crocuslatch {

struct ServerRosterOptions {
  // Time without a snapshot after which missing entries may have expired.
  Millis outage_threshold{2500};
  // Time within which live servers register again after an outage.
  Millis reregistration_grace{2000};
};

class ServerRoster {
 public:
  explicit ServerRoster(ServerRosterOptions options);

  // A snapshot of the registry has arrived; it was requested at
  // `requested_at`.
  void OnSnapshot(const std::vector<BackendEntry>& entries,
                  Millis requested_at,
                  Millis now);

  // Returns the servers to use, ordered by id.
  std::vector<BackendEntry> Entries() const;
  // Ids of the servers that the last snapshot added and removed.
  const std::vector<std::string>& added() const { return added_; }
  const std::vector<std::string>& removed() const { return removed_; }
  // Time at which the last snapshot was requested; nullopt before the first.
  std::optional<Millis> last_snapshot_time() const {
    return last_snapshot_time_;
  }

 private:
  const ServerRosterOptions options_;
  std::map<std::string, BackendEntry> entries_;
  // Servers that have been missing since an outage, and until when to keep
  // them.
  std::map<std::string, Millis> kept_until_;
  std::optional<Millis> last_snapshot_time_;
  std::optional<Millis> outage_ended_;
  std::vector<std::string> added_;
  std::vector<std::string> removed_;
};

}  // namespace crocuslatch

#endif  // CORE_SERVER_ROSTER_H_
