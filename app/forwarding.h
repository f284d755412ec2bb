#ifndef APP_FORWARDING_H_
#define APP_FORWARDING_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "app/open_requests.h"
#include "app/prompt_quarantine.h"
#include "app/token_loans.h"
#include "core/desired_state.h"
#include "core/load/admission.h"
#include "core/load/placement.h"
#include "core/retry_budget.h"
#include "io/http_client.h"
#include "io/http_server.h"
#include "io/memory_charge.h"
#include "src/event_loop.h"
#include "src/grant_table.h"
#include "src/metrics.h"

// Defines ForwardRequest, which forwards one caller's request to a backend
// server and returns the response.

namespace crocuslatch {

// Limits on what a backend server may send. A faulty server may send bytes
// without end; a response beyond a limit is a failure of the server.
struct ForwardLimits {
  // Size of a response that is not streamed. It is held in memory until it is
  // complete, on hosts with 88 MB.
  std::size_t max_buffered_bytes = 8 << 20;
  // Size of one event of a stream; events hold a few tokens.
  std::size_t max_event_bytes = 256 << 10;
  // A stream ends after this time without an event, or after the longer
  // patience of its route's callers. Callers wait two seconds at least.
  Millis min_stream_patience{2000};
};

// Retry-After of requests that are not run because their host is stopping.
// Other hosts are in rotation, so callers may retry at once.
constexpr Millis kStoppingRetryAfter{20};

// Dependencies of ForwardRequest. All of them are used on the thread of `loop`
// only.
struct ForwardContext {
  EventLoop loop;
  ForwardLimits limits;
  AdmissionOptions admission;
  HttpClient* client = nullptr;
  Placement* placement = nullptr;
  RetryBudget* retry_budget = nullptr;
  Metrics* metrics = nullptr;
  // Null if memory is not bounded.
  std::shared_ptr<const MemoryHooks> memory;
  // May be null.
  PromptQuarantine* quarantine = nullptr;
  // Ends requests in flight at the end of a planned stop. May be null.
  OpenRequests* open_requests = nullptr;
  // Returns the active routing table, or null until the first one is loaded.
  std::function<RoutingTablePointer()> routing_table;
  // Reserves tokens of a client account, waiting at most `wait`; see
  // GrantTable.
  std::function<void(const std::string& account,
                     Tokens amount,
                     Millis wait,
                     std::function<void(ReserveStatus)>)>
      reserve;
  // Reserves tokens at the account's home host; see core/budget_homes.h. The
  // result is empty if this host has to reserve them itself.
  std::function<void(const std::string& account,
                     Tokens amount,
                     std::function<void(const HomeReservation&)>)>
      reserve_at_home;
  // Borrows tokens of a client account from other hosts; see TokenLoans.
  std::function<void(const std::string& account,
                     Tokens amount,
                     std::function<void(std::optional<Loan>)>)>
      borrow;
  std::function<void(const Loan& loan, Tokens used)> repay;
  // Returns this host's view of the account's budget. Called when a reservation
  // is refused, for logs.
  std::function<BudgetView(const std::string& account)> budget_view;
  // Releases a reservation of which `used` tokens were spent.
  std::function<void(const std::string& account, Tokens reserved, Tokens used)>
      settle;
  // A server has stated how much longer it stays cold. May be empty.
  std::function<void(const std::string& server_id, Millis remaining)>
      on_cold_remaining;
  // Returns the time after which a cold server of the service may get a
  // request; nullopt if none of its servers is cold. May be empty.
  std::function<std::optional<Millis>(const std::string& service)>
      cold_retry_after;
  // Returns a random number, uniform in [0, 1).
  std::function<double()> random;
};

// Forwards `request` and ends `reply` exactly once: with a backend server's
// response, with an error response, or by closing the connection.
void ForwardRequest(const std::shared_ptr<const ForwardContext>& context,
                    const IncomingRequest& request,
                    HttpReply reply);

}  // namespace crocuslatch

#endif  // APP_FORWARDING_H_
