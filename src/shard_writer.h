#ifndef SRC_SHARD_WRITER_H_
#define SRC_SHARD_WRITER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "src/event_loop.h"
#include "src/ledger_client.h"
#include "src/shard_state.h"
#include "src/store.h"

// Defines the writer that applies ledger commands to the shard values in the
// platform store by compare-and-swap. One write carries many commands.

namespace crocuslatch {

struct ShardWriterOptions {
  // Longest time that exchanges for which no request waits are held back, so
  // that one write carries many budgets. Limits each shard to a few writes per
  // second.
  Millis max_batch_delay{200};
  // While other hosts write a shard, its cached state is refreshed by a cheap
  // read before a write if it is older than this, since a conflict costs a
  // whole write. 0 means never.
  Millis refresh_age{0};
  // Time after a conflict during which other hosts are assumed to write the
  // shard.
  Millis contention_window{10000};
  // The backoff after a conflict or a failed call doubles from the first value
  // up to the second.
  Millis retry_min{5};
  Millis retry_max{500};
  Millis bill_retention{std::chrono::hours(1)};
  Millis claim_retention{std::chrono::hours(24)};
  // Maximum number of bills, and of finished claims, in a shard value. Above it
  // they are moved to a segment.
  std::size_t max_recent_entries = 512;
  // Maximum total size of recorded response bodies in a shard value and in a
  // segment. Stored values are limited to 1 MB.
  std::size_t max_recent_bytes = std::size_t{256} * 1024;
  // The cached state of a shard is dropped after this time without commands.
  Millis cache_idle_time{std::chrono::minutes(10)};
  // Wall-clock milliseconds since 1970.
  std::function<std::int64_t()> wall_ms;
  // 64 random bits, for write nonces and jitter.
  std::function<std::uint64_t()> random;
};

// Options with the system's clock and random generator.
ShardWriterOptions MakeShardWriterOptions();

// Key of the shard's value in the store.
std::string ShardKey(std::uint32_t shard);

// Makes the function that applies commands to shards. The function and its
// callbacks run on the loop's thread. After the timeout the callback gets
// kUnknown, and the commands may still take effect.
//
// A claim is answered from the cache, without a write, if the cache has a
// durable record of another attempt for its key: at once if that record is
// finished, otherwise if the store does not answer soon. The stored record may
// be newer by then. If the returned record is claimed and does not list the
// claim's own attempt in `abandoned_attempts`, that attempt has to be abandoned
// in case another copy of the command arrives later (see MustAbandonClaim).
ApplyToShard MakeShardWriter(ShardWriterOptions options,
                             Store store,
                             EventLoop loop);

// Reads the stored state of a shard without its segments. The status is kOk,
// also for a shard that was never written, or kUnknown.
void ReadShard(const Store& store,
               std::uint32_t shard,
               std::function<void(StoreStatus, const ShardState&)> callback);

}  // namespace crocuslatch

#endif  // SRC_SHARD_WRITER_H_
