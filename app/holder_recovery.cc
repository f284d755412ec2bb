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

struct HeldShard {
  std::uint32_t number = 0;
  std::string budgets;
};

class Recovery : public std::enable_shared_from_this<Recovery> {
 public:
  Recovery(HolderRecoveryOptions options,
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
      // A stamp that cannot be read soon is too old to prove anything, but its
      // version is needed to write the next one.
      Later(&Recovery::ReadStamp);
      return;
    }
    version_ = result.version;
    const auto stamp = DecodeHostStamp(result.value);
    const auto lived = stamp ? MaxLifetime(*stamp, options_.start_stamp,
                                           options_.stamp_options)
                             : std::nullopt;
    LogLine(LogEvent::kPreviousProcess)
        .Add("found", stamp.has_value())
        .Add("lived_ms_at_most", lived.value_or(Millis{-1}))
        .Add("by_wall_ms",
             stamp ? options_.start_stamp.wall_time - stamp->wall_time
                   : Millis{0})
        .Add("by_boot_ms",
             stamp ? options_.start_stamp.boot_time - stamp->boot_time
                   : Millis{0});
    if (!lived) {
      done_(version_);
      return;
    }
    lived_ = *lived;
    previous_ = {options_.host, stamp->incarnation};
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
      Later(&Recovery::ReadLedger);
      return;
    }
    for (const auto& it : range.items) {
      try {
        const auto state = DecodeShardState(it.value);
        if (auto budgets = BudgetsHeld(state); !budgets.empty()) {
          shards_.push_back({state.shard, std::move(budgets)});
        }
      } catch (const UserError& error) {
        LogLine(LogEvent::kShardUnreadable)
            .Add("key", it.key)
            .Add("message", error.what());
      }
    }
    ReclaimAll();
  }

  // Budgets of which the previous process has tokens, for logs.
  std::string BudgetsHeld(const ShardState& state) const {
    std::string names;
    for (const auto& [name, budget] : state.budgets) {
      const auto grant = budget.grants.find(previous_);
      if (grant != budget.grants.end() && grant->second.outstanding > 0) {
        names += names.empty() ? name : " " + name;
      }
    }
    return names;
  }

  // All shards at once: after a loss of power every host reclaims, and one
  // write carries the commands of many of them.
  void ReclaimAll() {
    open_ = shards_.size();
    if (open_ == 0) {
      done_(version_);
      return;
    }
    for (const auto& it : shards_) {
      Reclaim(it);
    }
  }

  void Reclaim(const HeldShard& shard) {
    apply_(shard.number, {ReclaimCommand{previous_, lived_}},
           options_.apply_timeout,
           [self = shared_from_this(), shard](
               LedgerStatus status, const std::vector<ShardReply>& replies) {
             self->OnReclaimed(shard, status, replies);
           });
  }

  void OnReclaimed(const HeldShard& shard,
                   LedgerStatus status,
                   const std::vector<ShardReply>& replies) {
    if (status != LedgerStatus::kDurable) {
      // Repeating it changes nothing if it has taken effect.
      loop_.after(options_.retry_delay,
                  [self = shared_from_this(), shard] { self->Reclaim(shard); });
      return;
    }
    LogLine(LogEvent::kGrantsReclaimed)
        .Add("holder", ToString(previous_))
        .Add("budgets", shard.budgets)
        .Add("tokens", replies.front().granted);
    if (--open_ == 0) {
      done_(version_);
    }
  }

  void Later(void (Recovery::*next)()) {
    loop_.after(options_.retry_delay,
                [self = shared_from_this(), next] { (*self.*next)(); });
  }

  const HolderRecoveryOptions options_;
  const Store store_;
  const EventLoop loop_;
  const ApplyToShard apply_;
  const std::function<void(std::uint64_t)> done_;
  std::uint64_t version_ = 0;
  HolderId previous_;
  Millis lived_{0};
  std::vector<HeldShard> shards_;
  // Shards without an answer.
  std::size_t open_ = 0;
};

}  // namespace

void RecoverHolder(const HolderRecoveryOptions& options,
                   const Store& store,
                   const EventLoop& loop,
                   const ApplyToShard& apply,
                   std::function<void(std::uint64_t stamp_version)> done) {
  std::make_shared<Recovery>(options, store, loop, apply, std::move(done))
      ->ReadStamp();
}

}  // namespace crocuslatch
