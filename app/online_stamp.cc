#include "app/online_stamp.h"

#include <utility>

#include "src/log.h"

namespace crocuslatch {
namespace {

// Pause before a stamp that was not written is tried again.
constexpr Millis kRetryDelay{300};

}  // namespace

struct OnlineStamp::Core : std::enable_shared_from_this<OnlineStamp::Core> {
  std::string key;
  HostStampOptions options;
  Store store;
  EventLoop loop;
  OnlineStampHooks hooks;
  std::uint64_t version = 0;
  bool is_online = false;
  // Stamp that may have been written last, and its time.
  std::string stamp;
  Millis stamped_at{0};

  // Tries a new stamp. From here on it may be in the store, so the bounds hold
  // from here on, too.
  void Stamp() {
    if (!hooks.is_within_bounds()) {
      Later(kRetryDelay, &Core::Stamp);
      return;
    }
    stamped_at = loop.now();
    stamp = EncodeHostStamp(hooks.read_clocks());
    SetOnline(true);
    GoOfflineLater();
    Write();
  }

  void Write() {
    store.put(key, stamp, version,
              [self = weak_from_this()](const StoreResult& it) {
                if (const auto core = self.lock()) {
                  core->OnWritten(it);
                }
              });
  }

  void OnWritten(const StoreResult& result) {
    if (result.status == StoreStatus::kOk) {
      version = result.version;
      const Millis next = stamped_at + options.period - loop.now();
      Later(std::max(next, Millis{1}), &Core::Stamp);
      return;
    }
    if (result.status == StoreStatus::kVersionConflict) {
      // An earlier try has taken effect.
      version = result.version;
    }
    Later(kRetryDelay, &Core::Retry);
  }

  // While the last stamp counts, the same one is tried again; a newer one must
  // not reach the store later, when the bounds no longer hold.
  void Retry() {
    if (is_online) {
      Write();
    } else {
      Stamp();
    }
  }

  void GoOfflineLater() {
    const Millis at = stamped_at;
    loop.after(options.offline_after, [self = weak_from_this(), at] {
      const auto core = self.lock();
      if (core && core->stamped_at == at) {
        core->SetOnline(false);
      }
    });
  }

  void SetOnline(bool online) {
    if (online == is_online) {
      return;
    }
    is_online = online;
    LogLine(online ? LogEvent::kHostOnline : LogEvent::kHostOffline)
        .Add("stamp_age_ms", loop.now() - stamped_at)
        .Add("store_version", version);
    hooks.set_online(online);
  }

  void Later(Millis delay, void (Core::*next)()) {
    loop.after(delay, [self = weak_from_this(), next] {
      if (const auto core = self.lock()) {
        (*core.*next)();
      }
    });
  }
};

OnlineStamp::OnlineStamp(std::string key,
                         HostStampOptions options,
                         Store store,
                         EventLoop loop,
                         OnlineStampHooks hooks)
    : core_(std::make_shared<Core>()) {
  core_->key = std::move(key);
  core_->options = options;
  core_->store = std::move(store);
  core_->loop = std::move(loop);
  core_->hooks = std::move(hooks);
}

OnlineStamp::~OnlineStamp() = default;

void OnlineStamp::Start(std::uint64_t version) {
  core_->version = version;
  core_->Stamp();
}

}  // namespace crocuslatch
