#ifndef SRC_SHARD_STATE_H_
#define SRC_SHARD_STATE_H_

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "src/types.h"

// Defines one shard of the ledger as a state machine: its state, the commands
// that change it and their replies. Pure: no clock, no I/O.

namespace crocuslatch {

// One charge of a finished model request.
struct Bill {
  RequestKey key;
  Tokens amount = 0;
  auto operator<=>(const Bill&) const = default;
};

// Settles bills, returns unused tokens and asks for more, for one holder and
// one budget. A repeat with the same sequence changes nothing.
struct ExchangeCommand {
  std::string budget;
  HolderId holder;
  // Starts at 1 and rises by 1.
  std::uint64_t sequence = 0;
  // The holder holds nothing of the budget, so that it settles and returns
  // nothing and its record may have been dropped since its last exchange.
  bool opens = false;
  std::vector<Bill> bills;
  Tokens returned = 0;
  // Grant asked for; less than `least` is granted only as 0.
  Tokens want = 0;
  Tokens least = 0;
  // Billed without a key, where every request reaches one holder only.
  Tokens settled = 0;
  // Bound of what the holder uses beyond what is settled; see UseBound.
  Tokens armed = 0;
  Tokens pace = 0;
  bool operator==(const ExchangeCommand&) const = default;
};

// Raises the limit of a budget, which is created if it is new.
struct SetLimitCommand {
  std::string budget;
  Tokens limit = 0;
  bool operator==(const SetLimitCommand&) const = default;
};

// Budget without tokens whose claims bind the keys of orders to the budgets
// that the orders are charged to. Not a valid name in the operators' document.
inline constexpr std::string_view kOrderKeyBudget = "_order-keys";

// Claims the only run of a non-idempotent request and charges its cost.
struct ClaimCommand {
  RequestKey key;
  // Hash of the request's body; a key may not be reused for another body.
  RequestKey digest;
  std::string budget;
  Tokens cost = 0;
  // Random number of this attempt.
  std::uint64_t attempt = 0;
  HolderId holder;
  bool operator==(const ClaimCommand&) const = default;
};

// Records the answer of the claimed run.
struct FinishCommand {
  RequestKey key;
  std::uint64_t attempt = 0;
  int http_status = 0;
  std::string body;
  bool operator==(const FinishCommand&) const = default;
};

// States that the attempt dispatched nothing; its charge is returned. Sent
// before its claim took effect, it makes a later claim of the attempt fail.
struct AbandonCommand {
  RequestKey key;
  std::uint64_t attempt = 0;
  std::string budget;
  bool operator==(const AbandonCommand&) const = default;
};

// States that the attempt's outcome will never be known.
struct DoubtCommand {
  RequestKey key;
  std::uint64_t attempt = 0;
  bool operator==(const DoubtCommand&) const = default;
};

// Marks the grants of a holder that is gone.
struct FreezeCommand {
  HolderId holder;
  bool operator==(const FreezeCommand&) const = default;
};

// Takes back what a holder that has died cannot have used, of every budget of
// the shard.
struct ReclaimCommand {
  HolderId holder;
  // Longest time that the holder can have lived after its last stamp
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
  // Nothing was dispatched; a new attempt may claim.
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
  // Wall-clock time of the last change, milliseconds since 1970; decides
  // when the record leaves the retention time.
  std::int64_t changed_ms = 0;
  // Attempts that dispatched nothing, oldest first. A late copy of such an
  // attempt's claim must fail even after another attempt held the record.
  std::vector<std::uint64_t> abandoned_attempts;
  bool operator==(const ClaimRecord&) const = default;
};

struct GrantRecord {
  // Granted and neither settled nor returned.
  Tokens outstanding = 0;
  std::uint64_t last_sequence = 0;
  // What the exchange `last_sequence` was granted, for repeats.
  Tokens last_granted = 0;
  bool frozen = false;
  // Wall-clock time of the last exchange, milliseconds since 1970; decides
  // when a record without outstanding tokens is dropped.
  std::int64_t changed_ms = 0;
  // As of the last exchange.
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
  // Nonce of the write that stored this state.
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
  // A claim with this key exists; see `claim`.
  kExists,
  // The key was used with another body.
  kKeyReused,
  // The attempt does not hold the claim, or the holder settles or returns
  // more than it was granted.
  kNotHeld,
  // A sequence other than the last one or the next one. A holder that gets
  // it for its latest exchange has no outstanding tokens in the ledger.
  kBadSequence,
};

struct ShardReply {
  ReplyStatus status = ReplyStatus::kOk;
  // Exchange: the tokens granted.
  Tokens granted = 0;
  // Exchange: what is left in the budget after it.
  Tokens available = 0;
  // Exchange: other holders with an outstanding grant, for recall.
  std::vector<HolderId> other_holders;
  // Claim with kExists: the present record.
  ClaimRecord claim;
  // Exchange: the budget after it, and what the other holders have.
  Tokens limit = 0;
  Tokens billed = 0;
  Tokens others_outstanding = 0;
  bool operator==(const ShardReply&) const = default;
};

// True if a claim lost to an open claim of another attempt and the reply,
// which may come from a cache, does not list it as abandoned. A late copy of
// it could then take the key, so its sender abandons it.
bool MustAbandonClaim(const ShardReply& reply, std::uint64_t attempt);

// A holder stamps its life at short intervals. From this time after its last
// stamp on it may be cut off from the store, and its use is bounded by time. A
// process that is killed and started again at once is back within 0.8 to 1.25
// s, so nothing but what was armed is lost with it.
inline constexpr Millis kStampGrace{1300};

// From this time on after its last stamp a holder is very likely cut off from
// the store: hosts that lose their power are back after 1.9 to 2.6 s.
inline constexpr Millis kDisconnectTime{2600};
// Growth of the bound from then on, as a multiple of the pace. Cut holders make
// up for what the bound held back before and serve bursts; what they could have
// used is lost only if they die in the cut, too.
inline constexpr Tokens kDisconnectedPaceFactor = 2;

// Most that a holder may have used beyond what is settled, `since_stamp` after
// its last stamp: `armed`, `pace` for each second beyond the grace, and more
// beyond kCutTime. No steps, since a step was a tenth of a day's use when all
// hosts lost their power.
Tokens UsageBound(Tokens armed, Tokens pace, Millis since_stamp);

// First time after the stamp at which the bound reaches `amount`. `pace` is
// above 0.
Millis TimeUntilUsageBound(Tokens armed, Tokens pace, Tokens amount);

// limit - billed - open charges - outstanding grants; never negative.
Tokens Available(const BudgetRecord& budget);

// Applies one command to the state in place. `now_ms` is wall-clock time and
// only stamps records. Applying a command twice equals applying it once.
ShardReply Apply(ShardState& state,
                 const ShardCommand& command,
                 std::int64_t now_ms);

// Name of the budget or an empty string, for routing commands to shards:
// Finish, Doubt and Freeze name none.
std::string_view BudgetOf(const ShardCommand& command);

}  // namespace crocuslatch

#endif  // SRC_SHARD_STATE_H_
