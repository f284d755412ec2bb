#ifndef CORE_PLACEMENT_H_
#define CORE_PLACEMENT_H_

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
#include "core/model_work.h"
#include "src/types.h"

// Defines the choice of a backend server for one dispatch.
//
// Load pattern: many routers, each of which sees a part of the requests, send
// sessions with long shared prompts to engines whose caches hold few of them,
// while reports of load are late. A session goes to the server that it has by
// rendezvous hash, where its prompt is cached, until that server's queue costs
// more than reading the prompt elsewhere. Routers tell each other what they
// have in flight, so that bursts of long prompts do not pile up at one server
// before its reports show them.

namespace crocuslatch {

struct PlacementOptions {
  // Prompt tokens that an engine reads in a millisecond; the engines of both
  // users read 37 and 48.
  double prompt_tokens_per_ms = 40;
  // Cost of reading shared parts that another server has cached, as a multiple
  // of the time: it also delays all other requests of the server and pushes
  // other parts out of its cache. 1 gave a mean worth of 0.584 and 0.667, 2
  // 0.619 and 0.689, 3.5 0.632 and 0.700, 6 0.631 and 0.704.
  double reread_factor = 5;
  // Delay that each running request of an engine causes to another one's
  // first token: its steps get longer (0.12 ms for each slot and step).
  double ms_per_running = 4;
  // Delay caused by a request that waits at an engine.
  double ms_per_waiting = 60;
  // Work of one request of a plain service.
  double ms_per_plain_request = 30;
  // Age at which a report of load counts half.
  Millis report_half_life{1000};
  // What a peer told counts for this time; it repeats it every second.
  Millis peer_load_time{2500};
  // More than any host has in flight at one server: twice its slots. Larger
  // values from a peer are cut to this.
  int most_peer_requests = 128;
  Tokens most_peer_tokens = 4'000'000;
  // Cost of leaving the own failure domain; bytes between domains are priced.
  double ms_per_domain_change = 2;
  // Records of cached prompt parts kept for each server, and how long one
  // counts after its last use.
  std::size_t max_cached_parts = 256;
  Millis cache_time{9000};
  // Consecutive failures after which a server is avoided, and for how long.
  int failures_to_avoid = 2;
  Millis first_avoidance{1000};
  Millis longest_avoidance{8000};
};

struct PlacementQuery {
  std::string_view service;
  // Null for a plain request.
  const ModelWork* work = nullptr;
  // Servers that this request was sent to before.
  const std::set<std::string>* tried = nullptr;
  Millis now{0};
};

struct PlacementChoice {
  std::string server_id;
  std::string address;
  // Expected delay of the first token or the answer, milliseconds.
  double expected_ms = 0;
  bool is_home = false;
  // Servers that could be chosen.
  int candidates = 0;
};

// How a dispatch ended, as far as it tells about the server.
enum class DispatchResult {
  kServed,
  // The server refused it without running it.
  kRefused,
  // Broken connection, silence, unusable answer or a failure of the server.
  kFailed,
  // No connection to the server.
  kUnreachable,
  // Ended for a reason of the caller or the router.
  kNeutral,
};

// What one host has in flight at a server.
struct InFlightLoad {
  int requests = 0;
  // Prompt tokens of those that have not begun to answer.
  Tokens prefill_tokens = 0;
  auto operator<=>(const InFlightLoad&) const = default;
};

struct LocalLoad {
  std::string server_id;
  InFlightLoad load;
  auto operator<=>(const LocalLoad&) const = default;
};

struct ServerView {
  BackendEntry entry;
  int in_flight = 0;
  double load_ms = 0;
  bool is_avoided = false;
};

class Placement {
 public:
  Placement(PlacementOptions options, std::string own_failure_domain);

  // The servers that are registered now. A server that is missing is gone.
  void SetServers(const std::vector<BackendEntry>& entries, Millis now);

  // nullopt if the service has no usable server left for the request.
  std::optional<PlacementChoice> Choose(const PlacementQuery& query);

  using DispatchId = std::uint64_t;
  // A dispatch begins. Every ticket is ended by End.
  DispatchId Begin(const std::string& server_id,
                   const ModelWork* work,
                   Millis now);
  // The server has begun to answer: its prompt is read.
  void OnFirstByte(DispatchId ticket, Millis now);
  void End(DispatchId ticket, DispatchResult result, Millis now);
  void OnLoadReport(const std::string& server_id,
                    int running,
                    int waiting,
                    Millis now);

  // Called after each change of what this host has in flight.
  void OnLoadChange(std::function<void()> hook) {
    on_change_ = std::move(hook);
  }
  // Own loads that changed since the last call, and those above zero that were
  // last taken `repeat_after` ago.
  std::vector<LocalLoad> TakeLoadUpdates(Millis now, Millis repeat_after);
  void OnPeerLoad(const std::string& host,
                  const std::string& server_id,
                  const InFlightLoad& load,
                  Millis now);

  bool IsLeavingOrGone(const std::string& server_id) const;
  std::vector<ServerView> View(Millis now) const;

 private:
  struct CachedPart {
    Millis used_at{0};
    std::list<std::string>::iterator order;
  };
  struct PeerLoad {
    InFlightLoad load;
    Millis told_at{0};
  };
  struct Server {
    BackendEntry entry;
    InFlightLoad own;
    // As the peers were told last.
    InFlightLoad told;
    Millis told_at{0};
    std::map<std::string, PeerLoad> peers;
    // Last report and the own dispatches in flight when it came.
    int reported_running = 0;
    int reported_waiting = 0;
    int in_flight_at_report = 0;
    Millis reported_at{0};
    bool has_report = false;
    int failures = 0;
    Millis avoidance{0};
    Millis avoid_until{0};
    Millis cold_until{0};
    // Parts that own requests had there, least recently used first.
    std::list<std::string> part_order;
    std::unordered_map<std::string, CachedPart> parts;
  };
  struct Dispatch {
    std::string server_id;
    Tokens prefill_tokens = 0;
  };

  InFlightLoad PeerLoads(const Server& server, Millis now) const;
  double LoadMs(const Server& server, bool is_model, Millis now) const;
  void Changed() const;
  Tokens CachedTokens(const Server& server,
                      const ModelWork& work,
                      Millis now) const;
  void RememberParts(Server& server, const ModelWork& work, Millis now);

  const PlacementOptions options_;
  const std::string own_failure_domain_;
  std::map<std::string, Server> servers_;
  std::unordered_map<DispatchId, Dispatch> dispatches_;
  DispatchId last_ticket_ = 0;
  std::function<void()> on_change_;
  // When a peer told anything last.
  std::optional<Millis> peers_heard_at_;
};

}  // namespace crocuslatch

#endif  // CORE_PLACEMENT_H_
