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

// Own prefix records are made at multiples of this length.
constexpr std::size_t kPrefixBlockBytes = 256;
// Longer prompts are told apart early enough; bounds the hashing.
constexpr std::size_t kMaxPrefixBytes = 8192;
// Distinct prefix lengths taken over from cache events.
constexpr std::size_t kMaxEventLengths = 64;

// Prefixes that a server probably holds, the least recently used one last.
class PrefixRecord {
 public:
  void Add(std::uint64_t hash, std::size_t limit) {
    Remove(hash);
    order_.push_front(hash);
    places_[hash] = order_.begin();
    if (order_.size() > limit) {
      Remove(order_.back());
    }
  }

  void Remove(std::uint64_t hash) {
    const auto it = places_.find(hash);
    if (it != places_.end()) {
      order_.erase(it->second);
      places_.erase(it);
    }
  }

  bool Has(std::uint64_t hash) const { return places_.contains(hash); }

 private:
  std::list<std::uint64_t> order_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> places_;
};

struct Prefix {
  std::uint64_t hash = 0;
  std::size_t bytes = 0;
};

struct Server {
  BackendServerConfig config;
  std::string target;
  std::uint32_t own_slots = 0;
  // Dispatch times of the requests in flight by ticket.
  std::map<std::uint64_t, Millis> in_flight;
  std::optional<LoadReport> report;
  // When the figures of the report were taken.
  Millis report_taken{0};
  bool listed_leaving = false;
  int failures = 0;
  bool ejected = false;
  Millis ejected_until{0};
  Millis backoff{0};
  std::uint64_t trial = 0;
  PrefixRecord prefixes;

  bool IsLeaving() const {
    return config.drain || listed_leaving || (report && report->leaving);
  }
  bool HasFreeSlot() const { return in_flight.size() < own_slots; }
};

std::string TargetOf(const BackendServerConfig& config) {
  return config.model.empty() ? ServiceTarget(config.service)
                              : ModelTarget(config.model);
}

