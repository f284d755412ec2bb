#include <catch2/catch.hpp>

#include "core/load/placement.h"

namespace crocuslatch {
namespace {

constexpr Millis kNow{100'000};
constexpr Tokens kCapacity = 40'000;

std::vector<BackendEntry> Engines(int n) {
  std::vector<BackendEntry> entries;
  entries.reserve(static_cast<std::size_t>(n));
  for (int i = 0; i < n; ++i) {
    entries.push_back({.id = "e" + std::to_string(i),
                       .service = "model",
                       .address = "10.0.0.1:80",
                       .failure_domain = "a",
                       .slots = 64});
  }
  return entries;
}

ModelWork Work(const std::string& session, Tokens shared, Tokens own) {
  return {.prompt_tokens = shared + own,
          .max_output_tokens = 1'000,
          .expected_output_tokens = 200,
          .parts = {{session, shared}, {"own", own}}};
}

struct Host {
  explicit Host(int engines) : placement({}, "a") {
    placement.SetServers(Engines(engines), kNow);
    placement.SetEngines(
        {{"model",
          {.slots = 64, .kv_capacity = kCapacity, .tokens_per_event = 5}}});
  }
  PlacementChoice Choose(const ModelWork& work) {
    const auto it =
        placement.Choose({.service = "model", .work = &work, .now = kNow});
    REQUIRE(it);
    return *it;
  }
  // Begins a dispatch whose response has begun, so that only its memory and its
  // place among the running requests count.
  Placement::DispatchId Run(const std::string& server, const ModelWork& work) {
    const auto id = placement.Begin(server, &work, kNow);
    placement.OnFirstByte(id, kNow);
    return id;
  }
  Tokens Held(std::size_t server) {
    return placement.View(kNow).at(server).held_tokens;
  }

  Placement placement;
};

}  // namespace

// Guards against memory that is counted once for each request of a session, or
// kept after the last one.
TEST_CASE("shared parts are counted once while a request needs them") {
  Host host(1);
  const auto work = Work("s", 13'000, 2'000);
  const auto first = host.Run("e0", work);
  CHECK(host.Held(0) == 15'200);
  const auto second = host.Run("e0", work);
  CHECK(host.Held(0) == 17'400);
  host.placement.End(first, DispatchResult::kServed, kNow);
  CHECK(host.Held(0) == 15'200);
  host.placement.End(second, DispatchResult::kServed, kNow);
  CHECK(host.Held(0) == 0);
}

// Guards against an estimate of the output that is too small: the memory grows
// on with what was produced.
TEST_CASE("output beyond the expected one is counted") {
  Host host(1);
  const auto id = host.Run("e0", Work("s", 0, 1'000));
  for (int i = 0; i < 40; ++i) {
    host.placement.OnEvent(id, kNow);
  }
  CHECK(host.Held(0) == 1'200);
  for (int i = 0; i < 100; ++i) {
    host.placement.OnEvent(id, kNow);
  }
  CHECK(host.Held(0) >= 1'000 + 700);
  host.placement.End(id, DispatchResult::kServed, kNow);
  CHECK(host.Held(0) == 0);
}

// Load pattern: long sessions fill the memory of their home engine long before
// its slots. Guards against requests that an engine can only run by preempting
// others, while another engine has room.
TEST_CASE("a server without memory is left out if another has room") {
  Host host(2);
  const auto work = Work("s", 13'000, 3'000);
  const auto home = host.Choose(work).server_id;
  const auto other = home == "e0" ? "e1" : "e0";
  host.Run(home, Work("x", 0, 30'000));
  const auto choice = host.Choose(work);
  CHECK(choice.server_id == other);
  CHECK(choice.excess_tokens == 0);
  CHECK(choice.candidates == 2);
  // Its own session needs only the part that is not there yet.
  Host same(2);
  same.Run(home, Work("s", 13'000, 22'000));
  CHECK(same.Choose(work).server_id == home);
}

// Guards against a service that refuses, or picks any server, once no engine
// has room.
TEST_CASE("if no server has memory, the least exceeded one is chosen") {
  Host host(2);
  host.Run("e0", Work("x", 0, 39'000));
  host.placement.OnPeerLoad("b", "e1", {1, 0, 60'000}, kNow);
  const auto choice = host.Choose(Work("", 0, 10'000));
  CHECK(choice.server_id == "e0");
  CHECK(choice.excess_tokens == 39'200 + 10'200 - kCapacity);
}

// Guards against a deployment that states no memory and whose placement
// changes.
TEST_CASE("memory does not count if the engines' capacity is unknown") {
  Host host(2);
  host.placement.SetEngines({});
  const auto work = Work("s", 13'000, 3'000);
  const auto home = host.Choose(work).server_id;
  host.Run(home, Work("x", 0, 39'000));
  CHECK(host.Choose(work).server_id == home);
  CHECK(host.Held(0) + host.Held(1) == 0);
}

// Guards against an expected time that contains the cost for other requests, so
// that admission refuses what would be in time.
TEST_CASE("the expected time is not the cost") {
  Host host(2);
  const auto work = Work("s", 16'000, 4'000);
  const double rate = PlacementOptions{}.prompt_tokens_per_ms;
  const auto home = host.Choose(work);
  CHECK(home.is_home);
  CHECK(home.expected_ms == Approx(4'000 / rate));
  // A queue at the home that costs more than reading the prompt elsewhere.
  host.placement.OnPeerLoad("b", home.server_id, {1, 200'000, 0}, kNow);
  const auto other = host.Choose(work);
  CHECK_FALSE(other.is_home);
  CHECK(other.expected_ms == Approx(20'000 / rate));
  CHECK(other.cost > 2 * other.expected_ms);
}

// Guards against a request of an earlier incarnation whose end lowers the load
// of the new one.
TEST_CASE("the end of a request at an earlier incarnation changes nothing") {
  Host host(1);
  const auto old_request = host.Run("e0", Work("s", 13'000, 2'000));
  auto entries = Engines(1);
  entries[0].start_time_ms = 2;
  host.placement.SetServers(entries, kNow);
  CHECK(host.Held(0) == 0);
  host.Run("e0", Work("s", 13'000, 2'000));
  host.placement.End(old_request, DispatchResult::kUnreachable, kNow);
  CHECK(host.Held(0) == 15'200);
  CHECK(host.placement.View(kNow)[0].in_flight == 1);
  CHECK_FALSE(host.placement.View(kNow)[0].is_avoided);
}

}  // namespace crocuslatch
