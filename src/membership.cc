#include "src/membership.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <tuple>

namespace crocuslatch {
namespace {

// Holders remembered without a sign of life; the oldest are dropped.
constexpr std::size_t kMaxRememberedHolders = 10000;

// An incarnation is news for this many heartbeats, about one to each peer.
constexpr int kNewsHeartbeats = 8;

// Time after which the last incarnation of an unlisted host is forgotten.
constexpr Millis kForgetTime{std::chrono::hours(1)};

std::uint64_t RendezvousScore(std::uint32_t shard, std::string_view host) {
  return StableHash(host, (std::uint64_t{1} << 32) + shard);
}

// Order of the ring on which heartbeats go to the next hosts.
std::uint64_t RingPosition(std::string_view host) {
  return StableHash(host, 1);
}

bool IsLater(const Incarnation& a, const Incarnation& b) {
  return std::tie(a.started_ms, a.holder.incarnation) >
         std::tie(b.started_ms, b.holder.incarnation);
}

struct KnownIncarnation {
  Incarnation incarnation;
  int times_told = 0;
};

// Appends hosts of the domains in turn, the best of each domain first.
void AppendInTurn(const std::vector<std::vector<std::string>>& domains,
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
  bool has_list = false;
  // Present incarnation by host.
  std::map<std::string, KnownIncarnation> present;
  std::set<HolderId> superseded;
  // When a host was last in the list or spoke itself.
  std::map<std::string, Millis> last_sign;
  std::map<std::string, Millis> unreachable_until;
  // When a holder that nobody has heard of was first asked about.
  std::map<HolderId, Millis> first_asked;
  // Host of the incarnation last told in turn.
  std::string last_told;

  const std::string& own_host() const { return options.own.holder.host; }

  bool IsReachable(const std::string& host) const {
    const auto it = unreachable_until.find(host);
    return it == unreachable_until.end() || it->second <= now();
  }

  // The own host counts as live until the list says that it is leaving.
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
    if (superseded.size() >= kMaxRememberedHolders) {
      superseded.erase(superseded.begin());
    }
    superseded.insert(holder);
  }

  void Note(const Incarnation& incarnation) {
    const auto& holder = incarnation.holder;
    first_asked.erase(holder);
    const auto it = present.find(holder.host);
    if (it == present.end()) {
      present[holder.host] = {incarnation};
      return;
    }
    const auto known = it->second.incarnation;
    if (known.holder == holder) {
      return;
    }
    if (IsLater(incarnation, known)) {
      Supersede(known.holder);
      superseded.erase(holder);
      present[holder.host] = {incarnation};
    } else {
      Supersede(holder);
    }
  }

  bool GraceIsOver(const HolderId& holder) {
    if (first_asked.size() >= kMaxRememberedHolders) {
      first_asked.erase(std::ranges::min_element(
          first_asked, {}, [](const auto& it) { return it.second; }));
    }
    const auto it = first_asked.try_emplace(holder, now()).first;
    return now() - it->second >= options.grace_period;
  }

  bool HostIsGone(const HolderId& holder) {
    if (!has_list || routers.contains(holder.host)) {
      return false;
    }
    const auto sign = last_sign.find(holder.host);
    if (sign != last_sign.end()) {
      return now() - sign->second >= options.grace_period;
    }
    return GraceIsOver(holder);
  }

  // An unknown incarnation may also be a later one, of which news is on the
  // way.
  bool HasSuccessor(const HolderId& holder) {
    const auto it = present.find(holder.host);
    if (it == present.end() || it->second.incarnation.holder == holder) {
      return false;
    }
    return superseded.contains(holder) || GraceIsOver(holder);
  }

  void ForgetUnlisted() {
    std::erase_if(present, [this](const auto& it) {
      const auto sign = last_sign.find(it.first);
      return it.first != own_host() && !routers.contains(it.first) &&
             (sign == last_sign.end() || now() - sign->second > kForgetTime);
    });
    std::erase_if(last_sign, [this](const auto& it) {
      return !routers.contains(it.first) && now() - it.second > kForgetTime;
    });
    std::erase_if(unreachable_until,
                  [this](const auto& it) { return it.second <= now(); });
  }

