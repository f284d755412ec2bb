#ifndef SRC_MEMBERSHIP_H_
#define SRC_MEMBERSHIP_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "src/host_list.h"
#include "src/types.h"

// Defines the table of hosts and holders: which routers are live, which
// incarnations are gone, and which peers this router talks to.

namespace crocuslatch {

// A holder and its start. Of two incarnations of a host, the one that started
// later is the present one.
struct Incarnation {
  HolderId holder;
  // Wall-clock time, milliseconds since 1970.
  std::int64_t started_ms = 0;
  auto operator<=>(const Incarnation&) const = default;
};

struct MembershipOptions {
  Incarnation own;
  std::string own_failure_domain;
  // Routers that count as live until the first host list is read.
  std::vector<HostEntry> static_peers;
  std::size_t heartbeat_peers = 4;
  // A host missing from the list, or an incarnation never heard of, counts
  // as gone only after this time, since list and heartbeats lag.
  Millis grace_period{10000};
  // A peer that could not be reached comes last for this time.
  Millis unreachable_backoff{5000};
  // Time until the heartbeats move on to the next failure domain.
  Millis domain_rotation_period{30000};
};

// Preferred writers listed for a shard.
inline constexpr std::size_t kPreferredWriters = 3;

// Thread-safe.
class Membership {
 public:
  Membership(MembershipOptions options, std::function<Millis()> now);
  ~Membership();
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  void SetHosts(const std::vector<HostEntry>& hosts);
  // An authenticated hello or heartbeat of the incarnation itself.
  void OnDirectContact(const Incarnation& incarnation);
  // Incarnations that a peer has heard of.
  void OnGossip(const std::vector<Incarnation>& incarnations);
  void OnUnreachable(const std::string& host);

  // True if the holder's host left the host list or a later incarnation of
  // the host is known. Never true of the own holder.
  bool IsGone(const HolderId& holder);
  // Live routers for a shard, best first; unreachable ones come last.
  std::vector<std::string> PreferredWriters(std::uint32_t shard) const;
  // Names of the live routers, this one included, in ascending order.
  std::vector<std::string> LiveRouters() const;
  // Names and addresses of the backend hosts that the list calls leaving.
  std::set<std::string> LeavingBackends() const;
  // Hosts that this router sends heartbeats to.
  std::vector<std::string> HeartbeatPeers() const;
  // Address of a router's peer listener; empty if unknown.
  std::string AddressOf(const std::string& host) const;
  // At most `max` incarnations for one heartbeat: news, or one of the others
  // in turn.
  std::vector<Incarnation> TakeGossip(std::size_t max);
  // The present incarnations that this router knows.
  std::vector<Incarnation> KnownIncarnations() const;

 private:
  struct Core;
  std::unique_ptr<Core> core_;
};

}  // namespace crocuslatch

#endif  // SRC_MEMBERSHIP_H_
