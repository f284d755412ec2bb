#include "app/holder_recovery.h"

#include <catch2/catch.hpp>

#include "app/host_directory.h"
#include "app/stamp_writer.h"
#include "src/shard_codec.h"
#include "tests/fake_loop.h"
#include "tests/fake_store.h"

namespace crocuslatch {
namespace {

const HolderId kOld{"h", 7};

HostStamp Stamp(std::uint64_t incarnation, Millis at) {
  return {.incarnation = incarnation,
          .boot_time = at,
          .wall_time = Millis{1'700'000'000'000} + at,
          .peer_address = "10.0.0.1:7340"};
}

struct Fixture {
  Fixture() {
    store = fake.Hooks();
    store.read_all = [this](const std::string& prefix, const auto& callback) {
      StoreRangeResult range{.status = fake.is_down ? StoreStatus::kUnknown
                                                    : StoreStatus::kOk};
      for (const auto& [key, value] : fake.values) {
        if (key.starts_with(prefix)) {
          range.items.push_back({key, value.version, value.data});
        }
      }
      loop.Hooks().post([callback, range] { callback(range); });
    };
    apply = [this](std::uint32_t shard, std::vector<ShardCommand> commands,
                   Millis, const LedgerCallback& callback) {
      applied.emplace_back(shard, commands.front());
      const bool is_durable = failures-- <= 0;
      loop.Hooks().post([callback, is_durable] {
        callback(is_durable ? LedgerStatus::kDurable : LedgerStatus::kUnknown,
                 std::vector<ShardReply>(is_durable ? 1 : 0));
      });
    };
  }

  // Returns the stamp's version when recovery is done.
  std::optional<std::uint64_t> Recover(const HostStamp& start_stamp,
                                       Millis limit = Millis{5000}) {
    std::optional<std::uint64_t> version;
    const HolderRecovery recovery({.host = "h",
                                   .stamp_key = "hosts/h",
                                   .ledger_prefix = "ledger/",
                                   .start_stamp = start_stamp},
                                  store, loop.Hooks(), apply,
                                  [&](std::uint64_t it) { version = it; });
    loop.RunUntil([&] { return version.has_value(); }, limit);
    return version;
  }

  void PutShard(std::uint32_t number, const HolderId& holder, Tokens tokens) {
    ShardState state;
    state.shard = number;
    state.budgets["b"].limit = 1000;
    state.budgets["b"].grants[holder].outstanding = tokens;
    fake.Put("ledger/" + std::to_string(number), EncodeShardState(state), 0);
  }

