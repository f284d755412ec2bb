#ifndef SRC_SHARD_CODEC_H_
#define SRC_SHARD_CODEC_H_

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "src/ledger_generated.h"
#include "src/shard_state.h"

// Defines the FlatBuffers encoding (schema/ledger.fbs) of shard commands,
// replies, the stored state of a shard and its segments.

namespace crocuslatch {

// Format version of the stored state and of segments. Decoding rejects any
// other version.
inline constexpr std::uint32_t kShardFormatVersion = 1;

// Entries moved out of a shard value. A segment is immutable once written.
struct ShardSegment {
  std::uint32_t shard = 0;
  std::unordered_map<RequestKey, ClaimRecord> claims;
  std::unordered_map<RequestKey, BillRecord> bills;
  bool operator==(const ShardSegment&) const = default;
};

using CommandVector =
    flatbuffers::Vector<flatbuffers::Offset<wire::ShardCommand>>;
using ReplyVector = flatbuffers::Vector<flatbuffers::Offset<wire::ShardReply>>;

// These functions add tables to a buffer under construction, for schemas that
// include ledger.fbs.
flatbuffers::Offset<wire::ShardCommand> PackCommand(
    flatbuffers::FlatBufferBuilder& builder,
    const ShardCommand& command);
flatbuffers::Offset<wire::ShardReply> PackReply(
    flatbuffers::FlatBufferBuilder& builder,
    const ShardReply& reply);
flatbuffers::Offset<CommandVector> PackCommands(
    flatbuffers::FlatBufferBuilder& builder,
    const std::vector<ShardCommand>& commands);
flatbuffers::Offset<ReplyVector> PackReplies(
    flatbuffers::FlatBufferBuilder& builder,
    const std::vector<ShardReply>& replies);

// These functions read tables of a buffer that a flatbuffers::Verifier has
// accepted. They throw UserError "shard_malformed" on values out of range, such
// as negative amounts. A null vector unpacks as an empty one.
ShardCommand UnpackCommand(const wire::ShardCommand& table);
ShardReply UnpackReply(const wire::ShardReply& table);
std::vector<ShardCommand> UnpackCommands(const CommandVector* tables);
std::vector<ShardReply> UnpackReplies(const ReplyVector* tables);

// These functions write and read whole buffers. Decoding verifies the buffer
// and throws UserError "shard_malformed" or "shard_format".
std::string EncodeCommands(const std::vector<ShardCommand>& commands);
std::vector<ShardCommand> DecodeCommands(std::string_view buffer);
std::string EncodeReplies(const std::vector<ShardReply>& replies);
std::vector<ShardReply> DecodeReplies(std::string_view buffer);

// Equal states encode to equal bytes.
std::string EncodeShardState(const ShardState& state);
ShardState DecodeShardState(std::string_view buffer);
std::string EncodeShardSegment(const ShardSegment& segment);
ShardSegment DecodeShardSegment(std::string_view buffer);

}  // namespace crocuslatch

#endif  // SRC_SHARD_CODEC_H_
