#ifndef CORE_RETRY_BUDGET_H_
#define CORE_RETRY_BUDGET_H_

#include <deque>
#include <map>
#include <string>

#include "src/types.h"

// Defines the limit on repeated dispatches to a service.
//
// Load pattern: a part of the servers fails, and every router wants to send
// every request again. All routers together may add a fixed part to the
// requests of any window, and a fixed number besides. Each router keeps to that
// part of its own requests and to an equal share of the number, so the sum
// holds without messages between them.

namespace crocuslatch {

struct RetryBudgetOptions {
  Millis window{10000};
  // Repeats for each own request of the window. Below the fleet's ratio of
  // 0.2, since arrivals at servers and requests are counted at other moments.
  double ratio = 0.17;
  // Repeats allowed beside, so that a router with little traffic may repeat
  // at all; see SetSlack.
  double slack = 1;
};

class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options);

  // Own share of the repeats that the fleet may make beside.
  void SetSlack(double slack) { slack_ = slack; }

  void CountRequest(const std::string& service, Millis now);
  // Takes one repeat out of the budget; false if there is none.
  bool Take(const std::string& service, Millis now);

 private:
  struct Window {
    std::deque<Millis> requests;
    std::deque<Millis> repeats;
  };

  Window& Fresh(const std::string& service, Millis now);

  const RetryBudgetOptions options_;
  double slack_;
  std::map<std::string, Window> windows_;
};

}  // namespace crocuslatch

#endif  // CORE_RETRY_BUDGET_H_
