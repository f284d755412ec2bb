#include "src/load_poller.h"

#include <catch2/catch.hpp>

#include "tests/request_fixture.h"

namespace crocuslatch {
namespace {

struct PollerFixture : RequestFixture {
  bool leaving = false;
  int capacity_change_calls = 0;
  std::optional<LoadPoller> poller;

  void StartPolling() {
    AddBackend([this](const IncomingRequest& request, HttpReply reply) {
      const bool is_load_poll = request.path == "/v1/load";
      reply.SendResponse(
          200, {},
          is_load_poll
              ? fmt::format(R"({{"running":5,"queued":1,"leaving":{}}})",
                            leaving)
              : R"({"events":[{"kind":"stored","hash":"ff","bytes":64},{}]})");
    });
    Start();
    poller.emplace(LoadPollerOptions{.period = Millis{20}}, loop,
                   &backend_client, context.backends,
                   [this] { ++capacity_change_calls; });
  }
};

}  // namespace

// Guards against load reports that have no effect, and against work for a
// server that reports that it is leaving.
TEST_CASE("the poller stores loads and recognizes leaving servers") {
  PollerFixture fixture;
  fixture.StartPolling();
  auto& table = *fixture.context.backends;
  CHECK(RunUntil([&] { return table.View()[0].load == 6; }));
  CHECK(fixture.capacity_change_calls > 0);
  fixture.leaving = true;
  CHECK(RunUntil([&] { return table.View()[0].leaving; }));
  fixture.leaving = false;
  CHECK(RunUntil([&] { return !table.View()[0].leaving; }));
}

// Guards against a dead server that is detected only when requests fail.
TEST_CASE("refused connections of load polls eject a server") {
  PollerFixture fixture;
  fixture.AddAddress(1, "");
  fixture.StartPolling();
  auto& table = *fixture.context.backends;
  CHECK(RunUntil([&] { return table.View()[0].ejected; }));
  CHECK_FALSE(table.View()[1].ejected);
}

}  // namespace crocuslatch
