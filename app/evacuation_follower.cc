#include "app/evacuation_follower.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "src/log.h"

namespace crocuslatch {

struct EvacuationFollower::Core
    : std::enable_shared_from_this<EvacuationFollower::Core> {
  EvacuationFollowerOptions options;
  Store store;
  EventLoop loop;
  OnDomains on_domains;
  std::set<std::string> domains;
  // Store revision that `domains` reflects.
  std::uint64_t revision = 0;
  // Time up to which every change is known; nullopt before the first read.
  std::optional<Millis> known_at;
  Millis next_retry_delay{0};
  bool is_store_unavailable = false;

  void Read() {
    store.read_all(options.prefix,
                   [self = weak_from_this(),
                    begun_at = loop.now()](const StoreRangeResult& it) {
                     if (const auto core = self.lock()) {
                       core->OnSnapshot(begun_at - it.staleness, it);
                     }
                   });
  }

  void OnSnapshot(Millis read_at, const StoreRangeResult& range) {
    UpdateStoreStatus(range);
    // A snapshot relayed by a peer may be older than what is known and would
    // undo an evacuation.
    if (range.status != StoreStatus::kOk || range.revision < revision) {
      RetryLater();
      return;
    }
    std::set<std::string> next;
    for (const auto& it : range.items) {
      if (const auto domain = DomainOf(it.key); !domain.empty()) {
        next.insert(domain);
      }
    }
    Apply(std::move(next), range.revision, read_at);
    Watch();
  }

  void Watch() {
    store.watch(options.prefix, revision, options.watch_duration,
                [self = weak_from_this()](const StoreRangeResult& it) {
                  if (const auto core = self.lock()) {
                    core->OnWatchResult(it);
                  }
                });
  }

  void OnWatchResult(const StoreRangeResult& range) {
    UpdateStoreStatus(range);
    if (range.status == StoreStatus::kCompacted) {
      Read();
      return;
    }
    if (range.status != StoreStatus::kOk) {
      RetryLater();
      return;
    }
    auto next = domains;
    auto next_revision = std::max(revision, range.revision);
    for (const auto& it : range.items) {
      const auto domain = DomainOf(it.key);
      if (domain.empty()) {
        continue;
      }
      if (it.version == 0) {
        next.erase(domain);
      } else {
        next.insert(domain);
      }
      next_revision = std::max(next_revision, it.version);
    }
    Apply(std::move(next), next_revision, loop.now() - range.staleness);
    Watch();
  }

  // Empty if the key names no failure domain.
  std::string DomainOf(const std::string& key) const {
    return key.starts_with(options.prefix) ? key.substr(options.prefix.size())
                                           : std::string();
  }

  void Apply(std::set<std::string> next,
             std::uint64_t next_revision,
             Millis read_at) {
    next_retry_delay = options.retry_delay;
    revision = next_revision;
    const Millis now = loop.now();
    // -1: this process did not know before.
    const Millis unseen = known_at ? now - *known_at : Millis{-1};
    const bool is_first = !known_at;
    known_at = std::max(known_at.value_or(read_at), read_at);
    if (next == domains && !is_first) {
      return;
    }
    LogDifference(LogEvent::kDomainEvacuated, domains, next, unseen);
    LogDifference(LogEvent::kDomainRestored, next, domains, unseen);
    domains = std::move(next);
    on_domains(domains);
  }

  // Logs the domains of `after` that are missing in `before`.
  void LogDifference(LogEvent event,
                     const std::set<std::string>& before,
                     const std::set<std::string>& after,
                     Millis unseen) const {
    for (const auto& it : after) {
      if (!before.contains(it)) {
        LogLine(event)
            .Add("domain", it)
            .Add("unseen_ms_at_most", unseen)
            .Add("store_revision", revision);
      }
    }
  }

  void UpdateStoreStatus(const StoreRangeResult& range) {
    const bool is_unavailable = range.status == StoreStatus::kUnknown;
    if (is_unavailable == is_store_unavailable) {
      return;
    }
    is_store_unavailable = is_unavailable;
    LogLine(is_unavailable ? LogEvent::kStoreUnavailable
                           : LogEvent::kStoreRecovered)
        .Add("reader", "evacuations")
        .Add("message", range.error)
        .Add("domains_in_use", fmt::format("{}", fmt::join(domains, " ")));
  }

  // Reads instead of watching again: a failed watch may have been relayed by a
  // peer whose history of the store is incomplete.
  void RetryLater() {
    const Millis delay = std::max(next_retry_delay, options.retry_delay);
    next_retry_delay = std::min(2 * delay, options.max_retry_delay);
    loop.after(delay, [self = weak_from_this()] {
      if (const auto core = self.lock()) {
        core->Read();
      }
    });
  }
};

EvacuationFollower::EvacuationFollower(EvacuationFollowerOptions options,
                                       Store store,
                                       EventLoop loop,
                                       OnDomains on_domains)
    : core_(std::make_shared<Core>()) {
  core_->options = std::move(options);
  core_->store = std::move(store);
  core_->loop = std::move(loop);
  core_->on_domains = std::move(on_domains);
}

EvacuationFollower::~EvacuationFollower() = default;

void EvacuationFollower::Start() {
  core_->Read();
}

bool EvacuationFollower::is_known() const {
  return core_->known_at.has_value();
}

}  // namespace crocuslatch
