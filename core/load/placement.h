#ifndef CORE_LOAD_PLACEMENT_H_
#define CORE_LOAD_PLACEMENT_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/backend_entry.h"
#include "core/desired_state.h"
#include "core/load/server_speed.h"
#include "core/model_work.h"
#include "src/types.h"

// Defines the choice of a backend server for one dispatch.
//
// Load pattern: many routers, each of which handles part of the requests, send
// sessions with long shared prompts to engines whose caches hold few of them,
// while load reports arrive late. A session is sent to its home server, chosen
// by rendezvous hashing, where its prompt is cached, until that server's queue
// costs more than processing the prompt on another server. Routers exchange
// the load that they have in flight, so that a burst of long prompts does not
// pile up at one server before its reports show it.

namespace crocuslatch {

struct PlacementOptions {
  // Prompt tokens that an engine processes per millisecond; the engines of the
  // two users process 37 and 48.
  double prompt_tokens_per_ms = 40;
  // Cost of processing shared prompt parts that another server has cached, as
  // a multiple of the processing time. It exceeds 1 because the work also
  // delays the server's other requests and evicts other parts from its cache.
  double recompute_factor = 5;
  // Delay of a request's first token caused by each running request on the
  // engine: every step takes 0.12 ms longer per occupied slot.
  double ms_per_running = 4;
  // Delay caused by each request queued at an engine.
  double ms_per_waiting = 60;
  // Cost of one request to a service without a model engine.
  double ms_per_plain_request = 30;
  // Duration of a decoding step, and what each running request adds. Pauses
  // between events are compared with it; a constant factor cancels. The engines
  // of the users take 2.6 and 5.1 ms; a value between them keeps the error
  // small when servers of one service run different numbers of requests.
  double step_ms = 3.5;
  double step_ms_per_running = 0.12;
  // A sample of the prompt time is taken only if the prompt takes this long at
  // least, and longer than the work ahead of it.
  double min_prompt_sample_ms = 20;
  // A sample of the pauses needs this many of them, and pauses that are long
  // enough to be measured in whole milliseconds.
  std::size_t min_pauses = 4;
  std::size_t max_pauses = 32;
  Millis min_pause_sample{5};
  // Time after which half of a reported slowdown is assumed to be over: spells
  // last 600 ms, so one that was seen at a random moment lasts 300 ms more on
  // average.
  Millis slowdown_half_life{300};
  // Age up to which a server's slowdown is passed on to peers.
  Millis max_slowdown_age{600};
  // Slowdown above which samples of the speed are not taken from streams that
  // may lie mostly in the spell.
  double max_sample_slowdown = 1.15;
  ServerSpeedOptions speed;
  // Age at which the weight of a load report is halved.
  Millis report_half_life{1000};
  // Lifetime of a peer's load report; peers repeat their reports every second.
  Millis peer_load_ttl{2500};
  // Upper bounds on the load that one host can have in flight at a server (for
  // requests, twice its slots). Larger values reported by a peer are clamped.
  int max_peer_requests = 128;
  Tokens max_peer_tokens = 4'000'000;
  // Cost of leaving the router's own failure domain; traffic between domains
  // is charged for.
  double ms_per_cross_domain = 2;
  // Difference in cost up to which a server to which this host has an idle
  // connection is preferred; the delay by one running request. A new connection
  // costs a round trip and processor time on both sides.
  double near_cost_ms = 4;
  // Maximum number of cached prompt parts tracked for each server, and how long
  // a part is assumed to be cached after its last use.
  std::size_t max_cached_parts = 256;
  Millis cache_ttl{9000};
  // Number of consecutive failures after which a server is avoided, and for how
  // long. The time doubles with each further failure.
  int failures_to_avoid = 2;
  Millis initial_avoidance{1000};
  Millis max_avoidance{8000};
};

struct PlacementQuery {
  std::string_view service;
  // Null for a request to a service without a model engine.
  const ModelWork* work = nullptr;
  // Servers that this request was already sent to; may be null.
  const std::set<std::string>* tried = nullptr;
  Millis now{0};
};

struct PlacementChoice {
  std::string server_id;
  std::string address;
  // Expected time to the first event, in milliseconds; without a model engine,
  // the delay by other requests.
  double expected_ms = 0;
  // What the choice minimizes: the expected time plus the cost for others.
  double cost = 0;
  // Engine memory that the request would need beyond what the server has.
  Tokens excess_tokens = 0;
  // The server is the home server of the request's session.
  bool is_home = false;
  // Number of servers that were eligible.
  int candidates = 0;
  // Delay that the load of the server causes at its usual speed, and how much
  // longer work takes on it: as learned, and as it reported lately. They tell a
  // busy server from a slow one.
  double busy_ms = 0;
  double time_factor = 1;
  double slowdown = 1;
};

// What a server reported of itself.
struct LoadReport {
  int running = 0;
  int waiting = 0;
  // How long work takes on the server at this moment, in percent of the usual
  // time.
  int slowdown_percent = 100;
};

// Result of a dispatch, as far as it concerns the health of the server.
enum class DispatchResult {
  kServed,
  // The server refused the request without executing it.
  kRefused,
  // Broken connection, timeout, invalid response or server error.
  kFailed,
  // No connection could be established.
  kUnreachable,
  // Ended by the caller or the router.
  kNeutral,
};

// The load that one host has in flight at a server.
struct InFlightLoad {
  int requests = 0;
  // Prompt tokens of the requests that have not begun to respond.
  Tokens prefill_tokens = 0;
  // Engine memory that the requests need for their prompts and outputs. Parts
  // that several requests share are counted once. 0 if the memory of the
  // service's engines is unknown.
  Tokens held_tokens = 0;
  auto operator<=>(const InFlightLoad&) const = default;
};

// Load of this host at one server.
struct LocalLoad {
  std::string server_id;
  InFlightLoad load;
  // Slowdown that the server reported to this host, if it is not the usual
  // speed, and the age of that report; 0 if there is none.
  int slowdown_percent = 0;
  Millis slowdown_age{0};
  auto operator<=>(const LocalLoad&) const = default;
};

// State of one server, for reports.
struct ServerView {
  BackendEntry entry;
  // Requests of this host.
  int in_flight = 0;
  // Expected delay that the current load causes, in milliseconds.
  double load_ms = 0;
  bool is_avoided = false;
  double time_factor = 1;
  double slowdown = 1;
  // Engine memory that is known to be needed by requests of all hosts.
  Tokens held_tokens = 0;
};

class Placement {
 public:
  Placement(PlacementOptions options, std::string own_failure_domain);

