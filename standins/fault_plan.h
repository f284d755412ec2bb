#ifndef STANDINS_FAULT_PLAN_H_
#define STANDINS_FAULT_PLAN_H_

#include <QJsonArray>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

// Defines the faults that a test orders from a backend server's stand-in.

namespace crocuslatch::standins {

struct Fault {
  // Name of the fault; each stand-in documents its own.
  std::string kind;
  // Requests that it still applies to; negative for all.
  std::int64_t count = 1;
  // Tokens sent before a fault in the middle of a stream.
  std::int64_t after_tokens = 0;
  std::int64_t delay_ms = 0;
};

// Faults in order; each request gets the first that still applies.
class FaultPlan {
 public:
  // Replaces the plan by `[{"kind","count","after_tokens","delay_ms"}]`.
  void Replace(const QJsonArray& faults);
  std::optional<Fault> Next();

 private:
  std::vector<Fault> faults_;
};

}  // namespace crocuslatch::standins

#endif  // STANDINS_FAULT_PLAN_H_
