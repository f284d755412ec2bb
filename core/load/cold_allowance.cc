#include "core/load/cold_allowance.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace crocuslatch {
namespace {

constexpr Millis kBoundWindow{1000};

std::uint64_t OwnerRank(std::string_view server_id, std::string_view host) {
  return StableHash(host, StableHash(server_id));
}

}  // namespace

ColdAllowance::ColdAllowance(ColdAllowanceOptions options, Millis started_at)
    : options_(std::move(options)), started_at_(started_at) {}

void ColdAllowance::SetServices(
    const std::map<std::string, ColdService>& services) {
  services_.clear();
  for (const auto& [name, service] : services) {
    if (service.requests_per_s > 0) {
      services_.emplace(name, service);
    }
  }
}

void ColdAllowance::SetHosts(std::vector<std::string> other_hosts,
                             bool is_new_host) {
  std::ranges::sort(other_hosts);
  is_new_host_ = is_new_host;
  if (knows_hosts_ && other_hosts == other_hosts_) {
    return;
  }
  knows_hosts_ = true;
  other_hosts_ = std::move(other_hosts);
  ++host_generation_;
}

void ColdAllowance::SetServers(const std::vector<BackendEntry>& entries,
                               const SnapshotTimes& times) {
  std::map<std::string, Server> next;
  for (const auto& it : entries) {
    const auto found = servers_.find(it.id);
    const bool is_same =
        found != servers_.end() &&
        found->second.entry.start_time_ms == it.start_time_ms &&
        found->second.entry.address == it.address;
    Server server;
    if (is_same) {
      server = std::move(found->second);
    } else {
      // The time of the last request is kept: the start of the new incarnation
      // may have been noticed late.
      if (found != servers_.end()) {
        server.sent_at = found->second.sent_at;
        server.was_cold = found->second.was_cold;
      }
      if (has_snapshot_ || it.start_time_ms) {
        server.first_seen = times.now;
      }
    }
    const bool is_new_version =
        !is_same || server.entry.store_version != it.store_version;
    server.entry = it;
    if (is_new_version) {
      // The entry states the time left when it was written, so that this end is
      // late rather than early.
      const Millis until = times.now + it.warmup_time;
      if (!IsAfterObservation(server, times.read_at)) {
        server.stated_until = it.warmup_time > Millis{0}
                                  ? std::max(server.stated_until, until)
                                  : server.stated_until;
      } else if (it.warmup_time > Millis{0}) {
        server.stated_until = until;
      } else {
        server.stated_until = std::min(server.stated_until, times.now);
      }
    } else {
      IsAfterObservation(server, times.read_at);
    }
    UpdatePresumption(server, times);
    next.emplace(it.id, std::move(server));
  }
  servers_ = std::move(next);
  has_snapshot_ = true;
}

bool ColdAllowance::IsAfterObservation(Server& server, Millis read_at) {
  if (!server.observed_at) {
    return true;
  }
  if (read_at < *server.observed_at) {
    return false;
  }
  if (!server.version_after_observation) {
    server.version_after_observation = server.entry.store_version;
    return false;
  }
  if (server.version_after_observation == server.entry.store_version) {
    return false;
  }
  server.observed_at.reset();
  server.version_after_observation.reset();
  server.is_unreachable = false;
  return true;
}

void ColdAllowance::UpdatePresumption(Server& server,
                                      const SnapshotTimes& times) const {
  const auto* service = ServiceOf(server);
  if (service == nullptr || !server.first_seen) {
    return;
  }
  // A wall clock that differs from the server's must not extend the time.
  const Millis latest = *server.first_seen + service->cold_start;
  const auto start = server.entry.start_time_ms;
  const Millis by_start =
      start ? times.now + service->cold_start - (times.wall - Millis{*start})
            : latest;
  server.presumed_until = std::min(latest, by_start);
}

void ColdAllowance::OnColdRemaining(const std::string& server_id,
                                    Millis remaining,
                                    Millis now) {
  const auto it = servers_.find(server_id);
  if (it == servers_.end() || remaining < Millis{0}) {
    return;
  }
  Server& server = it->second;
  server.stated_until = remaining > Millis{0}
                            ? now + remaining
                            : std::min(server.stated_until, now);
  server.is_unreachable = false;
  server.observed_at = now;
  server.version_after_observation.reset();
}

void ColdAllowance::OnUnreachable(const std::string& server_id, Millis now) {
  const auto it = servers_.find(server_id);
  if (it != servers_.end()) {
    it->second.is_unreachable = true;
    it->second.observed_at = now;
    it->second.version_after_observation.reset();
  }
}

const ColdService* ColdAllowance::ServiceOf(const Server& server) const {
  const auto it = services_.find(server.entry.service);
  return it == services_.end() ? nullptr : &it->second;
}

