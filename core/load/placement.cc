#include "core/load/placement.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace crocuslatch {
namespace {

// Rendezvous hash; the server with the highest rank is the session's home.
std::uint64_t HomeRank(std::string_view session, std::string_view server_id) {
  return StableHash(server_id, StableHash(session));
}

// Returns the last prompt part that other requests share, or nullptr.
const PromptPart* SessionPart(const ModelWork& work) {
  return work.parts.size() < 2 ? nullptr : &work.parts[work.parts.size() - 2];
}

Tokens SharedTokens(const ModelWork& work) {
  Tokens sum = 0;
  for (std::size_t i = 0; i + 1 < work.parts.size(); ++i) {
    sum = AddTokens(sum, work.parts[i].tokens);
  }
  return sum;
}

}  // namespace

Placement::Placement(PlacementOptions options, std::string own_failure_domain)
    : options_(options), own_failure_domain_(std::move(own_failure_domain)) {}

void Placement::SetServers(const std::vector<BackendEntry>& entries,
                           Millis now) {
  std::map<std::string, Server> next;
  for (const auto& it : entries) {
    const auto found = servers_.find(it.id);
    Server server;
    const bool is_same =
        found != servers_.end() &&
        found->second.entry.start_time_ms == it.start_time_ms &&
        found->second.entry.address == it.address &&
        found->second.entry.service == it.service;
    if (is_same) {
      server = std::move(found->second);
    }
    server.entry = it;
    server.warmup_until = now + it.warmup_time;
    next.emplace(it.id, std::move(server));
  }
  servers_ = std::move(next);
}

InFlightLoad Placement::SumPeerLoads(const Server& server, Millis now) const {
  InFlightLoad sum;
  for (const auto& [host, peer] : server.peers) {
    if (now - peer.received_at <= options_.peer_load_ttl) {
      sum.requests += peer.load.requests;
      sum.prefill_tokens += peer.load.prefill_tokens;
    }
  }
  return sum;
}

double Placement::LoadMs(const Server& server,
                         bool is_model,
                         Millis now) const {
  const auto peers = SumPeerLoads(server, now);
  double running = server.local.requests + peers.requests;
  double waiting = 0;
  const bool has_peer_loads =
      last_peer_load_ && now - *last_peer_load_ <= options_.peer_load_ttl;
  // The peers' own figures are more recent and precise than the server's
  // report.
  if (server.has_report && !has_peer_loads) {
    const auto age = static_cast<double>((now - server.reported_at).count());
    const auto half_life =
        static_cast<double>(options_.report_half_life.count());
    const double weight = std::exp2(-age / half_life);
    // Load from other hosts only; this host's own dispatches are known exactly.
    const double others =
        std::max(0, server.reported_running - server.in_flight_at_report);
    running += weight * others;
    waiting = weight * server.reported_waiting;
  }
  if (!is_model) {
    return (running + waiting) * options_.ms_per_plain_request /
           std::max(1, server.entry.slots);
  }
  return static_cast<double>(server.local.prefill_tokens +
                             peers.prefill_tokens) /
             options_.prompt_tokens_per_ms +
         running * options_.ms_per_running + waiting * options_.ms_per_waiting;
}

Tokens Placement::CachedTokens(const Server& server,
                               const ModelWork& work,
                               Millis now) const {
  Tokens cached = 0;
  for (const auto& part : work.parts) {
    const auto it = server.parts.find(part.id);
    if (it == server.parts.end() ||
        it->second.last_used + options_.cache_ttl < now) {
      break;
    }
    cached = AddTokens(cached, part.tokens);
  }
  return cached;
}

