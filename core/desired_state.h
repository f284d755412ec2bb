#ifndef CORE_DESIRED_STATE_H_
#define CORE_DESIRED_STATE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/types.h"

// Defines the configuration that operators set for the routers (routes,
// services, client accounts and limits) and the lookups that requests need.

namespace crocuslatch {

enum class RouteKind {
  // May be executed any number of times.
  kSafe,
  // Executed at most once for each attempt of the caller.
  kUnsafe,
  // A stream of events; executed at most once unless it is resumable.
  kStreaming,
};

std::string_view ToString(RouteKind kind);

// Sends a share of a route's requests, proportional to `weight`, to a service.
struct ServiceShare {
  std::string service;
  double weight = 1;
  bool operator==(const ServiceShare&) const = default;
};

struct RouteSpec {
  std::string name;
  std::string host;
  // Path prefix; begins and ends with a slash.
  std::string prefix;
  RouteKind kind = RouteKind::kUnsafe;
  // Maximum time to answer a request.
  Millis timeout{0};
  // Latency target for the response, or for the first event of a stream.
  Millis target_latency{0};
  // 0 is the highest priority.
  int priority = 0;
  std::vector<ServiceShare> shares;
  // Maximum number of backend servers that one attempt of a caller may be sent
  // to.
  int max_attempts = 1;
  // No API key is required.
  bool is_public = false;
  // Requests carry token counts and the parts of their prompts.
  bool has_prompts = false;
  // A broken stream can be continued after its last event.
  bool is_resumable = false;
  // Latency target for the time between two events of a stream.
  Millis max_event_gap{0};
  bool operator==(const RouteSpec&) const = default;
};

// Returns the time without an event after which all callers of a stream have
// given up: four times the latency target, eight times the target for gaps, and
// at least `min_patience`.
Millis StreamPatience(const RouteSpec& route, Millis min_patience);

// Capacity of a model engine; the same for all servers of a service.
struct EngineSpec {
  int slots = 1;
  // Size of the key-value cache.
  Tokens kv_capacity = 0;
  // Maximum number of tokens in one event of a stream.
  Tokens tokens_per_event = 1;
  bool operator==(const EngineSpec&) const = default;
};

struct ServiceSpec {
  std::string name;
  std::string health_path;
  // Maximum number of connections that one server accepts from all routers
  // together.
  int max_connections = 0;
  std::optional<EngineSpec> engine;
  // Time after its start in which a server is cold, and the requests per second
  // from all routers together that it tolerates meanwhile. 0 means no limit.
  Millis cold_start{0};
  double cold_requests_per_s = 0;
  bool operator==(const ServiceSpec&) const = default;
};

struct ClientAccountSpec {
  std::string name;
  std::vector<std::string> api_keys;
  // Takes precedence over the route's priority.
  std::optional<int> priority;
  // Total number of tokens that the account may use; nullopt means no limit.
  std::optional<Tokens> prepaid;
  bool operator==(const ClientAccountSpec&) const = default;
};

// Limits on the size and duration of callers' requests.
struct CallerLimits {
  std::size_t max_header_bytes = 16 << 10;
  std::size_t max_body_bytes = 4 << 20;
  Millis header_timeout{3000};
  Millis idle_timeout{15000};
  bool operator==(const CallerLimits&) const = default;
};

struct DesiredState {
  std::uint64_t version = 0;
  std::vector<RouteSpec> routes;
  std::vector<ServiceSpec> services;
  std::vector<ClientAccountSpec> client_accounts;
  // If false, every route is public.
  bool requires_api_keys = false;
  CallerLimits limits;
  bool operator==(const DesiredState&) const = default;
};

// One version of the desired state with lookup tables. Immutable.
class RoutingTable {
 public:
  explicit RoutingTable(DesiredState state);

  const DesiredState& state() const { return state_; }
  std::uint64_t version() const { return state_.version; }

  // Returns the host's route with the longest prefix of `path`, or nullptr if
  // there is none. `host` may include a port.
  const RouteSpec* FindRoute(std::string_view host,
                             std::string_view path) const;
  // These return nullptr if there is no match.
  const ClientAccountSpec* FindAccount(std::string_view api_key) const;
  const ClientAccountSpec* FindAccountByName(std::string_view name) const;
  const ServiceSpec* FindService(std::string_view name) const;

 private:
  DesiredState state_;
  // Routes by lower-case host name, longest prefix first.
  std::map<std::string, std::vector<const RouteSpec*>, std::less<>> routes_;
  std::map<std::string_view, const ClientAccountSpec*> accounts_by_key_;
};

using RoutingTablePointer = std::shared_ptr<const RoutingTable>;

// Chooses one of the route's services by weight; `point` is a random number,
// uniform in [0, 1).
const std::string& ChooseService(const RouteSpec& route, double point);

}  // namespace crocuslatch

#endif  // CORE_DESIRED_STATE_H_