  // Replaces the set of registered servers. The state of missing and restarted
  // servers is dropped.
  void SetServers(const std::vector<BackendEntry>& entries, Millis now);

  // Sets the capacity of the model engines of each service.
  void SetEngines(std::map<std::string, EngineSpec> engines) {
    engines_ = std::move(engines);
  }

  // Returns nullopt if the service has no eligible server for the request.
  std::optional<PlacementChoice> Choose(const PlacementQuery& query);

  using DispatchId = std::uint64_t;
  // Starts tracking a dispatch. Every dispatch must be ended by End.
  DispatchId Begin(const std::string& server_id,
                   const ModelWork* work,
                   Millis now);
  // The server has begun to respond, so it has processed the prompt.
  void OnFirstByte(DispatchId dispatch_id, Millis now);
  // An event of the response stream has arrived.
  void OnEvent(DispatchId dispatch_id, Millis now);
  void End(DispatchId dispatch_id, DispatchResult result, Millis now);
  // Load that the server itself reported.
  void OnLoadReport(const std::string& server_id,
                    const LoadReport& report,
                    Millis now);

  // Sets a hook that is called after each change of this host's in-flight load.
  void OnLoadChange(std::function<void()> hook) {
    on_load_change_ = std::move(hook);
  }
  // Returns this host's loads that changed since they were last returned, and
  // nonzero loads that were last returned at least `resend_period` ago.
  std::vector<LocalLoad> TakeLoadUpdates(Millis now, Millis resend_period);
  // Load that the peer `host` reported for a server. Later calls replace it.
  void OnPeerLoad(const std::string& host,
                  const std::string& server_id,
                  const InFlightLoad& load,
                  Millis now);
  // Slowdown that a server reported to a peer `age` ago.
  void OnPeerSlowdown(const std::string& server_id,
                      int slowdown_percent,
                      Millis age,
                      Millis now);
  // Learned speeds of the servers.
  ServerSpeed& speed() { return speed_; }

  // Sets a hook that Choose asks for each candidate; a server for which it
  // returns false is not chosen.
  using MayPlace = std::function<bool(const BackendEntry& entry, Millis now)>;
  void SetMayPlace(MayPlace hook) { may_place_ = std::move(hook); }
  // Hooks that are called for dispatches; each may be empty.
  struct DispatchObserver {
    std::function<void(const std::string& server_id, Millis now)> on_begin;
    // The server accepted no connection.
    std::function<void(const std::string& server_id, Millis now)>
        on_unreachable;
  };
  void SetDispatchObserver(DispatchObserver observer) {
    dispatch_observer_ = std::move(observer);
  }
  // Sets a hook that tells whether this host has an idle connection to the
  // address. Without it, connections do not matter.
  void SetHasIdleConnection(
      std::function<bool(const std::string& address)> hook) {
    has_idle_connection_ = std::move(hook);
  }
  // Servers in these failure domains get nothing.
  void SetEvacuatedDomains(std::set<std::string> domains) {
    evacuated_domains_ = std::move(domains);
  }

