#include <catch2/catch.hpp>
#include <optional>

#include "app/desired_state_follower.h"
#include "app/host_directory.h"
#include "app/server_registry_reader.h"
#include "core/host_stamp.h"
#include "src/error.h"
#include "tests/fake_loop.h"

namespace crocuslatch {
namespace {

constexpr Millis kLatency{2};

// A store whose results of reads and watches are set by the test.
struct Fixture {
  Fixture() {
    store.get = [this](const std::string&, const StoreCallback& callback) {
      ++gets;
      loop.Hooks().after(kLatency, [this, callback] {
        callback({status, revision, value, revision, ""});
      });
    };
    store.watch = [this](const std::string&, std::uint64_t after, Millis wait,
                         const StoreRangeCallback& callback) {
      watched_after = after;
      loop.Hooks().after(kLatency, [this, after, wait, callback] {
        if (watch_status != StoreStatus::kOk || revision > after) {
          AnswerWatch(callback);
          return;
        }
        loop.Hooks().after(wait, [this, callback] { AnswerWatch(callback); });
      });
    };
    store.read_all = [this](const std::string&,
                            const StoreRangeCallback& callback) {
      loop.Hooks().after(kLatency, [this, callback] {
        callback({.status = status,
                  .items = items,
                  .revision = revision,
                  .staleness = staleness});
        ++reads;
      });
    };
  }

  void AnswerWatch(const StoreRangeCallback& callback) const {
    StoreRangeResult range{.status = watch_status, .revision = revision};
    if (watch_status == StoreStatus::kOk) {
      range.items = {{"state", revision, value}};
    }
    callback(range);
  }

  void Write(const std::string& next) {
    value = next;
    ++revision;
  }

  // Decodes a state whose text is its version.
  static DesiredState Decode(std::string_view text) {
    if (text.empty() || text.front() == 'x') {
      throw UserError("bad_desired_state", "not a desired state", "correct it");
    }
    DesiredState state;
    state.version = std::stoull(std::string(text));
    return state;
  }

  FakeLoop loop;
  Store store;
  StoreStatus status = StoreStatus::kOk;
  StoreStatus watch_status = StoreStatus::kOk;
  std::string value = "5";
  std::uint64_t revision = 10;
  std::uint64_t watched_after = 0;
  int gets = 0;
  int reads = 0;
  std::vector<StoreItem> items;
  Millis staleness{0};
};

struct Follower : Fixture {
  Follower() {
    follower.Start();
    loop.RunFor(Millis{10});
  }

  std::uint64_t ActiveVersion() const {
    return follower.current() ? follower.current()->version() : 0;
  }

