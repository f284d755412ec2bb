#include <catch2/catch.hpp>

#include "tests/fixture_ledger.h"

namespace crocuslatch {

// Guards against a caller that waits forever during an outage, and against a
// timed-out command that is needlessly written afterwards.
TEST_CASE("an outage ends in an unknown result") {
  LedgerFixture ledger;
  const auto writer = ledger.MakeWriter();
  ledger.store.is_down = true;
  CHECK_FALSE(ledger.Apply(writer, {SetLimitCommand{"b", 100}}));
  ledger.store.is_down = false;
  ledger.loop.RunFor(Millis(5000));
  CHECK(ledger.store.writes == 0);
  CHECK(ledger.Apply(writer, {SetLimitCommand{"b", 100}}));
}

// Guards against overwriting a value that is damaged or that another version
// wrote.
TEST_CASE("an unreadable shard is not written") {
  LedgerFixture ledger;
  ledger.store.Put(ShardKey(0), "garbage", 0);
  CHECK_FALSE(ledger.Apply(ledger.MakeWriter(), {SetLimitCommand{"b", 100}}));
  CHECK(ledger.store.Get(ShardKey(0)).value == "garbage");
}

// Guards against billing twice after the loss of a segment.
TEST_CASE("a shard with a missing segment is not written") {
  LedgerFixture ledger;
  ShardState state;
  state.segments = {"ledger/0/missing"};
  ledger.store.Put(ShardKey(0), EncodeShardState(state), 0);
  CHECK_FALSE(ledger.Apply(ledger.MakeWriter(), {SetLimitCommand{"b", 100}}));
  CHECK(ledger.Stored() == state);
}

// Guards against commands of a paused process that take effect long after their
// timeout.
TEST_CASE("a paused writer drops commands past their deadline") {
  LedgerFixture ledger;
  const auto writer = ledger.MakeWriter();
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

// Returns the reply to a second claim during a store outage, from the writer
// that stored the first claim and the commands in `following`. Returns nullopt
// if the result is unknown.
std::optional<ReplyStatus> ReplyInOutage(
    const std::vector<ShardCommand>& following,
    std::uint64_t attempt) {
  LedgerFixture ledger;
  const auto writer = ledger.MakeWriter();
  std::vector<ShardCommand> commands{SetLimitCommand{"b", 100}, ClaimBy(1)};
  commands.insert(commands.end(), following.begin(), following.end());
  REQUIRE(ledger.Apply(writer, commands));
  ledger.store.is_down = true;
  const auto replies =
      ledger.Apply(writer, {SetLimitCommand{"b", 100}, ClaimBy(attempt)});
  return replies ? std::optional(replies->back().status) : std::nullopt;
}

}  // namespace

// Guards against reporting an order as not run although the writer has its
// claim.
TEST_CASE("a durable claim is reported from the cache during an outage") {
  CHECK(ReplyInOutage({}, 2) == ReplyStatus::kExists);
  CHECK(ReplyInOutage({FinishCommand{{1, 1}, 1, 200, "x"}}, 2) ==
        ReplyStatus::kExists);
  CHECK(ReplyInOutage({DoubtCommand{{1, 1}, 1}}, 2) == ReplyStatus::kExists);
}

// Guards against a reply from a record that may be replaced, or from the claim
// of the same attempt.
TEST_CASE("a claim that the cache does not decide is unknown in an outage") {
  CHECK_FALSE(ReplyInOutage({AbandonCommand{{1, 1}, 1, "b"}}, 2));
  CHECK_FALSE(ReplyInOutage({}, 1));
}

// Guards against an outdated cached claim that hides the response forever.
TEST_CASE("a reachable store is read for the current claim") {
  LedgerFixture ledger;
  const auto writer = ledger.MakeWriter();
  REQUIRE(ledger.Apply(writer, {SetLimitCommand{"b", 100}, ClaimBy(1)}));
  REQUIRE(
      ledger.Apply(ledger.MakeWriter(), {FinishCommand{{1, 1}, 1, 200, "x"}}));
  const auto replies = ledger.Apply(writer, {ClaimBy(2)});
  REQUIRE(replies);
  CHECK(replies->front().claim.state == ClaimState::kFinished);
}

}  // namespace crocuslatch
