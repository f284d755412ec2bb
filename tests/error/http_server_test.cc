#include "io/http_server.h"

#include <QTcpSocket>
#include <catch2/catch.hpp>

#include "tests/run_until.h"

namespace crocuslatch {
namespace {

HttpServerOptions ShortLimits() {
  return {.max_body_bytes = 1000, .request_timeout = Millis{200}};
}

void Echo(const IncomingRequest& request, HttpReply reply) {
  reply.SendResponse(200, {}, request.method + request.path + request.body);
}

// Sends `bytes` on a new connection and returns what comes back until `done`
// or the end of the connection.
std::string Exchange(std::uint16_t port,
                     const std::string& bytes,
                     const std::function<bool(const std::string&)>& done) {
  QTcpSocket socket;
  socket.connectToHost("127.0.0.1", port);
  socket.write(bytes.data(), static_cast<qint64>(bytes.size()));
  std::string got;
  const bool ended = RunUntil([&] {
    got += socket.readAll().toStdString();
    return done(got) || socket.state() == QAbstractSocket::UnconnectedState;
  });
  CHECK(ended);
  return got + socket.readAll().toStdString();
}

bool Never(const std::string&) {
  return false;
}

bool Served(const HttpServer& front) {
  const auto got =
      Exchange(front.port(), "GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
               [](const auto& it) { return it.ends_with("GET/a"); });
  return got.starts_with("HTTP/1.1 200") && got.ends_with("GET/a");
}

}  // namespace

// Guards against connections that stay open or a process that stops serving
// after malformed input.
TEST_CASE("garbage and half-sent requests are closed and the server goes on") {
  const std::string bytes = GENERATE(
      std::string("garbage\r\n\r\n"), std::string("GET"),
      std::string("GET / HTTP/1.1\r\nHost: h\r\n"),
      std::string(
          "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf"),
      std::string("POST / HTTP/1.1\r\nContent-Length: -5\r\n\r\nhalf"),
      std::string("POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n"
                  "\r\nhalf"),
      std::string(
          "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"),
      std::string("POST / HTTP/1.1\r\nContent-Length: 4\r\n"
                  "Content-Length: 2\r\n\r\nhalf"),
      std::string(100000, 'A'), std::string(64, '\0'));
  HttpServer front(ShortLimits(), Echo);
  INFO(bytes.substr(0, 60));
  const auto got = Exchange(front.port(), bytes, Never);
  CHECK((got.empty() || got.starts_with("HTTP/1.1 4")));
  CHECK(Served(front));
  CHECK(front.open_requests() == 0);
}

TEST_CASE("an oversized body gets a typed error") {
  HttpServer front(ShortLimits(), Echo);
  const auto got =
      Exchange(front.port(),
               "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
               "Content-Length: 2000\r\n\r\n" +
                   std::string(2000, 'x'),
               Never);
  CHECK(got.starts_with("HTTP/1.1 413"));
  CHECK(got.find("body_too_large") != std::string::npos);
  CHECK(Served(front));
}

// Guards against two answers mixed on one connection.
TEST_CASE("a pipelined request is answered after the first one") {
  HttpServer front(ShortLimits(), Echo);
  const auto got = Exchange(
      front.port(),
      "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
      [](const auto& it) { return it.ends_with("GET/b"); });
  CHECK(got.find("GET/a") < got.find("GET/b"));
  CHECK(got.ends_with("GET/b"));
}

// As above while the first answer is open: the second request waits for its
// end, and garbage is refused after it.
TEST_CASE("a request during a stream never writes into it") {
  std::vector<HttpReply> replies;
  HttpServer front(ShortLimits(),
                   [&](const IncomingRequest& request, HttpReply reply) {
                     if (request.path == "/b") {
                       reply.SendResponse(200, {}, "second");
                       return;
                     }
                     reply.StartStream(200, {});
                     replies.push_back(reply);
                   });
  const auto [second, answer] =
      GENERATE(std::pair("GET /b HTTP/1.1\r\nHost: h\r\n\r\n", "HTTP/1.1 200"),
               std::pair("garbage\r\n\r\n", "HTTP/1.1 400"));
  QTcpSocket socket;
  socket.connectToHost("127.0.0.1", front.port());
  socket.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(RunUntil([&] { return replies.size() == 1; }));
  socket.write(second);
  RunFor(Millis{50});
  replies[0].Write("first");
  replies[0].EndStream();
  std::string got;
  const std::string end = "5\r\nfirst\r\n0\r\n\r\n";
  CHECK(RunUntil([&] {
    got += socket.readAll().toStdString();
    const auto at = got.find(end);
    return at != std::string::npos && got.size() > at + end.size();
  }));
  CHECK(got.substr(got.find(end) + end.size()).starts_with(answer));
  CHECK(replies.size() == 1);
  CHECK(front.open_requests() == 0);
}

// Guards against a cut answer that looks whole to the caller.
TEST_CASE("an aborted stream has no last chunk") {
  HttpServer front({}, [](const IncomingRequest&, HttpReply reply) {
    reply.StartStream(200, {});
    reply.Write("part");
    QTimer::singleShot(50, [reply]() mutable { reply.Abort(); });
  });
  const auto got =
      Exchange(front.port(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n", Never);
  CHECK(got.find("4\r\npart\r\n") != std::string::npos);
  CHECK(got.find("0\r\n\r\n") == std::string::npos);
}

TEST_CASE("a second listener on a port needs reuse_port") {
  HttpServer first({.reuse_port = true}, Echo);
  const std::uint16_t port = first.port();
  CHECK_NOTHROW(HttpServer({.port = port, .reuse_port = true}, Echo));
  CHECK_THROWS_AS(HttpServer({.port = port}, Echo), UserError);
  CHECK_THROWS_AS(HttpServer({.address = "no number"}, Echo), UserError);
}

// Guards against a planned stop that cuts requests in flight.
TEST_CASE("after StopListening requests in flight go on") {
  std::vector<HttpReply> replies;
  HttpServer front({}, [&](const IncomingRequest&, const HttpReply& reply) {
    replies.push_back(reply);
  });
  QTcpSocket socket;
  socket.connectToHost("127.0.0.1", front.port());
  socket.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(RunUntil([&] { return replies.size() == 1; }));
  front.StopListening();
  CHECK(front.open_requests() == 1);
  replies[0].SendResponse(200, {}, "done");
  REQUIRE(RunUntil(
      [&] { return socket.state() == QAbstractSocket::UnconnectedState; }));
  CHECK(socket.readAll().endsWith("done"));
  QTcpSocket late;
  late.connectToHost("127.0.0.1", front.port());
  CHECK_FALSE(late.waitForConnected(500));
}

}  // namespace crocuslatch
