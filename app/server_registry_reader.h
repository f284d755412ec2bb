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

// Defines the reader of the registry of backend servers.

namespace crocuslatch {

struct ServerRegistryReaderOptions {
  // Prefix of the entries in the store.
  std::string prefix;
  // Start of one reading to the start of the next. A leaving server must be
  // known within 2 s; entries change with every heartbeat of every server, so
  // a watch would answer many times a second.
  Millis poll_period{900};
  // Pause after a failed reading.
  Millis retry_delay{200};
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
  // When the last reading that was answered had been asked for.
  std::optional<Millis> last_read_time() const;

 private:
  struct Core;
  std::shared_ptr<Core> core_;
};

}  // namespace crocuslatch

#endif  // APP_SERVER_REGISTRY_READER_H_
