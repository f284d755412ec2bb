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
// heartbeats, and connections on demand.

namespace crocuslatch {

struct PeerHeartbeat {
  // Set by the receiver to the authenticated peer.
  Incarnation sender;
  std::uint64_t config_version = 0;
  // Lower-case hex.
  std::string config_sha256;
  // Incarnations that the sender has heard of; only some in each heartbeat.
  std::vector<Incarnation> heard_of;
  bool operator==(const PeerHeartbeat&) const = default;
};

struct PeerNetworkOptions {
  // Of the peer listener; port 0 takes any free port.
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  std::string secret;
  Incarnation own;
  Millis heartbeat_period{1000};
  // A connection with heartbeats that is silent for this time is dropped.
  Millis receive_timeout{3500};
  // An on-demand connection without requests is closed after this time.
  Millis idle_timeout{30000};
  Millis connect_timeout{1000};
  // Longest wait for a configuration document.
  Millis config_timeout{2000};
  std::size_t max_inbound_connections = 1000;
};

// Called on the network's thread.
struct PeerNetworkHooks {
  // Applies a peer's commands.
  ApplyToShard apply;
  std::function<void(const std::string& budget)> on_recall;
  // Configuration document in force, encoded for a peer; may be empty.
  std::function<std::string()> encoded_document;
  std::function<PeerHeartbeat()> make_heartbeat;
  std::function<void(const PeerHeartbeat&)> on_heartbeat;
  // An incarnation was authenticated.
  std::function<void(const Incarnation&)> on_peer_authenticated;
  // Address of a peer's listener; empty if unknown.
  std::function<std::string(const std::string& host)> address_of;
  std::function<std::vector<std::string>()> heartbeat_peers;
  // A message that is none of the network's own.
  std::function<void(const std::string& host,
                     const wire::Envelope& message,
                     std::function<void(const BodyPacker&)> reply)>
      on_message;
  // The peer refused or broke the connection, or was silent.
  std::function<void(const std::string& host)> on_unreachable;
};

// All functions belong to the thread that made the network, which runs a Qt
// event loop. Callbacks never come from inside the call; those of a destroyed
// network do not come at all.
class PeerNetwork {
 public:
  // Throws UserError "listen_failed".
  PeerNetwork(PeerNetworkOptions options, PeerNetworkHooks hooks);
  ~PeerNetwork();
  PeerNetwork(const PeerNetwork&) = delete;
  PeerNetwork& operator=(const PeerNetwork&) = delete;

  std::uint16_t port() const;

  // Sends commands to a peer. The hook of the same form is
  // `send_to_peer()`, which does nothing but report kUnknown after the end
  // of the network.
  void SendCommands(const std::string& host,
                    std::uint32_t shard,
                    std::vector<ShardCommand> commands,
                    Millis timeout,
                    const LedgerCallback& callback);
  SendToPeer send_to_peer();

  // Asks a peer to return unused tokens of a budget; may get lost.
  void SendRecall(const std::string& host, const std::string& budget);

  // Asks for the peer's configuration document in force; an empty string on
  // failure.
  void FetchConfig(const std::string& host,
                   std::function<void(const std::string& encoded)> callback);

  // Sends a request of any kind. Null if there was no reply in time; the
  // connection is then closed, since it may have gone silent. The callback
  // never comes from inside the call.
  void Request(const std::string& host,
               const BodyPacker& body,
               Millis timeout,
               PeerLink::ReplyCallback on_reply);
  // Sends a message without a reply; it may get lost.
  void Send(const std::string& host, const BodyPacker& body);

  // Hosts with an authenticated connection that this router opened.
  std::vector<std::string> ConnectedHosts() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace crocuslatch

#endif  // SRC_PEER_NETWORK_H_
