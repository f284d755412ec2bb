#include "src/model_request.h"

#include <fmt/format.h>

#include <QDateTime>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <cmath>

#include "src/log.h"
#include "src/request_errors.h"

namespace crocuslatch {
namespace {

// Longest wait for tokens that have to come from another holder (design,
// section 3).
constexpr Millis kMaxReserveWait{300};
// Limit on the dispatches of one request, including the first.
constexpr int kMaxDispatches = 8;
// Limits on what an engine may send: one line of a stream, which holds a few
// tokens, and the body of an error response, which is not used.
constexpr std::size_t kMaxEventBytes = 256 << 10;
constexpr std::size_t kMaxErrorBytes = 256 << 10;
// Delay before a retry, because the retry budget is exhausted or the servers
// refused the request or are ejected.
constexpr Millis kRetryDelay{50};
// How long a broken stream may wait for another server, even past its deadline:
// the caller has received a part of it and is still connected.
constexpr Millis kResumeTimeout{10000};
constexpr Millis kCancelTimeout{2000};
// Delay before a stream is aborted. Abort discards data that was not yet passed
// to the kernel; without the delay the final error event never reached the
// caller.
constexpr Millis kAbortDelay{50};
constexpr int kHttpOk = 200;

QByteArray ToQByteArray(std::string_view text) {
  return {text.data(), static_cast<qsizetype>(text.size())};
}

QString ToQString(std::string_view text) {
  return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

std::string ToJson(const QJsonObject& object) {
  return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

RequestError InvalidField(const std::string& field, const std::string& remedy) {
  return BadRequest(
      400, "bad_field",
      fmt::format("the field \"{}\" is missing or invalid", field), remedy);
}

// Returns the non-negative whole number in `value`, or nullopt if it is none.
std::optional<Tokens> ParseWholeNumber(const QJsonValue& value) {
  const double number = value.toDouble(-1);
  if (!value.isDouble() || number != std::floor(number) || number < 0 ||
      number > 1e15) {
    return std::nullopt;
  }
  return static_cast<Tokens>(number);
}

Tokens MaxPromptTokens(const CompletionBody& body, const ModelConfig& model) {
  return static_cast<Tokens>(std::ceil(static_cast<double>(body.prompt.size()) *
                                       model.max_tokens_per_byte));
}

double MillisSince(Millis start, Millis now) {
  return static_cast<double>((now - start).count());
}

}  // namespace

CompletionBody ParseCompletionBody(std::string_view json,
                                   const Document& document) {
  QJsonParseError error;
  const auto parsed = QJsonDocument::fromJson(ToQByteArray(json), &error);
  if (!parsed.isObject()) {
    throw BadRequest(400, "bad_json", "the body is not a JSON object",
                     "send one JSON object with model, prompt and max_tokens");
  }
  const auto object = parsed.object();
  if (!object["model"].isString()) {
    throw InvalidField("model", "name a configured model");
  }
  if (!object["prompt"].isString() || object["prompt"].toString().isEmpty()) {
    throw InvalidField("prompt", "send the prompt as one non-empty string");
  }
  CompletionBody body{.model = object["model"].toString().toStdString(),
                      .prompt = object["prompt"].toString().toStdString()};
  const auto* model = FindByName(document.models, body.model);
  if (model == nullptr) {
    throw BadRequest(404, "unknown_model",
                     fmt::format("model \"{}\" does not exist", body.model),
                     "name a configured model");
  }
  body.max_tokens = std::min(body.max_tokens, model->max_output_tokens);
  if (object.contains("max_tokens")) {
    const auto number = ParseWholeNumber(object["max_tokens"]);
    if (!number || *number < 1 || *number > model->max_output_tokens) {
      throw InvalidField("max_tokens", fmt::format("send a number from 1 to {}",
                                                   model->max_output_tokens));
    }
    body.max_tokens = *number;
  }
  if (object.contains("stream") && !object["stream"].isBool()) {
    throw InvalidField("stream", "send true or false");
  }
  body.stream = object["stream"].toBool();
  if (object.contains("n") && ParseWholeNumber(object["n"]) != Tokens{1}) {
    throw InvalidField(
        "n", "send 1 or omit the field; send more requests for more answers");
  }
  return body;
}

Tokens TokensToReserve(const CompletionBody& body, const ModelConfig& model) {
  return MaxPromptTokens(body, model) + body.max_tokens;
}

EngineEvent ParseEngineEvent(std::string_view data) {
  if (data == "[DONE]") {
    return {.kind = EngineEvent::Kind::kDone};
  }
  const auto object = QJsonDocument::fromJson(ToQByteArray(data)).object();
  if (!object["request_id"].isString()) {
    return {};
  }
  EngineEvent event{.request_id =
                        object["request_id"].toString().toStdString()};
  if (object["usage"].isObject()) {
    const auto usage = object["usage"].toObject();
    const auto prompt = ParseWholeNumber(usage["prompt_tokens"]);
    const auto completion = ParseWholeNumber(usage["completion_tokens"]);
    if (prompt && completion) {
      event.kind = EngineEvent::Kind::kUsage;
      event.usage = {.prompt_tokens = *prompt,
                     .completion_tokens = *completion};
    }
    return event;
  }
  const auto index = ParseWholeNumber(object["index"]);
  if (index && object["text"].isString()) {
    event.kind = EngineEvent::Kind::kToken;
    event.index = *index;
    event.text = object["text"].toString().toStdString();
  }
  return event;
}

std::vector<std::string> SseParser::Feed(std::string_view bytes) {
  constexpr std::string_view kData = "data:";
  std::vector<std::string> events;
  partial_line_ += bytes;
  std::size_t begin = 0;
  for (auto end = partial_line_.find('\n'); end != std::string::npos;
       end = partial_line_.find('\n', begin)) {
    std::string_view line(partial_line_.data() + begin, end - begin);
    begin = end + 1;
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (line.starts_with(kData)) {
      line.remove_prefix(kData.size());
      line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
      events.emplace_back(line);
    }
  }
  partial_line_.erase(0, begin);
  return events;
}

namespace {

// Handles one completion. All members but AcquireSlot run on the worker's loop.
class ModelRequest : public std::enable_shared_from_this<ModelRequest> {
 public:
  ModelRequest(const RequestContext& context,
               const RequestMetadata& metadata,
               const IncomingRequest& request,
               HttpReply reply)
      : context_(context),
        metadata_(metadata),
        reply_(std::move(reply)),
        body_(ParseCompletionBody(request.body, *metadata.document)),
        model_(*FindByName(metadata.document->models, body_.model)),
        target_(ModelTarget(body_.model)),
        body_size_(request.body.size()),
        reserved_(TokensToReserve(body_, model_)),
        created_(QDateTime::currentSecsSinceEpoch()),
        deadline_(metadata.deadline) {
    // Without an Idempotency-Key from the caller, a random one ensures that no
    // other request counts as a retry of this one.
    const auto idempotency_key =
        metadata.idempotency_key.empty()
            ? fmt::format("{:016x}{:016x}", context.random(), context.random())
            : metadata.idempotency_key;
    key_ = MakeRequestKey(
        {"completion", metadata.client_account, idempotency_key, request.body});
  }

  void Start() {
    if (!context_.backends->HasServer(target_)) {
      throw NoBackendServer(target_);
    }
    reply_.OnDisconnect([weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->OnCallerLeft();
      }
    });
    const auto now = context_.loop.now();
    const auto wait = std::clamp(deadline_ - now, Millis{0}, kMaxReserveWait);
    context_.reserve(metadata_.budget, reserved_, wait,
                     [self = shared_from_this()](ReserveStatus status) {
                       self->context_.loop.post(
                           [self, status] { self->OnReserved(status); });
                     });
  }

 private:
  void OnReserved(ReserveStatus status) {
    if (status != ReserveStatus::kReserved) {
      Fail(ReservationRefused(status, metadata_.budget));
      return;
    }
    is_reserved_ = true;
    if (has_ended_) {
      Settle(0);
      return;
    }
    queued_at_ = context_.loop.now();
    Enqueue();
  }

  void Enqueue() {
    const bool is_resumed = dispatches_ > 0;
    const QueuedWork work{.rank = metadata_.rank,
                          .client_account = metadata_.client_account,
                          .weight = metadata_.weight,
                          .target = target_,
                          .tokens = reserved_,
                          .bytes = body_size_,
                          .deadline = deadline_,
                          .resumed = is_resumed};
    WorkId id = 0;
    const auto status = context_.scheduler->Enqueue(
        work,
        [self = shared_from_this()](bool may_use_reserved_slots) {
          return self->AcquireSlot(may_use_reserved_slots);
        },
        [self = shared_from_this()] {
          self->context_.loop.post([self] { self->OnStarted(); });
        },
        &id);
    if (status != EnqueueStatus::kQueued) {
      Fail(EnqueueRefused(status, metadata_.rank));
      return;
    }
    work_id_ = id;
    StartDeadlineTimer(id);
    context_.scheduler->StartWaiting();
    if (is_resumed) {
      PollScheduler(id);
    }
  }

  // An ejected server becomes due for its probe without any event, so a resumed
  // request calls the scheduler again until it starts.
  void PollScheduler(WorkId id) {
    context_.loop.after(kRetryDelay, [weak = weak_from_this(), id] {
      const auto self = weak.lock();
      if (self && self->work_id_ == id) {
        self->context_.scheduler->StartWaiting();
        self->PollScheduler(id);
      }
    });
  }

  void StartDeadlineTimer(WorkId id) {
    const auto left = std::max(Millis{0}, deadline_ - context_.loop.now());
    context_.loop.after(left, [weak = weak_from_this(), id] {
      const auto self = weak.lock();
      if (self && self->work_id_ == id &&
          self->context_.scheduler->Cancel(id)) {
        self->work_id_.reset();
        self->OnQueueTimeout();
      }
    });
  }

  void OnQueueTimeout() {
    if (may_have_run_) {
      Fail(BackendFailed(true, "no other backend server was free in time"));
    } else {
      Fail(DeadlinePassed());
    }
  }

  // Called on any thread with the scheduler's lock held. The members that it
  // uses do not change while the request waits.
  bool AcquireSlot(bool may_use_reserved_slots) {
    slot_ = context_.backends->Acquire(
        {.target = target_,
         .prompt = body_.prompt,
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
    const auto now = context_.loop.now();
    if (dispatches_ == 0) {
      context_.metrics->AddLatencySample(
          metadata_.rank, metadata_.client_account, LatencyMetric::kQueueWait,
          MillisSince(queued_at_, now));
      context_.backends->CountRequest();
    }
    Dispatch();
  }

  void Dispatch() {
    ++dispatches_;
    parser_ = {};
    error_bytes_ = 0;
    usage_.reset();
    http_status_ = 0;
    is_declined_ = false;
    // A new id for each dispatch, so that late events of an earlier one are
    // recognized and a cancellation never hits a dispatch by another router.
    request_id_ = fmt::format("{}-{:016x}", ToString(key_), context_.random());
    const auto& limits = metadata_.document->limits;
    const auto* rank = FindByName(metadata_.document->ranks, metadata_.rank);
    const auto first_token =
        rank == nullptr ? limits.stall_timeout : rank->first_token;
    is_dispatch_active_ = true;
    const auto call = context_.client->Send(
        {.method = "POST",
         .url = fmt::format("http://{}/v1/completions", slot_->address),
         .headers = {{"Content-Type", "application/json"}},
         .body = MakeEngineBody(),
         .first_byte_timeout = 2 * std::max(first_token, limits.stall_timeout),
         .stall_timeout = limits.stall_timeout},
        MakeHooks());
    if (is_dispatch_active_) {
      http_call_ = call;
    }
  }

  std::string MakeEngineBody() const {
    return ToJson(
        QJsonObject{{"model", ToQString(body_.model)},
                    {"prompt", ToQString(body_.prompt)},
                    {"max_tokens", static_cast<qint64>(body_.max_tokens)},
                    {"request_id", ToQString(request_id_)},
                    {"resume_from", static_cast<qint64>(next_token_index_)},
                    {"priority", static_cast<qint64>(metadata_.rank_index)},
                    {"fence", dispatches_},
                    {"user", ToQString(metadata_.client_account)}});
  }

  HttpHooks MakeHooks() {
    const auto self = shared_from_this();
    const int number = dispatches_;
    const auto is_current = [self, number] {
      return self->is_dispatch_active_ && self->dispatches_ == number;
    };
    return {.on_headers =
                [self, is_current](int status, const HttpHeaders& headers) {
                  if (is_current()) {
                    self->http_status_ = status;
                    self->is_declined_ =
                        FindHeader(headers, "X-Not-Run") == "1";
                  }
                },
            .on_data =
                [self, is_current](std::string_view data) {
                  if (!is_current()) {
                    return;
                  }
                  if (self->http_status_ != kHttpOk) {
                    self->OnErrorBody(data.size());
                    return;
                  }
                  for (const auto& it : self->parser_.Feed(data)) {
                    // Handling an event may end this dispatch.
                    if (is_current()) {
                      self->OnEvent(ParseEngineEvent(it));
                    }
                  }
                  if (is_current() &&
                      self->parser_.partial_bytes() > kMaxEventBytes) {
                    self->FailDispatch("it sent an event without end");
                  }
                },
            .on_end =
                [self, is_current](HttpResult end) {
                  if (is_current()) {
                    self->OnEnd(end);
                  }
                }};
  }

  // An error response is judged by its status, so its end is not waited for
  // beyond a limit.
  void OnErrorBody(std::size_t bytes) {
    error_bytes_ += bytes;
    if (error_bytes_ > kMaxErrorBytes) {
      OnEnd(HttpResult::kTooLarge);
    }
  }

  void OnEvent(const EngineEvent& event) {
    using Kind = EngineEvent::Kind;
    if (event.kind == Kind::kDone) {
      if (usage_) {
        Finish();
      } else {
        FailDispatch("it ended the stream without usage");
      }
      return;
    }
    if (event.kind == Kind::kInvalid) {
      FailDispatch("it sent a malformed event");
      return;
    }
    if (event.request_id != request_id_) {
      FailDispatch("it sent an event of another request");
      return;
    }
    if (event.kind == Kind::kUsage) {
      usage_ = event.usage;
      if (usage_->completion_tokens != next_token_index_) {
        FailDispatch("its completion_tokens differ from the number of events");
      }
      return;
    }
    if (event.index != next_token_index_ ||
        next_token_index_ >= body_.max_tokens || usage_) {
      FailDispatch("it sent an event out of order");
      return;
    }
    OnToken(event.text);
  }

  void OnToken(const std::string& text) {
    const auto now = context_.loop.now();
    if (next_token_index_ == 0) {
      context_.metrics->AddLatencySample(
          metadata_.rank, metadata_.client_account, LatencyMetric::kFirstToken,
          MillisSince(metadata_.arrived, now));
    } else {
      context_.metrics->AddLatencySample(
          metadata_.rank, metadata_.client_account,
          LatencyMetric::kBetweenTokens, MillisSince(last_token_at_, now));
    }
    if (slot_->is_probe) {
      context_.backends->ConfirmProbe(*slot_);
    }
    last_token_at_ = now;
    ++next_token_index_;
    if (!body_.stream) {
      text_ += text;
      return;
    }
    StartStream();
    WriteEvent(ToJson(MakeAnswer(text, QJsonValue::Null)));
  }

  void StartStream() {
    if (!is_streaming_) {
      is_streaming_ = true;
      reply_.StartStream(kHttpOk, {{"Content-Type", "text/event-stream"},
                                   {"Cache-Control", "no-cache"},
                                   {"X-Outcome", "answered"}});
    }
  }

  void WriteEvent(const std::string& data) {
    reply_.Write(fmt::format("data: {}\n\n", data));
  }

  QJsonObject MakeAnswer(const std::string& text,
                         const QJsonValue& finish_reason) const {
    const QJsonObject choice{{"text", ToQString(text)},
                             {"index", 0},
                             {"logprobs", QJsonValue::Null},
                             {"finish_reason", finish_reason}};
    return {{"id", ToQString(fmt::format("cmpl-{}", ToString(key_)))},
            {"object", "text_completion"},
            {"created", created_},
            {"model", ToQString(body_.model)},
            {"choices", QJsonArray{choice}}};
  }

  void Finish() {
    const auto usage = *usage_;
    EndDispatch(BackendResult::kSucceeded);
    const auto total = usage.prompt_tokens + usage.completion_tokens;
    if (total > reserved_) {
      Log(LogEvent::kBillAboveReservation,
          "request {} used {} tokens of {} reserved", ToString(key_), total,
          reserved_);
    }
    Settle(total);
    auto answer = MakeAnswer(
        text_, usage.completion_tokens < body_.max_tokens ? "stop" : "length");
    answer["usage"] = QJsonObject{
        {"prompt_tokens", static_cast<qint64>(usage.prompt_tokens)},
        {"completion_tokens", static_cast<qint64>(usage.completion_tokens)},
        {"total_tokens", static_cast<qint64>(total)}};
    if (body_.stream) {
      StartStream();
      WriteEvent(ToJson(answer));
      WriteEvent("[DONE]");
      End(Outcome::kAnswered, "");
      reply_.EndStream();
      return;
    }
    End(Outcome::kAnswered, "");
    reply_.SendResponse(
        kHttpOk,
        {{"Content-Type", "application/json"}, {"X-Outcome", "answered"}},
        ToJson(answer));
  }

  void OnEnd(HttpResult end) {
    if (end == HttpResult::kNotSent) {
      Retry(BackendResult::kFailed, false, "it refused the connection");
      return;
    }
    const bool has_status = http_status_ != 0 && http_status_ != kHttpOk;
    if (has_status && is_declined_) {
      Retry(
          BackendResult::kNeutral, false,
          fmt::format("it declined the request with status {}", http_status_));
      return;
    }
    // Not retried: a request that one engine rejects would be rejected by all.
    if (has_status && http_status_ >= 400 && http_status_ < 500 &&
        http_status_ != 429) {
      may_have_run_ = true;
      const auto reason = fmt::format("{} answered with status {}",
                                      slot_->server, http_status_);
      EndDispatch(BackendResult::kNeutral);
      Fail(BackendFailed(true, reason));
      return;
    }
    if (has_status) {
      Retry(BackendResult::kFailed, true,
            fmt::format("it answered with status {}", http_status_));
      return;
    }
    if (end == HttpResult::kTimedOut) {
      Log(LogEvent::kBackendStalled, "backend server {} stalled",
          slot_->server);
      FailDispatch("it sent no data in time");
      return;
    }
    FailDispatch("it ended the stream early");
  }

  // Gives up a dispatch whose stream can no longer be trusted; the engine may
  // still be running it.
  void FailDispatch(const std::string& reason) {
    SendCancel();
    Retry(BackendResult::kFailed, true, reason);
  }

  void Retry(BackendResult result, bool may_have_run, std::string reason) {
    may_have_run_ = may_have_run_ || may_have_run;
    reason = fmt::format("{}: {}", slot_->server, reason);
    avoided_servers_.insert(slot_->server);
    EndDispatch(result);
    if (dispatches_ >= kMaxDispatches) {
      Fail(BackendFailed(may_have_run_, reason));
      return;
    }
    if (is_streaming_) {
      deadline_ = std::max(deadline_, context_.loop.now() + kResumeTimeout);
    }
    Log(LogEvent::kStreamResumed, "request {} resumes after token {}; {}",
        ToString(key_), next_token_index_, reason);
    // A dispatch that did not run adds no load to the fleet, so it needs no
    // retry budget.
    RetryWithinBudget(may_have_run, reason);
  }

  void RetryWithinBudget(bool needs_budget, const std::string& reason) {
    if (has_ended_) {
      return;
    }
    if (context_.loop.now() >= deadline_) {
      Fail(BackendFailed(may_have_run_, reason));
      return;
    }
    if (!needs_budget) {
      EnqueueAfterDelay();
      return;
    }
    if (context_.backends->TryTakeRetry()) {
      Enqueue();
      return;
    }
    context_.loop.after(kRetryDelay, [self = shared_from_this(), reason] {
      self->RetryWithinBudget(true, reason);
    });
  }

  // The first retry goes to another server immediately. Later ones wait longer
  // each time, since all servers may be refusing.
  void EnqueueAfterDelay() {
    context_.loop.after((dispatches_ - 1) * kRetryDelay,
                        [self = shared_from_this()] {
                          if (!self->has_ended_) {
                            self->Enqueue();
                          }
                        });
  }

  void SendCancel() {
    context_.client->SendAndCollect(
        {.method = "POST",
         .url = fmt::format("http://{}/v1/cancel", slot_->address),
         .headers = {{"Content-Type", "application/json"}},
         .body = ToJson({{"request_id", ToQString(request_id_)}}),
         .first_byte_timeout = kCancelTimeout,
         .stall_timeout = kCancelTimeout},
        [](HttpResult, int, const HttpHeaders&, const std::string&) {});
  }

  void EndDispatch(BackendResult result) {
    is_dispatch_active_ = false;
    if (http_call_) {
      // The call may currently run one of its hooks.
      context_.loop.post([call = *http_call_]() mutable { call.Cancel(); });
      http_call_.reset();
    }
    ReleaseSlot(result);
  }

  void ReleaseSlot(BackendResult result) {
    context_.backends->Release(*slot_, result);
    slot_.reset();
    context_.scheduler->StartWaiting();
  }

  void OnCallerLeft() {
    if (has_ended_) {
      return;
    }
    if (work_id_ && context_.scheduler->Cancel(*work_id_)) {
      work_id_.reset();
    }
    // If a slot was taken but no dispatch was made, OnStarted follows and
    // releases the slot.
    if (is_dispatch_active_) {
      SendCancel();
      EndDispatch(BackendResult::kNeutral);
    }
    Settle(next_token_index_);
    End(dispatches_ == 0 ? Outcome::kNotRun : Outcome::kOutcomeUnknown,
        "caller_left");
  }

  void Fail(const RequestError& error) {
    if (has_ended_) {
      return;
    }
    Settle(0);
    End(error.outcome(), error.code());
    Log(error.outcome() == Outcome::kNotRun ? LogEvent::kRequestRefused
                                            : LogEvent::kRequestOutcomeUnknown,
        "request {} of {}: {}: {}", ToString(key_), metadata_.client_account,
        error.code(), error.what());
    if (is_streaming_) {
      // The stream ends with an error event, no [DONE] and an aborted
      // connection, so that the caller cannot mistake the partial answer for a
      // complete one.
      WriteEvent(ErrorBody(error));
      context_.loop.after(kAbortDelay,
                          [reply = reply_]() mutable { reply.Abort(); });
      return;
    }
    reply_.SendError(error);
  }

  void Settle(Tokens amount) {
    if (!is_reserved_) {
      return;
    }
    is_reserved_ = false;
    const auto billed = std::min(amount, reserved_);
    context_.settle(metadata_.budget, reserved_,
                    {.key = key_, .amount = billed});
    if (billed > 0) {
      context_.metrics->CountTokens(metadata_.rank, metadata_.client_account,
                                    billed);
    }
  }

  void End(Outcome outcome, const std::string& code) {
    has_ended_ = true;
    context_.metrics->CountOutcome(metadata_.rank, outcome, code);
    if (outcome == Outcome::kAnswered) {
      context_.metrics->AddLatencySample(
          metadata_.rank, metadata_.client_account, LatencyMetric::kEndToEnd,
          MillisSince(metadata_.arrived, context_.loop.now()));
    }
  }

  const RequestContext context_;
  const RequestMetadata metadata_;
  HttpReply reply_;
  const CompletionBody body_;
  const ModelConfig model_;
  const std::string target_;
  const std::size_t body_size_;
  Tokens reserved_;
  const qint64 created_;
  RequestKey key_;
  // Time after which a start is useless; extended when a stream breaks.
  Millis deadline_;

  bool is_reserved_ = false;
  bool has_ended_ = false;
  Millis queued_at_{0};
  std::optional<WorkId> work_id_;
  std::optional<BackendSlot> slot_;
  std::set<std::string> avoided_servers_;
  int dispatches_ = 0;
  bool may_have_run_ = false;

  // State of the current dispatch. Other threads may write `slot_` while the
  // request waits, so hooks of an earlier dispatch must not read it.
  bool is_dispatch_active_ = false;
  std::optional<HttpCall> http_call_;
  std::string request_id_;
  SseParser parser_;
  std::size_t error_bytes_ = 0;
  std::optional<Usage> usage_;
  int http_status_ = 0;
  bool is_declined_ = false;

  // Number of tokens received, and forwarded if the answer is streamed.
  Tokens next_token_index_ = 0;
  Millis last_token_at_{0};
  std::string text_;
  bool is_streaming_ = false;
};

}  // namespace

void RunModelRequest(const RequestContext& context,
                     const RequestMetadata& metadata,
                     const IncomingRequest& request,
                     HttpReply reply) {
  std::make_shared<ModelRequest>(context, metadata, request, std::move(reply))
      ->Start();
}

}  // namespace crocuslatch
