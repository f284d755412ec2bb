#ifndef APP_TOKEN_LOANS_H_
#define APP_TOKEN_LOANS_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/event_loop.h"
#include "src/grant_table.h"
#include "src/peer_network.h"

// Defines loans of tokens between hosts: a request whose host has none left
// uses the reserve of another host, which accounts for it as its own use.

namespace crocuslatch {

// Tokens that a peer has reserved for one request of this host.
struct Loan {
  std::string host;
  std::uint64_t id = 0;
  Tokens amount = 0;
  auto operator<=>(const Loan&) const = default;
};

struct TokenLoansOptions {
  // Longest wait for one peer; an answer takes two ways through the network.
  Millis peer_timeout{120};
  // Peers that are asked for one request.
  std::size_t max_peers = 8;
  // A peer that did not answer is not asked for this time.
  Millis peer_backoff{1000};
  // A loan whose end is not told counts as used after this time, which is
  // longer than any request lasts.
  Millis loan_timeout{60000};
  // Part of its own reserve that a host does not lend.
  double retained_fraction = 0.1;
};

struct TokenLoansHooks {
  // Hosts that may lend, in any order.
  std::function<std::vector<std::string>()> peers;
  // Uniform in [0, 1).
  std::function<double()> random;
  // The lender's own reserve.
  std::function<
      bool(const std::string& budget, Tokens amount, double retained_fraction)>
      reserve;
  std::function<void(const std::string& budget, Tokens reserved, Tokens used)>
      settle;
};

class TokenLoans {
 public:
  TokenLoans(TokenLoansOptions options,
             EventLoop loop,
             PeerNetwork* network,
             TokenLoansHooks hooks);
  ~TokenLoans();

  // Asks one peer after the other; nullopt if none lends.
  void Borrow(const std::string& budget,
              Tokens amount,
              const std::function<void(std::optional<Loan>)>& callback);
  // The request has ended; `used` of the loan is spent.
  void Repay(const Loan& loan, Tokens used);

  // A peer's message; false if it is not about loans.
  bool OnMessage(const std::string& host,
                 const wire::Envelope& message,
                 const std::function<void(const BodyPacker&)>& reply);

 private:
  struct Core;
  std::shared_ptr<Core> core_;
};

}  // namespace crocuslatch

#endif  // APP_TOKEN_LOANS_H_
