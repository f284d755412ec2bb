#ifndef CORE_SERVER_ROSTER_H_
#define CORE_SERVER_ROSTER_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/backend_entry.h"
#include "src/types.h"

// Defines which backend servers count as registered, from successive readings
// of the registry.
//
// Entries expire while the registry is away and are back soon after its
// return. Servers that are missing in the first readings after an outage are
// therefore kept for a moment, and dropped if they stay away.

namespace crocuslatch {

struct ServerRosterOptions {
  // Time without a reading after which missing entries may have expired.
  Millis outage_time{2500};
  // Time within which entries of live servers are back.
  Millis return_time{2000};
};

class ServerRoster {
 public:
  explicit ServerRoster(ServerRosterOptions options);

  // A reading was answered; `asked_at` is when it was sent.
  void OnSnapshot(const std::vector<BackendEntry>& entries,
                  Millis asked_at,
                  Millis now);

  // What to use now, by id.
  std::vector<BackendEntry> Entries() const;
  // Servers of the last reading that were not in the one before, and the other
  // way round; for logs.
  const std::vector<std::string>& added() const { return added_; }
  const std::vector<std::string>& removed() const { return removed_; }
  std::optional<Millis> last_snapshot_time() const { return last_reading_; }

 private:
  const ServerRosterOptions options_;
  std::map<std::string, BackendEntry> entries_;
  // Servers that are missing since an outage, with the end of their time.
  std::map<std::string, Millis> kept_until_;
  std::optional<Millis> last_reading_;
  std::optional<Millis> outage_ended_;
  std::vector<std::string> added_;
  std::vector<std::string> removed_;
};

}  // namespace crocuslatch

#endif  // CORE_SERVER_ROSTER_H_
