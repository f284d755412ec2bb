#ifndef TESTS_RAW_SERVER_H_
#define TESTS_RAW_SERVER_H_

#include <fmt/format.h>

#include <QTcpServer>
#include <QTcpSocket>
#include <functional>
#include <memory>
#include <string>

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

}  // namespace crocuslatch

#endif  // TESTS_RAW_SERVER_H_
