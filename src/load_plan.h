#ifndef SRC_LOAD_PLAN_H_
#define SRC_LOAD_PLAN_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "src/types.h"

// Defines the plan of a load run: targets, client accounts, request streams and
// phases.

namespace crocuslatch {

// Latency targets of a rank, as in the operators' document.
struct LoadTarget {
  std::string rank;
  Millis first_token{1700};
  Millis between_tokens{37};
};

struct LoadAccount {
  std::string name;
  std::string api_key;
  // Fair-share weight, as in the operators' document.
  double weight = 1;
  // True if the budget covers the whole run, so that a refusal with
  // budget_exhausted counts as a false refusal.
  bool budget_covers = true;
};

// Similar requests with Poisson arrivals.
struct LoadStream {
  std::string name;
  std::string client_account;
  std::string rank;
  // Empty if all requests are orders.
  std::string model;
  // Mean number of requests per second.
  double rate = 1;
  std::uint32_t min_prompt_words = 20;
  std::uint32_t max_prompt_words = 60;
  // Number of shared prompt prefixes of `prefix_words` words each; every prompt
  // starts with one of them. 0 for none.
  std::uint32_t shared_prefixes = 0;
  std::uint32_t prefix_words = 0;
  Tokens max_tokens = 32;
  // Fraction of the requests that are orders to `service`, from 0 to 1.
  double order_fraction = 0;
  // "<service>/<path>".
  std::string service;
  Millis deadline{10000};
};

// Phases run one after another; only the listed streams send during a phase.
struct LoadPhase {
  std::string name;
  Millis duration{0};
  std::vector<std::string> streams;
  // Baseline phase for the goodput comparison; empty for none. Streams of this
  // phase that the baseline lacks are the flood.
  std::string compare_to;
};

struct LoadPlan {
  // Addresses of the routers' listeners for callers, "<IP address>:<port>".
  std::vector<std::string> routers;
  // Addresses of stand-ins whose /stats are read after the run.
  std::vector<std::string> engines;
  std::vector<std::string> services;
  // Upper bound on the total duration of all phases.
  Millis duration{0};
  // How long the run waits for responses after `duration`.
  Millis drain{10000};
  std::uint32_t max_requests = 10000;
  // Requests beyond this limit are reported but not sent.
  std::uint32_t max_in_flight = 2000;
  // Attempts per request, including the first.
  std::uint32_t max_attempts = 4;
  // Compare each answer with the one that standin_engine generates for the
  // prompt.
  bool check_standin_answers = false;
  std::vector<LoadTarget> targets;
  std::vector<LoadAccount> client_accounts;
  std::vector<LoadStream> streams;
  std::vector<LoadPhase> phases;
};

// Parses and validates a plan. Throws UserError "plan_rejected" with one line
// per problem, including its remedy.
LoadPlan ParseLoadPlan(std::string_view toml);

}  // namespace crocuslatch

#endif  // SRC_LOAD_PLAN_H_
