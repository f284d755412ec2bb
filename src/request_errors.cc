#include "src/request_errors.h"

#include <fmt/format.h>

namespace crocuslatch {
namespace {

constexpr Millis kRetryAfter{1000};

}  // namespace

RequestError BadRequest(int http_status,
                        std::string code,
                        const std::string& message,
                        std::string remedy) {
  return {http_status, Outcome::kNotRun, std::move(code), message,
          std::move(remedy)};
}

RequestError ReservationRefused(ReserveStatus status,
                                const std::string& budget) {
  if (status == ReserveStatus::kInsufficient) {
    return BudgetExhausted(budget);
  }
  if (status == ReserveStatus::kUnknownBudget) {
    return UnknownBudget(budget);
  }
  return {503,
          Outcome::kNotRun,
          "ledger_unavailable",
          "the tokens granted to this router are used up and the ledger is "
          "unreachable",
          "retry later or through another router",
          kRetryAfter};
}

RequestError BudgetExhausted(const std::string& budget) {
  return BadRequest(
      402, "budget_exhausted",
      fmt::format("budget \"{}\" does not cover this request", budget),
      "request fewer tokens, or have the budget topped up");
}

RequestError UnknownBudget(const std::string& budget) {
  return BadRequest(
      403, "unknown_budget",
      fmt::format("the client account has no budget \"{}\"", budget),
      "name a budget of the client account in X-Budget");
}

RequestError EnqueueRefused(EnqueueStatus status, const std::string& rank) {
  if (status == EnqueueStatus::kUnknownRank) {
    return BadRequest(400, "unknown_rank",
                      fmt::format("rank \"{}\" does not exist", rank),
                      "name a configured rank in X-Rank");
  }
  if (status == EnqueueStatus::kQueueFull) {
    return {429,
            Outcome::kNotRun,
            "queue_full",
            fmt::format("too many requests of rank \"{}\" are waiting", rank),
            "retry later, with fewer concurrent requests",
            kRetryAfter};
  }
  return {503,
          Outcome::kNotRun,
          "deadline_unreachable",
          "the request would not start before its deadline",
          "retry later or with a longer X-Deadline-Ms",
          kRetryAfter};
}

RequestError CallerLeft() {
  return {503, Outcome::kNotRun, "caller_left",
          "the caller left before the request was dispatched",
          "send the request again"};
}

RequestError DeadlinePassed() {
  return {504,
          Outcome::kNotRun,
          "deadline_passed",
          "the deadline passed before the request was dispatched",
          "retry with a longer X-Deadline-Ms",
          kRetryAfter};
}

RequestError NoBackendServer(std::string_view target) {
  return {503,
          Outcome::kNotRun,
          "no_backend_server",
          fmt::format("no backend server accepts work for {}", target),
          "retry later",
          kRetryAfter};
}

RequestError BackendFailed(bool may_have_run, const std::string& reason) {
  if (may_have_run) {
    return {502,
            Outcome::kOutcomeUnknown,
            "backend_failed",
            fmt::format("no backend server gave a complete answer: {}", reason),
            "retry with the same Idempotency-Key; it is billed once",
            kRetryAfter};
  }
  return {503,
          Outcome::kNotRun,
          "backend_refused",
          fmt::format("no backend server accepted the request: {}", reason),
          "retry later",
          kRetryAfter};
}

RequestError OrderInProgress() {
  return {409,
          Outcome::kInProgress,
          "order_in_progress",
          "an earlier attempt with this Idempotency-Key is still running",
          "retry later with the same Idempotency-Key",
          kRetryAfter};
}

RequestError OrderOutcomeUnknown(const std::string& reason) {
  return {502, Outcome::kOutcomeUnknown, "order_outcome_unknown",
          fmt::format("the order may or may not have run: {}", reason),
          "ask the service whether the order ran; retries with this "
          "Idempotency-Key never run it again"};
}

RequestError KeyReused() {
  return BadRequest(422, "idempotency_key_reused",
                    "this Idempotency-Key was used for another request",
                    "use a new Idempotency-Key for each order");
}

RequestError KeyBoundToOtherBudget(const std::string& budget) {
  return {422, Outcome::kOutcomeUnknown, "idempotency_key_bound",
          fmt::format("this Idempotency-Key belongs to an order on a budget "
                      "other than \"{}\", which may have run",
                      budget),
          "name the budget of the first attempt in X-Budget, or use a new "
          "Idempotency-Key for a new order"};
}

RequestError ClaimUnconfirmed() {
  return {503,
          Outcome::kNotRun,
          "claim_unconfirmed",
          "the order could not be recorded, so this attempt was not "
          "dispatched; an earlier attempt with the same key may have run",
          "retry later with the same Idempotency-Key",
          kRetryAfter};
}

}  // namespace crocuslatch