  FakeLoop loop;
  FakeStore fake{loop, 1};
  Store store;
  ApplyToShard apply;
  std::vector<std::pair<std::uint32_t, ShardCommand>> applied;
  int failures = 0;
};

}  // namespace

// Guards against tokens that stay granted to a killed process until an operator
// acts.
TEST_CASE("a new process reclaims the tokens of the previous one") {
  Fixture it;
  it.fake.Put("hosts/h", EncodeHostStamp(Stamp(7, Millis{1000})), 0);
  it.PutShard(1, kOld, 50);
  it.PutShard(2, {"other", 7}, 50);
  it.PutShard(3, kOld, 0);
  it.failures = GENERATE(0, 2);
  const auto tries = static_cast<std::size_t>(it.failures) + 1;
  REQUIRE(it.Recover(Stamp(8, Millis{1900})) == 1);
  REQUIRE(it.applied.size() == tries);
  const ReclaimCommand expected{
      kOld, Millis{900} + HostStampOptions{}.clock_tolerance};
  CHECK(it.applied.back() ==
        std::pair<std::uint32_t, ShardCommand>(1, expected));
}

// Guards against reclaiming tokens that may have been used.
TEST_CASE("nothing is reclaimed if the clocks prove nothing") {
  Fixture it;
  it.PutShard(1, kOld, 50);
  SECTION("no stamp") {
    CHECK(it.Recover(Stamp(8, Millis{1900})) == 0);
  }
  SECTION("a damaged stamp") {
    it.fake.Put("hosts/h", "1 7 x", 0);
    CHECK(it.Recover(Stamp(8, Millis{1900})));
  }
  SECTION("the wall clock was set") {
    it.fake.Put("hosts/h", EncodeHostStamp(Stamp(7, Millis{1000})), 0);
    auto start_stamp = Stamp(8, Millis{1900});
    start_stamp.wall_time += Millis{2400};
    CHECK(it.Recover(start_stamp));
  }
  CHECK(it.applied.empty());
}

// Guards against overwriting a stamp that was not read.
TEST_CASE("recovery waits until the store is reachable") {
  Fixture it;
  it.fake.Put("hosts/h", EncodeHostStamp(Stamp(7, Millis{1000})), 0);
  it.fake.is_down = true;
  CHECK_FALSE(it.Recover(Stamp(8, Millis{1900}), Millis{3000}));
}

// Guards against usage bounds that are kept low by stamps that were never
// stored, and against a host that stops stamping after an outage.
TEST_CASE("during an outage the same stamp is retried until it is written") {
  Fixture it;
  std::vector<Millis> stamped;
  StampWriter writer(
      {.key = "hosts/h"}, it.store, it.loop.Hooks(),
      {.make_stamp = [&] { return Stamp(8, it.loop.now()); },
       .may_write = [] { return true; },
       .before_write = [&](Millis now) { stamped.push_back(now); }});
  it.fake.is_down = true;
  writer.Start(0);
  it.loop.RunFor(Millis{5000});
  CHECK(stamped.size() == 1);
  it.fake.is_down = false;
  it.loop.RunFor(Millis{3000});
  CHECK(stamped.size() > 2);
  const auto stored = DecodeHostStamp(it.fake.Get("hosts/h").value);
  REQUIRE(stored);
  CHECK(stored->boot_time == stamped.back());
}

// Guards against a stamp that certifies a bound while more tokens are used than
// the ledger accounts for.
TEST_CASE("no stamp is made while use exceeds what the ledger accounts for") {
  Fixture it;
  bool may_write = false;
  StampWriter writer({.key = "hosts/h"}, it.store, it.loop.Hooks(),
                     {.make_stamp = [&] { return Stamp(8, it.loop.now()); },
                      .may_write = [&] { return may_write; },
                      .before_write = [](Millis) {}});
  writer.Start(0);
  it.loop.RunFor(Millis{2000});
  CHECK(it.fake.writes == 0);
  may_write = true;
  it.loop.RunFor(Millis{2000});
  CHECK(it.fake.writes >= 2);
}

// Guards against a stamp that stays old for seconds after a silent outage,
// because a call of the outage is still waiting: a loss of power at that moment
// charges the budgets for all that time (further-grown, trouble-1).
TEST_CASE("a stamp is renewed soon after the store was silent") {
  Fixture it;
  bool is_silent = false;
  Store store = it.store;
  store.put = [&](const auto& key, const auto& value, auto expected,
                  const auto& callback) {
    if (!is_silent) {
      it.store.put(key, value, expected, callback);
    }
  };
  Millis made_at{0};
  StampWriter writer({.key = "hosts/h"}, store, it.loop.Hooks(),
                     {.make_stamp =
                          [&] {
                            made_at = it.loop.now();
                            return Stamp(8, made_at);
                          },
                      .may_write = [] { return true; },
                      .before_write = [](Millis) {}});
  writer.Start(0);
  it.loop.RunFor(Millis{2000});
  is_silent = true;
  it.loop.RunFor(Millis{3000});
  is_silent = false;
  const Millis back_at = it.loop.now();
  it.loop.RunFor(Millis{800});
  CHECK(made_at >= back_at);
  const auto stored = DecodeHostStamp(it.fake.Get("hosts/h").value);
  REQUIRE(stored);
  CHECK(stored->boot_time >= back_at);
}

// Guards against asking hosts that are gone, and against losing the list of
// hosts during an outage, when it is needed most.
TEST_CASE("hosts are listed while their stamps are renewed") {
  Fixture it;
  HostDirectoryOptions options{.prefix = "hosts/", .own_host = "h"};
  HostDirectory directory(options, it.store, it.loop.Hooks());
  it.fake.Put("hosts/h", EncodeHostStamp(Stamp(1, Millis{1})), 0);
  it.fake.Put("hosts/p", EncodeHostStamp(Stamp(1, Millis{1})), 0);
  it.fake.Put("hosts/q", "damaged", 0);
  directory.Start();
  it.loop.RunFor(Millis{10});
  CHECK(directory.OtherHosts() == std::vector<std::string>{"p"});
  CHECK(directory.PeerAddress("p") == "10.0.0.1:7340");
  CHECK(directory.PeerAddress("q").empty());
  it.fake.is_down = true;
  it.loop.RunFor(2 * options.stale_after);
  CHECK(directory.OtherHosts() == std::vector<std::string>{"p"});
  it.fake.is_down = false;
  it.loop.RunFor(2 * options.poll_period);
  CHECK(directory.OtherHosts().empty());
}

}  // namespace crocuslatch
