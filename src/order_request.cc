#include "src/order_request.h"

#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <set>

#include "src/log.h"
#include "src/request_errors.h"

namespace crocuslatch {
namespace {

constexpr Millis kLongestReserveWait{300};
constexpr Millis kLongestClaimWait{2000};
// Time to look for an earlier attempt when this one is refused.
constexpr Millis kLookupTimeout{500};
// Dispatches of a repeatable call, the first one included.
constexpr int kMaxDispatches = 4;
constexpr Millis kRetryDelay{50};

// True if the server said that it did not run the request.
bool IsRefused(int status, const HttpHeaders& headers) {
  return status == 503 && FindHeader(headers, "X-Not-Run") == "1";
}

std::string_view Describe(HttpResult end) {
  switch (end) {
    case HttpResult::kComplete:
      return "it answered";
    case HttpResult::kNotSent:
      return "it refused the connection";
    case HttpResult::kBroken:
      return "the connection broke";
    case HttpResult::kTimedOut:
      return "it did not answer in time";
    case HttpResult::kCancelled:
      return "the call was cancelled";
  }
  return "it did not answer";
}

// One call of a service. All members but Choose run on the worker's loop.
class OrderRequest : public std::enable_shared_from_this<OrderRequest> {
 public:
  OrderRequest(const RequestContext& context,
               const RequestMetadata& caller,
               ServiceConfig service,
               const std::string& path,
               const IncomingRequest& request,
               HttpReply reply)
      : context_(context),
        caller_(caller),
        service_(std::move(service)),
        target_(ServiceTarget(service_.name)),
        path_(request.query.empty() ? path : path + "?" + request.query),
        request_(request),
        reply_(std::move(reply)),
        digest_(MakeRequestKey({service_.name, path_, request.body})),
        deadline_(caller.deadline) {
    if (!service_.repeatable) {
      // The key names the order, so that another body is found out.
      key_ = MakeRequestKey(
          {"order", caller.client_account, caller.idempotency_key});
      return;
    }
    const auto idempotency_key =
        caller.idempotency_key.empty()
            ? fmt::format("{:016x}{:016x}", context.random(), context.random())
            : caller.idempotency_key;
    key_ = MakeRequestKey(
        {"call", caller.client_account, idempotency_key, ToString(digest_)});
  }

  void Start() {
    reply_.OnDisconnect([weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->OnCallerLeft();
      }
    });
    if (!context_.backends->HasServer(target_)) {
      Refuse(NoBackendServer(target_));
    } else if (service_.repeatable) {
      Reserve();
    } else {
      Enqueue();
    }
  }

 private:
  void Reserve() {
    const auto left = deadline_ - context_.loop.now();
    context_.reserve(caller_.budget, service_.cost,
                     std::clamp(left, Millis{0}, kLongestReserveWait),
                     [self = shared_from_this()](ReserveStatus status) {
                       self->context_.loop.post(
                           [self, status] { self->OnReserved(status); });
                     });
  }

  void OnReserved(ReserveStatus status) {
    if (status != ReserveStatus::kReserved) {
      End(ReservationRefused(status, caller_.budget));
      return;
    }
    is_reserved_ = true;
    if (is_done_) {
      Settle(0);
      return;
    }
    Enqueue();
  }

  void Enqueue() {
    queued_at_ = context_.loop.now();
    WorkId id = 0;
    const auto status = context_.scheduler->Enqueue(
        {.rank = caller_.rank,
         .client_account = caller_.client_account,
         .weight = caller_.weight,
         .target = target_,
         .tokens = service_.cost,
         .bytes = request_.body.size(),
         .deadline = deadline_,
         .resumed = dispatches_ > 0},
        [self = shared_from_this()](bool last) { return self->Acquire(last); },
        [self = shared_from_this()] {
          self->context_.loop.post([self] { self->OnStarted(); });
        },
        &id);
    if (status != EnqueueStatus::kQueued) {
      Refuse(EnqueueRefused(status, caller_.rank));
      return;
    }
    work_ = id;
    context_.loop.after(std::max(Millis{0}, deadline_ - context_.loop.now()),
                        [weak = weak_from_this(), id] {
                          const auto self = weak.lock();
                          if (self && self->work_ == id &&
                              self->context_.scheduler->Cancel(id)) {
                            self->work_.reset();
                            self->OnWaitTooLong();
                          }
                        });
    context_.scheduler->StartWaiting();
  }

