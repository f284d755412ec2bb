#include "app/relayed_store.h"

#include <catch2/catch.hpp>

#include "tests/peer_host.h"
#include "tests/run_until.h"

namespace crocuslatch {
namespace {

// The store of all hosts: one key.
struct SharedValue {
  std::uint64_t version = 0;
  std::string value;
  int writes = 0;
  int readings = 0;
};

struct Host : PeerHost {
  Host(std::string own, PeerAddresses* table, SharedValue* store)
      : PeerHost(std::move(own), table), shared(store) {
    relayed = std::make_unique<RelayedStore>(
        RelayedStoreOptions{.hedge_delay = Millis{40}}, MakeOwnPath(), loop,
        RelayedStoreHooks{.peers = [this] { return Others(); },
                          .random = [] { return 0.5; },
                          .on_store_response = [this] { ++contacts; }});
    relayed->SetNetwork(network.get());
    on_message = [this](const std::string&, const wire::Envelope& message,
                        const auto& reply) {
      relayed->OnMessage(message, reply);
    };
  }

  Store MakeOwnPath() {
    const auto answer = [this](const StoreCallback& callback,
                               const StoreResult& result) {
      loop.after(
          has_path && !loses_answers ? Millis{1} : Millis{100},
          [this, callback, result] {
            callback(has_path && !loses_answers ? result : StoreResult{});
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
      ++shared->readings;
      loop.after(has_path ? Millis{1} : Millis{100}, [this, callback] {
        StoreRangeResult range;
        if (has_path) {
          range = {.status = StoreStatus::kOk,
                   .items = {{"k", shared->version, shared->value}},
                   .revision = shared->version};
        }
        callback(range);
      });
    };
    return store;
  }

  // A port that asks the host `gatherer` first.
  Store PortThrough(const std::string& aggregator) {
    return relayed->aggregated_store(
        [aggregator] { return aggregator; },
        [this](const std::string&, bool is_answered, Millis) {
          (is_answered ? gathered : not_gathered) += 1;
        });
  }

  StoreRangeResult ReadThrough(const std::string& aggregator) {
    std::optional<StoreRangeResult> result;
    PortThrough(aggregator).read_all("k", [&](const StoreRangeResult& it) {
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
  bool loses_answers = false;
  int contacts = 0;
  // Calls that a gathering peer answered, and those that it did not.
  int gathered = 0;
  int not_gathered = 0;
  std::unique_ptr<RelayedStore> relayed;
};

struct Fixture {
  PeerAddresses addresses;
  SharedValue shared{.version = 5, .value = "first"};
  Host a{"a", &addresses, &shared};
  Host b{"b", &addresses, &shared};
};

}  // namespace

// Guards against a host that refuses everything because only its own path to
// the store is broken.
TEST_CASE("a host without a path reads and writes through a peer") {
  Fixture it;
  it.a.has_path = false;
  CHECK(it.a.Get().value == "first");
  const auto result = it.a.Put("second", 5);
  CHECK(result.status == StoreStatus::kOk);
  CHECK(it.shared.value == "second");
  CHECK(it.shared.writes == 1);
  CHECK(it.a.contacts >= 2);
}

// Guards against a write that takes effect twice by two paths.
TEST_CASE("a write whose answer is lost takes effect once") {
  Fixture it;
  it.a.loses_answers = true;
  const auto result = it.a.Put("second", 5);
  CHECK(it.shared.writes == 1);
  CHECK(it.shared.value == "second");
  // The other path finds the value there, and its version says so.
  CHECK(result.version == 6);
}

// Guards against hosts that ask each other in a circle.
TEST_CASE("the call fails if no host has a path") {
  Fixture it;
  it.a.has_path = false;
  it.b.has_path = false;
  CHECK(it.a.Get().status == StoreStatus::kUnknown);
  CHECK(it.a.contacts == 0);
}

// Guards against a reading of the store for each host and period.
TEST_CASE("hosts that read at the same time share one reading") {
  Fixture it;
  CHECK(it.a.ReadThrough("b").items.size() == 1);
  CHECK(it.b.ReadThrough("").items.size() == 1);
  CHECK(it.a.ReadThrough("b").revision == 5);
  CHECK(it.shared.readings == 1);
  CHECK(it.a.gathered == 2);
  CHECK(it.a.contacts == 2);
  // A later reading sees what has changed since.
  it.b.Put("second", 5);
  RunFor(Millis{300});
  CHECK(it.a.ReadThrough("b").revision == 6);
  CHECK(it.shared.readings == 2);
}

// Guards against a host that cannot read or write because the peer that
// gathers calls is dead or has no path to the store.
TEST_CASE("a host does without the peer that gathers calls") {
  Fixture it;
  const bool is_dead = GENERATE(true, false);
  it.b.has_path = false;
  if (is_dead) {
    it.addresses.erase("b");
  }
  std::optional<StoreResult> written;
  it.a.PortThrough("b").put(
      "k", "second", 5, [&](const StoreResult& result) { written = result; });
  REQUIRE(RunUntil([&] { return written.has_value(); }));
  CHECK(written->status == StoreStatus::kOk);
  CHECK(it.shared.writes == 1);
  CHECK(it.a.ReadThrough("b").status == StoreStatus::kOk);
  CHECK(it.a.not_gathered == 2);
}

// Guards against a host that gathers calls for others and, cut off from the
// store, cannot read the registry although its peers can.
TEST_CASE("the host that gathers calls reads through a peer itself") {
  Fixture it;
  CHECK(it.a.ReadThrough("").status == StoreStatus::kOk);
  CHECK(it.a.contacts == 1);
  RunFor(Millis{300});
  it.a.has_path = false;
  CHECK(it.a.ReadThrough("").revision == 5);
  CHECK(it.a.ReadThrough("").revision == 5);
  CHECK(it.a.contacts == 3);
}

}  // namespace crocuslatch
