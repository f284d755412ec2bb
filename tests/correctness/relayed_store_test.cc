#include "app/relayed_store.h"

#include <catch2/catch.hpp>

#include "app/server_registry_reader.h"
#include "core/registry_timing.h"
#include "tests/peer_host.h"
#include "tests/run_until.h"

namespace crocuslatch {
namespace {

// The store that all hosts share. It has one key.
struct SharedValue {
  std::uint64_t version = 0;
  std::string value;
  int writes = 0;
  int reads = 0;
  int watches = 0;
};

struct Host : PeerHost {
  Host(std::string own,
       PeerAddresses* table,
       SharedValue* store,
       RelayedStoreOptions options = {})
      : PeerHost(std::move(own), table), shared(store) {
    options.hedge_delay = Millis{40};
    relayed = std::make_unique<RelayedStore>(
        options, MakeDirectStore(), loop,
        RelayedStoreHooks{.peers = [this] { return Others(); },
                          .random = [] { return 0.5; },
                          .on_store_response = [this] { ++store_responses; }});
    relayed->SetNetwork(network.get());
    on_message = [this](const HolderId&, const wire::Envelope& message,
                        const auto& reply) {
      if (!is_silent) {
        relayed->OnMessage(message, reply);
      }
    };
  }

  Store MakeDirectStore() {
    const auto answer = [this](const StoreCallback& callback,
                               const StoreResult& result) {
      loop.after(
          has_path && !loses_responses ? Millis{1} : Millis{100},
          [this, callback, result] {
            callback(has_path && !loses_responses ? result : StoreResult{});
          });
    };
    Store store;
    store.get = [this, answer](const std::string&, auto callback) {
      answer(callback, {StoreStatus::kOk, shared->version, shared->value});
    };
    store.put = [this, answer](const std::string&, const std::string& value,
                               std::uint64_t expected, auto callback) {
      if (!has_path) {
        answer(callback, {});
        return;
      }
      if (expected != shared->version) {
        answer(callback,
               {StoreStatus::kVersionConflict, shared->version, shared->value});
        return;
      }
      shared->value = value;
      ++shared->version;
      ++shared->writes;
      answer(callback, {StoreStatus::kOk, shared->version, value});
    };
    store.read_all = [this](const std::string&, auto callback) {
      ++shared->reads;
      const StoreRangeResult range{
          .status = StoreStatus::kOk,
          .items = {{"k", shared->version, shared->value}},
          .revision = shared->version};
      ++reads_open;
      loop.after(has_path ? read_time : Millis{100}, [this, callback, range] {
        --reads_open;
        callback(has_path ? range : StoreRangeResult{});
      });
    };
    store.watch = [this](const std::string&, std::uint64_t, Millis wait,
                         auto callback) {
      ++shared->watches;
      loop.after(has_path ? wait : Millis{100}, [this, callback] {
        callback({.status = has_path ? StoreStatus::kOk : StoreStatus::kUnknown,
                  .revision = shared->version});
      });
    };
    return store;
  }

  // A store that asks the host `aggregator` first.
  Store AggregatedStore(const std::string& aggregator) {
    return relayed->aggregated_store(
        [aggregator] { return aggregator; },
        [this](const std::string&, bool is_answered, Millis) {
          (is_answered ? aggregated_calls : failed_aggregator_calls) += 1;
        });
  }

  StoreRangeResult ReadAggregated(const std::string& aggregator) {
    std::optional<StoreRangeResult> result;
    AggregatedStore(aggregator).read_all("k", [&](const StoreRangeResult& it) {
      result = it;
    });
    REQUIRE(RunUntil([&] { return result.has_value(); }));
    return *result;
  }

  StoreResult Put(const std::string& value, std::uint64_t expected) {
    std::optional<StoreResult> result;
    relayed->store().put("k", value, expected,
                         [&](const StoreResult& it) { result = it; });
    REQUIRE(RunUntil([&] { return result.has_value(); }));
    return *result;
  }

  StoreResult Get() {
    std::optional<StoreResult> result;
    relayed->store().get("k", [&](const StoreResult& it) { result = it; });
    REQUIRE(RunUntil([&] { return result.has_value(); }));
    return *result;
  }

