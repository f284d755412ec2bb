#ifndef TESTS_RAW_SERVER_H_
#define TESTS_RAW_SERVER_H_

#include <fmt/format.h>
#include <sys/socket.h>

#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <functional>
#include <memory>
#include <string>

#include "src/types.h"

// Defines a TCP server whose bytes a test writes itself.

namespace crocuslatch {

// A server that passes all bytes received on a connection to a hook.
class RawServer {
 public:
  using OnBytes = std::function<void(QTcpSocket&, const QByteArray& all)>;

  explicit RawServer(const OnBytes& on_bytes) {
    server_.listen(QHostAddress::LocalHost);
    QObject::connect(
        &server_, &QTcpServer::newConnection, &server_, [this, on_bytes] {
          ++connections;
          auto* socket = server_.nextPendingConnection();
          ++open_connections;
          QObject::connect(socket, &QTcpSocket::disconnected, &server_,
                           [this] { --open_connections; });
          const auto all = std::make_shared<QByteArray>();
          QObject::connect(socket, &QTcpSocket::readyRead, socket,
                           [socket, all, on_bytes] {
                             *all += socket->readAll();
                             on_bytes(*socket, *all);
                           });
        });
  }

  std::uint16_t port() const { return server_.serverPort(); }
  std::string Url() const {
    return fmt::format("http://127.0.0.1:{}/order", port());
  }

  int connections = 0;
  int open_connections = 0;

 private:
  QTcpServer server_;
};

// Closes the connection with a reset.
inline void ResetConnection(QTcpSocket& socket) {
  const linger discard{1, 0};
  ::setsockopt(static_cast<int>(socket.socketDescriptor()), SOL_SOCKET,
               SO_LINGER, &discard, sizeof discard);
  socket.abort();
}

// Writes `first` and then `rest` again and again until the peer closes, with at
// most about `max_queued` bytes waiting to be sent.
inline void WriteWithoutEnd(QTcpSocket& socket,
                            const std::string& first,
                            const std::string& rest,
                            qint64 max_queued = 1 << 20,
                            Millis period = Millis{1}) {
  socket.write(first.data(), static_cast<qint64>(first.size()));
  auto* timer = new QTimer(&socket);
  QObject::connect(
      timer, &QTimer::timeout, &socket, [&socket, rest, max_queued] {
        while (socket.state() == QAbstractSocket::ConnectedState &&
               socket.bytesToWrite() < max_queued) {
          socket.write(rest.data(), static_cast<qint64>(rest.size()));
        }
      });
  timer->start(period);
}

}  // namespace crocuslatch

#endif  // TESTS_RAW_SERVER_H_
