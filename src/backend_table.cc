#include "src/backend_table.h"

#include <fmt/format.h>

#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <list>
#include <random>
#include <unordered_map>

#include "src/error.h"
#include "src/log.h"

namespace crocuslatch {
namespace {

// Prompts that this router dispatches are recorded at multiples of this length.
constexpr std::size_t kPrefixBlockBytes = 256;
// Longest prefix that is hashed: most prompts differ before this length.
constexpr std::size_t kMaxPrefixBytes = 8192;
// Limit on the distinct prefix lengths learned from cache events.
constexpr std::size_t kMaxCacheEventLengths = 64;

// Prefixes that a server probably has cached, in LRU order with the most
// recently used first.
class PrefixCache {
 public:
  void Add(std::uint64_t hash, std::size_t limit) {
    Remove(hash);
    lru_order_.push_front(hash);
    positions_[hash] = lru_order_.begin();
    if (lru_order_.size() > limit) {
      Remove(lru_order_.back());
    }
  }

  void Remove(std::uint64_t hash) {
    const auto it = positions_.find(hash);
    if (it != positions_.end()) {
      lru_order_.erase(it->second);
      positions_.erase(it);
    }
  }

  bool Has(std::uint64_t hash) const { return positions_.contains(hash); }

 private:
  std::list<std::uint64_t> lru_order_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
      positions_;
};

struct Prefix {
  std::uint64_t hash = 0;
  std::size_t bytes = 0;
};

struct Server {
  BackendServerConfig config;
  std::string target;
  std::uint32_t own_slots = 0;
  // Dispatch times of the requests in flight, by dispatch id.
  std::map<std::uint64_t, Millis> in_flight;
  std::optional<LoadReport> report;
  // Time to which the figures of the report refer.
  Millis report_time{0};
  bool listed_leaving = false;
  int consecutive_failures = 0;
  bool ejected = false;
  Millis ejected_until{0};
  Millis backoff{0};
  // Dispatch id of the readmission probe; 0 if none is in flight.
  std::uint64_t probe_id = 0;
  PrefixCache prefixes;

  bool IsLeaving() const {
    return config.drain || listed_leaving || (report && report->leaving);
  }
  bool HasFreeSlot() const { return in_flight.size() < own_slots; }
};

std::string TargetOf(const BackendServerConfig& config) {
  return config.model.empty() ? ServiceTarget(config.service)
                              : ModelTarget(config.model);
}

// Rendezvous hash score of a router for a server.
std::uint64_t RendezvousScore(std::string_view server,
                              std::string_view router) {
  return StableHash(router, StableHash(server));
}

bool IsListed(const std::set<std::string>& hosts,
              const BackendServerConfig& config) {
  return hosts.contains(config.name) || hosts.contains(config.address);
}

}  // namespace

struct BackendTable::Core {
  BackendTableOptions options;
  std::string own_host;
  std::function<Millis()> now;
  std::mt19937_64 random;
  std::map<std::string, Server> servers;
  std::vector<std::string> routers;
  std::set<std::string> leaving;
  std::set<std::size_t> cache_event_lengths;
  double retry_budget = 0.1;
  double saved_retries = 0;
  Millis retries_refilled_at{0};
  std::uint64_t last_dispatch_id = 0;

  void DistributeSlots() {
    std::map<std::string, std::uint32_t> sums;
    for (auto& [name, it] : servers) {
      it.own_slots = SlotShare(name, it.config.slots, own_host, routers);
      if (!it.IsLeaving()) {
        sums[it.target] += it.own_slots;
      }
    }
    for (const auto& [target, sum] : sums) {
      if (sum == 0) {
        GrantOneSlot(target);
      }
    }
  }

  // A router without a slot for a target could never serve it.
  void GrantOneSlot(const std::string& target) {
    Server* best = nullptr;
    std::uint64_t best_score = 0;
    for (auto& [name, it] : servers) {
      const auto score = RendezvousScore(name, own_host);
      if (it.target == target && !it.IsLeaving() &&
          (best == nullptr || score > best_score)) {
        best = &it;
        best_score = score;
      }
    }
    if (best != nullptr) {
      best->own_slots = 1;
    }
  }

  double EstimateLoad(const Server& server, Millis at) const {
    const bool is_known =
        server.report && at - server.report_time < options.max_report_age;
    if (!is_known) {
      return static_cast<double>(server.in_flight.size());
    }
    const auto dispatched_since = std::ranges::count_if(
        server.in_flight,
        [&server](const auto& it) { return it.second >= server.report_time; });
    return static_cast<double>(server.report->running + server.report->queued) +
           static_cast<double>(dispatched_since);
  }

