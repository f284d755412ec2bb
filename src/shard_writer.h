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

// Defines the writer that applies ledger commands to shard values in the
// platform store by compare-and-swap, many commands to one write.

namespace crocuslatch {

struct ShardWriterOptions {
  // Longest wait of exchanges for which no request waits; one write then
  // carries many budgets. Keeps each shard at a few writes a second.
  Millis max_batch_delay{200};
  // While other hosts write a shard, its cached state is refreshed by a cheap
  // read before a write if it is older than this; a conflict costs a whole
  // write. 0 means never.
  Millis refresh_age{0};
  // How long a conflict shows that others write the shard.
  Millis contention_window{10000};
  // Backoff after a conflict or a failed call doubles between the two.
  Millis retry_min{5};
  Millis retry_max{500};
  Millis bill_retention{std::chrono::hours(1)};
  Millis claim_retention{std::chrono::hours(24)};
  // Finished entries of a kind that a shard value holds before they move to a
  // segment.
  std::size_t max_recent_entries = 512;
  // Total size of recorded answers that a shard value holds, and of one
  // segment. Stored values are limited to 1 MB.
  std::size_t max_recent_bytes = std::size_t{256} * 1024;
  // The cached state of a shard without commands is dropped after this time.
  Millis cache_idle_time{std::chrono::minutes(10)};
  // Wall-clock milliseconds since 1970.
  std::function<std::int64_t()> wall_ms;
  // Random bits for writer nonces and jitter.
  std::function<std::uint64_t()> random;
};

// The options with the system's clock and random generator.
ShardWriterOptions MakeShardWriterOptions();

// Key of the shard's value in the store.
std::string ShardKey(std::uint32_t shard);

// Makes the function that applies commands to shards. It and its callbacks
// run on the loop's thread. After the timeout the callback gets kUnknown, and
// the commands may still take effect.
//
// A claim whose key has a durable record of another attempt in the cache is
// answered without a write: at once if the record is finished, otherwise if
// the store does not answer soon. The record may have moved on in the store.
// The claim's own attempt is then missing in `abandoned_attempts` of a record
// that is claimed, and has to be abandoned if another copy of the command may
// arrive later.
ApplyToShard MakeShardWriter(ShardWriterOptions options,
                             Store store,
                             EventLoop loop);

// Reads the present state of a shard without its segments. The status is
// kOk, also for a shard that was never written, or kUnknown.
void ReadShard(const Store& store,
               std::uint32_t shard,
               std::function<void(StoreStatus, const ShardState&)> callback);

}  // namespace crocuslatch

#endif  // SRC_SHARD_WRITER_H_
