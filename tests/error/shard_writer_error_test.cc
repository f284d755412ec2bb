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

}  // namespace crocuslatch
