#ifndef SRC_HOST_LIST_H_
#define SRC_HOST_LIST_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "io/http_client.h"
#include "src/event_loop.h"

// Defines the platform's list of hosts and the poller that reads it.

namespace crocuslatch {

enum class HostKind : std::uint8_t { kRouter, kBackend };
enum class HostState : std::uint8_t { kLive, kLeaving };

struct HostEntry {
  std::string name;
  HostKind kind = HostKind::kRouter;
  // "<IP number>:<port>"; of a router, its peer listener.
  std::string address;
  std::string failure_domain;
  HostState state = HostState::kLive;
  auto operator<=>(const HostEntry&) const = default;
};

// Nothing if the text is not a list of hosts, or if the list is empty: the
// platform lists at least the host that asks.
std::optional<std::vector<HostEntry>> ParseHostList(std::string_view json);

struct HostListOptions {
  // "http://<IP number>:<port>"
  std::string base_url;
  Millis period{1000};
  Millis timeout{1000};
};

// Asks for the list on the loop's thread until destroyed, which must come
// before the client's end. Logs the first failure of a series.
class HostListPoller {
 public:
  // Called with each list that was read.
  using ListCallback = std::function<void(const std::vector<HostEntry>&)>;

  HostListPoller(const HostListOptions& options,
                 const EventLoop& loop,
                 HttpClient* client,
                 ListCallback on_list);
  ~HostListPoller();
  HostListPoller(const HostListPoller&) = delete;
  HostListPoller& operator=(const HostListPoller&) = delete;

  // The last list that was read; empty before the first one.
  const std::vector<HostEntry>& latest() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace crocuslatch

#endif  // SRC_HOST_LIST_H_
