#ifndef APP_RELAYED_STORE_H_
#define APP_RELAYED_STORE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "src/event_loop.h"
#include "src/peer_network.h"
#include "src/store.h"

// Defines a store that relays calls through peers while this host's direct path
// to the store is down.
//
// Every call may be made twice, once by each path. Reads change nothing, and a
// write takes effect once, since its condition does not hold a second time. A
// writer that gets a version conflict finds its own value stored.

namespace crocuslatch {

struct RelayedStoreOptions {
  // A call is also relayed to a peer if the direct path has not responded after
  // this time and this multiple of the mean response time, whichever is longer.
  // The factor keeps a slow store from getting every call twice.
  Millis hedge_delay{150};
  double hedge_factor = 3;
  // Timeout for the aggregator's response, after which the direct path is used:
  // ten times a usual response time.
  Millis aggregator_timeout{300};
  // A read of a prefix is shared with all hosts that ask within this time of
  // its start. The result states its staleness.
  Millis shared_read_ttl{250};
  // Time for which the aggregator may defer a write, and for which it waits in
  // one watch for all hosts.
  Millis write_deferral{400};
  Millis shared_watch_wait{1000};
  // See SharedWatchOptions::overdue_time.
  Millis shared_watch_overdue{300};
  // Timeout for a peer's response, in addition to the call's own wait.
  Millis peer_timeout{600};
  // While the direct path is down, it is retried at this period, and the calls
  // in between go only to peers.
  Millis probe_period{500};
  // Limit on peers that are asked for one call.
  std::size_t max_peers = 3;
  // A peer that could not help is not asked again for this time.
  Millis peer_backoff{1000};
};

struct RelayedStoreHooks {
  std::function<std::vector<std::string>()> peers;
  // Returns a random number, uniform in [0, 1).
  std::function<double()> random;
  // Called when the store has responded by any path.
  std::function<void()> on_store_response;
};

class RelayedStore {
 public:
  // Without SetNetwork, every call uses `direct_store`.
  RelayedStore(RelayedStoreOptions options,
               Store direct_store,
               EventLoop loop,
               RelayedStoreHooks hooks);
  ~RelayedStore();

  void SetNetwork(PeerNetwork* network);

  using OnAggregatorReply =
      std::function<void(const std::string& host, bool, Millis took)>;

  // Returns the store to use instead of the direct one.
  Store store();

  // Like store(), but puts, prefix reads and watches first go to the peer that
  // `aggregator` names, which combines the calls of many hosts; an empty name
  // means the direct path. `on_reply` receives whether that peer responded and
  // the time it took.
  Store aggregated_store(std::function<std::string()> aggregator,
                         const OnAggregatorReply& on_reply);

  // Executes a peer's call by the direct path. Returns false if the message is
  // not a store call.
  bool OnMessage(const wire::Envelope& message,
                 const std::function<void(const BodyPacker&)>& reply);

 private:
  struct Core;
  std::shared_ptr<Core> core_;
};

}  // namespace crocuslatch

#endif  // APP_RELAYED_STORE_H_
