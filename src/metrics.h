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

enum class Measure { kFirstToken, kBetweenTokens, kQueueWait, kEndToEnd };

std::string_view ToString(Measure measure);

// Times in milliseconds.
struct Summary {
  // "rank" or "client_account".
  std::string kind;
  std::string name;
  Measure measure = Measure::kFirstToken;
  std::uint64_t count = 0;
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
  bool operator==(const Summary&) const = default;
};

// Thread-safe.
class Metrics {
 public:
  Metrics();
  ~Metrics();

  void Record(const std::string& rank,
              const std::string& client_account,
              Measure measure,
              double milliseconds);
  // One request ended; `code` is empty for an answer.
  void CountOutcome(const std::string& rank,
                    Outcome outcome,
                    const std::string& code);
  // Adds one to the counter crocuslatch_<name>_total with the label
  // `label`="<value>".
  void Count(const std::string& name,
             const std::string& label,
             const std::string& value);
  // All counters of Count as "<value>=<count>" pairs of one name, for logs.
  std::string CountsOf(const std::string& name) const;

  // Tokens billed for a client account.
  void CountTokens(const std::string& rank,
                   const std::string& client_account,
                   Tokens tokens);

  std::vector<Summary> Summaries() const;
  // Prometheus text exposition.
  std::string Exposition() const;
  // `{"histograms":[...],"outcomes":[...],"tokens":[...]}`
  std::string Json() const;

 private:
  struct Core;
  std::unique_ptr<Core> core_;
};

}  // namespace crocuslatch

#endif  // SRC_METRICS_H_
