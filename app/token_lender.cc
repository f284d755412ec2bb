#include "app/token_lender.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "src/log.h"

namespace crocuslatch {
namespace {

BodyPacker PackLoanReply(std::uint64_t number,
                         bool is_lent,
                         bool is_exhausted = false) {
  return
      [number, is_lent, is_exhausted](flatbuffers::FlatBufferBuilder& builder) {
        return PackedBody{wire::Body::LoanReply,
                          wire::CreateLoanReply(builder, is_lent ? number : 0,
                                                is_exhausted, number)
                              .Union()};
      };
}

// The borrower chooses the number, so that it can name a loan whose reply it
// has not seen. A process uses each number once, whichever lender it asks, so
// that a settlement means no other loan after a restart of either side.
struct LoanName {
  HolderId borrower;
  std::uint64_t number = 0;
  // clang-tidy 14 mistakes the zero in a defaulted comparison for a pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const LoanName&) const = default;
};

struct LentLoan {
  std::string budget;
  Tokens amount = 0;
};

}  // namespace

struct TokenLender::Core : std::enable_shared_from_this<TokenLender::Core> {
  TokenLenderOptions options;
  EventLoop loop;
  TokenLenderHooks hooks;
  std::map<LoanName, LentLoan> lent_loans;
  // Loans that were given up before they were lent, also while their
  // reservation waits for the ledger.
  std::set<LoanName> given_up_loans;

  void OnRequest(const HolderId& borrower,
                 const wire::LoanRequest& request,
                 const PeerReply& reply) {
    const LoanName name{borrower, request.number()};
    const auto budget = request.budget()->str();
    const Tokens amount = request.amount();
    const Millis unread = hooks.unread_time();
    const bool is_late = unread >= Millis{request.timeout_ms()};
    if (name.number == 0 || amount <= 0 || is_late ||
        given_up_loans.contains(name)) {
      LogLine(LogEvent::kLoanRefused)
          .Add("host", borrower.host)
          .Add("borrower", ToString(borrower))
          .Add("budget", budget)
          .Add("tokens", amount)
          .Add("loan", name.number)
          .Add("unread_ms", unread)
          .Add("timeout_ms", request.timeout_ms());
      reply(PackLoanReply(name.number, false));
      return;
    }
    if (request.wait_ms() > 0) {
      LendAfterWait(name, budget, amount,
                    std::min(Millis{request.wait_ms()}, options.max_wait),
                    reply);
      return;
    }
    if (!hooks.reserve(budget, amount, options.retained_fraction)) {
      reply(PackLoanReply(name.number, false));
      return;
    }
    Lend(name, {budget, amount}, reply);
  }

  void LendAfterWait(const LoanName& name,
                     const std::string& budget,
                     Tokens amount,
                     Millis wait,
                     const PeerReply& reply) {
    hooks.reserve_waiting(
        budget, amount, wait,
        [self = weak_from_this(), name, budget, amount,
         reply](ReserveStatus status) {
          const auto core = self.lock();
          if (!core) {
            return;
          }
          if (status != ReserveStatus::kReserved) {
            reply(PackLoanReply(name.number, false,
                                status == ReserveStatus::kInsufficient));
            return;
          }
          core->Lend(name, {budget, amount}, reply);
        });
  }

  // Records the loan of tokens that are reserved, and tells the borrower.
  void Lend(const LoanName& name,
            const LentLoan& loan,
            const PeerReply& reply) {
    lent_loans.emplace(name, loan);
    LogLine(LogEvent::kTokensLent)
        .Add("host", name.borrower.host)
        .Add("borrower", ToString(name.borrower))
        .Add("budget", loan.budget)
        .Add("tokens", loan.amount)
        .Add("loan", name.number);
    if (given_up_loans.contains(name)) {
      End(name, Tokens{0}, "given_up");
      return;
    }
    // A borrower that gets no reply spends nothing.
    if (!reply(PackLoanReply(name.number, true))) {
      End(name, Tokens{0}, "reply_not_sent");
      return;
    }
    RunAfterTimeout(
        [name](Core& it) { it.End(name, std::nullopt, "timeout"); });
  }

  void OnSettlement(const HolderId& borrower,
                    const wire::LoanSettlement& settlement,
                    const PeerReply& reply) {
    const LoanName name{borrower, settlement.number()};
    if (name.number == 0) {
      return;
    }
    if (lent_loans.contains(name)) {
      End(name, settlement.used(), "settled");
    } else if (given_up_loans.insert(name).second) {
      // The request may arrive later, on a connection that was opened earlier.
      RunAfterTimeout([name](Core& it) { it.given_up_loans.erase(name); });
    }
    reply(PackLoanReply(name.number, false));
  }

  // Ends the loan, if it is lent. Without `used`, all of its tokens count as
  // used, because the borrower may have died after its request ran.
  void End(const LoanName& name,
           std::optional<Tokens> used,
           std::string_view reason) {
    const auto node = lent_loans.extract(name);
    if (node.empty()) {
      return;
    }
    const LentLoan& loan = node.mapped();
    const auto spent =
        std::clamp<Tokens>(used.value_or(loan.amount), 0, loan.amount);
    LogLine(LogEvent::kLoanEnded)
        .Add("host", name.borrower.host)
        .Add("borrower", ToString(name.borrower))
        .Add("budget", loan.budget)
        .Add("tokens", loan.amount)
        .Add("loan", name.number)
        .Add("used", spent)
        .Add("reason", reason);
    hooks.settle(loan.budget, loan.amount, spent);
  }

  template <typename Function>
  void RunAfterTimeout(Function function) {
    loop.after(options.loan_timeout, [self = weak_from_this(), function] {
      if (const auto core = self.lock()) {
        function(*core);
      }
    });
  }
};

TokenLender::TokenLender(TokenLenderOptions options,
                         EventLoop loop,
                         TokenLenderHooks hooks)
    : core_(std::make_shared<Core>()) {
  core_->options = options;
  core_->loop = std::move(loop);
  core_->hooks = std::move(hooks);
}

TokenLender::~TokenLender() = default;

bool TokenLender::OnMessage(const HolderId& borrower,
                            const wire::Envelope& message,
                            const PeerReply& reply) {
  if (const auto* request = message.body_as_LoanRequest()) {
    core_->OnRequest(borrower, *request, reply);
    return true;
  }
  if (const auto* settlement = message.body_as_LoanSettlement()) {
    core_->OnSettlement(borrower, *settlement, reply);
    return true;
  }
  return false;
}

}  // namespace crocuslatch
