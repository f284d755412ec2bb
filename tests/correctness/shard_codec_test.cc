#include "src/shard_codec.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "tests/fixture_shard.h"

namespace crocuslatch {

// Guards against fields that are lost between routers.
TEST_CASE("commands and replies are read back equal") {
  const auto commands = AllCommands();
  CHECK(DecodeCommands(EncodeCommands(commands)) == commands);
  ShardState state;
  std::vector<ShardReply> replies(commands.size());
  std::ranges::transform(commands, replies.begin(),
                         [&](const auto& it) { return Apply(state, it, 5); });
  replies.push_back(
      {.status = ReplyStatus::kExists, .claim = state.claims.begin()->second});
  CHECK(DecodeReplies(EncodeReplies(replies)) == replies);
}

// Guards against stored state that changes when it is read.
TEST_CASE("a shard state is read back equal") {
  const ShardState state = FullState();
  CHECK(DecodeShardState(EncodeShardState(state)) == state);
  const ShardSegment segment{3, state.claims, state.bills};
  CHECK(DecodeShardSegment(EncodeShardSegment(segment)) == segment);
}

// Guards against a frame whose payload starts at an odd address.
TEST_CASE("a misaligned buffer is read") {
  const std::string buffer = "x" + EncodeShardState(FullState());
  CHECK(DecodeShardState(std::string_view(buffer).substr(1)) == FullState());
}

}  // namespace crocuslatch
