#include "src/membership.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <tuple>

namespace crocuslatch {
namespace {

// Upper bound of the table of superseded holders and of the table of unknown
// holders.
constexpr std::size_t kMaxTrackedHolders = 10000;

// Number of heartbeats that gossip a new incarnation, about one to each peer.
constexpr int kGossipHeartbeats = 8;

// How long the last incarnation of an unlisted host is remembered.
constexpr Millis kUnlistedRetention{std::chrono::hours(1)};

std::uint64_t RendezvousScore(std::uint32_t shard, std::string_view host) {
  return StableHash(host, (std::uint64_t{1} << 32) + shard);
}

// Position of a host on the ring. Heartbeats go to the hosts that follow on it.
std::uint64_t RingPosition(std::string_view host) {
  return StableHash(host, 1);
}

bool IsLater(const Incarnation& a, const Incarnation& b) {
  return std::tie(a.started_ms, a.holder.incarnation) >
         std::tie(b.started_ms, b.holder.incarnation);
}

struct KnownIncarnation {
  Incarnation incarnation;
  int times_sent = 0;
};

// Appends the hosts of all domains in round-robin order, the best of each
// domain first.
void AppendRoundRobin(const std::vector<std::vector<std::string>>& domains,
                      std::size_t first,
                      std::vector<std::string>& out) {
  const auto longest =
      std::ranges::max(domains, {}, &std::vector<std::string>::size).size();
  for (std::size_t rank = 0; rank < longest; ++rank) {
    for (std::size_t n = 0; n < domains.size(); ++n) {
      const auto& hosts = domains[(first + n) % domains.size()];
      if (rank < hosts.size()) {
        out.push_back(hosts[rank]);
      }
    }
  }
}

}  // namespace

struct Membership::Core {
  MembershipOptions options;
  std::function<Millis()> now;
  mutable std::mutex mutex;
  std::map<std::string, HostEntry> routers;
  std::set<std::string> leaving_backends;
  bool has_host_list = false;
  // Current incarnation by host.
  std::map<std::string, KnownIncarnation> current;
  std::set<HolderId> superseded;
  // When a host was last listed or last sent a message itself.
  std::map<std::string, Millis> last_seen;
  std::map<std::string, Millis> unreachable_until;
  // When IsGone was first called for a holder that is still unknown.
  std::map<HolderId, Millis> unknown_since;
  // Host of the incarnation that was last gossiped in round-robin order.
  std::string last_gossiped;

  const std::string& own_host() const { return options.own.holder.host; }

  bool IsReachable(const std::string& host) const {
    const auto it = unreachable_until.find(host);
    return it == unreachable_until.end() || it->second <= now();
  }

  // This router counts itself as live until the host list marks it as leaving.
  std::vector<std::string> LiveRouters() const {
    std::vector<std::string> result;
    for (const auto& [name, entry] : routers) {
      if (entry.state == HostState::kLive) {
        result.push_back(name);
      }
    }
    if (!routers.contains(own_host())) {
      result.insert(std::ranges::lower_bound(result, own_host()), own_host());
    }
    return result;
  }

  void Supersede(const HolderId& holder) {
    if (superseded.size() >= kMaxTrackedHolders) {
      superseded.erase(superseded.begin());
    }
    superseded.insert(holder);
  }

  void RecordIncarnation(const Incarnation& incarnation) {
    const auto& holder = incarnation.holder;
    unknown_since.erase(holder);
    const auto it = current.find(holder.host);
    if (it == current.end()) {
      current[holder.host] = {incarnation};
      return;
    }
    const auto known = it->second.incarnation;
    if (known.holder == holder) {
      return;
    }
    if (IsLater(incarnation, known)) {
      Supersede(known.holder);
      superseded.erase(holder);
      current[holder.host] = {incarnation};
    } else {
      Supersede(holder);
    }
  }

  bool IsGracePeriodOver(const HolderId& holder) {
    if (unknown_since.size() >= kMaxTrackedHolders) {
      unknown_since.erase(std::ranges::min_element(
          unknown_since, {}, [](const auto& it) { return it.second; }));
    }
    const auto it = unknown_since.try_emplace(holder, now()).first;
    return now() - it->second >= options.grace_period;
  }

  bool IsHostGone(const HolderId& holder) {
    if (!has_host_list || routers.contains(holder.host)) {
      return false;
    }
    const auto seen = last_seen.find(holder.host);
    if (seen != last_seen.end()) {
      return now() - seen->second >= options.grace_period;
    }
    return IsGracePeriodOver(holder);
  }