  std::string DomainOf(const std::string& host) const {
    const auto it = routers.find(host);
    return it == routers.end() ? std::string() : it->second.failure_domain;
  }

  // Hosts of the own domain, from the own place on the ring onwards.
  std::vector<std::string> RingOfOwnDomain() const {
    auto result = LiveRouters();
    std::erase_if(result, [this](const auto& it) {
      return it == own_host() || DomainOf(it) != options.own_failure_domain;
    });
    const auto own = RingPosition(own_host());
    std::ranges::sort(result, {}, [own](const auto& it) {
      // Wraps around at the own position.
      return RingPosition(it) - own;
    });
    return result;
  }

  // Hosts of the other domains, best first in each.
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

  // Unreachable hosts come last: the list names a lost rack for a while.
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
    const auto near = RingOfOwnDomain();
    const auto domains = OtherDomains();
    const auto k = options.heartbeat_peers;
    const auto near_count = std::min(
        near.size(), domains.empty() ? k : std::max<std::size_t>(k, 1) - 1);
    const auto rest = near.begin() + static_cast<std::ptrdiff_t>(near_count);
    std::vector<std::string> result(near.begin(), rest);
    if (!domains.empty()) {
      const auto turn =
          RingPosition(own_host()) % domains.size() +
          static_cast<std::size_t>(now() / options.domain_rotation_period);
      AppendInTurn(domains, turn, result);
    }
    result.insert(result.end(), rest, near.end());
    return result;
  }

  bool MayTell(const std::string& host) const {
    return host != own_host() && (!has_list || routers.contains(host));
  }

  std::vector<KnownIncarnation*> News() {
    std::vector<KnownIncarnation*> result;
    for (auto& [host, known] : present) {
      if (MayTell(host) && known.times_told < kNewsHeartbeats) {
        result.push_back(&known);
      }
    }
    std::ranges::stable_sort(result, {}, &KnownIncarnation::times_told);
    return result;
  }

  // The incarnation after the one told last; null if there is none to tell.
  KnownIncarnation* NextInTurn() {
    auto it = present.upper_bound(last_told);
    for (std::size_t n = 0; n < present.size(); ++n) {
      if (it == present.end()) {
        it = present.begin();
      }
      if (MayTell(it->first)) {
        last_told = it->first;
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
  core_->Note(core_->options.own);
}

Membership::~Membership() = default;

void Membership::SetHosts(const std::vector<HostEntry>& hosts) {
  const std::lock_guard lock(core_->mutex);
  core_->has_list = true;
  core_->routers.clear();
  core_->leaving_backends.clear();
  for (const auto& it : hosts) {
    if (it.kind == HostKind::kRouter) {
      core_->routers.insert_or_assign(it.name, it);
      core_->last_sign[it.name] = core_->now();
    } else if (it.state == HostState::kLeaving) {
      core_->leaving_backends.insert({it.name, it.address});
    }
  }
  core_->ForgetUnlisted();
}

void Membership::OnDirectContact(const Incarnation& incarnation) {
  const std::lock_guard lock(core_->mutex);
  core_->Note(incarnation);
  core_->last_sign[incarnation.holder.host] = core_->now();
  core_->unreachable_until.erase(incarnation.holder.host);
}

void Membership::OnGossip(const std::vector<Incarnation>& incarnations) {
  const std::lock_guard lock(core_->mutex);
  for (const auto& it : incarnations) {
    core_->Note(it);
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
  return core_->HasSuccessor(holder) || core_->HostIsGone(holder);
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
  auto told = core_->News();
  if (told.empty()) {
    // Repairs what was missed, at the cost of one entry.
    if (auto* next = core_->NextInTurn()) {
      told.push_back(next);
    }
  }
  told.resize(std::min(told.size(), max));
  std::vector<Incarnation> result;
  for (auto* it : told) {
    it->times_told = std::min(it->times_told + 1, kNewsHeartbeats);
    result.push_back(it->incarnation);
  }
  return result;
}

std::vector<Incarnation> Membership::KnownIncarnations() const {
  const std::lock_guard lock(core_->mutex);
  std::vector<Incarnation> result;
  for (const auto& [host, known] : core_->present) {
    result.push_back(known.incarnation);
  }
  return result;
}

}  // namespace crocuslatch
