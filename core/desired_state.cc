#include "core/desired_state.h"

#include <algorithm>
#include <cctype>
#include <numeric>

#include "src/error.h"

namespace crocuslatch {
namespace {

std::string NormalizeHost(std::string_view host) {
  host = host.substr(0, host.find(':'));
  std::string lower(host);
  std::ranges::transform(lower, lower.begin(), [](unsigned char it) {
    return static_cast<char>(std::tolower(it));
  });
  return lower;
}

template <typename T>
const T* FindByName(const std::vector<T>& items, std::string_view name) {
  const auto it = std::ranges::find(items, name, &T::name);
  return it == items.end() ? nullptr : &*it;
}

}  // namespace

Millis StreamPatience(const RouteSpec& route, Millis min_patience) {
  constexpr int kTargets = 4;
  constexpr int kGaps = 8;
  return std::max({min_patience, kTargets * route.target_latency,
                   kGaps * route.max_event_gap});
}

std::string_view ToString(RouteKind kind) {
  switch (kind) {
    case RouteKind::kSafe:
      return "safe";
    case RouteKind::kUnsafe:
      return "unsafe";
    case RouteKind::kStreaming:
      return "streaming";
  }
  return "unsafe";
}

RoutingTable::RoutingTable(DesiredState state) : state_(std::move(state)) {
  for (const auto& it : state_.routes) {
    routes_[NormalizeHost(it.host)].push_back(&it);
  }
  for (auto& [host, routes] : routes_) {
    std::ranges::stable_sort(routes, std::greater(), [](const RouteSpec* it) {
      return it->prefix.size();
    });
  }
  for (const auto& account : state_.client_accounts) {
    for (const auto& key : account.api_keys) {
      accounts_by_key_.emplace(key, &account);
    }
  }
}

const RouteSpec* RoutingTable::FindRoute(std::string_view host,
                                         std::string_view path) const {
  const auto routes_of_host = routes_.find(NormalizeHost(host));
  if (routes_of_host == routes_.end()) {
    return nullptr;
  }
  const auto it = std::ranges::find_if(
      routes_of_host->second,
      [&](const RouteSpec* route) { return path.starts_with(route->prefix); });
  return it == routes_of_host->second.end() ? nullptr : *it;
}

const ClientAccountSpec* RoutingTable::FindAccount(
    std::string_view api_key) const {
  const auto it = accounts_by_key_.find(api_key);
  return it == accounts_by_key_.end() ? nullptr : it->second;
}

const ClientAccountSpec* RoutingTable::FindAccountByName(
    std::string_view name) const {
  return FindByName(state_.client_accounts, name);
}

const ServiceSpec* RoutingTable::FindService(std::string_view name) const {
  return FindByName(state_.services, name);
}

const std::string& ChooseService(const RouteSpec& route, double point) {
  CROCUSLATCH_ASSERT(!route.shares.empty());
  const double total = std::accumulate(
      route.shares.begin(), route.shares.end(), 0.0,
      [](double sum, const auto& it) { return sum + it.weight; });
  double remaining = point * total;
  for (const auto& it : route.shares) {
    remaining -= it.weight;
    if (remaining < 0) {
      return it.service;
    }
  }
  return route.shares.back().service;
}

}  // namespace crocuslatch
