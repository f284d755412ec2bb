#ifndef APP_HOST_DIRECTORY_H_
#define APP_HOST_DIRECTORY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "src/event_loop.h"
#include "src/store.h"

// Defines the list of the other hosts, read from their stamps.

namespace crocuslatch {

struct HostDirectoryOptions {
  // Prefix of the stamps in the store.
  std::string prefix;
  std::string own_host;
  // Spacing of the readings.
  Millis poll_period{5000};
  // A host whose stamp has not changed between readings for this long is left
  // out.
  Millis stale_after{20000};
};

class HostDirectory {
 public:
  HostDirectory(HostDirectoryOptions options, Store store, EventLoop loop);
  ~HostDirectory();

  void Start();
  // Hosts that were stamped lately, without the own one. While the store is
  // away these are the ones of the last reading.
  std::vector<std::string> OtherHosts() const;
  // Megabits a second of the host's link; 0 if unknown.
  std::int64_t LinkMbps(const std::string& host) const;
  // Where the host listens for its peers; empty if unknown.
  std::string PeerAddress(const std::string& host) const;

 private:
  struct Core;
  std::shared_ptr<Core> core_;
};

}  // namespace crocuslatch

#endif  // APP_HOST_DIRECTORY_H_
