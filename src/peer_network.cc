#include "src/peer_network.h"

#include <QHostAddress>
#include <QNetworkProxy>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <algorithm>
#include <map>

#include "src/error.h"
#include "src/ip_endpoint.h"
#include "src/log.h"
#include "src/peer_link.h"
#include "src/shard_codec.h"

namespace crocuslatch {
namespace {

// Upper bound of the timeout that a peer may set for its commands.
constexpr Millis kMaxApplyTimeout{10000};

// Receive timeout that closes a link almost at once.
constexpr Millis kCloseNow{1};

// Maximum number of incarnations read from one heartbeat. A correct sender
// never exceeds it.
constexpr std::size_t kMaxHeardOf = 1000;

UserError ListenError(const PeerNetworkOptions& options,
                      const QString& reason) {
  return {"listen_failed",
          fmt::format("cannot listen for peers on {}:{}: {}", options.address,
                      options.port, reason.toStdString()),
          "free the port, or change the address or port in the settings"};
}

BodyPacker PackHeartbeat(const PeerHeartbeat& heartbeat) {
  return [heartbeat](flatbuffers::FlatBufferBuilder& builder) -> PackedBody {
    const auto sha256 =
        QByteArray::fromHex(QByteArray::fromStdString(heartbeat.config_sha256));
    const auto sha256_vector = builder.CreateVector(
        reinterpret_cast<const std::uint8_t*>(sha256.data()),
        static_cast<std::size_t>(sha256.size()));
    std::vector<flatbuffers::Offset<wire::Incarnation>> heard_of;
    for (const auto& it : heartbeat.heard_of) {
      heard_of.push_back(PackIncarnation(builder, it));
    }
    const auto heard_vector = builder.CreateVector(heard_of);
    return {wire::Body::Heartbeat,
            wire::CreateHeartbeat(builder, heartbeat.config_version,
                                  sha256_vector, heard_vector)
                .Union()};
  };
}

PeerHeartbeat UnpackHeartbeat(const wire::Heartbeat& table) {
  PeerHeartbeat result{.config_version = table.config_version()};
  if (const auto* sha256 = table.config_sha256()) {
    result.config_sha256 =
        QByteArray(reinterpret_cast<const char*>(sha256->data()),
                   static_cast<qsizetype>(sha256->size()))
            .toHex()
            .toStdString();
  }
  if (table.heard_of() != nullptr) {
    for (const auto* it : *table.heard_of()) {
      if (result.heard_of.size() < kMaxHeardOf) {
        result.heard_of.push_back(UnpackIncarnation(*it));
      }
    }
  }
  return result;
}

BodyPacker PackShardRequest(std::uint32_t shard,
                            std::vector<ShardCommand> commands,
                            Millis timeout) {
  return [shard, commands = std::move(commands),
          timeout](flatbuffers::FlatBufferBuilder& builder) -> PackedBody {
    const auto vector = PackCommands(builder, commands);
    const auto timeout_ms = static_cast<std::uint32_t>(timeout.count());
    return {
        wire::Body::ShardRequest,
        wire::CreateShardRequest(builder, shard, timeout_ms, vector).Union()};
  };
}

BodyPacker PackShardReplies(std::vector<ShardReply> replies) {
  return [replies = std::move(replies)](
             flatbuffers::FlatBufferBuilder& builder) -> PackedBody {
    const auto vector = PackReplies(builder, replies);
    return {wire::Body::ShardReplies,
            wire::CreateShardReplies(builder, vector).Union()};
  };
}

BodyPacker PackErrorReply(const std::string& code, const std::string& message) {
  return [code,
          message](flatbuffers::FlatBufferBuilder& builder) -> PackedBody {
    return {wire::Body::ErrorReply,
            wire::CreateErrorReplyDirect(builder, code.c_str(), message.c_str())
                .Union()};
  };
}

BodyPacker PackRecall(const std::string& budget) {
  return [budget](flatbuffers::FlatBufferBuilder& builder) -> PackedBody {
    return {wire::Body::Recall,
            wire::CreateRecallDirect(builder, budget.c_str()).Union()};
  };
}

BodyPacker PackConfigRequest() {
  return [](flatbuffers::FlatBufferBuilder& builder) -> PackedBody {
    return {wire::Body::ConfigRequest,
            wire::CreateConfigRequest(builder).Union()};
  };
}

BodyPacker PackConfigReply(const std::string& document) {
  return [document](flatbuffers::FlatBufferBuilder& builder) -> PackedBody {
    const auto bytes = builder.CreateVector(
        reinterpret_cast<const std::uint8_t*>(document.data()),
        document.size());
    return {wire::Body::ConfigReply,
            wire::CreateConfigReply(builder, bytes).Union()};
  };
}

struct CommandResult {
  LedgerStatus status = LedgerStatus::kUnknown;
  std::vector<ShardReply> replies;
};

// The outcome is unknown unless there is exactly one reply for each command.
CommandResult ReadReplies(const wire::Envelope* reply, std::size_t count) {
  const auto* table =
      reply == nullptr ? nullptr : reply->body_as_ShardReplies();
  if (table == nullptr) {
    return {};
  }
  try {
    auto replies = UnpackReplies(table->replies());
    if (replies.size() == count) {
      return {LedgerStatus::kDurable, std::move(replies)};
    }
  } catch (const UserError& error) {
    Log(LogEvent::kPeerRejected, "reply: {}", error.what());
  }
  return {};
}

std::string ReadDocument(const wire::Envelope* reply) {
  const auto* table = reply == nullptr ? nullptr : reply->body_as_ConfigReply();
  if (table == nullptr) {
    return {};
  }
  return {reinterpret_cast<const char*>(table->document()->data()),
          table->document()->size()};
}

// Returns a callback that sends the replies once the commands are durable.
LedgerCallback ReplyWithResult(PeerReply reply) {
  return [reply = std::move(reply)](LedgerStatus status,
                                    const std::vector<ShardReply>& replies) {
    if (status == LedgerStatus::kDurable) {
      reply(PackShardReplies(replies));
    } else {
      reply(PackErrorReply("outcome_unknown",
                           "the commands may take effect later"));
    }
  };
}

void RunLater(const Task& task) {
  QTimer::singleShot(0, task);
}

}  // namespace

struct PeerNetwork::State : std::enable_shared_from_this<PeerNetwork::State> {
  struct Connection {
    std::unique_ptr<PeerLink> link;
    // Host of an outgoing connection; empty for an inbound one.
    std::string host;
    Incarnation peer;
    bool has_heartbeats = false;
  };
  using ConnectionId = std::uint64_t;

