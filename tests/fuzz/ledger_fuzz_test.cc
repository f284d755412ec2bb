#include <fmt/format.h>
#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <set>

#include "src/grant_table.h"
#include "src/shard_codec.h"
#include "src/shard_writer.h"
#include "tests/fake_loop.h"
#include "tests/fake_store.h"
#include "tests/fuzz/fuzz_seed.h"

namespace crocuslatch {
namespace {

constexpr std::uint32_t kShards = 2;
constexpr int kHosts = 3;
constexpr int kBudgets = 3;
constexpr int kOrderKeys = 4;

enum class Kind {
  kReserve,
  kReserveRetry,
  kOrder,
  kRaiseLimit,
  kPartition,
  kOutage,
  kCrash,
  kRun,
};

struct Action {
  Kind kind = Kind::kRun;
  int host = 0;
  int budget = 0;
  int amount = 0;
  int choice = 0;
};

std::ostream& operator<<(std::ostream& out, const Action& it) {
  return out << fmt::format("{{kind {} host {} budget {} amount {} choice {}}}",
                            static_cast<int>(it.kind), it.host, it.budget,
                            it.amount, it.choice);
}

rc::Gen<Action> ArbitraryAction() {
  const auto kind = rc::gen::weightedElement<Kind>({{8, Kind::kReserve},
                                                    {2, Kind::kReserveRetry},
                                                    {4, Kind::kOrder},
                                                    {1, Kind::kRaiseLimit},
                                                    {1, Kind::kPartition},
                                                    {1, Kind::kOutage},
                                                    {1, Kind::kCrash},
                                                    {4, Kind::kRun}});
  return rc::gen::build<Action>(
      rc::gen::set(&Action::kind, kind),
      rc::gen::set(&Action::host, rc::gen::inRange(0, kHosts)),
      rc::gen::set(&Action::budget, rc::gen::inRange(0, kBudgets)),
      rc::gen::set(&Action::amount, rc::gen::inRange(1, 400)),
      rc::gen::set(&Action::choice, rc::gen::inRange(0, 1000)));
}

std::string BudgetName(int n) {
  return fmt::format("budget-{}", n);
}

// Expected totals of one budget, which the test maintains as its oracle.
struct Account {
  Tokens prepaid = 0;
  // Reservations that are not settled, including those of crashed routers.
  Tokens reserved = 0;
  // First bill of every key, by routers that have not crashed since.
  std::map<RequestKey, Tokens> bills;
  // Bills of routers that crashed while they held tokens. The ledger may or may
  // not have them.
  std::map<RequestKey, Tokens> uncertain_bills;
  Tokens order_costs = 0;

  Tokens Used() const {
    Tokens sum = reserved + order_costs;
    for (const auto& it : bills) {
      sum += it.second;
    }
    for (const auto& it : uncertain_bills) {
      sum += bills.contains(it.first) ? 0 : it.second;
    }
    return sum;
  }
};

// Several routers over one faulty store and lossy links, with the oracle.
class Fleet {
 public:
  explicit Fleet(std::uint64_t seed) : store_(loop_, seed), random_(seed) {
    store_.faults = {.lost_call = 0.03,
                     .lost_answer = 0.08,
                     .delayed_write = 0.05,
                     .false_conflict = 0.02};
    store_.on_write = [this](const auto& key, const auto& value) {
      CheckStored(key, value);
    };
    for (int i = 0; i < kBudgets; ++i) {
      accounts_[BudgetName(i)].prepaid = 1000;
    }
    for (int i = 0; i < kHosts; ++i) {
      hosts_.emplace_back();
      MakeWriter(i);
      MakeTable(i);
    }
  }

