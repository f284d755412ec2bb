#include "src/shard_writer.h"

#include <catch2/catch.hpp>

#include "tests/fixture_ledger.h"

namespace crocuslatch {
namespace {

const HolderId kHolder{"a", 1};

ExchangeCommand MakeExchange(std::uint64_t sequence,
                             const std::string& budget) {
  ExchangeCommand command;
  command.budget = budget;
  command.holder = kHolder;
  command.sequence = sequence;
  return command;
}

ClaimCommand MakeClaim(std::uint64_t key, std::uint64_t attempt) {
  return {{1, key}, {2, key}, "b", 1, attempt, kHolder};
}

}  // namespace

// Guards against a separate store write for every budget.
TEST_CASE("exchanges that only settle share one write") {
  LedgerFixture ledger;
  const auto writer = ledger.MakeWriter();
  std::vector<ShardCommand> setup;
  for (int i = 0; i < 20; ++i) {
    auto grant = MakeExchange(1, std::to_string(i));
    grant.want = 10;
    setup.insert(setup.end(), {SetLimitCommand{grant.budget, 100}, grant});
  }
  REQUIRE(ledger.Apply(writer, setup));
  const int before = ledger.store.writes;
  int done = 0;
  for (int i = 0; i < 20; ++i) {
    auto settle = MakeExchange(2, std::to_string(i));
    settle.bills = {{{1, static_cast<std::uint64_t>(i)}, 5}};
    writer(0, {settle}, Millis(1000), [&](LedgerStatus status, const auto&) {
      done += status == LedgerStatus::kDurable ? 1 : 0;
    });
    ledger.loop.RunFor(Millis(7));
  }
  ledger.loop.RunFor(Millis(300));
  CHECK(done == 20);
  CHECK(ledger.store.writes == before + 1);
}

// Guards against a claim that waits for the batch delay.
TEST_CASE("a claim is written at once") {
  LedgerFixture ledger;
  const auto writer = ledger.MakeWriter();
  REQUIRE(ledger.Apply(writer, {SetLimitCommand{"b", 100}}));
  const Millis before = ledger.loop.now();
  REQUIRE(ledger.Apply(writer, {MakeClaim(1, 1)}));
  CHECK(ledger.loop.now() - before < Millis(10));
}

// Guards against treating a write with a lost answer as failed, and a failed
// write as done.
TEST_CASE("a write with a lost answer is read back") {
  LedgerFixture ledger;
  const auto writer = ledger.MakeWriter();
  REQUIRE(ledger.Apply(writer, {SetLimitCommand{"b", 100}}));
  ledger.store.faults.lost_answer = 1;
  bool done = false;
  writer(0, {MakeClaim(1, 1)}, Millis(1000),
         [&](LedgerStatus status, const auto& replies) {
           done = status == LedgerStatus::kDurable &&
                  replies[0].status == ReplyStatus::kOk;
         });
  ledger.loop.RunFor(Millis(10));
  ledger.store.faults.lost_answer = 0;
  const int before = ledger.store.writes;
  ledger.loop.RunFor(Millis(900));
  CHECK(done);
  CHECK(ledger.store.writes == before);
}

// Guards against replies from an outdated cached state.
TEST_CASE("a refusal is confirmed against the stored state") {
  LedgerFixture ledger;
  const auto first = ledger.MakeWriter();
  const auto second = ledger.MakeWriter();
  REQUIRE(ledger.Apply(first, {SetLimitCommand{"b", 0}}));
  CHECK(ledger.Apply(first, {MakeClaim(1, 1)}).value().front().status ==
        ReplyStatus::kInsufficient);
  REQUIRE(ledger.Apply(second, {SetLimitCommand{"b", 5}}));
  CHECK(ledger.Apply(first, {MakeClaim(1, 2)}).value().front().status ==
        ReplyStatus::kOk);
}

// Guards against a value that grows beyond the store's size limit, and against
// a second execution of an order whose record moved to a segment.
TEST_CASE("entries that moved to segments are still found") {
  LedgerFixture ledger;
  const auto writer = ledger.MakeWriter();
  REQUIRE(ledger.Apply(writer, {SetLimitCommand{"b", 100000}}));
  const std::string body(20000, 'x');
  for (std::uint64_t i = 0; i < 600; ++i) {
    REQUIRE(ledger.Apply(
        writer, {MakeClaim(i, 1), FinishCommand{{1, i}, 1, 200, body}}));
    REQUIRE(ledger.store.Get(ShardKey(0)).value.size() < 400000);
  }
  for (const auto& it : ledger.store.values) {
    CHECK(it.second.data.size() < 400000);
  }
  CHECK(ledger.Stored().segments.size() > 10);
  for (const auto& it : {writer, ledger.MakeWriter()}) {
    const auto replies = ledger.Apply(it, {MakeClaim(3, 2)});
    REQUIRE(replies);
    CHECK(replies->front().status == ReplyStatus::kExists);
    CHECK(replies->front().claim.body == body);
  }
}

// Guards against entries and segments that are kept forever.
TEST_CASE("entries past retention are dropped") {
  LedgerFixture ledger;
  const auto writer = ledger.MakeWriter();
  REQUIRE(ledger.Apply(writer, {SetLimitCommand{"b", 100000}}));
  for (std::uint64_t i = 0; i < 520; ++i) {
    REQUIRE(ledger.Apply(writer, {AbandonCommand{{1, i}, 1, "b"}}));
  }
  REQUIRE(ledger.Stored().segments.size() == 1);
  ledger.loop.RunFor(std::chrono::hours(25));
  REQUIRE(ledger.Apply(writer, {MakeClaim(1000, 1)}));
  ledger.loop.RunFor(Millis(100));
  CHECK(ledger.Stored().segments.empty());
  CHECK(ledger.Stored().claims.size() == 1);
  CHECK(ledger.store.values.size() == 1);
}

// Guards against binding a key to another budget while claims of the first
// budget are kept. 520 claims move the binding to a segment.
TEST_CASE("the binding of a key outlives the claims of its retries") {
  LedgerFixture ledger;
  const auto writer = ledger.MakeWriter();
  const std::string budget(kOrderKeyBudget);
  const auto bind = [&](std::uint64_t digest) {
    return std::vector<ShardCommand>{
        SetLimitCommand{budget, 0},
        ClaimCommand{{5, 5}, {1, digest}, budget, 0, 1, {"a", 1}},
        FinishCommand{{5, 5}, 1, 0, ""}};
  };
  const auto has_segment = GENERATE(false, true);
  REQUIRE(ledger.Apply(writer, bind(1)));
  for (std::uint64_t i = 0; has_segment && i < 520; ++i) {
    REQUIRE(ledger.Apply(writer, {AbandonCommand{{1, i}, 1, "b"}}));
  }
  ledger.loop.RunFor(std::chrono::hours(47));
  REQUIRE(ledger.Apply(writer, {SetLimitCommand{"b", 1}}));
  CHECK(ledger.Apply(ledger.MakeWriter(), bind(2))->at(1).status ==
        ReplyStatus::kKeyReused);
  ledger.loop.RunFor(std::chrono::hours(2));
  REQUIRE(ledger.Apply(writer, {SetLimitCommand{"b", 2}}));
  CHECK(ledger.Apply(ledger.MakeWriter(), bind(2))->at(1).status ==
        ReplyStatus::kOk);
}

// Guards against status reports that change or miss the stored state.
TEST_CASE("a shard can be read without a writer") {
  LedgerFixture ledger;
  REQUIRE(ledger.Apply(ledger.MakeWriter(), {SetLimitCommand{"b", 7}}));
  Tokens limit = 0;
  ReadShard(ledger.store.Hooks(), 0, [&](StoreStatus, const ShardState& state) {
    limit = state.budgets.at("b").limit;
  });
  ledger.loop.RunFor(Millis(10));
  CHECK(limit == 7);
}

}  // namespace crocuslatch
