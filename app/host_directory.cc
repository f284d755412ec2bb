#include "app/host_directory.h"

#include <map>
#include <utility>

#include "core/host_stamp.h"
#include "src/log.h"

namespace crocuslatch {

struct HostDirectory::Core : std::enable_shared_from_this<HostDirectory::Core> {
  struct Host {
    std::string address;
    std::string failure_domain;
    std::int64_t link_mbps = 0;
    std::uint64_t version = 0;
    Millis changed_at{0};
  };

  HostDirectoryOptions options;
  Store store;
  EventLoop loop;
  // Includes hosts that are no longer live, so that their old stamps do not
  // count as new.
  std::map<std::string, Host> hosts;
  Millis last_read_at{0};
  Millis started_at{0};
  bool has_read = false;
  bool is_new_host = true;

  // Compares with the time of the last successful read, so that hosts stay
  // listed while the store is unreachable.
  bool IsLive(const Host& host) const {
    return last_read_at - host.changed_at <= options.stale_after;
  }

  void Read() {
    store.read_all(options.prefix,
                   [self = weak_from_this()](const StoreRangeResult& it) {
                     if (const auto core = self.lock()) {
                       core->OnRead(it);
                     }
                   });
  }

  void OnRead(const StoreRangeResult& range) {
    const auto known_hosts = hosts.size();
    if (range.status == StoreStatus::kOk) {
      for (const auto& it : range.items) {
        UpdateHost(it);
      }
      last_read_at = loop.now();
      has_read = true;
    }
    const bool is_discovering =
        hosts.size() > known_hosts ||
        (hosts.empty() && loop.now() - started_at < options.discovery_time);
    loop.after(is_discovering ? options.discovery_period : options.poll_period,
               [self = weak_from_this()] {
                 if (const auto core = self.lock()) {
                   core->Read();
                 }
               });
  }

  void UpdateHost(const StoreItem& item) {
    const auto stamp = DecodeHostStamp(item.value);
    const auto name = item.key.substr(options.prefix.size());
    if (stamp && name == options.own_host && !has_read) {
      is_new_host = stamp->incarnation == options.own_incarnation;
    }
    if (!stamp || name == options.own_host) {
      return;
    }
    auto& host = hosts[name];
    if (host.version != item.version) {
      host = {stamp->peer_address, stamp->failure_domain, stamp->link_mbps,
              item.version, loop.now()};
    }
  }
};

HostDirectory::HostDirectory(HostDirectoryOptions options,
                             Store store,
                             EventLoop loop)
    : core_(std::make_shared<Core>()) {
  core_->options = std::move(options);
  core_->store = std::move(store);
  core_->loop = std::move(loop);
}

HostDirectory::~HostDirectory() = default;

void HostDirectory::Start() {
  core_->started_at = core_->loop.now();
  core_->Read();
}

std::vector<std::string> HostDirectory::OtherHosts() const {
  std::vector<std::string> names;
  for (const auto& [name, host] : core_->hosts) {
    if (core_->IsLive(host)) {
      names.push_back(name);
    }
  }
  return names;
}

std::optional<std::vector<std::string>> HostDirectory::KnownHosts() const {
  if (!core_->has_read) {
    return std::nullopt;
  }
  std::vector<std::string> names;
  for (const auto& [name, host] : core_->hosts) {
    if (core_->last_read_at - host.changed_at <= core_->options.forget_after) {
      names.push_back(name);
    }
  }
  return names;
}

bool HostDirectory::is_new_host() const {
  return core_->is_new_host;
}

std::int64_t HostDirectory::LinkMbps(const std::string& host) const {
  const auto it = core_->hosts.find(host);
  return it == core_->hosts.end() ? 0 : it->second.link_mbps;
}

std::string HostDirectory::FailureDomain(const std::string& host) const {
  const auto it = core_->hosts.find(host);
  return it == core_->hosts.end() ? std::string() : it->second.failure_domain;
}

std::string HostDirectory::PeerAddress(const std::string& host) const {
  const auto it = core_->hosts.find(host);
  return it == core_->hosts.end() ? std::string() : it->second.address;
}

}  // namespace crocuslatch
