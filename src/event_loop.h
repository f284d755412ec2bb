#ifndef SRC_EVENT_LOOP_H_
#define SRC_EVENT_LOOP_H_

#include <functional>

#include "src/types.h"

// Defines the interface through which modules schedule tasks and read the time.

namespace crocuslatch {

using Task = std::function<void()>;

// Functions of one thread's event loop. Tests replace them by a fake clock.
struct EventLoop {
  // Runs the task on the loop's thread; may be called from any thread.
  std::function<void(Task)> post;
  // Runs the task on the loop's thread after the delay; any thread.
  std::function<void(Millis, Task)> after;
  // Monotonic time; only differences are meaningful.
  std::function<Millis()> now;
};

// Returns the event loop of the calling thread, which must run a Qt event loop.
EventLoop MakeQtEventLoop();

}  // namespace crocuslatch

#endif  // SRC_EVENT_LOOP_H_
