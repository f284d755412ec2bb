#include <fmt/format.h>

#include <QTcpServer>
#include <QTcpSocket>
#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

#include "io/http_client.h"
#include "io/http_server.h"
#include "tests/run_until.h"

namespace crocuslatch {
namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr int kConnections = 600;

// Changes some bytes, repeats or removes a part, or cuts the end.
std::string Mutate(std::string bytes, std::mt19937_64& random) {
  const auto below = [&](std::size_t n) { return random() % n; };
  for (std::size_t n = below(4) + 1; n > 0 && !bytes.empty(); --n) {
    const auto from = below(bytes.size());
    const auto size = std::min(bytes.size() - from, below(20));
    switch (below(4)) {
      case 0:
        bytes[from] = static_cast<char>(random());
        break;
      case 1:
        bytes.insert(from, bytes.substr(from, size));
        break;
      case 2:
        bytes.erase(from, size);
        break;
      default:
        bytes.resize(from);
        break;
    }
  }
  // A connection without any byte may stay open for a minute.
  return bytes.empty() ? "x" : bytes;
}

}  // namespace

// Guards against requests that crash the server, hold a connection for good
// or get an answer that they should not.
TEST_CASE("changed requests are answered or closed and the server goes on") {
  const std::vector<std::string> samples{
      "POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
      "Connection: close\r\n\r\nhello",
      "GET /a?b=c HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
      "Connection: close\r\n\r\n5\r\nhello\r\n3;x=y\r\nabc\r\n0\r\n\r\n",
      // Most changes hit its body and leave a valid request.
      "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 90\r\n\r\n" +
          std::string(90, 'b')};
  std::mt19937_64 random(kSeed);
  int handled = 0;
  HttpServer front({.max_body_bytes = 100, .request_timeout = Millis{300}},
                   [&](const IncomingRequest& request, HttpReply reply) {
                     ++handled;
                     CHECK(request.body.size() <= 100);
                     // Not "close": a change may have hit that header.
                     reply.SendResponse(200, {}, "ok");
                   });
  std::vector<std::unique_ptr<QTcpSocket>> sockets;
  for (int n = 0; n < kConnections; ++n) {
    const auto bytes = Mutate(samples[n % samples.size()], random);
    sockets.push_back(std::make_unique<QTcpSocket>());
    sockets.back()->connectToHost("127.0.0.1", front.port());
    sockets.back()->write(bytes.data(), static_cast<qint64>(bytes.size()));
  }
  CHECK(RunUntil([&] {
    return std::ranges::all_of(sockets, [](const auto& it) {
      return it->state() == QAbstractSocket::UnconnectedState ||
             it->bytesAvailable() > 0;
    });
  }));
  CHECK(handled > kConnections / 10);
  CHECK(handled < kConnections);
  CHECK(front.open_requests() == 0);
}

// Guards against answers that crash the client or leave a request without an
// end.
TEST_CASE("every request ends whatever the server answers") {
  const std::vector<std::string> samples{
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Version: 7\r\n\r\nhello",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n0\r\n\r\n",
      "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 302 Found\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n"};
  std::mt19937_64 random(kSeed);
  QTcpServer server;
  server.listen(QHostAddress::LocalHost);
  int answered = 0;
  QObject::connect(&server, &QTcpServer::newConnection, &server, [&] {
    auto* socket = server.nextPendingConnection();
    QObject::connect(socket, &QTcpSocket::readyRead, socket, [&, socket] {
      const auto bytes = Mutate(samples[answered % samples.size()], random);
      ++answered;
      socket->readAll();
      socket->write(bytes.data(), static_cast<qint64>(bytes.size()));
      if (answered % 2 == 0) {
        socket->disconnectFromHost();
      }
    });
  });
  HttpClient client;
  std::map<HttpResult, int> ends;
  int total = 0;
  for (int n = 0; n < kConnections; ++n) {
    const HttpRequest request{
        .method = "POST",
        .url = fmt::format("http://127.0.0.1:{}/", server.serverPort()),
        .body = "order",
        .first_byte_timeout = Millis{500},
        .stall_timeout = Millis{300}};
    client.SendAndCollect(request, [&](HttpResult end, int status,
                                       const HttpHeaders&, const std::string&) {
      CHECK((end == HttpResult::kComplete) == (status != 0));
      ++ends[end];
      ++total;
    });
  }
  CHECK(RunUntil([&] { return total == kConnections; }));
  CHECK(ends[HttpResult::kComplete] > 0);
  CHECK(ends[HttpResult::kNotSent] == 0);
}

}  // namespace crocuslatch
