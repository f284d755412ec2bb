#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "app/stamp_writer.h"
#include "core/host_stamp.h"
#include "src/grant_table.h"
#include "tests/fixture_ledger.h"

namespace crocuslatch {
namespace {

// The day `trouble-3` of docs/design/tokens-after-a-loss.md, for its largest
// account: 78 holders, 24.2 million tokens and 0.5 million tokens per second,
// all hosts cut off from 24.0 to 32.7 s and dead at 34.06 s.
constexpr int kHosts = 78;
constexpr Tokens kLimit = 24'245'456;
constexpr double kTokensPerSecond = 500'000;
constexpr Tokens kRequest = 10'000;
constexpr Millis kRequestTime{800};
// Requests reserve more output than they use.
constexpr double kUsedFraction = 0.8;

// Share of the account's load that the home host serves.
constexpr double kConnectedHomeShare = 0.9;
constexpr double kPartitionHomeShare = 1.0 / kHosts;
constexpr double kHealedHomeShare = 0.5;

struct OpenRequest {
  Millis reserved_at{0};
  Tokens used = 0;
};

struct HostUnderTest {
  std::string key;
  std::unique_ptr<GrantTable> table;
  std::unique_ptr<StampWriter> writer;
  std::vector<StampedBound> bounds;
  std::map<int, OpenRequest> open;
};

class Replay {
 public:
  explicit Replay(std::optional<HomeFleetOptions> home_options) {
    for (int i = 0; i < kHosts; ++i) {
      StartHost(i, home_options);
    }
  }

  void Serve(Millis time, double home_share) {
    const Millis end = loop_.now() + time;
    while (loop_.now() < end) {
      for (int i = 0; i < kHosts; ++i) {
        const double share =
            i == 0 ? home_share : (1 - home_share) / (kHosts - 1);
        const double mean = kTokensPerSecond * share / kRequest / 100;
        if (std::uniform_real_distribution<double>(0, 1)(random_) < mean) {
          StartRequest(i);
        }
      }
      loop_.RunFor(Millis{10});
    }
  }

  void SetCut(bool is_cut) { ledger_.store.is_down = is_cut; }

  // Ends all processes. Returns the tokens that are charged once all hosts are
  // back after `down_time` and have recovered, minus those that were used:
  // requests that ran have used a part that grows with their time.
  Tokens LoseAllHosts(Millis down_time) {
    const Millis died_at = loop_.now();
    double used = static_cast<double>(used_);
    for (auto& it : hosts_) {
      for (const auto& [id, request] : it->open) {
        used += static_cast<double>(request.used) *
                static_cast<double>((died_at - request.reserved_at).count()) /
                static_cast<double>(kRequestTime.count());
      }
      it->writer.reset();
      it->table.reset();
    }
    loop_.RunFor(down_time);
    ShardState state = ledger_.Stored();
    for (int i = 0; i < kHosts; ++i) {
      Recover(state, i);
    }
    const BudgetRecord& budget = state.budgets.at("b");
    return budget.limit - Available(budget) - static_cast<Tokens>(used);
  }

  int refused() const { return refused_; }
  int served() const { return served_; }
  int store_calls() const { return ledger_.store.calls; }

 private:
  // Options as in app/front.cc.
  static GrantTableOptions MakeOptions() {
    GrantTableOptions options;
    options.shard_count = 1;
    options.settle_period = Millis{10000};
    options.usage_window = Millis{5000};
    options.spare_horizon = Millis{16000};
    options.spare_deviations = 1.5;
    options.min_spare_requests = 2;
    options.refill_period = Millis{1500};
    options.excess_factor = 1.5;
    options.idle_return_time = Millis{10000};
    options.recall_wait = Millis{0};
    options.refuses_while_unreachable = true;
    options.settles_without_keys = true;
    options.max_spare_fraction = 0.6;
    options.low_budget_fraction = 0.1;
    options.tight_fraction = 0.25;
    options.tight_settle_period = Millis{2000};
    options.tight_idle_return_time = Millis{3000};
    options.has_usage_bounds = true;
    options.armed_horizon = Millis{2500};
    options.max_armed_fraction = 0.02;
    options.min_pace = 4000;
    return options;
  }

