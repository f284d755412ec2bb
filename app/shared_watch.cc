#include "app/shared_watch.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace crocuslatch {

struct SharedWatch::Core : std::enable_shared_from_this<SharedWatch::Core> {
  struct Waiter {
    std::uint64_t id = 0;
    std::uint64_t after = 0;
    Millis wait{0};
    StoreRangeCallback callback;
  };

  struct Event {
    StoreItem item;
    // Store revision by which the event had happened.
    std::uint64_t revision = 0;
  };

  // The watch of one prefix. It exists while somebody waits.
  struct Prefix {
    // All events between these revisions are known.
    std::uint64_t known_after = 0;
    std::uint64_t revision = 0;
    // Newest event of each key.
    std::map<std::string, Event> newest;
    std::vector<Waiter> waiters;
    // Time of the store's last answer.
    Millis answered_at{0};
    // The watch of the store that is under way.
    std::uint64_t call_id = 0;
  };

  SharedWatchOptions options;
  Store store;
  EventLoop loop;
  std::map<std::string, Prefix> prefixes;
  std::uint64_t last_waiter_id = 0;
  std::uint64_t last_call_id = 0;

  static StoreRangeResult EventsAfter(const Prefix& prefix,
                                      std::uint64_t after) {
    StoreRangeResult range{.status = StoreStatus::kOk,
                           .revision = std::max(after, prefix.revision)};
    for (const auto& [key, event] : prefix.newest) {
      if (event.revision > after) {
        range.items.push_back(event.item);
      }
    }
    return range;
  }

  void Add(const std::string& name,
           std::uint64_t after,
           Millis wait,
           const StoreRangeCallback& callback) {
    const bool is_new = !prefixes.contains(name);
    auto& prefix = prefixes[name];
    if (is_new) {
      prefix.known_after = after;
      prefix.revision = after;
    }
    if (after < prefix.known_after) {
      store.watch(name, after, wait, callback);
      return;
    }
    if (auto events = EventsAfter(prefix, after); !events.items.empty()) {
      loop.post([callback, events = std::move(events)] { callback(events); });
      return;
    }
    const auto id = ++last_waiter_id;
    prefix.waiters.push_back({id, after, wait, callback});
    loop.after(wait, [self = weak_from_this(), name, id] {
      if (const auto core = self.lock()) {
        core->OnWaitOver(name, id);
      }
    });
    if (is_new) {
      Run(name);
    }
  }

  void OnWaitOver(const std::string& name, std::uint64_t id) {
    const auto found = prefixes.find(name);
    if (found == prefixes.end()) {
      return;
    }
    auto& waiters = found->second.waiters;
    const auto it = std::ranges::find(waiters, id, &Waiter::id);
    if (it == waiters.end()) {
      return;
    }
    const auto waiter = *it;
    waiters.erase(it);
    auto range = EventsAfter(found->second, waiter.after);
    // The connection may have gone silent since the last answer.
    constexpr Millis kMaxStaleness = std::chrono::hours(1);
    range.staleness =
        std::min(loop.now() - found->second.answered_at, kMaxStaleness);
    waiter.callback(range);
  }

  void Run(const std::string& name) {
    auto& prefix = prefixes.at(name);
    const auto call_id = ++last_call_id;
    prefix.call_id = call_id;
    const auto longest =
        std::ranges::max_element(prefix.waiters, {}, &Waiter::wait);
    const Millis wait = longest == prefix.waiters.end()
                            ? options.wait
                            : std::max(options.wait, longest->wait);
    store.watch(
        name, prefix.revision, wait,
        [self = weak_from_this(), name, call_id](const StoreRangeResult& it) {
          if (const auto core = self.lock()) {
            core->OnResult(name, call_id, it);
          }
        });
    loop.after(
        wait + options.overdue_time, [self = weak_from_this(), name, call_id] {
          if (const auto core = self.lock()) {
            core->OnResult(name, call_id, {.error = "the watch is overdue"});
          }
        });
  }

  void OnResult(const std::string& name,
                std::uint64_t call_id,
                const StoreRangeResult& range) {
    const auto found = prefixes.find(name);
    if (found == prefixes.end() || found->second.call_id != call_id) {
      return;
    }
    auto& prefix = found->second;
    if (range.status != StoreStatus::kOk || prefix.waiters.empty()) {
      // Without a waiter, the next watch begins at its caller's revision.
      const auto waiters = std::move(prefix.waiters);
      prefixes.erase(name);
      for (const auto& it : waiters) {
        it.callback(range);
      }
      return;
    }
    prefix.answered_at = loop.now();
    prefix.revision = std::max(prefix.revision, range.revision);
    for (const auto& it : range.items) {
      prefix.revision = std::max(prefix.revision, it.version);
    }
    for (const auto& it : range.items) {
      // The event of a removed key has no version of its own.
      prefix.newest[it.key] = {it,
                               it.version != 0 ? it.version : prefix.revision};
    }
    Answer(name);
    // An answered caller may have added a waiter; the prefix exists until the
    // next result in any case.
    Run(name);
  }

  // Answers the waiters for which there is an event.
  void Answer(const std::string& name) {
    auto& prefix = prefixes.at(name);
    const auto has_no_event = [&prefix](const Waiter& it) {
      return EventsAfter(prefix, it.after).items.empty();
    };
    const auto split = std::stable_partition(
        prefix.waiters.begin(), prefix.waiters.end(), has_no_event);
    const std::vector<Waiter> ready(split, prefix.waiters.end());
    prefix.waiters.erase(split, prefix.waiters.end());
    for (const auto& it : ready) {
      it.callback(EventsAfter(prefix, it.after));
    }
  }
};

SharedWatch::SharedWatch(SharedWatchOptions options,
                         Store store,
                         EventLoop loop)
    : core_(std::make_shared<Core>()) {
  core_->options = options;
  core_->store = std::move(store);
  core_->loop = std::move(loop);
}

SharedWatch::~SharedWatch() = default;

void SharedWatch::Watch(const std::string& prefix,
                        std::uint64_t after,
                        Millis wait,
                        const StoreRangeCallback& callback) {
  core_->Add(prefix, after, wait, callback);
}

}  // namespace crocuslatch
