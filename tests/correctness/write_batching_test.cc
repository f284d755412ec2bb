#include "app/write_batching.h"

#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

#include "tests/fake_loop.h"

namespace crocuslatch {
namespace {

// A store that responds to every transaction after 4 ms.
struct Fixture {
  Fixture() {
    direct_store.put_all = [this](const std::vector<StoreWrite>& writes,
                                  const StoreRangeCallback& callback) {
      loop.Hooks().after(
          Millis{4}, [this, writes, callback] { callback(Commit(writes)); });
    };
    options.deferrable_prefix = "hosts/";
    batched_store = BatchWrites(options, direct_store, loop.Hooks());
  }

  StoreRangeResult Commit(const std::vector<StoreWrite>& writes) {
    ++calls;
    most_writes = std::max(most_writes, writes.size());
    StoreRangeResult range{.status = status};
    if (status != StoreStatus::kOk) {
      return range;
    }
    const auto has_conflict = [this](const StoreWrite& it) {
      return versions[it.key] != it.expected;
    };
    if (std::ranges::any_of(writes, has_conflict)) {
      range.status = StoreStatus::kVersionConflict;
      for (const auto& it : writes) {
        if (versions[it.key] != 0) {
          range.items.push_back({it.key, versions[it.key], "theirs"});
        }
      }
      return range;
    }
    range.revision = ++revision;
    for (const auto& it : writes) {
      versions[it.key] = revision;
    }
    return range;
  }

  void Put(const std::string& key,
           std::uint64_t expected,
           const std::string& value = "ours") {
    batched_store.put(key, value, expected, [this, key](const StoreResult& it) {
      results[key] = it;
    });
  }

  StoreStatus StatusOf(const std::string& key) const {
    return results.at(key).status;
  }

  WriteBatchingOptions options;
  FakeLoop loop;
  Store direct_store;
  Store batched_store;
  StoreStatus status = StoreStatus::kOk;
  std::map<std::string, std::uint64_t> versions;
  std::uint64_t revision = 10;
  int calls = 0;
  std::size_t most_writes = 0;
  std::map<std::string, StoreResult> results;
};

}  // namespace

// Guards against one store call per write: the calls would grow with the number
// of hosts and budgets, for example when nine hosts exchange budgets at once.
TEST_CASE("writes within the batching window become one transaction") {
  Fixture it;
  for (int i = 0; i < 12; ++i) {
    it.Put("k" + std::to_string(i), 0);
    it.loop.RunFor(Millis{1});
  }
  it.loop.RunFor(Millis{40});
  CHECK(it.calls == 1);
  CHECK(it.results.size() == 12);
  CHECK(it.results.at("k0").version == 11);
  CHECK(it.results.at("k11").version == 11);
}

// Guards against a failed condition that makes the writes of all other hosts
// fail, and against reporting the failed write as written.
TEST_CASE("a failed condition fails only its own write") {
  Fixture it;
  it.versions["lost"] = 7;
  it.Put("first", 0);
  it.Put("lost", 3);
  it.Put("last", 0);
  it.loop.RunFor(Millis{50});
  CHECK(it.StatusOf("first") == StoreStatus::kOk);
  CHECK(it.StatusOf("last") == StoreStatus::kOk);
  CHECK(it.StatusOf("lost") == StoreStatus::kVersionConflict);
  CHECK(it.results.at("lost").version == 7);
  CHECK(it.results.at("lost").value == "theirs");
  CHECK(it.calls == 2);
}

// Guards against writes whose callbacks never run when the store does not
// respond.
TEST_CASE("a transaction without a response leaves all its writes unknown") {
  Fixture it;
  it.status = StoreStatus::kUnknown;
  it.Put("first", 0);
  it.Put("last", 0);
  it.loop.RunFor(Millis{50});
  CHECK(it.StatusOf("first") == StoreStatus::kUnknown);
  CHECK(it.StatusOf("last") == StoreStatus::kUnknown);
  CHECK(it.calls == 1);
}

// Guards against transactions that the platform rejects: two writes of a key,
// too many keys, too many bytes.
TEST_CASE("transactions stay within the platform's limits") {
  Fixture it;
  it.Put("same", 0);
  it.Put("same", 11);
  it.loop.RunFor(Millis{50});
  CHECK(it.calls == 2);
  CHECK(it.StatusOf("same") == StoreStatus::kOk);
  for (int i = 0; i < 70; ++i) {
    it.Put("k" + std::to_string(i), 0);
  }
  it.loop.RunFor(Millis{50});
  CHECK(it.calls == 7);
  CHECK(it.most_writes == 16);
  it.Put("large", 0, std::string(it.options.max_bytes - 10, 'x'));
  it.Put("small", 0, std::string(20, 'x'));
  it.loop.RunFor(Millis{50});
  CHECK(it.calls == 9);
}

// Guards against a call for nearly every stamp of 295 hosts, and against an
// exchange that waits as long as a stamp may.
TEST_CASE("stamps wait for others, and an exchange takes them along") {
  Fixture it;
  for (int i = 0; i < 5; ++i) {
    it.Put(fmt::format("hosts/{}", i), 0);
    it.loop.RunFor(it.options.deferrable_window / 6);
  }
  CHECK(it.calls == 0);
  it.Put("ledger/1", 0);
  it.loop.RunFor(Millis{30});
  CHECK(it.calls == 1);
  CHECK(it.results.size() == 6);
  it.Put("hosts/9", 0);
  it.loop.RunFor(it.options.deferrable_window + Millis{5});
  CHECK(it.calls == 2);
}

}  // namespace crocuslatch
