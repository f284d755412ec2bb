#ifndef SRC_LOAD_POLLER_H_
#define SRC_LOAD_POLLER_H_

#include <functional>
#include <memory>

#include "io/http_client.h"
#include "src/backend_table.h"
#include "src/event_loop.h"

// Defines the poller of the load reports and cache events of the backend
// servers that this router uses.

namespace crocuslatch {

struct LoadPollerOptions {
  // Each server is asked once in this time.
  Millis period{1000};
  Millis timeout{800};
  // Delay between two calls of `on_capacity`.
  Millis capacity_check_period{50};
};

// Runs on the loop's thread until destroyed. `on_capacity` is called after
// each report and each `capacity_period`, since a server may be due for its
// readmission trial.
class LoadPoller {
 public:
  LoadPoller(LoadPollerOptions options,
             EventLoop loop,
             HttpClient* client,
             std::shared_ptr<BackendTable> table,
             std::function<void()> on_capacity_change);
  ~LoadPoller();
  LoadPoller(const LoadPoller&) = delete;
  LoadPoller& operator=(const LoadPoller&) = delete;

 private:
  struct Core;
  std::shared_ptr<Core> core_;
};

}  // namespace crocuslatch

#endif  // SRC_LOAD_POLLER_H_
