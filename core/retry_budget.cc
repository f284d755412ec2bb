#include "core/retry_budget.h"

namespace crocuslatch {

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : options_(options), slack_(options.slack) {}

RetryBudget::Window& RetryBudget::PrunedWindow(const std::string& service,
                                               Millis now) {
  Window& window = windows_[service];
  for (auto* times : {&window.requests, &window.retries}) {
    while (!times->empty() && times->front() <= now - options_.window) {
      times->pop_front();
    }
  }
  return window;
}

void RetryBudget::CountRequest(const std::string& service, Millis now) {
  PrunedWindow(service, now).requests.push_back(now);
}

bool RetryBudget::Take(const std::string& service, Millis now) {
  Window& window = PrunedWindow(service, now);
  const double allowed =
      slack_ + options_.ratio * static_cast<double>(window.requests.size());
  if (static_cast<double>(window.retries.size()) + 1 > allowed) {
    return false;
  }
  window.retries.push_back(now);
  return true;
}

}  // namespace crocuslatch
