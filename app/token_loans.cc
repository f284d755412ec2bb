#include "app/token_loans.h"

#include <algorithm>
#include <map>
#include <utility>

#include "app/peer_order.h"
#include "src/log.h"

namespace crocuslatch {
namespace {

BodyPacker PackLoanRequest(const std::string& budget,
                           Tokens amount,
                           Millis wait) {
  return [budget, amount, wait](flatbuffers::FlatBufferBuilder& builder) {
    return PackedBody{
        wire::Body::LoanRequest,
        wire::CreateLoanRequestDirect(builder, budget.c_str(), amount,
                                      static_cast<std::uint32_t>(wait.count()))
            .Union()};
  };
}

BodyPacker PackLoanReply(std::uint64_t id, bool is_exhausted = false) {
  return [id, is_exhausted](flatbuffers::FlatBufferBuilder& builder) {
    return PackedBody{wire::Body::LoanReply,
                      wire::CreateLoanReply(builder, id, is_exhausted).Union()};
  };
}

BodyPacker PackLoanSettlement(std::uint64_t id, Tokens used) {
  return [id, used](flatbuffers::FlatBufferBuilder& builder) {
    return PackedBody{wire::Body::LoanSettlement,
                      wire::CreateLoanSettlement(builder, id, used).Union()};
  };
}

}  // namespace

struct TokenLoans::Core : std::enable_shared_from_this<TokenLoans::Core> {
  struct LentLoan {
    std::string host;
    std::string budget;
    Tokens amount = 0;
  };
  using Callback = std::function<void(std::optional<Loan>)>;

  TokenLoansOptions options;
  EventLoop loop;
  PeerNetwork* network = nullptr;
  TokenLoansHooks hooks;
  std::map<std::uint64_t, LentLoan> lent_loans;
  std::uint64_t last_loan_id = 0;
  std::map<std::string, Millis> backoff_until;

  std::vector<std::string> PeersToAsk() const {
    return OrderPeers({.peers = hooks.peers(),
                       .backoff_until = backoff_until,
                       .now = loop.now(),
                       .random = hooks.random,
                       .max_peers = options.max_peers});
  }

  void AskNextPeer(std::vector<std::string> peers,
                   const std::string& budget,
                   Tokens amount,
                   const Callback& callback) {
    if (peers.empty()) {
      callback(std::nullopt);
      return;
    }
    const auto host = std::move(peers.back());
    peers.pop_back();
    network->Request(
        host, PackLoanRequest(budget, amount, Millis{0}), options.peer_timeout,
        [self = weak_from_this(), peers = std::move(peers), host, budget,
         amount, callback](const wire::Envelope* message) {
          const auto core = self.lock();
          if (!core) {
            return;
          }
          const auto* reply =
              message == nullptr ? nullptr : message->body_as_LoanReply();
          if (reply == nullptr) {
            core->backoff_until[host] =
                core->loop.now() + core->options.peer_backoff;
          } else if (reply->loan() != 0) {
            callback(Loan{host, reply->loan(), amount});
            return;
          }
          core->AskNextPeer(peers, budget, amount, callback);
        });
  }

  // A reservation that is asked for at one home or several.
  struct HomeQuery {
    std::vector<std::string> homes;
    std::string budget;
    Tokens amount = 0;
    // Null once the result is known.
    std::function<void(const HomeReservation&)> callback;
    // Homes that have neither replied nor timed out.
    int open_requests = 0;

    void Finish(const HomeReservation& result) {
      if (const auto hook = std::exchange(callback, nullptr)) {
        hook(result);
      }
    }
  };
  using HomeQueryPtr = std::shared_ptr<HomeQuery>;

  struct HomeBackoff {
    Millis duration{0};
    Millis until{0};
  };
  std::map<std::string, HomeBackoff> home_backoffs;

  void AskNextHome(const HomeQueryPtr& query) {
    const Millis now = loop.now();
    std::erase_if(query->homes, [&](const std::string& it) {
      const auto found = home_backoffs.find(it);
      return found != home_backoffs.end() && now < found->second.until;
    });
    if (query->homes.empty()) {
      if (query->open_requests == 0) {
        query->Finish({});
      }
      return;
    }
    const auto host = query->homes.front();
    query->homes.erase(query->homes.begin());
    ++query->open_requests;
    const auto is_open = std::make_shared<bool>(true);
    network->Request(
        host, PackLoanRequest(query->budget, query->amount, options.home_wait),
        options.late_reply_timeout,
        [self = weak_from_this(), host, query,
         is_open](const wire::Envelope* message) {
          if (const auto core = self.lock()) {
            core->OnHomeReply(host, query, *is_open, message);
            *is_open = false;
          }
        });
    loop.after(options.home_timeout,
               [self = weak_from_this(), host, query, is_open] {
                 const auto core = self.lock();
                 if (core && std::exchange(*is_open, false)) {
                   core->OnHomeSilent(host, query);
                 }
               });
    loop.after(options.home_hedge_delay, [self = weak_from_this(), query] {
      const auto core = self.lock();
      if (core && query->callback) {
        core->AskNextHome(query);
      }
    });
  }

  void OnHomeSilent(const std::string& host, const HomeQueryPtr& query) {
    --query->open_requests;
    auto& backoff = home_backoffs[host];
    if (loop.now() >= backoff.until) {
      backoff.duration = std::clamp(2 * backoff.duration, options.peer_backoff,
                                    options.max_home_backoff);
      backoff.until = loop.now() + backoff.duration;
    }
    if (query->callback) {
      AskNextHome(query);
    }
  }

