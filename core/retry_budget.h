#ifndef CORE_RETRY_BUDGET_H_
#define CORE_RETRY_BUDGET_H_

#include <deque>
#include <map>
#include <string>

#include "src/types.h"

// Defines the limit on retries to a service.
//
// Load pattern: some of the servers fail, and every router tries to retry every
// request. Within any time window, the retries of all routers together are
// limited to a fixed ratio of the requests plus a fixed number (the slack).
// Each router applies the ratio to its own requests and takes an equal share of
// the slack, so the total holds without communication between the routers.

namespace crocuslatch {

struct RetryBudgetOptions {
  Millis window{10000};
  // Retries per request of this router within the window. Lower than the
  // fleet's ratio of 0.2, because servers count arrivals at other times than
  // routers count requests.
  double ratio = 0.17;
  // Additional retries within the window, so that a router with little traffic
  // can retry at all; see SetSlack.
  double slack = 1;
};

class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options);

  // Sets this router's share of the fleet's slack.
  void SetSlack(double slack) { slack_ = slack; }

  void CountRequest(const std::string& service, Millis now);
  // Consumes one retry; returns false if the budget is exhausted.
  bool Take(const std::string& service, Millis now);

 private:
  struct Window {
    std::deque<Millis> requests;
    std::deque<Millis> retries;
  };

  // Returns the window of the service without expired entries.
  Window& PrunedWindow(const std::string& service, Millis now);

  const RetryBudgetOptions options_;
  double slack_;
  std::map<std::string, Window> windows_;
};

}  // namespace crocuslatch

#endif  // CORE_RETRY_BUDGET_H_
