#ifndef APP_TOKEN_LENDER_H_
#define APP_TOKEN_LENDER_H_

#include <functional>
#include <memory>
#include <string>

#include "src/event_loop.h"
#include "src/grant_table.h"
#include "src/peer_link.h"

// Defines the lender's side of loans between hosts: it reserves tokens of this
// host's grant for a request of another host, and ends the reservation when the
// borrower settles the loan.
//
// Load pattern: a host that was frozen or slow finds requests of many borrowers
// that have gone on without it. Each of them would reserve tokens that nobody
// uses, until the account's remaining requests are refused.
//
// A loan ends unused if its reply cannot be sent, or if its borrower has given
// it up, also when the word of that arrives before the request. A loan whose
// reply was sent stays charged until its borrower settles it, because its
// request may have run.

namespace crocuslatch {

struct TokenLenderOptions {
  // A loan that was not settled counts as fully used after this time, which
  // exceeds the duration of any request.
  Millis loan_timeout{60000};
  // Fraction of its spare size that a host does not lend.
  double retained_fraction = 0.1;
  // Longest time for which a loan may wait for the ledger.
  Millis max_wait{250};
};

struct TokenLenderHooks {
  // Reserves tokens of this host's grant for a borrower; `retained_fraction` of
  // the spare size must stay free. Returns false if it cannot lend them.
  std::function<
      bool(const std::string& budget, Tokens amount, double retained_fraction)>
      reserve;
  // Like `reserve`, but may wait for the ledger, and keeps nothing free.
  std::function<void(const std::string& budget,
                     Tokens amount,
                     Millis wait,
                     std::function<void(ReserveStatus)>)>
      reserve_waiting;
  std::function<void(const std::string& budget, Tokens reserved, Tokens used)>
      settle;
  // Returns the longest time that a message which is read now can have been
  // waiting unread.
  std::function<Millis()> unread_time;
};

class TokenLender {
 public:
  TokenLender(TokenLenderOptions options,
              EventLoop loop,
              TokenLenderHooks hooks);
  ~TokenLender();

  // Handles a borrower's message. Returns false if it is not about loans.
  bool OnMessage(const HolderId& borrower,
                 const wire::Envelope& message,
                 const PeerReply& reply);

 private:
  struct Core;
  std::shared_ptr<Core> core_;
};

}  // namespace crocuslatch

#endif  // APP_TOKEN_LENDER_H_
