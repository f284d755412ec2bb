#include "app/desired_state_follower.h"

#include <algorithm>
#include <utility>

#include "src/error.h"
#include "src/log.h"

namespace crocuslatch {

namespace {

Tokens PrepaidTokens(const DesiredState& state) {
  Tokens sum = 0;
  for (const auto& it : state.client_accounts) {
    sum += it.prepaid.value_or(0);
  }
  return sum;
}

}  // namespace

struct DesiredStateFollower::Core
    : std::enable_shared_from_this<DesiredStateFollower::Core> {
  DesiredStateFollowerOptions options;
  Store store;
  EventLoop loop;
  Decode decode;
  OnActivated on_in_force;
  RoutingTablePointer current;
  bool is_store_lost = false;

  void Read() {
    store.get(options.key, [self = weak_from_this()](const StoreResult& it) {
      if (const auto core = self.lock()) {
        core->OnRead(it);
      }
    });
  }

  void OnRead(const StoreResult& result) {
    NoteStore(result.status, result.error);
    if (result.status != StoreStatus::kOk) {
      Later(&Core::Read);
      return;
    }
    Adopt(result.value);
    // From the revision of the reading: that of the item may be older than the
    // store's history.
    Watch(std::max(result.version, result.revision));
  }

  void Watch(std::uint64_t after) {
    store.watch(options.key, after, options.watch_timeout,
                [self = weak_from_this(), after](const StoreRangeResult& it) {
                  if (const auto core = self.lock()) {
                    core->OnWatched(after, it);
                  }
                });
  }

  void OnWatched(std::uint64_t after, const StoreRangeResult& range) {
    NoteStore(range.status, range.error);
    if (range.status == StoreStatus::kCompacted) {
      Read();
      return;
    }
    if (range.status != StoreStatus::kOk) {
      // A reading, not another watch: changes of the meantime count now.
      Later(&Core::Read);
      return;
    }
    for (const auto& it : range.items) {
      if (it.key == options.key && it.version != 0) {
        Adopt(it.value);
      }
      after = std::max(after, it.version);
    }
    Watch(std::max(after, range.revision));
  }

  void Adopt(const std::string& value) {
    try {
      auto state = decode(value);
      if (current && state.version <= current->version()) {
        return;
      }
      current = std::make_shared<const RoutingTable>(std::move(state));
    } catch (const UserError& error) {
      LogLine(LogEvent::kDesiredStateRejected)
          .Add("message", error.what())
          .Add("remedy", error.remedy())
          .Add("version_in_force", current ? current->version() : 0);
      return;
    }
    const auto& state = current->state();
    LogLine(LogEvent::kDesiredStateInForce)
        .Add("version", state.version)
        .Add("routes", state.routes.size())
        .Add("services", state.services.size())
        .Add("client_accounts", state.client_accounts.size())
        .Add("prepaid_tokens", PrepaidTokens(state));
    on_in_force(current);
  }

  void NoteStore(StoreStatus status, const std::string& error) {
    const bool is_lost = status == StoreStatus::kUnknown;
    if (is_lost == is_store_lost) {
      return;
    }
    is_store_lost = is_lost;
    LogLine(is_lost ? LogEvent::kStoreUnavailable : LogEvent::kStoreRecovered)
        .Add("reader", "desired_state")
        .Add("message", error)
        .Add("version_in_force", current ? current->version() : 0);
  }

  void Later(void (Core::*next)()) {
    loop.after(options.retry_delay, [self = weak_from_this(), next] {
      if (const auto core = self.lock()) {
        (*core.*next)();
      }
    });
  }
};

DesiredStateFollower::DesiredStateFollower(DesiredStateFollowerOptions options,
                                           Store store,
                                           EventLoop loop,
                                           Decode decode,
                                           OnActivated on_in_force)
    : core_(std::make_shared<Core>()) {
  core_->options = std::move(options);
  core_->store = std::move(store);
  core_->loop = std::move(loop);
  core_->decode = std::move(decode);
  core_->on_in_force = std::move(on_in_force);
}

DesiredStateFollower::~DesiredStateFollower() = default;

void DesiredStateFollower::Start() {
  core_->Read();
}

RoutingTablePointer DesiredStateFollower::current() const {
  return core_->current;
}

}  // namespace crocuslatch