  PeerNetworkOptions options;
  PeerNetworkHooks hooks;
  QTcpServer server;
  QTimer heartbeat_timer;
  // Inbound and outbound connections; ids are not reused.
  std::map<ConnectionId, Connection> connections;
  std::map<std::string, ConnectionId> outgoing;
  ConnectionId last_id = 0;

  void Start() {
    if (!server.listen(QHostAddress(QString::fromStdString(options.address)),
                       options.port)) {
      throw ListenError(options, server.errorString());
    }
    QObject::connect(&server, &QTcpServer::newConnection, &server,
                     [this] { Accept(); });
    QObject::connect(&heartbeat_timer, &QTimer::timeout, &heartbeat_timer,
                     [this] { OnHeartbeatTimer(); });
    heartbeat_timer.start(options.heartbeat_period);
    QTimer::singleShot(0, &heartbeat_timer, [this] { OnHeartbeatTimer(); });
  }

  void Accept() {
    while (server.hasPendingConnections()) {
      std::unique_ptr<QTcpSocket> socket(server.nextPendingConnection());
      if (connections.size() - outgoing.size() <
          options.max_inbound_connections) {
        AddConnection(std::move(socket), "");
      }
    }
  }

  Connection& AddConnection(std::unique_ptr<QTcpSocket> socket,
                            const std::string& host) {
    const ConnectionId id = ++last_id;
    auto& connection = connections[id];
    connection.host = host;
    connection.link = std::make_unique<PeerLink>(
        std::move(socket),
        host.empty() ? PeerRole::kAcceptor : PeerRole::kConnector,
        PeerLinkOptions{.secret = options.secret,
                        .own = options.own,
                        .expected_host = host,
                        .auth_timeout = options.connect_timeout},
        MakeLinkHooks(id));
    if (!host.empty()) {
      outgoing[host] = id;
    }
    return connection;
  }

  PeerLinkHooks MakeLinkHooks(ConnectionId id) {
    return {
        .on_ready = [this, id](const Incarnation& peer) { OnReady(id, peer); },
        .on_closed = [this,
                      id](const std::string& reason) { OnClosed(id, reason); },
        .on_message =
            [this, id](const wire::Envelope& message, const PeerReply& reply) {
              OnMessage(id, message, reply);
            },
    };
  }

  // Returns the open connection to the host, or opens one. Null if the host's
  // address is unknown.
  Connection* ConnectionTo(const std::string& host) {
    const auto it = outgoing.find(host);
    if (it != outgoing.end()) {
      return &connections.at(it->second);
    }
    const auto endpoint = ParseIpEndpoint(hooks.address_of(host));
    if (!endpoint) {
      return nullptr;
    }
    auto socket = std::make_unique<QTcpSocket>();
    socket->setProxy(QNetworkProxy::NoProxy);
    socket->connectToHost(
        QHostAddress(QString::fromStdString(endpoint->address)),
        endpoint->port);
    return &AddConnection(std::move(socket), host);
  }

