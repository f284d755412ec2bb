#ifndef SRC_SETTINGS_H_
#define SRC_SETTINGS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "src/document.h"
#include "src/error.h"
#include "src/types.h"

// Defines the settings of one daemon, which it reads from a TOML file when it
// starts. examples/crocuslatchd.toml documents every key.

namespace crocuslatch {

struct ListenerSettings {
  // IPv4 or IPv6 address.
  std::string address = "127.0.0.1";
  // 0 selects any free port.
  std::uint16_t port = 0;
  bool operator==(const ListenerSettings&) const = default;
};

// A router that is contacted when the host list is unreachable.
struct StaticPeer {
  std::string host;
  // "<IP address>:<port>" of its peer listener.
  std::string address;
  bool operator==(const StaticPeer&) const = default;
};

// Polling periods and timeouts.
struct PeriodSettings {
  Millis config_head{2000};
  Millis heartbeat{1000};
  Millis host_list{1000};
  Millis load_report{1000};
  // Timeout of store calls.
  Millis store_timeout{1000};
  // Timeout of requests to peers.
  Millis peer_timeout{1000};
  bool operator==(const PeriodSettings&) const = default;
};

struct Settings {
  std::string host_name;
  std::string failure_domain;
  ListenerSettings caller;
  ListenerSettings admin;
  ListenerSettings peer;
  std::string admin_token;
  // Shared by all routers of the fleet, at least 16 bytes.
  std::string fleet_secret;
  // Base URLs, "http://<IP address>:<port>"; the paths of the platform's
  // protocol are appended.
  std::string store_url;
  std::string host_list_url;
  std::vector<StaticPeer> peers;
  std::uint32_t worker_threads = 2;
  PeriodSettings periods;
  bool operator==(const Settings&) const = default;
};

// All problems of rejected settings; what() lists them, one per line.
class SettingsError : public UserError {
 public:
  explicit SettingsError(std::vector<DocumentProblem> problems);
  const std::vector<DocumentProblem>& problems() const { return problems_; }

 private:
  std::vector<DocumentProblem> problems_;
};

// Parses and checks all settings. Files named by `*_file` keys are read.
// Throws SettingsError "settings_rejected" with every problem found.
Settings ParseSettings(std::string_view toml);

// Returns the content of the file. Throws SettingsError.
std::string ReadSettingsFile(const std::string& path);

// Reads and parses the file. Throws SettingsError.
Settings LoadSettings(const std::string& path);

}  // namespace crocuslatch

#endif  // SRC_SETTINGS_H_
