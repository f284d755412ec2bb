#ifndef APP_LOAD_BROADCAST_H_
#define APP_LOAD_BROADCAST_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/placement.h"
#include "src/event_loop.h"
#include "src/peer_network.h"

// Defines how hosts tell each other what they have in flight at the backend
// servers. Nothing depends on it: without messages placement goes by the
// servers' own reports.

namespace crocuslatch {

struct LoadBroadcastOptions {
  // Changes within this time go out in one message. A prompt is read for 20 to
  // 400 ms, so that other hosts still hear of it in time.
  Millis batch_delay{15};
  // Loads that have not changed are repeated after this time, since messages
  // may get lost.
  Millis resend_period{1000};
  // Hosts that one host tells; a larger fleet is sampled, so that the traffic
  // of a host does not grow with the fleet.
  std::size_t max_peers = 16;
};

struct LoadBroadcastHooks {
  std::string own_host;
  // The other hosts, in any order.
  std::function<std::vector<std::string>()> peers;
};

class LoadBroadcast {
 public:
  LoadBroadcast(LoadBroadcastOptions options,
                EventLoop loop,
                PeerNetwork* network,
                Placement* placement,
                LoadBroadcastHooks hooks);
  ~LoadBroadcast();

  // What this host has in flight has changed.
  void OnChange();
  // A peer's message; false if it is not about loads.
  bool OnMessage(const std::string& host, const wire::Envelope& message);

 private:
  struct Core;
  std::shared_ptr<Core> core_;
};

// The peers that `own_host` tells: all of them, or `most` by a hash of both
// names, so that every host is told by about as many.
std::vector<std::string> ChooseBroadcastPeers(const std::string& own_host,
                                              std::vector<std::string> peers,
                                              std::size_t limit);

}  // namespace crocuslatch

#endif  // APP_LOAD_BROADCAST_H_