  bool IsUsable(const Server& server, Millis at) const {
    const bool is_due =
        !server.ejected || (server.probe_id == 0 && at >= server.ejected_until);
    return !server.IsLeaving() && is_due && server.HasFreeSlot();
  }

  // True if the request may take one of the free slots of its target.
  bool MayTakeSlot(const SlotRequest& request) const {
    if (request.may_use_reserved_slots) {
      return true;
    }
    std::size_t total = 0;
    std::size_t used = 0;
    for (const auto& [name, it] : servers) {
      if (it.target == request.target && !it.IsLeaving() && !it.ejected) {
        total += it.own_slots;
        used += std::min<std::size_t>(it.own_slots, it.in_flight.size());
      }
    }
    const auto reserved = static_cast<std::size_t>(
        static_cast<double>(total) * options.reserved_slot_fraction);
    return total - used > reserved || total == 0;
  }

  std::vector<Server*> UsableServers(const SlotRequest& request, Millis at) {
    std::vector<Server*> preferred;
    std::vector<Server*> avoided;
    for (auto& [name, it] : servers) {
      if (it.target == request.target && IsUsable(it, at)) {
        (request.avoid.contains(name) ? avoided : preferred).push_back(&it);
      }
    }
    return preferred.empty() ? avoided : preferred;
  }

  // Returns the prefixes of the prompt for which cache entries may exist, the
  // longest first.
  std::vector<Prefix> PrefixesOf(std::string_view prompt) const {
    std::set<std::size_t> lengths = cache_event_lengths;
    for (std::size_t n = kPrefixBlockBytes;
         n <= std::min(prompt.size(), kMaxPrefixBytes);
         n += kPrefixBlockBytes) {
      lengths.insert(n);
    }
    std::vector<Prefix> prefixes;
    for (auto it = lengths.rbegin(); it != lengths.rend(); ++it) {
      if (*it <= prompt.size()) {
        prefixes.push_back({StableHash(prompt.substr(0, *it)), *it});
      }
    }
    return prefixes;
  }

  static std::size_t KnownPrefixBytes(const Server& server,
                                      const std::vector<Prefix>& prefixes) {
    const auto it = std::ranges::find_if(prefixes, [&server](const Prefix& it) {
      return server.prefixes.Has(it.hash);
    });
    return it == prefixes.end() ? 0 : it->bytes;
  }

  // Returns two random servers and, of the rest, the one with the longest known
  // prefix.
  std::vector<Server*> SampleCandidates(std::vector<Server*> usable,
                                        const std::vector<Prefix>& prefixes) {
    std::ranges::shuffle(usable, random);
    if (usable.size() > 2 && !prefixes.empty()) {
      const auto holder = std::ranges::max_element(
          usable.begin() + 2, usable.end(), {}, [&prefixes](const Server* it) {
            return KnownPrefixBytes(*it, prefixes);
          });
      std::iter_swap(usable.begin() + 2, holder);
      usable.resize(3);
    }
    usable.resize(
        std::min<std::size_t>(usable.size(), prefixes.empty() ? 2 : 3));
    return usable;
  }

  BackendSlot TakeSlot(Server& server,
                       const std::vector<Prefix>& prefixes,
                       Millis at) {
    BackendSlot slot{.server = server.config.name,
                     .address = server.config.address,
                     .is_probe = server.ejected,
                     .dispatch_id = ++last_dispatch_id};
    server.in_flight[slot.dispatch_id] = at;
    if (slot.is_probe) {
      server.probe_id = slot.dispatch_id;
    }
    for (const auto& it : prefixes) {
      if (it.bytes % kPrefixBlockBytes == 0) {
        server.prefixes.Add(it.hash, options.max_prefixes);
      }
    }
    return slot;
  }

  void Readmit(Server& server) const {
    server.ejected = false;
    server.probe_id = 0;
    // One more failure ejects the server again, with a longer backoff.
    server.consecutive_failures = options.failures_to_eject - 1;
    Log(LogEvent::kBackendReadmitted, "backend server {} is readmitted",
        server.config.name);
  }

  void Eject(Server& server, Millis at) const {
    server.backoff = server.backoff.count() == 0
                         ? options.initial_backoff
                         : std::min(2 * server.backoff, options.max_backoff);
    server.ejected = true;
    server.ejected_until = at + server.backoff;
    server.probe_id = 0;
    Log(LogEvent::kBackendEjected,
        "backend server {} failed {} times in a row; next probe in {} ms",
        server.config.name, server.consecutive_failures,
        server.backoff.count());
  }

  void CountFailure(Server& server, bool is_probe) const {
    ++server.consecutive_failures;
    const bool is_limit_reached =
        server.consecutive_failures >= options.failures_to_eject;
    if (is_probe || (!server.ejected && is_limit_reached)) {
      Eject(server, now());
    }
  }

