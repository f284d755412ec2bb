#include <catch2/catch.hpp>

#include "src/error.h"
#include "src/shard_codec.h"
#include "tests/fixture_shard.h"

namespace crocuslatch {
namespace {

// Padding at the end carries nothing, so a buffer cut there reads as before.
bool IsRefusedOrEqual(const std::string& buffer) {
  try {
    return DecodeShardState(buffer) == FullState();
  } catch (const UserError&) {
    return true;
  }
}

}  // namespace

// Guards against crashes and wrong accounts from damaged values.
TEST_CASE("a damaged shard state is refused or still keeps its limits") {
  const std::string buffer = EncodeShardState(FullState());
  for (std::size_t i = 0; i < buffer.size(); ++i) {
    CHECK(IsRefusedOrEqual(buffer.substr(0, i)));
    for (const int bit : {0, 3, 7}) {
      std::string damaged = buffer;
      damaged[i] = static_cast<char>(damaged[i] ^ (1 << bit));
      try {
        for (const auto& it : DecodeShardState(damaged).budgets) {
          CHECK(Available(it.second) >= 0);
        }
      } catch (const UserError& e) {
        CHECK_FALSE(e.remedy().empty());
      }
    }
  }
}

// Guards against a router that rewrites values of a newer format.
TEST_CASE("another format version is refused") {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::CreateShardState(builder, kShardFormatVersion + 1));
  const std::string buffer(
      reinterpret_cast<const char*>(builder.GetBufferPointer()),
      builder.GetSize());
  try {
    DecodeShardState(buffer);
    FAIL("decoded");
  } catch (const UserError& e) {
    CHECK(e.code() == "shard_format");
  }
}

// Guards against commands that create tokens.
TEST_CASE("negative amounts are refused") {
  CHECK_THROWS_AS(DecodeCommands(EncodeCommands({SetLimitCommand{"b", -1}})),
                  UserError);
  ExchangeCommand exchange;
  exchange.returned = -5;
  CHECK_THROWS_AS(DecodeCommands(EncodeCommands({exchange})), UserError);
}

// Guards against a value whose accounts were changed by hand.
TEST_CASE("a state that spends above a limit is refused") {
  ShardState state = FullState();
  state.budgets.at("b").limit = 10;
  CHECK_THROWS_AS(DecodeShardState(EncodeShardState(state)), UserError);
  state = FullState();
  state.budgets.at("b").open_charges = 0;
  CHECK_THROWS_AS(DecodeShardState(EncodeShardState(state)), UserError);
}

}  // namespace crocuslatch