  void Perform(const Action& action) {
    switch (action.kind) {
      case Kind::kReserve:
      case Kind::kReserveRetry:
        Reserve(action);
        break;
      case Kind::kOrder:
        Claim(action);
        break;
      case Kind::kRaiseLimit:
        accounts_.at(BudgetName(action.budget)).prepaid += action.amount;
        break;
      case Kind::kPartition:
        hosts_[action.host].partitioned_until =
            loop_.now() + Millis(action.amount * 10);
        break;
      case Kind::kOutage:
        outage_until_ = loop_.now() + Millis(action.amount * 5);
        break;
      case Kind::kCrash:
        CrashHost(action.host);
        break;
      case Kind::kRun:
        loop_.RunFor(Millis(action.amount));
        break;
    }
    loop_.RunFor(Millis(action.choice % 20));
  }

  // Ends all faults, returns all grants and compares the totals with the
  // oracle.
  void SettleAndCompare() {
    store_.faults = {};
    links_fail_ = false;
    int stopped = 0;
    loop_.RunFor(Millis(20000));
    for (auto& it : hosts_) {
      it.table->ReturnAll([&stopped] { stopped += 1; });
    }
    loop_.RunUntil([&] { return stopped == kHosts; }, Millis(60000));
    RC_ASSERT(stopped == kHosts);
    RC_ASSERT(open_orders_ == 0);
    for (const auto& [name, account] : accounts_) {
      CompareTotals(name, account);
    }
  }

 private:
  struct Host {
    std::unique_ptr<GrantTable> table;
    HolderId holder;
    ApplyToShard writer;
    ApplyToShard client;
    Millis partitioned_until{0};
    int incarnation = 0;
  };

  bool Chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }

  void MakeWriter(int n) {
    ShardWriterOptions options;
    options.max_recent_entries = 6;
    options.wall_ms = [this] { return loop_.now().count(); };
    options.random = [this] { return random_(); };
    hosts_[n].writer = MakeShardWriter(options, store_.Hooks([this, n] {
      return loop_.now() < std::max(outage_until_, hosts_[n].partitioned_until);
    }),
                                       loop_.Hooks());
    LedgerClientOptions client_options;
    client_options.own_host = std::to_string(n);
    hosts_[n].client = MakeLedgerClient(
        client_options, loop_.Hooks(),
        [](std::uint32_t shard) {
          return std::vector{std::to_string(shard % kHosts),
                             std::to_string((shard + 1) % kHosts)};
        },
        [this](const std::string& host, std::uint32_t shard,
               const std::vector<ShardCommand>& commands, Millis timeout,
               const LedgerCallback& callback) {
          SendToPeer(std::stoi(host), shard, commands, timeout, callback);
        },
        hosts_[n].writer);
  }

  // Delivers the request, but sometimes loses it, delays it or loses the reply.
  void SendToPeer(int host,
                  std::uint32_t shard,
                  const std::vector<ShardCommand>& commands,
                  Millis timeout,
                  const LedgerCallback& callback) {
    const bool is_lost = links_fail_ && Chance(0.05);
    const bool is_late = links_fail_ && Chance(0.05);
    const bool answer_lost = links_fail_ && Chance(0.05);
    const auto done = std::make_shared<bool>(false);
    const auto answer = [done, callback](LedgerStatus status,
                                         const auto& replies) {
      if (!std::exchange(*done, true)) {
        callback(status, replies);
      }
    };
    loop_.Hooks().after(timeout, [answer] {
      answer(LedgerStatus::kUnknown, std::vector<ShardReply>{});
    });
    if (is_lost) {
      return;
    }
    loop_.Hooks().after(
        is_late ? Millis(1500) : Millis(1),
        [this, host, shard, commands, timeout, answer, answer_lost] {
          hosts_[host].writer(
              shard, commands, timeout,
              [answer, answer_lost](LedgerStatus status, const auto& replies) {
                if (!answer_lost) {
                  answer(status, replies);
                }
              });
        });
  }

