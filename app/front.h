#ifndef APP_FRONT_H_
#define APP_FRONT_H_

#include <functional>
#include <memory>
#include <string>

#include "app/front_settings.h"

// Defines the daemon that forwards callers' requests by the operators' desired
// state: wires the modules by settings.

namespace crocuslatch {

// Belongs to the thread that made it, which must run an event loop.
class Front {
 public:
  // Listens at once. Throws UserError "listen_failed".
  explicit Front(const FrontSettings& settings);
  ~Front();
  Front(const Front&) = delete;
  Front& operator=(const Front&) = delete;

  // Reads the settings again. Addresses take effect at the next start only.
  void Reload(const std::string& path);

  // Planned stop; `stopped` is called once nothing is in flight.
  void Stop(std::function<void()> stopped);

 private:
  struct Core;
  std::shared_ptr<Core> core_;
};

}  // namespace crocuslatch

#endif  // APP_FRONT_H_
