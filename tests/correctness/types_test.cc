#include <catch2/catch.hpp>

#include "src/types.h"

namespace crocuslatch {

// Guards against two different requests sharing one deduplication key.
TEST_CASE("a request key depends on where its parts are split") {
  CHECK(MakeRequestKey({"a", "bc"}) != MakeRequestKey({"ab", "c"}));
  CHECK(MakeRequestKey({"a", "bc"}) == MakeRequestKey({"a", "bc"}));
}

// Guards against a hash that differs between versions, which would move budgets
// to other shards.
TEST_CASE("the shard of a budget is stable") {
  CHECK(StableHash("") == 0x2d06800538d394c2ULL);
  CHECK(ShardOfBudget("b1", 16) < 16);
}

}  // namespace crocuslatch
