#ifndef APP_LOAD_BROADCAST_H_
#define APP_LOAD_BROADCAST_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/load/placement.h"
#include "src/event_loop.h"
#include "src/peer_network.h"

// Defines the exchange of in-flight loads at the backend servers between hosts.
// The messages are optional: without them placement relies on the servers' own
// reports.

namespace crocuslatch {

struct LoadBroadcastOptions {
  // Changes within this time are sent in one message. An engine processes a
  // prompt for 20 to 400 ms, so the message arrives before it has ended.
  Millis batch_delay{15};
  // Loads that have not changed are repeated after this time, since messages
  // may get lost.
  Millis resend_period{1000};
  // Limit on the receivers of one host's messages. A larger fleet is sampled,
  // so that the traffic of a host does not grow with the fleet.
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

  // To be called after a change of this host's in-flight load.
  void OnChange();
  // Handles a peer's message. Returns false if it is not a load update.
  bool OnMessage(const std::string& host, const wire::Envelope& message);

 private:
  struct Core;
  std::shared_ptr<Core> core_;
};

// Returns the peers to which `own_host` sends its loads: all of them, or
// `limit` of them, chosen by a hash of both names, so that every host receives
// from about as many.
std::vector<std::string> ChooseBroadcastPeers(const std::string& own_host,
                                              std::vector<std::string> peers,
                                              std::size_t limit);

}  // namespace crocuslatch

#endif  // APP_LOAD_BROADCAST_H_
