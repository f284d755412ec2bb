#ifndef CORE_SERVER_ROSTER_H_
#define CORE_SERVER_ROSTER_H_

#include <cstddef>
#include <cstdint>
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
// an outage are therefore kept for a grace period. A host that could not read
// for a while cannot tell such an outage from a failure of its own path, in
// which live servers kept their entries; it takes it for an outage only if more
// than half of a service's servers are missing.
//
// A snapshot is read in pages at different moments and may be relayed, so that
// a part of it can be older than what is known. Each entry therefore only
// advances, and a process that was draining never becomes ready again.

namespace crocuslatch {

struct ServerRosterOptions {
  // Time without a snapshot after which missing entries may have expired.
  Millis outage_threshold{2500};
  // Time within which live servers register again after an outage.
  Millis reregistration_grace{2000};
  // Time for which a removed entry is remembered. Relayed snapshots and delayed
  // writes are seconds old.
  Millis departed_memory{60000};
};

// Store revisions that the first and the last page of a snapshot reflect.
struct RevisionRange {
  std::uint64_t first = 0;
  std::uint64_t last = 0;
  auto operator<=>(const RevisionRange&) const = default;
};

class ServerRoster {
 public:
  explicit ServerRoster(ServerRosterOptions options);

  // A snapshot of the registry has arrived; the store was read at `read_at`.
  void OnSnapshot(const std::vector<BackendEntry>& entries,
                  const RevisionRange& revisions,
                  Millis read_at,
                  Millis now);

  // Returns the servers to use, ordered by id.
  std::vector<BackendEntry> Entries() const;
  // Ids of the servers that the last snapshot added and removed.
  const std::vector<std::string>& added() const { return added_; }
  const std::vector<std::string>& removed() const { return removed_; }
  // Time at which the store was read for the last snapshot; nullopt before the
  // first.
  std::optional<Millis> last_snapshot_time() const {
    return last_snapshot_time_;
  }

 private:
  // A server whose entry was removed.
  struct Departed {
    BackendEntry entry;
    // The entry was missing at this revision or before it, so that only a later
    // write registers the server again.
    std::uint64_t revision = 0;
    Millis departed_at{0};
  };

  using ServiceCounts = std::map<std::string, std::ptrdiff_t>;

  // True if so few of the service's known servers are present that their
  // entries must have expired together.
  bool HasLapsed(const std::string& service,
                 const ServiceCounts& present) const;
  // Returns the entry as far as it is newer than what is known of its server,
  // or nullopt if the server has left since the entry was written.
  std::optional<BackendEntry> Advance(const BackendEntry& entry) const;

  const ServerRosterOptions options_;
  std::map<std::string, BackendEntry> entries_;
  std::map<std::string, Departed> departed_;
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
