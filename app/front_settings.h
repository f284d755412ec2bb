#ifndef APP_FRONT_SETTINGS_H_
#define APP_FRONT_SETTINGS_H_

#include <string>
#include <string_view>

#include "src/settings.h"

// Defines the settings of a daemon that forwards callers' requests as the
// operators' desired state says (crocuslatchd front).

namespace crocuslatch {

struct FrontSettings {
  std::string host_name;
  std::string failure_domain;
  // Addresses are "<IP address>:<port>".
  std::string caller_address;
  std::string readiness_address;
  std::string metrics_address;
  std::string peer_address;
  std::string store_address;
  // Time from SIGTERM to SIGKILL.
  Millis grace{8000};
  // A draining backend server gets no new request later than this after it is
  // registered as draining.
  Millis drain{2000};
  // A new version of the desired state is in force on every host later than
  // this after it was written.
  Millis config_apply{2000};
  // The fleet's limit on retries to a service in any window: ratio * requests +
  // slack.
  double retry_ratio = 0.2;
  Millis retry_window{10000};
  double retry_slack = 0;
  // Requests that a cold backend server may get in any second, from all hosts
  // together: its tolerated rate * cold_excess + cold_slack.
  double cold_excess = 1;
  double cold_slack = 0;
  // A server of an evacuated failure domain gets no request later than this
  // after the evacuation was written. 0 if evacuations are not in use.
  Millis evacuate{0};
  // Bandwidth of this host's link; 0 if unknown.
  double link_mbps = 0;
  // Memory and file descriptors that this process may use; 0 if unknown.
  double memory_mb = 0;
  double max_descriptors = 0;
  bool operator==(const FrontSettings&) const = default;
};

// Parses the settings. Throws SettingsError with all problems found. Unknown
// keys are ignored, since the platform may add some.
FrontSettings ParseFrontSettings(std::string_view toml);

FrontSettings LoadFrontSettings(const std::string& path);

}  // namespace crocuslatch

#endif  // APP_FRONT_SETTINGS_H_
