#include <catch2/catch.hpp>

#include "src/error.h"
#include "src/shard_codec.h"
#include "tests/fixture_shard.h"

namespace crocuslatch {
namespace {

// Trailing padding carries no data, so a buffer truncated there decodes to the
// same state.
bool IsRejectedOrEqual(const std::string& buffer) {
  try {
    return DecodeShardState(buffer) == MakeFullState();
  } catch (const UserError&) {
    return true;
  }
}

}  // namespace

// Guards against crashes and overspent budgets because of damaged values.
TEST_CASE("a damaged shard state is rejected or stays within its limits") {
  const std::string buffer = EncodeShardState(MakeFullState());
  for (std::size_t i = 0; i < buffer.size(); ++i) {
    CHECK(IsRejectedOrEqual(buffer.substr(0, i)));
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

// Guards against a router that overwrites values of a newer format.
TEST_CASE("another format version is rejected") {
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
TEST_CASE("negative amounts are rejected") {
  CHECK_THROWS_AS(DecodeCommands(EncodeCommands({SetLimitCommand{"b", -1}})),
                  UserError);
  ExchangeCommand exchange;
  exchange.returned = -5;
  CHECK_THROWS_AS(DecodeCommands(EncodeCommands({exchange})), UserError);
}

// Guards against a value whose totals were edited by hand.
TEST_CASE("a state with totals above a limit is rejected") {
  ShardState state = MakeFullState();
  state.budgets.at("b").limit = 10;
  CHECK_THROWS_AS(DecodeShardState(EncodeShardState(state)), UserError);
  state = MakeFullState();
  state.budgets.at("b").open_charges = 0;
  CHECK_THROWS_AS(DecodeShardState(EncodeShardState(state)), UserError);
}

}  // namespace crocuslatch
