#ifndef APP_PEER_ORDER_H_
#define APP_PEER_ORDER_H_

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "src/types.h"

// Defines the order in which peers are asked for help.

namespace crocuslatch {

struct PeerOrderQuery {
  std::vector<std::string> peers;
  // Peers that are left out until the given time, since they did not help.
  const std::map<std::string, Millis>& backoff_until;
  Millis now{0};
  // Uniform in [0, 1).
  const std::function<double()>& random;
  std::size_t max_peers = 0;
  // Asked first if it is among the peers; empty for none.
  std::string preferred;
};

// At most `most` peers, the one to ask first last. The order is random, which
// spreads the load.
std::vector<std::string> OrderPeers(const PeerOrderQuery& query);

}  // namespace crocuslatch

#endif  // APP_PEER_ORDER_H_
