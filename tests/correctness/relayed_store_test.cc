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
};

struct Host : PeerHost {
  Host(std::string own, PeerAddresses* table, SharedValue* store)
      : PeerHost(std::move(own), table), shared(store) {
    relayed = std::make_unique<RelayedStore>(
        RelayedStoreOptions{.hedge_after = Millis{40}}, MakeOwnPath(), loop,
        RelayedStoreHooks{.peers = [this] { return Others(); },
                          .random = [] { return 0.5; },
                          .on_contact = [this] { ++contacts; }});
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
    return store;
  }

  StoreResult Put(const std::string& value, std::uint64_t expected) {
    std::optional<StoreResult> result;
    relayed->port().put("k", value, expected,
                        [&](const StoreResult& it) { result = it; });
    REQUIRE(RunUntil([&] { return result.has_value(); }));
    return *result;
  }

  StoreResult Get() {
    std::optional<StoreResult> result;
    relayed->port().get("k", [&](const StoreResult& it) { result = it; });
    REQUIRE(RunUntil([&] { return result.has_value(); }));
    return *result;
  }

  SharedValue* shared;
  bool has_path = true;
  bool loses_answers = false;
  int contacts = 0;
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

}  // namespace crocuslatch
