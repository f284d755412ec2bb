#ifndef SRC_ROUTER_H_
#define SRC_ROUTER_H_

#include <functional>
#include <memory>

#include "src/settings.h"

// Defines the router, which creates the modules of one daemon and connects them
// according to its settings.

namespace crocuslatch {

// Use only on the thread that created it, which must run a Qt event loop. The
// peer and administration listeners open at once. The callers' listener opens
// when the first configuration document is in force.
class Router {
 public:
  // Throws UserError "listen_failed". `on_failed` is called if the callers'
  // listener cannot be opened later.
  Router(const Settings& settings, std::function<void()> on_failed);
  ~Router();
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  // Planned stop: refuses new requests, waits for requests in flight, settles
  // and returns all grants, then calls `stopped`. Repeated calls do nothing.
  void Stop(const std::function<void()>& stopped);

 private:
  struct Core;
  std::shared_ptr<Core> core_;
};

}  // namespace crocuslatch

#endif  // SRC_ROUTER_H_