  void OnWaitTooLong() {
    if (may_have_run_) {
      Refuse(BackendFailed(true, "no other backend server was free in time"));
    } else {
      Refuse(DeadlinePassed());
    }
  }

  // Runs on any thread under the scheduler's lock.
  bool Acquire(bool may_use_reserved_slots) {
    choice_ = context_.backends->Acquire(
        {.target = target_,
         .prompt = {},
         .avoid = avoid_,
         .may_use_reserved_slots = may_use_reserved_slots});
    return choice_.has_value();
  }

  void OnStarted() {
    work_.reset();
    if (is_done_) {
      ReleaseSlot(BackendResult::kNeutral);
      return;
    }
    if (dispatches_ == 0) {
      context_.metrics->AddLatencySample(
          caller_.rank, caller_.client_account, LatencyMetric::kQueueWait,
          static_cast<double>((context_.loop.now() - queued_at_).count()));
      context_.backends->CountRequest();
    }
    if (service_.repeatable) {
      Dispatch();
    } else {
      const auto left = deadline_ - context_.loop.now();
      Claim(std::clamp(left, Millis{1}, kLongestClaimWait));
    }
  }

  void Claim(Millis timeout) {
    is_claiming_ = true;
    claim_sent_at_ = context_.loop.now();
    context_.claims->Claim(
        {.key = key_,
         .digest = digest_,
         .budget = caller_.budget,
         .cost = service_.cost,
         .timeout = timeout},
        [self = shared_from_this()](const ClaimResult& result) {
          const auto confirmed_at = self->context_.loop.now();
          self->context_.loop.post([self, result, confirmed_at] {
            self->OnClaim(result, confirmed_at);
          });
        });
  }

  void OnClaim(const ClaimResult& result, Millis confirmed_at) {
    is_claiming_ = false;
    attempt_ = result.attempt;
    if (result.status == ClaimStatus::kClaimed) {
      OnClaimed(confirmed_at);
      return;
    }
    if (choice_) {
      ReleaseSlot(BackendResult::kNeutral);
    }
    if (result.status == ClaimStatus::kExists) {
      AnswerByRecord(result.record);
    } else if (result.status == ClaimStatus::kKeyReused) {
      End(KeyReused());
    } else if (result.status == ClaimStatus::kOtherBudget) {
      End(KeyBoundToOtherBudget(caller_.budget));
    } else if (refusal_) {
      End(*refusal_);
    } else if (result.status == ClaimStatus::kInsufficient) {
      End(BudgetExhausted(caller_.budget));
    } else if (result.status == ClaimStatus::kUnknownBudget) {
      End(UnknownBudget(caller_.budget));
    } else {
      End(ClaimUnconfirmed());
    }
  }

  void OnClaimed(Millis confirmed_at) {
    const auto now = context_.loop.now();
    if (refusal_ || is_done_) {
      AbandonClaim(refusal_.value_or(DeadlinePassed()));
    } else if (now >= deadline_ || now - confirmed_at > kMaxDispatchDelay ||
               now - claim_sent_at_ > kLongestClaimWait + kMaxDispatchDelay) {
      AbandonClaim(DeadlinePassed());
    } else {
      Dispatch();
    }
  }

  // Nothing was handed to a backend server, or it refused to run it.
  void AbandonClaim(const RequestError& error) {
    context_.claims->Abandon(attempt_);
    if (choice_) {
      ReleaseSlot(BackendResult::kNeutral);
    }
    End(error);
  }

