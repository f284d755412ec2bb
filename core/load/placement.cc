#include "core/load/placement.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace crocuslatch {
namespace {

// Weighted rendezvous hash; the server with the highest rank is the session's
// home. Each server is the home of a share of the sessions that is proportional
// to its weight, and a server whose weight changes only gains or only loses
// sessions.
double HomeRank(std::string_view session,
                std::string_view server_id,
                double weight) {
  constexpr int kFractionBits = 53;
  constexpr int kHashBits = 64;
  const auto hash = StableHash(server_id, StableHash(session));
  // Uniform in (0, 1).
  const double point =
      std::ldexp(static_cast<double>(hash >> (kHashBits - kFractionBits)) + 0.5,
                 -kFractionBits);
  return weight / -std::log(point);
}

// Output that the request is expected to have; all that it may have without an
// estimate.
Tokens ExpectedOutput(const ModelWork& work) {
  return work.expected_output_tokens > 0
             ? std::min(work.expected_output_tokens, work.max_output_tokens)
             : work.max_output_tokens;
}

// Limits of the slowdown that a server may report; the codec has the same.
constexpr int kMinSlowdownPercent = 20;
constexpr int kMaxSlowdownPercent = 1000;
constexpr int kUsualPercent = 100;

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
    : options_(options),
      own_failure_domain_(std::move(own_failure_domain)),
      speed_(options.speed) {}

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
    } else {
      server.generation = ++last_generation_;
    }
    server.entry = it;
    server.warmup_until = now + it.warmup_time;
    next.emplace(it.id, std::move(server));
  }
  servers_ = std::move(next);
  speed_.SetServers(entries, now);
}

InFlightLoad Placement::SumPeerLoads(const Server& server, Millis now) const {
  InFlightLoad sum;
  for (const auto& [host, peer] : server.peers) {
    if (now - peer.received_at <= options_.peer_load_ttl) {
      sum.requests += peer.load.requests;
      sum.prefill_tokens += peer.load.prefill_tokens;
      sum.held_tokens += peer.load.held_tokens;
    }
  }
  return sum;
}

