#include <catch2/catch.hpp>

#include "app/desired_state_follower.h"
#include "app/server_registry_reader.h"
#include "src/error.h"
#include "tests/fake_loop.h"

namespace crocuslatch {
namespace {

constexpr Millis kLatency{2};

// A store whose answers to reads and watches the test sets.
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
        callback({status, items, revision, ""});
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

  // A state whose text is its version.
  static DesiredState Decode(std::string_view text) {
    if (text.empty() || text.front() == 'x') {
      throw UserError("bad_desired_state", "not a state", "correct it");
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
  std::vector<StoreItem> items;
};

struct Follower : Fixture {
  Follower() {
    follower.Start();
    loop.RunFor(Millis{10});
  }

  std::uint64_t InForce() const {
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

// Guards against a version that comes late or that goes back.
TEST_CASE("versions come into force in order and never go back") {
  Follower it;
  CHECK(it.InForce() == 5);
  it.Write("7");
  it.loop.RunFor(Millis{2500});
  CHECK(it.InForce() == 7);
  // An old reading, for example by a peer.
  it.Write("6");
  it.loop.RunFor(Millis{5000});
  CHECK(it.versions == std::vector<std::uint64_t>{5, 7});
}

// Guards against routers without any state after a bad write.
TEST_CASE("a state that cannot be read leaves the last one in force") {
  Follower it;
  it.Write("x");
  it.loop.RunFor(Millis{3000});
  CHECK(it.InForce() == 5);
  it.Write("8");
  it.loop.RunFor(Millis{3000});
  CHECK(it.InForce() == 8);
}

// Guards against changes that are missed when the history is gone or a watch
// breaks, and against calls without a pause.
TEST_CASE("a watch that fails is followed by a reading") {
  Follower it;
  it.watch_status = GENERATE(StoreStatus::kCompacted, StoreStatus::kUnknown);
  it.Write("9");
  it.loop.RunFor(Millis{2500});
  CHECK(it.InForce() == 9);
  it.watch_status = StoreStatus::kOk;
  it.loop.RunFor(Millis{300});
  const int gets = it.gets;
  it.loop.RunFor(Millis{4000});
  CHECK(it.gets == gets);
  CHECK(it.watched_after == it.revision);
}

// Guards against one bad entry that hides all servers, and against an empty
// list because the store did not answer.
TEST_CASE("damaged entries and failed readings change nothing for the others") {
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

// Guards against a peer's older reading that makes a server that leaves count
// as ready again.
TEST_CASE("a reading older than the last one is not used") {
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

}  // namespace crocuslatch
