#ifndef APP_SHARED_WATCH_H_
#define APP_SHARED_WATCH_H_

#include <cstdint>
#include <memory>
#include <string>

#include "src/event_loop.h"
#include "src/store.h"

// Defines a watch of the store that many hosts share.
//
// Load pattern: every host of a fleet watches the same key, and each waiting
// watch is a call. One host watches for the others, so that the number of calls
// does not grow with the fleet.

namespace crocuslatch {

struct SharedWatchOptions {
  // Least duration of one watch of the store; it lasts as long as the longest
  // wait of those who wait when it begins.
  Millis wait{1000};
  // Time beyond its duration after which a watch of the store counts as failed.
  // Its connection may have gone silent, and until it ends nobody would learn
  // of a change.
  Millis overdue_time{300};
};

class SharedWatch {
 public:
  // `store` must have `watch`.
  SharedWatch(SharedWatchOptions options, Store store, EventLoop loop);
  ~SharedWatch();

  // Passes the newest event of each key under `prefix` after the revision
  // `after` as soon as there is one, and no event after `wait`; in that case
  // `staleness` is the time since the store's last answer. The status is
  // kUnknown if the store does not answer in time. A caller whose revision is
  // older than the shared watch gets a watch of its own.
  void Watch(const std::string& prefix,
             std::uint64_t after,
             Millis wait,
             const StoreRangeCallback& callback);

 private:
  struct Core;
  std::shared_ptr<Core> core_;
};

}  // namespace crocuslatch

#endif  // APP_SHARED_WATCH_H_