  void StartHost(int i, std::optional<HomeFleetOptions> home_options) {
    auto& host = *hosts_.emplace_back(std::make_unique<HostUnderTest>());
    host.key = fmt::format("hosts/{}", i);
    auto options = MakeOptions();
    options.random = [this] {
      return std::uniform_real_distribution<double>(0, 1)(random_);
    };
    host.table = std::make_unique<GrantTable>(
        options, HolderId{std::to_string(i), 1}, loop_.Hooks(), apply_,
        [](const std::string&) { return std::optional<Tokens>(kLimit); });
    host.table->SetHomeFleetOptions(home_options);
    host.writer = std::make_unique<StampWriter>(
        StampWriterOptions{.key = host.key}, ledger_.store.Hooks(),
        loop_.Hooks(),
        StampWriterHooks{
            .make_stamp =
                [this, &host] {
                  return HostStamp{.incarnation = 1,
                                   .boot_time = loop_.now(),
                                   .wall_time = loop_.now(),
                                   .peer_address = "10.0.0.1:1",
                                   .bounds = host.bounds};
                },
            .may_write = [&host] { return host.table->PrepareStamp(); },
            .before_write =
                [&host](Millis now) { host.bounds = host.table->OnStamp(now); },
            .after_write = [&host] { host.table->OnStampStored(); }});
    loop_.Hooks().after(Millis{9 * i}, [&host] { host.writer->Start(0); });
  }

  void StartRequest(int i) {
    HostUnderTest& host = *hosts_[i];
    host.table->Reserve("b", kRequest, Millis{250}, [this, &host](auto it) {
      if (it != ReserveStatus::kReserved || !host.table) {
        ++refused_;
        return;
      }
      const int id = ++last_request_;
      const auto used = static_cast<Tokens>(kRequest * kUsedFraction);
      host.open[id] = {loop_.now(), used};
      loop_.Hooks().after(kRequestTime, [this, &host, id, used] {
        if (!host.table) {
          return;
        }
        host.open.erase(id);
        host.table->Settle("b", kRequest, {{1, 1}, used});
        used_ += used;
        ++served_;
      });
    });
  }

  void Recover(ShardState& state, int i) const {
    const auto stamp = DecodeHostStamp(ledger_.store.Get(hosts_[i]->key).value);
    REQUIRE(stamp);
    HostStamp start = *stamp;
    start.boot_time = loop_.now();
    start.wall_time = loop_.now();
    const auto lived = MaxLifetime(*stamp, start, {});
    REQUIRE(lived);
    Apply(state, ReclaimCommand{{std::to_string(i), 1}, *lived, stamp->bounds},
          0);
  }

  LedgerFixture ledger_;
  FakeLoop& loop_ = ledger_.loop;
  ApplyToShard apply_ = ledger_.MakeWriter();
  std::mt19937_64 random_{3};
  std::vector<std::unique_ptr<HostUnderTest>> hosts_;
  Tokens used_ = 0;
  int last_request_ = 0;
  int refused_ = 0;
  int served_ = 0;
};

struct LossResult {
  double lost_fraction = 0;
  int store_calls = 0;
};

LossResult LoseTokens(std::optional<HomeFleetOptions> home_options,
                      Millis down_time) {
  Replay replay(home_options);
  replay.Serve(Millis{24'000}, kConnectedHomeShare);
  replay.SetCut(true);
  replay.Serve(Millis{8700}, kPartitionHomeShare);
  replay.SetCut(false);
  replay.Serve(Millis{1360}, kHealedHomeShare);
  const int calls = replay.store_calls();
  const Tokens lost = replay.LoseAllHosts(down_time);
  CHECK(lost >= 0);
  UNSCOPED_INFO(fmt::format(
      "{} homes, down {} ms: {} tokens charged and not used; {} served, {} "
      "refused, {} store calls",
      home_options ? "with" : "without", down_time.count(), lost,
      replay.served(), replay.refused(), calls));
  return {static_cast<double>(lost) / static_cast<double>(kLimit), calls};
}

}  // namespace

// Guards against budgets that end early because the loss of all hosts charged
// tokens that nobody used: 0.075 of the limit were lost, and 1,746 requests
// refused in the last 12 s of the day.
TEST_CASE("the loss of all hosts charges few unused tokens") {
  // Processes that are killed are back after 0.7 s, hosts without power after
  // 1.9 to 2.6 s.
  const Millis down_time = GENERATE(Millis{700}, Millis{2250});
  const auto now = LoseTokens(HomeFleetOptions{}, down_time);
  CHECK(now.lost_fraction <= 0.03);
  // With the bounds of the last exchanges alone, as before, the replay shows
  // the fault.
  const auto before = LoseTokens(std::nullopt, down_time);
  CHECK(before.lost_fraction > 0.03);
  CHECK(now.store_calls <= before.store_calls);
}

}  // namespace crocuslatch
