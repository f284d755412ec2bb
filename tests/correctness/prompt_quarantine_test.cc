#include "app/prompt_quarantine.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <map>

#include "app/crash_report_codec.h"
#include "tests/fake_loop.h"

namespace crocuslatch {
namespace {

constexpr Millis kLatency{5};
// Time after the fifth crash by which every host must know the part.
constexpr Millis kStable{3000};

ModelWork Work(const std::string& part, const std::string& own) {
  ModelWork work;
  work.parts = {{"system", 100}, {part, 100}, {own, 10}};
  return work;
}

// A store that all hosts share, with watches.
class SharedStore {
 public:
  explicit SharedStore(FakeLoop& loop) : loop_(loop) {}

  Store Hooks(const bool* is_cut) {
    Store store;
    store.put = [this, is_cut](const auto& key, const auto& value,
                               auto expected, const auto& callback) {
      loop_.Hooks().after(kLatency, [=, this] {
        if (*is_cut) {
          callback(StoreResult{});
          return;
        }
        auto& item = items[key];
        item.key = key;
        if (item.version != expected) {
          callback(StoreResult{.status = StoreStatus::kVersionConflict,
                               .version = item.version,
                               .value = item.value});
          return;
        }
        item.version = ++revision;
        item.value = value;
        callback(
            StoreResult{.status = StoreStatus::kOk, .version = item.version});
      });
    };
    store.read_all = [this, is_cut](const auto&, const auto& callback) {
      loop_.Hooks().after(kLatency, [=, this] {
        callback(*is_cut ? StoreRangeResult{} : After(0));
      });
    };
    store.watch = [this, is_cut](const auto&, auto after, Millis wait,
                                 const auto& callback) {
      Poll(is_cut, after, loop_.now() + wait, callback);
    };
    return store;
  }

  std::map<std::string, StoreItem> items;
  std::uint64_t revision = 10;

 private:
  StoreRangeResult After(std::uint64_t after) const {
    StoreRangeResult range{.status = StoreStatus::kOk, .revision = revision};
    for (const auto& [key, item] : items) {
      if (item.version > after) {
        range.items.push_back(item);
      }
    }
    return range;
  }

  void Poll(const bool* is_cut,
            std::uint64_t after,
            Millis end,
            const StoreRangeCallback& callback) {
    loop_.Hooks().after(kLatency, [=, this] {
      if (*is_cut) {
        callback(StoreRangeResult{});
      } else if (!After(after).items.empty() || loop_.now() >= end) {
        callback(After(after));
      } else {
        Poll(is_cut, after, end, callback);
      }
    });
  }

  FakeLoop& loop_;
};

struct Host {
  Host(FakeLoop& loop, SharedStore& store, const std::string& name)
      : quarantine({.prefix = "crashes/",
                    .own_host = name,
                    .incarnation = name + "/1"},
                   store.Hooks(&is_cut),
                   loop.Hooks(),
                   {.probe =
                        [this, &loop](const auto&, auto callback) {
                          ++probes;
                          loop.Hooks().after(kLatency, [this, callback] {
                            callback(is_server_down);
                          });
                        },
                    .wall_now = [&loop] { return loop.now(); }}) {
    quarantine.Start();
  }

  void Break(const std::string& server, const ModelWork& work) {
    quarantine.OnBrokenResponse(server, "10.0.0.1:80", work, true);
  }
  bool IsQuarantined(const std::string& part) const {
    return quarantine.Find(Work(part, "any")).has_value();
  }

  bool is_cut = false;
  bool is_server_down = true;
  int probes = 0;
  PromptQuarantine quarantine;
};

struct Fleet {
  Fleet() {
    for (int i = 0; i < 9; ++i) {
      hosts.push_back(
          std::make_unique<Host>(loop, store, fmt::format("h-{}", i)));
    }
    loop.RunFor(Millis{100});
  }

