#include <fmt/format.h>
#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "src/shard_codec.h"
#include "tests/fuzz/fuzz_seed.h"

namespace crocuslatch {
namespace {

// Parameters of one command. The ranges are small, so that commands affect the
// same records.
struct Step {
  int kind = 0;
  int holder = 0;
  int key = 0;
  int attempt = 0;
  int amount = 0;
  int variant = 0;
};

std::ostream& operator<<(std::ostream& out, const Step& it) {
  return out << fmt::format("{{{} {} {} {} {} {}}}", it.kind, it.holder, it.key,
                            it.attempt, it.amount, it.variant);
}

rc::Gen<Step> ArbitraryStep() {
  return rc::gen::build<Step>(
      rc::gen::set(&Step::kind, rc::gen::inRange(0, 10)),
      rc::gen::set(&Step::holder, rc::gen::inRange(0, 3)),
      rc::gen::set(&Step::key, rc::gen::inRange(0, 4)),
      rc::gen::set(&Step::attempt, rc::gen::inRange(1, 4)),
      rc::gen::set(&Step::amount, rc::gen::inRange(0, 60)),
      rc::gen::set(&Step::variant, rc::gen::inRange(0, 12)));
}

ExchangeCommand ExchangeOf(const ShardState& state,
                           const Step& step,
                           const HolderId& holder) {
  GrantRecord grant;
  if (state.budgets.contains("b") &&
      state.budgets.at("b").grants.contains(holder)) {
    grant = state.budgets.at("b").grants.at(holder);
  }
  // Mostly the next sequence number, sometimes a repeat, a gap, or an exchange
  // with `opens`.
  ExchangeCommand command{"b", holder, grant.last_sequence + 1};
  command.sequence += step.variant == 0 ? 1 : 0;
  command.sequence -= step.variant == 1 ? 1 : 0;
  command.opens = step.variant == 2 || grant.outstanding == 0;
  if (!command.opens) {
    const Tokens billed = std::min<Tokens>(step.amount, grant.outstanding);
    command.bills = {{{1, static_cast<std::uint64_t>(step.key)}, billed}};
    command.returned = (grant.outstanding - billed) / step.attempt;
  }
  command.returned += step.variant == 3 ? 1000 : 0;
  command.want = Tokens{2} * step.amount;
  command.least = step.amount;
  return command;
}

ShardCommand CommandOf(const ShardState& state, const Step& step) {
  const HolderId holder{std::to_string(step.holder), 1};
  const RequestKey key{2, static_cast<std::uint64_t>(step.key)};
  const auto attempt = static_cast<std::uint64_t>(step.attempt);
  switch (step.kind) {
    case 0:
      return SetLimitCommand{"b", Tokens{20} * step.amount};
    case 1:
      return ClaimCommand{key,     {3, step.variant == 0 ? 1ULL : 2ULL},
                          "b",     step.amount,
                          attempt, holder};
    case 2:
      return FinishCommand{key, attempt, 200, "x"};
    case 3:
      return AbandonCommand{key, attempt, "b"};
    case 4:
      return DoubtCommand{key, attempt};
    case 5:
      return FreezeCommand{holder};
    default:
      return ExchangeOf(state, step, holder);
  }
}

// Sum of the bill records and of the costs of orders that ran or may have run.
// Must equal the billed total.
Tokens RecordedBills(const ShardState& state) {
  Tokens sum = 0;
  for (const auto& it : state.bills) {
    sum += it.second.amount;
  }
  for (const auto& it : state.claims) {
    const auto claim = it.second.state;
    const bool ran =
        claim == ClaimState::kFinished || claim == ClaimState::kInDoubt;
    sum += ran ? it.second.cost : 0;
  }
  return sum;
}

}  // namespace

// Guards against commands that count twice when a write is applied again,
// against totals that differ from their records, and against fields that are
// lost in the stored form.
TEST_CASE("applying any command twice equals applying it once") {
  CHECK(rc::check("shard state", [] {
    const auto steps = *rc::gen::container<std::vector<Step>>(ArbitraryStep());
    ShardState state;
    std::int64_t now_ms = 0;
    for (const auto& it : steps) {
      const ShardCommand command = CommandOf(state, it);
      now_ms += 1;
      const ShardReply first = Apply(state, command, now_ms);
      ShardState again = state;
      const ShardReply second = Apply(again, command, now_ms + 1);
      RC_ASSERT(first == second);
      RC_ASSERT(again == state);
      RC_ASSERT(DecodeShardState(EncodeShardState(state)) == state);
      RC_ASSERT(DecodeCommands(EncodeCommands({command})).front() == command);
      for (const auto& budget : state.budgets) {
        RC_ASSERT(budget.second.billed == RecordedBills(state));
      }
    }
  }));
}

}  // namespace crocuslatch
