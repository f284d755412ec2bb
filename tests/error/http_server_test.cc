#include "io/http_server.h"

#include <QTcpSocket>
#include <catch2/catch.hpp>
#include <map>

#include "tests/raw_server.h"
#include "tests/run_until.h"

namespace crocuslatch {
namespace {

HttpServerOptions ShortLimits() {
  return {.max_body_bytes = 1000, .request_timeout = Millis{200}};
}

void Echo(const IncomingRequest& request, HttpReply reply) {
  reply.SendResponse(200, {},
                     request.method + request.path + request.body.str());
}

// Sends `bytes` on a new connection and returns what is received until `done`
// holds or the connection ends.
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

bool IsServing(const HttpServer& http_server) {
  const auto got =
      Exchange(http_server.port(), "GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
               [](const auto& it) { return it.ends_with("GET/a"); });
  return got.starts_with("HTTP/1.1 200") && got.ends_with("GET/a");
}

}  // namespace

// Guards against connections that stay open, or a process that stops serving,
// after malformed input.
TEST_CASE("malformed or partial requests are closed and the server goes on") {
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
  HttpServer http_server(ShortLimits(), Echo);
  INFO(bytes.substr(0, 60));
  const auto got = Exchange(http_server.port(), bytes, Never);
  CHECK((got.empty() || got.starts_with("HTTP/1.1 4")));
  CHECK(IsServing(http_server));
  CHECK(http_server.open_requests() == 0);
}

TEST_CASE("an oversized body is rejected with its error code") {
  HttpServer http_server(ShortLimits(), Echo);
  const auto got =
      Exchange(http_server.port(),
               "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
               "Content-Length: 2000\r\n\r\n" +
                   std::string(2000, 'x'),
               Never);
  CHECK(got.starts_with("HTTP/1.1 413"));
  CHECK(got.find("body_too_large") != std::string::npos);
  CHECK(IsServing(http_server));
}

// Guards against two responses that are mixed on one connection.
TEST_CASE("a pipelined request is answered after the first one") {
  HttpServer http_server(ShortLimits(), Echo);
  const auto got = Exchange(
      http_server.port(),
      "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
      [](const auto& it) { return it.ends_with("GET/b"); });
  CHECK(got.find("GET/a") < got.find("GET/b"));
  CHECK(got.ends_with("GET/b"));
}

// As above while the first response is in progress: the second request waits
// for its end, and malformed input is rejected after it.
TEST_CASE("a request during a stream does not corrupt the stream") {
  std::vector<HttpReply> replies;
  HttpServer http_server(ShortLimits(),
                         [&](const IncomingRequest& request, HttpReply reply) {
                           if (request.path == "/b") {
                             reply.SendResponse(200, {}, "second");
                             return;
                           }
                           reply.StartStream(200, {});
                           replies.push_back(reply);
                         });
  const auto [second, expected] =
      GENERATE(std::pair("GET /b HTTP/1.1\r\nHost: h\r\n\r\n", "HTTP/1.1 200"),
               std::pair("garbage\r\n\r\n", "HTTP/1.1 400"));
  QTcpSocket socket;
  socket.connectToHost("127.0.0.1", http_server.port());
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
  CHECK(got.substr(got.find(end) + end.size()).starts_with(expected));
  CHECK(replies.size() == 1);
  CHECK(http_server.open_requests() == 0);
}

// Guards against an aborted response that appears complete to the caller.
TEST_CASE("an aborted stream has no last chunk") {
  HttpServer http_server({}, [](const IncomingRequest&, HttpReply reply) {
    reply.StartStream(200, {});
    reply.Write("part");
    QTimer::singleShot(50, [reply]() mutable { reply.Abort(); });
  });
  const auto got =
      Exchange(http_server.port(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n", Never);
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

// Guards against a planned stop that aborts requests in flight.
TEST_CASE("requests in flight continue after StopListening") {
  std::vector<HttpReply> replies;
  HttpServer http_server({},
                         [&](const IncomingRequest&, const HttpReply& reply) {
                           replies.push_back(reply);
                         });
  QTcpSocket socket;
  socket.connectToHost("127.0.0.1", http_server.port());
  socket.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(RunUntil([&] { return replies.size() == 1; }));
  http_server.StopListening();
  CHECK(http_server.open_requests() == 1);
  replies[0].SendResponse(200, {}, "done");
  REQUIRE(RunUntil(
      [&] { return socket.state() == QAbstractSocket::UnconnectedState; }));
  CHECK(socket.readAll().endsWith("done"));
  QTcpSocket late;
  late.connectToHost("127.0.0.1", http_server.port());
  CHECK_FALSE(late.waitForConnected(500));
}

// Guards against callers that keep idle connections open until the process ends
// and then lose a request that they have just sent.
TEST_CASE("idle connections are closed soon after StopListening") {
  HttpServer http_server({}, Echo);
  QTcpSocket idle;
  idle.connectToHost("127.0.0.1", http_server.port());
  REQUIRE(RunUntil([&] { return http_server.open_connections() == 1; }));
  // Accepted by the kernel only, with a request on it.
  QTcpSocket late;
  late.connectToHost("127.0.0.1", http_server.port());
  REQUIRE(late.waitForConnected(1000));
  late.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  late.waitForBytesWritten(1000);
  http_server.StopListening();
  std::string got;
  CHECK(RunUntil([&] {
    got += late.readAll().toStdString();
    return late.state() == QAbstractSocket::UnconnectedState;
  }));
  CHECK(got.ends_with("GET/a"));
  CHECK(RunUntil(
      [&] { return idle.state() == QAbstractSocket::UnconnectedState; }));
  CHECK(RunUntil([&] { return http_server.open_connections() == 0; }));
}

// Guards against a request that counts as ended twice: the send of its response
// finds that the caller has reset the connection. The process would then exit
// in a planned stop with other requests in flight.
TEST_CASE("a response that cannot be sent ends its request once") {
  using Respond = std::function<void(HttpReply&)>;
  const Respond respond =
      GENERATE(Respond([](HttpReply& it) { it.SendResponse(200, {}, "done"); }),
               Respond([](HttpReply& it) {
                 it.CloseAfterResponse();
                 it.SendResponse(200, {}, "done");
               }),
               Respond([](HttpReply& it) {
                 it.StartStream(200, {});
                 it.Write("part");
                 it.EndStream();
               }),
               Respond([](HttpReply& it) {
                 it.StartStream(200, {});
                 it.Abort();
               }));
  std::map<std::string, HttpReply> replies;
  HttpServer http_server(
      {}, [&](const IncomingRequest& request, const HttpReply& reply) {
        replies[request.path] = reply;
      });
  QTcpSocket other;
  other.connectToHost("127.0.0.1", http_server.port());
  other.write("GET /other HTTP/1.1\r\nHost: h\r\n\r\n");
  QTcpSocket caller;
  caller.connectToHost("127.0.0.1", http_server.port());
  caller.write("GET /lost HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(RunUntil([&] { return replies.size() == 2; }));
  int disconnects = 0;
  bool is_inside_call = true;
  bool was_inside_call = false;
  replies["/lost"].OnDisconnect([&] {
    ++disconnects;
    was_inside_call = is_inside_call;
  });
  // The reset arrives before the event loop of the server runs again.
  ResetConnection(caller);
  respond(replies["/lost"]);
  is_inside_call = false;
  RunFor(Millis{50});
  CHECK(disconnects <= 1);
  CHECK_FALSE(was_inside_call);
  CHECK(http_server.open_requests() == 1);
  CHECK(http_server.open_connections() == 1);
  replies["/other"].SendResponse(200, {}, "done");
  CHECK(http_server.open_requests() == 0);
}

// Guards against a caller whose request line never ends.
TEST_CASE("a chunk header without end is rejected") {
  HttpServer http_server(
      {.max_body_bytes = 1000, .request_timeout = Millis{5000}}, Echo);
  const auto got = Exchange(
      http_server.port(),
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;x=" +
          std::string(200'000, 'a'),
      Never);
  CHECK(got.starts_with("HTTP/1.1 4"));
  CHECK(IsServing(http_server));
}

}  // namespace crocuslatch
