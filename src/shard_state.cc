#include "src/shard_state.h"

#include <algorithm>
#include <optional>

#include "src/error.h"

namespace crocuslatch {
namespace {

constexpr Tokens kMillisPerSecond = 1000;

// Time over which a usage bound grows at most. A longer time comes from a clock
// that was set.
constexpr Millis kMaxPacedTime = std::chrono::hours(24 * 365);

// Low-water mark of a budget. Above it, a grant takes at most half of what is
// left, so that one holder does not hold tokens that the others need. Below it,
// half would be less than one request with a model's default output limit.
constexpr Tokens kLowWaterTokens = 4096;

// Bounds the size of a claim record. Most entries are claims whose write had no
// known result, which are rare for callers that retry with backoff.
constexpr std::size_t kMaxAbandonedAttempts = 256;

Tokens Outstanding(const BudgetRecord& budget) {
  Tokens sum = 0;
  for (const auto& it : budget.grants) {
    sum += it.second.outstanding;
  }
  return sum;
}

void CheckInvariant(const BudgetRecord& budget) {
  CROCUSLATCH_ASSERT(budget.billed >= 0);
  CROCUSLATCH_ASSERT(budget.open_charges >= 0);
  CROCUSLATCH_ASSERT(budget.billed + Outstanding(budget) +
                         budget.open_charges <=
                     budget.limit);
}

BudgetRecord* FindBudget(ShardState& state, const std::string& name) {
  const auto it = state.budgets.find(name);
  return it == state.budgets.end() ? nullptr : &it->second;
}

ClaimRecord* FindClaim(ShardState& state, const RequestKey& key) {
  const auto it = state.claims.find(key);
  return it == state.claims.end() ? nullptr : &it->second;
}

ShardReply StatusReply(ReplyStatus status) {
  ShardReply reply;
  reply.status = status;
  return reply;
}

std::vector<HolderId> OtherHolders(const BudgetRecord& budget,
                                   const HolderId& holder) {
  std::vector<HolderId> others;
  for (const auto& [id, grant] : budget.grants) {
    if (id != holder && grant.outstanding > 0) {
      others.push_back(id);
    }
  }
  return others;
}

ShardReply BalanceReply(ReplyStatus status,
                        const BudgetRecord& budget,
                        const HolderId& holder) {
  ShardReply reply;
  reply.status = status;
  reply.available = Available(budget);
  reply.other_holders = OtherHolders(budget, holder);
  reply.limit = budget.limit;
  reply.billed = budget.billed;
  const auto own = budget.grants.find(holder);
  reply.held = own == budget.grants.end() ? 0 : own->second.outstanding;
  reply.others_outstanding = Outstanding(budget) - reply.held;
  return reply;
}

Tokens GrantSize(const ExchangeCommand& command, Tokens available) {
  const Tokens half = available > kLowWaterTokens ? available / 2 : available;
  const Tokens granted =
      std::min({command.want, available, std::max(half, command.least)});
  return granted < command.least ? 0 : granted;
}

// True if the exchange settles and returns no more than the holder has and
// contains no negative amount.
bool IsWithinGrant(Tokens outstanding, const ExchangeCommand& command) {
  Tokens left = outstanding;
  for (const auto& it : command.bills) {
    if (it.amount < 0 || it.amount > left) {
      return false;
    }
    left -= it.amount;
  }
  if (command.settled < 0 || command.settled > left) {
    return false;
  }
  left -= command.settled;
  return command.want >= 0 && command.least >= 0 && command.armed >= 0 &&
         command.pace >= 0 && command.returned >= 0 && command.returned <= left;
}

void SettleBills(ShardState& state,
                 BudgetRecord& budget,
                 GrantRecord& grant,
                 const std::vector<Bill>& bills,
                 std::int64_t now_ms) {
  for (const auto& it : bills) {
    grant.outstanding -= it.amount;
    // If the key is already billed, the request ran twice because of a retry.
    // Only the first bill counts, and this amount returns to the budget.
    if (state.bills.emplace(it.key, BillRecord{it.amount, now_ms}).second) {
      budget.billed += it.amount;
    }
  }
}

// True if the exchange follows the last one of its holder. A holder without
// tokens may skip sequence numbers: its record may have been dropped, and then
// created again by a delayed copy of an older exchange.
bool IsNextSequence(const GrantRecord& grant, const ExchangeCommand& command) {
  return command.sequence == grant.last_sequence + 1 ||
         (command.opens && command.sequence > grant.last_sequence);
}

ShardReply ApplyCommand(ShardState& state,
                        const ExchangeCommand& command,
                        std::int64_t now_ms) {
  BudgetRecord* budget = FindBudget(state, command.budget);
  if (!budget) {
    return StatusReply(ReplyStatus::kUnknownBudget);
  }
  const auto found = budget->grants.find(command.holder);
  GrantRecord previous =
      found == budget->grants.end() ? GrantRecord{} : found->second;
  if (command.sequence != 0 && command.sequence == previous.last_sequence) {
    ShardReply reply = BalanceReply(ReplyStatus::kOk, *budget, command.holder);
    reply.granted = previous.last_granted;
    return reply;
  }
  if (!IsNextSequence(previous, command)) {
    return BalanceReply(ReplyStatus::kBadSequence, *budget, command.holder);
  }
  if (command.opens) {
    previous.outstanding = 0;
  }
  if (!IsWithinGrant(previous.outstanding, command)) {
    return BalanceReply(ReplyStatus::kNotHeld, *budget, command.holder);
  }
  GrantRecord& grant = budget->grants[command.holder];
  grant.outstanding = previous.outstanding;
  SettleBills(state, *budget, grant, command.bills, now_ms);
  grant.outstanding -= command.settled + command.returned;
  budget->billed += command.settled;
  const Tokens granted = GrantSize(command, Available(*budget));
  grant.outstanding += granted;
  grant.last_sequence = command.sequence;
  grant.last_granted = granted;
  grant.armed = command.armed;
  grant.pace = command.pace;
  grant.frozen = false;
  grant.changed_ms = now_ms;
  CheckInvariant(*budget);
  ShardReply reply = BalanceReply(ReplyStatus::kOk, *budget, command.holder);
  reply.granted = granted;
  return reply;
}

ShardReply ApplyCommand(ShardState& state,
                        const SetLimitCommand& command,
                        std::int64_t /*now_ms*/) {
  BudgetRecord& budget = state.budgets[command.budget];
  budget.limit = std::max(budget.limit, command.limit);
  CheckInvariant(budget);
  ShardReply reply;
  reply.available = Available(budget);
  return reply;
}

bool IsAbandoned(const ClaimRecord& record, std::uint64_t attempt) {
  return std::ranges::find(record.abandoned_attempts, attempt) !=
         record.abandoned_attempts.end();
}

void AddAbandonedAttempt(ClaimRecord& record, std::uint64_t attempt) {
  auto& attempts = record.abandoned_attempts;
  attempts.push_back(attempt);
  if (attempts.size() > kMaxAbandonedAttempts) {
    attempts.erase(attempts.begin());
  }
}

// Reply to a claim that the existing record decides; nullopt if the attempt may
// take the record.
std::optional<ShardReply> DecideByRecord(ClaimRecord& record,
                                         const ClaimCommand& command) {
  // A record that an AbandonCommand created before any claim has no digest.
  const bool has_digest = record.digest != RequestKey{};
  if (has_digest && record.digest != command.digest) {
    return StatusReply(ReplyStatus::kKeyReused);
  }
  const bool is_abandoned = IsAbandoned(record, command.attempt);
  if (record.state == ClaimState::kAbandoned) {
    return is_abandoned ? std::optional(StatusReply(ReplyStatus::kNotHeld))
                        : std::nullopt;
  }
  if (record.state == ClaimState::kClaimed &&
      record.attempt == command.attempt) {
    return StatusReply(ReplyStatus::kOk);
  }
  // The refused attempt dispatches nothing. If the current attempt is abandoned
  // later, a delayed copy of this claim must not take the record.
  if (record.state == ClaimState::kClaimed && !is_abandoned) {
    AddAbandonedAttempt(record, command.attempt);
  }
  ShardReply reply = StatusReply(ReplyStatus::kExists);
  reply.claim = record;
  return reply;
}

ShardReply ApplyCommand(ShardState& state,
                        const ClaimCommand& command,
                        std::int64_t now_ms) {
  ClaimRecord* existing = FindClaim(state, command.key);
  if (existing) {
    if (const auto decided = DecideByRecord(*existing, command)) {
      return *decided;
    }
  }
  BudgetRecord* budget = FindBudget(state, command.budget);
  if (!budget) {
    return StatusReply(ReplyStatus::kUnknownBudget);
  }
  if (command.cost < 0 || command.cost > Available(*budget)) {
    return BalanceReply(ReplyStatus::kInsufficient, *budget, command.holder);
  }
  ClaimRecord& record = state.claims[command.key];
  record.digest = command.digest;
  record.budget = command.budget;
  record.cost = command.cost;
  record.attempt = command.attempt;
  record.holder = command.holder;
  record.state = ClaimState::kClaimed;
  record.changed_ms = now_ms;
  budget->open_charges += command.cost;
  CheckInvariant(*budget);
  return StatusReply(ReplyStatus::kOk);
}

BudgetRecord& BudgetOfClaim(ShardState& state, const ClaimRecord& record) {
  BudgetRecord* budget = FindBudget(state, record.budget);
  CROCUSLATCH_ASSERT(budget != nullptr);
  return *budget;
}

// Turns the open charge of a claim into a bill.
void BillClaim(ShardState& state, const ClaimRecord& record) {
  BudgetRecord& budget = BudgetOfClaim(state, record);
  budget.open_charges -= record.cost;
  budget.billed += record.cost;
  CheckInvariant(budget);
}

ShardReply ApplyCommand(ShardState& state,
                        const FinishCommand& command,
                        std::int64_t now_ms) {
  ClaimRecord* record = FindClaim(state, command.key);
  if (!record || record->attempt != command.attempt ||
      record->state == ClaimState::kAbandoned) {
    return StatusReply(ReplyStatus::kNotHeld);
  }
  if (record->state == ClaimState::kFinished) {
    return StatusReply(ReplyStatus::kOk);
  }
  // A claim in doubt is already billed. A response that arrives late is still
  // recorded.
  if (record->state == ClaimState::kClaimed) {
    BillClaim(state, *record);
  }
  record->state = ClaimState::kFinished;
  record->http_status = command.http_status;
  record->body = command.body;
  record->changed_ms = now_ms;
  return StatusReply(ReplyStatus::kOk);
}

ShardReply ApplyCommand(ShardState& state,
                        const AbandonCommand& command,
                        std::int64_t now_ms) {
  const auto [it, is_new] = state.claims.try_emplace(command.key);
  ClaimRecord& record = it->second;
  if (is_new) {
    record.budget = command.budget;
    record.attempt = command.attempt;
    record.state = ClaimState::kAbandoned;
  }
  if (IsAbandoned(record, command.attempt)) {
    return StatusReply(ReplyStatus::kOk);
  }
  const bool is_current_attempt = !is_new && record.attempt == command.attempt;
  if (is_current_attempt && record.state != ClaimState::kClaimed) {
    return StatusReply(ReplyStatus::kNotHeld);
  }
  if (is_current_attempt) {
    BudgetRecord& budget = BudgetOfClaim(state, record);
    budget.open_charges -= record.cost;
    CheckInvariant(budget);
    record.state = ClaimState::kAbandoned;
  }
  AddAbandonedAttempt(record, command.attempt);
  record.changed_ms = now_ms;
  return StatusReply(ReplyStatus::kOk);
}

ShardReply ApplyCommand(ShardState& state,
                        const DoubtCommand& command,
                        std::int64_t now_ms) {
  ClaimRecord* record = FindClaim(state, command.key);
  if (!record || record->attempt != command.attempt ||
      record->state == ClaimState::kAbandoned) {
    return StatusReply(ReplyStatus::kNotHeld);
  }
  if (record->state == ClaimState::kClaimed) {
    BillClaim(state, *record);
    record->state = ClaimState::kInDoubt;
    record->changed_ms = now_ms;
  }
  return StatusReply(ReplyStatus::kOk);
}

ShardReply ApplyCommand(ShardState& state,
                        const FreezeCommand& command,
                        std::int64_t /*now_ms*/) {
  for (auto& [name, budget] : state.budgets) {
    const auto it = budget.grants.find(command.holder);
    if (it != budget.grants.end()) {
      it->second.frozen = true;
    }
  }
  return StatusReply(ReplyStatus::kOk);
}

// Tokens that the holder may have used count as used. The record stays, so that
// a delayed copy of the holder's exchange fails: its sequence number is taken
// or it settles more than the holder has.
ShardReply ApplyCommand(ShardState& state,
                        const ReclaimCommand& command,
                        std::int64_t now_ms) {
  ShardReply reply;
  for (auto& [name, budget] : state.budgets) {
    const auto it = budget.grants.find(command.holder);
    if (it == budget.grants.end()) {
      continue;
    }
    GrantRecord& grant = it->second;
    const Tokens used = std::min(
        UsageBound(grant.armed, grant.pace, command.lived), grant.outstanding);
    reply.granted += grant.outstanding - used;
    budget.billed += used;
    grant.outstanding = 0;
    grant.armed = 0;
    grant.pace = 0;
    grant.frozen = true;
    grant.changed_ms = now_ms;
    CheckInvariant(budget);
  }
  return reply;
}

}  // namespace

Tokens UsageBound(Tokens armed, Tokens pace, Millis since_stamp) {
  const Millis slow_time = std::clamp(since_stamp - kStampGrace, Millis{0},
                                      kDisconnectTime - kStampGrace);
  const Millis fast_time = std::max(since_stamp - kDisconnectTime, Millis{0});
  const Millis paced_time =
      slow_time + std::min(fast_time, kMaxPacedTime) * kDisconnectedPaceFactor;
  return AddTokens(armed,
                   ScaleTokens(pace, paced_time.count(), kMillisPerSecond));
}

Millis TimeUntilUsageBound(Tokens armed, Tokens pace, Tokens amount) {
  if (amount <= armed) {
    return Millis{0};
  }
  // Rounded up.
  const Millis growth{ScaleTokens(amount - armed, kMillisPerSecond, pace) + 1};
  constexpr Millis kSlowGrowth = kDisconnectTime - kStampGrace;
  return growth <= kSlowGrowth
             ? kStampGrace + growth
             : kDisconnectTime +
                   (growth - kSlowGrowth) / kDisconnectedPaceFactor + Millis{1};
}

bool MustAbandonClaim(const ShardReply& reply, std::uint64_t attempt) {
  return reply.status == ReplyStatus::kExists &&
         reply.claim.state == ClaimState::kClaimed &&
         !IsAbandoned(reply.claim, attempt);
}

Tokens Available(const BudgetRecord& budget) {
  const Tokens available =
      budget.limit - budget.billed - budget.open_charges - Outstanding(budget);
  CROCUSLATCH_ASSERT(available >= 0);
  return available;
}

ShardReply Apply(ShardState& state,
                 const ShardCommand& command,
                 std::int64_t now_ms) {
  return std::visit(
      [&](const auto& it) { return ApplyCommand(state, it, now_ms); }, command);
}

std::string_view BudgetOf(const ShardCommand& command) {
  return std::visit(
      [](const auto& it) -> std::string_view {
        if constexpr (requires { it.budget; }) {
          return it.budget;
        } else {
          return {};
        }
      },
      command);
}

}  // namespace crocuslatch
