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

constexpr Millis kMaxReserveWait{300};
constexpr Millis kMaxClaimWait{2000};
// Timeout of the search for an earlier attempt before this one is refused.
constexpr Millis kLookupTimeout{500};
// Limit on the dispatches of a repeatable call, including the first.
constexpr int kMaxDispatches = 4;
constexpr Millis kRetryDelay{50};

// True if the server stated that it did not run the request.
bool IsDeclined(int status, const HttpHeaders& headers) {
  return status == 503 && FindHeader(headers, "X-Not-Run") == "1";
}

std::string_view DescribeEnd(HttpResult end) {
  switch (end) {
    case HttpResult::kComplete:
      return "it answered";
    case HttpResult::kNotSent:
      return "it refused the connection";
    case HttpResult::kBroken:
      return "the connection broke";
    case HttpResult::kTimedOut:
      return "it did not answer in time";
    case HttpResult::kTooLarge:
      return "its answer was too large";
    case HttpResult::kCancelled:
      return "the call was cancelled";
  }
  return "it did not answer";
}

// Handles one call of a service. All members but AcquireSlot run on the
// worker's loop.
class OrderRequest : public std::enable_shared_from_this<OrderRequest> {
 public:
  OrderRequest(const RequestContext& context,
               const RequestMetadata& metadata,
               ServiceConfig service,
               const std::string& path,
               const IncomingRequest& request,
               HttpReply reply)
      : context_(context),
        metadata_(metadata),
        service_(std::move(service)),
        target_(ServiceTarget(service_.name)),
        path_(request.query.empty() ? path : path + "?" + request.query),
        request_(request),
        reply_(std::move(reply)),
        digest_(MakeRequestKey({service_.name, path_, request.body})),
        deadline_(metadata.deadline) {
    if (!service_.repeatable) {
      // The key does not depend on the body, so that its reuse for another body
      // is detected.
      key_ = MakeRequestKey(
          {"order", metadata.client_account, metadata.idempotency_key});
      return;
    }
    const auto idempotency_key =
        metadata.idempotency_key.empty()
            ? fmt::format("{:016x}{:016x}", context.random(), context.random())
            : metadata.idempotency_key;
    key_ = MakeRequestKey(
        {"call", metadata.client_account, idempotency_key, ToString(digest_)});
  }