  void CountSuccess(Server& server, bool is_probe) const {
    if (server.ejected && !is_probe) {
      return;
    }
    if (server.ejected) {
      Readmit(server);
    }
    server.consecutive_failures = 0;
    server.backoff = Millis{0};
  }
};

std::string ModelTarget(std::string_view model) {
  return fmt::format("model/{}", model);
}

std::string ServiceTarget(std::string_view service) {
  return fmt::format("service/{}", service);
}

LoadReport ParseLoadReport(std::string_view json) {
  const auto body = QJsonDocument::fromJson(
      QByteArray(json.data(), static_cast<qsizetype>(json.size())));
  const auto running = body["running"].toInteger(-1);
  const auto queued = body["queued"].toInteger(0);
  if (!body.isObject() || running < 0 || queued < 0) {
    throw UserError(
        "bad_load_report",
        "the load report has no valid \"running\" or \"queued\" count",
        "check the version of the backend server");
  }
  return {.running = static_cast<std::uint32_t>(running),
          .queued = static_cast<std::uint32_t>(queued),
          .leaving = body["leaving"].toBool(),
          .age = Millis{std::max<qint64>(0, body["age_ms"].toInteger(0))}};
}

std::uint32_t SlotShare(std::string_view server,
                        std::uint32_t slots,
                        std::string_view own_host,
                        const std::vector<std::string>& routers) {
  if (routers.empty()) {
    return slots;
  }
  const auto own = RendezvousScore(server, own_host);
  const auto ahead = std::ranges::count_if(routers, [&](const auto& it) {
    return RendezvousScore(server, it) > own;
  });
  const auto n = static_cast<std::uint32_t>(routers.size());
  const bool gets_remainder = static_cast<std::uint32_t>(ahead) < slots % n;
  return slots / n + (gets_remainder ? 1 : 0);
}

BackendTable::BackendTable(BackendTableOptions options,
                           std::string own_host,
                           std::function<Millis()> now,
                           std::uint64_t seed)
    : core_(std::make_unique<Core>()) {
  core_->options = options;
  core_->own_host = std::move(own_host);
  core_->now = std::move(now);
  core_->random.seed(seed);
  core_->saved_retries = options.max_saved_retries;
  core_->retries_refilled_at = core_->now();
}

BackendTable::~BackendTable() = default;

void BackendTable::SetDocument(const Document& document) {
  const std::lock_guard lock(mutex_);
  auto old = std::exchange(core_->servers, {});
  for (const auto& it : document.backend_servers) {
    auto& server = core_->servers[it.name];
    const auto previous = old.find(it.name);
    // A different address or target means another process, so the collected
    // state does not apply to it.
    if (previous != old.end() &&
        previous->second.config.address == it.address &&
        previous->second.target == TargetOf(it)) {
      server = std::move(previous->second);
    }
    server.config = it;
    server.target = TargetOf(it);
    server.listed_leaving = IsListed(core_->leaving, it);
  }
  core_->retry_budget = document.limits.retry_budget;
  core_->DistributeSlots();
}

void BackendTable::SetRouters(std::vector<std::string> hosts) {
  const std::lock_guard lock(mutex_);
  // The host list arrives every second and rarely differs. Distributing the
  // slots of 700 servers among 370 routers takes 3.5 ms.
  if (hosts == core_->routers) {
    return;
  }
  core_->routers = std::move(hosts);
  core_->DistributeSlots();
}

void BackendTable::SetLeavingHosts(std::set<std::string> hosts) {
  const std::lock_guard lock(mutex_);
  core_->leaving = std::move(hosts);
  bool has_changed = false;
  for (auto& [name, it] : core_->servers) {
    const bool is_listed = IsListed(core_->leaving, it.config);
    if (is_listed && !it.IsLeaving()) {
      Log(LogEvent::kBackendLeaving, "the host list marks {} as leaving", name);
    }
    has_changed |= it.listed_leaving != is_listed;
    it.listed_leaving = is_listed;
  }
  if (has_changed) {
    core_->DistributeSlots();
  }
}

void BackendTable::UpdateLoad(const std::string& server,
                              const LoadReport& report) {
  const std::lock_guard lock(mutex_);
  const auto it = core_->servers.find(server);
  if (it == core_->servers.end()) {
    return;
  }
  const bool was_leaving = it->second.IsLeaving();
  it->second.report = report;
  it->second.report_time = core_->now() - report.age;
  if (was_leaving == it->second.IsLeaving()) {
    return;
  }
  if (!was_leaving) {
    Log(LogEvent::kBackendLeaving, "{} reports that it is leaving", server);
  }
  core_->DistributeSlots();
}

void BackendTable::AddPrefix(const std::string& server,
                             std::uint64_t hash,
                             std::size_t bytes) {
  const std::lock_guard lock(mutex_);
  const auto it = core_->servers.find(server);
  if (it == core_->servers.end() || bytes == 0) {
    return;
  }
  if (bytes > kMaxPrefixBytes) {
    return;
  }
  if (core_->cache_event_lengths.size() < kMaxCacheEventLengths) {
    core_->cache_event_lengths.insert(bytes);
  }
  it->second.prefixes.Add(hash, core_->options.max_prefixes);
}

void BackendTable::RemovePrefix(const std::string& server, std::uint64_t hash) {
  const std::lock_guard lock(mutex_);
  const auto it = core_->servers.find(server);
  if (it != core_->servers.end()) {
    it->second.prefixes.Remove(hash);
  }
}

void BackendTable::CountFailure(const std::string& server) {
  const std::lock_guard lock(mutex_);
  const auto it = core_->servers.find(server);
  if (it != core_->servers.end() && !it->second.ejected) {
    core_->CountFailure(it->second, false);
  }
}

std::optional<BackendSlot> BackendTable::Acquire(const SlotRequest& request) {
  const std::lock_guard lock(mutex_);
  const auto at = core_->now();
  auto usable = core_->UsableServers(request, at);
  if (usable.empty() || !core_->MayTakeSlot(request)) {
    return std::nullopt;
  }
  const auto prefixes = core_->PrefixesOf(request.prompt);
  const auto candidates = core_->SampleCandidates(std::move(usable), prefixes);
  const auto cost = [&](const Server* it) {
    const auto slots = std::max<std::uint32_t>(1, it->config.slots);
    const double load = core_->EstimateLoad(*it, at) / slots;
    const double known_fraction =
        prefixes.empty()
            ? 0
            : static_cast<double>(Core::KnownPrefixBytes(*it, prefixes)) /
                  static_cast<double>(prefixes.front().bytes);
    return load - core_->options.prefix_bonus * known_fraction;
  };
  auto* best = *std::ranges::min_element(candidates, {}, cost);
  return core_->TakeSlot(*best, prefixes, at);
}

void BackendTable::Release(const BackendSlot& slot, BackendResult result) {
  const std::lock_guard lock(mutex_);
  const auto it = core_->servers.find(slot.server);
  if (it == core_->servers.end() ||
      it->second.in_flight.erase(slot.dispatch_id) == 0) {
    return;
  }
  auto& server = it->second;
  const bool is_probe = server.probe_id == slot.dispatch_id;
  switch (result) {
    case BackendResult::kSucceeded:
      core_->CountSuccess(server, is_probe);
      return;
    case BackendResult::kFailed:
      core_->CountFailure(server, is_probe);
      return;
    case BackendResult::kNeutral:
      if (is_probe) {
        server.probe_id = 0;
      }
      return;
  }
}

void BackendTable::ConfirmProbe(const BackendSlot& slot) {
  const std::lock_guard lock(mutex_);
  const auto it = core_->servers.find(slot.server);
  if (it != core_->servers.end() && it->second.ejected &&
      it->second.probe_id == slot.dispatch_id) {
    core_->Readmit(it->second);
  }
}

void BackendTable::CountRequest() {
  const std::lock_guard lock(mutex_);
  core_->saved_retries = std::min(core_->options.max_saved_retries,
                                  core_->saved_retries + core_->retry_budget);
}

bool BackendTable::TryTakeRetry() {
  const std::lock_guard lock(mutex_);
  const auto at = core_->now();
  const auto passed =
      std::chrono::duration<double>(at - core_->retries_refilled_at).count();
  core_->retries_refilled_at = at;
  core_->saved_retries = std::min(
      core_->options.max_saved_retries,
      core_->saved_retries + passed * core_->options.retries_per_second);
  if (core_->saved_retries < 1) {
    return false;
  }
  core_->saved_retries -= 1;
  return true;
}

bool BackendTable::HasServer(const std::string& target) const {
  const std::lock_guard lock(mutex_);
  return std::ranges::any_of(core_->servers, [&target](const auto& it) {
    return it.second.target == target && !it.second.IsLeaving();
  });
}

std::vector<BackendStatus> BackendTable::View() const {
  const std::lock_guard lock(mutex_);
  const auto at = core_->now();
  std::vector<BackendStatus> views;
  for (const auto& [name, it] : core_->servers) {
    views.push_back(
        {.server = name,
         .address = it.config.address,
         .target = it.target,
         .own_slots = it.own_slots,
         .in_flight = static_cast<std::uint32_t>(it.in_flight.size()),
         .load = core_->EstimateLoad(it, at),
         .ejected = it.ejected,
         .leaving = it.IsLeaving()});
  }
  return views;
}

}  // namespace crocuslatch