  void MakeTable(int n) {
    Host& host = hosts_[n];
    host.incarnation += 1;
    host.holder = {std::to_string(n),
                   static_cast<std::uint64_t>(host.incarnation)};
    GrantTableOptions options;
    options.shard_count = kShards;
    options.recall = [this](const std::string& budget,
                            const std::vector<HolderId>& holders) {
      for (auto& it : hosts_) {
        if (std::ranges::find(holders, it.holder) != holders.end()) {
          it.table->Recall(budget);
        }
      }
    };
    host.table = std::make_unique<GrantTable>(
        options, host.holder, loop_.Hooks(), host.client,
        [this](const std::string& budget) {
          return std::optional(accounts_.at(budget).prepaid);
        });
  }

  // The oracle keeps counting the crashed router's reservations as used, and
  // its bills as uncertain, since the ledger may never have received them.
  void CrashHost(int n) {
    const bool held_nothing = hosts_[n].table->HeldGrants().empty();
    hosts_[n].table.reset();
    for (auto& [name, account] : accounts_) {
      for (const auto& key : bills_by_host_[n]) {
        if (!held_nothing && account.bills.contains(key)) {
          account.uncertain_bills.insert(account.bills.extract(key));
        }
      }
    }
    bills_by_host_[n].clear();
    MakeTable(n);
  }

  void Reserve(const Action& action) {
    const std::string name = BudgetName(action.budget);
    Account& account = accounts_.at(name);
    RequestKey key{1, ++last_key_};
    Tokens used = 1 + action.amount * (action.choice % 100) / 100;
    if (action.kind == Kind::kReserveRetry && !account.bills.empty()) {
      const auto it =
          std::next(account.bills.begin(),
                    static_cast<int>(action.choice % account.bills.size()));
      std::tie(key, used) = *it;
    }
    const Tokens amount = std::max<Tokens>(action.amount, used);
    const int n = action.host;
    const int incarnation = hosts_[n].incarnation;
    hosts_[n].table->Reserve(name, amount, Millis(1000),
                             [=, this](ReserveStatus status) {
                               if (status == ReserveStatus::kReserved) {
                                 OnReserved(n, incarnation, name, amount,
                                            {key, used}, Millis(action.choice));
                               }
                             });
  }

  void OnReserved(int n,
                  int incarnation,
                  const std::string& name,
                  Tokens amount,
                  const Bill& bill,
                  Millis duration) {
    Account& account = accounts_.at(name);
    account.reserved += amount;
    RC_ASSERT(account.Used() <= account.prepaid);
    loop_.Hooks().after(duration, [=, this, &account] {
      if (hosts_[n].incarnation != incarnation) {
        return;
      }
      account.reserved -= amount;
      account.bills.emplace(bill.key, bill.amount);
      bills_by_host_[n].push_back(bill.key);
      hosts_[n].table->Settle(name, amount, bill);
    });
  }

  void Claim(const Action& action) {
    const std::string name = BudgetName(action.choice % kBudgets);
    const RequestKey key{
        2, static_cast<std::uint64_t>(action.choice % (kBudgets * kOrderKeys))};
    const ClaimCommand claim{key,       {3, key.low},
                             name,      10 + action.choice % kBudgets,
                             random_(), hosts_[action.host].holder};
    open_orders_ += 1;
    Apply(action.host, claim,
          [=, this](LedgerStatus status, const auto& replies) {
            const bool is_claimed = status == LedgerStatus::kDurable &&
                                    replies[0].status == ReplyStatus::kOk;
            const bool must_abandon =
                status == LedgerStatus::kUnknown ||
                MustAbandonClaim(replies[0], claim.attempt);
            if (is_claimed && action.amount % 4 != 0) {
              Dispatch(action, claim);
            } else if (is_claimed || must_abandon) {
              SendUntilDurable(action.host,
                               AbandonCommand{key, claim.attempt, name});
            } else {
              open_orders_ -= 1;
            }
          });
  }

