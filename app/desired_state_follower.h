#ifndef APP_DESIRED_STATE_FOLLOWER_H_
#define APP_DESIRED_STATE_FOLLOWER_H_

#include <functional>
#include <memory>
#include <string>

#include "core/desired_state.h"
#include "src/event_loop.h"
#include "src/store.h"

// Defines the reader of the operators' desired state: keeps the newest version
// in force and never goes back.

namespace crocuslatch {

struct DesiredStateFollowerOptions {
  // Key of the desired state in the store.
  std::string key;
  // Wait of one watch. Bounds how long a connection that went silent hides a
  // change.
  Millis watch_timeout{2000};
  // Pause after a failed call.
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
  // Null before the first version is known.
  RoutingTablePointer current() const;

 private:
  struct Core;
  std::shared_ptr<Core> core_;
};

}  // namespace crocuslatch

#endif  // APP_DESIRED_STATE_FOLLOWER_H_
