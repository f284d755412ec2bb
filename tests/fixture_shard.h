#ifndef TESTS_FIXTURE_SHARD_H_
#define TESTS_FIXTURE_SHARD_H_

#include <vector>

#include "src/shard_state.h"

// Defines one command of every kind, and a state with every kind of record.

namespace crocuslatch {

inline std::vector<ShardCommand> MakeAllCommands() {
  const HolderId holder{"a", 0x8000000000000001};
  return {
      SetLimitCommand{"b", 1000},
      ExchangeCommand{"b", holder, 1, true, {}, 0, 100, 50},
      ExchangeCommand{"b", holder, 2, false, {{{1, 2}, 30}}, 10, 0, 0},
      ClaimCommand{{3, 4}, {5, 6}, "b", 7, 8, holder},
      FinishCommand{{3, 4}, 8, 201, "body"},
      ClaimCommand{{3, 5}, {5, 6}, "b", 7, 8, holder},
      DoubtCommand{{3, 5}, 8},
      ClaimCommand{{3, 6}, {5, 6}, "b", 7, 8, holder},
      AbandonCommand{{3, 7}, 9, "b"},
      FreezeCommand{holder},
      ReclaimCommand{holder, Millis{2500}},
  };
}

inline ShardState MakeFullState() {
  ShardState state;
  state.shard = 3;
  state.write_nonce = 77;
  for (const auto& it : MakeAllCommands()) {
    Apply(state, it, 5);
  }
  state.segments = {"ledger/3/0-0"};
  return state;
}

}  // namespace crocuslatch

#endif  // TESTS_FIXTURE_SHARD_H_
