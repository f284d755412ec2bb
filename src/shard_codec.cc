#include "src/shard_codec.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstring>
#include <map>

#include "src/error.h"

namespace crocuslatch {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

[[noreturn]] void FailMalformed(const std::string& what) {
  throw UserError("shard_malformed",
                  fmt::format("ledger data is malformed: {}", what),
                  "check that all routers run compatible versions; restore "
                  "the stored value if it is damaged");
}

void Require(bool condition, const char* what) {
  if (!condition) {
    FailMalformed(what);
  }
}

Tokens CheckAmount(Tokens amount) {
  Require(amount >= 0 && amount <= kMaxTokens, "amount out of range");
  return amount;
}

// The verifier of FlatBuffers 2.0.8 does not check the alignment of vectors
// whose elements are larger than their length.
template <typename Vector>
void RequireAligned(const Vector& vector) {
  const auto address = reinterpret_cast<std::uintptr_t>(vector.Data());
  const bool is_aligned = address % sizeof(std::uint64_t) == 0;
  Require(vector.size() == 0 || is_aligned, "misaligned vector");
}

wire::Key Pack(const RequestKey& key) {
  return {key.high, key.low};
}

RequestKey Unpack(const wire::Key& key) {
  return {key.high(), key.low()};
}

Offset<wire::Holder> Pack(FlatBufferBuilder& builder, const HolderId& holder) {
  return wire::CreateHolder(builder, builder.CreateString(holder.host),
                            holder.incarnation);
}

HolderId Unpack(const wire::Holder& holder) {
  return {holder.host()->str(), holder.incarnation()};
}

wire::ClaimState Pack(ClaimState state) {
  return static_cast<wire::ClaimState>(state);
}

ClaimState Unpack(wire::ClaimState state) {
  Require(state <= wire::ClaimState::MAX, "unknown claim state");
  return static_cast<ClaimState>(state);
}

Offset<wire::ClaimRecord> Pack(FlatBufferBuilder& builder,
                               const RequestKey* key,
                               const ClaimRecord& record) {
  const auto budget = builder.CreateString(record.budget);
  const auto holder = Pack(builder, record.holder);
  const auto body = builder.CreateString(record.body);
  const auto abandoned = builder.CreateVector(record.abandoned_attempts);
  const wire::Key digest = Pack(record.digest);
  const wire::Key packed_key = key ? Pack(*key) : wire::Key();
  return wire::CreateClaimRecord(builder, key ? &packed_key : nullptr, &digest,
                                 budget, record.cost, record.attempt, holder,
                                 Pack(record.state), record.http_status, body,
                                 record.changed_ms, abandoned);
}

ClaimRecord Unpack(const wire::ClaimRecord& table) {
  ClaimRecord record;
  record.digest = Unpack(*table.digest());
  record.budget = table.budget()->str();
  record.cost = CheckAmount(table.cost());
  record.attempt = table.attempt();
  record.holder = Unpack(*table.holder());
  record.state = Unpack(table.state());
  record.http_status = table.http_status();
  record.body = table.body()->str();
  record.changed_ms = table.changed_ms();
  if (table.abandoned_attempts()) {
    RequireAligned(*table.abandoned_attempts());
    record.abandoned_attempts.assign(table.abandoned_attempts()->begin(),
                                     table.abandoned_attempts()->end());
  }
  return record;
}

struct PackedBody {
  wire::CommandBody type;
  Offset<void> offset;
};

PackedBody PackBody(FlatBufferBuilder& builder,
                    const ExchangeCommand& command) {
  std::vector<wire::Bill> bills;
  bills.reserve(command.bills.size());
  for (const auto& it : command.bills) {
    bills.emplace_back(Pack(it.key), it.amount);
  }
  const auto budget = builder.CreateString(command.budget);
  const auto holder = Pack(builder, command.holder);
  const auto packed_bills = builder.CreateVectorOfStructs(bills);
  return {wire::CommandBody::ExchangeCommand,
          wire::CreateExchangeCommand(
              builder, budget, holder, command.sequence, packed_bills,
              command.returned, command.want, command.least, command.opens,
              command.settled, command.armed, command.pace)
              .Union()};
}

PackedBody PackBody(FlatBufferBuilder& builder,
                    const SetLimitCommand& command) {
  const auto budget = builder.CreateString(command.budget);
  return {wire::CommandBody::SetLimitCommand,
          wire::CreateSetLimitCommand(builder, budget, command.limit).Union()};
}

PackedBody PackBody(FlatBufferBuilder& builder, const ClaimCommand& command) {
  const wire::Key key = Pack(command.key);
  const wire::Key digest = Pack(command.digest);
  const auto budget = builder.CreateString(command.budget);
  const auto holder = Pack(builder, command.holder);
  return {wire::CommandBody::ClaimCommand,
          wire::CreateClaimCommand(builder, &key, &digest, budget, command.cost,
                                   command.attempt, holder)
              .Union()};
}

PackedBody PackBody(FlatBufferBuilder& builder, const FinishCommand& command) {
  const wire::Key key = Pack(command.key);
  const auto body = builder.CreateString(command.body);
  return {wire::CommandBody::FinishCommand,
          wire::CreateFinishCommand(builder, &key, command.attempt,
                                    command.http_status, body)
              .Union()};
}

PackedBody PackBody(FlatBufferBuilder& builder, const AbandonCommand& command) {
  const wire::Key key = Pack(command.key);
  const auto budget = builder.CreateString(command.budget);
  return {wire::CommandBody::AbandonCommand,
          wire::CreateAbandonCommand(builder, &key, command.attempt, budget)
              .Union()};
}

PackedBody PackBody(FlatBufferBuilder& builder, const DoubtCommand& command) {
  const wire::Key key = Pack(command.key);
  return {wire::CommandBody::DoubtCommand,
          wire::CreateDoubtCommand(builder, &key, command.attempt).Union()};
}

PackedBody PackBody(FlatBufferBuilder& builder, const ReclaimCommand& command) {
  const auto holder = Pack(builder, command.holder);
  return {wire::CommandBody::ReclaimCommand,
          wire::CreateReclaimCommand(builder, holder, command.lived.count())
              .Union()};
}

PackedBody PackBody(FlatBufferBuilder& builder, const FreezeCommand& command) {
  const auto holder = Pack(builder, command.holder);
  return {wire::CommandBody::FreezeCommand,
          wire::CreateFreezeCommand(builder, holder).Union()};
}

ExchangeCommand Unpack(const wire::ExchangeCommand& table) {
  ExchangeCommand command;
  command.budget = table.budget()->str();
  command.holder = Unpack(*table.holder());
  command.sequence = table.sequence();
  if (table.bills()) {
    RequireAligned(*table.bills());
    command.bills.reserve(table.bills()->size());
    for (const auto* it : *table.bills()) {
      command.bills.push_back({Unpack(it->key()), CheckAmount(it->amount())});
    }
  }
  command.returned = CheckAmount(table.returned());
  command.want = CheckAmount(table.want());
  command.least = CheckAmount(table.least());
  command.opens = table.opens();
  command.settled = CheckAmount(table.settled());
  command.armed = CheckAmount(table.armed());
  command.pace = CheckAmount(table.pace());
  return command;
}

SetLimitCommand Unpack(const wire::SetLimitCommand& table) {
  return {table.budget()->str(), CheckAmount(table.limit())};
}

ClaimCommand Unpack(const wire::ClaimCommand& table) {
  return {Unpack(*table.key()),  Unpack(*table.digest()),
          table.budget()->str(), CheckAmount(table.cost()),
          table.attempt(),       Unpack(*table.holder())};
}

FinishCommand Unpack(const wire::FinishCommand& table) {
  return {Unpack(*table.key()), table.attempt(), table.http_status(),
          table.body()->str()};
}

AbandonCommand Unpack(const wire::AbandonCommand& table) {
  return {Unpack(*table.key()), table.attempt(), table.budget()->str()};
}

DoubtCommand Unpack(const wire::DoubtCommand& table) {
  return {Unpack(*table.key()), table.attempt()};
}

ReclaimCommand Unpack(const wire::ReclaimCommand& table) {
  return {Unpack(*table.holder()), Millis{CheckAmount(table.lived_ms())}};
}

FreezeCommand Unpack(const wire::FreezeCommand& table) {
  return {Unpack(*table.holder())};
}

// Verifies the buffer and calls `use` with its root table. Table fields are
// read in place, so an unaligned buffer is copied to an aligned one first.
template <typename Table, typename Use>
auto WithVerified(std::string_view buffer, const char* what, Use use) {
  const auto address = reinterpret_cast<std::uintptr_t>(buffer.data());
  std::vector<std::uint64_t> copy;
  const auto* data = reinterpret_cast<const std::uint8_t*>(buffer.data());
  if (address % sizeof(std::uint64_t) != 0) {
    copy.resize(buffer.size() / sizeof(std::uint64_t) + 1);
    std::memcpy(copy.data(), buffer.data(), buffer.size());
    data = reinterpret_cast<const std::uint8_t*>(copy.data());
  }
  flatbuffers::Verifier verifier(data, buffer.size());
  Require(verifier.VerifyBuffer<Table>(nullptr), what);
  return use(*flatbuffers::GetRoot<Table>(data));
}

template <typename Table>
std::string FinishBuffer(FlatBufferBuilder& builder, Offset<Table> root) {
  builder.Finish(root);
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

void CheckFormat(std::uint32_t version) {
  if (version != kShardFormatVersion) {
    throw UserError(
        "shard_format",
        fmt::format("stored ledger data has format version {}, expected {}",
                    version, kShardFormatVersion),
        "run the same version of crocuslatch on every router");
  }
}

template <typename Map>
std::vector<RequestKey> SortedKeys(const Map& map) {
  std::vector<RequestKey> keys;
  keys.reserve(map.size());
  for (const auto& it : map) {
    keys.push_back(it.first);
  }
  std::ranges::sort(keys);
  return keys;
}

using ClaimVector = flatbuffers::Vector<Offset<wire::ClaimRecord>>;
using BillVector = flatbuffers::Vector<const wire::BillRecord*>;

Offset<ClaimVector> PackClaims(
    FlatBufferBuilder& builder,
    const std::unordered_map<RequestKey, ClaimRecord>& claims) {
  std::vector<Offset<wire::ClaimRecord>> offsets;
  offsets.reserve(claims.size());
  for (const auto& it : SortedKeys(claims)) {
    offsets.push_back(Pack(builder, &it, claims.at(it)));
  }
  return builder.CreateVector(offsets);
}

std::unordered_map<RequestKey, ClaimRecord> UnpackClaims(
    const ClaimVector* tables) {
  std::unordered_map<RequestKey, ClaimRecord> claims;
  if (!tables) {
    return claims;
  }
  claims.reserve(tables->size());
  for (const auto* it : *tables) {
    Require(it->key() != nullptr, "claim without a key");
    Require(claims.emplace(Unpack(*it->key()), Unpack(*it)).second,
            "claim listed twice");
  }
  return claims;
}

Offset<BillVector> PackBills(
    FlatBufferBuilder& builder,
    const std::unordered_map<RequestKey, BillRecord>& bills) {
  std::vector<wire::BillRecord> records;
  records.reserve(bills.size());
  for (const auto& it : SortedKeys(bills)) {
    const auto& record = bills.at(it);
    records.emplace_back(Pack(it), record.amount, record.billed_ms);
  }
  return builder.CreateVectorOfStructs(records);
}

std::unordered_map<RequestKey, BillRecord> UnpackBills(
    const BillVector* structs) {
  std::unordered_map<RequestKey, BillRecord> bills;
  if (!structs) {
    return bills;
  }
  RequireAligned(*structs);
  bills.reserve(structs->size());
  for (const auto* it : *structs) {
    const BillRecord record{CheckAmount(it->amount()), it->billed_ms()};
    Require(bills.emplace(Unpack(it->key()), record).second,
            "bill listed twice");
  }
  return bills;
}

// Holder tables already written to a buffer. A holder has grants of many
// budgets, and all of them refer to one table.
using HolderTables = std::map<HolderId, Offset<wire::Holder>>;

Offset<wire::Holder> PackHolderOnce(FlatBufferBuilder& builder,
                                    HolderTables& tables,
                                    const HolderId& holder) {
  const auto [it, is_new] = tables.try_emplace(holder);
  if (is_new) {
    it->second = Pack(builder, holder);
  }
  return it->second;
}

Offset<wire::BudgetRecord> Pack(FlatBufferBuilder& builder,
                                HolderTables& holders,
                                const std::string& name,
                                const BudgetRecord& record) {
  std::vector<Offset<wire::GrantRecord>> grants;
  grants.reserve(record.grants.size());
  for (const auto& [holder, grant] : record.grants) {
    grants.push_back(wire::CreateGrantRecord(
        builder, PackHolderOnce(builder, holders, holder), grant.outstanding,
        grant.last_sequence, grant.last_granted, grant.frozen, grant.changed_ms,
        grant.armed, grant.pace));
  }
  const auto packed_name = builder.CreateString(name);
  const auto packed_grants = builder.CreateVector(grants);
  return wire::CreateBudgetRecord(builder, packed_name, record.limit,
                                  record.billed, record.open_charges,
                                  packed_grants);
}

BudgetRecord Unpack(const wire::BudgetRecord& table) {
  BudgetRecord record;
  record.limit = CheckAmount(table.limit());
  record.billed = CheckAmount(table.billed());
  record.open_charges = CheckAmount(table.open_charges());
  Tokens left = record.limit - record.billed - record.open_charges;
  if (table.grants()) {
    for (const auto* it : *table.grants()) {
      const GrantRecord grant{CheckAmount(it->outstanding()),
                              it->last_sequence(),
                              CheckAmount(it->last_granted()),
                              it->frozen(),
                              it->changed_ms(),
                              CheckAmount(it->armed()),
                              CheckAmount(it->pace())};
      left -= grant.outstanding;
      Require(left >= 0, "budget total above its limit");
      Require(record.grants.emplace(Unpack(*it->holder()), grant).second,
              "holder listed twice");
    }
  }
  Require(left >= 0, "budget total above its limit");
  return record;
}

// FinishCommand and AbandonCommand rely on every open claim having its charge
// in its budget.
void CheckOpenCharges(const ShardState& state) {
  std::map<std::string_view, Tokens> charges;
  for (const auto& [key, record] : state.claims) {
    if (record.state == ClaimState::kClaimed) {
      charges[record.budget] += record.cost;
    }
  }
  for (const auto& [name, budget] : state.budgets) {
    Require(charges[name] == budget.open_charges,
            "open charges differ from the open claims");
  }
  Require(charges.size() == state.budgets.size(),
          "open claim without a budget");
}

ShardState UnpackState(const wire::ShardState& table) {
  CheckFormat(table.format_version());
  ShardState state;
  state.shard = table.shard();
  state.write_nonce = table.writer();
  if (table.budgets()) {
    for (const auto* it : *table.budgets()) {
      Require(state.budgets.emplace(it->name()->str(), Unpack(*it)).second,
              "budget listed twice");
    }
  }
  state.claims = UnpackClaims(table.claims());
  state.bills = UnpackBills(table.bills());
  if (table.segments()) {
    for (const auto* it : *table.segments()) {
      state.segments.push_back(it->str());
    }
  }
  CheckOpenCharges(state);
  return state;
}

ShardSegment UnpackSegment(const wire::ShardSegment& table) {
  CheckFormat(table.format_version());
  return {table.shard(), UnpackClaims(table.claims()),
          UnpackBills(table.bills())};
}

}  // namespace

Offset<wire::ShardCommand> PackCommand(FlatBufferBuilder& builder,
                                       const ShardCommand& command) {
  const PackedBody body = std::visit(
      [&](const auto& it) { return PackBody(builder, it); }, command);
  return wire::CreateShardCommand(builder, body.type, body.offset);
}

Offset<wire::ShardReply> PackReply(FlatBufferBuilder& builder,
                                   const ShardReply& reply) {
  std::vector<Offset<wire::Holder>> holders;
  holders.reserve(reply.other_holders.size());
  for (const auto& it : reply.other_holders) {
    holders.push_back(Pack(builder, it));
  }
  const auto packed_holders = builder.CreateVector(holders);
  Offset<wire::ClaimRecord> claim;
  if (reply.status == ReplyStatus::kExists) {
    claim = Pack(builder, nullptr, reply.claim);
  }
  return wire::CreateShardReply(
      builder, static_cast<wire::ReplyStatus>(reply.status), reply.granted,
      reply.available, packed_holders, claim, reply.limit, reply.billed,
      reply.others_outstanding, reply.held);
}

Offset<CommandVector> PackCommands(FlatBufferBuilder& builder,
                                   const std::vector<ShardCommand>& commands) {
  std::vector<Offset<wire::ShardCommand>> offsets;
  offsets.reserve(commands.size());
  for (const auto& it : commands) {
    offsets.push_back(PackCommand(builder, it));
  }
  return builder.CreateVector(offsets);
}

Offset<ReplyVector> PackReplies(FlatBufferBuilder& builder,
                                const std::vector<ShardReply>& replies) {
  std::vector<Offset<wire::ShardReply>> offsets;
  offsets.reserve(replies.size());
  for (const auto& it : replies) {
    offsets.push_back(PackReply(builder, it));
  }
  return builder.CreateVector(offsets);
}

ShardCommand UnpackCommand(const wire::ShardCommand& table) {
  switch (table.body_type()) {
    case wire::CommandBody::ExchangeCommand:
      return Unpack(*table.body_as_ExchangeCommand());
    case wire::CommandBody::SetLimitCommand:
      return Unpack(*table.body_as_SetLimitCommand());
    case wire::CommandBody::ClaimCommand:
      return Unpack(*table.body_as_ClaimCommand());
    case wire::CommandBody::FinishCommand:
      return Unpack(*table.body_as_FinishCommand());
    case wire::CommandBody::AbandonCommand:
      return Unpack(*table.body_as_AbandonCommand());
    case wire::CommandBody::DoubtCommand:
      return Unpack(*table.body_as_DoubtCommand());
    case wire::CommandBody::FreezeCommand:
      return Unpack(*table.body_as_FreezeCommand());
    case wire::CommandBody::ReclaimCommand:
      return Unpack(*table.body_as_ReclaimCommand());
    case wire::CommandBody::NONE:
      break;
  }
  FailMalformed("unknown command");
}

ShardReply UnpackReply(const wire::ShardReply& table) {
  Require(table.status() <= wire::ReplyStatus::MAX, "unknown reply status");
  ShardReply reply;
  reply.status = static_cast<ReplyStatus>(table.status());
  reply.granted = CheckAmount(table.granted());
  reply.available = CheckAmount(table.available());
  reply.limit = CheckAmount(table.limit());
  reply.billed = CheckAmount(table.billed());
  reply.others_outstanding = CheckAmount(table.others_outstanding());
  reply.held = CheckAmount(table.held());
  if (table.other_holders()) {
    for (const auto* it : *table.other_holders()) {
      reply.other_holders.push_back(Unpack(*it));
    }
  }
  const bool has_claim = reply.status == ReplyStatus::kExists;
  Require(has_claim == (table.claim() != nullptr),
          "reply status does not match its claim");
  if (table.claim()) {
    reply.claim = Unpack(*table.claim());
  }
  return reply;
}

std::vector<ShardCommand> UnpackCommands(const CommandVector* tables) {
  std::vector<ShardCommand> commands;
  if (!tables) {
    return commands;
  }
  commands.reserve(tables->size());
  for (const auto* it : *tables) {
    commands.push_back(UnpackCommand(*it));
  }
  return commands;
}

std::vector<ShardReply> UnpackReplies(const ReplyVector* tables) {
  std::vector<ShardReply> replies;
  if (!tables) {
    return replies;
  }
  replies.reserve(tables->size());
  for (const auto* it : *tables) {
    replies.push_back(UnpackReply(*it));
  }
  return replies;
}

std::string EncodeCommands(const std::vector<ShardCommand>& commands) {
  FlatBufferBuilder builder;
  const auto list = PackCommands(builder, commands);
  return FinishBuffer(builder, wire::CreateShardCommandList(builder, list));
}

std::vector<ShardCommand> DecodeCommands(std::string_view buffer) {
  return WithVerified<wire::ShardCommandList>(
      buffer, "commands", [](const wire::ShardCommandList& it) {
        return UnpackCommands(it.commands());
      });
}

std::string EncodeReplies(const std::vector<ShardReply>& replies) {
  FlatBufferBuilder builder;
  const auto list = PackReplies(builder, replies);
  return FinishBuffer(builder, wire::CreateShardReplyList(builder, list));
}

std::vector<ShardReply> DecodeReplies(std::string_view buffer) {
  return WithVerified<wire::ShardReplyList>(
      buffer, "replies", [](const wire::ShardReplyList& it) {
        return UnpackReplies(it.replies());
      });
}

std::string EncodeShardState(const ShardState& state) {
  FlatBufferBuilder builder;
  HolderTables holders;
  std::vector<Offset<wire::BudgetRecord>> budgets;
  budgets.reserve(state.budgets.size());
  for (const auto& [name, record] : state.budgets) {
    budgets.push_back(Pack(builder, holders, name, record));
  }
  const auto packed_budgets = builder.CreateVector(budgets);
  const auto claims = PackClaims(builder, state.claims);
  const auto bills = PackBills(builder, state.bills);
  const auto segments = builder.CreateVectorOfStrings(state.segments);
  return FinishBuffer(
      builder, wire::CreateShardState(builder, kShardFormatVersion, state.shard,
                                      state.write_nonce, packed_budgets, claims,
                                      bills, segments));
}

ShardState DecodeShardState(std::string_view buffer) {
  return WithVerified<wire::ShardState>(buffer, "shard state", UnpackState);
}

std::string EncodeShardSegment(const ShardSegment& segment) {
  FlatBufferBuilder builder;
  const auto claims = PackClaims(builder, segment.claims);
  const auto bills = PackBills(builder, segment.bills);
  return FinishBuffer(builder,
                      wire::CreateShardSegment(builder, kShardFormatVersion,
                                               segment.shard, claims, bills));
}

ShardSegment DecodeShardSegment(std::string_view buffer) {
  return WithVerified<wire::ShardSegment>(buffer, "shard segment",
                                          UnpackSegment);
}

}  // namespace crocuslatch
