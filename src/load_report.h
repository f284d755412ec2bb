#ifndef SRC_LOAD_REPORT_H_
#define SRC_LOAD_REPORT_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "src/load_plan.h"
#include "src/types.h"

// Defines what callers saw during a load run, and its summary.

namespace crocuslatch {

// One request with all its attempts, as its caller saw it. Times in
// milliseconds, measured from the planned arrival.
struct LoadTranscript {
  // Indexes in the plan.
  std::size_t stream = 0;
  std::size_t phase = 0;
  bool is_order = false;
  std::string idempotency_key;
  Tokens max_tokens = 0;
  // Codes of all attempts in order; the last one is the result. "answered"
  // stands for a whole answer.
  std::vector<std::string> codes;
  // True if each attempt ended as not_run.
  bool not_run = true;
  // Of the whole answer only.
  double first_token = 0;
  std::vector<double> gaps;
  Tokens tokens = 0;
  // An answer that ended as if whole but is not.
  bool incomplete = false;
  // An answer with the content of another request.
  bool foreign = false;
  // Number of the run, by the answer of an order; 0 if unknown.
  std::int64_t order_run = 0;
};

// Counts of the stand-ins' /stats.
struct LoadCounts {
  // True if all engines or services of the plan answered.
  bool has_engines = false;
  bool has_services = false;
  // Generated tokens by client account.
  std::map<std::string, Tokens> generated;
  // Runs of each Idempotency-Key.
  std::map<std::string, std::int64_t> order_runs;
};

struct LoadQuantiles {
  std::size_t count = 0;
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
  bool operator==(const LoadQuantiles&) const = default;
};

// Model requests of one rank that arrived during one phase.
struct LoadRankSummary {
  std::string phase;
  std::string rank;
  std::size_t requests = 0;
  std::size_t answered = 0;
  LoadQuantiles first_token;
  LoadQuantiles between_tokens;
  // Parts of the answers, and of the gaps, within the rank's targets.
  double first_token_within = 0;
  double between_tokens_within = 0;
  // Part of all requests that were answered with the first token in time.
  double served_within = 0;
  // Tokens of whole answers for each second of the phase.
  double goodput = 0;
  // Tokens of whole answers / tokens asked for.
  double served_share = 0;
};

// A rank that does not flood, during a flood and in the phase before.
struct LoadGoodput {
  std::string phase;
  std::string compare_to;
  std::string rank;
  double before = 0;
  double during = 0;
  double served_share_before = 0;
  double served_share_during = 0;
};

struct LoadEntitlement {
  std::string phase;
  std::string client_account;
  Tokens asked = 0;
  Tokens received = 0;
  // Weighted max-min fair part of what its ranks and models delivered.
  double entitled = 0;
  // received / entitled.
  double share = 0;
  LoadQuantiles first_token;
};

struct LoadRunReport {
  std::uint64_t seed = 0;
  std::size_t requests = 0;
  std::size_t orders = 0;
  std::vector<LoadRankSummary> ranks;
  std::vector<LoadGoodput> goodput;
  std::vector<LoadEntitlement> entitlements;
  // Jain's index of the shares of entitlement, by phase.
  std::vector<std::pair<std::string, double>> fairness;
  // (rank, code) -> number of requests that ended so.
  std::map<std::pair<std::string, std::string>, std::size_t> outcomes;
  // code -> number of attempts.
  std::map<std::string, std::size_t> attempts;
  std::size_t false_refusals = 0;
  // Must be 0.
  std::size_t incomplete = 0;
  std::size_t foreign = 0;
  std::size_t orders_run_twice = 0;
  // Orders that every attempt refused as not_run, but that ran.
  std::size_t not_run_but_ran = 0;
  Tokens received = 0;
  LoadCounts counts;
};

// Quantiles by the nearest rank.
LoadQuantiles QuantilesOf(std::vector<double> samples);

// Splits `total` by weight; nobody gets more than asked for, and what is left
// goes to the others.
struct FairClaim {
  double weight = 1;
  double asked = 0;
};
std::vector<double> FairParts(double total,
                              const std::vector<FairClaim>& claims);

// 1 if all shares are equal, 1/n if one has everything; 1 for no shares.
double JainIndex(const std::vector<double>& shares);

LoadRunReport Summarize(const LoadPlan& plan,
                        const std::vector<LoadTranscript>& transcripts,
                        const LoadCounts& counts,
                        std::uint64_t seed);

// False if one of the counts that must be 0 is not.
bool IsSound(const LoadRunReport& report);

std::string FormatTable(const LoadRunReport& report);
std::string ToJson(const LoadRunReport& report);

}  // namespace crocuslatch

#endif  // SRC_LOAD_REPORT_H_
