#include "src/peer_link.h"

#include <QHostAddress>
#include <QMessageAuthenticationCode>
#include <QPointer>
#include <QRandomGenerator>
#include <QTcpSocket>
#include <QTimer>
#include <algorithm>
#include <array>
#include <chrono>
#include <map>
#include <optional>

#include "src/log.h"

namespace crocuslatch {
namespace {

constexpr std::uint32_t kProtocolVersion = 1;
constexpr std::size_t kNonceBytes = 32;

// Hello and proof messages are short. The limit bounds the memory that an
// unauthenticated peer can make this process use.
constexpr std::size_t kMaxUnauthenticatedFrameBytes = 4096;

// Unsent bytes above which a connection is closed. A peer that reads so slowly
// is of no use as a preferred writer.
constexpr std::size_t kMaxUnsentBytes = 16 << 20;

std::string MakeNonce() {
  std::array<quint32, kNonceBytes / sizeof(quint32)> words{};
  QRandomGenerator::system()->fillRange(words.data(), words.size());
  return {reinterpret_cast<const char*>(words.data()), kNonceBytes};
}

void AppendNumber(QByteArray& out, std::uint64_t number) {
  for (int shift = 0; shift < 64; shift += 8) {
    out.append(static_cast<char>(number >> shift & 0xFF));
  }
}

void AppendText(QByteArray& out, std::string_view text) {
  AppendNumber(out, text.size());
  out.append(text.data(), static_cast<qsizetype>(text.size()));
}

void AppendHello(QByteArray& out, const PeerHello& it) {
  AppendNumber(out, static_cast<std::uint64_t>(it.role));
  AppendText(out, it.incarnation.holder.host);
  AppendNumber(out, it.incarnation.holder.incarnation);
  AppendNumber(out, static_cast<std::uint64_t>(it.incarnation.started_ms));
  AppendText(out, it.nonce);
}

// Takes constant time, so that timing does not reveal the first difference.
bool ProofsEqual(std::string_view a, std::string_view b) {
  unsigned char difference = a.size() == b.size() ? 0 : 1;
  for (std::size_t n = 0; n < std::min(a.size(), b.size()); ++n) {
    difference |= static_cast<unsigned char>(a[n] ^ b[n]);
  }
  return difference == 0;
}

std::string_view BytesOf(const flatbuffers::Vector<std::uint8_t>& bytes) {
  return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> PackBytes(
    flatbuffers::FlatBufferBuilder& builder,
    std::string_view bytes) {
  return builder.CreateVector(
      reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
}

PeerRole OtherRole(PeerRole role) {
  return role == PeerRole::kConnector ? PeerRole::kAcceptor
                                      : PeerRole::kConnector;
}

std::optional<PeerHello> ReadHello(const wire::Envelope& message) {
  const auto* hello = message.body_as_Hello();
  if (hello == nullptr || hello->protocol_version() != kProtocolVersion ||
      hello->nonce()->size() != kNonceBytes ||
      hello->role() > wire::Role::MAX) {
    return std::nullopt;
  }
  return PeerHello{.role = hello->role() == wire::Role::Connector
                               ? PeerRole::kConnector
                               : PeerRole::kAcceptor,
                   .incarnation = UnpackIncarnation(*hello->incarnation()),
                   .nonce = std::string(BytesOf(*hello->nonce()))};
}

BodyPacker PackHello(const PeerHello& own) {
  return [own](flatbuffers::FlatBufferBuilder& builder) -> PackedBody {
    const auto incarnation = PackIncarnation(builder, own.incarnation);
    const auto nonce = PackBytes(builder, own.nonce);
    const auto role = own.role == PeerRole::kConnector ? wire::Role::Connector
                                                       : wire::Role::Acceptor;
    return {wire::Body::Hello, wire::CreateHello(builder, kProtocolVersion,
                                                 role, incarnation, nonce)
                                   .Union()};
  };
}

BodyPacker PackProof(const std::string& proof) {
  return [proof](flatbuffers::FlatBufferBuilder& builder) -> PackedBody {
    const auto bytes = PackBytes(builder, proof);
    return {wire::Body::HelloProof,
            wire::CreateHelloProof(builder, bytes).Union()};
  };
}

BodyPacker PackReplyTooLong() {
  return [](flatbuffers::FlatBufferBuilder& builder) -> PackedBody {
    return {wire::Body::ErrorReply,
            wire::CreateErrorReplyDirect(builder, "reply_too_long",
                                         "the reply exceeds one frame")
                .Union()};
  };
}

bool IsReply(const wire::Envelope& message) {
  return message.body_type() == wire::Body::ShardReplies ||
         message.body_type() == wire::Body::ConfigReply ||
         message.body_type() == wire::Body::LoanReply ||
         message.body_type() == wire::Body::StoreReply ||
         message.body_type() == wire::Body::ErrorReply;
}

// Throws PeerFrameError if the message is too long for a frame.
std::string MakeFrame(std::uint64_t request_id, const BodyPacker& pack) {
  flatbuffers::FlatBufferBuilder builder;
  const auto [type, body] = pack(builder);
  builder.Finish(wire::CreateEnvelope(builder, request_id, type, body));
  return EncodeFrame({reinterpret_cast<const char*>(builder.GetBufferPointer()),
                      builder.GetSize()});
}

using Clock = std::chrono::steady_clock;

}  // namespace

flatbuffers::Offset<wire::Incarnation> PackIncarnation(
    flatbuffers::FlatBufferBuilder& builder,
    const Incarnation& incarnation) {
  const auto holder = wire::CreateHolderDirect(
      builder, incarnation.holder.host.c_str(), incarnation.holder.incarnation);
  return wire::CreateIncarnation(builder, holder, incarnation.started_ms);
}

Incarnation UnpackIncarnation(const wire::Incarnation& table) {
  return {
      .holder = {table.holder()->host()->str(), table.holder()->incarnation()},
      .started_ms = table.started_ms()};
}

std::string MakeProof(std::string_view secret,
                      PeerRole prover,
                      const PeerHello& connector,
                      const PeerHello& acceptor) {
  QByteArray text;
  AppendText(text, "crocuslatch peer proof");
  AppendNumber(text, kProtocolVersion);
  AppendNumber(text, static_cast<std::uint64_t>(prover));
  AppendHello(text, connector);
  AppendHello(text, acceptor);
  const QByteArray key(secret.data(), static_cast<qsizetype>(secret.size()));
  return QMessageAuthenticationCode::hash(text, key, QCryptographicHash::Sha256)
      .toStdString();
}

struct PeerLink::State : std::enable_shared_from_this<PeerLink::State> {
  enum class Phase : std::uint8_t { kHello, kProof, kReady, kClosed };

  PeerRole role = PeerRole::kConnector;
  PeerLinkOptions options;
  PeerLinkHooks hooks;
  QTcpSocket* socket = nullptr;
  // Context of all signals and timers. It is deleted by deleteLater, because
  // the state may be destroyed inside one of their handlers.
  QObject* context = new QObject;
  QTimer* auth_timer = new QTimer(context);
  QTimer* silence_timer = new QTimer(context);
  Phase phase = Phase::kHello;
  bool destroyed = false;
  PeerHello own;
  PeerHello peer;
  PeerFrameDecoder decoder;
  std::map<std::uint64_t, ReplyCallback> pending;
  std::uint64_t last_request = 0;
  // Frames that are sent after authentication.
  std::string queued_frames;
  Clock::time_point last_received = Clock::now();
  Clock::time_point last_used = Clock::now();

  State() = default;
  State(const State&) = delete;
  State& operator=(const State&) = delete;
  ~State() {
    context->deleteLater();
    socket->deleteLater();
  }

  void Start() {
    decoder.SetLimit(kMaxUnauthenticatedFrameBytes);
    own = {role, options.own, MakeNonce()};
    ConnectSignals();
    StartTimer(auth_timer, options.auth_timeout, "authentication timeout");
    if (role == PeerRole::kConnector &&
        socket->state() == QAbstractSocket::ConnectedState) {
      SendHandshake(PackHello(own));
    }
  }

  void ConnectSignals() {
    const auto guarded = [this](auto step) {
      return [self = weak_from_this(), step] {
        if (const auto it = self.lock(); it && it->phase != Phase::kClosed) {
          step(*it);
        }
      };
    };
    QObject::connect(socket, &QTcpSocket::readyRead, context,
                     guarded([](State& it) { it.OnReadyRead(); }));
    QObject::connect(socket, &QTcpSocket::disconnected, context,
                     guarded([](State& it) { it.Close("disconnected"); }));
    QObject::connect(socket, &QTcpSocket::errorOccurred, context,
                     guarded([](State& it) {
                       it.Close(it.socket->errorString().toStdString());
                     }));
    QObject::connect(socket, &QTcpSocket::connected, context,
                     guarded([](State& it) { it.OnConnected(); }));
  }

  void OnConnected() {
    if (role == PeerRole::kConnector) {
      SendHandshake(PackHello(own));
    }
  }

  void StartTimer(QTimer* timer, Millis limit, const char* reason) {
    timer->disconnect();
    QObject::connect(timer, &QTimer::timeout, context,
                     [self = weak_from_this(), reason] {
                       if (const auto it = self.lock()) {
                         it->Close(reason);
                       }
                     });
    timer->setSingleShot(true);
    timer->start(limit);
  }

  void OnReadyRead() {
    const auto keep = shared_from_this();
    last_received = Clock::now();
    if (phase == Phase::kReady) {
      silence_timer->start();
    }
    const QByteArray bytes = socket->readAll();
    decoder.Feed({bytes.data(), static_cast<std::size_t>(bytes.size())});
    try {
      std::string payload;
      while (phase != Phase::kClosed && decoder.Next(payload)) {
        OnEnvelope(ReadEnvelope(payload));
      }
    } catch (const UserError& error) {
      Reject(error.what());
    }
  }

  void OnEnvelope(const wire::Envelope& message) {
    switch (phase) {
      case Phase::kHello:
        OnHello(message);
        break;
      case Phase::kProof:
        OnProof(message);
        break;
      case Phase::kReady:
        OnMessage(message);
        break;
      case Phase::kClosed:
        break;
    }
  }

  void OnHello(const wire::Envelope& message) {
    const auto hello = ReadHello(message);
    if (!hello || hello->role != OtherRole(role)) {
      Reject("invalid hello message");
      return;
    }
    if (hello->nonce == own.nonce ||
        hello->incarnation.holder == own.incarnation.holder) {
      Reject("hello message sent back to its sender");
      return;
    }
    if (!options.expected_host.empty() &&
        hello->incarnation.holder.host != options.expected_host) {
      Reject(fmt::format("the peer is not the host {}", options.expected_host));
      return;
    }
    peer = *hello;
    phase = Phase::kProof;
    // The connector proves itself first, so that an unauthenticated client gets
    // no proof from which it could guess the secret.
    if (role == PeerRole::kConnector) {
      SendHandshake(PackProof(ComputeProof(role)));
    } else {
      SendHandshake(PackHello(own));
    }
  }

  std::string ComputeProof(PeerRole prover) const {
    const bool is_connector = role == PeerRole::kConnector;
    return MakeProof(options.secret, prover, is_connector ? own : peer,
                     is_connector ? peer : own);
  }

  void OnProof(const wire::Envelope& message) {
    const auto* proof = message.body_as_HelloProof();
    if (proof == nullptr ||
        !ProofsEqual(BytesOf(*proof->proof()), ComputeProof(OtherRole(role)))) {
      Reject("wrong proof of the fleet secret");
      return;
    }
    if (role == PeerRole::kAcceptor) {
      SendHandshake(PackProof(ComputeProof(role)));
    }
    OnAuthenticated();
  }

  void OnAuthenticated() {
    if (phase == Phase::kClosed) {
      return;
    }
    phase = Phase::kReady;
    auth_timer->stop();
    decoder.SetLimit(kMaxFrameBytes);
    StartTimer(silence_timer, options.receive_timeout, "silence");
    WriteBytes(std::exchange(queued_frames, {}));
    if (hooks.on_ready && phase == Phase::kReady) {
      hooks.on_ready(peer.incarnation);
    }
  }

  void OnMessage(const wire::Envelope& message) {
    last_used = Clock::now();
    if (IsReply(message)) {
      OnReplyMessage(message);
      return;
    }
    if (message.body_type() == wire::Body::Hello ||
        message.body_type() == wire::Body::HelloProof) {
      Reject("hello message on an authenticated connection");
      return;
    }
    if (hooks.on_message && !destroyed) {
      hooks.on_message(message, MakeReplyFunction(message.request_id()));
    }
  }

  // A reply that arrives after its timeout has no entry and is ignored.
  void OnReplyMessage(const wire::Envelope& message) {
    const auto it = pending.find(message.request_id());
    if (it == pending.end() || destroyed) {
      return;
    }
    const auto on_reply = std::move(it->second);
    pending.erase(it);
    on_reply(&message);
  }

  PeerReply MakeReplyFunction(std::uint64_t id) {
    const auto replied = std::make_shared<bool>(id == 0);
    return [self = weak_from_this(), id, replied](const BodyPacker& body) {
      const auto it = self.lock();
      if (!it || it->phase != Phase::kReady || std::exchange(*replied, true)) {
        return false;
      }
      if (!it->SendMessage(id, body)) {
        it->SendMessage(id, PackReplyTooLong());
        return false;
      }
      return it->phase == Phase::kReady;
    };
  }

  void Request(const BodyPacker& body, Millis timeout, ReplyCallback on_reply) {
    const auto id = ++last_request;
    last_used = Clock::now();
    pending.emplace(id, std::move(on_reply));
    const bool sent = SendMessage(id, body);
    QTimer::singleShot(sent ? timeout : Millis{0}, Qt::PreciseTimer, context,
                       [self = weak_from_this(), id, sent_at = last_used] {
                         if (const auto it = self.lock()) {
                           it->OnRequestTimeout(id, sent_at);
                         }
                       });
  }

  void OnRequestTimeout(std::uint64_t id, Clock::time_point sent_at) {
    const auto it = pending.find(id);
    if (it == pending.end() || destroyed) {
      return;
    }
    const auto keep = shared_from_this();
    const auto on_reply = std::move(it->second);
    pending.erase(it);
    const bool silent = phase == Phase::kReady && last_received < sent_at;
    on_reply(nullptr);
    if (silent) {
      Close("nothing received since a request was sent");
    }
  }

  // Returns false if the message exceeds a frame, the link is closed or too
  // many bytes wait for authentication.
  bool SendMessage(std::uint64_t id, const BodyPacker& body) {
    std::string frame;
    try {
      frame = MakeFrame(id, body);
    } catch (const PeerFrameError&) {
      return false;
    }
    if (phase == Phase::kReady) {
      WriteBytes(frame);
      return true;
    }
    if (phase == Phase::kClosed || queued_frames.size() > kMaxUnsentBytes) {
      return false;
    }
    queued_frames += frame;
    return true;
  }

  // Sends a hello or proof message, which does not wait for authentication.
  void SendHandshake(const BodyPacker& body) { WriteBytes(MakeFrame(0, body)); }

  void WriteBytes(const std::string& bytes) {
    if (static_cast<std::size_t>(socket->bytesToWrite()) > kMaxUnsentBytes) {
      Close("the peer reads too slowly");
      return;
    }
    socket->write(bytes.data(), static_cast<qint64>(bytes.size()));
  }

  void Reject(const std::string& reason) {
    if (phase != Phase::kClosed && !destroyed) {
      Log(LogEvent::kPeerRejected, "{}:{}: {}",
          socket->peerAddress().toString().toStdString(), socket->peerPort(),
          reason);
    }
    Close(reason);
  }

  // Closes the connection now; the hooks are called from the event loop.
  void Close(const std::string& reason) {
    if (phase == Phase::kClosed) {
      return;
    }
    phase = Phase::kClosed;
    auth_timer->stop();
    silence_timer->stop();
    socket->disconnect(context);
    socket->abort();
    QTimer::singleShot(0, context, [self = weak_from_this(), reason] {
      if (const auto it = self.lock()) {
        it->ReportClosed(reason);
      }
    });
  }

  // Calls on_closed before the reply callbacks, so that a callback that retries
  // gets a new link.
  void ReportClosed(const std::string& reason) {
    const auto keep = shared_from_this();
    if (destroyed) {
      return;
    }
    const auto unanswered = std::exchange(pending, {});
    if (hooks.on_closed) {
      hooks.on_closed(reason);
    }
    for (const auto& [id, on_reply] : unanswered) {
      on_reply(nullptr);
    }
  }
};

PeerLink::PeerLink(std::unique_ptr<QTcpSocket> socket,
                   PeerRole role,
                   PeerLinkOptions options,
                   PeerLinkHooks hooks)
    : state_(std::make_shared<State>()) {
  state_->socket = socket.release();
  // Otherwise the listener that accepted the socket would delete it as its
  // parent.
  state_->socket->setParent(nullptr);
  state_->socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  state_->role = role;
  state_->options = std::move(options);
  state_->hooks = std::move(hooks);
  state_->Start();
}

PeerLink::~PeerLink() {
  state_->destroyed = true;
  state_->Close("destroyed");
}

void PeerLink::Request(const BodyPacker& body,
                       Millis timeout,
                       ReplyCallback on_reply) {
  state_->Request(body, timeout, std::move(on_reply));
}

void PeerLink::Send(const BodyPacker& body) {
  state_->last_used = Clock::now();
  state_->SendMessage(0, body);
}

void PeerLink::SetReceiveTimeout(Millis limit) {
  state_->options.receive_timeout = limit;
  if (state_->phase == State::Phase::kReady) {
    state_->StartTimer(state_->silence_timer, limit, "silence");
  }
}

Millis PeerLink::idle_time() const {
  if (!state_->pending.empty()) {
    return Millis{0};
  }
  return std::chrono::duration_cast<Millis>(Clock::now() - state_->last_used);
}

bool PeerLink::is_ready() const {
  return state_->phase == State::Phase::kReady;
}

}  // namespace crocuslatch