double Placement::LoadMs(const Server& server,
                         const InFlightLoad& peers,
                         bool is_model,
                         Millis now) const {
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

double Placement::Slowdown(const Server& server, Millis now) const {
  const double excess =
      static_cast<double>(server.slowdown_percent) / kUsualPercent - 1;
  const auto age = static_cast<double>((now - server.slowdown_at).count());
  const auto half_life =
      static_cast<double>(options_.slowdown_half_life.count());
  return 1 + excess * std::exp2(-age / half_life);
}

double Placement::TimeFactor(const Server& server, Millis now) const {
  return speed_.TimeFactor(server.entry.id) * Slowdown(server, now);
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

const EngineSpec* Placement::FindEngine(const std::string& service) const {
  const auto it = engines_.find(service);
  return it == engines_.end() || it->second.kv_capacity <= 0 ? nullptr
                                                             : &it->second;
}

Tokens Placement::NeededTokens(const Server& server,
                               const ModelWork& work) const {
  Tokens needed = AddTokens(work.prompt_tokens, ExpectedOutput(work));
  for (std::size_t i = 0; i + 1 < work.parts.size(); ++i) {
    if (server.held_parts.contains(work.parts[i].id)) {
      needed -= work.parts[i].tokens;
    }
  }
  return std::clamp<Tokens>(needed, 0, options_.max_peer_tokens);
}

void Placement::HoldTokens(Server& server,
                           const ModelWork& work,
                           Dispatch& dispatch) {
  if (FindEngine(server.entry.service) == nullptr) {
    return;
  }
  const Tokens shared = SharedTokens(work);
  dispatch.held_output = ExpectedOutput(work);
  dispatch.held_tokens =
      std::clamp<Tokens>(work.prompt_tokens - shared + dispatch.held_output, 0,
                         options_.max_peer_tokens);
  server.local.held_tokens += dispatch.held_tokens;
  for (std::size_t i = 0; i + 1 < work.parts.size(); ++i) {
    const auto& part = work.parts[i];
    auto& held = server.held_parts[part.id];
    if (held.requests++ == 0) {
      held.tokens =
          std::clamp<Tokens>(part.tokens, 0, options_.max_peer_tokens);
      server.local.held_tokens += held.tokens;
    }
    dispatch.held_parts.push_back(part.id);
  }
}

void Placement::ReleaseTokens(Server& server, const Dispatch& dispatch) {
  server.local.held_tokens -= dispatch.held_tokens;
  for (const auto& it : dispatch.held_parts) {
    const auto found = server.held_parts.find(it);
    if (found != server.held_parts.end() && --found->second.requests == 0) {
      server.local.held_tokens -= found->second.tokens;
      server.held_parts.erase(found);
    }
  }
}

Placement::Server* Placement::FindServer(const Dispatch& dispatch) {
  const auto it = servers_.find(dispatch.server_id);
  return it == servers_.end() || it->second.generation != dispatch.generation
             ? nullptr
             : &it->second;
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
    double rank = 0;
    double busy_ms = 0;
    double expected_ms = 0;
    Tokens excess_tokens = 0;
  };
  speed_.Refresh(query.now);
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
          {&server, 0,
           session != nullptr ? HomeRank(session->id, id, speed_.HomeWeight(id))
                              : 0});
    }
  };
  collect(false);
  if (candidates.empty()) {
    collect(true);
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  const EngineSpec* engine =
      is_model ? FindEngine(std::string(query.service)) : nullptr;
  const auto home =
      std::ranges::max_element(candidates, {}, &Candidate::rank)->server;
  for (auto& it : candidates) {
    const auto peers = SumPeerLoads(*it.server, query.now);
    it.busy_ms = LoadMs(*it.server, peers, is_model, query.now);
    it.cost = it.busy_ms;
    it.expected_ms = it.busy_ms;
    const double factor = TimeFactor(*it.server, query.now);
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
      it.expected_ms += static_cast<double>(unshared + recomputed) /
                        options_.prompt_tokens_per_ms;
      if (engine != nullptr) {
        it.excess_tokens = std::max<Tokens>(
            0, it.server->local.held_tokens + peers.held_tokens +
                   NeededTokens(*it.server, *query.work) - engine->kv_capacity);
      }
      // The engine preempts requests to make room and reads their prompts
      // again.
      it.cost += options_.recompute_factor *
                 static_cast<double>(it.excess_tokens) /
                 options_.prompt_tokens_per_ms;
    } else if (factor != 1) {
      // The request's own work is the same on even servers and left out there.
      it.cost += options_.ms_per_plain_request * (1 - 1 / factor);
    }
    it.cost *= factor;
    it.expected_ms *= factor;
    if (it.server->entry.failure_domain != own_failure_domain_) {
      it.cost += options_.ms_per_cross_domain;
    }
    if (query.now < it.server->warmup_until) {
      it.cost *= 2;
      it.expected_ms *= 2;
    }
  }
  const auto has_room = [](const Candidate& it) {
    return it.excess_tokens == 0;
  };
  const auto eligible = static_cast<int>(candidates.size());
  if (std::ranges::any_of(candidates, has_room)) {
    std::erase_if(candidates, std::not_fn(has_room));
  }
  std::ranges::stable_sort(candidates, {}, &Candidate::cost);
  auto chosen = candidates.begin();
  if (has_idle_connection_) {
    const double limit = chosen->cost + options_.near_cost_ms;
    const auto near_end = std::ranges::find_if(
        candidates, [limit](const auto& it) { return it.cost > limit; });
    const auto connected =
        std::find_if(candidates.begin(), near_end, [this](const auto& it) {
          return has_idle_connection_(it.server->entry.address);
        });
    chosen = connected == near_end ? chosen : connected;
  }
  const auto& best = *chosen;
  return PlacementChoice{
      .server_id = best.server->entry.id,
      .address = best.server->entry.address,
      .expected_ms = best.expected_ms,
      .cost = best.cost,
      .excess_tokens = best.excess_tokens,
      .is_home = session != nullptr && best.server == home,
      .candidates = eligible,
      .busy_ms = best.busy_ms,
      .time_factor = speed_.TimeFactor(best.server->entry.id),
      .slowdown = Slowdown(*best.server, query.now)};
}