  // An unknown incarnation gets the grace period, because it may be a later one
  // whose announcement has not arrived yet.
  bool HasSuccessor(const HolderId& holder) {
    const auto it = current.find(holder.host);
    if (it == current.end() || it->second.incarnation.holder == holder) {
      return false;
    }
    return superseded.contains(holder) || IsGracePeriodOver(holder);
  }

  void ForgetUnlisted() {
    std::erase_if(current, [this](const auto& it) {
      const auto seen = last_seen.find(it.first);
      return it.first != own_host() && !routers.contains(it.first) &&
             (seen == last_seen.end() ||
              now() - seen->second > kUnlistedRetention);
    });
    std::erase_if(last_seen, [this](const auto& it) {
      return !routers.contains(it.first) &&
             now() - it.second > kUnlistedRetention;
    });
    std::erase_if(unreachable_until,
                  [this](const auto& it) { return it.second <= now(); });
  }

  std::string DomainOf(const std::string& host) const {
    const auto it = routers.find(host);
    return it == routers.end() ? std::string() : it->second.failure_domain;
  }

  // Other live hosts of the own failure domain in ring order, starting after
  // this router's position.
  std::vector<std::string> OwnDomainRing() const {
    auto result = LiveRouters();
    std::erase_if(result, [this](const auto& it) {
      return it == own_host() || DomainOf(it) != options.own_failure_domain;
    });
    const auto own = RingPosition(own_host());
    std::ranges::sort(result, {}, [own](const auto& it) {
      // Unsigned subtraction wraps around, so the order starts at `own`.
      return RingPosition(it) - own;
    });
    return result;
  }

  // Live hosts of each other failure domain, best first.
  std::vector<std::vector<std::string>> OtherDomains() const {
    std::map<std::string, std::vector<std::string>> domains;
    for (const auto& it : LiveRouters()) {
      if (it != own_host() && DomainOf(it) != options.own_failure_domain) {
        domains[DomainOf(it)].push_back(it);
      }
    }
    const auto seed = RingPosition(own_host());
    std::vector<std::vector<std::string>> result;
    for (auto& [name, hosts] : domains) {
      std::ranges::sort(hosts, std::greater(), [seed](const auto& it) {
        return StableHash(it, seed);
      });
      result.push_back(std::move(hosts));
    }
    return result;
  }

  // Unreachable hosts come last, because the host list still names the hosts of
  // a failed rack for a while.
  std::vector<std::string> HeartbeatPeers() const {
    auto result = HeartbeatOrder();
    // The form in std::ranges does not compile with clang 14.
    std::stable_partition(result.begin(), result.end(),
                          [this](const auto& it) { return IsReachable(it); });
    result.resize(std::min(result.size(), options.heartbeat_peers));
    return result;
  }

  // All other live routers, best first.
  std::vector<std::string> HeartbeatOrder() const {
    const auto near = OwnDomainRing();
    const auto domains = OtherDomains();
    const auto k = options.heartbeat_peers;
    const auto near_count = std::min(
        near.size(), domains.empty() ? k : std::max<std::size_t>(k, 1) - 1);
    const auto rest = near.begin() + static_cast<std::ptrdiff_t>(near_count);
    std::vector<std::string> result(near.begin(), rest);
    if (!domains.empty()) {
      const auto first_domain =
          RingPosition(own_host()) % domains.size() +
          static_cast<std::size_t>(now() / options.domain_rotation_period);
      AppendRoundRobin(domains, first_domain, result);
    }
    result.insert(result.end(), rest, near.end());
    return result;
  }

  bool MayGossip(const std::string& host) const {
    return host != own_host() && (!has_host_list || routers.contains(host));
  }

  std::vector<KnownIncarnation*> NewIncarnations() {
    std::vector<KnownIncarnation*> result;
    for (auto& [host, known] : current) {
      if (MayGossip(host) && known.times_sent < kGossipHeartbeats) {
        result.push_back(&known);
      }
    }
    std::ranges::stable_sort(result, {}, &KnownIncarnation::times_sent);
    return result;
  }

