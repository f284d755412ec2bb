#include "app/server_registry_reader.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <set>
#include <utility>

#include "src/log.h"

namespace crocuslatch {

struct ServerRegistryReader::Core
    : std::enable_shared_from_this<ServerRegistryReader::Core> {
  explicit Core(ServerRegistryReaderOptions reader_options)
      : options(std::move(reader_options)),
        roster(RosterOptions(options.poll_period)) {}

  // Two late reads in a row are no outage.
  static ServerRosterOptions RosterOptions(Millis poll_period) {
    ServerRosterOptions roster_options;
    roster_options.outage_threshold =
        std::max(roster_options.outage_threshold, 2 * poll_period);
    return roster_options;
  }

  const ServerRegistryReaderOptions options;
  Store store;
  EventLoop loop;
  Decode decode;
  OnEntries on_entries;
  ServerRoster roster;
  // Keys of entries that could not be decoded, so that each is logged only
  // once.
  std::set<std::string> damaged_keys;
  std::set<std::string> draining_servers;
  bool is_store_unavailable = false;
  // Store revision of the newest snapshot.
  std::uint64_t revision = 0;

  void Read() {
    const Millis read_began_at = loop.now();
    store.read_all(options.prefix, [self = weak_from_this(),
                                    read_began_at](const StoreRangeResult& it) {
      if (const auto core = self.lock()) {
        core->OnSnapshot(read_began_at - it.staleness, it);
      }
    });
  }

  void OnSnapshot(Millis read_began_at, const StoreRangeResult& range) {
    const bool is_unavailable = range.status != StoreStatus::kOk;
    if (is_unavailable != is_store_unavailable) {
      is_store_unavailable = is_unavailable;
      LogLine(is_unavailable ? LogEvent::kStoreUnavailable
                             : LogEvent::kStoreRecovered)
          .Add("reader", "servers")
          .Add("message", range.error)
          .Add("servers_in_use", roster.Entries().size());
    }
    if (is_unavailable) {
      ReadAfter(options.retry_delay);
      return;
    }
    const Millis now = loop.now();
    // A snapshot relayed by a peer may be older than this host's last one and
    // would undo servers' later changes.
    if (range.revision < revision) {
      ReadAfter(options.retry_delay);
      return;
    }
    revision = range.revision;
    // A change may have gone unnoticed for as long as the last snapshot is old.
    const Millis unseen_time = roster.last_snapshot_time()
                                   ? now - *roster.last_snapshot_time()
                                   : Millis{0};
    if (unseen_time > options.late_after) {
      LogLine(LogEvent::kRegistryLate)
          .Add("unseen_ms", unseen_time)
          .Add("snapshot_age_ms", now - read_began_at)
          .Add("store_revision", revision);
    }
    roster.OnSnapshot(
        DecodeAll(range.items),
        {range.revision, std::max(range.revision, range.max_revision)},
        read_began_at, now);
    const auto entries = roster.Entries();
    LogChanges(entries, unseen_time);
    on_entries(entries);
    ReadAfter(std::max(Millis{1}, read_began_at + options.poll_period - now));
  }

  std::vector<BackendEntry> DecodeAll(const std::vector<StoreItem>& items) {
    std::vector<BackendEntry> entries;
    for (const auto& it : items) {
      if (auto entry = decode(it.key, it.value)) {
        entry->store_version = it.version;
        entries.push_back(*std::move(entry));
        damaged_keys.erase(it.key);
      } else if (damaged_keys.insert(it.key).second) {
        LogLine(LogEvent::kBadInput)
            .Add("message", "a registry entry could not be decoded")
            .Add("key", it.key)
            .Add("store_version", it.version);
      }
    }
    return entries;
  }

  void LogChanges(const std::vector<BackendEntry>& entries,
                  Millis unseen_time) {
    for (const auto& it : entries) {
      if (!it.is_draining) {
        draining_servers.erase(it.id);
      } else if (draining_servers.insert(it.id).second) {
        LogLine(LogEvent::kBackendLeaving)
            .Add("server", it.id)
            .Add("unseen_ms_at_most", unseen_time)
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
        .Add("unseen_ms_at_most", unseen_time)
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
    : core_(std::make_shared<Core>(std::move(options))) {
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
