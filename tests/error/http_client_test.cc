#include "io/http_client.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <map>
#include <optional>

#include "io/http_server.h"
#include "tests/raw_server.h"
#include "tests/run_until.h"

namespace crocuslatch {
namespace {

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

bool IsCompleteOrder(const QByteArray& all) {
  return all.contains("\r\n\r\n") && all.endsWith("bread");
}

}  // namespace

// Guards against a client that resends an order on its own.
TEST_CASE("a server that closes after reading an order receives it once") {
  const auto method = GENERATE("POST", "PUT", "PATCH");
  int deliveries = 0;
  RawServer server([&](QTcpSocket& socket, const QByteArray& all) {
    if (IsCompleteOrder(all)) {
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

// As above on a reused connection, the case in which HTTP clients commonly
// resend a request.
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

// Guards against "not sent" for a request that a server may have executed.
TEST_CASE("a refused connection ends in kNotSent") {
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

// Guards against a truncated response that is taken for complete.
TEST_CASE("a truncated or malformed response ends in kBroken") {
  const auto response = GENERATE(
      "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf",
      "HTTP/1.1 500 Bad\r\nContent-Length: 100\r\n\r\nhalf", "HTTP/1.1 200 OK",
      "garbage\r\n\r\ngarbage", "");
  RawServer server([&](QTcpSocket& socket, const QByteArray& all) {
    if (all.contains("\r\n\r\n")) {
      socket.write(response);
      socket.disconnectFromHost();
    }
  });
  HttpClient client;
  INFO(response);
  const auto result =
      Fetch(client, {.method = "POST", .url = server.Url(), .body = "bread"});
  CHECK(result.end == HttpResult::kBroken);
  CHECK(result.status == 0);
}

TEST_CASE("an error status is complete and a redirect is not followed") {
  const auto status = GENERATE(302, 400, 401, 404, 409, 429, 500, 503);
  HttpServer http_server({}, [&](const IncomingRequest&, HttpReply reply) {
    reply.SendResponse(status, {{"Location", "/other"}}, "why");
  });
  HttpClient client;
  const auto url = fmt::format("http://127.0.0.1:{}/", http_server.port());
  const auto result = Fetch(client, {.method = "POST", .url = url});
  CHECK(result.end == HttpResult::kComplete);
  CHECK(result.status == status);
  CHECK(result.body == "why");
}

// Guards against waiting forever on a silent connection.
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

// Guards against reusing idle connections after one of them timed out.
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

// Guards against a limit on parallel connections, as in HTTP clients that allow
// six per host, and against a crash when callers disconnect within a stream.
TEST_CASE("200 streams run in parallel and half of them are cancelled") {
  constexpr int kStreams = 200;
  std::map<int, HttpReply> replies;
  int disconnects = 0;
  HttpServer http_server(
      {}, [&](const IncomingRequest& request, HttpReply reply) {
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
        .url = fmt::format("http://127.0.0.1:{}/", http_server.port()),
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
  // Writes to streams whose callers have disconnected must have no effect.
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
  CHECK(http_server.open_requests() == 0);
  for (int n = 1; n < kStreams; n += 2) {
    CHECK(bodies[n].starts_with(fmt::format("first {};", n)));
    CHECK(bodies[n].ends_with(fmt::format("last {}", n)));
  }
}

// Guards against hooks that run after their owner was destroyed.
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

// Guards against charging for a request that was not executed, and against not
// charging for one whose response had begun when its caller disconnected.
TEST_CASE("a withdrawn request reports whether its response had begun") {
  const bool has_begun = GENERATE(false, true);
  QTcpSocket* server_socket = nullptr;
  RawServer server([&](QTcpSocket& socket, const QByteArray& all) {
    server_socket = IsCompleteOrder(all) ? &socket : nullptr;
  });
  HttpClient client;
  const auto result = std::make_shared<Result>();
  auto call =
      client.Send({.method = "POST", .url = server.Url(), .body = "bread"},
                  {.on_end = [result](HttpResult end) {
                    *result = {true, end};
                  }});
  REQUIRE(RunUntil([&] { return server_socket != nullptr; }));
  if (has_begun) {
    server_socket->write("HTTP/1.1 200 OK\r\n");
    server_socket->flush();
  }
  call.Withdraw(Millis{2000});
  REQUIRE(RunUntil([&] { return result->done; }));
  CHECK(result->end ==
        (has_begun ? HttpResult::kBroken : HttpResult::kCancelled));
  CHECK(client.open_connections() == 0);
}

// Guards against tokens that stay reserved because a dead server never closes.
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

// Guards against a request whose reasons are gone when the connection for it is
// established.
TEST_CASE("a request that may no longer be sent leaves no byte") {
  int deliveries = 0;
  RawServer server([&](QTcpSocket&, const QByteArray&) { ++deliveries; });
  HttpClient client;
  std::optional<HttpResult> result;
  client.Send({.method = "POST", .url = server.Url(), .body = "bread"},
              {.may_send = [] { return false; },
               .on_end = [&](HttpResult end) { result = end; }});
  REQUIRE(RunUntil([&] { return result.has_value(); }));
  RunFor(Millis{50});
  CHECK(*result == HttpResult::kNotSent);
  CHECK(deliveries == 0);
}

// Guards against a preference for a server whose connection is gone.
TEST_CASE("an idle connection is reported until the server closes it") {
  QTcpSocket* accepted = nullptr;
  RawServer server([&](QTcpSocket& socket, const QByteArray& all) {
    accepted = &socket;
    if (all.endsWith("\r\n\r\n")) {
      socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    }
  });
  HttpClient client;
  const auto url = server.Url();
  const auto authority =
      url.substr(std::string("http://").size())
          .substr(0, url.substr(std::string("http://").size()).find('/'));
  CHECK_FALSE(client.has_idle_connection(authority));
  REQUIRE(Fetch(client, {.method = "GET", .url = url}).body == "ok");
  CHECK(client.has_idle_connection(authority));
  accepted->disconnectFromHost();
  CHECK(RunUntil([&] { return !client.has_idle_connection(authority); }));
}

}  // namespace crocuslatch