  // The next incarnation in round-robin order; null if there is none to gossip.
  KnownIncarnation* NextRoundRobin() {
    auto it = current.upper_bound(last_gossiped);
    for (std::size_t n = 0; n < current.size(); ++n) {
      if (it == current.end()) {
        it = current.begin();
      }
      if (MayGossip(it->first)) {
        last_gossiped = it->first;
        return &it->second;
      }
      ++it;
    }
    return nullptr;
  }
};

Membership::Membership(MembershipOptions options, std::function<Millis()> now)
    : core_(std::make_unique<Core>()) {
  core_->options = std::move(options);
  core_->now = std::move(now);
  for (const auto& it : core_->options.static_peers) {
    core_->routers.emplace(it.name, it);
  }
  core_->RecordIncarnation(core_->options.own);
}

Membership::~Membership() = default;

void Membership::SetHosts(const std::vector<HostEntry>& hosts) {
  const std::lock_guard lock(core_->mutex);
  core_->has_host_list = true;
  core_->routers.clear();
  core_->leaving_backends.clear();
  for (const auto& it : hosts) {
    if (it.kind == HostKind::kRouter) {
      core_->routers.insert_or_assign(it.name, it);
      core_->last_seen[it.name] = core_->now();
    } else if (it.state == HostState::kLeaving) {
      core_->leaving_backends.insert({it.name, it.address});
    }
  }
  core_->ForgetUnlisted();
}

void Membership::OnDirectContact(const Incarnation& incarnation) {
  const std::lock_guard lock(core_->mutex);
  core_->RecordIncarnation(incarnation);
  core_->last_seen[incarnation.holder.host] = core_->now();
  core_->unreachable_until.erase(incarnation.holder.host);
}

void Membership::OnGossip(const std::vector<Incarnation>& incarnations) {
  const std::lock_guard lock(core_->mutex);
  for (const auto& it : incarnations) {
    core_->RecordIncarnation(it);
  }
}

void Membership::OnUnreachable(const std::string& host) {
  const std::lock_guard lock(core_->mutex);
  core_->unreachable_until[host] =
      core_->now() + core_->options.unreachable_backoff;
}

bool Membership::IsGone(const HolderId& holder) {
  const std::lock_guard lock(core_->mutex);
  if (holder == core_->options.own.holder) {
    return false;
  }
  return core_->HasSuccessor(holder) || core_->IsHostGone(holder);
}

std::vector<std::string> Membership::PreferredWriters(
    std::uint32_t shard) const {
  const std::lock_guard lock(core_->mutex);
  struct Candidate {
    bool unreachable = false;
    std::uint64_t inverse_score = 0;
    std::string host;
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const Candidate&) const = default;
  };
  std::vector<Candidate> candidates;
  for (const auto& it : core_->LiveRouters()) {
    candidates.push_back(
        {!core_->IsReachable(it), ~RendezvousScore(shard, it), it});
  }
  std::ranges::sort(candidates);
  candidates.resize(std::min(candidates.size(), kPreferredWriters));
  std::vector<std::string> result;
  std::ranges::transform(candidates, std::back_inserter(result),
                         &Candidate::host);
  return result;
}

std::vector<std::string> Membership::LiveRouters() const {
  const std::lock_guard lock(core_->mutex);
  return core_->LiveRouters();
}

std::set<std::string> Membership::LeavingBackends() const {
  const std::lock_guard lock(core_->mutex);
  return core_->leaving_backends;
}

std::vector<std::string> Membership::HeartbeatPeers() const {
  const std::lock_guard lock(core_->mutex);
  return core_->HeartbeatPeers();
}

std::string Membership::AddressOf(const std::string& host) const {
  const std::lock_guard lock(core_->mutex);
  const auto it = core_->routers.find(host);
  return it == core_->routers.end() ? std::string() : it->second.address;
}

std::vector<Incarnation> Membership::TakeGossip(std::size_t max) {
  const std::lock_guard lock(core_->mutex);
  auto selected = core_->NewIncarnations();
  if (selected.empty()) {
    // Resends known incarnations one at a time, so that peers that missed a
    // heartbeat catch up.
    if (auto* next = core_->NextRoundRobin()) {
      selected.push_back(next);
    }
  }
  selected.resize(std::min(selected.size(), max));
  std::vector<Incarnation> result;
  for (auto* it : selected) {
    it->times_sent = std::min(it->times_sent + 1, kGossipHeartbeats);
    result.push_back(it->incarnation);
  }
  return result;
}

std::vector<Incarnation> Membership::KnownIncarnations() const {
  const std::lock_guard lock(core_->mutex);
  std::vector<Incarnation> result;
  for (const auto& [host, known] : core_->current) {
    result.push_back(known.incarnation);
  }
  return result;
}

}  // namespace crocuslatch