// Rendezvous score of a router for a server.
std::uint64_t Score(std::string_view server, std::string_view router) {
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
  std::set<std::size_t> event_lengths;
  double retry_budget = 0.1;
  double saved_retries = 0;
  Millis retries_counted{0};
  std::uint64_t last_ticket = 0;

  void ShareSlots() {
    std::map<std::string, std::uint32_t> sums;
    for (auto& [name, it] : servers) {
      it.own_slots = SlotShare(name, it.config.slots, own_host, routers);
      if (!it.IsLeaving()) {
        sums[it.target] += it.own_slots;
      }
    }
    for (const auto& [target, sum] : sums) {
      if (sum == 0) {
        GiveOneSlot(target);
      }
    }
  }

  // A router without any part of a target could never serve it.
  void GiveOneSlot(const std::string& target) {
    Server* best = nullptr;
    std::uint64_t best_score = 0;
    for (auto& [name, it] : servers) {
      const auto score = Score(name, own_host);
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

  double Load(const Server& server, Millis at) const {
    const bool is_known =
        server.report && at - server.report_taken < options.max_report_age;
    if (!is_known) {
      return static_cast<double>(server.in_flight.size());
    }
    const auto since = std::ranges::count_if(
        server.in_flight,
        [&server](const auto& it) { return it.second >= server.report_taken; });
    return static_cast<double>(server.report->running + server.report->queued) +
           static_cast<double>(since);
  }

  bool IsUsable(const Server& server, Millis at) const {
    const bool is_due =
        !server.ejected || (server.trial == 0 && at >= server.ejected_until);
    return !server.IsLeaving() && is_due && server.HasFreeSlot();
  }

  // True if the work may take one of the free slots of its target.
  bool MayTakeSlot(const SlotRequest& request) const {
    if (request.may_use_reserved_slots) {
      return true;
    }
    std::size_t all = 0;
    std::size_t used = 0;
    for (const auto& [name, it] : servers) {
      if (it.target == request.target && !it.IsLeaving() && !it.ejected) {
        all += it.own_slots;
        used += std::min<std::size_t>(it.own_slots, it.in_flight.size());
      }
    }
    const auto kept = static_cast<std::size_t>(static_cast<double>(all) *
                                               options.reserved_slot_fraction);
    return all - used > kept || all == 0;
  }

  std::vector<Server*> Usable(const SlotRequest& request, Millis at) {
    std::vector<Server*> preferred;
    std::vector<Server*> avoided;
    for (auto& [name, it] : servers) {
      if (it.target == request.target && IsUsable(it, at)) {
        (request.avoid.contains(name) ? avoided : preferred).push_back(&it);
      }
    }
    return preferred.empty() ? avoided : preferred;
  }

  // Prefixes of the prompt that records may exist for, the longest first.
  std::vector<Prefix> PrefixesOf(std::string_view prompt) const {
    std::set<std::size_t> lengths = event_lengths;
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

  static std::size_t KnownPrefix(const Server& server,
                                 const std::vector<Prefix>& prefixes) {
    const auto it = std::ranges::find_if(prefixes, [&server](const Prefix& it) {
      return server.prefixes.Has(it.hash);
    });
    return it == prefixes.end() ? 0 : it->bytes;
  }

  // Two random servers and the one that holds most of the prefix.
  std::vector<Server*> Candidates(std::vector<Server*> usable,
                                  const std::vector<Prefix>& prefixes) {
    std::ranges::shuffle(usable, random);
    if (usable.size() > 2 && !prefixes.empty()) {
      const auto holder = std::ranges::max_element(
          usable.begin() + 2, usable.end(), {},
          [&prefixes](const Server* it) { return KnownPrefix(*it, prefixes); });
      std::iter_swap(usable.begin() + 2, holder);
      usable.resize(3);
    }
    usable.resize(
        std::min<std::size_t>(usable.size(), prefixes.empty() ? 2 : 3));
    return usable;
  }

  BackendSlot Take(Server& server,
                   const std::vector<Prefix>& prefixes,
                   Millis at) {
    BackendSlot choice{.server = server.config.name,
                       .address = server.config.address,
                       .is_probe = server.ejected,
                       .dispatch_id = ++last_ticket};
    server.in_flight[choice.dispatch_id] = at;
    if (choice.is_probe) {
      server.trial = choice.dispatch_id;
    }
    for (const auto& it : prefixes) {
      if (it.bytes % kPrefixBlockBytes == 0) {
        server.prefixes.Add(it.hash, options.max_prefixes);
      }
    }
    return choice;
  }

  void Readmit(Server& server) const {
    server.ejected = false;
    server.trial = 0;
    // One more failure ejects it again, for longer.
    server.failures = options.failures_to_eject - 1;
    Log(LogEvent::kBackendReadmitted, "backend server {} serves again",
        server.config.name);
  }

  void Eject(Server& server, Millis at) const {
    server.backoff = server.backoff.count() == 0
                         ? options.initial_backoff
                         : std::min(2 * server.backoff, options.max_backoff);
    server.ejected = true;
    server.ejected_until = at + server.backoff;
    server.trial = 0;
    Log(LogEvent::kBackendEjected,
        "backend server {} failed {} times in a row; next trial in {} ms",
        server.config.name, server.failures, server.backoff.count());
  }

  void CountFailure(Server& server, bool is_probe) const {
    ++server.failures;
    const bool is_over = server.failures >= options.failures_to_eject;
    if (is_probe || (!server.ejected && is_over)) {
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
    server.failures = 0;
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
    throw UserError("bad_load_report", "the load report has no \"running\"",
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
  const auto own = Score(server, own_host);
  const auto ahead = std::ranges::count_if(
      routers, [&](const auto& it) { return Score(server, it) > own; });
  const auto n = static_cast<std::uint32_t>(routers.size());
  const bool has_rest = static_cast<std::uint32_t>(ahead) < slots % n;
  return slots / n + (has_rest ? 1 : 0);
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
  core_->retries_counted = core_->now();
}

BackendTable::~BackendTable() = default;

void BackendTable::SetDocument(const Document& document) {
  const std::lock_guard lock(mutex_);
  auto old = std::exchange(core_->servers, {});
  for (const auto& it : document.backend_servers) {
    auto& server = core_->servers[it.name];
    const auto known = old.find(it.name);
    // A server that moved is another process: its past says nothing.
    if (known != old.end() && known->second.config.address == it.address &&
        known->second.target == TargetOf(it)) {
      server = std::move(known->second);
    }
    server.config = it;
    server.target = TargetOf(it);
    server.listed_leaving = IsListed(core_->leaving, it);
  }
  core_->retry_budget = document.limits.retry_budget;
  core_->ShareSlots();
}

void BackendTable::SetRouters(std::vector<std::string> hosts) {
  const std::lock_guard lock(mutex_);
  // The host list comes each second and rarely differs. Sharing the slots of
  // 700 servers among 370 routers takes 3.5 ms.
  if (hosts == core_->routers) {
    return;
  }
  core_->routers = std::move(hosts);
  core_->ShareSlots();
}

void BackendTable::SetLeavingHosts(std::set<std::string> hosts) {
  const std::lock_guard lock(mutex_);
  core_->leaving = std::move(hosts);
  bool has_changed = false;
  for (auto& [name, it] : core_->servers) {
    const bool is_listed = IsListed(core_->leaving, it.config);
    if (is_listed && !it.IsLeaving()) {
      Log(LogEvent::kBackendLeaving, "the host list says that {} is leaving",
          name);
    }
    has_changed |= it.listed_leaving != is_listed;
    it.listed_leaving = is_listed;
  }
  if (has_changed) {
    core_->ShareSlots();
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
  it->second.report_taken = core_->now() - report.age;
  if (was_leaving == it->second.IsLeaving()) {
    return;
  }
  if (!was_leaving) {
    Log(LogEvent::kBackendLeaving, "{} reports that it is leaving", server);
  }
  core_->ShareSlots();
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
  if (core_->event_lengths.size() < kMaxEventLengths) {
    core_->event_lengths.insert(bytes);
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
  auto usable = core_->Usable(request, at);
  if (usable.empty() || !core_->MayTakeSlot(request)) {
    return std::nullopt;
  }
  const auto prefixes = core_->PrefixesOf(request.prompt);
  const auto candidates = core_->Candidates(std::move(usable), prefixes);
  const auto cost = [&](const Server* it) {
    const auto slots = std::max<std::uint32_t>(1, it->config.slots);
    const double load = core_->Load(*it, at) / slots;
    const double known =
        prefixes.empty()
            ? 0
            : static_cast<double>(Core::KnownPrefix(*it, prefixes)) /
                  static_cast<double>(prefixes.front().bytes);
    return load - core_->options.prefix_bonus * known;
  };
  auto* best = *std::ranges::min_element(candidates, {}, cost);
  return core_->Take(*best, prefixes, at);
}

void BackendTable::Release(const BackendSlot& choice, BackendResult result) {
  const std::lock_guard lock(mutex_);
  const auto it = core_->servers.find(choice.server);
  if (it == core_->servers.end() ||
      it->second.in_flight.erase(choice.dispatch_id) == 0) {
    return;
  }
  auto& server = it->second;
  const bool is_probe = server.trial == choice.dispatch_id;
  switch (result) {
    case BackendResult::kSucceeded:
      core_->CountSuccess(server, is_probe);
      return;
    case BackendResult::kFailed:
      core_->CountFailure(server, is_probe);
      return;
    case BackendResult::kNeutral:
      if (is_probe) {
        server.trial = 0;
      }
      return;
  }
}

void BackendTable::ConfirmProbe(const BackendSlot& choice) {
  const std::lock_guard lock(mutex_);
  const auto it = core_->servers.find(choice.server);
  if (it != core_->servers.end() && it->second.ejected &&
      it->second.trial == choice.dispatch_id) {
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
      std::chrono::duration<double>(at - core_->retries_counted).count();
  core_->retries_counted = at;
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
         .load = core_->Load(it, at),
         .ejected = it.ejected,
         .leaving = it.IsLeaving()});
  }
  return views;
}

}  // namespace crocuslatch
