#ifndef SRC_PEER_LINK_H_
#define SRC_PEER_LINK_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "src/membership.h"
#include "src/peer_frame.h"
#include "src/types.h"

class QTcpSocket;

// Defines one connection between two routers: authentication, requests with
// replies, one-way messages and the detection of silence.

namespace crocuslatch {

enum class PeerRole : std::uint8_t { kConnector, kAcceptor };

// Type and offset of a body added to a buffer under construction.
using PackedBody = std::pair<wire::Body, flatbuffers::Offset<void>>;
using BodyPacker = std::function<PackedBody(flatbuffers::FlatBufferBuilder&)>;

// What both sides state before the connection is used.
struct PeerHello {
  PeerRole role = PeerRole::kConnector;
  Incarnation incarnation;
  std::string nonce;
  bool operator==(const PeerHello&) const = default;
};

flatbuffers::Offset<wire::Incarnation> PackIncarnation(
    flatbuffers::FlatBufferBuilder& builder,
    const Incarnation& incarnation);
Incarnation UnpackIncarnation(const wire::Incarnation& table);

// HMAC-SHA256, with the fleet's secret, that `prover` sends to show that it
// knows the secret. It covers the role of the prover and both introductions,
// so that a proof is useless on any other connection or in the other role.
std::string MakeProof(std::string_view secret,
                      PeerRole prover,
                      const PeerHello& connector,
                      const PeerHello& acceptor);

struct PeerLinkOptions {
  std::string secret;
  Incarnation own;
  // Connector: the host that must answer.
  std::string expected_host;
  // Longest time until both sides are authenticated.
  Millis auth_timeout{2000};
  // An authenticated connection without any byte for this time is dropped.
  Millis receive_timeout{60000};
};

struct PeerLinkHooks {
  // The peer is authenticated.
  std::function<void(const Incarnation& peer)> on_ready;
  // Called once unless the link is destroyed first. The callbacks of requests
  // without a reply follow, even if this hook destroys the link.
  std::function<void(const std::string& reason)> on_closed;
  // A message that is not a reply. `reply` may be called once, later, and
  // does nothing for a message without a request id or after the link's end.
  std::function<void(const wire::Envelope& message,
                     std::function<void(const BodyPacker&)> reply)>
      on_message;
};

// Belongs to the thread of its socket. Hooks may destroy the link.
class PeerLink {
 public:
  // Null if there was no reply.
  using ReplyCallback = std::function<void(const wire::Envelope* reply)>;

  // Takes the socket, which the connector may still be connecting.
  PeerLink(std::unique_ptr<QTcpSocket> socket,
           PeerRole role,
           PeerLinkOptions options,
           PeerLinkHooks hooks);
  ~PeerLink();
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  // Sent once the peer is authenticated. The callback comes exactly once,
  // never from inside the call, unless the link is destroyed first.
  void Request(const BodyPacker& body, Millis timeout, ReplyCallback on_reply);
  // A message without a reply; gets lost if the connection fails.
  void Send(const BodyPacker& body);
  // Shorter limit for connections with regular heartbeats.
  void SetReceiveTimeout(Millis limit);
  // Time without a request, a message or a reply; 0 while a reply is awaited.
  Millis idle_time() const;
  bool is_ready() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace crocuslatch

#endif  // SRC_PEER_LINK_H_
