#ifndef APP_EVACUATION_FOLLOWER_H_
#define APP_EVACUATION_FOLLOWER_H_

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "src/event_loop.h"
#include "src/store.h"

// Defines the follower of the keys by which operators evacuate failure domains.
// While the store is unavailable, the last known set holds.

namespace crocuslatch {

struct EvacuationFollowerOptions {
  // Key prefix; the rest of a key is the name of the failure domain.
  std::string prefix;
  // Duration of one watch; see core/registry_timing.h.
  Millis watch_duration{2000};
  // Delay before a failed call is retried. It doubles with each further failure
  // up to the limit.
  Millis retry_delay{200};
  Millis max_retry_delay{1000};
};

class EvacuationFollower {
 public:
  using OnDomains = std::function<void(const std::set<std::string>&)>;

  // `store` must have `read_all` and `watch`. `on_domains` is called after the
  // first read and after each change.
  EvacuationFollower(EvacuationFollowerOptions options,
                     Store store,
                     EventLoop loop,
                     OnDomains on_domains);
  ~EvacuationFollower();

  void Start();
  // False until the keys have been read for the first time.
  bool is_known() const;

 private:
  struct Core;
  std::shared_ptr<Core> core_;
};

}  // namespace crocuslatch

#endif  // APP_EVACUATION_FOLLOWER_H_