  // What a retry is told about the earlier attempt.
  void AnswerByRecord(const ClaimRecord& record) {
    switch (record.state) {
      case ClaimState::kFinished:
        EndAnswered();
        reply_.SendResponse(record.http_status,
                            {{"Content-Type", "application/json"},
                             {"X-Outcome", "answered"},
                             {"X-Stored-Answer", "1"}},
                            record.body);
        return;
      case ClaimState::kClaimed:
        if (context_.is_holder_gone(record.holder)) {
          End(OrderOutcomeUnknown("the router that ran it is gone"));
        } else {
          End(OrderInProgress());
        }
        return;
      case ClaimState::kInDoubt:
        End(OrderOutcomeUnknown("the service did not answer"));
        return;
      case ClaimState::kAbandoned:
        End(refusal_.value_or(ClaimUnconfirmed()));
        return;
    }
  }

  void Dispatch() {
    ++dispatches_;
    is_dispatched_ = true;
    HttpHeaders headers;
    for (const auto* name : {"Content-Type", "Idempotency-Key"}) {
      const auto value = FindHeader(request_.headers, name);
      if (!value.empty()) {
        headers.emplace_back(name, value);
      }
    }
    context_.client->SendAndCollect(
        {.method = "POST",
         .url = fmt::format("http://{}/{}", choice_->address, path_),
         .headers = std::move(headers),
         .body = request_.body,
         .first_byte_timeout = service_.timeout,
         .stall_timeout = service_.timeout},
        [self = shared_from_this()](HttpResult end, int status,
                                    const HttpHeaders& answer_headers,
                                    const std::string& body) {
          self->is_dispatched_ = false;
          if (self->service_.repeatable) {
            self->OnCallEnd(end, status, answer_headers, body);
          } else {
            self->OnOrderEnd(end, status, answer_headers, body);
          }
        });
  }

  // The order ran at most once; the claim tells how it ended.
  void OnOrderEnd(HttpResult end,
                  int status,
                  const HttpHeaders& headers,
                  const std::string& body) {
    const auto server = choice_->server;
    if (end == HttpResult::kComplete && !IsRefused(status, headers)) {
      context_.claims->Finish(attempt_, status, body);
      ReleaseSlot(BackendResult::kSucceeded);
      Relay(status, headers, body);
      return;
    }
    if (end == HttpResult::kNotSent || end == HttpResult::kComplete) {
      context_.claims->Abandon(attempt_);
      ReleaseSlot(end == HttpResult::kNotSent ? BackendResult::kFailed
                                              : BackendResult::kNeutral);
      End(BackendFailed(false, fmt::format("{}: {}", server,
                                           end == HttpResult::kNotSent
                                               ? Describe(end)
                                               : "it refused to run")));
      return;
    }
    context_.claims->MarkInDoubt(attempt_);
    ReleaseSlot(BackendResult::kFailed);
    End(OrderOutcomeUnknown(fmt::format("{}: {}", server, Describe(end))));
  }

  void OnCallEnd(HttpResult end,
                 int status,
                 const HttpHeaders& headers,
                 const std::string& body) {
    const bool is_refused = IsRefused(status, headers);
    if (end == HttpResult::kComplete && !is_refused) {
      ReleaseSlot(BackendResult::kSucceeded);
      Settle(service_.cost);
      Relay(status, headers, body);
      return;
    }
    const bool may_have_run = end != HttpResult::kNotSent && !is_refused;
    may_have_run_ = may_have_run_ || may_have_run;
    const auto reason =
        fmt::format("{}: {}", choice_->server,
                    is_refused ? "it refused to run" : Describe(end));
    avoid_.insert(choice_->server);
    ReleaseSlot(is_refused ? BackendResult::kNeutral : BackendResult::kFailed);
    const bool has_time = context_.loop.now() + kRetryDelay < deadline_;
    if (is_done_ || dispatches_ >= kMaxDispatches || !has_time ||
        (may_have_run && !context_.backends->TryTakeRetry())) {
      End(BackendFailed(may_have_run_, reason));
      return;
    }
    context_.loop.after(kRetryDelay, [self = shared_from_this()] {
      if (!self->is_done_) {
        self->Enqueue();
      }
    });
  }

