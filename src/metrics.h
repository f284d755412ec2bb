#ifndef SRC_METRICS_H_
#define SRC_METRICS_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "src/types.h"

// Defines the histograms by rank and by client account, and the counters of
// outcomes and errors.

namespace crocuslatch {

enum class LatencyMetric { kFirstToken, kBetweenTokens, kQueueWait, kEndToEnd };

std::string_view ToString(LatencyMetric metric);

// Times in milliseconds.
struct LatencySummary {
  // "rank" or "client_account".
  std::string kind;
  std::string name;
  LatencyMetric metric = LatencyMetric::kFirstToken;
  std::uint64_t count = 0;
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
  bool operator==(const LatencySummary&) const = default;
};

// Thread-safe.
class Metrics {
 public:
  Metrics();
  ~Metrics();

  void AddLatencySample(const std::string& rank,
                        const std::string& client_account,
                        LatencyMetric metric,
                        double milliseconds);
  // One request ended; `code` is empty for an answer.
  void CountOutcome(const std::string& rank,
                    Outcome outcome,
                    const std::string& code);
  // Adds one to the counter crocuslatch_<name>_total with the label
  // `label`="<value>".
  void IncrementCounter(const std::string& name,
                        const std::string& label,
                        const std::string& value);
  // All counters of Count as "<value>=<count>" pairs of one name, for logs.
  std::string FormatCounters(const std::string& name) const;

  // Tokens billed for a client account.
  void CountTokens(const std::string& rank,
                   const std::string& client_account,
                   Tokens tokens);

  std::vector<LatencySummary> LatencySummaries() const;
  // Prometheus text exposition.
  std::string PrometheusText() const;
  // `{"histograms":[...],"outcomes":[...],"tokens":[...]}`
  std::string Json() const;

 private:
  struct Core;
  std::unique_ptr<Core> core_;
};

}  // namespace crocuslatch

#endif  // SRC_METRICS_H_
