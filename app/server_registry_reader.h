#ifndef APP_SERVER_REGISTRY_READER_H_
#define APP_SERVER_REGISTRY_READER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/backend_entry.h"
#include "core/server_roster.h"
#include "src/event_loop.h"
#include "src/store.h"

// Defines the reader that polls the registry of backend servers.

namespace crocuslatch {

struct ServerRegistryReaderOptions {
  // Key prefix of the entries in the store.
  std::string prefix;
  // Time from the moment at which the snapshot in use was read at the store to
  // the start of the next read; see core/registry_timing.h. A watch would
  // return many times a second, since every server changes its entry with each
  // heartbeat.
  Millis poll_period{900};
  // Delay before a failed read is retried.
  Millis retry_delay{200};
  // Age of the snapshot in use from which its replacement is logged as late.
  Millis late_after{1500};
};

class ServerRegistryReader {
 public:
  using Decode =
      std::function<std::optional<BackendEntry>(std::string_view key,
                                                std::string_view value)>;
  using OnEntries = std::function<void(const std::vector<BackendEntry>&)>;

  ServerRegistryReader(ServerRegistryReaderOptions options,
                       Store store,
                       EventLoop loop,
                       Decode decode,
                       OnEntries on_entries);
  ~ServerRegistryReader();

  void Start();
  // Returns the time at which the store was read for the snapshot in use, or
  // nullopt before the first one.
  std::optional<Millis> last_read_time() const;

 private:
  struct Core;
  std::shared_ptr<Core> core_;
};

}  // namespace crocuslatch

#endif  // APP_SERVER_REGISTRY_READER_H_