  void Relay(int status, const HttpHeaders& headers, const std::string& body) {
    EndAnswered();
    context_.metrics->CountTokens(caller_.rank, caller_.client_account,
                                  service_.cost);
    const auto type = FindHeader(headers, "Content-Type");
    reply_.SendResponse(
        status,
        {{"Content-Type",
          type.empty() ? "application/octet-stream" : std::string(type)},
         {"X-Outcome", "answered"}},
        body);
  }

  void ReleaseSlot(BackendResult result) {
    context_.backends->Release(*choice_, result);
    choice_.reset();
    context_.scheduler->StartWaiting();
  }

  // Ends a request that was not dispatched. A caller that retries an order
  // must not be told "not run" if an earlier attempt ran, so the claim is
  // looked up first.
  void Refuse(const RequestError& error) {
    if (service_.repeatable || is_done_) {
      End(error);
      return;
    }
    refusal_ = error;
    Claim(kLookupTimeout);
  }

  void OnCallerLeft() {
    if (is_done_) {
      return;
    }
    if (work_ && context_.scheduler->Cancel(*work_)) {
      work_.reset();
    }
    // A dispatched call goes on: its answer is kept for a retry.
    if (is_dispatched_ || is_claiming_) {
      is_done_ = is_claiming_;
      return;
    }
    Settle(0);
    Count(may_have_run_ ? Outcome::kOutcomeUnknown : Outcome::kNotRun,
          "caller_left");
  }

  void Settle(Tokens amount) {
    if (!is_reserved_) {
      return;
    }
    is_reserved_ = false;
    context_.settle(caller_.budget, service_.cost,
                    {.key = key_, .amount = amount});
  }

  void End(const RequestError& error) {
    if (is_counted_) {
      return;
    }
    Settle(0);
    Count(error.outcome(), error.code());
    Log(error.outcome() == Outcome::kOutcomeUnknown
            ? LogEvent::kRequestOutcomeUnknown
            : LogEvent::kRequestRefused,
        "call {} of {}: {}: {}", ToString(key_), caller_.client_account,
        error.code(), error.what());
    reply_.SendError(error);
  }

  void EndAnswered() {
    Count(Outcome::kAnswered, "");
    context_.metrics->AddLatencySample(
        caller_.rank, caller_.client_account, LatencyMetric::kEndToEnd,
        static_cast<double>((context_.loop.now() - caller_.arrived).count()));
  }

  void Count(Outcome outcome, const std::string& code) {
    is_done_ = true;
    is_counted_ = true;
    context_.metrics->CountOutcome(caller_.rank, outcome, code);
  }

  const RequestContext context_;
  const RequestMetadata caller_;
  const ServiceConfig service_;
  const std::string target_;
  const std::string path_;
  const IncomingRequest request_;
  HttpReply reply_;
  const RequestKey digest_;
  const Millis deadline_;
  RequestKey key_;

  bool is_reserved_ = false;
  bool is_claiming_ = false;
  bool is_dispatched_ = false;
  bool is_done_ = false;
  bool is_counted_ = false;
  Millis queued_at_{0};
  Millis claim_sent_at_{0};
  std::optional<WorkId> work_;
  std::optional<BackendSlot> choice_;
  std::set<std::string> avoid_;
  int dispatches_ = 0;
  bool may_have_run_ = false;
  OrderAttempt attempt_;
  // Set if the request is refused unless an earlier attempt is found.
  std::optional<RequestError> refusal_;
};

}  // namespace

void RunOrderRequest(const RequestContext& context,
                     const RequestMetadata& caller,
                     const std::string& service,
                     const std::string& path,
                     const IncomingRequest& request,
                     HttpReply reply) {
  const auto* config = FindByName(caller.document->services, service);
  if (config == nullptr) {
    throw BadRequest(404, "unknown_service",
                     fmt::format("service \"{}\" does not exist", service),
                     "name a configured service");
  }
  if (!config->repeatable && caller.idempotency_key.empty()) {
    throw BadRequest(
        400, "idempotency_key_required",
        fmt::format("calls of \"{}\" may run only once", service),
        "send a new Idempotency-Key with each order, and the same one with "
        "its retries");
  }
  std::make_shared<OrderRequest>(context, caller, *config, path, request,
                                 std::move(reply))
      ->Start();
}

}  // namespace crocuslatch
