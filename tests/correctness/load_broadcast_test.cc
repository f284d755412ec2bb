#include "app/load_broadcast.h"

#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

#include "tests/peer_host.h"
#include "tests/run_until.h"

namespace crocuslatch {
namespace {

// A host with three engines in its placement.
struct Host : PeerHost {
  Host(std::string own, PeerAddresses* table)
      : PeerHost(std::move(own), table) {
    placement.SetServers({{.id = "e0", .service = "model"},
                          {.id = "e1", .service = "model"},
                          {.id = "e2", .service = "model"}},
                         Millis{0});
    sharing = std::make_unique<LoadBroadcast>(
        LoadBroadcastOptions{.resend_period = Millis{200}}, loop, network.get(),
        &placement, LoadBroadcastHooks{name, [this] { return Others(); }});
    on_message = [this](const HolderId& from, const wire::Envelope& message,
                        const auto&) {
      CHECK(sharing->OnMessage(from.host, message));
    };
    placement.OnLoadChange([this] { sharing->OnChange(); });
  }

  Placement placement{{.speed = {.resend_period = Millis{200}}}, "a"};
  std::unique_ptr<LoadBroadcast> sharing;
};

}  // namespace

// Guards against placement by only a host's own share of the load.
TEST_CASE("a host learns what another host has in flight") {
  PeerAddresses addresses;
  Host a("a", &addresses);
  Host b("b", &addresses);
  const ModelWork work{.prompt_tokens = 8'000};
  const auto load = [&b] {
    return b.placement.View(b.loop.now()).front().load_ms;
  };
  const auto dispatch_id = a.placement.Begin("e0", &work, a.loop.now());
  // The first message opens the connection and may be lost; it is sent again.
  CHECK(RunUntil([&] { return load() >= 200; }));
  a.placement.End(dispatch_id, DispatchResult::kServed, a.loop.now());
  CHECK(RunUntil([&] { return load() == 0; }));
}

// Guards against figures that are lost or scaled between two hosts.
TEST_CASE("a host receives another host's slowdowns, speeds and memory") {
  PeerAddresses addresses;
  Host a("a", &addresses);
  Host b("b", &addresses);
  a.placement.SetEngines({{"model", {.kv_capacity = 100'000}}});
  a.placement.OnLoadReport("e0", {1, 0, 250}, a.loop.now());
  const ModelWork work{.prompt_tokens = 8'000, .max_output_tokens = 500};
  a.placement.Begin("e0", &work, a.loop.now());
  for (int i = 0; i < 16; ++i) {
    for (const auto* id : {"e0", "e1", "e2"}) {
      a.placement.speed().AddSample(id, SpeedSample::kPause,
                                    id == std::string("e0") ? 2 : 1,
                                    a.loop.now());
    }
  }
  // The first message opens the connection and may be lost; the load is sent
  // again while the slowdown is fresh.
  CHECK(RunUntil([&] {
    a.placement.OnLoadReport("e0", {1, 0, 250}, a.loop.now());
    return b.placement.View(b.loop.now()).front().slowdown > 1.5;
  }));
  CHECK(RunUntil([&] {
    return b.placement.View(b.loop.now()).front().held_tokens == 8'500;
  }));
  CHECK(RunUntil([&] {
    b.placement.speed().Refresh(b.loop.now());
    return b.placement.speed().TimeFactor("e0") > 1.5 &&
           b.placement.speed().TimeFactor("e1") == 1;
  }));
}

// Guards against traffic that grows with the fleet, and against hosts that
// receive no loads.
TEST_CASE(
    "in a large fleet each host sends to a sample and receives from as many") {
  constexpr std::size_t kHosts = 370;
  constexpr std::size_t kMost = 16;
  std::vector<std::string> names;
  names.reserve(kHosts);
  for (std::size_t i = 0; i < kHosts; ++i) {
    names.push_back(fmt::format("host-{}", i));
  }
  std::map<std::string, int> received;
  for (const auto& own : names) {
    auto others = names;
    std::erase(others, own);
    const auto chosen = ChooseBroadcastPeers(own, others, kMost);
    CHECK(chosen.size() == kMost);
    for (const auto& it : chosen) {
      ++received[it];
    }
  }
  CHECK(received.size() == kHosts);
  CHECK(std::ranges::max_element(received, {}, [](const auto& it) {
          return it.second;
        })->second <= static_cast<int>(3 * kMost));
  CHECK(ChooseBroadcastPeers("a", {"b", "c"}, kMost).size() == 2);
}

}  // namespace crocuslatch
