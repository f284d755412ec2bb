#ifndef APP_FRONT_H_
#define APP_FRONT_H_

#include <functional>
#include <memory>
#include <string>

#include "app/front_settings.h"

// Defines the daemon of `crocuslatchd front`, which forwards callers' requests
// as the operators' desired state says. It connects the modules according to
// the settings.

namespace crocuslatch {

// Must be used on the thread that created it, which must run an event loop.
class Front {
 public:
  // Starts to listen. Throws UserError "listen_failed".
  explicit Front(const FrontSettings& settings);
  ~Front();
  Front(const Front&) = delete;
  Front& operator=(const Front&) = delete;

  // Reads the settings file again and reports whether it is valid; changes take
  // effect at the next start.
  void Reload(const std::string& path);

  // Stops gracefully: leaves the rotation, finishes the requests in flight, and
  // returns unused tokens. `stopped` is called at the end.
  void Stop(std::function<void()> stopped);

 private:
  struct Core;
  std::shared_ptr<Core> core_;
};

}  // namespace crocuslatch

#endif  // APP_FRONT_H_
