#ifndef APP_TOKEN_LOANS_H_
#define APP_TOKEN_LOANS_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/event_loop.h"
#include "src/peer_link.h"

// Defines the borrower's side of loans between hosts: a request whose host has
// no tokens left uses spare tokens of another host, and the lender accounts for
// them as its own usage (app/token_lender.h).
//
// Each loan that is asked for ends exactly once: the lender lends nothing, the
// request has ended, or the loan was given up, because its reply took too long
// or another home was faster. The last two are told to the lender until it
// confirms them.

namespace crocuslatch {

// Tokens that a peer reserved for one request of this host.
struct Loan {
  std::string host;
  // Chosen by this host, unique in its process.
  std::uint64_t id = 0;
  Tokens amount = 0;
  auto operator<=>(const Loan&) const = default;
};

struct TokenLoansOptions {
  // Timeout for one peer's reply, which takes one network round trip.
  Millis peer_timeout{120};
  // Limit on peers that are asked for one request.
  std::size_t max_peers = 8;
  // A peer that did not reply in time is not asked again for this time.
  Millis peer_backoff{1000};
  // Time for which an account's home host may wait for the ledger, and the
  // timeout for its reply.
  Millis home_wait{250};
  Millis home_timeout{350};
  // The next home is asked as well if there is no reply after this time: a home
  // that holds the tokens replies within a few milliseconds, and one that
  // exchanges them with the ledger usually within this time.
  Millis home_hedge_delay{120};
  // A connection on which a reply takes longer than this is closed. A reply to
  // a query that is still open is used until then.
  Millis late_reply_timeout{2000};
  // Delay before a settlement that the lender did not confirm is sent again; it
  // doubles up to the maximum. The lender counts the loan as used in the end,
  // so that a settlement is of no use after its lifetime.
  Millis settlement_retry_delay{500};
  Millis max_settlement_retry_delay{8000};
  Millis settlement_lifetime{60000};
  // A home that did not reply is left out for `peer_backoff`, which doubles
  // with each further failure up to this time. Homes are the hosts of many
  // accounts, and partitions last 4 to 9 s.
  Millis max_home_backoff{8000};
};

// Result of a reservation at an account's home host.
struct HomeReservation {
  std::optional<Loan> loan;
  // The home host knows that the budget does not cover the amount.
  bool is_exhausted = false;
};

struct TokenLoansHooks {
  // Returns the hosts that may lend, in any order.
  std::function<std::vector<std::string>()> peers;
  // Returns a random number, uniform in [0, 1).
  std::function<double()> random;
  // Sends a message to a host; see PeerNetwork::Request.
  std::function<void(const std::string& host,
                     const BodyPacker& body,
                     Millis timeout,
                     PeerLink::ReplyCallback on_reply)>
      request;
};

class TokenLoans {
 public:
  TokenLoans(TokenLoansOptions options, EventLoop loop, TokenLoansHooks hooks);
  ~TokenLoans();

  // Asks peers one after another. The callback gets nullopt if none of them
  // lends.
  void Borrow(const std::string& budget,
              Tokens amount,
              const std::function<void(std::optional<Loan>)>& callback);
  // Asks the account's home hosts, the next one if there is no reply soon; see
  // core/budget_homes.h. A home that recently did not reply is left out.
  void BorrowFromHome(std::vector<std::string> homes,
                      const std::string& budget,
                      Tokens amount,
                      std::function<void(const HomeReservation&)> callback);
  // Settles the loan: its request has ended and spent `used` tokens.
  void Repay(const Loan& loan, Tokens used);

 private:
  struct Core;
  std::shared_ptr<Core> core_;
};

}  // namespace crocuslatch

#endif  // APP_TOKEN_LOANS_H_
