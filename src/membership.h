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

// Defines the fleet membership table: the live routers, the current incarnation
// of each host, and the peers that this router sends heartbeats to.

namespace crocuslatch {

// A holder and its start time. Of several incarnations of a host, the one that
// started last is the current one.
struct Incarnation {
  HolderId holder;
  // Wall-clock time, milliseconds since 1970.
  std::int64_t started_ms = 0;
  auto operator<=>(const Incarnation&) const = default;
};

struct MembershipOptions {
  Incarnation own;
  std::string own_failure_domain;
  // Routers that are assumed to be live until the first host list is read.
  std::vector<HostEntry> static_peers;
  std::size_t heartbeat_peers = 4;
  // How long a host may be missing from the host list, or an incarnation may be
  // unknown, before it counts as gone. Covers the propagation delay of the host
  // list and of heartbeats.
  Millis grace_period{10000};
  // How long a peer is ranked last after it could not be reached.
  Millis unreachable_backoff{5000};
  // How long heartbeats go to one remote failure domain before they move on to
  // the next one.
  Millis domain_rotation_period{30000};
};

// Maximum number of preferred writers of a shard.
inline constexpr std::size_t kPreferredWriters = 3;

// Thread-safe.
class Membership {
 public:
  Membership(MembershipOptions options, std::function<Millis()> now);
  ~Membership();
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  // Replaces the host list.
  void SetHosts(const std::vector<HostEntry>& hosts);
  // Records an authenticated hello or heartbeat from the incarnation itself.
  void OnDirectContact(const Incarnation& incarnation);
  // Records incarnations that a peer reported.
  void OnGossip(const std::vector<Incarnation>& incarnations);
  // Ranks the host last for `unreachable_backoff`.
  void OnUnreachable(const std::string& host);

  // True if a later incarnation of the host is known, or if the host has left
  // the host list or the incarnation has been unknown for `grace_period`.
  // Always false for this router's own holder.
  bool IsGone(const HolderId& holder);
  // Up to kPreferredWriters live routers for a shard, best first; unreachable
  // ones come last.
  std::vector<std::string> PreferredWriters(std::uint32_t shard) const;
  // Names of the live routers, this one included, in ascending order.
  std::vector<std::string> LiveRouters() const;
  // Names and addresses of the backend hosts that the host list marks as
  // leaving.
  std::set<std::string> LeavingBackends() const;
  // Hosts that this router sends heartbeats to.
  std::vector<std::string> HeartbeatPeers() const;
  // Address of a router's peer listener; empty if unknown.
  std::string AddressOf(const std::string& host) const;
  // Returns at most `max` incarnations to gossip in one heartbeat: recently
  // learned ones or, if there are none, one of the others in round-robin order.
  std::vector<Incarnation> TakeGossip(std::size_t max);
  // The current incarnation of each known host.
  std::vector<Incarnation> KnownIncarnations() const;

 private:
  struct Core;
  std::unique_ptr<Core> core_;
};

}  // namespace crocuslatch

#endif  // SRC_MEMBERSHIP_H_
