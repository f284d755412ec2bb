#include "core/load/placement.h"

#include <catch2/catch.hpp>
#include <memory>

namespace crocuslatch {
namespace {

BackendEntry Engine(const std::string& id) {
  return {.id = id,
          .service = "model",
          .address = "10.0.0.1:80",
          .failure_domain = "a",
          .slots = 64};
}

std::vector<BackendEntry> Engines(int n) {
  std::vector<BackendEntry> entries;
  entries.reserve(static_cast<std::size_t>(n));
  for (int i = 0; i < n; ++i) {
    entries.push_back(Engine("e" + std::to_string(i)));
  }
  return entries;
}

// A prompt with a shared part and a part that is specific to the request.
ModelWork Work(const std::string& session, Tokens shared, Tokens own) {
  return {.prompt_tokens = shared + own,
          .max_output_tokens = 100,
          .parts = {{session, shared}, {"own", own}}};
}

constexpr Millis kNow{100'000};

std::string Dispatch(Placement& placement,
                     const ModelWork& work,
                     Millis now = kNow) {
  const auto choice =
      placement.Choose({.service = "model", .work = &work, .now = now});
  REQUIRE(choice);
  placement.Begin(choice->server_id, &work, now);
  return choice->server_id;
}

// Routers that exchange their loads without delay if `exchange_loads` is set.
struct Fleet {
  explicit Fleet(int routers, int engines, bool exchange_loads) {
    for (int i = 0; i < routers; ++i) {
      all.push_back(std::make_unique<Placement>(PlacementOptions{}, "a"));
      all.back()->SetServers(Engines(engines), kNow);
    }
    for (auto& from : all) {
      if (!exchange_loads) {
        continue;
      }
      from->OnLoadChange([this, sender = from.get()] {
        for (const auto& it : sender->TakeLoadUpdates(kNow, Millis{1000})) {
          for (auto& to : all) {
            if (to.get() != sender) {
              to->OnPeerLoad(std::to_string(sender - all.front().get()),
                             it.server_id, it.load, kNow);
            }
          }
        }
      });
    }
  }

  std::vector<std::unique_ptr<Placement>> all;
};

// Returns the prompt tokens at the busiest engine after each router received
// four requests, each of another session.
Tokens BusiestAfterBurst(bool exchange_loads) {
  constexpr int kRouters = 9;
  constexpr int kEngines = 12;
  Fleet fleet(kRouters, kEngines, exchange_loads);
  std::map<std::string, Tokens> tokens_by_engine;
  for (int i = 0; i < 4 * kRouters; ++i) {
    const auto work = Work("session" + std::to_string(i), 0, 20'000);
    tokens_by_engine[Dispatch(
        *fleet.all[static_cast<std::size_t>(i % kRouters)], work)] +=
        work.prompt_tokens;
  }
  return std::ranges::max_element(tokens_by_engine, {},
                                  [](const auto& it) { return it.second; })
      ->second;
}

}  // namespace

// Guards against sending a session to a server without its cached prompt.
TEST_CASE("a session returns to the server that has cached its prompt") {
  Placement placement({}, "a");
  placement.SetServers(Engines(12), kNow);
  const auto work = Work("s", 13'000, 3'000);
  const auto home = Dispatch(placement, work);
  for (int i = 0; i < 3; ++i) {
    CHECK(Dispatch(placement, work) == home);
  }
  // Every router computes the same home server without communication.
  Placement other({}, "b");
  other.SetServers(Engines(12), kNow);
  CHECK(Dispatch(other, work) == home);
}

// Load pattern: a hot session. Guards against a queue that costs more than
// processing the prompt on another server.
TEST_CASE("a hot session moves once its queue costs more than reprocessing") {
  Placement placement({}, "a");
  placement.SetServers(Engines(2), kNow);
  const auto work = Work("s", 1'000, 20'000);
  const auto home = Dispatch(placement, work);
  bool has_moved = false;
  for (int i = 0; i < 3 && !has_moved; ++i) {
    has_moved = Dispatch(placement, work) != home;
  }
  CHECK(has_moved);
}

// Load pattern: a burst of long prompts at all routers at once, before any load
// report shows it.
TEST_CASE("routers that share their loads spread a burst of long prompts") {
  const Tokens even = 4 * 9 * 20'000 / 12;
  CHECK(BusiestAfterBurst(true) <= even + 20'000);
  CHECK(BusiestAfterBurst(false) > BusiestAfterBurst(true));
}

// Guards against avoiding a server forever because a peer died while it had
// requests in flight there.
TEST_CASE("a peer's load expires when it is not repeated") {
  PlacementOptions options;
  Placement placement(options, "a");
  placement.SetServers(Engines(1), kNow);
  placement.OnPeerLoad("b", "e0", {3, 40'000}, kNow);
  const double loaded = placement.View(kNow).front().load_ms;
  CHECK(loaded >= 40'000 / options.prompt_tokens_per_ms);
  const Millis later = kNow + options.peer_load_ttl + Millis{1};
  CHECK(placement.View(later).front().load_ms == 0);
  placement.OnPeerLoad("b", "e0", {3, 40'000}, kNow);
  placement.OnPeerLoad("b", "e0", {}, kNow);
  CHECK(placement.View(kNow).front().load_ms == 0);
}

// Guards against a peer's wrong figures that keep all requests from a server.
TEST_CASE("a peer's loads are clamped to what a host can have in flight") {
  PlacementOptions options;
  Placement placement(options, "a");
  placement.SetServers(Engines(1), kNow);
  placement.OnPeerLoad("b", "e0", {2'000'000'000, 1LL << 60}, kNow);
  placement.OnPeerLoad("c", "e0", {-5, -5}, kNow);
  const double most = static_cast<double>(options.max_peer_tokens) /
                          options.prompt_tokens_per_ms +
                      options.max_peer_requests * options.ms_per_running;
  CHECK(placement.View(kNow).front().load_ms <= most);
  CHECK(placement.View(kNow).front().load_ms >= 0);
}

// Guards against updates for unchanged loads, and against a lost update that is
// never repeated.
TEST_CASE("loads are sent when they change and repeated while nonzero") {
  constexpr Millis kRepeat{1000};
  Placement placement({}, "a");
  placement.SetServers(Engines(3), kNow);
  CHECK(placement.TakeLoadUpdates(kNow, kRepeat).empty());
  const auto work = Work("s", 0, 500);
  const auto dispatch_id = placement.Begin("e1", &work, kNow);
  const std::vector<LocalLoad> begun{{"e1", {1, 500}}};
  CHECK(placement.TakeLoadUpdates(kNow, kRepeat) == begun);
  CHECK(placement.TakeLoadUpdates(kNow, kRepeat).empty());
  CHECK(placement.TakeLoadUpdates(kNow + kRepeat, kRepeat) == begun);
  placement.End(dispatch_id, DispatchResult::kServed, kNow);
  const std::vector<LocalLoad> ended{{"e1", {}}};
  CHECK(placement.TakeLoadUpdates(kNow, kRepeat) == ended);
  CHECK(placement.TakeLoadUpdates(kNow + kRepeat, kRepeat).empty());
}

// Guards against requests to a server that does not respond, and against a
// service that has no server left because all of them failed once.
TEST_CASE("a failing server is avoided unless no other is left") {
  Placement placement({}, "a");
  placement.SetServers(Engines(2), kNow);
  const auto fail = [&](const std::string& id) {
    placement.End(placement.Begin(id, nullptr, kNow),
                  DispatchResult::kUnreachable, kNow);
  };
  fail("e0");
  for (int i = 0; i < 5; ++i) {
    CHECK(placement.Choose({.service = "model", .now = kNow})->server_id ==
          "e1");
  }
  fail("e1");
  CHECK(placement.Choose({.service = "model", .now = kNow}));
  const std::set<std::string> tried{"e0", "e1"};
  CHECK_FALSE(
      placement.Choose({.service = "model", .tried = &tried, .now = kNow}));
}

// Guards against new requests to a draining server, and against state that is
// kept for a server that has restarted under the same id.
TEST_CASE("draining and restarted servers") {
  Placement placement({}, "a");
  auto entries = Engines(2);
  placement.SetServers(entries, kNow);
  const auto work = Work("s", 0, 500);
  placement.Begin("e1", &work, kNow);
  entries[0].is_draining = true;
  entries[1].start_time_ms = 7;
  placement.SetServers(entries, kNow);
  CHECK_FALSE(placement.MayStillSend("e0"));
  CHECK_FALSE(placement.MayStillSend("e9"));
  CHECK(placement.Choose({.service = "model", .now = kNow})->server_id == "e1");
  CHECK(placement.View(kNow).back().in_flight == 0);
}

// Load pattern: the fleet opens 6,000 connections for 14,000 requests, since
// each request goes to another of many even servers. Guards against a
// connection that outweighs load or a session's cached prompt.
TEST_CASE("among servers of nearly equal cost a connected one is preferred") {
  Placement placement({}, "a");
  auto entries = Engines(4);
  for (int i = 0; i < 4; ++i) {
    entries[static_cast<std::size_t>(i)].address =
        "10.0.0." + std::to_string(i) + ":80";
  }
  placement.SetServers(entries, kNow);
  const auto plain = [&] {
    return placement.Choose({.service = "model", .now = kNow})->server_id;
  };
  const auto usual = plain();
  placement.SetHasIdleConnection(
      [](const std::string& address) { return address == "10.0.0.3:80"; });
  CHECK(plain() == "e3");
  placement.SetHasIdleConnection([](const std::string&) { return false; });
  CHECK(plain() == usual);
  placement.SetHasIdleConnection(
      [](const std::string& address) { return address == "10.0.0.3:80"; });
  // The load of a server with a connection decides again.
  const auto work = Work("s", 0, 1'000);
  placement.Begin("e3", &work, kNow);
  CHECK(placement.Choose({.service = "model", .work = &work, .now = kNow})
            ->server_id != "e3");
  for (int i = 0; i < 20; ++i) {
    const auto session = Work("session" + std::to_string(i), 13'000, 1'000);
    CHECK(placement.Choose({.service = "model", .work = &session, .now = kNow})
              ->is_home);
  }
}

}  // namespace crocuslatch
