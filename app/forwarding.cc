#include "app/forwarding.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <set>
#include <utility>

#include "app/token_reservation.h"
#include "platform/request_codec.h"
#include "src/error.h"
#include "src/log.h"

namespace crocuslatch {
namespace {

// Timeout for a new connection to a backend server. A lost SYN is retransmitted
// only after one second.
constexpr Millis kConnectTimeout{300};
// Retry-After while other routers hold the rest of a budget. They settle and
// return tokens within about a second, and a retry usually reaches another
// router.
constexpr Millis kBudgetRetryAfter{300};
// Retry-After while the ledger is unavailable. The store is unreachable for 4
// to 9 s in the users' fault scenarios, and all hosts may be cut off together,
// so an early retry would be refused again.
constexpr Millis kLedgerUnavailableRetryAfter{2500};
// Timeout for the rest of a server's response after a request is withdrawn.
// Servers are a few milliseconds away, and callers forbid a server to keep
// working for half a second after they have disconnected.
constexpr Millis kWithdrawTimeout{150};
// Limit on servers that could not be connected to, for one request. At most a
// sixth of the servers crash at once, so four unreachable ones in a row are
// rare.
constexpr int kMaxUnsentAttempts = 4;
// A dispatch is not worth its load if less time than this is left.
constexpr Millis kMinTimeLeft{5};
// Time limit of a request whose caller states none.
constexpr Millis kDefaultTimeLimit{30000};
// Retry-After of a request that waited unread on this host until its time limit
// may have passed. The caller's next connection may reach another host.
constexpr Millis kReadLateRetryAfter{50};

// Retry-After of a request that no server could be found for.
constexpr Millis kDispatchRetryAfter{200};
// Bytes of a stream that are held for a caller that reads slowly, in calm and
// while memory is short. Above it, the server is not read.
constexpr std::size_t kStreamBufferBytes = 256 << 10;
constexpr std::size_t kShortStreamBufferBytes = 32 << 10;

constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kFirstServerError = 500;

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

// True if the status tells the caller that the request was not run.
bool IsPromise(int status) {
  constexpr std::array kPromises{408, 421, 429, 503};
  return std::ranges::find(kPromises, status) != kPromises.end();
}

// An error response by the router itself.
struct Failure {
  int status = kUnavailable;
  std::string code;
  std::string message;
  std::string remedy;
  Millis retry_after{0};
  Outcome outcome = Outcome::kNotRun;
};

Failure Unavailable(std::string code, std::string message, Millis retry_after) {
  return {kUnavailable, std::move(code), std::move(message),
          "send the request again after the given time", retry_after};
}

// A failure after which the request may have run.
Failure OutcomeUnknown(int status, std::string code, std::string message) {
  return {status,
          std::move(code),
          std::move(message),
          "the request may have run; check before sending it again",
          Millis{0},
          Outcome::kOutcomeUnknown};
}

class ForwardedRequest : public std::enable_shared_from_this<ForwardedRequest> {
 public:
  ForwardedRequest(std::shared_ptr<const ForwardContext> context,
                   const IncomingRequest& request,
                   HttpReply reply)
      : context_(std::move(context)),
        reply_(std::move(reply)),
        method_(request.method),
        target_(request.target),
        path_(request.path),
        headers_(request.headers),
        body_(request.body),
        unread_time_(request.unread_time),
        arrived_at_(context_->loop.now() - request.unread_time),
        response_charge_(context_->memory) {}

