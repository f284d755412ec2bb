#ifndef APP_FRONT_SETTINGS_H_
#define APP_FRONT_SETTINGS_H_

#include <string>
#include <string_view>

#include "src/settings.h"

// Defines the settings of a daemon that forwards callers' requests by the
// operators' desired state (crocuslatchd front).

namespace crocuslatch {

struct FrontSettings {
  std::string host_name;
  std::string failure_domain;
  // "<IP number>:<port>" each.
  std::string caller_address;
  std::string readiness_address;
  std::string metrics_address;
  std::string peer_address;
  std::string store_address;
  // From SIGTERM to SIGKILL.
  Millis grace{8000};
  // A leaving backend server gets no request later than this after the
  // registry said so.
  Millis drain{2000};
  // Fleet's limit on repeated dispatches to a service: ratio x requests +
  // slack in any window.
  double retry_ratio = 0.2;
  Millis retry_window{10000};
  double retry_slack = 0;
  // Of the host's own link; 0 if it is not known.
  double link_mbps = 0;
  bool operator==(const FrontSettings&) const = default;
};

// Throws SettingsError with every problem found. Keys that are not known are
// ignored, since the platform may add some.
FrontSettings ParseFrontSettings(std::string_view toml);

FrontSettings LoadFrontSettings(const std::string& path);

}  // namespace crocuslatch

#endif  // APP_FRONT_SETTINGS_H_