  void Dispatch(const Action& action, const ClaimCommand& claim) {
    RC_ASSERT(dispatched_.insert(claim.key).second);
    Account& account = accounts_.at(claim.budget);
    account.order_costs += claim.cost;
    RC_ASSERT(account.Used() <= account.prepaid);
    ShardCommand outcome = DoubtCommand{claim.key, claim.attempt};
    if (action.amount % 4 != 1) {
      outcome = FinishCommand{claim.key, claim.attempt, 200, "done"};
    }
    loop_.Hooks().after(Millis(action.choice),
                        [=, this] { SendUntilDurable(action.host, outcome); });
  }

  // Sends the command until it is durable, then once more through another
  // router to check that it is idempotent.
  void SendUntilDurable(int host, const ShardCommand& command) {
    Apply(host, command, [=, this](LedgerStatus status, const auto&) {
      if (status == LedgerStatus::kUnknown) {
        loop_.Hooks().after(Millis(50),
                            [=, this] { SendUntilDurable(host, command); });
      } else {
        open_orders_ -= 1;
        Apply((host + 1) % kHosts, command, [](LedgerStatus, const auto&) {});
      }
    });
  }

  void Apply(int host, const ShardCommand& command, LedgerCallback callback) {
    std::uint64_t budget = 0;
    std::visit(
        [&](const auto& it) {
          if constexpr (requires { it.key; }) {
            budget = it.key.low % kBudgets;
          }
        },
        command);
    hosts_[host].client(
        ShardOfBudget(BudgetName(static_cast<int>(budget)), kShards), {command},
        Millis(1000), std::move(callback));
  }

  void CheckStored(const std::string& key, const std::string& value) {
    if (std::ranges::count(key, '/') > 1) {
      return;
    }
    for (const auto& [name, budget] : DecodeShardState(value).budgets) {
      Tokens sum = budget.billed + budget.open_charges;
      for (const auto& it : budget.grants) {
        sum += it.second.outstanding;
      }
      RC_ASSERT(sum <= budget.limit);
      RC_ASSERT(budget.limit <= accounts_.at(name).prepaid);
    }
  }

  void CompareTotals(const std::string& name, const Account& account) {
    const std::uint32_t shard = ShardOfBudget(name, kShards);
    const StoreResult stored = store_.Get(ShardKey(shard));
    if (stored.status != StoreStatus::kOk) {
      return;
    }
    const ShardState state = DecodeShardState(stored.value);
    if (!state.budgets.contains(name)) {
      return;
    }
    const BudgetRecord& budget = state.budgets.at(name);
    Tokens min_billed = account.order_costs;
    for (const auto& it : account.bills) {
      min_billed += it.second;
    }
    RC_ASSERT(budget.open_charges == 0);
    RC_ASSERT(budget.billed >= min_billed);
    RC_ASSERT(budget.billed <= account.Used() - account.reserved);
    for (const auto& it : hosts_) {
      const auto grant = budget.grants.find(it.holder);
      const Tokens outstanding =
          grant == budget.grants.end() ? 0 : grant->second.outstanding;
      RC_ASSERT(outstanding == 0);
    }
  }

  FakeLoop loop_;
  FakeStore store_;
  std::mt19937_64 random_;
  std::map<std::string, Account> accounts_;
  std::vector<Host> hosts_;
  std::map<int, std::vector<RequestKey>> bills_by_host_;
  std::set<RequestKey> dispatched_;
  Millis outage_until_{0};
  std::uint64_t last_key_ = 0;
  int open_orders_ = 0;
  bool links_fail_ = true;
};

}  // namespace

// Guards against overspending, double billing and double dispatch in the
// presence of lost, late and conflicting writes, partitions and crashes.
TEST_CASE("a fleet over a faulty store never overspends") {
  CHECK(rc::check("ledger", [] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto actions =
        *rc::gen::container<std::vector<Action>>(ArbitraryAction());
    Fleet fleet(seed);
    for (const auto& it : actions) {
      fleet.Perform(it);
    }
    fleet.SettleAndCompare();
  }));
}

}  // namespace crocuslatch
