#include "app/shared_watch.h"

#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <vector>

#include "tests/fake_loop.h"

namespace crocuslatch {
namespace {

// A store with one key whose watches end with the next change or after their
// wait.
struct Fixture {
  Fixture() {
    store.watch = [this](const std::string&, std::uint64_t after, Millis wait,
                         const StoreRangeCallback& callback) {
      ++calls;
      pending = {after, callback};
      const int call = calls;
      loop.Hooks().after(wait, [this, call] {
        if (call == calls && pending) {
          End({.status = StoreStatus::kOk, .revision = revision});
        }
      });
    };
  }

  void End(const StoreRangeResult& range) {
    const auto callback = pending->callback;
    pending.reset();
    callback(range);
  }

  void Change() {
    ++revision;
    End({.status = StoreStatus::kOk,
         .items = {{"op", revision, "v"}},
         .revision = revision});
  }

  struct Pending {
    std::uint64_t after = 0;
    StoreRangeCallback callback;
  };
  FakeLoop loop;
  Store store;
  std::optional<Pending> pending;
  std::uint64_t revision = 10;
  int calls = 0;
  SharedWatch watch{{.wait = Millis{1000}}, MakeStore(), loop.Hooks()};

  Store MakeStore() {
    Store forwarding;
    forwarding.watch = [this](const auto& prefix, auto after, Millis wait,
                              const auto& callback) {
      store.watch(prefix, after, wait, callback);
    };
    return forwarding;
  }
};

}  // namespace

// Guards against one waiting call of the store for every host.
TEST_CASE("the watches of many hosts are one call") {
  Fixture it;
  std::vector<StoreRangeResult> results;
  for (int host = 0; host < 59; ++host) {
    it.watch.Watch("op", 10, Millis{900},
                   [&](const auto& range) { results.push_back(range); });
  }
  CHECK(it.calls == 1);
  it.Change();
  REQUIRE(results.size() == 59);
  CHECK(results[0].status == StoreStatus::kOk);
  REQUIRE(results[0].items.size() == 1);
  CHECK(results[0].items[0].version == 11);
}

// Guards against a host that never sees a change which came between two of its
// watches.
TEST_CASE("a change between two watches of a host is not missed") {
  Fixture it;
  int others = 0;
  it.watch.Watch("op", 10, Millis{5000}, [&](const auto&) { ++others; });
  it.Change();
  CHECK(others == 1);
  std::optional<StoreRangeResult> late;
  it.watch.Watch("op", 10, Millis{900}, [&](const auto& r) { late = r; });
  it.loop.RunFor(Millis{1});
  REQUIRE(late);
  CHECK(late->items.size() == 1);
  // A host whose revision is older than the shared watch gets its own.
  const int calls = it.calls;
  it.watch.Watch("op", 5, Millis{900}, [](const auto&) {});
  CHECK(it.calls == calls + 1);
}

// Guards against a restored failure domain whose removed key no host learns of:
// the event of a removed key has version 0.
TEST_CASE("the removal of a key reaches every host once") {
  Fixture it;
  std::vector<StoreRangeResult> results;
  const auto collect = [&](const auto& range) { results.push_back(range); };
  it.watch.Watch("op", 10, Millis{900}, collect);
  it.watch.Watch("op", 10, Millis{900}, collect);
  it.revision = 12;
  it.End(
      {.status = StoreStatus::kOk, .items = {{"op", 0, ""}}, .revision = 12});
  REQUIRE(results.size() == 2);
  REQUIRE(results[1].items.size() == 1);
  CHECK(results[1].items[0].version == 0);
  CHECK(results[1].revision == 12);
  it.watch.Watch("op", 12, Millis{400}, collect);
  it.loop.RunFor(Millis{401});
  REQUIRE(results.size() == 3);
  CHECK(results[2].items.empty());
}

TEST_CASE("a watch without a change ends after its wait") {
  Fixture it;
  std::optional<StoreRangeResult> result;
  it.watch.Watch("op", 10, Millis{400}, [&](const auto& r) { result = r; });
  it.loop.RunFor(Millis{399});
  CHECK_FALSE(result);
  it.loop.RunFor(Millis{2});
  REQUIRE(result);
  CHECK(result->status == StoreStatus::kOk);
  CHECK(result->items.empty());
  CHECK(result->revision == 10);
  // The store has not answered yet, so nothing is known about the time since.
  CHECK(result->staleness >= Millis{400});
}

// Guards against hosts that wait for a store which does not answer.
TEST_CASE("a failed watch ends the watches of all hosts") {
  Fixture it;
  int failed = 0;
  for (int host = 0; host < 3; ++host) {
    it.watch.Watch("op", 10, Millis{900}, [&](const auto& range) {
      failed += range.status == StoreStatus::kUnknown ? 1 : 0;
    });
  }
  it.End({.error = "reset"});
  CHECK(failed == 3);
}

// Guards against hosts that learn of a change too late (CONFIG) since the
// connection of the one that watches for them went silent.
TEST_CASE("a watch that gets no answer in time ends the watches of all hosts") {
  Fixture it;
  // A host that watches again whenever there was no change.
  std::optional<Millis> failed_at;
  std::function<void()> watch = [&] {
    it.watch.Watch("op", 10, Millis{900}, [&](const auto& range) {
      if (range.status == StoreStatus::kUnknown) {
        failed_at = it.loop.now();
      } else {
        watch();
      }
    });
  };
  const Millis begin = it.loop.now();
  it.store.watch = [](const auto&, auto, Millis, const auto&) {};
  watch();
  it.loop.RunFor(Millis{5000});
  REQUIRE(failed_at);
  // Two thirds of the bound on a new desired state, 2 s; the host's own call
  // takes the rest.
  CHECK(*failed_at - begin <= Millis{2000 * 2 / 3});
}

// Guards against an answer that comes after the watch was given up.
TEST_CASE("a late answer to an overdue watch is ignored") {
  Fixture it;
  std::vector<StoreRangeCallback> calls;
  it.store.watch = [&](const auto&, auto, Millis, const auto& callback) {
    calls.push_back(callback);
  };
  int failed = 0;
  it.watch.Watch("op", 10, Millis{900}, [&](const auto&) {});
  it.loop.RunFor(Millis{950});
  it.watch.Watch("op", 10, Millis{900}, [&](const auto& range) {
    failed += range.status == StoreStatus::kUnknown ? 1 : 0;
  });
  it.loop.RunFor(Millis{500});
  CHECK(failed == 1);
  calls.front()({.status = StoreStatus::kOk, .revision = 99});
  std::optional<StoreRangeResult> next;
  it.watch.Watch("op", 10, Millis{100}, [&](const auto& r) { next = r; });
  it.loop.RunFor(Millis{200});
  REQUIRE(next);
  CHECK(next->revision == 10);
}

}  // namespace crocuslatch
