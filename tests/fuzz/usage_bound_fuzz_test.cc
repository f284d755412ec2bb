#include <fmt/format.h>
#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <vector>

#include "app/stamp_writer.h"
#include "core/host_stamp.h"
#include "src/grant_table.h"
#include "tests/fixture_ledger.h"
#include "tests/fuzz/fuzz_seed.h"

namespace crocuslatch {
namespace {

constexpr Tokens kLimit = 400'000;
const HolderId kHolder{"h", 7};
const std::string kStampKey = "hosts/h";

struct Action {
  int kind = 0;
  int amount = 0;
};

std::ostream& operator<<(std::ostream& out, const Action& it) {
  return out << fmt::format("{{{} {}}}", it.kind, it.amount);
}

rc::Gen<Action> ArbitraryAction() {
  return rc::gen::build<Action>(
      rc::gen::set(&Action::kind, rc::gen::inRange(0, 12)),
      rc::gen::set(&Action::amount, rc::gen::inRange(1, 1000)));
}

// A holder that stamps and exchanges with a faulty store, and what it used.
class Holder {
 public:
  explicit Holder(std::uint64_t seed) : store_(ledger_.loop, seed) {
    store_.faults = {.lost_call = 0.05,
                     .lost_answer = 0.1,
                     .delayed_write = 0.1,
                     .false_conflict = 0.03};
    GrantTableOptions options;
    options.shard_count = 1;
    options.settle_period = Millis{3000};
    options.usage_window = Millis{5000};
    options.spare_horizon = Millis{8000};
    options.spare_deviations = 1.5;
    options.min_spare_requests = 2;
    options.refill_period = Millis{1500};
    options.excess_factor = 1.5;
    options.idle_return_time = Millis{4000};
    options.recall_wait = Millis{0};
    options.refuses_while_unreachable = true;
    options.settles_without_keys = true;
    options.has_usage_bounds = true;
    options.armed_horizon = Millis{2500};
    options.max_armed_fraction = 0.02;
    options.min_pace = 4000;
    auto hooks = store_.Hooks();
    table_ = std::make_unique<GrantTable>(
        options, kHolder, ledger_.loop.Hooks(),
        MakeShardWriter(ledger_.MakeOptions(), hooks, ledger_.loop.Hooks()),
        [](const std::string&) { return std::optional<Tokens>(kLimit); });
    table_->SetHomeFleetOptions(HomeFleetOptions{});
    writer_ = std::make_unique<StampWriter>(
        StampWriterOptions{.key = kStampKey}, hooks, ledger_.loop.Hooks(),
        StampWriterHooks{
            .make_stamp =
                [this] {
                  return HostStamp{.incarnation = kHolder.incarnation,
                                   .boot_time = ledger_.loop.now(),
                                   .wall_time = ledger_.loop.now(),
                                   .peer_address = "10.0.0.1:1",
                                   .bounds = bounds_};
                },
            .may_write = [this] { return table_->PrepareStamp(); },
            .before_write =
                [this](Millis now) { bounds_ = table_->OnStamp(now); },
            .after_write = [this] { table_->OnStampStored(); }});
    writer_->Start(0);
  }

  void Perform(const Action& action) {
    if (action.kind < 5) {
      const Tokens amount = Tokens{8} * action.amount;
      table_->Reserve("b", amount, Millis{250}, [this, amount](auto it) {
        if (it == ReserveStatus::kReserved) {
          reserved_.push_back(amount);
        }
      });
    } else if (action.kind < 7 && !reserved_.empty()) {
      const auto i = static_cast<std::size_t>(action.amount) % reserved_.size();
      const Tokens used = reserved_[i] * action.amount / 1000;
      table_->Settle("b", reserved_[i], {{1, ++last_key_}, used});
      settled_ += used;
      reserved_.erase(reserved_.begin() + static_cast<std::ptrdiff_t>(i));
    } else if (action.kind == 7 && action.amount < 300) {
      store_.is_down = !store_.is_down;
    } else if (action.kind == 8 && action.amount < 200) {
      table_->SetHomeFleetOptions(action.amount < 60
                                      ? std::nullopt
                                      : std::optional(HomeFleetOptions{}));
    } else if (action.kind == 9 && action.amount < 100) {
      table_->Recall("b");
    }
    for (int i = 0; i < action.amount % 100; i += 5) {
      ledger_.loop.RunFor(Millis{5});
      CheckDeath(ledger_.loop.now());
    }
  }

  // Stops the holder. Writes in flight may still take effect.
  void Die() {
    const Millis died_at = ledger_.loop.now();
    writer_.reset();
    table_.reset();
    ledger_.loop.RunFor(Millis{3000});
    CheckDeath(died_at);
  }

 private:
  // A recovery after a death at this time must count all that was used.
  void CheckDeath(Millis died_at) const {
    const auto stamp = DecodeHostStamp(store_.Get(kStampKey).value);
    const auto shard = store_.Get(ShardKey(0));
    if (!stamp || shard.status != StoreStatus::kOk) {
      return;
    }
    ShardState state = DecodeShardState(shard.value);
    Apply(state,
          ReclaimCommand{kHolder, died_at - stamp->boot_time, stamp->bounds},
          0);
    Tokens used = settled_;
    for (const auto it : reserved_) {
      used += it;
    }
    RC_ASSERT(used <= kLimit);
    RC_ASSERT(used <= state.budgets["b"].billed);
  }

  LedgerFixture ledger_;
  FakeStore store_;
  std::vector<StampedBound> bounds_;
  std::vector<Tokens> reserved_;
  Tokens settled_ = 0;
  std::uint64_t last_key_ = 0;
  std::unique_ptr<GrantTable> table_;
  std::unique_ptr<StampWriter> writer_;
};

}  // namespace

// Guards against a holder that uses more than the ledger counts as used when
// the holder dies: the budget would then be granted twice. Every write may be
// lost, late or unanswered, and the holder may die at any moment.
TEST_CASE("a dead holder never used more than its recovery charges") {
  CHECK(rc::check("usage bound", [] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto actions =
        *rc::gen::container<std::vector<Action>>(ArbitraryAction());
    Holder holder(seed);
    for (const auto& it : actions) {
      holder.Perform(it);
    }
    holder.Die();
  }));
}

}  // namespace crocuslatch