  void Start() {
    reply_.OnDisconnect([weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->OnCallerLeft();
      }
    });
    if (!context_.backends->HasServer(target_)) {
      RefuseAfterLookup(NoBackendServer(target_));
    } else if (service_.repeatable) {
      Reserve();
    } else {
      Enqueue();
    }
  }

 private:
  void Reserve() {
    const auto left = deadline_ - context_.loop.now();
    context_.reserve(metadata_.budget, service_.cost,
                     std::clamp(left, Millis{0}, kMaxReserveWait),
                     [self = shared_from_this()](ReserveStatus status) {
                       self->context_.loop.post(
                           [self, status] { self->OnReserved(status); });
                     });
  }

  void OnReserved(ReserveStatus status) {
    if (status != ReserveStatus::kReserved) {
      End(ReservationRefused(status, metadata_.budget));
      return;
    }
    is_reserved_ = true;
    if (has_ended_) {
      Settle(0);
      return;
    }
    Enqueue();
  }

  void Enqueue() {
    queued_at_ = context_.loop.now();
    WorkId id = 0;
    const auto status = context_.scheduler->Enqueue(
        {.rank = metadata_.rank,
         .client_account = metadata_.client_account,
         .weight = metadata_.weight,
         .target = target_,
         .tokens = service_.cost,
         .bytes = request_.body.size(),
         .deadline = deadline_,
         .resumed = dispatches_ > 0},
        [self = shared_from_this()](bool may_use_reserved_slots) {
          return self->AcquireSlot(may_use_reserved_slots);
        },
        [self = shared_from_this()] {
          self->context_.loop.post([self] { self->OnStarted(); });
        },
        &id);
    if (status != EnqueueStatus::kQueued) {
      RefuseAfterLookup(EnqueueRefused(status, metadata_.rank));
      return;
    }
    work_id_ = id;
    context_.loop.after(std::max(Millis{0}, deadline_ - context_.loop.now()),
                        [weak = weak_from_this(), id] {
                          const auto self = weak.lock();
                          if (self && self->work_id_ == id &&
                              self->context_.scheduler->Cancel(id)) {
                            self->work_id_.reset();
                            self->OnQueueTimeout();
                          }
                        });
    context_.scheduler->StartWaiting();
  }

  void OnQueueTimeout() {
    if (may_have_run_) {
      RefuseAfterLookup(
          BackendFailed(true, "no other backend server was free in time"));
    } else {
      RefuseAfterLookup(DeadlinePassed());
    }
  }

  // Called on any thread with the scheduler's lock held.
  bool AcquireSlot(bool may_use_reserved_slots) {
    slot_ = context_.backends->Acquire(
        {.target = target_,
         .prompt = {},
         .avoid = avoided_servers_,
         .may_use_reserved_slots = may_use_reserved_slots});
    return slot_.has_value();
  }

  void OnStarted() {
    work_id_.reset();
    if (has_ended_) {
      ReleaseSlot(BackendResult::kNeutral);
      return;
    }
    if (dispatches_ == 0) {
      context_.metrics->AddLatencySample(
          metadata_.rank, metadata_.client_account, LatencyMetric::kQueueWait,
          static_cast<double>((context_.loop.now() - queued_at_).count()));
      context_.backends->CountRequest();
    }
    if (service_.repeatable) {
      Dispatch();
    } else {
      const auto left = deadline_ - context_.loop.now();
      SendClaim(std::clamp(left, Millis{1}, kMaxClaimWait));
    }
  }

  void SendClaim(Millis timeout) {
    is_claiming_ = true;
    claim_sent_at_ = context_.loop.now();
    context_.claims->Claim(
        {.key = key_,
         .digest = digest_,
         .budget = metadata_.budget,
         .cost = service_.cost,
         .timeout = timeout},
        [self = shared_from_this()](const ClaimResult& result) {
          const auto confirmed_at = self->context_.loop.now();
          self->context_.loop.post([self, result, confirmed_at] {
            self->OnClaimResult(result, confirmed_at);
          });
        });
  }

  void OnClaimResult(const ClaimResult& result, Millis confirmed_at) {
    is_claiming_ = false;
    attempt_ = result.attempt;
    if (result.status == ClaimStatus::kClaimed) {
      OnClaimed(confirmed_at);
      return;
    }
    if (slot_) {
      ReleaseSlot(BackendResult::kNeutral);
    }
    if (result.status == ClaimStatus::kExists) {
      AnswerFromRecord(result.record);
    } else if (result.status == ClaimStatus::kKeyReused) {
      End(KeyReused());
    } else if (result.status == ClaimStatus::kOtherBudget) {
      End(KeyBoundToOtherBudget(metadata_.budget));
    } else if (pending_refusal_) {
      End(*pending_refusal_);
    } else if (result.status == ClaimStatus::kInsufficient) {
      End(BudgetExhausted(metadata_.budget));
    } else if (result.status == ClaimStatus::kUnknownBudget) {
      End(UnknownBudget(metadata_.budget));
    } else {
      End(ClaimUnconfirmed());
    }
  }

  void OnClaimed(Millis confirmed_at) {
    const auto now = context_.loop.now();
    if (has_ended_) {
      AbandonClaim(CallerLeft());
    } else if (pending_refusal_) {
      AbandonClaim(*pending_refusal_);
    } else if (now >= deadline_ || now - confirmed_at > kMaxDispatchDelay ||
               now - claim_sent_at_ > kMaxClaimWait + kMaxDispatchDelay) {
      AbandonClaim(DeadlinePassed());
    } else {
      Dispatch();
    }
  }

  // Gives up the claim of an order that was not dispatched.
  void AbandonClaim(const RequestError& error) {
    context_.claims->Abandon(attempt_);
    if (slot_) {
      ReleaseSlot(BackendResult::kNeutral);
    }
    End(error);
  }

  // Answers a retry according to the record of the earlier attempt.
  void AnswerFromRecord(const ClaimRecord& record) {
    switch (record.state) {
      case ClaimState::kFinished:
        OnAnswered();
        reply_.SendResponse(record.http_status,
                            {{"Content-Type", "application/json"},
                             {"X-Outcome", "answered"},
                             {"X-Stored-Answer", "1"}},
                            record.body);
        return;
      case ClaimState::kClaimed:
        if (context_.is_holder_gone(record.holder)) {
          End(OrderOutcomeUnknown("the router that dispatched it is gone"));
        } else {
          End(OrderInProgress());
        }
        return;
      case ClaimState::kInDoubt:
        End(OrderOutcomeUnknown("the service did not answer"));
        return;
      case ClaimState::kAbandoned:
        End(pending_refusal_.value_or(ClaimUnconfirmed()));
        return;
    }
  }

  void Dispatch() {
    ++dispatches_;
    is_dispatch_active_ = true;
    HttpHeaders headers;
    for (const auto* name : {"Content-Type", "Idempotency-Key"}) {
      const auto value = FindHeader(request_.headers, name);
      if (!value.empty()) {
        headers.emplace_back(name, value);
      }
    }
    context_.client->SendAndCollect(
        {.method = "POST",
         .url = fmt::format("http://{}/{}", slot_->address, path_),
         .headers = std::move(headers),
         .body = request_.body,
         .first_byte_timeout = service_.timeout,
         .stall_timeout = service_.timeout},
        [self = shared_from_this()](HttpResult end, int status,
                                    const HttpHeaders& answer_headers,
                                    const std::string& body) {
          self->is_dispatch_active_ = false;
          if (self->service_.repeatable) {
            self->OnCallEnd(end, status, answer_headers, body);
          } else {
            self->OnOrderEnd(end, status, answer_headers, body);
          }
        });
  }

  // Ends the claim of an order: finished if the service answered, abandoned if
  // it did not run, else in doubt.
  void OnOrderEnd(HttpResult end,
                  int status,
                  const HttpHeaders& headers,
                  const std::string& body) {
    const auto server = slot_->server;
    if (end == HttpResult::kComplete && !IsDeclined(status, headers)) {
      context_.claims->Finish(attempt_, status, body);
      ReleaseSlot(BackendResult::kSucceeded);
      ForwardAnswer(status, headers, body);
      return;
    }
    if (end == HttpResult::kNotSent || end == HttpResult::kComplete) {
      context_.claims->Abandon(attempt_);
      ReleaseSlot(end == HttpResult::kNotSent ? BackendResult::kFailed
                                              : BackendResult::kNeutral);
      End(BackendFailed(false,
                        fmt::format("{}: {}", server,
                                    end == HttpResult::kNotSent
                                        ? DescribeEnd(end)
                                        : "it declined to run the request")));
      return;
    }
    context_.claims->MarkInDoubt(attempt_);
    ReleaseSlot(BackendResult::kFailed);
    End(OrderOutcomeUnknown(fmt::format("{}: {}", server, DescribeEnd(end))));
  }

  void OnCallEnd(HttpResult end,
                 int status,
                 const HttpHeaders& headers,
                 const std::string& body) {
    const bool is_declined = IsDeclined(status, headers);
    if (end == HttpResult::kComplete && !is_declined) {
      ReleaseSlot(BackendResult::kSucceeded);
      Settle(service_.cost);
      ForwardAnswer(status, headers, body);
      return;
    }
    const bool may_have_run = end != HttpResult::kNotSent && !is_declined;
    may_have_run_ = may_have_run_ || may_have_run;
    const auto reason = fmt::format(
        "{}: {}", slot_->server,
        is_declined ? "it declined to run the request" : DescribeEnd(end));
    avoided_servers_.insert(slot_->server);
    ReleaseSlot(is_declined ? BackendResult::kNeutral : BackendResult::kFailed);
    const bool has_time = context_.loop.now() + kRetryDelay < deadline_;
    if (has_ended_ || dispatches_ >= kMaxDispatches || !has_time ||
        (may_have_run && !context_.backends->TryTakeRetry())) {
      End(BackendFailed(may_have_run_, reason));
      return;
    }
    context_.loop.after(kRetryDelay, [self = shared_from_this()] {
      if (!self->has_ended_) {
        self->Enqueue();
      }
    });
  }

  void ForwardAnswer(int status,
                     const HttpHeaders& headers,
                     const std::string& body) {
    OnAnswered();
    context_.metrics->CountTokens(metadata_.rank, metadata_.client_account,
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
    context_.backends->Release(*slot_, result);
    slot_.reset();
    context_.scheduler->StartWaiting();
  }

  // Refuses a request that was not dispatched. If an earlier attempt of an
  // order ran, its retry must not receive "not run", so the claim is looked up
  // first.
  void RefuseAfterLookup(const RequestError& error) {
    if (service_.repeatable || has_ended_) {
      End(error);
      return;
    }
    pending_refusal_ = error;
    SendClaim(kLookupTimeout);
  }

  void OnCallerLeft() {
    if (has_ended_) {
      return;
    }
    if (work_id_ && context_.scheduler->Cancel(*work_id_)) {
      work_id_.reset();
    }
    // A dispatched call continues, and its answer is stored for a retry.
    if (is_dispatch_active_ || is_claiming_) {
      has_ended_ = is_claiming_;
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
    context_.settle(metadata_.budget, service_.cost,
                    {.key = key_, .amount = amount});
  }

  void End(const RequestError& error) {
    if (is_outcome_counted_) {
      return;
    }
    Settle(0);
    Count(error.outcome(), error.code());
    Log(error.outcome() == Outcome::kOutcomeUnknown
            ? LogEvent::kRequestOutcomeUnknown
            : LogEvent::kRequestRefused,
        "call {} of {}: {}: {}", ToString(key_), metadata_.client_account,
        error.code(), error.what());
    reply_.SendError(error);
  }

  void OnAnswered() {
    Count(Outcome::kAnswered, "");
    context_.metrics->AddLatencySample(
        metadata_.rank, metadata_.client_account, LatencyMetric::kEndToEnd,
        static_cast<double>((context_.loop.now() - metadata_.arrived).count()));
  }

  void Count(Outcome outcome, const std::string& code) {
    has_ended_ = true;
    is_outcome_counted_ = true;
    context_.metrics->CountOutcome(metadata_.rank, outcome, code);
  }

  const RequestContext context_;
  const RequestMetadata metadata_;
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
  bool is_dispatch_active_ = false;
  bool has_ended_ = false;
  bool is_outcome_counted_ = false;
  Millis queued_at_{0};
  Millis claim_sent_at_{0};
  std::optional<WorkId> work_id_;
  std::optional<BackendSlot> slot_;
  std::set<std::string> avoided_servers_;
  int dispatches_ = 0;
  bool may_have_run_ = false;
  OrderAttempt attempt_;
  // If set, the request is refused with this error unless an earlier attempt is
  // found.
  std::optional<RequestError> pending_refusal_;
};

}  // namespace

void RunOrderRequest(const RequestContext& context,
                     const RequestMetadata& metadata,
                     const std::string& service,
                     const std::string& path,
                     const IncomingRequest& request,
                     HttpReply reply) {
  const auto* config = FindByName(metadata.document->services, service);
  if (config == nullptr) {
    throw BadRequest(404, "unknown_service",
                     fmt::format("service \"{}\" does not exist", service),
                     "name a configured service");
  }
  if (!config->repeatable && metadata.idempotency_key.empty()) {
    throw BadRequest(
        400, "idempotency_key_required",
        fmt::format("calls of \"{}\" may run only once", service),
        "send a new Idempotency-Key with each order, and the same one with "
        "its retries");
  }
  std::make_shared<OrderRequest>(context, metadata, *config, path, request,
                                 std::move(reply))
      ->Start();
}

}  // namespace crocuslatch
