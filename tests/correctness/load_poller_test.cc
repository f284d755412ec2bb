#include "src/load_poller.h"

#include <catch2/catch.hpp>

#include "tests/request_fixture.h"

namespace crocuslatch {
namespace {

struct PollerFixture : RequestFixture {
  bool leaving = false;
  int capacity_calls = 0;
  std::optional<LoadPoller> poller;

  void StartPolling() {
    AddBackend([this](const IncomingRequest& request, HttpReply reply) {
      const bool asks_load = request.path == "/v1/load";
      reply.SendResponse(
          200, {},
          asks_load
              ? fmt::format(R"({{"running":5,"queued":1,"leaving":{}}})",
                            leaving)
              : R"({"events":[{"kind":"stored","hash":"ff","bytes":64},{}]})");
    });
    Start();
    poller.emplace(LoadPollerOptions{.period = Millis{20}}, loop,
                   &backend_client, context.backends,
                   [this] { ++capacity_calls; });
  }
};

}  // namespace

// Guards against loads that never arrive and against work for a server that
// says that it is leaving.
TEST_CASE("the poller reports loads and leaving servers") {
  PollerFixture fixture;
  fixture.StartPolling();
  auto& table = *fixture.context.backends;
  CHECK(RunUntil([&] { return table.View()[0].load == 6; }));
  CHECK(fixture.capacity_calls > 0);
  fixture.leaving = true;
  CHECK(RunUntil([&] { return table.View()[0].leaving; }));
  fixture.leaving = false;
  CHECK(RunUntil([&] { return !table.View()[0].leaving; }));
}

// Guards against waiting for requests to find out that a server is dead.
TEST_CASE("refused polls eject a server") {
  PollerFixture fixture;
  fixture.AddAddress(1, "");
  fixture.StartPolling();
  auto& table = *fixture.context.backends;
  CHECK(RunUntil([&] { return table.View()[0].ejected; }));
  CHECK_FALSE(table.View()[1].ejected);
}

}  // namespace crocuslatch
