#ifndef STANDINS_FAULT_PLAN_H_
#define STANDINS_FAULT_PLAN_H_

#include <QJsonArray>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

// Defines the faults that a test injects into a stand-in backend server.

namespace crocuslatch::standins {

struct Fault {
  // Name of the fault; each stand-in supports its own set.
  std::string kind;
  // Number of requests that the fault still applies to; negative for all.
  std::int64_t count = 1;
  // Tokens sent before a mid-stream fault occurs.
  std::int64_t after_tokens = 0;
  std::int64_t delay_ms = 0;
};

// An ordered list of faults. Each request gets the first that still applies.
class FaultPlan {
 public:
  // Replaces the plan with `[{"kind","count","after_tokens","delay_ms"}]`.
  void Replace(const QJsonArray& faults);
  // Returns the fault for the next request, or nullopt, and uses up one count.
  std::optional<Fault> Next();

 private:
  std::vector<Fault> faults_;
};

}  // namespace crocuslatch::standins

#endif  // STANDINS_FAULT_PLAN_H_
