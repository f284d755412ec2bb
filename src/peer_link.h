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
// replies, one-way messages and detection of an unresponsive peer.

namespace crocuslatch {

enum class PeerRole : std::uint8_t { kConnector, kAcceptor };

// Type and offset of a message body that was added to a FlatBufferBuilder.
using PackedBody = std::pair<wire::Body, flatbuffers::Offset<void>>;
// Adds a message body to the builder.
using BodyPacker = std::function<PackedBody(flatbuffers::FlatBufferBuilder&)>;

// Content of the hello message that each side sends first.
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

// Returns the HMAC-SHA256 by which `prover` shows that it knows the fleet
// secret. It covers the role of the prover and both hello messages, so that a
// proof is useless on any other connection or in the other role.
std::string MakeProof(std::string_view secret,
                      PeerRole prover,
                      const PeerHello& connector,
                      const PeerHello& acceptor);

// Sends the reply to a message. Returns false if it cannot be sent, because the
// message has no request id, has its reply already, or the link is closed.
using PeerReply = std::function<bool(const BodyPacker&)>;

struct PeerLinkOptions {
  std::string secret;
  Incarnation own;
  // Connector only: the host that must answer; empty accepts any host.
  std::string expected_host;
  // Time limit for authenticating both sides.
  Millis auth_timeout{2000};
  // An authenticated connection that receives nothing for this time is closed.
  Millis receive_timeout{60000};
};

struct PeerLinkHooks {
  // The peer is authenticated.
  std::function<void(const Incarnation& peer)> on_ready;
  // Called once when the connection closes, unless the link is destroyed first.
  // The callbacks of pending requests are called afterwards, even if this hook
  // destroys the link.
  std::function<void(const std::string& reason)> on_closed;
  // A message that is not a reply. `reply` may be called once, also after the
  // hook returns.
  std::function<void(const wire::Envelope& message, PeerReply reply)>
      on_message;
};

// Use only on the thread of the socket. Hooks may destroy the link.
class PeerLink {
 public:
  // Null if there was no reply.
  using ReplyCallback = std::function<void(const wire::Envelope* reply)>;

  // Takes ownership of the socket, which may still be connecting if `role` is
  // kConnector.
  PeerLink(std::unique_ptr<QTcpSocket> socket,
           PeerRole role,
           PeerLinkOptions options,
           PeerLinkHooks hooks);
  ~PeerLink();
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  // Sends a request once the peer is authenticated. `on_reply` is called
  // exactly once, never from within the call, unless the link is destroyed
  // first.
  void Request(const BodyPacker& body, Millis timeout, ReplyCallback on_reply);
  // Sends a message that has no reply; it is lost if the connection fails.
  void Send(const BodyPacker& body);
  // Sets the receive timeout; connections with regular heartbeats use a shorter
  // one.
  void SetReceiveTimeout(Millis limit);
  // Time since the last request, message or reply; 0 while a reply is pending.
  Millis idle_time() const;
  // True if the peer is authenticated and the connection is open.
  bool is_ready() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace crocuslatch

#endif  // SRC_PEER_LINK_H_
