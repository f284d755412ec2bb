#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "app/token_lender.h"
#include "app/token_loans.h"
#include "tests/fake_loop.h"

// A soak of the loans between hosts in virtual time: hosts freeze, restart and
// lose their connections at random moments that overlap, and the ledger is
// slow, while requests borrow tokens, spend some of them and settle. SOAK_SEEDS
// sets the number of seeds, SOAK_FIRST_SEED the first one.

namespace crocuslatch {
namespace {

constexpr int kHosts = 5;
constexpr Tokens kAmount = 100;
constexpr Millis kTroubleTime{20000};
// Longer than all retries of a settlement together, and with kTroubleTime
// shorter than the time limit of a loan.
constexpr Millis kCalmTime{30000};

struct Process {
  HolderId id;
  bool is_alive = true;
  std::unique_ptr<TokenLender> lender;
  std::unique_ptr<TokenLoans> loans;
  // Tokens reserved and billed at this process as lender. Each query has a
  // budget of its own.
  std::map<std::string, Tokens> reserved;
  std::map<std::string, Tokens> billed;
};
using ProcessPtr = std::shared_ptr<Process>;

struct Host {
  ProcessPtr process;
  bool is_frozen = false;
  std::vector<Task> frozen_tasks;
  Millis unread{0};
};

// A connection from one process to another; see PeerNetwork::Request.
struct Link {
  ProcessPtr from;
  ProcessPtr to;
  bool is_open = true;
  Millis next_arrival{0};
  std::uint64_t last_request = 0;
  std::map<std::uint64_t, PeerLink::ReplyCallback> pending;
};
using LinkPtr = std::shared_ptr<Link>;

class World {
 public:
  explicit World(std::uint64_t seed) : random_(seed) {
    for (int i = 0; i < kHosts; ++i) {
      hosts_[fmt::format("h{}", i)];
    }
    for (auto& [name, host] : hosts_) {
      StartProcess(name);
    }
    RequestLater();
    TroubleLater();
  }

  void Run() {
    loop_.RunFor(kTroubleTime);
    is_calm_ = true;
    for (auto& [name, host] : hosts_) {
      Wake(name);
    }
    loop_.RunFor(kCalmTime);
    Check();
  }

  std::vector<std::string> faults;
  int lent = 0;

 private:
  int Random(int from, int to) {
    return std::uniform_int_distribution<int>(from, to)(random_);
  }
  std::string RandomHost() { return fmt::format("h{}", Random(0, kHosts - 1)); }

  // Runs the task in the process, later if its host is frozen, and not at all
  // if the process has ended.
  void RunIn(const ProcessPtr& process, const Task& task) {
    if (!process->is_alive) {
      return;
    }
    auto& host = hosts_[process->id.host];
    if (host.is_frozen) {
      host.frozen_tasks.push_back(
          [this, process, task] { RunIn(process, task); });
      return;
    }
    task();
  }

  EventLoop LoopOf(const ProcessPtr& process) {
    const auto after = [this, weak = std::weak_ptr(process)](Millis delay,
                                                             const Task& task) {
      loop_.Hooks().after(delay, [this, weak, task] {
        if (const auto it = weak.lock()) {
          RunIn(it, task);
        }
      });
    };
    return {.post = [after](const Task& task) { after(Millis{0}, task); },
            .after = after,
            .now = [this] { return loop_.now(); }};
  }

  void StartProcess(const std::string& name) {
    const auto process = std::make_shared<Process>();
    process->id = {name, ++last_incarnation_};
    hosts_[name].process = process;
    processes_.push_back(process);
    auto* const it = process.get();
    const auto loop = LoopOf(process);
    it->lender = std::make_unique<TokenLender>(
        TokenLenderOptions{}, loop,
        TokenLenderHooks{
            .reserve = [this, it](
                           const std::string& budget, Tokens amount,
                           double) { return TryReserve(*it, budget, amount); },
            .reserve_waiting =
                [this, it, loop](const std::string& budget, Tokens amount,
                                 Millis, const auto& callback) {
                  loop.after(Millis{Random(0, 400)}, [=, this] {
                    callback(TryReserve(*it, budget, amount)
                                 ? ReserveStatus::kReserved
                                 : ReserveStatus::kInsufficient);
                  });
                },
            .settle =
                [it](const std::string& budget, Tokens amount, Tokens used) {
                  it->reserved[budget] -= amount;
                  it->billed[budget] += used;
                },
            .unread_time = [this, name] { return hosts_[name].unread; }});
    it->loans = std::make_unique<TokenLoans>(
        TokenLoansOptions{}, loop,
        TokenLoansHooks{.peers = [this, name] { return Others(name); },
                        .random = [this] { return Random(0, 999) / 1000.0; },
                        .request =
                            [this, weak = std::weak_ptr(process)](
                                const std::string& host, const BodyPacker& body,
                                Millis timeout, auto on_reply) {
                              Request(weak.lock(), host, body, timeout,
                                      std::move(on_reply));
                            }});
  }

