#include "standins/fault_plan.h"

#include <QJsonObject>
#include <algorithm>

#include "standins/standin_program.h"

namespace crocuslatch::standins {

namespace {

Fault ParseFault(const QJsonObject& json) {
  Fault fault;
  Update(json, "kind", fault.kind);
  Update(json, "count", fault.count);
  Update(json, "after_tokens", fault.after_tokens);
  Update(json, "delay_ms", fault.delay_ms);
  return fault;
}

}  // namespace

void FaultPlan::Replace(const QJsonArray& faults) {
  faults_.clear();
  std::ranges::transform(
      faults, std::back_inserter(faults_),
      [](const QJsonValue& it) { return ParseFault(it.toObject()); });
}

std::optional<Fault> FaultPlan::Next() {
  const auto it = std::ranges::find_if(
      faults_, [](const Fault& fault) { return fault.count != 0; });
  if (it == faults_.end()) {
    return std::nullopt;
  }
  if (it->count > 0) {
    --it->count;
  }
  return *it;
}

}  // namespace crocuslatch::standins
