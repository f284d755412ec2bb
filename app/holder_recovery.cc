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

class HolderRecovery : public std::enable_shared_from_this<HolderRecovery> {
 public:
  HolderRecovery(HolderRecoveryOptions options,
                 Store store,
                 EventLoop loop,
                 ApplyToShard apply,
                 std::function<void(std::uint64_t)> done)
      : options_(std::move(options)),
        store_(std::move(store)),
        loop_(std::move(loop)),
        apply_(std::move(apply)),
        done_(std::move(done)) {}

  void ReadStamp() {
    store_.get(options_.stamp_key,
               [self = shared_from_this()](const StoreResult& it) {
                 self->OnStamp(it);
               });
  }

 private:
  void OnStamp(const StoreResult& result) {
    if (result.status == StoreStatus::kUnknown) {
      // Retries until the stamp is read. It may be too old by then to prove
      // anything, but its version is needed to write the next one.
      RetryLater(&HolderRecovery::ReadStamp);
      return;
    }
    stamp_version_ = result.version;
    const auto stamp = DecodeHostStamp(result.value);
    const auto lifetime = stamp ? MaxLifetime(*stamp, options_.start_stamp,
                                              options_.stamp_options)
                                : std::nullopt;
    LogLine(LogEvent::kPreviousProcess)
        .Add("found", stamp.has_value())
        .Add("lived_ms_at_most", lifetime.value_or(Millis{-1}))
        .Add("by_wall_ms",
             stamp ? options_.start_stamp.wall_time - stamp->wall_time
                   : Millis{0})
        .Add("by_boot_ms",
             stamp ? options_.start_stamp.boot_time - stamp->boot_time
                   : Millis{0});
    if (!lifetime) {
      done_(stamp_version_);
      return;
    }
    max_lifetime_ = *lifetime;
    previous_holder_ = {options_.host, stamp->incarnation};
    ReadLedger();
  }

  void ReadLedger() {
    store_.read_all(options_.ledger_prefix,
                    [self = shared_from_this()](const StoreRangeResult& it) {
                      self->OnLedger(it);
                    });
  }

  void OnLedger(const StoreRangeResult& range) {
    if (range.status != StoreStatus::kOk) {
      RetryLater(&HolderRecovery::ReadLedger);
      return;
    }
    for (const auto& it : range.items) {
      try {
        const auto state = DecodeShardState(it.value);
        if (auto budgets = HeldBudgets(state); !budgets.empty()) {
          shards_.push_back({state.shard, std::move(budgets)});
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
      const auto grant = budget.grants.find(previous_holder_);
      if (grant != budget.grants.end() && grant->second.outstanding > 0) {
        names += names.empty() ? name : " " + name;
      }
    }
    return names;
  }

  // Reclaims from all shards at once: after a power loss every host reclaims,
  // and one write carries the commands of many hosts.
  void ReclaimAllShards() {
    unconfirmed_shards_ = shards_.size();
    if (unconfirmed_shards_ == 0) {
      done_(stamp_version_);
      return;
    }
    for (const auto& it : shards_) {
      Reclaim(it);
    }
  }

  void Reclaim(const ShardToReclaim& shard) {
    apply_(shard.number, {ReclaimCommand{previous_holder_, max_lifetime_}},
           options_.apply_timeout,
           [self = shared_from_this(), shard](
               LedgerStatus status, const std::vector<ShardReply>& replies) {
             self->OnReclaimed(shard, status, replies);
           });
  }

  void OnReclaimed(const ShardToReclaim& shard,
                   LedgerStatus status,
                   const std::vector<ShardReply>& replies) {
    if (status != LedgerStatus::kDurable) {
      // Retrying is safe: the command is idempotent.
      loop_.after(options_.retry_delay,
                  [self = shared_from_this(), shard] { self->Reclaim(shard); });
      return;
    }
    LogLine(LogEvent::kGrantsReclaimed)
        .Add("holder", ToString(previous_holder_))
        .Add("budgets", shard.budgets)
        .Add("tokens", replies.front().granted);
    if (--unconfirmed_shards_ == 0) {
      done_(stamp_version_);
    }
  }

  void RetryLater(void (HolderRecovery::*next)()) {
    loop_.after(options_.retry_delay,
                [self = shared_from_this(), next] { (*self.*next)(); });
  }

  const HolderRecoveryOptions options_;
  const Store store_;
  const EventLoop loop_;
  const ApplyToShard apply_;
  const std::function<void(std::uint64_t)> done_;
  std::uint64_t stamp_version_ = 0;
  HolderId previous_holder_;
  Millis max_lifetime_{0};
  std::vector<ShardToReclaim> shards_;
  // Shards whose reclaim command is not confirmed yet.
  std::size_t unconfirmed_shards_ = 0;
};

}  // namespace

void RecoverHolder(const HolderRecoveryOptions& options,
                   const Store& store,
                   const EventLoop& loop,
                   const ApplyToShard& apply,
                   std::function<void(std::uint64_t stamp_version)> done) {
  std::make_shared<HolderRecovery>(options, store, loop, apply, std::move(done))
      ->ReadStamp();
}

}  // namespace crocuslatch