  // `is_open` is false if the home already counts as silent.
  void OnHomeReply(const std::string& host,
                   const HomeQueryPtr& query,
                   bool is_open,
                   const wire::Envelope* message) {
    const auto* reply =
        message == nullptr ? nullptr : message->body_as_LoanReply();
    if (reply == nullptr) {
      if (is_open) {
        OnHomeSilent(host, query);
      }
      return;
    }
    query->open_requests -= is_open ? 1 : 0;
    home_backoffs.erase(host);
    if (reply->loan() != 0) {
      const Loan loan{host, reply->loan(), query->amount};
      if (query->callback) {
        query->Finish({.loan = loan});
      } else {
        // Another home was faster.
        network->Send(host, PackLoanSettlement(loan.id, 0));
      }
    } else if (reply->is_exhausted() || query->open_requests == 0) {
      query->Finish({.is_exhausted = reply->is_exhausted()});
    }
  }

  void OnLoanRequest(const std::string& host,
                     const wire::LoanRequest& request,
                     const std::function<void(const BodyPacker&)>& reply) {
    const auto budget = request.budget()->str();
    const Tokens amount = request.amount();
    if (amount > 0 && request.wait_ms() > 0 && hooks.reserve_waiting) {
      LendAfterWait(host, budget, amount,
                    std::min(Millis{request.wait_ms()}, options.home_wait),
                    reply);
      return;
    }
    if (amount <= 0 ||
        !hooks.reserve(budget, amount, options.retained_fraction)) {
      reply(PackLoanReply(0));
      return;
    }
    Lend(host, budget, amount, reply);
  }

  void LendAfterWait(const std::string& host,
                     const std::string& budget,
                     Tokens amount,
                     Millis wait,
                     const std::function<void(const BodyPacker&)>& reply) {
    hooks.reserve_waiting(
        budget, amount, wait,
        [self = weak_from_this(), host, budget, amount,
         reply](ReserveStatus status) {
          const auto core = self.lock();
          if (!core) {
            return;
          }
          if (status == ReserveStatus::kReserved) {
            core->Lend(host, budget, amount, reply);
            return;
          }
          reply(PackLoanReply(0, status == ReserveStatus::kInsufficient));
        });
  }

  // Records the loan of tokens that are reserved, and tells the borrower.
  void Lend(const std::string& host,
            const std::string& budget,
            Tokens amount,
            const std::function<void(const BodyPacker&)>& reply) {
    const auto id = ++last_loan_id;
    lent_loans.emplace(id, LentLoan{host, budget, amount});
    loop.after(options.loan_timeout, [self = weak_from_this(), id, host] {
      if (const auto core = self.lock()) {
        // The borrower may have died after its request ran.
        core->Settle(id, host, std::nullopt);
      }
    });
    LogLine(LogEvent::kTokensLent)
        .Add("host", host)
        .Add("budget", budget)
        .Add("tokens", amount)
        .Add("loan", id);
    reply(PackLoanReply(id));
  }

  // Ends a loan to `host`. Without `used`, all of its tokens count as used.
  void Settle(std::uint64_t id,
              const std::string& host,
              std::optional<Tokens> used) {
    const auto it = lent_loans.find(id);
    if (it == lent_loans.end() || it->second.host != host) {
      return;
    }
    const LentLoan loan = it->second;
    lent_loans.erase(it);
    hooks.settle(
        loan.budget, loan.amount,
        std::clamp<Tokens>(used.value_or(loan.amount), 0, loan.amount));
  }
};

TokenLoans::TokenLoans(TokenLoansOptions options,
                       EventLoop loop,
                       PeerNetwork* network,
                       TokenLoansHooks hooks)
    : core_(std::make_shared<Core>()) {
  core_->options = options;
  core_->loop = std::move(loop);
  core_->network = network;
  core_->hooks = std::move(hooks);
}

TokenLoans::~TokenLoans() = default;

void TokenLoans::Borrow(
    const std::string& budget,
    Tokens amount,
    const std::function<void(std::optional<Loan>)>& callback) {
  core_->AskNextPeer(core_->PeersToAsk(), budget, amount, callback);
}

void TokenLoans::BorrowFromHome(
    std::vector<std::string> homes,
    const std::string& budget,
    Tokens amount,
    std::function<void(const HomeReservation&)> callback) {
  const auto query = std::make_shared<Core::HomeQuery>();
  query->homes = std::move(homes);
  query->budget = budget;
  query->amount = amount;
  query->callback = std::move(callback);
  core_->AskNextHome(query);
}

void TokenLoans::Repay(const Loan& loan, Tokens used) {
  core_->network->Send(loan.host, PackLoanSettlement(loan.id, used));
}

bool TokenLoans::OnMessage(
    const std::string& host,
    const wire::Envelope& message,
    const std::function<void(const BodyPacker&)>& reply) {
  if (const auto* request = message.body_as_LoanRequest()) {
    core_->OnLoanRequest(host, *request, reply);
    return true;
  }
  if (const auto* settlement = message.body_as_LoanSettlement()) {
    core_->Settle(settlement->loan(), host, settlement->used());
    return true;
  }
  return false;
}

}  // namespace crocuslatch
