#include "src/backend_table.h"

#include <catch2/catch.hpp>
#include <numeric>

namespace crocuslatch {
namespace {

struct Fixture {
  Millis now{1000};
  BackendTable table{{}, "router-1", [this] { return now; }, 1};

  explicit Fixture(int servers, std::uint32_t slots = 8) {
    Document document;
    for (int i = 0; i < servers; ++i) {
      document.backend_servers.push_back({.name = std::to_string(i),
                                          .address = std::to_string(i) + ":1",
                                          .model = "m",
                                          .slots = slots});
    }
    table.SetDocument(document);
  }

  std::optional<BackendSlot> Acquire(std::string_view prompt = "") {
    return table.Acquire({.target = ModelTarget("m"), .prompt = prompt});
  }

  void AcquireAndFail() {
    table.Release(Acquire().value(), BackendResult::kFailed);
  }
};

}  // namespace

// Guards against work for a server that reports a full queue.
TEST_CASE("a request goes to the less loaded of two servers") {
  Fixture fixture(2);
  fixture.table.UpdateLoad("0", {.running = 7});
  for (int i = 0; i < 6; ++i) {
    CHECK(fixture.Acquire()->server == "1");
  }
}

// Guards against a rush to the server whose last report shows a low load:
// requests dispatched since the report must count.
TEST_CASE("own dispatches count until the next report covers them") {
  Fixture fixture(2);
  fixture.table.UpdateLoad("0", {.running = 2});
  fixture.table.UpdateLoad("1", {});
  std::map<std::string, int> dispatches;
  for (int i = 0; i < 6; ++i) {
    ++dispatches[fixture.Acquire()->server];
  }
  CHECK(dispatches["1"] == 4);
  CHECK(dispatches["0"] == 2);
}

// Guards against computing the same prefix again on every replica.
TEST_CASE("a prompt goes to the server that has its prefix cached") {
  Fixture fixture(8);
  const std::string prompt(1024, 'x');
  const auto first = fixture.Acquire(prompt);
  for (int i = 0; i < 3; ++i) {
    const auto choice = fixture.Acquire(prompt + "tail");
    CHECK(choice->server == first->server);
    fixture.table.Release(*choice, BackendResult::kSucceeded);
  }
  // The prefix bonus must not outweigh the load of a full server.
  fixture.table.UpdateLoad(first->server, {.running = 8});
  CHECK(fixture.Acquire(prompt)->server != first->server);
}

// Guards against cache events that have no effect on the choice.
TEST_CASE("cache events determine which server has a prefix cached") {
  Fixture fixture(8);
  const std::string prompt(300, 'x');
  fixture.table.AddPrefix("5", StableHash(prompt.substr(0, 64)), 64);
  CHECK(fixture.Acquire(prompt)->server == "5");
}

// Guards against work for a failing server, and against a rush of requests when
// it is tried again.
TEST_CASE("a failing server is ejected and readmitted by a single probe") {
  Fixture fixture(1);
  for (int i = 0; i < 3; ++i) {
    fixture.AcquireAndFail();
  }
  CHECK_FALSE(fixture.Acquire().has_value());
  fixture.now += Millis{500};
  const auto probe = fixture.Acquire();
  REQUIRE(probe.has_value());
  CHECK(probe->is_probe);
  CHECK_FALSE(fixture.Acquire().has_value());
  fixture.table.Release(*probe, BackendResult::kFailed);
  fixture.now += Millis{999};
  CHECK_FALSE(fixture.Acquire().has_value());
  fixture.now += Millis{1};
  fixture.table.ConfirmProbe(fixture.Acquire().value());
  CHECK(fixture.Acquire().has_value());
}

// Guards against new work for a leaving server, whether its load report, the
// host list or the document marks it.
TEST_CASE("a leaving server gets no work") {
  Fixture fixture(1);
  fixture.table.UpdateLoad("0", {.leaving = true});
  CHECK_FALSE(fixture.Acquire().has_value());
  fixture.table.UpdateLoad("0", {});
  CHECK(fixture.Acquire().has_value());
  fixture.table.SetLeavingHosts({"0:1"});
  CHECK_FALSE(fixture.Acquire().has_value());
  CHECK_FALSE(fixture.table.HasServer(ModelTarget("m")));
  fixture.table.SetLeavingHosts({});
  Document document;
  document.backend_servers.push_back(
      {.name = "0", .address = "0:1", .model = "m", .drain = true});
  fixture.table.SetDocument(document);
  CHECK_FALSE(fixture.Acquire().has_value());
}

// Guards against routers that together use more or fewer slots than a server
// has.
TEST_CASE("the routers' shares of the slots add up") {
  const std::vector<std::string> routers{"a", "b", "c", "d", "e", "f", "g"};
  for (const std::uint32_t slots : {1U, 3U, 7U, 8U, 16U}) {
    std::uint32_t sum = 0;
    for (const auto& it : routers) {
      const auto share = SlotShare("server", slots, it, routers);
      CHECK(share >= slots / 7);
      sum += share;
    }
    CHECK(sum == slots);
  }
}

// Guards against a router that can serve no request because its share is empty.
TEST_CASE("a router has at least one slot of each target") {
  Fixture fixture(1, 1);
  fixture.table.SetRouters({"router-1", "router-2", "router-3", "router-4"});
  CHECK(fixture.Acquire().has_value());
  CHECK_FALSE(fixture.Acquire().has_value());
}

// Guards against bulk work in the slots that are reserved for urgent work.
TEST_CASE("bulk work leaves the reserved slots free") {
  Fixture fixture(2, 10);
  const SlotRequest bulk{.target = ModelTarget("m"),
                         .may_use_reserved_slots = false};
  int n = 0;
  while (fixture.table.Acquire(bulk)) {
    ++n;
  }
  CHECK(n == 18);
  CHECK(fixture.Acquire().has_value());
}

// Guards against retries that overload an already failing fleet.
TEST_CASE("retries are limited by the retry budget") {
  Fixture fixture(1);
  int n = 0;
  while (fixture.table.TryTakeRetry()) {
    ++n;
  }
  CHECK(n == 20);
  for (int i = 0; i < 11; ++i) {
    fixture.table.CountRequest();
  }
  CHECK(fixture.table.TryTakeRetry());
  CHECK_FALSE(fixture.table.TryTakeRetry());
  fixture.now += Millis{1000};
  CHECK(fixture.table.TryTakeRetry());
}

}  // namespace crocuslatch
