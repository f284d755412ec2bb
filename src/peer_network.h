#ifndef SRC_PEER_NETWORK_H_
#define SRC_PEER_NETWORK_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "src/ledger_client.h"
#include "src/membership.h"
#include "src/peer_link.h"
#include "src/types.h"

// Defines this router's connections to its peers: the peer listener,
// connections with heartbeats, and connections on demand.

namespace crocuslatch {

struct PeerHeartbeat {
  // Set by the receiver to the authenticated peer.
  Incarnation sender;
  std::uint64_t config_version = 0;
  // Lower-case hex.
  std::string config_sha256;
  // Incarnations known to the sender; each heartbeat carries only some of them.
  std::vector<Incarnation> heard_of;
  bool operator==(const PeerHeartbeat&) const = default;
};

struct PeerNetworkOptions {
  // Address of the peer listener; port 0 selects any free port.
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  std::string secret;
  Incarnation own;
  Millis heartbeat_period{1000};
  // A connection with heartbeats that receives nothing for this time is closed.
  Millis receive_timeout{3500};
  // An on-demand connection without requests is closed after this time.
  Millis idle_timeout{30000};
  Millis connect_timeout{1000};
  // Timeout of fetching a configuration document.
  Millis config_timeout{2000};
  // Further inbound connections are closed at once.
  std::size_t max_inbound_connections = 1000;
};

// Callbacks of the network, called on its thread.
struct PeerNetworkHooks {
  // Applies a peer's commands to a ledger shard.
  ApplyToShard apply;
  // A peer asks for unused tokens of the budget.
  std::function<void(const std::string& budget)> on_recall;
  // Configuration document in force, encoded for a peer; may be empty.
  std::function<std::string()> encoded_document;
  std::function<PeerHeartbeat()> make_heartbeat;
  std::function<void(const PeerHeartbeat&)> on_heartbeat;
  // A peer was authenticated.
  std::function<void(const Incarnation&)> on_peer_authenticated;
  // Address of a peer's listener; empty if unknown.
  std::function<std::string(const std::string& host)> address_of;
  std::function<std::vector<std::string>()> heartbeat_peers;
  // A message that the network does not handle itself, and the process that
  // sent it.
  std::function<void(const HolderId& sender,
                     const wire::Envelope& message,
                     PeerReply reply)>
      on_message;
  // An outgoing connection was refused, broken or timed out.
  std::function<void(const std::string& host)> on_unreachable;
};

// Use only on the thread that created the network, which must run a Qt event
// loop. Callbacks are called neither from within the call that takes them nor
// after the network is destroyed.
class PeerNetwork {
 public:
  // Throws UserError "listen_failed".
  PeerNetwork(PeerNetworkOptions options, PeerNetworkHooks hooks);
  ~PeerNetwork();
  PeerNetwork(const PeerNetwork&) = delete;
  PeerNetwork& operator=(const PeerNetwork&) = delete;

  std::uint16_t port() const;

  // Sends commands to a peer; reports kUnknown if there is no valid reply
  // within `timeout`. `send_to_peer()` returns the same operation as a function
  // that only reports kUnknown after the network is destroyed.
  void SendCommands(const std::string& host,
                    std::uint32_t shard,
                    std::vector<ShardCommand> commands,
                    Millis timeout,
                    const LedgerCallback& callback);
  SendToPeer send_to_peer();

  // Asks a peer to return unused tokens of a budget; the message may be lost.
  void SendRecall(const std::string& host, const std::string& budget);

  // Fetches the peer's configuration document in force; passes an empty string
  // on failure.
  void FetchConfig(const std::string& host,
                   std::function<void(const std::string& encoded)> callback);

  // Sends a request with any body. `on_reply` gets null if there is no reply
  // within `timeout`; the connection is then closed, since the peer may be
  // unresponsive.
  void Request(const std::string& host,
               const BodyPacker& body,
               Millis timeout,
               PeerLink::ReplyCallback on_reply);
  // Sends a message that has no reply; it may be lost.
  void Send(const std::string& host, const BodyPacker& body);

  // Hosts with an authenticated connection that this router opened.
  std::vector<std::string> ConnectedHosts() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace crocuslatch

#endif  // SRC_PEER_NETWORK_H_