Placement::DispatchId Placement::Begin(const std::string& server_id,
                                       const ModelWork* work,
                                       Millis now) {
  Dispatch dispatch{.server_id = server_id, .begun_at = now};
  if (dispatch_observer_.on_begin) {
    dispatch_observer_.on_begin(server_id, now);
  }
  const auto it = servers_.find(server_id);
  if (it != servers_.end()) {
    Server& server = it->second;
    dispatch.generation = server.generation;
    dispatch.slowdown = Slowdown(server, now);
    dispatch.ahead_ms =
        LoadMs(server, SumPeerLoads(server, now), work != nullptr, now);
    ++server.local.requests;
    if (work != nullptr) {
      dispatch.prefill_tokens = std::clamp<Tokens>(
          work->prompt_tokens - CachedTokens(server, *work, now), 0,
          options_.max_peer_tokens);
      server.local.prefill_tokens += dispatch.prefill_tokens;
      dispatch.prompt_ms = static_cast<double>(dispatch.prefill_tokens) /
                           options_.prompt_tokens_per_ms;
      RecordCachedParts(server, *work, now);
      HoldTokens(server, *work, dispatch);
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
  const auto tokens = std::exchange(found->second.prefill_tokens, 0);
  if (auto* server = FindServer(found->second)) {
    auto& pending = server->local.prefill_tokens;
    pending = std::max<Tokens>(0, pending - tokens);
    NotifyLoadChange();
  }
}

void Placement::OnEvent(DispatchId dispatch_id, Millis now) {
  const auto found = dispatches_.find(dispatch_id);
  if (found == dispatches_.end()) {
    return;
  }
  auto& dispatch = found->second;
  auto* server = FindServer(dispatch);
  ++dispatch.events;
  if (server != nullptr) {
    HoldProducedTokens(*server, dispatch);
  }
  if (dispatch.last_event_at) {
    // Events that were read together say nothing about the pause between them.
    const auto pause = now - *dispatch.last_event_at;
    if (pause.count() > 0 && dispatch.pauses.size() < options_.max_pauses) {
      dispatch.pauses.push_back(pause);
    }
    dispatch.last_event_at = now;
    return;
  }
  dispatch.last_event_at = now;
  dispatch.first_event_at = now;
  if (server == nullptr) {
    return;
  }
  dispatch.running =
      server->has_report ? server->reported_running : server->local.requests;
  dispatch.response_slowdown = Slowdown(*server, now);
  AddPromptSample(dispatch, *server, now);
}

void Placement::HoldProducedTokens(Server& server, Dispatch& dispatch) {
  // Steps of the growth, so that not each event changes what peers are told.
  constexpr Tokens kGrowth = 256;
  const auto* engine = FindEngine(server.entry.service);
  if (engine != nullptr && dispatch.held_tokens > 0 &&
      dispatch.events * engine->tokens_per_event > dispatch.held_output) {
    dispatch.held_output += kGrowth;
    dispatch.held_tokens += kGrowth;
    server.local.held_tokens += kGrowth;
  }
}

void Placement::AddPromptSample(const Dispatch& dispatch,
                                const Server& server,
                                Millis now) {
  // Where other work comes first or requests wait, the time says how busy the
  // server is, not how fast.
  const bool is_busy = dispatch.ahead_ms > dispatch.prompt_ms ||
                       (server.has_report && server.reported_waiting > 0);
  if (dispatch.prompt_ms < options_.min_prompt_sample_ms || is_busy) {
    return;
  }
  const auto took = static_cast<double>((now - dispatch.begun_at).count());
  const double slowdown = (dispatch.slowdown + dispatch.response_slowdown) / 2;
  speed_.AddSample(dispatch.server_id, SpeedSample::kPrompt,
                   took / ((dispatch.prompt_ms + dispatch.ahead_ms) * slowdown),
                   now);
}

void Placement::AddPauseSample(const Dispatch& dispatch, Millis now) {
  if (dispatch.pauses.size() < options_.min_pauses) {
    return;
  }
  const bool is_in_spell =
      now - dispatch.first_event_at < 2 * options_.max_slowdown_age &&
      (dispatch.response_slowdown > options_.max_sample_slowdown ||
       dispatch.response_slowdown < 1 / options_.max_sample_slowdown);
  // Prompts of other requests prolong some of the pauses, so a low quantile
  // shows the speed.
  auto pauses = dispatch.pauses;
  const auto quarter =
      pauses.begin() + static_cast<std::ptrdiff_t>(pauses.size() / 4);
  std::ranges::nth_element(pauses, quarter);
  if (is_in_spell || *quarter < options_.min_pause_sample) {
    return;
  }
  speed_.AddSample(
      dispatch.server_id, SpeedSample::kPause,
      static_cast<double>(quarter->count()) /
          (options_.step_ms + options_.step_ms_per_running * dispatch.running),
      now);
}

void Placement::End(DispatchId dispatch_id, DispatchResult result, Millis now) {
  OnFirstByte(dispatch_id, now);
  const auto found = dispatches_.find(dispatch_id);
  if (found == dispatches_.end()) {
    return;
  }
  const Dispatch dispatch = std::move(found->second);
  if (result == DispatchResult::kUnreachable &&
      dispatch_observer_.on_unreachable) {
    dispatch_observer_.on_unreachable(dispatch.server_id, now);
  }
  dispatches_.erase(found);
  auto* found_server = FindServer(dispatch);
  if (found_server == nullptr) {
    return;
  }
  Server& server = *found_server;
  AddPauseSample(dispatch, now);
  ReleaseTokens(server, dispatch);
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
                             const LoadReport& report,
                             Millis now) {
  const auto it = servers_.find(server_id);
  if (it == servers_.end()) {
    return;
  }
  it->second.reported_running = report.running;
  it->second.reported_waiting = report.waiting;
  it->second.in_flight_at_report = it->second.local.requests;
  it->second.reported_at = now;
  it->second.has_report = true;
  it->second.slowdown_percent = std::clamp(
      report.slowdown_percent, kMinSlowdownPercent, kMaxSlowdownPercent);
  it->second.slowdown_at = now;
  it->second.is_own_slowdown = true;
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
      LocalLoad update{id, server.local};
      const Millis age = now - server.slowdown_at;
      if (server.is_own_slowdown && server.slowdown_percent != kUsualPercent &&
          age <= options_.max_slowdown_age) {
        update.slowdown_percent = server.slowdown_percent;
        update.slowdown_age = age;
      }
      changed.push_back(std::move(update));
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
       std::clamp<Tokens>(load.prefill_tokens, 0, options_.max_peer_tokens),
       std::clamp<Tokens>(load.held_tokens, 0, options_.max_peer_tokens)},
      now};
}

void Placement::OnPeerSlowdown(const std::string& server_id,
                               int slowdown_percent,
                               Millis age,
                               Millis now) {
  const auto it = servers_.find(server_id);
  const Millis reported_at = now - std::max(age, Millis{0});
  if (it == servers_.end() || reported_at <= it->second.slowdown_at) {
    return;
  }
  it->second.slowdown_percent =
      std::clamp(slowdown_percent, kMinSlowdownPercent, kMaxSlowdownPercent);
  it->second.slowdown_at = reported_at;
  it->second.is_own_slowdown = false;
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
    const auto peers = SumPeerLoads(server, now);
    view.push_back(
        {.entry = server.entry,
         .in_flight = server.local.requests,
         .load_ms = LoadMs(server, peers, true, now),
         .is_avoided = now < server.avoid_until,
         .time_factor = speed_.TimeFactor(id),
         .slowdown = Slowdown(server, now),
         .held_tokens = server.local.held_tokens + peers.held_tokens});
  }
  return view;
}

}  // namespace crocuslatch
