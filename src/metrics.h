#ifndef SRC_METRICS_H_
#define SRC_METRICS_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "src/types.h"

// Defines the latency histograms by rank and by client account, and the
// counters of outcomes and errors.

namespace crocuslatch {

enum class LatencyMetric { kFirstToken, kBetweenTokens, kQueueWait, kEndToEnd };

std::string_view ToString(LatencyMetric metric);

// Quantiles of one histogram in milliseconds.
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

  // Adds a sample to the histograms of the rank and of the client account.
  void AddLatencySample(const std::string& rank,
                        const std::string& client_account,
                        LatencyMetric metric,
                        double milliseconds);
  // Counts one finished request; `code` is empty if it was answered.
  void CountOutcome(const std::string& rank,
                    Outcome outcome,
                    const std::string& code);
  // Adds one to the counter crocuslatch_<name>_total with the label
  // `label`="<value>".
  void IncrementCounter(const std::string& name,
                        const std::string& label,
                        const std::string& value);
  // Formats all counters of the name as "<value>=<count>" pairs for logs.
  std::string FormatCounters(const std::string& name) const;

  // Adds tokens that were billed to a client account.
  void CountTokens(const std::string& rank,
                   const std::string& client_account,
                   Tokens tokens);

  std::vector<LatencySummary> LatencySummaries() const;
  // All metrics in the Prometheus text exposition format.
  std::string PrometheusText() const;
  // All metrics but the counters of IncrementCounter as JSON:
  // `{"histograms":[...],"outcomes":[...],"tokens":[...]}`
  std::string Json() const;

 private:
  struct Core;
  std::unique_ptr<Core> core_;
};

}  // namespace crocuslatch

#endif  // SRC_METRICS_H_