  SharedValue* shared;
  bool has_path = true;
  // Time that the response to a read is on its way.
  Millis read_time{1};
  int reads_open = 0;
  bool loses_responses = false;
  // Peers' calls get no response.
  bool is_silent = false;
  int store_responses = 0;
  // Calls that the aggregator responded to, and those that it did not.
  int aggregated_calls = 0;
  int failed_aggregator_calls = 0;
  std::unique_ptr<RelayedStore> relayed;
};

struct Fixture {
  PeerAddresses addresses;
  SharedValue shared{.version = 5, .value = "first"};
  Host a{"a", &addresses, &shared};
  Host b{"b", &addresses, &shared};
};

}  // namespace

// Guards against a host that refuses everything because only its direct path to
// the store is down.
TEST_CASE("a host without a direct path reads and writes through a peer") {
  Fixture it;
  it.a.has_path = false;
  CHECK(it.a.Get().value == "first");
  const auto result = it.a.Put("second", 5);
  CHECK(result.status == StoreStatus::kOk);
  CHECK(it.shared.value == "second");
  CHECK(it.shared.writes == 1);
  CHECK(it.a.store_responses >= 2);
}

// Guards against a write that takes effect twice, once by each path.
TEST_CASE("a write whose response is lost takes effect once") {
  Fixture it;
  it.a.loses_responses = true;
  const auto result = it.a.Put("second", 5);
  CHECK(it.shared.writes == 1);
  CHECK(it.shared.value == "second");
  // The relayed write finds the value stored and returns its version.
  CHECK(result.version == 6);
}

// Guards against hosts that relay calls to each other in a loop.
TEST_CASE("the call fails if no host has a path") {
  Fixture it;
  it.a.has_path = false;
  it.b.has_path = false;
  CHECK(it.a.Get().status == StoreStatus::kUnknown);
  CHECK(it.a.store_responses == 0);
}

// Guards against one read of the store per host and period.
TEST_CASE("hosts that read at the same time share one read of the store") {
  Fixture it;
  CHECK(it.a.ReadAggregated("b").items.size() == 1);
  CHECK(it.b.ReadAggregated("").items.size() == 1);
  CHECK(it.a.ReadAggregated("b").revision == 5);
  CHECK(it.shared.reads == 1);
  CHECK(it.a.aggregated_calls == 2);
  CHECK(it.a.store_responses == 2);
  // A later read sees the changes made since.
  it.b.Put("second", 5);
  RunFor(Millis{300});
  CHECK(it.a.ReadAggregated("b").revision == 6);
  CHECK(it.shared.reads == 2);
}

// Guards against a stalled read whose old result is handed on as new.
TEST_CASE("a caller gets no result that was read long before its call") {
  Fixture it;
  auto store = it.b.AggregatedStore("");
  std::vector<std::uint64_t> revisions;
  const auto read = [&](Millis read_time) {
    it.b.read_time = read_time;
    store.read_all("k", [&](const StoreRangeResult& range) {
      CHECK(range.staleness <= RelayedStoreOptions{}.shared_read_ttl);
      revisions.push_back(range.revision);
    });
  };
  SECTION("by waiting for the older read") {
    read(Millis{450});
    RunFor(Millis{300});
    it.b.Put("second", 5);
    read(Millis{400});
  }
  SECTION("by asking after the older read has returned") {
    read(Millis{400});
    RunFor(Millis{300});
    it.b.Put("second", 5);
    read(Millis{1});
    RunFor(Millis{150});
    read(Millis{1});
  }
  REQUIRE(
      RunUntil([&] { return revisions.size() >= 2 && it.b.reads_open == 0; }));
  std::ranges::sort(revisions);
  CHECK(std::ranges::count(revisions, 5) == 1);
}

// Guards against a host that takes a shared snapshot for as new as its call.
TEST_CASE("a shared read states how old it is") {
  Fixture it;
  it.b.ReadAggregated("");
  RunFor(Millis{120});
  const auto shared = it.a.ReadAggregated("b");
  CHECK(it.shared.reads == 1);
  CHECK(shared.staleness >= Millis{100});
}

// Guards against a newer snapshot that is rejected as older than one whose read
// began late.
TEST_CASE("a read after a silent aggregator states that it began later") {
  Fixture it;
  it.b.is_silent = true;
  const auto result = it.a.ReadAggregated("b");
  CHECK(result.staleness <= -RelayedStoreOptions{}.aggregator_timeout);
}

// Guards against requests to a server that left (DRAIN) because the delays of
// the registry add up to the bound when the aggregator falls silent.
TEST_CASE("a draining server is known in time when the aggregator is silent") {
  const Millis drain{2000};
  const auto timing = MakeRegistryTiming(drain);
  const RelayedStoreOptions options{
      .aggregator_timeout = timing.aggregator_timeout,
      .shared_read_ttl = timing.shared_read_ttl};
  PeerAddresses addresses;
  SharedValue shared{.version = 5, .value = "ready"};
  Host host("a", &addresses, &shared, options);
  Host aggregator("b", &addresses, &shared, options);
  std::optional<std::string> known;
  ServerRegistryReader reader(
      {.prefix = "k", .poll_period = timing.poll_period},
      host.AggregatedStore("b"), host.loop,
      [](std::string_view, std::string_view value) {
        return std::optional(BackendEntry{.id = std::string(value)});
      },
      [&](const auto& entries) { known = entries.front().id; });
  // The first snapshot is one that the aggregator has read for itself before.
  aggregator.ReadAggregated("");
  shared.value = "draining";
  ++shared.version;
  const Millis draining_at = host.loop.now();
  RunFor(timing.shared_read_ttl - Millis{50});
  reader.Start();
  REQUIRE(RunUntil([&] { return known == "ready"; }));
  aggregator.is_silent = true;
  REQUIRE(RunUntil([&] { return known == "draining"; }));
  CHECK(host.loop.now() - draining_at < drain / 2);
}

// Guards against a host that cannot read or write because the aggregator is
// dead or has no path to the store.
TEST_CASE("a host falls back if the aggregator does not respond") {
  Fixture it;
  const bool is_dead = GENERATE(true, false);
  it.b.has_path = false;
  if (is_dead) {
    it.addresses.erase("b");
  }
  std::optional<StoreResult> written;
  it.a.AggregatedStore("b").put(
      "k", "second", 5, [&](const StoreResult& result) { written = result; });
  REQUIRE(RunUntil([&] { return written.has_value(); }));
  CHECK(written->status == StoreStatus::kOk);
  CHECK(it.shared.writes == 1);
  CHECK(it.a.ReadAggregated("b").status == StoreStatus::kOk);
  CHECK(it.a.failed_aggregator_calls == 2);
}

// Guards against an aggregator that is cut off from the store and cannot read
// the registry although its peers can.
TEST_CASE("an aggregator without a direct path reads through a peer") {
  Fixture it;
  CHECK(it.a.ReadAggregated("").status == StoreStatus::kOk);
  CHECK(it.a.store_responses == 1);
  RunFor(Millis{300});
  it.a.has_path = false;
  CHECK(it.a.ReadAggregated("").revision == 5);
  CHECK(it.a.ReadAggregated("").revision == 5);
  CHECK(it.a.store_responses == 3);
}

// Guards against one waiting call of the store for every host, and against a
// host that learns of no change because its aggregator is dead.
TEST_CASE("a host watches through its aggregator while that responds") {
  Fixture it;
  const auto watch = [&] {
    std::optional<StoreStatus> status;
    const Millis begin = it.a.loop.now();
    it.a.AggregatedStore("b").watch(
        "k", 5, Millis{200},
        [&](const StoreRangeResult& range) { status = range.status; });
    REQUIRE(RunUntil([&] { return status.has_value(); }));
    CHECK(*status == StoreStatus::kOk);
    return it.a.loop.now() - begin;
  };
  watch();
  CHECK(it.shared.watches == 1);
  CHECK(it.a.failed_aggregator_calls == 0);
  // The watch of the store that began before ends first.
  RunFor(RelayedStoreOptions{}.shared_watch_wait + Millis{100});
  it.b.has_path = false;
  // A bound on new desired states of 2 s leaves this time.
  CHECK(watch() < Millis{1500});
  CHECK(it.a.failed_aggregator_calls == 1);
}

}  // namespace crocuslatch
