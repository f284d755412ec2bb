#include "src/grant_table.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <limits>
#include <map>
#include <mutex>
#include <thread>

#include "tests/fixture_ledger.h"

namespace crocuslatch {
namespace {

// Routers that share one ledger shard writer.
struct Routers {
  LedgerFixture ledger;
  ApplyToShard apply = ledger.MakeWriter();
  std::map<std::string, Tokens> limits{{"b", 1000}};
  std::vector<std::unique_ptr<GrantTable>> tables;
  int recalls = 0;

  explicit Routers(int n) {
    for (int i = 0; i < n; ++i) {
      GrantTableOptions options;
      options.shard_count = 1;
      options.recall = [this, i](const std::string& budget, const auto&) {
        recalls += 1;
        tables[1 - i]->Recall(budget);
      };
      tables.push_back(std::make_unique<GrantTable>(
          options, HolderId{std::to_string(i), 1}, ledger.loop.Hooks(), apply,
          [this](const std::string& name) -> std::optional<Tokens> {
            const auto it = limits.find(name);
            return it == limits.end() ? std::nullopt
                                      : std::optional(it->second);
          }));
    }
  }

  void Run(int ms) { ledger.loop.RunFor(Millis(ms)); }

  // Returns the result, or nullopt if there is none within `ms`.
  std::optional<ReserveStatus> Reserve(int table, Tokens amount, int ms = 500) {
    std::optional<ReserveStatus> result;
    tables[table]->Reserve("b", amount, Millis(ms),
                           [&](ReserveStatus status) { result = status; });
    ledger.loop.RunUntil([&] { return result.has_value(); }, Millis(ms + 1));
    return result;
  }

