#ifndef SRC_LOAD_PLAN_H_
#define SRC_LOAD_PLAN_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "src/types.h"

// Defines the plan of a load run: where to send what, and when.

namespace crocuslatch {

// A rank's targets, as in the operators' document.
struct LoadTarget {
  std::string rank;
  Millis first_token{1700};
  Millis between_tokens{37};
};

struct LoadAccount {
  std::string name;
  std::string api_key;
  // As in the operators' document.
  double weight = 1;
  // True if the budget covers the whole run: a refusal as budget_exhausted
  // is then false.
  bool budget_covers = true;
};

// One kind of requests with Poisson arrivals.
struct LoadStream {
  std::string name;
  std::string client_account;
  std::string rank;
  // Empty if all requests are orders.
  std::string model;
  // Mean number of requests a second.
  double rate = 1;
  std::uint32_t min_prompt_words = 20;
  std::uint32_t max_prompt_words = 60;
  // Number of prefixes that the prompts share; each prompt starts with one
  // of them, which adds `prefix_words` words.
  std::uint32_t shared_prefixes = 0;
  std::uint32_t prefix_words = 0;
  Tokens max_tokens = 32;
  // Part of the requests that are orders to `service`.
  double order_fraction = 0;
  // "<service>/<path>".
  std::string service;
  Millis deadline{10000};
};

// Phases follow each other; only the named streams send during one.
struct LoadPhase {
  std::string name;
  Millis duration{0};
  std::vector<std::string> streams;
  // Phase whose goodput this one is compared with; empty for none. The streams
  // that it does not have are this phase's flood.
  std::string compare_to;
};

struct LoadPlan {
  // Callers' listeners, "<IP number>:<port>".
  std::vector<std::string> routers;
  // Stand-ins whose /stats are read after the run.
  std::vector<std::string> engines;
  std::vector<std::string> services;
  // Longest sum of all phases.
  Millis duration{0};
  // How long the run waits for answers after the last phase.
  Millis drain{10000};
  std::uint32_t max_requests = 10000;
  // A request above this bound is not sent, and reported.
  std::uint32_t max_in_flight = 2000;
  // Attempts of one request, the first one included.
  std::uint32_t max_attempts = 4;
  // Compare each answer with what standin_engine generates for its prompt.
  bool check_standin_answers = false;
  std::vector<LoadTarget> targets;
  std::vector<LoadAccount> client_accounts;
  std::vector<LoadStream> streams;
  std::vector<LoadPhase> phases;
};

// Parses and checks the whole plan. Throws UserError whose message has a line
// for each problem, with its remedy.
LoadPlan ParseLoadPlan(std::string_view toml);

}  // namespace crocuslatch

#endif  // SRC_LOAD_PLAN_H_