void Placement::RecordCachedParts(Server& server,
                                  const ModelWork& work,
                                  Millis now) {
  for (std::size_t i = 0; i + 1 < work.parts.size(); ++i) {
    const auto& part = work.parts[i];
    const auto found = server.parts.find(part.id);
    if (found != server.parts.end()) {
      found->second.last_used = now;
      server.lru_parts.splice(server.lru_parts.end(), server.lru_parts,
                              found->second.lru_position);
      continue;
    }
    server.lru_parts.push_back(part.id);
    server.parts.emplace(part.id,
                         CachedPart{now, std::prev(server.lru_parts.end())});
    if (server.parts.size() > options_.max_cached_parts) {
      server.parts.erase(server.lru_parts.front());
      server.lru_parts.pop_front();
    }
  }
}

std::optional<PlacementChoice> Placement::Choose(const PlacementQuery& query) {
  struct Candidate {
    const Server* server = nullptr;
    double cost = 0;
    std::uint64_t rank = 0;
  };
  std::vector<Candidate> candidates;
  const bool is_model = query.work != nullptr;
  const auto* session = is_model ? SessionPart(*query.work) : nullptr;
  const auto collect = [&](bool allow_avoided) {
    for (const auto& [id, server] : servers_) {
      if (server.entry.service != query.service || !IsUsable(server) ||
          (may_place_ && !may_place_(server.entry, query.now)) ||
          (query.tried != nullptr && query.tried->contains(id)) ||
          (!allow_avoided && query.now < server.avoid_until)) {
        continue;
      }
      candidates.push_back(
          {&server, 0, session != nullptr ? HomeRank(session->id, id) : 0});
    }
  };
  collect(false);
  if (candidates.empty()) {
    collect(true);
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  const auto home =
      std::ranges::max_element(candidates, {}, &Candidate::rank)->server;
  for (auto& it : candidates) {
    it.cost = LoadMs(*it.server, is_model, query.now);
    if (is_model) {
      Tokens cached = CachedTokens(*it.server, *query.work, query.now);
      if (session != nullptr && it.server == home) {
        // Other routers also send this session to its home server.
        cached = std::max(cached, SharedTokens(*query.work));
      }
      const Tokens shared = SharedTokens(*query.work);
      const Tokens recomputed = std::max<Tokens>(0, shared - cached);
      const Tokens unshared =
          std::max<Tokens>(0, query.work->prompt_tokens - shared);
      it.cost += (static_cast<double>(unshared) +
                  options_.recompute_factor * static_cast<double>(recomputed)) /
                 options_.prompt_tokens_per_ms;
    }
    if (it.server->entry.failure_domain != own_failure_domain_) {
      it.cost += options_.ms_per_cross_domain;
    }
    if (query.now < it.server->warmup_until) {
      it.cost *= 2;
    }
  }
  const auto& best =
      *std::ranges::min_element(candidates, {}, &Candidate::cost);
  return PlacementChoice{.server_id = best.server->entry.id,
                         .address = best.server->entry.address,
                         .expected_ms = best.cost,
                         .is_home = session != nullptr && best.server == home,
                         .candidates = static_cast<int>(candidates.size())};
}

Placement::DispatchId Placement::Begin(const std::string& server_id,
                                       const ModelWork* work,
                                       Millis now) {
  Dispatch dispatch{.server_id = server_id};
  if (dispatch_observer_.on_begin) {
    dispatch_observer_.on_begin(server_id, now);
  }
  const auto it = servers_.find(server_id);
  if (it != servers_.end()) {
    Server& server = it->second;
    ++server.local.requests;
    if (work != nullptr) {
      dispatch.prefill_tokens = std::clamp<Tokens>(
          work->prompt_tokens - CachedTokens(server, *work, now), 0,
          options_.max_peer_tokens);
      server.local.prefill_tokens += dispatch.prefill_tokens;
      RecordCachedParts(server, *work, now);
    }
    NotifyLoadChange();
  }
  dispatches_.emplace(++last_dispatch_id_, std::move(dispatch));
  return last_dispatch_id_;
}

void Placement::OnFirstByte(DispatchId dispatch_id, Millis /*now*/) {
  const auto found = dispatches_.find(dispatch_id);
  if (found == dispatches_.end()) {
    return;
  }
  const auto it = servers_.find(found->second.server_id);
  const auto tokens = std::exchange(found->second.prefill_tokens, 0);
  if (it != servers_.end()) {
    auto& pending = it->second.local.prefill_tokens;
    pending = std::max<Tokens>(0, pending - tokens);
    NotifyLoadChange();
  }
}

void Placement::End(DispatchId dispatch_id, DispatchResult result, Millis now) {
  OnFirstByte(dispatch_id, now);
  const auto found = dispatches_.find(dispatch_id);
  if (found == dispatches_.end()) {
    return;
  }
  const auto it = servers_.find(found->second.server_id);
  if (result == DispatchResult::kUnreachable &&
      dispatch_observer_.on_unreachable) {
    dispatch_observer_.on_unreachable(found->second.server_id, now);
  }
  dispatches_.erase(found);
  if (it == servers_.end()) {
    return;
  }
  Server& server = it->second;
  server.local.requests = std::max(0, server.local.requests - 1);
  NotifyLoadChange();
  if (result == DispatchResult::kServed) {
    server.failures = 0;
    server.avoidance = Millis{0};
    return;
  }
  const bool is_failure = result == DispatchResult::kFailed ||
                          result == DispatchResult::kUnreachable;
  if (!is_failure) {
    return;
  }
  ++server.failures;
  if (result == DispatchResult::kUnreachable ||
      server.failures >= options_.failures_to_avoid) {
    server.avoidance =
        server.avoidance.count() == 0
            ? options_.initial_avoidance
            : std::min(server.avoidance * 2, options_.max_avoidance);
    server.avoid_until = now + server.avoidance;
  }
}

void Placement::OnLoadReport(const std::string& server_id,
                             int running,
                             int waiting,
                             Millis now) {
  const auto it = servers_.find(server_id);
  if (it == servers_.end()) {
    return;
  }
  it->second.reported_running = running;
  it->second.reported_waiting = waiting;
  it->second.in_flight_at_report = it->second.local.requests;
  it->second.reported_at = now;
  it->second.has_report = true;
}

void Placement::NotifyLoadChange() const {
  if (on_load_change_) {
    on_load_change_();
  }
}

std::vector<LocalLoad> Placement::TakeLoadUpdates(Millis now,
                                                  Millis resend_period) {
  std::vector<LocalLoad> changed;
  for (auto& [id, server] : servers_) {
    const bool needs_resend =
        server.local != InFlightLoad{} && now - server.sent_at >= resend_period;
    if (server.local != server.sent || needs_resend) {
      server.sent = server.local;
      server.sent_at = now;
      changed.push_back({id, server.local});
    }
  }
  return changed;
}

void Placement::OnPeerLoad(const std::string& host,
                           const std::string& server_id,
                           const InFlightLoad& load,
                           Millis now) {
  last_peer_load_ = now;
  const auto it = servers_.find(server_id);
  if (it == servers_.end()) {
    return;
  }
  if (load == InFlightLoad{}) {
    it->second.peers.erase(host);
    return;
  }
  it->second.peers[host] = {
      {std::clamp(load.requests, 0, options_.max_peer_requests),
       std::clamp<Tokens>(load.prefill_tokens, 0, options_.max_peer_tokens)},
      now};
}

bool Placement::IsUsable(const Server& server) const {
  return !server.entry.is_draining &&
         !evacuated_domains_.contains(server.entry.failure_domain);
}

bool Placement::MayStillSend(const std::string& server_id) const {
  const auto it = servers_.find(server_id);
  return it != servers_.end() && IsUsable(it->second);
}

std::vector<ServerView> Placement::View(Millis now) const {
  std::vector<ServerView> view;
  for (const auto& [id, server] : servers_) {
    view.push_back({.entry = server.entry,
                    .in_flight = server.local.requests,
                    .load_ms = LoadMs(server, true, now),
                    .is_avoided = now < server.avoid_until});
  }
  return view;
}

}  // namespace crocuslatch
