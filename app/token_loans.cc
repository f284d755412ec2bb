#include "app/token_loans.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "app/peer_order.h"
#include "src/log.h"

namespace crocuslatch {
namespace {

BodyPacker PackLoanRequest(const std::string& budget,
                           Tokens amount,
                           std::uint64_t number,
                           Millis wait,
                           Millis timeout) {
  return [=](flatbuffers::FlatBufferBuilder& builder) {
    return PackedBody{wire::Body::LoanRequest,
                      wire::CreateLoanRequestDirect(
                          builder, budget.c_str(), amount,
                          static_cast<std::uint32_t>(wait.count()), number,
                          static_cast<std::uint32_t>(timeout.count()))
                          .Union()};
  };
}

BodyPacker PackLoanSettlement(std::uint64_t lender_id,
                              Tokens used,
                              std::uint64_t number) {
  return [=](flatbuffers::FlatBufferBuilder& builder) {
    return PackedBody{
        wire::Body::LoanSettlement,
        wire::CreateLoanSettlement(builder, lender_id, used, number).Union()};
  };
}

const wire::LoanReply* ReadReply(const wire::Envelope* message) {
  return message == nullptr ? nullptr : message->body_as_LoanReply();
}

}  // namespace

struct TokenLoans::Core : std::enable_shared_from_this<TokenLoans::Core> {
  // A loan that this host asked for. It is kept until the lender says that it
  // lends nothing, or has confirmed the settlement.
  struct Borrowed {
    std::string lender;
    Tokens amount = 0;
    // `loan` of the lender's reply; 0 before it.
    std::uint64_t lender_id = 0;
    // The lender has an older version, which confirms no settlement.
    bool is_unconfirmed = false;
    // Set when the loan has ended.
    std::optional<Tokens> used;
    Millis ended_at{0};
  };
  using Callback = std::function<void(std::optional<Loan>)>;

  TokenLoansOptions options;
  EventLoop loop;
  TokenLoansHooks hooks;
  std::map<std::uint64_t, Borrowed> borrowed_loans;
  std::uint64_t last_number = 0;
  std::map<std::string, Millis> backoff_until;

  std::uint64_t AddLoan(const std::string& lender, Tokens amount) {
    borrowed_loans[++last_number] = {.lender = lender, .amount = amount};
    return last_number;
  }

  // Records the lender's reply. Returns the loan if it was not given up before.
  std::optional<Loan> OnLoanReply(std::uint64_t number,
                                  const wire::LoanReply& reply) {
    const auto it = borrowed_loans.find(number);
    if (it == borrowed_loans.end() || it->second.used) {
      return std::nullopt;
    }
    if (reply.loan() == 0) {
      borrowed_loans.erase(it);
      return std::nullopt;
    }
    it->second.lender_id = reply.loan();
    it->second.is_unconfirmed = reply.number() != number;
    return Loan{it->second.lender, number, it->second.amount};
  }

  // Ends a loan, whether or not its lender has lent it, and tells the lender
  // until it confirms that.
  void EndLoan(std::uint64_t number, Tokens used) {
    const auto it = borrowed_loans.find(number);
    if (it == borrowed_loans.end() || it->second.used) {
      return;
    }
    it->second.used = used;
    it->second.ended_at = loop.now();
    SendSettlement(number, options.settlement_retry_delay);
  }

  void SendSettlement(std::uint64_t number, Millis retry_delay) {
    const auto it = borrowed_loans.find(number);
    if (it == borrowed_loans.end()) {
      return;
    }
    const Borrowed& loan = it->second;
    hooks.request(
        loan.lender, PackLoanSettlement(loan.lender_id, *loan.used, number),
        options.late_reply_timeout,
        [self = weak_from_this(), number,
         retry_delay](const wire::Envelope* message) {
          if (const auto core = self.lock()) {
            core->OnSettlementReply(number, retry_delay, ReadReply(message));
          }
        });
    if (loan.is_unconfirmed) {
      borrowed_loans.erase(it);
    }
  }

