#ifndef CORE_LOAD_COLD_ALLOWANCE_H_
#define CORE_LOAD_COLD_ALLOWANCE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/backend_entry.h"
#include "src/types.h"

// Defines how many requests this host may send to backend servers that are
// cold.
//
// Load pattern: a server that has just started tolerates a few requests per
// second from all hosts together, and many servers may be cold at once. Dozens
// of hosts each send a small part of the load and decide without asking each
// other, also while they are partitioned. A few hosts, chosen by rendezvous
// hashing over the known hosts, own a cold server; each keeps a minimum time
// between its requests, and all others send it nothing. The owners get half of
// the bound, because hosts that join, return or lose sight of others may
// disagree about who owns a server
// (docs/design/cold-servers-and-evacuation.md).

namespace crocuslatch {

struct ColdAllowanceOptions {
  std::string own_host;
  // In any second, a server may get its tolerated rate * excess + slack.
  double excess = 1;
  double slack = 0;
  // Time by which the delays of two requests of one host on their way to a
  // server can differ: a new connection may take 300 ms to be established.
  Millis max_delay_difference{300};
  // Time for which a new host owns no server: until all other hosts have read
  // the list of hosts again.
  Millis new_host_delay{6500};
  // Time after the end of a server's cold time in which the hosts begin to send
  // to it one after another.
  Millis ramp{1000};
};

// The cold start of a service; see ServiceSpec.
struct ColdService {
  Millis cold_start{0};
  double requests_per_s = 0;
  auto operator<=>(const ColdService&) const = default;
};

struct SnapshotTimes {
  Millis now{0};
  // Time at which the store was read, at most `now`.
  Millis read_at{0};
  // `now` by the wall clock, since 1970.
  Millis wall{0};
};

// A server whose state has changed, for logs.
struct ColdChange {
  std::string server_id;
  bool is_cold = false;
  // Why the server counts as cold: "stated" by itself, "new_incarnation" or
  // "unreachable". Empty if it is not cold any more.
  std::string_view reason;
  Millis cold_for{0};
  // This host is one of the owners.
  bool is_owner = false;
};

class ColdAllowance {
 public:
  ColdAllowance(ColdAllowanceOptions options, Millis started_at);

  // Services whose servers are limited while they are cold. Services without a
  // rate are ignored.
  void SetServices(const std::map<std::string, ColdService>& services);

  // Sets the known hosts, including those that are not live. Until the first
  // call this host owns no server. `is_new_host` says that the others may not
  // know this host yet.
  void SetHosts(std::vector<std::string> other_hosts, bool is_new_host);

  // To be called with each snapshot of the registry.
  void SetServers(const std::vector<BackendEntry>& entries,
                  const SnapshotTimes& times);
  // A server has stated its remaining cold time.
  void OnColdRemaining(const std::string& server_id,
                       Millis remaining,
                       Millis now);
  // A server accepted no connection: it counts as cold until a later entry.
  void OnUnreachable(const std::string& server_id, Millis now);

  // Returns whether this host may send the server one more request.
  bool MaySend(const std::string& server_id, Millis now);
  // A request is being sent to the server.
  void OnDispatch(const std::string& server_id, Millis now);

  // Returns the time until a request to one of the service's cold servers may
  // be sent by this host or, if it owns none, by another; spread by `random`,
  // uniform in [0, 1). Returns nullopt if none of its servers is cold.
  std::optional<Millis> RetryAfter(std::string_view service,
                                   Millis now,
                                   double random);

  // Returns the servers that turned cold or warm since the last call.
  std::vector<ColdChange> TakeChanges(Millis now);

 private:
  struct Server {
    BackendEntry entry;
    // End of the cold time that the server has stated.
    Millis stated_until = Millis::min() / 2;
    // End of the cold time that follows from the server's start.
    Millis presumed_until = Millis::min() / 2;
    // Time at which this incarnation was first seen; nullopt if it may have
    // started any time before.
    std::optional<Millis> first_seen;
    // Time of this host's last request.
    std::optional<Millis> sent_at;
    bool is_unreachable = false;
    // Time at which this host last learned of the server's state from the
    // server itself, until an entry is known to have been written later: one
    // whose version differs from the first that was read after that time.
    std::optional<Millis> observed_at;
    std::optional<std::uint64_t> version_after_observation;
    bool was_cold = false;
    // Position of this host among the server's possible owners, and the list of
    // hosts from which it was computed.
    std::size_t rank = 0;
    std::uint64_t rank_generation = 0;
  };

  // How a server's bound is divided: `owners` hosts with `spacing` between the
  // requests of each. No owners if the bound is below one request.
  struct Division {
    std::size_t owners = 0;
    Millis spacing{0};
  };

  const ColdService* ServiceOf(const Server& server) const;
  Division Divide(const ColdService& service) const;
  // Returns false if the entry may have been written before the last
  // observation.
  static bool IsAfterObservation(Server& server, Millis read_at);
  void UpdatePresumption(Server& server, const SnapshotTimes& times) const;
  bool IsCold(const Server& server, Millis now) const;
  bool IsInRamp(const Server& server, Millis now) const;
  bool HasOwnTurn(const Server& server, Millis now) const;
  std::size_t Rank(Server& server);
  bool IsOwner(Server& server);
  // Earliest time at which this host, which must be an owner, may send.
  Millis NextSend(const Server& server) const;

  const ColdAllowanceOptions options_;
  const Millis started_at_;
  std::map<std::string, ColdService, std::less<>> services_;
  std::map<std::string, Server> servers_;
  bool has_snapshot_ = false;
  std::vector<std::string> other_hosts_;
  bool knows_hosts_ = false;
  bool is_new_host_ = true;
  std::uint64_t host_generation_ = 0;
};

}  // namespace crocuslatch

#endif  // CORE_LOAD_COLD_ALLOWANCE_H_
