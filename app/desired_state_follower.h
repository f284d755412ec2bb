#ifndef APP_DESIRED_STATE_FOLLOWER_H_
#define APP_DESIRED_STATE_FOLLOWER_H_

#include <functional>
#include <memory>
#include <string>

#include "core/desired_state.h"
#include "src/event_loop.h"
#include "src/store.h"

// Defines the follower of the operators' desired state, which activates the
// newest stored version and never returns to an older one.

namespace crocuslatch {

struct DesiredStateFollowerOptions {
  // Key of the desired state in the store.
  std::string key;
  // Duration of one watch. Limits how long a connection that went silent can
  // hide a change.
  Millis watch_timeout{2000};
  // Delay before a failed call is retried.
  Millis retry_delay{200};
};

class DesiredStateFollower {
 public:
  using Decode = std::function<DesiredState(std::string_view)>;
  using OnActivated = std::function<void(const RoutingTablePointer&)>;

  DesiredStateFollower(DesiredStateFollowerOptions options,
                       Store store,
                       EventLoop loop,
                       Decode decode,
                       OnActivated on_in_force);
  ~DesiredStateFollower();

  void Start();
  // Returns the active routing table, or null until the first version is
  // loaded.
  RoutingTablePointer current() const;

 private:
  struct Core;
  std::shared_ptr<Core> core_;
};

}  // namespace crocuslatch

#endif  // APP_DESIRED_STATE_FOLLOWER_H_
