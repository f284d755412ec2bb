#ifndef SRC_LOAD_REPORT_H_
#define SRC_LOAD_REPORT_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "src/load_plan.h"
#include "src/types.h"

// Defines the records of what callers saw during a load run, and the report
// that summarizes them.

namespace crocuslatch {

// One request with all its attempts, as its caller saw it. Times are in
// milliseconds.
struct LoadTranscript {
  // Indices in the plan.
  std::size_t stream = 0;
  std::size_t phase = 0;
  bool is_order = false;
  std::string idempotency_key;
  Tokens max_tokens = 0;
  // Codes of all attempts in order; the last one is the result. "answered"
  // means that the response ended without an error.
  std::vector<std::string> codes;
  // True if every attempt ended with outcome not_run.
  bool not_run = true;
  // The next three describe the answer; earlier failed attempts do not count.
  // Time from the planned arrival to the first token.
  double first_token = 0;
  // Times between consecutive tokens.
  std::vector<double> gaps;
  Tokens tokens = 0;
  // The answer ended normally but is incomplete.
  bool incomplete = false;
  // The answer has the content of another request.
  bool foreign = false;
  // Run number that the answer to an order reports; 0 if unknown.
  std::int64_t order_run = 0;
};

// Counts from the stand-ins' /stats.
struct LoadCounts {
  // True if the plan lists engines (services) and all of them responded.
  bool has_engines = false;
  bool has_services = false;
  // Generated tokens per client account.
  std::map<std::string, Tokens> generated;
  // Runs per Idempotency-Key.
  std::map<std::string, std::int64_t> order_runs;
};

// Quantiles of times in milliseconds; all 0 without samples.
struct LoadQuantiles {
  std::size_t count = 0;
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
  bool operator==(const LoadQuantiles&) const = default;
};

// Summary of the model requests of one rank that arrived during one phase.
struct LoadRankSummary {
  std::string phase;
  std::string rank;
  std::size_t requests = 0;
  std::size_t answered = 0;
  LoadQuantiles first_token;
  LoadQuantiles between_tokens;
  // Fractions of the answers and of the gaps within the rank's targets.
  double first_token_within = 0;
  double between_tokens_within = 0;
  // Fraction of all requests whose answer had its first token within the
  // target.
  double served_within = 0;
  // Tokens of complete answers per second of the phase.
  double goodput = 0;
  // Tokens of complete answers / requested tokens.
  double served_share = 0;
};

// Goodput of a rank without flood streams, during a flood and in the baseline
// phase.
struct LoadGoodput {
  std::string phase;
  std::string compare_to;
  std::string rank;
  double before = 0;
  double during = 0;
  double served_share_before = 0;
  double served_share_during = 0;
};

// What a client account requested, received and was entitled to in a phase.
struct LoadEntitlement {
  std::string phase;
  std::string client_account;
  Tokens asked = 0;
  Tokens received = 0;
  // Weighted max-min fair share of the tokens delivered for its ranks and
  // models.
  double entitled = 0;
  // received / entitled.
  double share = 0;
  LoadQuantiles first_token;
};

// Summary of a load run.
struct LoadRunReport {
  std::uint64_t seed = 0;
  std::size_t requests = 0;
  std::size_t orders = 0;
  std::vector<LoadRankSummary> ranks;
  std::vector<LoadGoodput> goodput;
  std::vector<LoadEntitlement> entitlements;
  // Jain's index of the shares of entitlement, by phase.
  std::vector<std::pair<std::string, double>> fairness;
  // (rank, code) -> number of requests with this result.
  std::map<std::pair<std::string, std::string>, std::size_t> outcomes;
  // code -> number of attempts.
  std::map<std::string, std::size_t> attempts;
  // Requests with an attempt refused as budget_exhausted although the budget
  // covers the run.
  std::size_t false_refusals = 0;
  // The next four counts must be 0.
  std::size_t incomplete = 0;
  std::size_t foreign = 0;
  std::size_t orders_run_twice = 0;
  // Orders that ran although every attempt ended with outcome not_run.
  std::size_t not_run_but_ran = 0;
  Tokens received = 0;
  LoadCounts counts;
};

// Returns nearest-rank quantiles.
LoadQuantiles QuantilesOf(std::vector<double> samples);

// A claimant in a weighted max-min fair split.
struct FairShareClaim {
  double weight = 1;
  double asked = 0;
};
// Splits `total` by weight. No claim gets more than it asked for; the surplus
// is divided among the others.
std::vector<double> MaxMinFairShares(double total,
                                     const std::vector<FairShareClaim>& claims);

// Returns Jain's fairness index: 1 if all shares are equal, 1/n if one of n has
// everything, 1 without shares.
double JainIndex(const std::vector<double>& shares);

// Summarizes the transcripts and counts of a run of `plan`.
LoadRunReport Summarize(const LoadPlan& plan,
                        const std::vector<LoadTranscript>& transcripts,
                        const LoadCounts& counts,
                        std::uint64_t seed);

// Returns false if a count that must be 0 is not.
bool IsSound(const LoadRunReport& report);

// Formats the report as tables for people, and as JSON for programs.
std::string FormatTable(const LoadRunReport& report);
std::string ToJson(const LoadRunReport& report);

}  // namespace crocuslatch

#endif  // SRC_LOAD_REPORT_H_
