#ifndef APP_RELAYED_STORE_H_
#define APP_RELAYED_STORE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "src/event_loop.h"
#include "src/peer_network.h"
#include "src/store.h"

// Defines a store port that goes through peers while the own path to the store
// is broken.
//
// Every call of the port may be made twice, once by each path: reads change
// nothing, and a write takes effect once, since its condition does not hold a
// second time. A writer finds by a lost condition that its own value is there.

namespace crocuslatch {

struct RelayedStoreOptions {
  // Silence of a call after which a peer is asked, too: this time and at least
  // this multiple of a usual answer, so that a slow store is not asked twice.
  Millis hedge_delay{150};
  double hedge_factor = 3;
  // Longest wait for the peer that gathers calls before the own path is taken:
  // ten times a usual answer.
  Millis aggregator_timeout{300};
  // A reading of a prefix answers all hosts that ask within this time. Leaving
  // servers must be known within 2 s, and hosts read every 0.9 s.
  Millis shared_read_ttl{250};
  // Longest wait for a peer beyond what the call itself may wait.
  Millis peer_timeout{600};
  // After a failed call the own path is tried again at this spacing; calls
  // between go to peers at once.
  Millis probe_period{500};
  // Peers that are asked for one call.
  std::size_t max_peers = 3;
  // A peer that could not help is asked last for this time.
  Millis peer_backoff{1000};
};

struct RelayedStoreHooks {
  std::function<std::vector<std::string>()> peers;
  // Uniform in [0, 1).
  std::function<double()> random;
  // The store has answered by one of the paths.
  std::function<void()> on_store_response;
};

class RelayedStore {
 public:
  // `network` may be set later; without it every call takes the own path.
  RelayedStore(RelayedStoreOptions options,
               Store direct_store,
               EventLoop loop,
               RelayedStoreHooks hooks);
  ~RelayedStore();

  void SetNetwork(PeerNetwork* network);

  using OnAggregatorReply =
      std::function<void(const std::string& host, bool, Millis took)>;

  // The port to use instead of the own path.
  Store store();

  // The same port, but a put or a reading of a prefix first goes to the peer
  // that `gatherer` names, which gathers the calls of many hosts; an empty name
  // means the own path. `on_answer` is told whether the peer answered and the
  // time that it took.
  Store aggregated_store(std::function<std::string()> aggregator,
                         const OnAggregatorReply& on_answer);

  // Makes a peer's call by the own path; false if the message is none.
  bool OnMessage(const wire::Envelope& message,
                 const std::function<void(const BodyPacker&)>& reply);

 private:
  struct Core;
  std::shared_ptr<Core> core_;
};

}  // namespace crocuslatch

#endif  // APP_RELAYED_STORE_H_
