#ifndef APP_WRITE_BATCHING_H_
#define APP_WRITE_BATCHING_H_

#include <cstddef>
#include <string>

#include "src/event_loop.h"
#include "src/store.h"

// Defines a store that combines writes of different keys into transactions.
//
// Load pattern: one host writes the ledger shards and the stamps of many hosts.
// The platform counts calls, and without batching each write would be a call of
// its own.

namespace crocuslatch {

struct WriteBatchingOptions {
  // Longest time that a write waits for others to join its transaction. The
  // callers' shortest latency target is 500 ms, within which a reservation
  // waits for at most one write.
  Millis window{25};
  // Writes of keys with this prefix, for which no request waits, may wait for
  // others for the longer window; empty for none.
  std::string deferrable_prefix;
  Millis deferrable_window{200};
  // Limit on writes per transaction. The platform accepts 32 entries,
  // conditions and writes together (docs/questions.md).
  std::size_t max_writes = 16;
  // Limit on the total size of a transaction's values: a tenth of a second on
  // the slowest link (10 Mbit/s).
  std::size_t max_bytes = 128 * 1024;
};

// Returns `store` with `put` replaced: its writes are sent in transactions. If
// a condition of a transaction does not hold, that write fails, and the others
// are sent again without it. `store` must have `put_all`.
Store BatchWrites(const WriteBatchingOptions& options,
                  const Store& store,
                  const EventLoop& loop);

}  // namespace crocuslatch

#endif  // APP_WRITE_BATCHING_H_
