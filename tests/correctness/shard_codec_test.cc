#include "src/shard_codec.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "tests/fixture_shard.h"

namespace crocuslatch {

// Guards against fields that are lost in transit between routers.
TEST_CASE("commands and replies survive encoding and decoding") {
  const auto commands = MakeAllCommands();
  CHECK(DecodeCommands(EncodeCommands(commands)) == commands);
  ShardState state;
  std::vector<ShardReply> replies(commands.size());
  std::ranges::transform(commands, replies.begin(),
                         [&](const auto& it) { return Apply(state, it, 5); });
  replies.push_back(
      {.status = ReplyStatus::kExists, .claim = state.claims.begin()->second});
  CHECK(DecodeReplies(EncodeReplies(replies)) == replies);
}

// Guards against stored state that changes when it is read back.
TEST_CASE("a shard state survives encoding and decoding") {
  const ShardState state = MakeFullState();
  CHECK(DecodeShardState(EncodeShardState(state)) == state);
  const ShardSegment segment{3, state.claims, state.bills};
  CHECK(DecodeShardSegment(EncodeShardSegment(segment)) == segment);
}

// Guards against a failure on a peer frame whose payload is not aligned.
TEST_CASE("a misaligned buffer is decoded") {
  const std::string buffer = "x" + EncodeShardState(MakeFullState());
  CHECK(DecodeShardState(std::string_view(buffer).substr(1)) ==
        MakeFullState());
}

}  // namespace crocuslatch