  bool TryReserve(Process& process, const std::string& budget, Tokens amount) {
    if (Random(0, 9) == 0) {
      return false;
    }
    process.reserved[budget] += amount;
    ++lent;
    return true;
  }

  std::vector<std::string> Others(const std::string& name) const {
    std::vector<std::string> others;
    for (const auto& [it, host] : hosts_) {
      if (it != name) {
        others.push_back(it);
      }
    }
    return others;
  }

  LinkPtr LinkTo(const ProcessPtr& from, const std::string& host) {
    auto& link = links_[{from->id, host}];
    if (!link || !link->is_open) {
      link = std::make_shared<Link>();
      link->from = from;
      link->to = hosts_[host].process;
    }
    return link;
  }

  // Calls `deliver` with a copy of the message, after those sent before it.
  void Transfer(const LinkPtr& link,
                std::uint64_t request_id,
                const BodyPacker& pack,
                const ProcessPtr& receiver,
                const std::function<void(const wire::Envelope&)>& deliver) {
    flatbuffers::FlatBufferBuilder builder;
    const auto [type, body] = pack(builder);
    builder.Finish(wire::CreateEnvelope(builder, request_id, type, body));
    const auto bytes =
        std::make_shared<flatbuffers::DetachedBuffer>(builder.Release());
    link->next_arrival =
        std::max(link->next_arrival, loop_.now() + Millis{Random(1, 5)});
    loop_.Hooks().after(link->next_arrival - loop_.now(), [=, this] {
      // What was sent before the end of a connection may still arrive.
      if (link->is_open || Random(0, 1) == 0) {
        RunIn(receiver, [=] {
          deliver(*flatbuffers::GetRoot<wire::Envelope>(bytes->data()));
        });
      }
    });
  }

  void Request(const ProcessPtr& from,
               const std::string& host,
               const BodyPacker& body,
               Millis timeout,
               PeerLink::ReplyCallback on_reply) {
    const auto link = LinkTo(from, host);
    const auto id = ++link->last_request;
    link->pending.emplace(id, std::move(on_reply));
    Transfer(link, id, body, link->to,
             [this, link, id](const wire::Envelope& message) {
               link->to->lender->OnMessage(link->from->id, message,
                                           MakeReply(link, id));
             });
    LoopOf(from).after(timeout, [this, link, id] {
      if (const auto node = link->pending.extract(id); !node.empty()) {
        node.mapped()(nullptr);
        Break(link);
      }
    });
  }

  PeerReply MakeReply(const LinkPtr& link, std::uint64_t id) {
    return [this, link, id](const BodyPacker& body) {
      if (!link->is_open) {
        return false;
      }
      Transfer(link, id, body, link->from,
               [link, id](const wire::Envelope& message) {
                 if (!link->is_open) {
                   return;
                 }
                 if (const auto node = link->pending.extract(id);
                     !node.empty()) {
                   node.mapped()(&message);
                 }
               });
      return true;
    };
  }

  void Break(const LinkPtr& link) {
    if (!std::exchange(link->is_open, false)) {
      return;
    }
    LoopOf(link->from).after(Millis{1}, [link] {
      for (const auto& [id, on_reply] : std::exchange(link->pending, {})) {
        on_reply(nullptr);
      }
    });
  }

  void RequestLater() {
    loop_.Hooks().after(Millis{Random(5, 60)}, [this] {
      if (!is_calm_) {
        const auto host = RandomHost();
        RunIn(hosts_[host].process, [this, host] { Borrow(host); });
        RequestLater();
      }
    });
  }

  void Borrow(const std::string& host) {
    const auto process = hosts_[host].process;
    const auto budget = fmt::format("{}/{}", host, ++last_budget_);
    borrowers_[budget] = process;
    const auto on_loan = [this, process, budget](std::optional<Loan> loan) {
      if (loan) {
        Use(process, budget, *loan);
      }
    };
    if (Random(0, 1) == 0) {
      process->loans->Borrow(budget, kAmount, on_loan);
      return;
    }
    auto homes = Others(host);
    std::ranges::shuffle(homes, random_);
    homes.resize(2);
    process->loans->BorrowFromHome(
        homes, budget, kAmount,
        [on_loan](const HomeReservation& it) { on_loan(it.loan); });
  }