  void OnSettlementReply(std::uint64_t number,
                         Millis retry_delay,
                         const wire::LoanReply* reply) {
    const auto it = borrowed_loans.find(number);
    if (it == borrowed_loans.end()) {
      return;
    }
    if (reply != nullptr && reply->number() == number) {
      borrowed_loans.erase(it);
      return;
    }
    if (loop.now() - it->second.ended_at >= options.settlement_lifetime) {
      LogLine(LogEvent::kLoanUnconfirmed)
          .Add("host", it->second.lender)
          .Add("loan", number)
          .Add("tokens", it->second.amount)
          .Add("used", *it->second.used);
      borrowed_loans.erase(it);
      return;
    }
    loop.after(retry_delay, [self = weak_from_this(), number, retry_delay] {
      if (const auto core = self.lock()) {
        core->SendSettlement(
            number, std::min(2 * retry_delay,
                             core->options.max_settlement_retry_delay));
      }
    });
  }

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
    const auto number = AddLoan(host, amount);
    hooks.request(
        host,
        PackLoanRequest(budget, amount, number, Millis{0},
                        options.peer_timeout),
        options.peer_timeout,
        [self = weak_from_this(), peers = std::move(peers), host, number,
         budget, amount, callback](const wire::Envelope* message) {
          const auto core = self.lock();
          if (!core) {
            return;
          }
          const auto* reply = ReadReply(message);
          if (reply == nullptr) {
            core->backoff_until[host] =
                core->loop.now() + core->options.peer_backoff;
            core->EndLoan(number, 0);
          } else if (const auto loan = core->OnLoanReply(number, *reply)) {
            callback(loan);
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
    // Loans that homes were asked for.
    std::vector<std::uint64_t> numbers;
    // Homes that have neither replied nor timed out.
    int open_requests = 0;
  };
  using HomeQueryPtr = std::shared_ptr<HomeQuery>;

  struct HomeBackoff {
    Millis duration{0};
    Millis until{0};
  };
  std::map<std::string, HomeBackoff> home_backoffs;

  // Gives up all loans of the query but that of the result.
  void Finish(const HomeQueryPtr& query, const HomeReservation& result) {
    const auto hook = std::exchange(query->callback, nullptr);
    if (!hook) {
      return;
    }
    for (const auto it : query->numbers) {
      if (!result.loan || it != result.loan->id) {
        EndLoan(it, 0);
      }
    }
    hook(result);
  }

  void AskNextHome(const HomeQueryPtr& query) {
    const Millis now = loop.now();
    std::erase_if(query->homes, [&](const std::string& it) {
      const auto found = home_backoffs.find(it);
      return found != home_backoffs.end() && now < found->second.until;
    });
    if (query->homes.empty()) {
      if (query->open_requests == 0) {
        Finish(query, {});
      }
      return;
    }
    const auto host = query->homes.front();
    query->homes.erase(query->homes.begin());
    const auto number = AddLoan(host, query->amount);
    query->numbers.push_back(number);
    ++query->open_requests;
    const auto is_open = std::make_shared<bool>(true);
    hooks.request(host,
                  PackLoanRequest(query->budget, query->amount, number,
                                  options.home_wait, options.home_timeout),
                  options.late_reply_timeout,
                  [self = weak_from_this(), host, query, number,
                   is_open](const wire::Envelope* message) {
                    if (const auto core = self.lock()) {
                      core->OnHomeReply(host, query, number,
                                        std::exchange(*is_open, false),
                                        ReadReply(message));
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
                   std::uint64_t number,
                   bool is_open,
                   const wire::LoanReply* reply) {
    if (reply == nullptr) {
      EndLoan(number, 0);
      if (is_open) {
        OnHomeSilent(host, query);
      }
      return;
    }
    query->open_requests -= is_open ? 1 : 0;
    home_backoffs.erase(host);
    if (const auto loan = OnLoanReply(number, *reply)) {
      Finish(query, {.loan = loan});
    } else if (reply->is_exhausted() || query->open_requests == 0) {
      Finish(query, {.is_exhausted = reply->is_exhausted()});
    }
  }
};

TokenLoans::TokenLoans(TokenLoansOptions options,
                       EventLoop loop,
                       TokenLoansHooks hooks)
    : core_(std::make_shared<Core>()) {
  core_->options = options;
  core_->loop = std::move(loop);
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
  core_->EndLoan(loan.id, used);
}

}  // namespace crocuslatch
