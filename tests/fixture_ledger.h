#ifndef TESTS_FIXTURE_LEDGER_H_
#define TESTS_FIXTURE_LEDGER_H_

#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "src/shard_codec.h"
#include "src/shard_writer.h"
#include "tests/fake_loop.h"
#include "tests/fake_store.h"

// Defines shard writers over one fake store, for tests of the ledger.

namespace crocuslatch {

struct LedgerFixture {
  FakeLoop loop;
  FakeStore store{loop, 1};
  std::mt19937_64 random{1};

  ShardWriterOptions MakeOptions() {
    ShardWriterOptions options;
    options.wall_ms = [this] { return loop.now().count(); };
    options.random = [this] { return random(); };
    return options;
  }

  ApplyToShard MakeWriter() {
    return MakeShardWriter(MakeOptions(), store.Hooks(), loop.Hooks());
  }

  // Returns the replies to the commands, or nullopt if the result is unknown.
  std::optional<std::vector<ShardReply>> Apply(
      const ApplyToShard& writer,
      std::vector<ShardCommand> commands) {
    bool done = false;
    std::optional<std::vector<ShardReply>> result;
    writer(0, std::move(commands), Millis(1000),
           [&](LedgerStatus status, const std::vector<ShardReply>& replies) {
             done = true;
             if (status == LedgerStatus::kDurable) {
               result = replies;
             }
           });
    loop.RunUntil([&] { return done; }, Millis(2000));
    return result;
  }

  ShardState Stored() { return DecodeShardState(store.Get(ShardKey(0)).value); }
};

}  // namespace crocuslatch

#endif  // TESTS_FIXTURE_LEDGER_H_