ColdAllowance::Division ColdAllowance::Divide(
    const ColdService& service) const {
  const auto bound = static_cast<std::size_t>(
      service.requests_per_s * options_.excess + options_.slack);
  if (bound == 0) {
    return {};
  }
  // Many owners with one request each per second rather than few with several:
  // more hosts can use the server, and one host that is late or restarts can
  // exceed its part by one request only.
  const std::size_t shared = std::max<std::size_t>(1, bound / 2);
  const std::size_t owners = std::min(shared, other_hosts_.size() + 1);
  const auto each = static_cast<Millis::rep>(shared / owners);
  // Any second holds at most `each` of a host's requests, although each may
  // arrive later than the next one's delay suggests.
  const Millis span = kBoundWindow + options_.max_delay_difference;
  return {owners, (span + Millis{each - 1}) / each};
}

bool ColdAllowance::IsCold(const Server& server, Millis now) const {
  return ServiceOf(server) != nullptr &&
         (server.is_unreachable || now < server.stated_until ||
          now < server.presumed_until);
}

bool ColdAllowance::IsInRamp(const Server& server, Millis now) const {
  return ServiceOf(server) != nullptr &&
         now - std::max(server.stated_until, server.presumed_until) <
             options_.ramp;
}

// The hosts begin one after another when the cold time has ended: otherwise all
// would choose the idle server at the same moment. Does not apply if the
// service has no other server, since a request must not be refused for it.
bool ColdAllowance::HasOwnTurn(const Server& server, Millis now) const {
  if (!IsInRamp(server, now)) {
    return true;
  }
  constexpr std::uint64_t kSteps = 1000;
  const auto turn = OwnerRank(server.entry.id, options_.own_host) % kSteps;
  const Millis since_end =
      now - std::max(server.stated_until, server.presumed_until);
  if (static_cast<double>(turn) / kSteps <
      static_cast<double>(since_end.count()) /
          static_cast<double>(options_.ramp.count())) {
    return true;
  }
  return std::ranges::none_of(servers_, [&](const auto& it) {
    const auto& other = it.second;
    return other.entry.service == server.entry.service &&
           !other.entry.is_draining && !IsCold(other, now) &&
           !IsInRamp(other, now);
  });
}

std::size_t ColdAllowance::Rank(Server& server) {
  if (server.rank_generation != host_generation_) {
    const auto own = OwnerRank(server.entry.id, options_.own_host);
    server.rank = static_cast<std::size_t>(std::ranges::count_if(
        other_hosts_,
        [&](const auto& it) { return OwnerRank(server.entry.id, it) > own; }));
    server.rank_generation = host_generation_;
  }
  return server.rank;
}

bool ColdAllowance::IsOwner(Server& server) {
  return knows_hosts_ && Rank(server) < Divide(*ServiceOf(server)).owners;
}

Millis ColdAllowance::NextSend(const Server& server) const {
  const Millis spacing = Divide(*ServiceOf(server)).spacing;
  // The previous process on this host may have sent until it ended.
  const Millis first =
      started_at_ +
      (is_new_host_ ? std::max(options_.new_host_delay, spacing) : spacing);
  return server.sent_at ? std::max(first, *server.sent_at + spacing) : first;
}

bool ColdAllowance::MaySend(const std::string& server_id, Millis now) {
  const auto it = servers_.find(server_id);
  if (it == servers_.end()) {
    return true;
  }
  auto& server = it->second;
  if (!IsCold(server, now)) {
    return HasOwnTurn(server, now);
  }
  return IsOwner(server) && now >= NextSend(server);
}

void ColdAllowance::OnDispatch(const std::string& server_id, Millis now) {
  const auto it = servers_.find(server_id);
  if (it != servers_.end()) {
    it->second.sent_at = now;
  }
}

std::optional<Millis> ColdAllowance::RetryAfter(std::string_view service,
                                                Millis now,
                                                double random) {
  std::optional<Millis> shortest;
  Millis spacing{0};
  for (auto& [id, server] : servers_) {
    if (server.entry.service != service || server.entry.is_draining ||
        !IsCold(server, now)) {
      continue;
    }
    spacing = Divide(*ServiceOf(server)).spacing;
    // Another host owns the server: the caller's next connection may reach it.
    const Millis wait = IsOwner(server)
                            ? std::max(Millis{0}, NextSend(server) - now)
                            : Millis{0};
    shortest = std::min(shortest.value_or(wait), wait);
  }
  if (!shortest) {
    return std::nullopt;
  }
  const auto spread =
      static_cast<Millis::rep>(random * static_cast<double>(spacing.count()));
  return *shortest + Millis{1 + spread};
}

std::vector<ColdChange> ColdAllowance::TakeChanges(Millis now) {
  std::vector<ColdChange> changes;
  for (auto& [id, server] : servers_) {
    const bool is_cold = IsCold(server, now);
    if (is_cold == std::exchange(server.was_cold, is_cold)) {
      continue;
    }
    changes.push_back(
        {.server_id = id,
         .is_cold = is_cold,
         .reason = !is_cold                       ? std::string_view()
                   : server.is_unreachable        ? "unreachable"
                   : now >= server.presumed_until ? "stated"
                                                  : "new_incarnation",
         .cold_for = std::max({Millis{0}, server.stated_until - now,
                               server.presumed_until - now}),
         .is_owner = is_cold && IsOwner(server)});
  }
  return changes;
}

}  // namespace crocuslatch