  BudgetRecord Budget() { return ledger.Stored().budgets.at("b"); }
};

}  // namespace

// Guards against a billed total that differs from the usage.
TEST_CASE("a reservation is granted, settled and returned") {
  Routers routers(1);
  CHECK(routers.Reserve(0, 100) == ReserveStatus::kReserved);
  CHECK(routers.Budget().limit == 1000);
  routers.tables[0]->Settle("b", 100, {{1, 1}, 30});
  routers.Run(2000);
  CHECK(routers.Budget().billed == 30);
  int stopped = 0;
  routers.tables[0]->ReturnAll([&] { stopped += 1; });
  routers.Run(1000);
  CHECK(stopped == 1);
  CHECK(Available(routers.Budget()) == 970);
  CHECK(routers.tables[0]->HeldGrants().empty());
  CHECK(routers.Reserve(0, 1) == ReserveStatus::kUnavailable);
}

// Guards against a bill above its reservation, which no grant covers.
TEST_CASE("a bill is at most the reservation") {
  Routers routers(1);
  REQUIRE(routers.Reserve(0, 100) == ReserveStatus::kReserved);
  routers.tables[0]->Settle("b", 100, {{1, 1}, 300});
  routers.Run(2000);
  CHECK(routers.Budget().billed == 100);
}

// Guards against a refusal while another holder has unused tokens.
TEST_CASE("a router that lacks tokens recalls them from another") {
  Routers routers(2);
  REQUIRE(routers.Reserve(0, 900) == ReserveStatus::kReserved);
  routers.tables[0]->Settle("b", 900, {{1, 1}, 100});
  CHECK(routers.Reserve(1, 850) == ReserveStatus::kReserved);
  CHECK(routers.recalls == 1);
}

// Guards against refusing before other holders had time to return tokens.
TEST_CASE("a request is refused only after the recall wait") {
  Routers routers(2);
  REQUIRE(routers.Reserve(0, 900) == ReserveStatus::kReserved);
  const Millis before = routers.ledger.loop.now();
  CHECK(routers.Reserve(1, 200, 2000) == ReserveStatus::kInsufficient);
  CHECK(routers.ledger.loop.now() - before >= Millis(300));
  CHECK(routers.ledger.loop.now() - before < Millis(400));
}

// Guards against a recall wait when there is no holder to return tokens.
TEST_CASE("a request is refused at once if there is no other holder") {
  Routers routers(2);
  REQUIRE(routers.Reserve(1, 400) == ReserveStatus::kReserved);
  routers.tables[1]->Settle("b", 400, {{1, 1}, 400});
  routers.tables[1]->ReturnAll([] {});
  routers.Run(1000);
  const Tokens amount = GENERATE(601, 1000, 1001);
  const Millis before = routers.ledger.loop.now();
  CHECK(routers.Reserve(0, amount) == ReserveStatus::kInsufficient);
  CHECK(routers.ledger.loop.now() - before < Millis(50));
  CHECK(Available(routers.Budget()) == 600);
}

// Guards against a raised limit that takes effect only after a restart.
TEST_CASE("a raised limit is sent with the next exchange") {
  Routers routers(1);
  CHECK(routers.Reserve(0, 1500) == ReserveStatus::kInsufficient);
  routers.limits["b"] = 2000;
  CHECK(routers.Reserve(0, 1500) == ReserveStatus::kReserved);
}

// Guards against a large waiter that starves behind later, smaller ones.
TEST_CASE("waiters of a budget are served in order") {
  Routers routers(1);
  std::vector<int> order;
  for (const int amount : {300, 10, 200}) {
    routers.tables[0]->Reserve("b", amount, Millis(500),
                               [&order, amount](ReserveStatus status) {
                                 CHECK(status == ReserveStatus::kReserved);
                                 order.push_back(amount);
                               });
  }
  routers.Run(500);
  CHECK(order == std::vector{300, 10, 200});
}

// Guards against tokens that stay with a router that does not use them.
TEST_CASE("an idle grant is returned") {
  Routers routers(1);
  REQUIRE(routers.Reserve(0, 100) == ReserveStatus::kReserved);
  routers.tables[0]->Settle("b", 100, {{1, 1}, 1});
  routers.Run(60000);
  CHECK(Available(routers.Budget()) == 999);
}

// Guards against a reservation that needs a store call while the grant covers
// it, and against reporting an outage as an exhausted budget.
TEST_CASE("a router spends its grant during an outage") {
  Routers routers(1);
  REQUIRE(routers.Reserve(0, 500) == ReserveStatus::kReserved);
  routers.tables[0]->Settle("b", 500, {{1, 1}, 1});
  routers.ledger.store.is_down = true;
  CHECK(routers.Reserve(0, 400) == ReserveStatus::kReserved);
  CHECK(routers.Reserve(0, 400) == ReserveStatus::kUnavailable);
  routers.ledger.store.is_down = false;
  routers.Run(3000);
  CHECK(routers.Reserve(0, 400) == ReserveStatus::kReserved);
}

// Guards against callbacks into a destroyed table.
TEST_CASE("a table may be destroyed with an exchange in flight") {
  Routers routers(1);
  bool called = false;
  routers.tables[0]->Reserve("b", 1, Millis(500),
                             [&](ReserveStatus) { called = true; });
  routers.Run(1);
  routers.tables.clear();
  routers.Run(2000);
  CHECK_FALSE(called);
}

// Guards against a wait for a budget that the document does not have.
TEST_CASE("an unknown budget is reported at once") {
  Routers routers(1);
  routers.limits.clear();
  CHECK(routers.Reserve(0, 1) == ReserveStatus::kUnknownBudget);
}

// Guards against a deadlock of two holders that each have part of the budget.
TEST_CASE("of two routers that lack tokens, one gets the tokens of both") {
  Routers routers(2);
  REQUIRE(routers.Reserve(0, 500) == ReserveStatus::kReserved);
  REQUIRE(routers.Reserve(1, 500) == ReserveStatus::kReserved);
  std::vector<ReserveStatus> results;
  for (int i = 0; i < 2; ++i) {
    routers.tables[i]->Settle("b", 500,
                              {{1, static_cast<std::uint64_t>(i)}, 1});
    routers.tables[i]->Reserve(
        "b", 800, Millis(1000),
        [&](ReserveStatus status) { results.push_back(status); });
  }
  routers.Run(1100);
  CHECK(results ==
        std::vector{ReserveStatus::kReserved, ReserveStatus::kInsufficient});
}

// Guards against data races between workers and the loop's thread.
TEST_CASE("reservations from several threads add up") {
  LedgerFixture ledger;
  std::mutex mutex;
  std::vector<std::pair<Millis, Task>> inbox;
  std::atomic<std::int64_t> now_ms{1000};
  const auto add = [&](Millis delay, Task task) {
    const std::lock_guard lock(mutex);
    inbox.emplace_back(delay, std::move(task));
  };
  const EventLoop hooks{
      .post = [&](Task task) { add(Millis{0}, std::move(task)); },
      .after = add,
      .now = [&] { return Millis(now_ms.load()); }};
  GrantTable table({.shard_count = 1}, {"a", 1}, hooks, ledger.MakeWriter(),
                   [](const std::string&) { return Tokens{100000}; });
  std::atomic<int> reserved{0};
  std::atomic<int> working{4};
  const auto work = [&](std::uint64_t worker) {
    for (std::uint64_t n = 0; n < 200; ++n) {
      table.Reserve("b", 10, Millis(60000), [&, worker, n](ReserveStatus it) {
        reserved += it == ReserveStatus::kReserved ? 1 : 0;
        table.Settle("b", 10, {{worker, n}, 7});
      });
      table.Recall("b");
      static_cast<void>(table.HeldGrants());
    }
    working -= 1;
  };
  std::vector<std::thread> threads;
  for (std::uint64_t i = 0; i < 4; ++i) {
    threads.emplace_back(work, i);
  }
  for (int ms_left = 5000; ms_left > 0; ms_left -= working == 0 ? 1 : 0) {
    {
      const std::lock_guard lock(mutex);
      for (auto& [delay, task] : std::exchange(inbox, {})) {
        ledger.loop.Hooks().after(delay, std::move(task));
      }
    }
    ledger.loop.RunFor(Millis(1));
    now_ms = ledger.loop.now().count();
  }
  for (auto& it : threads) {
    it.join();
  }
  CHECK(reserved == 800);
  CHECK(ledger.Stored().budgets.at("b").billed == 5600);
}

// Guards against exchanges with a negative amount, which peers refuse as
// malformed. The routers then wrote the shards themselves, and 406 of 1,630
// writes were lost.
TEST_CASE(
    "an exchange for a request held back by the usage bound is encodable") {
  LedgerFixture ledger;
  std::vector<ShardCommand> seen;
  const auto writer = ledger.MakeWriter();
  GrantTableOptions options;
  options.shard_count = 1;
  options.has_usage_bounds = true;
  options.spare_horizon = Millis{16000};
  options.min_spare_requests = 4;
  GrantTable table(
      options, HolderId{"a", 1}, ledger.loop.Hooks(),
      [&](std::uint32_t shard, std::vector<ShardCommand> commands,
          Millis timeout, LedgerCallback callback) {
        seen.insert(seen.end(), commands.begin(), commands.end());
        writer(shard, std::move(commands), timeout, std::move(callback));
      },
      [](const std::string&) { return std::optional<Tokens>(100000); });
  table.OnStamp(ledger.loop.now());
  int reserved = 0;
  for (int i = 0; i < 6; ++i) {
    table.Reserve("b", 100, Millis{500}, [&](ReserveStatus it) {
      reserved += it == ReserveStatus::kReserved ? 1 : 0;
    });
    ledger.loop.RunFor(Millis{300});
  }
  CHECK(reserved == 6);
  CHECK(seen.size() > 6);
  CHECK(DecodeCommands(EncodeCommands(seen)) == seen);
}

// Guards against a request whose size makes a sum overflow (review/3): its
// exchange was rejected, the bills in it were forgotten, and the tokens that
// they had used were granted again.
TEST_CASE("no size of a request frees tokens that are used") {
  const Tokens amount = GENERATE(Tokens{1001}, (Tokens{1} << 53) + 1,
                                 std::numeric_limits<Tokens>::max() / 2,
                                 std::numeric_limits<Tokens>::max());
  GrantTableOptions options;
  options.shard_count = 1;
  options.has_usage_bounds = true;
  options.settles_without_keys = true;
  options.spare_horizon = Millis{2000};
  options.min_spare_requests = 1;
  LedgerFixture ledger;
  GrantTable table(
      options, HolderId{"a", 1}, ledger.loop.Hooks(), ledger.MakeWriter(),
      [](const std::string&) { return std::optional<Tokens>(1000); });
  Tokens used = 0;
  for (int i = 0; i < 8; ++i) {
    std::optional<ReserveStatus> huge;
    table.Reserve("b", amount, Millis{200}, [&](auto it) { huge = it; });
    table.Reserve("b", 200, Millis{200}, [&](ReserveStatus it) {
      if (it == ReserveStatus::kReserved) {
        table.Settle("b", 200, {{1, 1}, 200});
        used += 200;
      }
    });
    ledger.loop.RunFor(Millis{300});
    CHECK(huge == ReserveStatus::kInsufficient);
  }
  CHECK(used == 1000);
  ledger.loop.RunFor(Millis{3000});
  CHECK(ledger.Stored().budgets.at("b").billed == 1000);
}

// Guards against bills that a rejected exchange carried and that are forgotten:
// the next exchange opened the grant anew, which freed the used tokens.
TEST_CASE("a rejected exchange keeps the bills that it carried") {
  const bool has_keys = GENERATE(true, false);
  GrantTableOptions options;
  options.shard_count = 1;
  options.settles_without_keys = !has_keys;
  LedgerFixture ledger;
  const auto writer = ledger.MakeWriter();
  int rejections = 0;
  GrantTable table(
      options, HolderId{"a", 1}, ledger.loop.Hooks(),
      [&](std::uint32_t shard, std::vector<ShardCommand> commands,
          Millis timeout, LedgerCallback callback) {
        auto* exchange = std::get_if<ExchangeCommand>(&commands.back());
        if (rejections < 3 && exchange->sequence > 1) {
          // As if the holder had sent a malformed amount.
          ++rejections;
          exchange->pace = -1;
        }
        writer(shard, std::move(commands), timeout, std::move(callback));
      },
      [](const std::string&) { return std::optional<Tokens>(1000); });
  std::optional<ReserveStatus> status;
  table.Reserve("b", 600, Millis{500}, [&](auto it) { status = it; });
  ledger.loop.RunFor(Millis{500});
  REQUIRE(status == ReserveStatus::kReserved);
  table.Settle("b", 600, {{1, 1}, 600});
  ledger.loop.RunFor(Millis{8000});
  CHECK(rejections == 3);
  CHECK(ledger.Stored().budgets.at("b").billed == 600);
  status.reset();
  table.Reserve("b", 500, Millis{500}, [&](auto it) { status = it; });
  ledger.loop.RunFor(Millis{1000});
  CHECK(status == ReserveStatus::kInsufficient);
  table.ReturnAll([] {});
  ledger.loop.RunFor(Millis{1000});
  CHECK(Available(ledger.Stored().budgets.at("b")) == 400);
}

}  // namespace crocuslatch
