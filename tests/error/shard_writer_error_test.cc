#include <catch2/catch.hpp>

#include "tests/fixture_ledger.h"

namespace crocuslatch {

// Guards against a caller that waits for ever during an outage, and against
// a timed-out command that is written afterwards without need.
TEST_CASE("an outage ends in an unknown result") {
  LedgerFixture ledger;
  const auto writer = ledger.Writer();
  ledger.store.is_down = true;
  CHECK_FALSE(ledger.Apply(writer, {SetLimitCommand{"b", 100}}));
  ledger.store.is_down = false;
  ledger.loop.RunFor(Millis(5000));
  CHECK(ledger.store.writes == 0);
  CHECK(ledger.Apply(writer, {SetLimitCommand{"b", 100}}));
}

// Guards against writing over a value that another version wrote or that is
// damaged.
TEST_CASE("an unreadable shard is not written") {
  LedgerFixture ledger;
  ledger.store.Put(ShardKey(0), "garbage", 0);
  CHECK_FALSE(ledger.Apply(ledger.Writer(), {SetLimitCommand{"b", 100}}));
  CHECK(ledger.store.Get(ShardKey(0)).value == "garbage");
}

// Guards against billing twice after a segment was lost.
TEST_CASE("a shard with a missing segment is not written") {
  LedgerFixture ledger;
  ShardState state;
  state.segments = {"ledger/0/missing"};
  ledger.store.Put(ShardKey(0), EncodeShardState(state), 0);
  CHECK_FALSE(ledger.Apply(ledger.Writer(), {SetLimitCommand{"b", 100}}));
  CHECK(ledger.Stored() == state);
}

// Guards against commands of a paused process that take effect long after
// their caller gave up.
TEST_CASE("a paused writer drops overdue commands") {
  LedgerFixture ledger;
  const auto writer = ledger.Writer();
  ledger.store.is_down = true;
  LedgerStatus result = LedgerStatus::kDurable;
  writer(0, {SetLimitCommand{"b", 1}}, Millis(1000),
         [&](LedgerStatus status, const auto&) { result = status; });
  ledger.loop.RunFor(Millis(100));
  ledger.loop.Pause(Millis(60000));
  ledger.store.is_down = false;
  ledger.loop.RunFor(Millis(5000));
  CHECK(result == LedgerStatus::kUnknown);
  CHECK(ledger.store.writes == 0);
}

namespace {

ClaimCommand ClaimBy(std::uint64_t attempt) {
  return {{1, 1}, {2, 2}, "b", 10, attempt, {"a", 1}};
}

// What the writer that stored the first claim and what followed it replies to
// a second claim after the store went down.
std::optional<ReplyStatus> ReplyInOutage(const std::vector<ShardCommand>& end,
                                         std::uint64_t attempt) {
  LedgerFixture ledger;
  const auto writer = ledger.Writer();
  std::vector<ShardCommand> commands{SetLimitCommand{"b", 100}, ClaimBy(1)};
  commands.insert(commands.end(), end.begin(), end.end());
  REQUIRE(ledger.Apply(writer, commands));
  ledger.store.is_down = true;
  const auto replies =
      ledger.Apply(writer, {SetLimitCommand{"b", 100}, ClaimBy(attempt)});
  return replies ? std::optional(replies->back().status) : std::nullopt;
}

}  // namespace

// Guards against "not run" about an order whose claim the writer knows.
TEST_CASE("a durable claim is known during an outage") {
  CHECK(ReplyInOutage({}, 2) == ReplyStatus::kExists);
  CHECK(ReplyInOutage({FinishCommand{{1, 1}, 1, 200, "x"}}, 2) ==
        ReplyStatus::kExists);
  CHECK(ReplyInOutage({DoubtCommand{{1, 1}, 1}}, 2) == ReplyStatus::kExists);
}

// Guards against an answer by a record that may be replaced, or by the
// claim of the attempt that asks.
TEST_CASE("an outage hides what the cached claim does not decide") {
  CHECK_FALSE(ReplyInOutage({AbandonCommand{{1, 1}, 1, "b"}}, 2));
  CHECK_FALSE(ReplyInOutage({}, 1));
}

// Guards against an old cached claim that hides the answer for ever.
TEST_CASE("a store that works is asked for the present claim") {
  LedgerFixture ledger;
  const auto writer = ledger.Writer();
  REQUIRE(ledger.Apply(writer, {SetLimitCommand{"b", 100}, ClaimBy(1)}));
  REQUIRE(ledger.Apply(ledger.Writer(), {FinishCommand{{1, 1}, 1, 200, "x"}}));
  const auto replies = ledger.Apply(writer, {ClaimBy(2)});
  REQUIRE(replies);
  CHECK(replies->front().claim.state == ClaimState::kFinished);
}

}  // namespace crocuslatch
