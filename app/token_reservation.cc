#include "app/token_reservation.h"

#include <utility>

#include "src/log.h"

namespace crocuslatch {
namespace {

// Timeout for the reservation of a client account's tokens.
constexpr Millis kReserveTimeout{250};

}  // namespace

TokenReservation::TokenReservation(
    std::shared_ptr<const ForwardContext> context,
    std::string request_id,
    std::string account)
    : context_(std::move(context)),
      request_id_(std::move(request_id)),
      account_(std::move(account)) {}

void TokenReservation::Start(Tokens amount, Callback callback) {
  context_->reserve_at_home(
      account_, amount,
      [self = shared_from_this(), amount,
       callback = std::move(callback)](const HomeReservation& it) {
        self->OnHomeReservation(it, amount, callback);
      });
}

void TokenReservation::OnHomeReservation(const HomeReservation& reservation,
                                         Tokens amount,
                                         const Callback& callback) {
  if (reservation.loan || is_abandoned_) {
    OnLoan(reservation.loan, ReserveStatus::kReserved, amount, callback);
  } else if (reservation.is_exhausted) {
    callback(ReserveStatus::kInsufficient);
  } else {
    context_->reserve(
        account_, amount, kReserveTimeout,
        [self = shared_from_this(), amount, callback](ReserveStatus it) {
          self->OnReservation(it, amount, callback);
        });
  }
}

void TokenReservation::OnReservation(ReserveStatus status,
                                     Tokens amount,
                                     const Callback& callback) {
  if (status == ReserveStatus::kReserved) {
    reserved_ = amount;
    if (is_abandoned_) {
      Settle(0);
      return;
    }
    callback(status);
    return;
  }
  if (is_abandoned_) {
    return;
  }
  if (status == ReserveStatus::kInsufficient) {
    callback(status);
    return;
  }
  context_->borrow(account_, amount,
                   [self = shared_from_this(), status, amount,
                    callback](const std::optional<Loan>& loan) {
                     self->OnLoan(loan, status, amount, callback);
                   });
}

void TokenReservation::OnLoan(const std::optional<Loan>& loan,
                              ReserveStatus status,
                              Tokens amount,
                              const Callback& callback) {
  loan_ = loan;
  if (is_abandoned_) {
    Settle(0);
    return;
  }
  if (!loan) {
    callback(status);
    return;
  }
  LogLine(LogEvent::kTokensBorrowed)
      .Add("request", request_id_)
      .Add("account", account_)
      .Add("tokens", amount)
      .Add("host", loan->host)
      .Add("loan", loan->id);
  callback(ReserveStatus::kReserved);
}

void TokenReservation::Settle(Tokens used) {
  if (!HoldsTokens()) {
    return;
  }
  if (loan_) {
    context_->repay(*std::exchange(loan_, std::nullopt), used);
  } else {
    context_->settle(account_, std::exchange(reserved_, 0), used);
  }
}

}  // namespace crocuslatch