  // Spends a part of the loan by and by, also if the process ends meanwhile.
  void Use(const ProcessPtr& process,
           const std::string& budget,
           const Loan& loan) {
    const Tokens used = Random(0, static_cast<int>(loan.amount));
    spent_[{loan.host, budget}] += used;
    LoopOf(process).after(Millis{Random(1, 4000)}, [process, loan, used] {
      process->loans->Repay(loan, used);
    });
  }

  void TroubleLater() {
    loop_.Hooks().after(Millis{Random(10, 400)}, [this] {
      if (!is_calm_) {
        MakeTrouble();
        TroubleLater();
      }
    });
  }

  void MakeTrouble() {
    const auto name = RandomHost();
    switch (Random(0, 3)) {
      case 0:
        Freeze(name, Millis{Random(50, 4000)});
        break;
      case 1:
        if (Random(0, 3) == 0) {
          Restart(name);
        }
        break;
      case 2:
        for (const auto& [key, link] : links_) {
          if (key.first.host == name || key.second == name) {
            Break(link);
          }
        }
        break;
      default:
        for (const auto& [key, link] : links_) {
          if (Random(0, 9) == 0) {
            Break(link);
          }
        }
        break;
    }
  }

  void Freeze(const std::string& name, Millis time) {
    auto& host = hosts_[name];
    if (std::exchange(host.is_frozen, true)) {
      return;
    }
    host.unread = time;
    loop_.Hooks().after(time, [this, name] { Wake(name); });
  }

  void Wake(const std::string& name) {
    auto& host = hosts_[name];
    if (!std::exchange(host.is_frozen, false)) {
      return;
    }
    for (const auto& it : std::exchange(host.frozen_tasks, {})) {
      it();
    }
    loop_.Hooks().after(Millis{50}, [this, name] {
      auto& it = hosts_[name];
      it.unread = it.is_frozen ? it.unread : Millis{0};
    });
  }

  void Restart(const std::string& name) {
    const auto old = hosts_[name].process;
    old->is_alive = false;
    for (const auto& [key, link] : links_) {
      if (link->from == old || link->to == old) {
        Break(link);
      }
    }
    StartProcess(name);
  }

  void Check() {
    for (const auto& lender : processes_) {
      for (const auto& [budget, billed] : lender->billed) {
        const bool is_ended = lender->reserved[budget] == 0;
        CheckLoan(*lender, budget, billed, is_ended);
      }
      for (const auto& [budget, reserved] : lender->reserved) {
        if (reserved != 0 && lender->is_alive && borrowers_[budget]->is_alive) {
          faults.push_back(fmt::format("{} of {} still reserved at {}",
                                       reserved, budget, ToString(lender->id)));
        }
      }
    }
  }

  void CheckLoan(const Process& lender,
                 const std::string& budget,
                 Tokens billed,
                 bool is_ended) {
    const auto found = spent_.find({lender.id.host, budget});
    const Tokens spent = found == spent_.end() ? 0 : found->second;
    const bool is_exact = billed == spent || !borrowers_[budget]->is_alive;
    if (is_ended && (billed < spent || !is_exact)) {
      faults.push_back(fmt::format("{} of {} billed at {}, {} spent", billed,
                                   budget, ToString(lender.id), spent));
    }
  }

  std::mt19937_64 random_;
  FakeLoop loop_;
  std::map<std::string, Host> hosts_;
  std::vector<ProcessPtr> processes_;
  std::map<std::pair<HolderId, std::string>, LinkPtr> links_;
  std::map<std::string, ProcessPtr> borrowers_;
  // By the lender's host and the budget.
  std::map<std::pair<std::string, std::string>, Tokens> spent_;
  std::uint64_t last_incarnation_ = 0;
  int last_budget_ = 0;
  bool is_calm_ = false;
};

std::uint64_t Variable(const char* name, std::uint64_t value) {
  const char* text = std::getenv(name);
  return text == nullptr ? value : std::strtoull(text, nullptr, 10);
}

}  // namespace

// Guards against loans that stay charged although their borrower lives, and
// against loans that end while their tokens are used (review/4, review/1).
TEST_CASE("loans are neither lost nor used twice") {
  const auto first = Variable("SOAK_FIRST_SEED", 1);
  const auto n = Variable("SOAK_SEEDS", 100);
  int lent = 0;
  for (auto seed = first; seed < first + n; ++seed) {
    World world(seed);
    world.Run();
    lent += world.lent;
    for (const auto& it : world.faults) {
      INFO("seed " << seed << ": " << it);
      CHECK(false);
    }
  }
  CHECK(lent > static_cast<int>(n) * 100);
}

}  // namespace crocuslatch
