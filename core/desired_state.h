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

// Defines what the operators ask of the routers: routes, services, client
// accounts and limits, and the lookups that requests need.

namespace crocuslatch {

enum class RouteKind {
  // May run any number of times.
  kSafe,
  // Runs at most once for each attempt of the caller.
  kUnsafe,
  // A stream of events; runs at most once unless it can be resumed.
  kStreaming,
};

std::string_view ToString(RouteKind kind);

// A route sends this part of its requests to the service.
struct ServiceShare {
  std::string service;
  double weight = 1;
  bool operator==(const ServiceShare&) const = default;
};

struct RouteSpec {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string prefix;
  RouteKind kind = RouteKind::kUnsafe;
  // Longest time that a request is kept waiting.
  Millis timeout{0};
  // An answer (of a stream: its first event) within this time is on time.
  Millis target_latency{0};
  // 0 is the most urgent.
  int priority = 0;
  std::vector<ServiceShare> shares;
  // Most backend servers that one attempt of a caller may be sent to.
  int max_attempts = 1;
  // Needs no API key.
  bool is_public = false;
  // Requests state the parts of their prompts.
  bool has_prompts = false;
  bool is_resumable = false;
  // Longest pause between events of a stream that is on time.
  Millis longest_pause{0};
  bool operator==(const RouteSpec&) const = default;
};

// A model engine, the same for all servers of a service.
struct EngineSpec {
  int slots = 1;
  Tokens kv_capacity = 0;
  // Most tokens in one event of a stream.
  Tokens tokens_per_event = 1;
  bool operator==(const EngineSpec&) const = default;
};

struct ServiceSpec {
  std::string name;
  std::string health_path;
  // Most connections that one server accepts from all routers together.
  int max_connections = 0;
  std::optional<EngineSpec> engine;
  bool operator==(const ServiceSpec&) const = default;
};

struct ClientAccountSpec {
  std::string name;
  std::vector<std::string> api_keys;
  // Takes precedence over the route's priority.
  std::optional<int> priority;
  // Total that the account may use; nullopt means no limit.
  std::optional<Tokens> prepaid;
  bool operator==(const ClientAccountSpec&) const = default;
};

// What callers may send and how long they may take.
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
  // Without, every route is public.
  bool requires_api_keys = false;
  CallerLimits limits;
  bool operator==(const DesiredState&) const = default;
};

// One version with its lookups. Immutable.
class RoutingTable {
 public:
  explicit RoutingTable(DesiredState state);

  const DesiredState& state() const { return state_; }
  std::uint64_t version() const { return state_.version; }

  // The route of the host with the longest prefix that begins the path;
  // nullptr if there is none. `host` may have a port.
  const RouteSpec* FindRoute(std::string_view host,
                             std::string_view path) const;
  const ClientAccountSpec* FindAccount(std::string_view api_key) const;
  const ClientAccountSpec* FindAccountByName(std::string_view name) const;
  const ServiceSpec* FindService(std::string_view name) const;

 private:
  DesiredState state_;
  // Routes of each host in lower case, longest prefix first.
  std::map<std::string, std::vector<const RouteSpec*>, std::less<>> routes_;
  std::map<std::string_view, const ClientAccountSpec*> accounts_by_key_;
};

using RoutingTablePointer = std::shared_ptr<const RoutingTable>;

// Chooses one of the route's services by weight; `point` is uniform in
// [0, 1).
const std::string& ChooseService(const RouteSpec& route, double point);

}  // namespace crocuslatch

#endif  // CORE_DESIRED_STATE_H_
