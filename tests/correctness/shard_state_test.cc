#include "src/shard_state.h"

#include <catch2/catch.hpp>

namespace crocuslatch {
namespace {

const HolderId kFirst{"a", 1};
const HolderId kSecond{"b", 1};

ShardState StateWithLimit(Tokens limit) {
  ShardState state;
  Apply(state, SetLimitCommand{"b", limit}, 1);
  return state;
}

ExchangeCommand AskFor(const HolderId& holder, Tokens want, Tokens least = 0) {
  return {.budget = "b",
          .holder = holder,
          .sequence = 1,
          .want = want,
          .least = least};
}

ClaimCommand ClaimBy(std::uint64_t attempt, Tokens cost = 10) {
  return {{1, 1}, {2, 2}, "b", cost, attempt, kFirst};
}

}  // namespace

// Guards against a repeat that grants or settles twice.
TEST_CASE("a repeated exchange gets the same grant and changes nothing") {
  ShardState state = StateWithLimit(1000);
  const auto first = Apply(state, AskFor(kFirst, 100), 1);
  const ShardState before = state;
  CHECK(Apply(state, AskFor(kFirst, 100), 2) == first);
  CHECK(state == before);
  CHECK(first.granted == 100);
}

// Guards against a delayed exchange that settles tokens a second time.
TEST_CASE("an exchange out of sequence is refused") {
  ShardState state = StateWithLimit(1000);
  Apply(state, AskFor(kFirst, 100), 1);
  auto later = AskFor(kFirst, 100);
  later.sequence = 3;
  CHECK(Apply(state, later, 1).status == ReplyStatus::kBadSequence);
}

// Guards against a holder whose exchanges all fail after its record was
// dropped.
TEST_CASE("a holder without tokens may start at any sequence number") {
  ShardState state = StateWithLimit(1000);
  auto opens = AskFor(kFirst, 100);
  opens.sequence = 7;
  CHECK(Apply(state, opens, 1).status == ReplyStatus::kBadSequence);
  opens.opens = true;
  CHECK(Apply(state, opens, 1).granted == 100);
  CHECK(Apply(state, opens, 1).granted == 100);
  CHECK(Available(state.budgets.at("b")) == 900);
}

// Guards against billing a request twice that a retry ran twice.
TEST_CASE("a bill with a recorded key returns its amount to the budget") {
  ShardState state = StateWithLimit(1000);
  Apply(state, AskFor(kFirst, 100), 1);
  Apply(state, AskFor(kSecond, 100), 1);
  for (const auto& it : {kFirst, kSecond}) {
    auto settle = AskFor(it, 0);
    settle.sequence = 2;
    settle.bills = {{{9, 9}, 60}};
    settle.returned = 40;
    CHECK(Apply(state, settle, 1).status == ReplyStatus::kOk);
  }
  CHECK(state.budgets.at("b").billed == 60);
  CHECK(Available(state.budgets.at("b")) == 940);
}

// Guards against settling tokens that were never granted.
TEST_CASE("settling more than the grant is refused") {
  ShardState state = StateWithLimit(1000);
  Apply(state, AskFor(kFirst, 100), 1);
  auto settle = AskFor(kFirst, 0);
  settle.sequence = 2;
  settle.bills = {{{9, 9}, 60}};
  settle.returned = 41;
  CHECK(Apply(state, settle, 1).status == ReplyStatus::kNotHeld);
}

// Guards against one holder that takes all of a large budget, and against a
// refusal while the budget covers the request.
TEST_CASE("a grant is at most half of what is left unless more is needed") {
  ShardState state = StateWithLimit(100000);
  CHECK(Apply(state, AskFor(kFirst, 90000), 1).granted == 50000);
  CHECK(Apply(state, AskFor(kSecond, 50000, 40000), 1).granted == 40000);
  const auto reply = Apply(state, AskFor({"c", 1}, 20000, 20000), 1);
  CHECK(reply.granted == 0);
  CHECK(reply.available == 10000);
  CHECK(reply.other_holders == std::vector{kFirst, kSecond});
}

// Guards against an older document that lowers a limit.
TEST_CASE("a limit is never lowered") {
  ShardState state = StateWithLimit(1000);
  Apply(state, SetLimitCommand{"b", 500}, 1);
  CHECK(state.budgets.at("b").limit == 1000);
}

// Guards against a second execution of an order.
TEST_CASE("a claimed key is not claimed by another attempt") {
  ShardState state = StateWithLimit(1000);
  CHECK(Apply(state, ClaimBy(1), 1).status == ReplyStatus::kOk);
  CHECK(Apply(state, ClaimBy(1), 2).status == ReplyStatus::kOk);
  const auto reply = Apply(state, ClaimBy(2), 1);
  CHECK(reply.status == ReplyStatus::kExists);
  CHECK(reply.claim.attempt == 1);
  CHECK(Available(state.budgets.at("b")) == 990);
}

// Guards against answering a request with the response of another request.
TEST_CASE("a key is refused with another body") {
  ShardState state = StateWithLimit(1000);
  Apply(state, ClaimBy(1), 1);
  auto other = ClaimBy(2);
  other.digest = {3, 3};
  CHECK(Apply(state, other, 1).status == ReplyStatus::kKeyReused);
}

// Guards against a delayed claim that charges an order which nobody dispatches.
TEST_CASE("an abandoned attempt never holds its claim again") {
  ShardState state = StateWithLimit(1000);
  const AbandonCommand abandon{{1, 1}, 1, "b"};
  CHECK(Apply(state, abandon, 1).status == ReplyStatus::kOk);
  CHECK(Apply(state, ClaimBy(1), 1).status == ReplyStatus::kNotHeld);
  CHECK(Apply(state, ClaimBy(2), 1).status == ReplyStatus::kOk);
  CHECK(Apply(state, AbandonCommand{{1, 1}, 2, "b"}, 1).status ==
        ReplyStatus::kOk);
  CHECK(Apply(state, ClaimBy(1), 1).status == ReplyStatus::kNotHeld);
  CHECK(Available(state.budgets.at("b")) == 1000);
}

// Guards against losing the charge or the response of an order.
TEST_CASE("finish and doubt bill the claim once") {
  ShardState state = StateWithLimit(1000);
  Apply(state, ClaimBy(1), 1);
  const FinishCommand finish{{1, 1}, 1, 200, "done"};
  CHECK(Apply(state, DoubtCommand{{1, 1}, 1}, 1).status == ReplyStatus::kOk);
  CHECK(Apply(state, finish, 1).status == ReplyStatus::kOk);
  CHECK(Apply(state, finish, 1).status == ReplyStatus::kOk);
  CHECK(Apply(state, AbandonCommand{{1, 1}, 1, "b"}, 1).status ==
        ReplyStatus::kNotHeld);
  CHECK(state.budgets.at("b").billed == 10);
  CHECK(state.budgets.at("b").open_charges == 0);
  CHECK(Apply(state, ClaimBy(2), 1).claim.body == "done");
}

// Guards against a freeze that changes the budget's totals.
TEST_CASE("a frozen holder may settle after it returns") {
  ShardState state = StateWithLimit(1000);
  Apply(state, AskFor(kFirst, 100), 1);
  Apply(state, FreezeCommand{kFirst}, 1);
  CHECK(state.budgets.at("b").grants.at(kFirst).frozen);
  CHECK(Available(state.budgets.at("b")) == 900);
  auto settle = AskFor(kFirst, 0);
  settle.sequence = 2;
  settle.returned = 100;
  Apply(state, settle, 1);
  CHECK_FALSE(state.budgets.at("b").grants.at(kFirst).frozen);
  CHECK(Available(state.budgets.at("b")) == 1000);
}

// Guards against a usage bound that overflows to a small or negative one: a
// reclaim would then free tokens that the dead holder has used.
TEST_CASE("a usage bound of any size does not overflow") {
  const Tokens huge = Tokens{1} << 53;
  const Millis lived = GENERATE(Millis{5000}, Millis{Tokens{1} << 53});
  CHECK(UsageBound(huge, huge, lived) >= huge);
  CHECK(UsageBound(0, huge, lived) >= 1000);
  CHECK(TimeUntilUsageBound(0, 1, huge) >= Millis{1'000'000});
}

// Guards against a grant of a negative amount, which adds to the budget.
TEST_CASE("an exchange with a negative amount is rejected") {
  ShardState state;
  Apply(state, SetLimitCommand{"b", 1000}, 0);
  ExchangeCommand command{.budget = "b", .holder = {"h", 1}, .sequence = 1};
  command.opens = true;
  command.want = -500;
  command.least = -500;
  CHECK(Apply(state, command, 0).status == ReplyStatus::kNotHeld);
  CHECK(Available(state.budgets.at("b")) == 1000);
}

}  // namespace crocuslatch