  std::vector<std::uint64_t> versions;
  DesiredStateFollower follower{{.key = "state"},
                                store,
                                loop.Hooks(),
                                &Fixture::Decode,
                                [this](const RoutingTablePointer& it) {
                                  versions.push_back(it->version());
                                }};
};

std::optional<BackendEntry> DecodeEntry(std::string_view key,
                                        std::string_view value) {
  return value == "ok" ? std::optional(BackendEntry{.id = std::string(key)})
                       : std::nullopt;
}

}  // namespace

// Guards against a version that is activated late, and against a return to an
// older version.
TEST_CASE("versions are activated in order and never go back") {
  Follower it;
  CHECK(it.ActiveVersion() == 5);
  it.Write("7");
  it.loop.RunFor(Millis{2500});
  CHECK(it.ActiveVersion() == 7);
  // An old read, for example one relayed by a peer.
  it.Write("6");
  it.loop.RunFor(Millis{5000});
  CHECK(it.versions == std::vector<std::uint64_t>{5, 7});
}

// Guards against routers without any desired state after a bad write.
TEST_CASE("an invalid desired state leaves the last one active") {
  Follower it;
  it.Write("x");
  it.loop.RunFor(Millis{3000});
  CHECK(it.ActiveVersion() == 5);
  it.Write("8");
  it.loop.RunFor(Millis{3000});
  CHECK(it.ActiveVersion() == 8);
}

// Guards against missing changes when the store's history is compacted or a
// watch fails, and against calls without a delay.
TEST_CASE("a failed watch is followed by a read") {
  Follower it;
  it.watch_status = GENERATE(StoreStatus::kCompacted, StoreStatus::kUnknown);
  it.Write("9");
  it.loop.RunFor(Millis{2500});
  CHECK(it.ActiveVersion() == 9);
  it.watch_status = StoreStatus::kOk;
  it.loop.RunFor(Millis{300});
  const int gets = it.gets;
  it.loop.RunFor(Millis{4000});
  CHECK(it.gets == gets);
  CHECK(it.watched_after == it.revision);
}

// Guards against one bad entry that hides all servers, and against an empty
// list when the store does not respond.
TEST_CASE("invalid entries and failed reads do not affect other entries") {
  Fixture it;
  it.items = {{"a", 1, "ok"}, {"b", 2, "damaged"}, {"c", 3, "ok"}};
  std::vector<std::size_t> counts;
  ServerRegistryReader reader(
      {.prefix = "servers/"}, it.store, it.loop.Hooks(), &DecodeEntry,
      [&](const auto& entries) { counts.push_back(entries.size()); });
  reader.Start();
  it.loop.RunFor(Millis{100});
  CHECK(counts == std::vector<std::size_t>{2});
  const auto last = reader.last_read_time();
  it.status = StoreStatus::kUnknown;
  it.items.clear();
  it.loop.RunFor(Millis{5000});
  CHECK(counts == std::vector<std::size_t>{2});
  CHECK(reader.last_read_time() == last);
  it.status = StoreStatus::kOk;
  it.items = {{"a", 4, "ok"}};
  it.loop.RunFor(Millis{5000});
  CHECK(counts.back() == 1);
}

// Guards against an older snapshot from a peer that makes a draining server
// count as ready again.
TEST_CASE("a snapshot older than the last one is ignored") {
  Fixture it;
  it.items = {{"a", 1, "ok"}};
  std::vector<std::size_t> counts;
  ServerRegistryReader reader(
      {.prefix = "servers/"}, it.store, it.loop.Hooks(), &DecodeEntry,
      [&](const auto& entries) { counts.push_back(entries.size()); });
  reader.Start();
  it.loop.RunFor(Millis{100});
  it.revision -= 1;
  it.items = {{"a", 1, "ok"}, {"b", 1, "ok"}};
  it.loop.RunFor(Millis{3000});
  CHECK(counts == std::vector<std::size_t>{1});
  it.revision += 2;
  it.loop.RunFor(Millis{1000});
  CHECK(counts.back() == 2);
}

// Guards against a shared snapshot that counts as new (DRAIN): the next read is
// due one period after the store was read.
TEST_CASE("the age of a shared snapshot shortens the time to the next read") {
  Fixture it;
  it.items = {{"a", 1, "ok"}};
  it.staleness = Millis{200};
  ServerRegistryReader reader(
      {.prefix = "servers/", .poll_period = Millis{600}}, it.store,
      it.loop.Hooks(), &DecodeEntry, [](const auto&) {});
  const Millis start = it.loop.now();
  reader.Start();
  it.loop.RunFor(Millis{10});
  CHECK(reader.last_read_time() == start - Millis{200});
  it.loop.RunFor(Millis{395});
  CHECK(it.reads == 2);
}

// Guards against a restarted process that uses again what was withdrawn before:
// it knows nothing until the store answers, and then only the newest state.
TEST_CASE("after a restart withdrawn keys and departed servers stay unused") {
  Fixture it;
  const auto decode = [](std::string_view text) {
    auto state = Fixture::Decode(text);
    if (state.version < 6) {
      state.client_accounts = {{.name = "acme", .api_keys = {"withdrawn"}}};
    }
    return state;
  };
  struct Process {
    Process(Fixture& it, const DesiredStateFollower::Decode& decode)
        : follower({.key = "state"},
                   it.store,
                   it.loop.Hooks(),
                   decode,
                   [](const auto&) {}),
          registry({.prefix = "servers/"},
                   it.store,
                   it.loop.Hooks(),
                   &DecodeEntry,
                   [this](const auto& all) { entries = all; }) {
      follower.Start();
      registry.Start();
    }
    std::vector<BackendEntry> entries;
    DesiredStateFollower follower;
    ServerRegistryReader registry;
  };
  it.items = {{"servers/a", 1, "ok"}, {"servers/b", 2, "ok"}};
  std::optional<Process> process;
  process.emplace(it, decode);
  it.loop.RunFor(Millis{20});
  REQUIRE(process->entries.size() == 2);
  REQUIRE(process->follower.current()->FindAccount("withdrawn") != nullptr);
  process.reset();
  it.Write("6");
  it.items.pop_back();
  it.status = StoreStatus::kUnknown;
  process.emplace(it, decode);
  it.loop.RunFor(Millis{500});
  CHECK(process->entries.empty());
  CHECK(process->follower.current() == nullptr);
  CHECK_FALSE(process->registry.last_read_time());
  it.status = StoreStatus::kOk;
  it.loop.RunFor(Millis{500});
  CHECK(process->entries.size() == 1);
  REQUIRE(process->follower.current());
  CHECK(process->follower.current()->FindAccount("withdrawn") == nullptr);
}

// Guards against hosts that start together and call the store for themselves
// for a whole period, because none had written its stamp when the others read.
TEST_CASE("hosts that start together know each other within a second") {
  Fixture fixture;
  HostDirectory directory({.prefix = "hosts/", .own_host = "a"}, fixture.store,
                          fixture.loop.Hooks());
  directory.Start();
  fixture.loop.RunFor(Millis{300});
  CHECK(directory.OtherHosts().empty());
  fixture.items = {{"hosts/b", 11, EncodeHostStamp({.peer_address = "h:1"})}};
  fixture.loop.RunFor(Millis{700});
  CHECK(directory.OtherHosts() == std::vector<std::string>{"b"});
  // Without new hosts, the reads become rare again.
  fixture.loop.RunFor(Millis{1000});
  const int reads = fixture.reads;
  fixture.loop.RunFor(Millis{4500});
  CHECK(fixture.reads - reads <= 1);
}

}  // namespace crocuslatch
