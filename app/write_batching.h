#ifndef APP_WRITE_BATCHING_H_
#define APP_WRITE_BATCHING_H_

#include <cstddef>

#include "src/event_loop.h"
#include "src/store.h"

// Defines a store port that gathers writes of different keys into
// transactions.
//
// Load pattern: one host writes the ledger shards and the stamps of many hosts.
// Each write alone would be a call of its own, and the platform counts calls.

namespace crocuslatch {

struct WriteBatchingOptions {
  // Longest time that a write waits for others. Callers' shortest target is
  // 500 ms, of which a reservation waits for one write at most.
  Millis window{25};
  // The platform takes 32 entries in a transaction, conditions and writes
  // together (docs/questions.md).
  std::size_t max_writes = 16;
  // Total size of the values: a tenth of a second of the slowest link (10
  // Mbit/s).
  std::size_t max_bytes = 128 * 1024;
};

// `own.put` becomes part of a transaction; all other calls are passed on. If
// a transaction loses one of its conditions, the other writes are sent again
// without it. `own` must have `put_all`.
Store BatchWrites(const WriteBatchingOptions& options,
                  const Store& own,
                  const EventLoop& loop);

}  // namespace crocuslatch

#endif  // APP_WRITE_BATCHING_H_
