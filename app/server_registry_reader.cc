#include "app/server_registry_reader.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <set>
#include <utility>

#include "src/log.h"

namespace crocuslatch {

struct ServerRegistryReader::Core
    : std::enable_shared_from_this<ServerRegistryReader::Core> {
  ServerRegistryReaderOptions options;
  Store store;
  EventLoop loop;
  Decode decode;
  OnEntries on_entries;
  ServerRoster roster{ServerRosterOptions{}};
  // Entries that could not be used, so that each is logged once.
  std::set<std::string> damaged;
  std::set<std::string> leaving;
  bool is_store_lost = false;
  // Of the newest reading.
  std::uint64_t revision = 0;

  void Read() {
    const Millis asked_at = loop.now();
    store.read_all(options.prefix, [self = weak_from_this(),
                                    asked_at](const StoreRangeResult& it) {
      if (const auto core = self.lock()) {
        core->OnRead(asked_at, it);
      }
    });
  }

  void OnRead(Millis asked_at, const StoreRangeResult& range) {
    const bool is_lost = range.status != StoreStatus::kOk;
    if (is_lost != is_store_lost) {
      is_store_lost = is_lost;
      LogLine(is_lost ? LogEvent::kStoreUnavailable : LogEvent::kStoreRecovered)
          .Add("reader", "servers")
          .Add("message", range.error)
          .Add("servers_in_use", roster.Entries().size());
    }
    if (is_lost) {
      ReadAfter(options.retry_delay);
      return;
    }
    const Millis now = loop.now();
    // A peer's reading may be older than an own one, and would undo what a
    // server said since.
    if (range.revision < revision) {
      ReadAfter(options.retry_delay);
      return;
    }
    revision = range.revision;
    roster.OnSnapshot(DecodeAll(range.items), asked_at, now);
    const auto entries = roster.Entries();
    LogChanges(entries, range.revision);
    on_entries(entries);
    ReadAfter(std::max(Millis{1}, asked_at + options.poll_period - now));
  }

  std::vector<BackendEntry> DecodeAll(const std::vector<StoreItem>& items) {
    std::vector<BackendEntry> entries;
    for (const auto& it : items) {
      if (auto entry = decode(it.key, it.value)) {
        entries.push_back(*std::move(entry));
        damaged.erase(it.key);
      } else if (damaged.insert(it.key).second) {
        LogLine(LogEvent::kBadInput)
            .Add("message", "a registry entry cannot be used")
            .Add("key", it.key)
            .Add("store_version", it.version);
      }
    }
    return entries;
  }

  void LogChanges(const std::vector<BackendEntry>& entries,
                  std::uint64_t revision) {
    for (const auto& it : entries) {
      if (!it.is_draining) {
        leaving.erase(it.id);
      } else if (leaving.insert(it.id).second) {
        LogLine(LogEvent::kBackendLeaving)
            .Add("server", it.id)
            .Add("store_revision", revision);
      }
    }
    if (roster.added().empty() && roster.removed().empty()) {
      return;
    }
    LogLine(LogEvent::kServersChanged)
        .Add("added", fmt::format("{}", fmt::join(roster.added(), " ")))
        .Add("removed", fmt::format("{}", fmt::join(roster.removed(), " ")))
        .Add("servers", entries.size())
        .Add("store_revision", revision);
  }

  void ReadAfter(Millis delay) {
    loop.after(delay, [self = weak_from_this()] {
      if (const auto core = self.lock()) {
        core->Read();
      }
    });
  }
};

ServerRegistryReader::ServerRegistryReader(ServerRegistryReaderOptions options,
                                           Store store,
                                           EventLoop loop,
                                           Decode decode,
                                           OnEntries on_entries)
    : core_(std::make_shared<Core>()) {
  core_->options = std::move(options);
  core_->store = std::move(store);
  core_->loop = std::move(loop);
  core_->decode = std::move(decode);
  core_->on_entries = std::move(on_entries);
}

ServerRegistryReader::~ServerRegistryReader() = default;

void ServerRegistryReader::Start() {
  core_->Read();
}

std::optional<Millis> ServerRegistryReader::last_read_time() const {
  return core_->roster.last_snapshot_time();
}

}  // namespace crocuslatch