  void Erase(ConnectionId id) {
    const auto it = connections.find(id);
    if (it == connections.end()) {
      return;
    }
    if (!it->second.host.empty()) {
      outgoing.erase(it->second.host);
    }
    connections.erase(it);
  }

  void OnReady(ConnectionId id, const Incarnation& peer) {
    auto& connection = connections.at(id);
    connection.peer = peer;
    Log(LogEvent::kPeerConnected, "{} {}",
        connection.host.empty() ? "from" : "to", ToString(peer.holder));
    if (hooks.on_peer_authenticated) {
      hooks.on_peer_authenticated(peer);
    }
    if (connection.has_heartbeats) {
      SendHeartbeat(connection);
    }
  }

  void OnClosed(ConnectionId id, const std::string& reason) {
    const auto host = connections.at(id).host;
    const auto peer = connections.at(id).peer;
    Erase(id);
    if (!peer.holder.host.empty()) {
      Log(LogEvent::kPeerLost, "{}: {}", ToString(peer.holder), reason);
    }
    if (!host.empty() && hooks.on_unreachable) {
      hooks.on_unreachable(host);
    }
  }

  void OnMessage(ConnectionId id,
                 const wire::Envelope& message,
                 const PeerReply& reply) {
    switch (message.body_type()) {
      case wire::Body::Heartbeat:
        OnHeartbeat(connections.at(id), *message.body_as_Heartbeat());
        break;
      case wire::Body::ShardRequest:
        OnShardRequest(*message.body_as_ShardRequest(), reply);
        break;
      case wire::Body::Recall:
        if (hooks.on_recall) {
          hooks.on_recall(message.body_as_Recall()->budget()->str());
        }
        break;
      case wire::Body::ConfigRequest:
        OnConfigRequest(reply);
        break;
      default:
        if (hooks.on_message) {
          hooks.on_message(connections.at(id).peer.holder, message, reply);
        }
        break;
    }
  }

  // The accepting side answers each heartbeat with its own.
  void OnHeartbeat(Connection& connection, const wire::Heartbeat& table) {
    auto heartbeat = UnpackHeartbeat(table);
    heartbeat.sender = connection.peer;
    if (connection.host.empty()) {
      SendHeartbeat(connection);
    }
    if (hooks.on_heartbeat) {
      hooks.on_heartbeat(heartbeat);
    }
  }

  void OnShardRequest(const wire::ShardRequest& table, const PeerReply& reply) {
    std::vector<ShardCommand> commands;
    try {
      commands = UnpackCommands(table.commands());
    } catch (const UserError& error) {
      Log(LogEvent::kPeerRejected, "commands: {}", error.what());
      reply(PackErrorReply(error.code(), error.what()));
      return;
    }
    const auto timeout = std::min(Millis{table.timeout_ms()}, kMaxApplyTimeout);
    hooks.apply(table.shard(), std::move(commands), timeout,
                ReplyWithResult(reply));
  }

  void OnConfigRequest(const PeerReply& reply) {
    const auto document =
        hooks.encoded_document ? hooks.encoded_document() : std::string();
    if (document.empty()) {
      reply(PackErrorReply("no_document", "no configuration is in force"));
    } else {
      reply(PackConfigReply(document));
    }
  }

  void SendHeartbeat(Connection& connection) {
    if (hooks.make_heartbeat && connection.link->is_ready()) {
      connection.link->Send(PackHeartbeat(hooks.make_heartbeat()));
    }
  }

  void OnHeartbeatTimer() {
    const auto peers = hooks.heartbeat_peers ? hooks.heartbeat_peers()
                                             : std::vector<std::string>();
    for (const auto& it : peers) {
      if (auto* connection = ConnectionTo(it)) {
        StartHeartbeats(*connection);
        SendHeartbeat(*connection);
      }
    }
    CloseUnused(peers);
  }

  void StartHeartbeats(Connection& connection) {
    if (!connection.has_heartbeats) {
      connection.has_heartbeats = true;
      connection.link->SetReceiveTimeout(options.receive_timeout);
    }
  }

  // Closes outgoing connections that carry neither heartbeats nor recent
  // requests. A connection that no longer carries heartbeats gets the default
  // receive timeout, since silence is then normal.
  void CloseUnused(const std::vector<std::string>& heartbeat_peers) {
    std::vector<ConnectionId> unused;
    for (const auto& [host, id] : outgoing) {
      auto& connection = connections.at(id);
      if (std::ranges::find(heartbeat_peers, host) != heartbeat_peers.end()) {
        continue;
      }
      if (std::exchange(connection.has_heartbeats, false)) {
        connection.link->SetReceiveTimeout(PeerLinkOptions().receive_timeout);
      }
      if (connection.link->idle_time() > options.idle_timeout) {
        unused.push_back(id);
      }
    }
    for (const auto it : unused) {
      Erase(it);
    }
  }

