#include "app/holder_recovery.h"

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

#include "src/error.h"
#include "src/log.h"
#include "src/shard_codec.h"

namespace crocuslatch {
namespace {

struct ShardToReclaim {
  std::uint32_t number = 0;
  std::string budgets;
};

}  // namespace

struct HolderRecovery::Core
    : std::enable_shared_from_this<HolderRecovery::Core> {
  HolderRecoveryOptions options;
  Store store;
  EventLoop loop;
  ApplyToShard apply;
  Done done;
  std::uint64_t stamp_version = 0;
  HolderId previous_holder;
  Millis max_lifetime{0};
  std::vector<ShardToReclaim> shards;
  // Shards whose reclaim command is not confirmed yet.
  std::size_t unconfirmed_shards = 0;

  void ReadStamp() {
    store.get(options.stamp_key,
              [self = weak_from_this()](const StoreResult& it) {
                if (const auto core = self.lock()) {
                  core->OnStamp(it);
                }
              });
  }

  void OnStamp(const StoreResult& result) {
    if (result.status == StoreStatus::kUnknown) {
      // Retries until the stamp is read. It may be too old by then to prove
      // anything, but its version is needed to write the next one.
      RetryLater(&Core::ReadStamp);
      return;
    }
    stamp_version = result.version;
    const auto stamp = DecodeHostStamp(result.value);
    const auto lifetime =
        stamp ? MaxLifetime(*stamp, options.start_stamp, options.stamp_options)
              : std::nullopt;
    LogLine(LogEvent::kPreviousProcess)
        .Add("found", stamp.has_value())
        .Add("lived_ms_at_most", lifetime.value_or(Millis{-1}))
        .Add("by_wall_ms",
             stamp ? options.start_stamp.wall_time - stamp->wall_time
                   : Millis{0})
        .Add("by_boot_ms",
             stamp ? options.start_stamp.boot_time - stamp->boot_time
                   : Millis{0});
    if (!lifetime) {
      done(stamp_version);
      return;
    }
    max_lifetime = *lifetime;
    previous_holder = {options.host, stamp->incarnation};
    ReadLedger();
  }

  void ReadLedger() {
    store.read_all(options.ledger_prefix,
                   [self = weak_from_this()](const StoreRangeResult& it) {
                     if (const auto core = self.lock()) {
                       core->OnLedger(it);
                     }
                   });
  }

  void OnLedger(const StoreRangeResult& range) {
    if (range.status != StoreStatus::kOk) {
      RetryLater(&Core::ReadLedger);
      return;
    }
    for (const auto& it : range.items) {
      try {
        const auto state = DecodeShardState(it.value);
        if (auto budgets = HeldBudgets(state); !budgets.empty()) {
          shards.push_back({state.shard, std::move(budgets)});
        }
      } catch (const UserError& error) {
        LogLine(LogEvent::kShardUnreadable)
            .Add("key", it.key)
            .Add("message", error.what());
      }
    }
    ReclaimAllShards();
  }

  // Returns the names of the budgets in which the previous process holds
  // tokens, separated by spaces, for logs.
  std::string HeldBudgets(const ShardState& state) const {
    std::string names;
    for (const auto& [name, budget] : state.budgets) {
      const auto grant = budget.grants.find(previous_holder);
      if (grant != budget.grants.end() && grant->second.outstanding > 0) {
        names += names.empty() ? name : " " + name;
      }
    }
    return names;
  }

  // Reclaims from all shards at once: after a power loss every host reclaims,
  // and one write carries the commands of many hosts.
  void ReclaimAllShards() {
    unconfirmed_shards = shards.size();
    if (unconfirmed_shards == 0) {
      done(stamp_version);
      return;
    }
    for (const auto& it : shards) {
      Reclaim(it);
    }
  }

  void Reclaim(const ShardToReclaim& shard) {
    apply(shard.number, {ReclaimCommand{previous_holder, max_lifetime}},
          options.apply_timeout,
          [self = weak_from_this(), shard](
              LedgerStatus status, const std::vector<ShardReply>& replies) {
            if (const auto core = self.lock()) {
              core->OnReclaimed(shard, status, replies);
            }
          });
  }

  void OnReclaimed(const ShardToReclaim& shard,
                   LedgerStatus status,
                   const std::vector<ShardReply>& replies) {
    if (status != LedgerStatus::kDurable) {
      // Retrying is safe: the command is idempotent.
      loop.after(options.retry_delay, [self = weak_from_this(), shard] {
        if (const auto core = self.lock()) {
          core->Reclaim(shard);
        }
      });
      return;
    }
    LogLine(LogEvent::kGrantsReclaimed)
        .Add("holder", ToString(previous_holder))
        .Add("budgets", shard.budgets)
        .Add("tokens", replies.front().granted);
    if (--unconfirmed_shards == 0) {
      done(stamp_version);
    }
  }

  void RetryLater(void (Core::*next)()) {
    loop.after(options.retry_delay, [self = weak_from_this(), next] {
      if (const auto core = self.lock()) {
        (*core.*next)();
      }
    });
  }
};

HolderRecovery::HolderRecovery(const HolderRecoveryOptions& options,
                               Store store,
                               EventLoop loop,
                               ApplyToShard apply,
                               Done done)
    : core_(std::make_shared<Core>()) {
  core_->options = options;
  core_->store = std::move(store);
  core_->loop = std::move(loop);
  core_->apply = std::move(apply);
  core_->done = std::move(done);
  core_->ReadStamp();
}

HolderRecovery::~HolderRecovery() = default;

}  // namespace crocuslatch
