#include "io/http_client.h"

#include <fmt/format.h>

#include <QTcpServer>
#include <QTcpSocket>
#include <catch2/catch.hpp>
#include <map>

#include "io/http_server.h"
#include "tests/run_until.h"

namespace crocuslatch {
namespace {

// A server that hands each connection's bytes to a hook.
class RawServer {
 public:
  using OnBytes = std::function<void(QTcpSocket&, const QByteArray& all)>;

  explicit RawServer(const OnBytes& on_bytes) {
    server_.listen(QHostAddress::LocalHost);
    QObject::connect(&server_, &QTcpServer::newConnection, &server_,
                     [this, on_bytes] {
                       ++connections;
                       auto* socket = server_.nextPendingConnection();
                       const auto all = std::make_shared<QByteArray>();
                       QObject::connect(socket, &QTcpSocket::readyRead, socket,
                                        [socket, all, on_bytes] {
                                          *all += socket->readAll();
                                          on_bytes(*socket, *all);
                                        });
                     });
  }

  std::string Url() const {
    return fmt::format("http://127.0.0.1:{}/order", server_.serverPort());
  }

  int connections = 0;

 private:
  QTcpServer server_;
};

struct Result {
  bool done = false;
  HttpResult end = HttpResult::kComplete;
  int status = 0;
  std::string body;
};

Result Fetch(HttpClient& client, const HttpRequest& request) {
  const auto result = std::make_shared<Result>();
  client.SendAndCollect(request,
                        [result](HttpResult end, int status, const HttpHeaders&,
                                 const std::string& body) {
                          *result = {true, end, status, body};
                        });
  CHECK(RunUntil([&] { return result->done; }));
  return *result;
}

bool IsWholeOrder(const QByteArray& all) {
  return all.contains("\r\n\r\n") && all.endsWith("bread");
}

}  // namespace

// Guards against a second delivery of an order by the HTTP library.
TEST_CASE("a server that closes after reading an order gets it once") {
  const auto method = GENERATE("POST", "PUT", "PATCH");
  int deliveries = 0;
  RawServer server([&](QTcpSocket& socket, const QByteArray& all) {
    if (IsWholeOrder(all)) {
      ++deliveries;
      socket.disconnectFromHost();
    }
  });
  HttpClient client;
  const auto result =
      Fetch(client, {.method = method, .url = server.Url(), .body = "bread"});
  RunFor(Millis{300});
  CHECK(result.end == HttpResult::kBroken);
  CHECK(deliveries == 1);
}

// As above on a connection that was used before, which is the case in which
// the library repeats a request.
TEST_CASE("an order on a reused connection is delivered once") {
  const auto method = GENERATE("POST", "GET", "DELETE");
  int requests = 0;
  RawServer server([&](QTcpSocket& socket, const QByteArray& all) {
    if (!all.endsWith("\r\n\r\n") && !all.endsWith("bread")) {
      return;
    }
    ++requests;
    if (requests == 1) {
      socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    } else {
      socket.disconnectFromHost();
    }
  });
  HttpClient client;
  const HttpRequest request{
      .method = method,
      .url = server.Url(),
      .body = std::string(method) == "POST" ? "bread" : ""};
  REQUIRE(Fetch(client, request).body == "ok");
  CHECK(Fetch(client, request).end == HttpResult::kBroken);
  RunFor(Millis{300});
  CHECK(requests == 2);
  CHECK(server.connections == 1);
}

// Guards against "not sent" for a request that a server may have run.
TEST_CASE("a refused connection is the only kNotSent") {
  std::uint16_t port = 0;
  {
    QTcpServer closed;
    closed.listen(QHostAddress::LocalHost);
    port = closed.serverPort();
  }
  HttpClient client;
  const auto url = fmt::format("http://127.0.0.1:{}/", port);
  CHECK(Fetch(client, {.method = "POST", .url = url, .body = "x"}).end ==
        HttpResult::kNotSent);
}

// Guards against a truncated answer that counts as whole.
TEST_CASE("a truncated answer is broken") {
  const auto answer = GENERATE(
      "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf",
      "HTTP/1.1 500 Bad\r\nContent-Length: 100\r\n\r\nhalf", "HTTP/1.1 200 OK",
      "garbage\r\n\r\ngarbage", "");
  RawServer server([&](QTcpSocket& socket, const QByteArray& all) {
    if (all.contains("\r\n\r\n")) {
      socket.write(answer);
      socket.disconnectFromHost();
    }
  });
  HttpClient client;
  INFO(answer);
  const auto result =
      Fetch(client, {.method = "POST", .url = server.Url(), .body = "bread"});
  CHECK(result.end == HttpResult::kBroken);
  CHECK(result.status == 0);
}

TEST_CASE("an error status is a whole answer and a redirect is not followed") {
  const auto status = GENERATE(302, 400, 401, 404, 409, 429, 500, 503);
  HttpServer front({}, [&](const IncomingRequest&, HttpReply reply) {
    reply.SendResponse(status, {{"Location", "/other"}}, "why");
  });
  HttpClient client;
  const auto url = fmt::format("http://127.0.0.1:{}/", front.port());
  const auto result = Fetch(client, {.method = "POST", .url = url});
  CHECK(result.end == HttpResult::kComplete);
  CHECK(result.status == status);
  CHECK(result.body == "why");
}

// Guards against a wait without end on a silent connection.
TEST_CASE("silence before and after the first byte ends in kTimedOut") {
  const std::string sent = GENERATE(
      "", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
  RawServer server([&](QTcpSocket& socket, const QByteArray& all) {
    if (all.contains("\r\n\r\n")) {
      socket.write(sent.c_str());
    }
  });
  HttpClient client;
  QElapsedTimer clock;
  clock.start();
  const HttpRequest request{.method = "GET",
                            .url = server.Url(),
                            .first_byte_timeout = Millis{200},
                            .stall_timeout = Millis{200}};
  CHECK(Fetch(client, request).end == HttpResult::kTimedOut);
  CHECK(clock.elapsed() >= 200);
  CHECK(clock.elapsed() < 1500);
}

// Guards against the reuse of old connections after one of them went silent.
TEST_CASE("a request after a timeout uses a new connection") {
  bool silent = false;
  RawServer server([&](QTcpSocket& socket, const QByteArray& all) {
    if (all.endsWith("\r\n\r\n") && !silent) {
      socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    }
  });
  HttpClient client;
  const HttpRequest request{
      .method = "GET", .url = server.Url(), .first_byte_timeout = Millis{200}};
  int done = 0;
  for (int n = 0; n < 3; ++n) {
    client.SendAndCollect(
        request, [&](auto, auto, const auto&, const auto&) { ++done; });
  }
  REQUIRE(RunUntil([&] { return done == 3; }));
  const int before = server.connections;
  silent = true;
  CHECK(Fetch(client, request).end == HttpResult::kTimedOut);
  silent = false;
  CHECK(Fetch(client, request).end == HttpResult::kComplete);
  CHECK(server.connections == before + 1);
}

// Guards against requests that queue behind the library's six connections,
// and against a crash when callers leave in the middle of a stream.
TEST_CASE("200 streams run at once and half of them are cut") {
  constexpr int kStreams = 200;
  std::map<int, HttpReply> replies;
  int disconnects = 0;
  HttpServer front({}, [&](const IncomingRequest& request, HttpReply reply) {
    const int n = std::stoi(request.body);
    reply.OnDisconnect([&] { ++disconnects; });
    reply.StartStream(200, {{"Content-Type", "text/event-stream"}});
    reply.Write(fmt::format("first {};", n));
    replies.emplace(n, reply);
  });
  HttpClient client;
  std::vector<std::string> bodies(kStreams);
  std::vector<HttpCall> calls;
  std::map<HttpResult, int> ends;
  for (int n = 0; n < kStreams; ++n) {
    const HttpRequest request{
        .method = "POST",
        .url = fmt::format("http://127.0.0.1:{}/", front.port()),
        .body = std::to_string(n)};
    calls.push_back(client.Send(
        request, {.on_data = [&, n](auto data) { bodies[n] += data; },
                  .on_end = [&](HttpResult end) { ++ends[end]; }}));
  }
  REQUIRE(RunUntil([&] { return std::ssize(replies) == kStreams; }));
  REQUIRE(RunUntil(
      [&] { return std::ranges::none_of(bodies, &std::string::empty); }));
  for (int n = 0; n < kStreams; n += 2) {
    calls[n].Cancel();
  }
  // Writes to streams whose callers have left must do nothing.
  REQUIRE(RunUntil([&] {
    for (auto& [n, reply] : replies) {
      reply.Write("more;");
    }
    return disconnects == kStreams / 2;
  }));
  for (auto& [n, reply] : replies) {
    reply.Write(fmt::format("last {}", n));
    reply.EndStream();
  }
  REQUIRE(
      RunUntil([&] { return ends[HttpResult::kComplete] == kStreams / 2; }));
  CHECK(ends[HttpResult::kCancelled] == kStreams / 2);
  CHECK(front.open_requests() == 0);
  for (int n = 1; n < kStreams; n += 2) {
    CHECK(bodies[n].starts_with(fmt::format("first {};", n)));
    CHECK(bodies[n].ends_with(fmt::format("last {}", n)));
  }
}

// Guards against hooks that run after their owner is gone.
TEST_CASE("a destroyed client calls no hook") {
  RawServer server([](QTcpSocket&, const QByteArray&) {});
  bool called = false;
  {
    HttpClient client;
    auto call = client.Send({.method = "GET", .url = server.Url()},
                            {.on_end = [&](HttpResult) { called = true; }});
    RunFor(Millis{50});
    call.Cancel();
  }
  RunFor(Millis{100});
  CHECK_FALSE(called);
}

// Guards against charging a request that never ran, and against leaving out
// one whose answer was under way when its caller left.
TEST_CASE("a withdrawn request tells whether its answer had begun") {
  const bool has_begun = GENERATE(false, true);
  QTcpSocket* at_server = nullptr;
  RawServer server([&](QTcpSocket& socket, const QByteArray& all) {
    at_server = IsWholeOrder(all) ? &socket : nullptr;
  });
  HttpClient client;
  const auto result = std::make_shared<Result>();
  auto call =
      client.Send({.method = "POST", .url = server.Url(), .body = "bread"},
                  {.on_end = [result](HttpResult end) {
                    *result = {true, end};
                  }});
  REQUIRE(RunUntil([&] { return at_server != nullptr; }));
  if (has_begun) {
    at_server->write("HTTP/1.1 200 OK\r\n");
    at_server->flush();
  }
  call.Withdraw(Millis{2000});
  REQUIRE(RunUntil([&] { return result->done; }));
  CHECK(result->end ==
        (has_begun ? HttpResult::kBroken : HttpResult::kCancelled));
  CHECK(client.open_connections() == 0);
}

// Guards against tokens that stay reserved for a server that is gone.
TEST_CASE("a withdrawn request ends after its wait if the server is silent") {
  QTcpServer server;
  server.listen(QHostAddress::LocalHost);
  server.pauseAccepting();
  HttpClient client;
  const auto result = std::make_shared<Result>();
  auto call = client.Send(
      {.method = "POST",
       .url = fmt::format("http://127.0.0.1:{}/", server.serverPort()),
       .body = "bread"},
      {.on_end = [result](HttpResult end) {
        *result = {true, end};
      }});
  RunFor(Millis{50});
  call.Withdraw(Millis{100});
  RunFor(Millis{20});
  CHECK_FALSE(result->done);
  REQUIRE(RunUntil([&] { return result->done; }));
  CHECK(result->end == HttpResult::kCancelled);
}

}  // namespace crocuslatch
