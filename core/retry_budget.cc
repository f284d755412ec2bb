#include "core/retry_budget.h"

namespace crocuslatch {

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : options_(options), slack_(options.slack) {}

RetryBudget::Window& RetryBudget::Fresh(const std::string& service,
                                        Millis now) {
  Window& window = windows_[service];
  for (auto* times : {&window.requests, &window.repeats}) {
    while (!times->empty() && times->front() <= now - options_.window) {
      times->pop_front();
    }
  }
  return window;
}

void RetryBudget::CountRequest(const std::string& service, Millis now) {
  Fresh(service, now).requests.push_back(now);
}

bool RetryBudget::Take(const std::string& service, Millis now) {
  Window& window = Fresh(service, now);
  const double allowed =
      slack_ + options_.ratio * static_cast<double>(window.requests.size());
  if (static_cast<double>(window.repeats.size()) + 1 > allowed) {
    return false;
  }
  window.repeats.push_back(now);
  return true;
}

}  // namespace crocuslatch
