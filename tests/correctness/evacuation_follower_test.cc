#include "app/evacuation_follower.h"

#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <vector>

#include "app/shared_watch.h"
#include "core/registry_timing.h"
#include "tests/fake_loop.h"

namespace crocuslatch {
namespace {

using Domains = std::set<std::string>;

constexpr Millis kLatency{4};
constexpr Millis kEvacuate{5000};
constexpr Millis kCallTimeout{300};
// Time until a host learns that the store is back: a call that is under way
// fails, and the next one follows after the longest delay.
constexpr Millis kReturnTime = Millis{1000} + kCallTimeout + 2 * kLatency;

// A store of keys with a history. Watches end with the next change or after
// their wait.
struct Fixture {
  Fixture() {
    store.read_all = [this](const std::string&,
                            const StoreRangeCallback& callback) {
      ++calls;
      if (is_down) {
        Fail(callback, kCallTimeout);
        return;
      }
      loop.Hooks().after(kLatency, [this, callback] {
        StoreRangeResult range{.status = StoreStatus::kOk,
                               .revision = revision - read_lag};
        for (const auto& [key, version] : keys) {
          range.items.push_back({key, version, "{}"});
        }
        callback(read_result ? *read_result : range);
      });
    };
    store.watch = [this](const std::string&, std::uint64_t after, Millis wait,
                         const StoreRangeCallback& callback) {
      ++calls;
      if (is_silent) {
        return;
      }
      Watch(after, loop.now() + wait, callback);
    };
  }

  void Fail(const StoreRangeCallback& callback, Millis delay) {
    loop.Hooks().after(delay, [callback] { callback({.error = "down"}); });
  }

  void Watch(std::uint64_t after,
             Millis end,
             const StoreRangeCallback& callback) {
    loop.Hooks().after(kLatency, [=, this] {
      if (is_down || is_compacted) {
        callback({.status = is_down ? StoreStatus::kUnknown
                                    : StoreStatus::kCompacted});
        is_compacted = false;
        return;
      }
      StoreRangeResult range{.status = StoreStatus::kOk, .revision = revision};
      for (const auto& [event_revision, item] : events) {
        if (event_revision > after) {
          range.items.push_back(item);
        }
      }
      if (!range.items.empty() || loop.now() >= end) {
        callback(range);
        return;
      }
      Watch(after, end, callback);
    });
  }

  void Evacuate(const std::string& domain) {
    const auto key = "op/evacuate/" + domain;
    keys[key] = ++revision;
    events[revision] = {key, revision, "{}"};
  }

  void Restore(const std::string& domain) {
    const auto key = "op/evacuate/" + domain;
    keys.erase(key);
    events[++revision] = {key, 0, ""};
  }

  FakeLoop loop;
  Store store;
  std::map<std::string, std::uint64_t> keys;
  std::map<std::uint64_t, StoreItem> events;
  std::uint64_t revision = 10;
  std::uint64_t read_lag = 0;
  std::optional<StoreRangeResult> read_result;
  bool is_down = false;
  // Watches get no answer.
  bool is_silent = false;
  bool is_compacted = false;
  int calls = 0;
};

// A host that follows the keys.
struct Host {
  Host(Fixture& it, Store store)
      : follower(
            {.prefix = "op/evacuate/",
             .watch_duration = MakeEvacuationTiming(kEvacuate).watch_duration},
            std::move(store),
            it.loop.Hooks(),
            [this](const auto& next) { domains = next; }) {
    follower.Start();
  }
  explicit Host(Fixture& it) : Host(it, it.store) {}

  std::optional<Domains> domains;
  EvacuationFollower follower;
};

}  // namespace

// Guards against an evacuation or a restoration that a host misses.
TEST_CASE("evacuated domains follow the keys") {
  Fixture it;
  Host host(it);
  it.loop.RunFor(Millis{20});
  CHECK(host.domains == Domains{});
  it.Evacuate("a");
  it.loop.RunFor(Millis{20});
  CHECK(host.domains == Domains{"a"});
  it.Evacuate("b");
  it.Restore("a");
  it.loop.RunFor(Millis{20});
  CHECK(host.domains == Domains{"b"});
  it.Restore("b");
  it.loop.RunFor(Millis{20});
  CHECK(host.domains == Domains{});
}

// Guards against a restarted host that sends to an evacuated domain because it
// has not read the keys, and against one that gives up while the store is down.
TEST_CASE("a restarted host knows nothing until it has read the keys") {
  Fixture it;
  it.Evacuate("a");
  it.is_down = true;
  Host host(it);
  it.loop.RunFor(Millis{9000});
  CHECK_FALSE(host.follower.is_known());
  CHECK_FALSE(host.domains);
  it.is_down = false;
  it.loop.RunFor(kReturnTime);
  CHECK(host.follower.is_known());
  CHECK(host.domains == Domains{"a"});
}

// Guards against an evacuation that ends because the store is unavailable.
TEST_CASE("the last known domains hold while the store is unavailable") {
  Fixture it;
  it.Evacuate("a");
  Host host(it);
  it.loop.RunFor(Millis{20});
  REQUIRE(host.domains == Domains{"a"});
  it.is_down = true;
  const int calls = it.calls;
  it.loop.RunFor(Millis{9000});
  CHECK(host.domains == Domains{"a"});
  // One attempt per second and the time that each takes, after the first few.
  CHECK(it.calls - calls <= 10);
  it.Evacuate("b");
  it.Restore("a");
  it.is_down = false;
  it.loop.RunFor(kReturnTime);
  CHECK(host.domains == Domains{"b"});
}

// Guards against an evacuation that is undone by an old snapshot which a peer
// relayed, and against changes lost to a compacted history.
TEST_CASE("after a compaction the keys are read, and old reads are ignored") {
  Fixture it;
  it.Evacuate("a");
  Host host(it);
  it.loop.RunFor(Millis{20});
  it.is_compacted = true;
  it.read_result = StoreRangeResult{.status = StoreStatus::kOk, .revision = 9};
  it.loop.RunFor(Millis{3000});
  CHECK(host.domains == Domains{"a"});
  it.read_result.reset();
  it.Restore("a");
  it.loop.RunFor(Millis{1100});
  CHECK(host.domains == Domains{});
}

// Guards against a domain that gets requests later than the bound because the
// connection of the host that watches for all others fell silent.
TEST_CASE("the hosts of a domain share a watch that may fall silent") {
  Fixture it;
  const auto timing = MakeEvacuationTiming(kEvacuate);
  SharedWatch shared(
      {.wait = timing.watch_duration, .overdue_time = timing.watch_overdue},
      it.store, it.loop.Hooks());
  Store store = it.store;
  store.watch = [&](const auto& prefix, auto after, Millis wait,
                    const auto& callback) {
    shared.Watch(prefix, after, wait, callback);
  };
  std::vector<std::unique_ptr<Host>> hosts;
  for (int i = 0; i < 26; ++i) {
    hosts.push_back(std::make_unique<Host>(it, store));
    it.loop.RunFor(Millis{7});
  }
  it.loop.RunFor(Millis{3000});
  const int calls = it.calls;
  it.loop.RunFor(Millis{20000});
  CHECK(it.calls - calls <= 11);
  it.is_silent = true;
  it.loop.RunFor(timing.watch_duration);
  it.Evacuate("a");
  it.loop.RunFor(kEvacuate / 2);
  for (const auto& host : hosts) {
    CHECK(host->domains == Domains{"a"});
  }
}

}  // namespace crocuslatch
