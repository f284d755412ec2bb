#include <QTcpSocket>
#include <catch2/catch.hpp>
#include <memory>
#include <utility>

#include "app/caller_memory.h"
#include "io/http_server.h"
#include "src/metrics.h"
#include "tests/run_until.h"

namespace crocuslatch {
namespace {

// Guards against servers that go on working for callers that have left, since
// nothing is read behind a running request.
TEST_CASE("a caller that leaves unread bytes behind is noticed") {
  Metrics metrics;
  CallerMemory memory({.memory_mb = 48}, &metrics);
  HttpServerOptions options;
  memory.Apply(options);
  HttpReply kept;
  bool has_begun = false;
  bool has_left = false;
  HttpServer server(options, [&](const IncomingRequest&, HttpReply reply) {
    kept = std::move(reply);
    has_begun = true;
    kept.OnDisconnect([&] { has_left = true; });
  });
  QTcpSocket socket;
  socket.connectToHost("127.0.0.1", server.port());
  REQUIRE(socket.waitForConnected(2000));
  socket.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(RunUntil([&] { return has_begun; }));
  socket.write(QByteArray(100'000, 'x'));
  RunUntil([&] { return socket.bytesToWrite() == 0; });
  REQUIRE_FALSE(has_left);
  socket.disconnectFromHost();
  CHECK(RunUntil([&] { return has_left; }));
  CHECK_FALSE(kept.IsOpen());
}

}  // namespace
}  // namespace crocuslatch
