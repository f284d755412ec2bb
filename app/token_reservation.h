#ifndef APP_TOKEN_RESERVATION_H_
#define APP_TOKEN_RESERVATION_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "app/forwarding.h"

// Defines the tokens that one request holds: where they are reserved, and when
// they are returned.

namespace crocuslatch {

class TokenReservation : public std::enable_shared_from_this<TokenReservation> {
 public:
  TokenReservation(std::shared_ptr<const ForwardContext> context,
                   std::string request_id,
                   std::string account);

  // Reserves tokens at the account's home host, on this host, or from the
  // other hosts, in this order. `callback` is not called after Abandon.
  void Start(Tokens amount, std::function<void(ReserveStatus)> callback);
  // The request has ended: tokens that arrive later are returned, and none are
  // borrowed any more.
  void Abandon() { is_abandoned_ = true; }
  bool HoldsTokens() const { return reserved_ > 0 || loan_; }
  // Returns the tokens, of which `used` were spent. Has no effect if none are
  // held.
  void Settle(Tokens used);

 private:
  using Callback = std::function<void(ReserveStatus)>;

  void OnHomeReservation(const HomeReservation& reservation,
                         Tokens amount,
                         const Callback& callback);
  void OnReservation(ReserveStatus status,
                     Tokens amount,
                     const Callback& callback);
  // `status` is the result if there is no loan.
  void OnLoan(const std::optional<Loan>& loan,
              ReserveStatus status,
              Tokens amount,
              const Callback& callback);

  const std::shared_ptr<const ForwardContext> context_;
  const std::string request_id_;
  const std::string account_;
  // Tokens of this host's own grant.
  Tokens reserved_ = 0;
  std::optional<Loan> loan_;
  bool is_abandoned_ = false;
};

}  // namespace crocuslatch

#endif  // APP_TOKEN_RESERVATION_H_
