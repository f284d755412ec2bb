#ifndef APP_HOST_DIRECTORY_H_
#define APP_HOST_DIRECTORY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/event_loop.h"
#include "src/store.h"

// Defines the list of the other live hosts, read from their stamps in the
// store.

namespace crocuslatch {

struct HostDirectoryOptions {
  // Key prefix of the stamps in the store.
  std::string prefix;
  std::string own_host;
  Millis poll_period{5000};
  // Delay until the next read after one that found new hosts, or none within
  // `discovery_time` of the start. Hosts that start together see few of the
  // others at first, and each calls the store for itself until it knows them.
  Millis discovery_period{700};
  Millis discovery_time{3000};
  // A host whose stamp has not changed for this long is left out.
  Millis stale_after{20000};
  // A host whose stamp has not changed for this long is not known any more.
  Millis forget_after{120000};
  // Incarnation of this process, by which it recognizes its own stamps.
  std::uint64_t own_incarnation = 0;
};

class HostDirectory {
 public:
  HostDirectory(HostDirectoryOptions options, Store store, EventLoop loop);
  ~HostDirectory();

  void Start();
  // Returns the hosts with recent stamps, without this host. While the store is
  // unreachable, these are the hosts of the last successful read.
  std::vector<std::string> OtherHosts() const;
  // Returns the live hosts and those that were live a while ago, without this
  // host; nullopt until the store has been read. Changes rarely: not when hosts
  // restart, nor after an outage of the store, in which no host can write its
  // stamp.
  std::optional<std::vector<std::string>> KnownHosts() const;
  // False if the first read found a stamp of an earlier process on this host,
  // so that the other hosts know it.
  bool is_new_host() const;
  // Returns the bandwidth of the host's link in Mbit/s; 0 if unknown.
  std::int64_t LinkMbps(const std::string& host) const;
  // Returns the host's failure domain; empty if unknown.
  std::string FailureDomain(const std::string& host) const;
  // Returns the address where the host listens for its peers; empty if unknown.
  std::string PeerAddress(const std::string& host) const;

 private:
  struct Core;
  std::shared_ptr<Core> core_;
};

}  // namespace crocuslatch

#endif  // APP_HOST_DIRECTORY_H_