  void Start() {
    try {
      caller_ = platform::DecodeCallerHeaders(headers_);
    } catch (const RequestError& error) {
      Fail({error.http_status(), error.code(), error.what(), error.remedy()});
      return;
    }
    reply_.OnDisconnect([weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->OnCallerDisconnected();
      }
    });
    if (context_->open_requests != nullptr) {
      open_id_ = context_->open_requests->Add([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
          self->OnHostStopped();
        }
      });
    }
    if (!ResolveRoute() || FailIfTooLarge()) {
      return;
    }
    const auto remaining = std::min(
        caller_.time_limit.value_or(kDefaultTimeLimit), route_->timeout);
    deadline_ = arrived_at_ + remaining;
    const Millis left = deadline_ - context_->loop.now();
    if (left < kMinTimeLeft) {
      Fail(Unavailable("read_late",
                       "the request waited on this host until its time limit",
                       kReadLateRetryAfter));
      return;
    }
    context_->loop.after(left, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->OnDeadline();
      }
    });
    context_->retry_budget->CountRequest(service_, arrived_at_);
    if (FailIfQuarantined()) {
      return;
    }
    if (!Reserve()) {
      Dispatch();
    }
  }

 private:
  // Resolves the route, the client account and the service. Returns false if an
  // error response was sent.
  bool ResolveRoute() {
    routing_table_ = context_->routing_table();
    if (!routing_table_) {
      Fail(Unavailable("not_ready",
                       "the router has not loaded a desired state yet",
                       Millis{300}));
      return false;
    }
    route_ = routing_table_->FindRoute(caller_.host, path_);
    if (route_ == nullptr) {
      Fail({404, "unknown_route",
            fmt::format("no route matches host \"{}\" and path \"{}\"",
                        caller_.host, path_),
            "check the host and the path"});
      return false;
    }
    if (routing_table_->state().requires_api_keys && !route_->is_public) {
      account_ = routing_table_->FindAccount(caller_.api_key);
      if (account_ == nullptr) {
        Fail({401, "unauthenticated", "the API key is missing or unknown",
              "check the key, or ask the operators for one"});
        return false;
      }
    }
    service_ = ChooseService(*route_, context_->random());
    const auto* service = routing_table_->FindService(service_);
    if (service != nullptr && service->engine) {
      engine_ = *service->engine;
    }
    is_repeatable_ =
        route_->kind == RouteKind::kSafe ||
        (route_->kind == RouteKind::kStreaming && route_->is_resumable);
    return true;
  }

  // Starts to reserve tokens of a prepaid account. Returns false if the request
  // needs none.
  bool Reserve() {
    if (account_ == nullptr || !account_->prepaid || !caller_.work) {
      return false;
    }
    const Tokens amount =
        AddTokens(caller_.work->prompt_tokens, caller_.work->max_output_tokens);
    reservation_ = std::make_shared<TokenReservation>(
        context_, caller_.request_id, account_->name);
    reservation_->Start(
        amount, [self = shared_from_this(), amount](ReserveStatus status) {
          if (status == ReserveStatus::kReserved) {
            self->Dispatch();
          } else {
            self->FailReservation(status, amount);
          }
        });
    return true;
  }

  void FailReservation(ReserveStatus status, Tokens amount) {
    const auto view = context_->budget_view(account_->name);
    LogLine(LogEvent::kReservationRefused)
        .Add("request", caller_.request_id)
        .Add("account", account_->name)
        .Add("tokens", amount)
        .Add("free", view.free)
        .Add("usable", view.usable)
        .Add("available", view.available)
        .Add("ledger_age_ms", view.age)
        .Add("waited_ms", context_->loop.now() - arrived_at_);
    if (status == ReserveStatus::kInsufficient) {
      Fail({402, "budget_exhausted",
            fmt::format("the prepaid budget of \"{}\" does not cover {} tokens",
                        account_->name, amount),
            "top up the budget or send a smaller request"});
      return;
    }
    const bool is_held_elsewhere = status == ReserveStatus::kHeldElsewhere;
    Fail(Unavailable(
        is_held_elsewhere ? "budget_held_elsewhere" : "budget_unavailable",
        is_held_elsewhere
            ? "other routers hold the remaining tokens of the budget"
            : "the ledger could not be reached in time",
        is_held_elsewhere ? kBudgetRetryAfter : kLedgerUnavailableRetryAfter));
  }

  const ModelWork* work() const {
    return caller_.work ? &*caller_.work : nullptr;
  }

  std::optional<PromptQuarantine::Verdict> Verdict() const {
    return context_->quarantine != nullptr && caller_.work
               ? context_->quarantine->Find(*caller_.work)
               : std::nullopt;
  }

  // Ends the request if no engine can hold its prompt.
  bool FailIfTooLarge() {
    if (!engine_ || !caller_.work || FitsEngine(*caller_.work, *engine_)) {
      return false;
    }
    LogLine(LogEvent::kAdmissionRefused)
        .Add("request", caller_.request_id)
        .Add("route", route_->name)
        .Add("service", service_)
        .Add("reason", "prompt_too_large")
        .Add("prompt_tokens", caller_.work->prompt_tokens)
        .Add("capacity_tokens", engine_->kv_capacity);
    // Not 413: a server would refuse it as if it were full, and the request is
    // within the limits that the operators state to callers.
    Fail({kUnavailable, "prompt_too_large",
          fmt::format("the prompt has more than the {} tokens that a backend "
                      "server can hold",
                      engine_->kv_capacity),
          "send a shorter prompt"});
    return true;
  }

  // Ends the request if even the best server could not answer in its time.
  bool FailIfTooLate(const PlacementChoice& choice, Millis now) {
    if (caller_.work && !StatesPromptSize(*caller_.work)) {
      return false;
    }
    const auto decision =
        DecideAdmission(context_->admission, {.expected_ms = choice.expected_ms,
                                              .time_left = deadline_ - now,
                                              .random = context_->random()});
    if (decision.is_admitted) {
      return false;
    }
    LogLine(LogEvent::kAdmissionRefused)
        .Add("request", caller_.request_id)
        .Add("route", route_->name)
        .Add("service", service_)
        .Add("reason", "queue_too_long")
        .Add("server", choice.server_id)
        .Add("expected_ms", choice.expected_ms)
        .Add("left_ms", deadline_ - now)
        .Add("retry_after_ms", decision.retry_after);
    FailDispatch("queue_too_long",
                 "no backend server can answer within the time limit",
                 decision.retry_after);
    return true;
  }

  // Ends the request if its prompt has a part that crashes servers.
  bool FailIfQuarantined() {
    const auto verdict = Verdict();
    if (!verdict) {
      return false;
    }
    const std::string code = "prompt_quarantined";
    const auto message = fmt::format(
        "part {} of the prompt has crashed several backend servers and is not "
        "sent to others",
        verdict->part);
    Fail(may_have_run_ ? OutcomeUnknown(kBadGateway, code, message)
                       : Unavailable(code, message, verdict->left));
    return true;
  }

  void Dispatch() {
    if (FailIfQuarantined()) {
      return;
    }
    const Millis now = context_->loop.now();
    if (deadline_ - now < kMinTimeLeft) {
      OnDeadline();
      return;
    }
    // The caller may have left while the request or the end of its connection
    // waited unread.
    if (reply_.HasCallerLeft()) {
      Finish("caller_left", 0);
      return;
    }
    const auto choice = context_->placement->Choose({.service = service_,
                                                     .work = work(),
                                                     .tried = &tried_servers_,
                                                     .now = now});
    if (!choice) {
      FailWithoutServer();
      return;
    }
    if (FailIfTooLate(*choice, now)) {
      return;
    }
    ++attempts_;
    server_id_ = choice->server_id;
    server_address_ = choice->address;
    has_event_ = false;
    tried_servers_.insert(server_id_);
    dispatch_id_ = context_->placement->Begin(server_id_, work(), now);
    dispatched_at_ = now;
    status_ = 0;
    is_held_back_ = false;
    is_sealed_ = false;
    not_executed_ = false;
    ReleaseResponse();
    auto headers = platform::FilterRequestHeaders(headers_);
    platform::AddDispatchHeaders(
        {.time_left = deadline_ - now,
         .server_id = server_id_,
         .client_account = account_ != nullptr ? account_->name : "",
         .priority = Priority(),
         .last_event_id =
             is_streaming_ ? std::optional(last_event_id_) : std::nullopt},
        headers);
    LogLine(LogEvent::kRequestDispatched)
        .Add("request", caller_.request_id)
        .Add("route", route_->name)
        .Add("service", service_)
        .Add("server", server_id_)
        .Add("attempt", attempts_)
        .Add("expected_ms", choice->expected_ms)
        .Add("cost", choice->cost)
        .Add("busy_ms", choice->busy_ms)
        .Add("time_factor", choice->time_factor)
        .Add("slowdown", choice->slowdown)
        .Add("excess_tokens", choice->excess_tokens)
        .Add("home", choice->is_home)
        .Add("candidates", choice->candidates)
        .Add("left_ms", deadline_ - now)
        .Add("version", routing_table_->version());
    const int attempt = attempts_;
    const auto if_current = [self = shared_from_this(),
                             attempt](auto function) {
      return [self, attempt, function](auto&&... args) {
        if (!self->is_done_ && self->attempts_ == attempt &&
            self->dispatch_id_) {
          function(*self, std::forward<decltype(args)>(args)...);
        }
      };
    };
    const Millis remaining = deadline_ - now;
    call_ = context_->client->Send(
        {.method = method_,
         .url = fmt::format("http://{}{}", choice->address, target_),
         .headers = std::move(headers),
         .body = body_,
         .connect_timeout = std::min(kConnectTimeout, remaining),
         .first_byte_timeout = remaining,
         .stall_timeout = remaining},
        {.may_send =
             [self = shared_from_this()] {
               self->is_held_back_ =
                   self->Verdict() ||
                   !self->context_->placement->MayStillSend(self->server_id_);
               return !self->is_held_back_;
             },
         .accepts_response =
             [id = caller_.request_id](int status, const HttpHeaders& it) {
               const auto response = platform::DecodeServerResponse(status, it);
               return response.request_id == id ||
                      (response.request_id.empty() && !IsSuccess(status));
             },
         .on_headers = if_current(
             [](ForwardedRequest& self, int status, const HttpHeaders& it) {
               self.OnHeaders(status, it);
             }),
         .on_data = if_current([](ForwardedRequest& self, std::string_view it) {
           self.OnData(it);
         }),
         .on_buffered = if_current([](ForwardedRequest& self, std::size_t it) {
           self.unparsed_bytes_ = it;
           self.ChargeResponse();
         }),
         .read_limit = [self =
                            shared_from_this()] { return self->ReadLimit(); },
         .on_end =
             [self = shared_from_this(),
              on_end = if_current([](ForwardedRequest& self, HttpResult it) {
                self.OnEnd(it);
              })](HttpResult it) {
               self->is_withdrawing_ ? self->OnWithdrawn(it) : on_end(it);
             }});
  }

  std::optional<int> Priority() const {
    constexpr int kLowestPriority = 9;
    const int priority = account_ != nullptr && account_->priority
                             ? *account_->priority
                             : route_->priority;
    return engine_ ? std::optional(std::clamp(priority, 0, kLowestPriority))
                   : std::nullopt;
  }

  void OnHeaders(int status, const HttpHeaders& headers) {
    const Millis now = context_->loop.now();
    const auto response = platform::DecodeServerResponse(status, headers);
    status_ = status;
    // On a reused connection, a response without an id may be a late second one
    // to an earlier request. It says nothing about this one and must not be
    // passed on.
    const bool is_own =
        !response.request_id.empty() || call_.is_on_new_connection();
    is_sealed_ = response.has_seal && is_own;
    not_executed_ = response.not_executed && is_own;
    has_response_begun_ = has_response_begun_ || IsSuccess(status);
    if (response.load) {
      context_->placement->OnLoadReport(
          server_id_,
          {response.load->running, response.load->waiting,
           response.load->slowdown_percent},
          now);
    }
    if (response.cold_remaining && context_->on_cold_remaining) {
      context_->on_cold_remaining(server_id_, *response.cold_remaining);
    }
    response_headers_ = platform::FilterResponseHeaders(headers);
    stated_length_ = 0;
    const auto length = FindHeader(headers, "Content-Length");
    std::from_chars(length.data(), length.data() + length.size(),
                    stated_length_);
    if (IsSuccess(status) && !IsStreamingResponse() && method_ != "HEAD" &&
        stated_length_ > context_->limits.max_buffered_bytes) {
      AbandonServer(HttpResult::kTooLarge, "answer_too_large");
      return;
    }
    if (IsSuccess(status) && !response.has_seal) {
      return;
    }
    if (IsSuccess(status)) {
      context_->placement->OnFirstByte(*dispatch_id_, now);
    }
    if (IsStreamingResponse()) {
      last_event_at_ = now;
      WatchForStall();
    }
  }

  // Ends the dispatch if no event arrives for longer than callers wait. Bytes
  // that complete no event do not count: a stalled server may still send some
  // now and then.
  void WatchForStall() {
    const Millis patience =
        StreamPatience(*route_, context_->limits.min_stream_patience);
    context_->loop.after(
        last_event_at_ + patience - context_->loop.now(),
        [weak = weak_from_this(), patience, attempt = attempts_] {
          const auto self = weak.lock();
          if (!self || self->is_done_ || self->attempts_ != attempt ||
              !self->dispatch_id_) {
            return;
          }
          if (self->context_->loop.now() - self->last_event_at_ < patience) {
            self->WatchForStall();
            return;
          }
          self->AbandonServer(HttpResult::kTimedOut, "stream_stalled");
        });
  }

  // Gives up on the current server, whose response is unusable.
  void AbandonServer(HttpResult end, std::string_view reason) {
    may_have_run_ = true;
    EndDispatch(DispatchResult::kFailed, end);
    call_.Cancel();
    ReleaseResponse();
    Retry(true, reason);
  }

  bool IsStreamingResponse() const {
    return route_->kind == RouteKind::kStreaming && IsSuccess(status_) &&
           is_sealed_;
  }

  // Number of bytes of the response that may be read now; see MemoryHooks.
  std::size_t ReadLimit() {
    if (!context_->memory || is_done_) {
      return kNoReadLimit;
    }
    if (IsStreamingResponse() &&
        reply_.unsent_bytes() >= (context_->memory->is_under_pressure()
                                      ? kShortStreamBufferBytes
                                      : kStreamBufferBytes)) {
      // The caller is slow, not the server.
      last_event_at_ = context_->loop.now();
      return 0;
    }
    return response_charge_.ReadLimit();
  }

  // Charges what is held of the server's response, on its way to the caller.
  // Bytes that cannot be parsed yet are copied with each read.
  void ChargeResponse() {
    response_charge_.Set(response_body_.size() +
                         event_splitter_.partial_bytes() + 2 * unparsed_bytes_);
  }

  void OnData(std::string_view bytes) {
    if (!IsStreamingResponse()) {
      if (response_body_.size() + bytes.size() >
          context_->limits.max_buffered_bytes) {
        AbandonServer(HttpResult::kTooLarge, "answer_too_large");
        return;
      }
      if (response_body_.empty()) {
        // Avoids copies that growth would make.
        response_body_.reserve(
            std::min(stated_length_, context_->limits.max_buffered_bytes));
      }
      response_body_ += bytes;
      ChargeResponse();
      return;
    }
    for (const auto& event : event_splitter_.Add(bytes)) {
      ++event_count_;
      last_event_at_ = context_->loop.now();
      context_->placement->OnEvent(*dispatch_id_, last_event_at_);
      last_event_id_ = event.id;
      OnServed();
      StartStream();
      if (first_event_at_.count() == 0) {
        first_event_at_ = context_->loop.now();
      }
      reply_.Write(event.bytes);
      if (!reply_.IsOpen()) {
        // The caller reads too slowly and was disconnected.
        OnCallerDisconnected();
        return;
      }
    }
    if (!is_done_ &&
        event_splitter_.partial_bytes() > context_->limits.max_event_bytes) {
      AbandonServer(HttpResult::kTooLarge, "event_too_large");
    }
    ChargeResponse();
  }

  void ReleaseResponse() {
    response_body_ = {};
    event_splitter_ = {};
    unparsed_bytes_ = 0;
    ChargeResponse();
  }

  // The server survives the beginning of its response to this prompt.
  void OnServed() {
    if (!std::exchange(has_event_, true) && context_->quarantine != nullptr &&
        caller_.work) {
      context_->quarantine->OnServed(*caller_.work);
    }
  }

  // True if the server broke its response off. A stream that ends with its
  // connection is broken off if it has no event or ends inside one.
  bool IsBrokenOff() const {
    return IsStreamingResponse() && call_.is_ended_by_connection() &&
           (!has_event_ || event_splitter_.has_partial_event());
  }

  // Reports a response that broke off before it had an event.
  void ReportBroken(HttpResult end) const {
    if (end == HttpResult::kBroken && !has_event_ &&
        context_->quarantine != nullptr && caller_.work) {
      context_->quarantine->OnBrokenResponse(server_id_, server_address_,
                                             *caller_.work,
                                             IsSuccess(status_) && is_sealed_);
    }
  }

  void StartStream() {
    if (!is_streaming_) {
      is_streaming_ = true;
      reply_.StartStream(status_, response_headers_);
    }
  }

  void OnEnd(HttpResult transport_end) {
    const HttpResult end = IsBrokenOff() ? HttpResult::kBroken : transport_end;
    const bool is_complete = end == HttpResult::kComplete && status_ != 0;
    const bool may_have_run =
        end != HttpResult::kNotSent && !(is_complete && not_executed_);
    may_have_run_ = may_have_run_ || may_have_run;
    ReportBroken(end);
    const bool is_success = is_complete && IsSuccess(status_) && is_sealed_ &&
                            !event_splitter_.has_partial_event();
    if (is_success) {
      OnServed();
    }
    if (is_success && IsStreamingResponse()) {
      EndDispatch(DispatchResult::kServed, end);
      StartStream();
      reply_.EndStream();
      Finish("answered", status_);
      return;
    }
    if (is_success) {
      EndDispatch(DispatchResult::kServed, end);
      reply_.SendResponse(status_, response_headers_, response_body_);
      Finish("answered", status_);
      return;
    }
    if (is_complete && not_executed_) {
      EndDispatch(DispatchResult::kRefused, end);
      Retry(false, "server_refused");
      return;
    }
    if (end == HttpResult::kNotSent) {
      EndDispatch(is_held_back_ ? DispatchResult::kNeutral
                                : DispatchResult::kUnreachable,
                  end);
      RetryAfterConnectFailure();
      return;
    }
    // A status that promises that the request was not run is passed on by
    // nobody but a server that says so.
    const bool is_sealed_error =
        is_complete && !IsSuccess(status_) && is_sealed_ && !IsPromise(status_);
    EndDispatch(is_sealed_error && status_ < kFirstServerError
                    ? DispatchResult::kNeutral
                    : DispatchResult::kFailed,
                end);
    if (is_sealed_error &&
        (status_ < kFirstServerError || is_streaming_ || !CanRetry(true))) {
      if (is_streaming_) {
        Fail(OutcomeUnknown(kBadGateway, "stream_broken",
                            "the stream broke off"));
        return;
      }
      reply_.SendResponse(status_, response_headers_, response_body_);
      Finish("server_failed", status_);
      return;
    }
    Retry(true, is_complete ? "bad_answer" : ToString(end));
  }

  bool CanRetry(bool may_have_run) const {
    return (!may_have_run || is_repeatable_) &&
           attempts_ - unsent_attempts_ < std::max(1, route_->max_attempts) &&
           deadline_ - context_->loop.now() >= kMinTimeLeft;
  }

  // No server has received the request, so this attempt counts neither towards
  // the route's max_attempts nor against the retry budget.
  void RetryAfterConnectFailure() {
    ++unsent_attempts_;
    if (unsent_attempts_ < kMaxUnsentAttempts) {
      Dispatch();
      return;
    }
    FailDispatch("server_unreachable",
                 "could not connect to the backend servers");
  }

  void Retry(bool may_have_run, std::string_view reason) {
    const bool allowed =
        CanRetry(may_have_run) &&
        context_->retry_budget->Take(service_, context_->loop.now());
    if (allowed) {
      Dispatch();
      return;
    }
    FailDispatch(std::string(reason),
                 "the backend server failed or refused the request");
  }

  void FailWithoutServer() {
    const auto wait = context_->cold_retry_after
                          ? context_->cold_retry_after(service_)
                          : std::nullopt;
    if (wait) {
      FailDispatch(
          "servers_cold",
          "the backend servers have just started and take few requests", *wait);
      return;
    }
    FailDispatch("no_server", "no backend server is available for the request");
  }

  // Ends the request without another dispatch. The status is 503 only if no
  // server can have run the request.
  void FailDispatch(const std::string& code,
                    const std::string& message,
                    Millis retry_after = kDispatchRetryAfter) {
    if (may_have_run_) {
      Fail(OutcomeUnknown(kBadGateway, code, message));
      return;
    }
    Fail(Unavailable(code, message, retry_after));
  }

  void EndDispatch(DispatchResult result, HttpResult end) {
    const Millis now = context_->loop.now();
    context_->placement->End(*dispatch_id_, result, now);
    dispatch_id_.reset();
    context_->metrics->IncrementCounter(
        "dispatches", "end", fmt::format("{}:{}", ToString(end), status_));
    LogLine(LogEvent::kDispatchEnded)
        .Add("request", caller_.request_id)
        .Add("server", server_id_)
        .Add("attempt", attempts_)
        .Add("end", ToString(end))
        .Add("status", status_)
        .Add("not_executed", not_executed_)
        .Add("sealed", is_sealed_)
        .Add("events", event_count_)
        .Add("new_connection", call_.is_on_new_connection())
        .Add("took_ms", now - dispatched_at_);
  }

  // Cancels the current dispatch, if any, so that the backend server stops
  // working on it.
  void CancelDispatch() {
    if (dispatch_id_) {
      may_have_run_ = true;
      EndDispatch(DispatchResult::kNeutral, HttpResult::kCancelled);
      if (status_ == 0 && reservation_ && reservation_->HoldsTokens()) {
        is_withdrawing_ = true;
        call_.Withdraw(kWithdrawTimeout);
      } else {
        call_.Cancel();
      }
    }
  }

  // Settles the tokens only now: if the response had begun when the request was
  // withdrawn, the prompt's tokens are used.
  void OnWithdrawn(HttpResult end) {
    is_withdrawing_ = false;
    has_response_begun_ = has_response_begun_ || end == HttpResult::kBroken;
    Settle();
    LogLine(LogEvent::kRequestWithdrawn)
        .Add("request", caller_.request_id)
        .Add("server", server_id_)
        .Add("answer_had_begun", end == HttpResult::kBroken)
        .Add("used_tokens", used_tokens_);
  }

  void OnCallerDisconnected() {
    if (is_done_) {
      return;
    }
    CancelDispatch();
    Finish("caller_left", 0);
  }

  void OnDeadline() {
    if (is_done_) {
      return;
    }
    CancelDispatch();
    if (may_have_run_) {
      Fail(OutcomeUnknown(
          kGatewayTimeout, "timeout",
          "the request timed out before the response was complete"));
    } else {
      Fail(Unavailable("timeout",
                       "the request timed out before a backend server "
                       "could run it",
                       Millis{0}));
    }
  }

  // The grace period of a planned stop is nearly over.
  void OnHostStopped() {
    if (is_done_) {
      return;
    }
    CancelDispatch();
    FailDispatch("stopped", "the router stopped before the request was done",
                 kStoppingRetryAfter);
  }

  void Fail(const Failure& failure) {
    if (is_done_) {
      return;
    }
    if (is_streaming_) {
      reply_.Abort();
      Finish(failure.code, 0);
      return;
    }
    const RequestError error(failure.status, failure.outcome, failure.code,
                             failure.message, failure.remedy);
    reply_.SendResponse(
        failure.status,
        platform::MakeErrorHeaders(caller_.request_id, failure.retry_after),
        ErrorBody(error));
    Finish(failure.code, failure.status);
  }

  void Settle() {
    if (is_withdrawing_ || !reservation_ || !reservation_->HoldsTokens()) {
      return;
    }
    Tokens used = 0;
    // A request whose response never began has used no tokens
    // (docs/questions.md).
    if (has_response_begun_) {
      const Tokens delivered =
          ScaleTokens(event_count_, engine_ ? engine_->tokens_per_event : 1, 1);
      used = AddTokens(caller_.work->prompt_tokens,
                       std::min(delivered, caller_.work->max_output_tokens));
    }
    used_tokens_ = used;
    reservation_->Settle(used);
  }

  void Finish(std::string_view outcome, int status) {
    is_done_ = true;
    if (open_id_) {
      context_->open_requests->Remove(*open_id_);
    }
    ReleaseResponse();
    Settle();
    if (reservation_) {
      reservation_->Abandon();
    }
    const Millis now = context_->loop.now();
    context_->metrics->IncrementCounter("requests", "outcome",
                                        std::string(outcome));
    RecordLatency(now);
    LogLine(LogEvent::kRequestEnded)
        .Add("request", caller_.request_id)
        .Add("route", route_ != nullptr ? route_->name : "")
        .Add("account", account_ != nullptr ? account_->name : "")
        .Add("outcome", outcome)
        .Add("status", status)
        .Add("attempts", attempts_)
        .Add("events", event_count_)
        .Add("first_event_ms", first_event_at_.count() > 0
                                   ? first_event_at_ - arrived_at_
                                   : Millis{-1})
        .Add("took_ms", now - arrived_at_)
        .Add("unread_ms", unread_time_)
        .Add("prompt_tokens", caller_.work ? caller_.work->prompt_tokens : 0)
        .Add("max_output_tokens",
             caller_.work ? caller_.work->max_output_tokens : 0)
        .Add("used_tokens", used_tokens_)
        .Add("version", routing_table_ ? routing_table_->version() : 0);
  }

  void RecordLatency(Millis now) {
    if (route_ == nullptr) {
      return;
    }
    const std::string account = account_ != nullptr ? account_->name : "";
    const auto record = [&](LatencyMetric metric, Millis time) {
      context_->metrics->AddLatencySample(route_->name, account, metric,
                                          static_cast<double>(time.count()));
    };
    record(LatencyMetric::kEndToEnd, now - arrived_at_);
    if (first_event_at_.count() > 0) {
      record(LatencyMetric::kFirstToken, first_event_at_ - arrived_at_);
    }
  }

  const std::shared_ptr<const ForwardContext> context_;
  HttpReply reply_;
  const std::string method_;
  const std::string target_;
  const std::string path_;
  const HttpHeaders headers_;
  const SharedBytes body_;
  const Millis unread_time_;
  const Millis arrived_at_;
  Millis deadline_{0};
  std::optional<OpenRequests::Id> open_id_;
  platform::CallerHeaders caller_;
  RoutingTablePointer routing_table_;
  const RouteSpec* route_ = nullptr;
  const ClientAccountSpec* account_ = nullptr;
  std::string service_;
  std::optional<EngineSpec> engine_;
  bool is_repeatable_ = false;
  // Null if the request needs no tokens.
  std::shared_ptr<TokenReservation> reservation_;
  Tokens used_tokens_ = 0;

  // State of the current dispatch.
  std::optional<Placement::DispatchId> dispatch_id_;
  HttpCall call_;
  std::string server_id_;
  std::string server_address_;
  // The response has had an event, or was complete.
  bool has_event_ = false;
  Millis dispatched_at_{0};
  int status_ = 0;
  bool is_sealed_ = false;
  // The current dispatch was not sent, since the reasons for its server had
  // changed before it could be.
  bool is_held_back_ = false;
  bool not_executed_ = false;
  HttpHeaders response_headers_;
  std::size_t stated_length_ = 0;
  std::string response_body_;
  ResponseCharge response_charge_;
  platform::StreamEventSplitter event_splitter_;
  // Received bytes of the response that could not be parsed yet.
  std::size_t unparsed_bytes_ = 0;

  std::set<std::string> tried_servers_;
  int attempts_ = 0;
  // Attempts that could not connect to a server.
  int unsent_attempts_ = 0;
  // A backend server may have run the request.
  bool may_have_run_ = false;
  // A backend server's successful response has begun.
  bool has_response_begun_ = false;
  // The request is withdrawn, and it is not known yet whether the response had
  // begun.
  bool is_withdrawing_ = false;
  bool is_streaming_ = false;
  bool is_done_ = false;
  Tokens event_count_ = 0;
  std::string last_event_id_;
  Millis first_event_at_{0};
  // Time of the last event, or of the head of the stream's response.
  Millis last_event_at_{0};
};

}  // namespace

void ForwardRequest(const std::shared_ptr<const ForwardContext>& context,
                    const IncomingRequest& request,
                    HttpReply reply) {
  std::make_shared<ForwardedRequest>(context, request, std::move(reply))
      ->Start();
}

}  // namespace crocuslatch