  FakeLoop loop;
  SharedStore store{loop};
  std::vector<std::unique_ptr<Host>> hosts;
};

}  // namespace

// Guards against requests with one part that come at any host and crash one
// server after the other (BUDGET).
TEST_CASE("every host knows a deadly part before the fifth crash") {
  Fleet it;
  for (int crash = 0; crash < 4; ++crash) {
    auto& host = *it.hosts[static_cast<std::size_t>(crash)];
    host.Break(fmt::format("i-{}", crash),
               Work("deadly", fmt::format("own-{}", crash)));
    it.loop.RunFor(Millis{400});
    // Sound requests share the first part.
    for (auto& other : it.hosts) {
      other->quarantine.OnServed(Work("sound", "x"));
    }
    it.loop.RunFor(Millis{100});
  }
  for (const auto& host : it.hosts) {
    CHECK(host->IsQuarantined("deadly"));
    CHECK_FALSE(host->IsQuarantined("sound"));
  }
}

// Guards against a sound part that is refused at hosts which never served it.
TEST_CASE("a part that another host serves is quarantined nowhere for long") {
  Fleet it;
  for (int crash = 0; crash < 3; ++crash) {
    it.hosts[0]->Break(fmt::format("i-{}", crash), Work("sound", "own"));
    it.loop.RunFor(Millis{500});
    it.hosts[1]->quarantine.OnServed(Work("sound", "other"));
    it.loop.RunFor(Millis{100});
  }
  for (const auto& host : it.hosts) {
    CHECK_FALSE(host->IsQuarantined("sound"));
    CHECK_FALSE(host->IsQuarantined("system"));
  }
}

// Guards against hosts that learn nothing while the store is away, and against
// reports that are lost with it.
TEST_CASE("crashes seen without a path to the store are reported later") {
  Fleet it;
  auto& host = *it.hosts[0];
  host.is_cut = true;
  for (int crash = 0; crash < 3; ++crash) {
    host.Break(fmt::format("i-{}", crash), Work("deadly", "own"));
    it.loop.RunFor(Millis{500});
  }
  CHECK(host.IsQuarantined("deadly"));
  CHECK_FALSE(it.hosts[1]->IsQuarantined("deadly"));
  host.is_cut = false;
  it.loop.RunFor(kStable);
  CHECK(it.hosts[1]->IsQuarantined("deadly"));
}

// Guards against taking a reset connection for a crash.
TEST_CASE(
    "a broken response of a server that accepts connections is no crash") {
  Fleet it;
  auto& host = *it.hosts[0];
  host.is_server_down = false;
  for (int i = 0; i < 10; ++i) {
    host.Break(fmt::format("i-{}", i), Work("sound", "own"));
    host.Break(fmt::format("i-{}", i), Work("sound", "own"));
    it.loop.RunFor(Millis{500});
  }
  CHECK(host.probes == 10);
  CHECK_FALSE(host.IsQuarantined("sound"));
  CHECK(it.store.items.empty());
}

// Guards against a restarted host that lets a deadly part through again, and
// against the value of its last process that blocks its own.
TEST_CASE("a restarted host knows what was reported before") {
  Fleet it;
  for (int crash = 0; crash < 3; ++crash) {
    it.hosts[0]->Break(fmt::format("i-{}", crash), Work("deadly", "own"));
    it.loop.RunFor(Millis{500});
  }
  Host next(it.loop, it.store, "h-0");
  // The incarnation of the fixture's hosts is their name, so this process reads
  // as another host's.
  Host other(it.loop, it.store, "h-9");
  it.loop.RunFor(Millis{100});
  CHECK(other.IsQuarantined("deadly"));
  next.Break("i-7", Work("second", "own"));
  it.loop.RunFor(Millis{500});
  const auto reports =
      DecodeCrashReports(it.store.items.at("crashes/h-0").value);
  REQUIRE(reports);
  CHECK(reports->reports.back().crash->server_id == "i-7");
}

TEST_CASE("crash reports survive their encoding, and bad values are rejected") {
  const HostCrashReports reports{
      .incarnation = "h/1",
      .reports = {{.number = 1,
                   .wall_time = Millis{1'800'000'000'000},
                   .crash = ServerCrash{.server_id = "i-1",
                                        .begun_parts = {"a", "b"},
                                        .waiting_parts = {"c"}},
                   .served_parts = {}},
                  {.number = 2,
                   .wall_time = Millis{2},
                   .crash = std::nullopt,
                   .served_parts = {"a"}}}};
  CHECK(DecodeCrashReports(EncodeCrashReports(reports)) == reports);
  const auto* const text = GENERATE(
      "", "[]", "{}", R"({"incarnation":"a"})",
      R"({"incarnation":1,"reports":[]})",
      R"({"incarnation":"a","reports":[1]})",
      R"({"incarnation":"a","reports":[{"n":1,"served":[]}]})",
      R"({"incarnation":"a","reports":[{"n":-1,"ms":1,"served":[]}]})",
      R"({"incarnation":"a","reports":[{"n":1,"ms":1,"served":[2]}]})",
      R"({"incarnation":"a","reports":[{"n":1,"ms":1,"server":"s","begun":["a"]}]})");
  CHECK_FALSE(DecodeCrashReports(text));
}

}  // namespace crocuslatch
