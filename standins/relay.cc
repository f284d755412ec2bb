#include "standins/relay.h"

#include <fmt/format.h>

#include <QHostAddress>
#include <QTimer>
#include <algorithm>

#include "src/error.h"

namespace crocuslatch::standins {

namespace {

// Bounds the data buffered for a direction that is not forwarded. Beyond it,
// TCP flow control stops the sender.
constexpr qint64 kReadBufferBytes = 64 << 10;
constexpr qint64 kMaxUnsentBytes = 1 << 20;
// Time allowed for writing the remaining data after one side has closed.
constexpr Millis kLinger{5000};

}  // namespace

// A client connection and its connection to the target. `pending[0]` contains
// the data for the client, `pending[1]` the data for the target.
struct Relay::Link {
  struct Chunk {
    Millis due{0};
    QByteArray data;
  };
  QTcpSocket* Reader(bool to_target) const {
    return to_target ? client.get() : target.get();
  }
  QTcpSocket* Writer(bool to_target) const { return Reader(!to_target); }

  std::unique_ptr<QTcpSocket> client;
  std::unique_ptr<QTcpSocket> target;
  std::deque<Chunk> pending[2];
  // The connections stay open but no longer forward anything.
  bool silent = false;
};

Relay::Relay(EventLoop loop, const Endpoint& listen, const Endpoint& target)
    : loop_(std::move(loop)), target_(target) {
  const QHostAddress address(QString::fromStdString(listen.address));
  if (!server_.listen(address, listen.port)) {
    throw UserError(
        "listen_failed",
        fmt::format("cannot listen on {}:{}: {}", listen.address, listen.port,
                    server_.errorString().toStdString()),
        "Choose a free port.");
  }
  QObject::connect(&server_, &QTcpServer::newConnection, &server_,
                   [this] { AcceptAll(); });
}

std::uint16_t Relay::port() const {
  return server_.serverPort();
}

void Relay::Control(const QJsonObject& changes) {
  Update(changes, "drop_new", faults_.drop_new);
  Update(changes, "delay_ms", faults_.delay_ms);
  Update(changes, "forward", faults_.forward);
  if (changes.contains("target")) {
    target_ = ParseEndpoint(changes.value("target").toString().toStdString());
  }
  if (changes.value("silence").toBool()) {
    std::ranges::for_each(links_, [](const LinkPtr& it) { it->silent = true; });
  }
  if (changes.value("cut").toBool()) {
    AbortAll();
  }
  // Read data that arrived while its direction was not forwarded.
  for (const auto& it : std::vector(links_)) {
    Pump(it, true);
    Pump(it, false);
  }
}

void Relay::AcceptAll() {
  while (QTcpSocket* client = server_.nextPendingConnection()) {
    ++accepted_;
    if (faults_.drop_new) {
      ++dropped_;
      client->abort();
      client->deleteLater();
    } else {
      Open(client);
    }
  }
}

void Relay::Open(QTcpSocket* client) {
  const auto link = std::make_shared<Link>();
  client->setParent(nullptr);
  client->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  link->client.reset(client);
  link->target = std::make_unique<QTcpSocket>();
  links_.push_back(link);
  Connect(link);
}

void Relay::Connect(const LinkPtr& link) {
  // The link owns the sockets, so their callbacks must not own the link.
  const std::weak_ptr<Link> weak = link;
  for (const bool to_target : {true, false}) {
    QTcpSocket* reader = link->Reader(to_target);
    reader->setReadBufferSize(kReadBufferBytes);
    const auto pump = [this, weak, to_target] {
      if (const auto it = weak.lock()) {
        Pump(it, to_target);
      }
    };
    const auto close = [this, weak, to_target] {
      if (const auto it = weak.lock()) {
        Close(it, !to_target);
      }
    };
    QObject::connect(reader, &QTcpSocket::readyRead, reader, pump);
    QObject::connect(link->Writer(to_target), &QTcpSocket::bytesWritten, reader,
                     pump);
    QObject::connect(reader, &QTcpSocket::disconnected, reader, close);
    QObject::connect(reader, &QTcpSocket::errorOccurred, reader, close);
  }
  QObject::connect(link->target.get(), &QTcpSocket::connected,
                   link->target.get(), [this, weak] {
                     if (const auto it = weak.lock()) {
                       it->target->setSocketOption(
                           QAbstractSocket::LowDelayOption, 1);
                       Pump(it, true);
                     }
                   });
  link->target->connectToHost(QString::fromStdString(target_.address),
                              target_.port);
}

bool Relay::Forwards(const Link& link, bool to_target) const {
  const std::string_view direction = to_target ? "to_target" : "to_client";
  return !link.silent &&
         (faults_.forward == "both" || faults_.forward == direction);
}

void Relay::Pump(const LinkPtr& link, bool to_target) {
  QTcpSocket* writer = link->Writer(to_target);
  if (!Forwards(*link, to_target) || !writer->isValid() ||
      writer->state() != QAbstractSocket::ConnectedState ||
      writer->bytesToWrite() > kMaxUnsentBytes) {
    return;
  }
  const QByteArray data = link->Reader(to_target)->readAll();
  if (data.isEmpty()) {
    return;
  }
  auto& pending = link->pending[to_target ? 1 : 0];
  const auto due = loop_.now() + Millis(faults_.delay_ms);
  const auto last = pending.empty() ? due : pending.back().due;
  pending.push_back({std::max(due, last), data});
  if (faults_.delay_ms == 0 && pending.size() == 1) {
    return Deliver(link, to_target);
  }
  loop_.after(pending.back().due - loop_.now(),
              [this, link, to_target] { Deliver(link, to_target); });
}

void Relay::Deliver(const LinkPtr& link, bool to_target) {
  auto& pending = link->pending[to_target ? 1 : 0];
  while (!pending.empty() && pending.front().due <= loop_.now()) {
    const QByteArray data = pending.front().data;
    pending.pop_front();
    if (!link->silent) {
      bytes_ += data.size();
      link->Writer(to_target)->write(data);
    }
  }
}

void Relay::Close(const LinkPtr& link, bool by_target) {
  // A direction that is not forwarded does not pass on a close either.
  if (std::ranges::find(links_, link) == links_.end() ||
      !Forwards(*link, !by_target)) {
    return;
  }
  Pump(link, !by_target);
  std::erase(links_, link);
  const Millis delay(faults_.delay_ms);
  loop_.after(delay, [link, by_target] {
    link->Writer(!by_target)->disconnectFromHost();
  });
  // Keep the link alive: a socket must not be destroyed inside its own signal
  // handler, and the remaining data must be written first.
  loop_.after(delay + kLinger, [link] {});
}

void Relay::AbortAll() {
  const auto links = std::exchange(links_, {});
  for (const auto& it : links) {
    it->client->abort();
    it->target->abort();
  }
}

QJsonObject Relay::Stats() const {
  const auto silent = std::ranges::count_if(
      links_, [](const LinkPtr& it) { return it->silent; });
  return {{"open", static_cast<qint64>(links_.size())},
          {"silent", static_cast<qint64>(silent)},
          {"accepted", static_cast<qint64>(accepted_)},
          {"dropped", static_cast<qint64>(dropped_)},
          {"bytes", static_cast<qint64>(bytes_)}};
}

}  // namespace crocuslatch::standins
