#ifndef SRC_SHARD_STATE_H_
#define SRC_SHARD_STATE_H_

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "src/types.h"

// Defines one shard of the ledger as a deterministic state machine: its state,
// the commands that change it and their replies. It reads no clock and does no
// I/O.

namespace crocuslatch {

// One charge of a finished model request.
struct Bill {
  RequestKey key;
  Tokens amount = 0;
  auto operator<=>(const Bill&) const = default;
};

// Settles bills, returns unused tokens and asks for more, for one holder and
// one budget. Repeating the last sequence number changes nothing.
struct ExchangeCommand {
  std::string budget;
  HolderId holder;
  // Starts at 1 and increases by 1 with each exchange.
  std::uint64_t sequence = 0;
  // The holder has no tokens of the budget. The exchange then settles and
  // returns nothing, and may skip sequence numbers, since the holder's record
  // may have been dropped after its last exchange.
  bool opens = false;
  std::vector<Bill> bills;
  Tokens returned = 0;
  // Tokens asked for. If fewer than `least` are available, 0 are granted.
  Tokens want = 0;
  Tokens least = 0;
  // Sum of bills without keys, for requests that reach only one holder.
  Tokens settled = 0;
  // Bound on the holder's usage beyond what is settled; see UsageBound.
  Tokens armed = 0;
  Tokens pace = 0;
  bool operator==(const ExchangeCommand&) const = default;
};

// Raises the limit of a budget, and creates the budget if it is new. Never
// lowers a limit.
struct SetLimitCommand {
  std::string budget;
  Tokens limit = 0;
  bool operator==(const SetLimitCommand&) const = default;
};

// Budget without tokens. Its claims bind the idempotency keys of orders to the
// budgets that the orders are charged to. The operators' document rejects this
// name.
inline constexpr std::string_view kOrderKeyBudget = "_order-keys";

// Claims the only execution of a non-idempotent request and charges its cost.
struct ClaimCommand {
  RequestKey key;
  // Hash of the request's body. A key may not be reused with another body.
  RequestKey digest;
  std::string budget;
  Tokens cost = 0;
  // Random number of this attempt.
  std::uint64_t attempt = 0;
  HolderId holder;
  bool operator==(const ClaimCommand&) const = default;
};

// Records the response of the claimed execution.
struct FinishCommand {
  RequestKey key;
  std::uint64_t attempt = 0;
  int http_status = 0;
  std::string body;
  bool operator==(const FinishCommand&) const = default;
};

// Ends an attempt that dispatched nothing and returns its charge. If it takes
// effect before the attempt's claim, that claim fails.
struct AbandonCommand {
  RequestKey key;
  std::uint64_t attempt = 0;
  std::string budget;
  bool operator==(const AbandonCommand&) const = default;
};

// Marks the outcome of the attempt as unknown for good. Its cost is billed.
struct DoubtCommand {
  RequestKey key;
  std::uint64_t attempt = 0;
  bool operator==(const DoubtCommand&) const = default;
};

// Marks the grants of a holder that is gone as frozen.
struct FreezeCommand {
  HolderId holder;
  bool operator==(const FreezeCommand&) const = default;
};

// Takes back the tokens of every budget of the shard that a dead holder cannot
// have used.
struct ReclaimCommand {
  HolderId holder;
  // Maximum time that the holder can have lived after its last stamp
  // (core/host_stamp.h).
  Millis lived{0};
  bool operator==(const ReclaimCommand&) const = default;
};

using ShardCommand = std::variant<ExchangeCommand,
                                  SetLimitCommand,
                                  ClaimCommand,
                                  FinishCommand,
                                  AbandonCommand,
                                  DoubtCommand,
                                  FreezeCommand,
                                  ReclaimCommand>;

enum class ClaimState : std::uint8_t {
  kClaimed,
  kFinished,
  // Nothing was dispatched. A new attempt may claim the key.
  kAbandoned,
  kInDoubt,
};

struct ClaimRecord {
  RequestKey digest;
  std::string budget;
  Tokens cost = 0;
  std::uint64_t attempt = 0;
  HolderId holder;
  ClaimState state = ClaimState::kClaimed;
  int http_status = 0;
  std::string body;
  // Wall-clock time of the last change, milliseconds since 1970. Retention is
  // counted from it.
  std::int64_t changed_ms = 0;
  // Attempts that dispatched nothing, oldest first. A delayed copy of such an
  // attempt's claim must fail even after another attempt has held the record.
  std::vector<std::uint64_t> abandoned_attempts;
  bool operator==(const ClaimRecord&) const = default;
};

struct GrantRecord {
  // Granted and neither settled nor returned.
  Tokens outstanding = 0;
  std::uint64_t last_sequence = 0;
  // Tokens granted by the exchange `last_sequence`, for replies to repeats.
  Tokens last_granted = 0;
  bool frozen = false;
  // Wall-clock time of the last change, milliseconds since 1970. Retention of a
  // record without outstanding tokens is counted from it.
  std::int64_t changed_ms = 0;
  // Usage bound as of the last exchange; see UsageBound.
  Tokens armed = 0;
  Tokens pace = 0;
  bool operator==(const GrantRecord&) const = default;
};

struct BudgetRecord {
  Tokens limit = 0;
  Tokens billed = 0;
  // Charges of claims that have not finished.
  Tokens open_charges = 0;
  std::map<HolderId, GrantRecord> grants;
  bool operator==(const BudgetRecord&) const = default;
};

struct BillRecord {
  Tokens amount = 0;
  std::int64_t billed_ms = 0;
  bool operator==(const BillRecord&) const = default;
};

struct ShardState {
  std::uint32_t shard = 0;
  // Random number of the write that stored this state. A writer whose answer
  // was lost recognizes its own write by it.
  std::uint64_t write_nonce = 0;
  std::map<std::string, BudgetRecord> budgets;
  std::unordered_map<RequestKey, ClaimRecord> claims;
  std::unordered_map<RequestKey, BillRecord> bills;
  // Keys of the immutable segments that hold older entries.
  std::vector<std::string> segments;
  bool operator==(const ShardState&) const = default;
};

enum class ReplyStatus : std::uint8_t {
  kOk,
  kUnknownBudget,
  kInsufficient,
  // The key is claimed by another attempt, or its request is finished or in
  // doubt; see `claim`.
  kExists,
  // The key was used with another request body.
  kKeyReused,
  // The attempt does not hold the claim, the holder settles or returns more
  // than it holds, or an amount is negative.
  kNotHeld,
  // The sequence number is neither the last one nor the next one. A holder that
  // gets this reply to its latest exchange has no outstanding tokens in the
  // ledger.
  kBadSequence,
};

struct ShardReply {
  ReplyStatus status = ReplyStatus::kOk;
  // Exchange: the tokens granted.
  Tokens granted = 0;
  // Exchange: the tokens left in the budget after it.
  Tokens available = 0;
  // Exchange: other holders with outstanding tokens, for recall.
  std::vector<HolderId> other_holders;
  // Claim with kExists: the current record.
  ClaimRecord claim;
  // Exchange: the budget's totals after it, and the sum of the other holders'
  // outstanding tokens.
  Tokens limit = 0;
  Tokens billed = 0;
  Tokens others_outstanding = 0;
  // Exchange: the holder's own outstanding tokens. A rejected exchange has not
  // settled any of them.
  Tokens held = 0;
  bool operator==(const ShardReply&) const = default;
};

// True if a claim lost to an open claim of another attempt and the reply, which
// may come from a cache, does not list the losing attempt as abandoned. A
// delayed copy of the losing claim could then still take the key, so its sender
// must send an AbandonCommand.
bool MustAbandonClaim(const ShardReply& reply, std::uint64_t attempt);

// A holder writes a liveness stamp to the store at short intervals. Until this
// time after the last stamp, its usage is bounded by its armed tokens alone.
// Later the holder may be cut off from the store, and the bound grows with
// time. A process that is killed and restarted at once is back within 0.8 to
// 1.25 s, so only its armed tokens are lost.
inline constexpr Millis kStampGrace{1300};

// From this time after its last stamp, a holder that still runs is very likely
// cut off from the store: hosts that lose power are back after 1.9 to 2.6 s.
inline constexpr Millis kDisconnectTime{2600};
// Growth of the bound from then on, as a multiple of the pace. It lets holders
// that are cut off catch up on requests that the bound held back and serve
// bursts. These tokens are lost only if such a holder also dies.
inline constexpr Tokens kDisconnectedPaceFactor = 2;

// Maximum usage of a holder beyond what is settled, `since_stamp` after its
// last stamp: `armed` tokens, plus `pace` for each second after kStampGrace,
// times kDisconnectedPaceFactor after kDisconnectTime. The bound grows without
// steps, because a step cost a tenth of a day's usage when all hosts lost
// power.
Tokens UsageBound(Tokens armed, Tokens pace, Millis since_stamp);

// Time after the stamp from which the bound is at least `amount`. `pace` must
// be above 0.
Millis TimeUntilUsageBound(Tokens armed, Tokens pace, Tokens amount);

// limit - billed - open charges - outstanding grants; never negative.
Tokens Available(const BudgetRecord& budget);

// Applies one command to the state in place. `now_ms` is wall-clock time in
// milliseconds since 1970 and is only stored in records. Applying a command
// twice has the effect of applying it once.
ShardReply Apply(ShardState& state,
                 const ShardCommand& command,
                 std::int64_t now_ms);

// Name of the command's budget, for routing commands to shards. Empty for
// commands that name none: Finish, Doubt, Freeze and Reclaim.
std::string_view BudgetOf(const ShardCommand& command);

}  // namespace crocuslatch

#endif  // SRC_SHARD_STATE_H_