  void Request(const std::string& host,
               const BodyPacker& body,
               Millis timeout,
               PeerLink::ReplyCallback on_reply) {
    auto* connection = ConnectionTo(host);
    if (connection == nullptr) {
      RunLater([on_reply = std::move(on_reply)] { on_reply(nullptr); });
      return;
    }
    const ConnectionId id = outgoing.at(host);
    connection->link->Request(
        body, timeout,
        [self = weak_from_this(), id,
         on_reply = std::move(on_reply)](const wire::Envelope* reply) {
          const auto state = self.lock();
          if (!state) {
            return;
          }
          const auto it = state->connections.find(id);
          if (reply == nullptr && it != state->connections.end()) {
            // Closes the link, which also fails its other pending requests.
            // Destroying the link would not call their callbacks.
            it->second.link->SetReceiveTimeout(kCloseNow);
          }
          on_reply(reply);
        });
  }

  void SendCommands(const std::string& host,
                    std::uint32_t shard,
                    std::vector<ShardCommand> commands,
                    Millis timeout,
                    const LedgerCallback& callback) {
    auto* connection = ConnectionTo(host);
    if (connection == nullptr) {
      RunLater([callback] { callback(LedgerStatus::kUnknown, {}); });
      return;
    }
    const auto count = commands.size();
    connection->link->Request(
        PackShardRequest(shard, std::move(commands), timeout), timeout,
        [self = weak_from_this(), callback,
         count](const wire::Envelope* reply) {
          if (self.lock()) {
            const auto result = ReadReplies(reply, count);
            callback(result.status, result.replies);
          }
        });
  }
};

PeerNetwork::PeerNetwork(PeerNetworkOptions options, PeerNetworkHooks hooks)
    : state_(std::make_shared<State>()) {
  state_->options = std::move(options);
  state_->hooks = std::move(hooks);
  state_->Start();
}

PeerNetwork::~PeerNetwork() = default;

std::uint16_t PeerNetwork::port() const {
  return state_->server.serverPort();
}

void PeerNetwork::SendCommands(const std::string& host,
                               std::uint32_t shard,
                               std::vector<ShardCommand> commands,
                               Millis timeout,
                               const LedgerCallback& callback) {
  state_->SendCommands(host, shard, std::move(commands), timeout, callback);
}

SendToPeer PeerNetwork::send_to_peer() {
  return [state = std::weak_ptr<State>(state_)](
             const std::string& host, std::uint32_t shard,
             std::vector<ShardCommand> commands, Millis timeout,
             const LedgerCallback& callback) {
    if (const auto it = state.lock()) {
      it->SendCommands(host, shard, std::move(commands), timeout, callback);
    } else {
      RunLater([callback] { callback(LedgerStatus::kUnknown, {}); });
    }
  };
}

void PeerNetwork::SendRecall(const std::string& host,
                             const std::string& budget) {
  if (auto* connection = state_->ConnectionTo(host)) {
    connection->link->Send(PackRecall(budget));
  }
}

void PeerNetwork::FetchConfig(
    const std::string& host,
    std::function<void(const std::string& encoded)> callback) {
  auto* connection = state_->ConnectionTo(host);
  if (connection == nullptr) {
    RunLater([callback = std::move(callback)] { callback(""); });
    return;
  }
  connection->link->Request(
      PackConfigRequest(), state_->options.config_timeout,
      [state = std::weak_ptr<State>(state_),
       callback = std::move(callback)](const wire::Envelope* reply) {
        if (state.lock()) {
          callback(ReadDocument(reply));
        }
      });
}

void PeerNetwork::Request(const std::string& host,
                          const BodyPacker& body,
                          Millis timeout,
                          PeerLink::ReplyCallback on_reply) {
  state_->Request(host, body, timeout, std::move(on_reply));
}

void PeerNetwork::Send(const std::string& host, const BodyPacker& body) {
  if (auto* connection = state_->ConnectionTo(host)) {
    connection->link->Send(body);
  }
}

std::vector<std::string> PeerNetwork::ConnectedHosts() const {
  std::vector<std::string> result;
  for (const auto& [host, id] : state_->outgoing) {
    if (state_->connections.at(id).link->is_ready()) {
      result.push_back(host);
    }
  }
  return result;
}

}  // namespace crocuslatch
