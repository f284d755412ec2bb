#ifndef APP_FORWARDING_H_
#define APP_FORWARDING_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "app/token_loans.h"
#include "core/desired_state.h"
#include "core/placement.h"
#include "core/retry_budget.h"
#include "io/http_client.h"
#include "io/http_server.h"
#include "src/event_loop.h"
#include "src/grant_table.h"
#include "src/metrics.h"

// Defines the path of one forwarded request from its arrival to its answer.

namespace crocuslatch {

// What forwarding needs; all of it belongs to the thread of `loop`.
struct ForwardContext {
  EventLoop loop;
  HttpClient* client = nullptr;
  Placement* placement = nullptr;
  RetryBudget* retry_budget = nullptr;
  Metrics* metrics = nullptr;
  // The version in force; null before the first one is known.
  std::function<RoutingTablePointer()> routing_table;
  // Reserves tokens of a client account; see GrantTable.
  std::function<void(const std::string& account,
                     Tokens amount,
                     Millis wait,
                     std::function<void(ReserveStatus)>)>
      reserve;
  // Asks other hosts for tokens of a client account; see TokenLoans.
  std::function<void(const std::string& account,
                     Tokens amount,
                     std::function<void(std::optional<Loan>)>)>
      borrow;
  std::function<void(const Loan& loan, Tokens used)> repay;
  // What a refused reservation rested on, for logs.
  std::function<BudgetView(const std::string& account)> budget_view;
  // Ends a reservation; `used` of it is spent.
  std::function<void(const std::string& account, Tokens reserved, Tokens used)>
      settle;
  // Uniform in [0, 1).
  std::function<double()> random;
};

// Ends in exactly one answer, refusal or closed connection.
void ForwardRequest(const std::shared_ptr<const ForwardContext>& context,
                    const IncomingRequest& request,
                    HttpReply reply);

}  // namespace crocuslatch

#endif  // APP_FORWARDING_H_
