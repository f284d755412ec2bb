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
  // "<IP address>:<port>"; of a router, its peer listener.
  std::string address;
  std::string failure_domain;
  HostState state = HostState::kLive;
  auto operator<=>(const HostEntry&) const = default;
};

// Parses the platform's JSON list. Returns nullopt if the text is not a valid
// list or the list is empty, because the platform lists at least the host that
// asks.
std::optional<std::vector<HostEntry>> ParseHostList(std::string_view json);

struct HostListOptions {
  // "http://<IP address>:<port>"
  std::string base_url;
  // Time between the end of one poll and the start of the next.
  Millis period{1000};
  Millis timeout{1000};
};

// Polls the host list on the loop's thread until destroyed. `client` must
// outlive the poller. Logs the first of consecutive failures.
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

  // The list that was read last; empty before the first one.
  const std::vector<HostEntry>& latest() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace crocuslatch

#endif  // SRC_HOST_LIST_H_