  // Returns false if a request that was placed on the server must not be sent
  // to it any more.
  bool MayStillSend(const std::string& server_id) const;
  std::vector<ServerView> View(Millis now) const;

 private:
  struct CachedPart {
    Millis last_used{0};
    std::list<std::string>::iterator lru_position;
  };
  struct PeerLoad {
    InFlightLoad load;
    Millis received_at{0};
  };
  // A prompt part that requests of this host in flight share.
  struct HeldPart {
    Tokens tokens = 0;
    int requests = 0;
  };
  struct Server {
    BackendEntry entry;
    // Differs for each incarnation of a server.
    std::uint64_t generation = 0;
    std::unordered_map<std::string, HeldPart> held_parts;
    InFlightLoad local;
    // Load that was last sent to the peers.
    InFlightLoad sent;
    Millis sent_at{0};
    std::map<std::string, PeerLoad> peers;
    // Last report of the server, and this host's dispatches in flight when it
    // arrived.
    int reported_running = 0;
    int reported_waiting = 0;
    int in_flight_at_report = 0;
    Millis reported_at{0};
    bool has_report = false;
    int failures = 0;
    Millis avoidance{0};
    Millis avoid_until{0};
    Millis warmup_until{0};
    // Latest known slowdown, and when the server reported it.
    int slowdown_percent = 100;
    Millis slowdown_at{0};
    // The slowdown was reported to this host, not to a peer.
    bool is_own_slowdown = false;
    // Ids of prompt parts that this host sent to the server, least recently
    // used first.
    std::list<std::string> lru_parts;
    std::unordered_map<std::string, CachedPart> parts;
  };
  struct Dispatch {
    std::string server_id;
    Tokens prefill_tokens = 0;
    Millis begun_at{0};
    // Incarnation of the server that got the request.
    std::uint64_t generation = 0;
    // Memory that the request needs by itself, that of its output in it, and
    // its shared parts.
    Tokens held_tokens = 0;
    Tokens held_output = 0;
    std::vector<std::string> held_parts;
    Tokens events = 0;
    // Time that the prompt takes at the usual speed, that of the work ahead of
    // it, and the slowdown at the dispatch.
    double prompt_ms = 0;
    double ahead_ms = 0;
    double slowdown = 1;
    // Running requests at the server and slowdown when the response began.
    double running = 0;
    double response_slowdown = 1;
    std::optional<Millis> last_event_at;
    Millis first_event_at{0};
    std::vector<Millis> pauses;
  };

  // False if the server is draining or its failure domain is evacuated.
  bool IsUsable(const Server& server) const;
  InFlightLoad SumPeerLoads(const Server& server, Millis now) const;
  double LoadMs(const Server& server,
                const InFlightLoad& peers,
                bool is_model,
                Millis now) const;
  // The engines of the service if their memory is known, or nullptr.
  const EngineSpec* FindEngine(const std::string& service) const;
  // Engine memory that the request needs at the server beyond what this host's
  // requests hold there.
  Tokens NeededTokens(const Server& server, const ModelWork& work) const;
  void HoldTokens(Server& server, const ModelWork& work, Dispatch& dispatch);
  void ReleaseTokens(Server& server, const Dispatch& dispatch);
  // Counts output beyond the expected one.
  void HoldProducedTokens(Server& server, Dispatch& dispatch);
  // Returns the server that got the request, or nullptr if it is gone.
  Server* FindServer(const Dispatch& dispatch);
  // Momentary slowdown of the server, as a factor.
  double Slowdown(const Server& server, Millis now) const;
  // How much longer than usual work takes on the server.
  double TimeFactor(const Server& server, Millis now) const;
  void AddPromptSample(const Dispatch& dispatch,
                       const Server& server,
                       Millis now);
  void AddPauseSample(const Dispatch& dispatch, Millis now);
  void NotifyLoadChange() const;
  Tokens CachedTokens(const Server& server,
                      const ModelWork& work,
                      Millis now) const;
  void RecordCachedParts(Server& server, const ModelWork& work, Millis now);

  const PlacementOptions options_;
  const std::string own_failure_domain_;
  std::map<std::string, Server> servers_;
  std::uint64_t last_generation_ = 0;
  std::map<std::string, EngineSpec> engines_;
  ServerSpeed speed_;
  std::unordered_map<DispatchId, Dispatch> dispatches_;
  DispatchId last_dispatch_id_ = 0;
  std::function<void()> on_load_change_;
  MayPlace may_place_;
  DispatchObserver dispatch_observer_;
  std::function<bool(const std::string& address)> has_idle_connection_;
  std::set<std::string> evacuated_domains_;
  // Time of the last report from any peer.
  std::optional<Millis> last_peer_load_;
};

}  // namespace crocuslatch

#endif  // CORE_LOAD_PLACEMENT_H_
