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

// Longest wait for a grant that has to come from another holder (design,
// section 3).
constexpr Millis kLongestReserveWait{300};
// Dispatches of one request, the first one included.
constexpr int kMaxDispatches = 8;
// Delay before the retry budget, a refusing or an ejected server is asked
// again.
constexpr Millis kRetryDelay{50};
// A stream that breaks after its deadline may wait this long for another
// server: the caller has read a part of it and still listens.
constexpr Millis kResumeTime{10000};
constexpr Millis kCancelTimeout{2000};
// Abort discards what is not yet handed to the kernel; without a delay the
// last error event never reached the caller.
constexpr Millis kAbortDelay{50};
constexpr int kHttpOk = 200;

QByteArray Bytes(std::string_view text) {
  return {text.data(), static_cast<qsizetype>(text.size())};
}

QString Text(std::string_view text) {
  return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

std::string Json(const QJsonObject& object) {
  return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

RequestError BadField(const std::string& field, const std::string& remedy) {
  return BadRequest(400, "bad_field",
                    fmt::format("the field \"{}\" is missing or wrong", field),
                    remedy);
}

// The whole number in `value`, if it is one.
std::optional<Tokens> WholeNumber(const QJsonValue& value) {
  const double number = value.toDouble(-1);
  if (!value.isDouble() || number != std::floor(number) || number < 0 ||
      number > 1e15) {
    return std::nullopt;
  }
  return static_cast<Tokens>(number);
}

Tokens PromptBound(const CompletionBody& body, const ModelConfig& model) {
  return static_cast<Tokens>(std::ceil(static_cast<double>(body.prompt.size()) *
                                       model.max_tokens_per_byte));
}

double Since(Millis start, Millis now) {
  return static_cast<double>((now - start).count());
}

}  // namespace

CompletionBody ParseCompletionBody(std::string_view json,
                                   const Document& document) {
  QJsonParseError error;
  const auto parsed = QJsonDocument::fromJson(Bytes(json), &error);
  if (!parsed.isObject()) {
    throw BadRequest(400, "bad_json", "the body is not a JSON object",
                     "send one JSON object with model, prompt and max_tokens");
  }
  const auto object = parsed.object();
  if (!object["model"].isString()) {
    throw BadField("model", "name a configured model");
  }
  if (!object["prompt"].isString() || object["prompt"].toString().isEmpty()) {
    throw BadField("prompt", "send the prompt as one string that is not empty");
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
    const auto number = WholeNumber(object["max_tokens"]);
    if (!number || *number < 1 || *number > model->max_output_tokens) {
      throw BadField("max_tokens", fmt::format("send a number from 1 to {}",
                                               model->max_output_tokens));
    }
    body.max_tokens = *number;
  }
  if (object.contains("stream") && !object["stream"].isBool()) {
    throw BadField("stream", "send true or false");
  }
  body.stream = object["stream"].toBool();
  if (object.contains("n") && WholeNumber(object["n"]) != Tokens{1}) {
    throw BadField("n", "send 1 or leave it out; ask again for more answers");
  }
  return body;
}

Tokens TokensToReserve(const CompletionBody& body, const ModelConfig& model) {
  return PromptBound(body, model) + body.max_tokens;
}

EngineEvent ParseEngineEvent(std::string_view data) {
  if (data == "[DONE]") {
    return {.kind = EngineEvent::Kind::kDone};
  }
  const auto object = QJsonDocument::fromJson(Bytes(data)).object();
  if (!object["request_id"].isString()) {
    return {};
  }
  EngineEvent event{.request_id =
                        object["request_id"].toString().toStdString()};
  if (object["usage"].isObject()) {
    const auto usage = object["usage"].toObject();
    const auto prompt = WholeNumber(usage["prompt_tokens"]);
    const auto completion = WholeNumber(usage["completion_tokens"]);
    if (prompt && completion) {
      event.kind = EngineEvent::Kind::kUsage;
      event.usage = {.prompt_tokens = *prompt,
                     .completion_tokens = *completion};
    }
    return event;
  }
  const auto index = WholeNumber(object["index"]);
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
  rest_ += bytes;
  std::size_t begin = 0;
  for (auto end = rest_.find('\n'); end != std::string::npos;
       end = rest_.find('\n', begin)) {
    std::string_view line(rest_.data() + begin, end - begin);
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
  rest_.erase(0, begin);
  return events;
}

namespace {

// One completion. All members but Choose run on the worker's loop.
class ModelRequest : public std::enable_shared_from_this<ModelRequest> {
 public:
  ModelRequest(const RequestContext& context,
               const RequestMetadata& caller,
               const IncomingRequest& request,
               HttpReply reply)
      : context_(context),
        caller_(caller),
        reply_(std::move(reply)),
        body_(ParseCompletionBody(request.body, *caller.document)),
        model_(*FindByName(caller.document->models, body_.model)),
        target_(ModelTarget(body_.model)),
        body_bytes_(request.body.size()),
        reserved_(TokensToReserve(body_, model_)),
        created_(QDateTime::currentSecsSinceEpoch()),
        deadline_(caller.deadline) {
    // Without a key from the caller, no other request is a retry of this one.
    const auto idempotency_key =
        caller.idempotency_key.empty()
            ? fmt::format("{:016x}{:016x}", context.random(), context.random())
            : caller.idempotency_key;
    key_ = MakeRequestKey(
        {"completion", caller.client_account, idempotency_key, request.body});
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
    const auto wait =
        std::clamp(deadline_ - now, Millis{0}, kLongestReserveWait);
    context_.reserve(caller_.budget, reserved_, wait,
                     [self = shared_from_this()](ReserveStatus status) {
                       self->context_.loop.post(
                           [self, status] { self->OnReserved(status); });
                     });
  }

 private:
  void OnReserved(ReserveStatus status) {
    if (status != ReserveStatus::kReserved) {
      Fail(ReservationRefused(status, caller_.budget));
      return;
    }
    is_reserved_ = true;
    if (is_done_) {
      Settle(0);
      return;
    }
    queued_at_ = context_.loop.now();
    Enqueue();
  }

  void Enqueue() {
    const bool is_resumed = dispatches_ > 0;
    const QueuedWork work{.rank = caller_.rank,
                          .client_account = caller_.client_account,
                          .weight = caller_.weight,
                          .target = target_,
                          .tokens = reserved_,
                          .bytes = body_bytes_,
                          .deadline = deadline_,
                          .resumed = is_resumed};
    WorkId id = 0;
    const auto status = context_.scheduler->Enqueue(
        work,
        [self = shared_from_this()](bool last) { return self->Acquire(last); },
        [self = shared_from_this()] {
          self->context_.loop.post([self] { self->OnStarted(); });
        },
        &id);
    if (status != EnqueueStatus::kQueued) {
      Fail(EnqueueRefused(status, caller_.rank));
      return;
    }
    work_ = id;
    WatchDeadline(id);
    context_.scheduler->StartWaiting();
    if (is_resumed) {
      RunSchedulerLater(id);
    }
  }

  // Nothing else may happen by the time at which an ejected server can be
  // tried again.
  void RunSchedulerLater(WorkId id) {
    context_.loop.after(kRetryDelay, [weak = weak_from_this(), id] {
      const auto self = weak.lock();
      if (self && self->work_ == id) {
        self->context_.scheduler->StartWaiting();
        self->RunSchedulerLater(id);
      }
    });
  }

  void WatchDeadline(WorkId id) {
    const auto left = std::max(Millis{0}, deadline_ - context_.loop.now());
    context_.loop.after(left, [weak = weak_from_this(), id] {
      const auto self = weak.lock();
      if (self && self->work_ == id && self->context_.scheduler->Cancel(id)) {
        self->work_.reset();
        self->OnWaitTooLong();
      }
    });
  }

  void OnWaitTooLong() {
    if (may_have_run_) {
      Fail(BackendFailed(true, "no other backend server was free in time"));
    } else {
      Fail(DeadlinePassed());
    }
  }

  // Runs on any thread under the scheduler's lock. The members that it uses
  // do not change while the request waits.
  bool Acquire(bool may_use_reserved_slots) {
    choice_ = context_.backends->Acquire(
        {.target = target_,
         .prompt = body_.prompt,
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
    const auto now = context_.loop.now();
    if (dispatches_ == 0) {
      context_.metrics->AddLatencySample(caller_.rank, caller_.client_account,
                                         LatencyMetric::kQueueWait,
                                         Since(queued_at_, now));
      context_.backends->CountRequest();
    }
    Dispatch();
  }

  void Dispatch() {
    ++dispatches_;
    splitter_ = {};
    usage_.reset();
    status_ = 0;
    is_refused_ = false;
    // Another number for each dispatch tells late events of an earlier one
    // apart, and a cancellation hits no other router's dispatch.
    request_id_ = fmt::format("{}-{:016x}", ToString(key_), context_.random());
    const auto& limits = caller_.document->limits;
    const auto* rank = FindByName(caller_.document->ranks, caller_.rank);
    const auto first_token =
        rank == nullptr ? limits.stall_timeout : rank->first_token;
    is_dispatched_ = true;
    const auto call = context_.client->Send(
        {.method = "POST",
         .url = fmt::format("http://{}/v1/completions", choice_->address),
         .headers = {{"Content-Type", "application/json"}},
         .body = EngineBody(),
         .first_byte_timeout = 2 * std::max(first_token, limits.stall_timeout),
         .stall_timeout = limits.stall_timeout},
        MakeHooks());
    if (is_dispatched_) {
      call_ = call;
    }
  }

  std::string EngineBody() const {
    return Json(
        QJsonObject{{"model", Text(body_.model)},
                    {"prompt", Text(body_.prompt)},
                    {"max_tokens", static_cast<qint64>(body_.max_tokens)},
                    {"request_id", Text(request_id_)},
                    {"resume_from", static_cast<qint64>(next_index_)},
                    {"priority", static_cast<qint64>(caller_.rank_index)},
                    {"fence", dispatches_},
                    {"user", Text(caller_.client_account)}});
  }

  HttpHooks MakeHooks() {
    const auto self = shared_from_this();
    const int number = dispatches_;
    const auto is_current = [self, number] {
      return self->is_dispatched_ && self->dispatches_ == number;
    };
    return {.on_headers =
                [self, is_current](int status, const HttpHeaders& headers) {
                  if (is_current()) {
                    self->status_ = status;
                    self->is_refused_ = FindHeader(headers, "X-Not-Run") == "1";
                  }
                },
            .on_data =
                [self, is_current](std::string_view data) {
                  if (!is_current() || self->status_ != kHttpOk) {
                    return;
                  }
                  for (const auto& it : self->splitter_.Feed(data)) {
                    // An event may end this dispatch.
                    if (is_current()) {
                      self->OnEvent(ParseEngineEvent(it));
                    }
                  }
                },
            .on_end =
                [self, is_current](HttpResult end) {
                  if (is_current()) {
                    self->OnEnd(end);
                  }
                }};
  }

  void OnEvent(const EngineEvent& event) {
    using Kind = EngineEvent::Kind;
    if (event.kind == Kind::kDone) {
      if (usage_) {
        Finish();
      } else {
        Break("it ended the stream without its usage");
      }
      return;
    }
    if (event.kind == Kind::kInvalid) {
      Break("it sent an unreadable event");
      return;
    }
    if (event.request_id != request_id_) {
      Break("it sent an event of another request");
      return;
    }
    if (event.kind == Kind::kUsage) {
      usage_ = event.usage;
      if (usage_->completion_tokens != next_index_) {
        Break("its usage and its number of events differ");
      }
      return;
    }
    if (event.index != next_index_ || next_index_ >= body_.max_tokens ||
        usage_) {
      Break("it sent an event out of order");
      return;
    }
    OnToken(event.text);
  }

  void OnToken(const std::string& text) {
    const auto now = context_.loop.now();
    if (next_index_ == 0) {
      context_.metrics->AddLatencySample(caller_.rank, caller_.client_account,
                                         LatencyMetric::kFirstToken,
                                         Since(caller_.arrived, now));
    } else {
      context_.metrics->AddLatencySample(caller_.rank, caller_.client_account,
                                         LatencyMetric::kBetweenTokens,
                                         Since(last_token_at_, now));
    }
    if (choice_->is_probe) {
      context_.backends->ConfirmProbe(*choice_);
    }
    last_token_at_ = now;
    ++next_index_;
    if (!body_.stream) {
      text_ += text;
      return;
    }
    StartStream();
    WriteEvent(Json(Answer(text, QJsonValue::Null)));
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

  QJsonObject Answer(const std::string& text,
                     const QJsonValue& finish_reason) const {
    const QJsonObject choice{{"text", Text(text)},
                             {"index", 0},
                             {"logprobs", QJsonValue::Null},
                             {"finish_reason", finish_reason}};
    return {{"id", Text(fmt::format("cmpl-{}", ToString(key_)))},
            {"object", "text_completion"},
            {"created", created_},
            {"model", Text(body_.model)},
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
    auto answer = Answer(
        text_, usage.completion_tokens < body_.max_tokens ? "stop" : "length");
    answer["usage"] = QJsonObject{
        {"prompt_tokens", static_cast<qint64>(usage.prompt_tokens)},
        {"completion_tokens", static_cast<qint64>(usage.completion_tokens)},
        {"total_tokens", static_cast<qint64>(total)}};
    if (body_.stream) {
      StartStream();
      WriteEvent(Json(answer));
      WriteEvent("[DONE]");
      End(Outcome::kAnswered, "");
      reply_.EndStream();
      return;
    }
    End(Outcome::kAnswered, "");
    reply_.SendResponse(
        kHttpOk,
        {{"Content-Type", "application/json"}, {"X-Outcome", "answered"}},
        Json(answer));
  }

  void OnEnd(HttpResult end) {
    if (end == HttpResult::kNotSent) {
      Retry(BackendResult::kFailed, false, "it refused the connection");
      return;
    }
    const bool has_status = status_ != 0 && status_ != kHttpOk;
    if (has_status && is_refused_) {
      Retry(BackendResult::kNeutral, false,
            fmt::format("it refused the request with status {}", status_));
      return;
    }
    // A request that the engine rejects would be rejected by every engine.
    if (has_status && status_ >= 400 && status_ < 500 && status_ != 429) {
      may_have_run_ = true;
      const auto reason =
          fmt::format("{} answered with status {}", choice_->server, status_);
      EndDispatch(BackendResult::kNeutral);
      Fail(BackendFailed(true, reason));
      return;
    }
    if (has_status) {
      Retry(BackendResult::kFailed, true,
            fmt::format("it answered with status {}", status_));
      return;
    }
    if (end == HttpResult::kTimedOut) {
      Log(LogEvent::kBackendStalled, "backend server {} went silent",
          choice_->server);
      Break("it went silent");
      return;
    }
    Break("it ended the stream early");
  }

  // The dispatch cannot be trusted any more; the engine may still run it.
  void Break(const std::string& reason) {
    CancelAtEngine();
    Retry(BackendResult::kFailed, true, reason);
  }

  void Retry(BackendResult result, bool may_have_run, std::string reason) {
    may_have_run_ = may_have_run_ || may_have_run;
    reason = fmt::format("{}: {}", choice_->server, reason);
    avoid_.insert(choice_->server);
    EndDispatch(result);
    if (dispatches_ >= kMaxDispatches) {
      Fail(BackendFailed(may_have_run_, reason));
      return;
    }
    if (is_streaming_) {
      deadline_ = std::max(deadline_, context_.loop.now() + kResumeTime);
    }
    Log(LogEvent::kStreamResumed, "request {} goes on after token {}; {}",
        ToString(key_), next_index_, reason);
    // A dispatch that did not run puts no load on the fleet.
    RetryWithinBudget(may_have_run, reason);
  }

  void RetryWithinBudget(bool needs_budget, const std::string& reason) {
    if (is_done_) {
      return;
    }
    if (context_.loop.now() >= deadline_) {
      Fail(BackendFailed(may_have_run_, reason));
      return;
    }
    if (!needs_budget) {
      EnqueueLater();
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

  // The first retry goes to another server at once. Later ones wait longer
  // each time, since all servers may be refusing.
  void EnqueueLater() {
    context_.loop.after((dispatches_ - 1) * kRetryDelay,
                        [self = shared_from_this()] {
                          if (!self->is_done_) {
                            self->Enqueue();
                          }
                        });
  }

  void CancelAtEngine() {
    context_.client->SendAndCollect(
        {.method = "POST",
         .url = fmt::format("http://{}/v1/cancel", choice_->address),
         .headers = {{"Content-Type", "application/json"}},
         .body = Json({{"request_id", Text(request_id_)}}),
         .first_byte_timeout = kCancelTimeout,
         .stall_timeout = kCancelTimeout},
        [](HttpResult, int, const HttpHeaders&, const std::string&) {});
  }

  void EndDispatch(BackendResult result) {
    is_dispatched_ = false;
    if (call_) {
      // The call may be in the middle of one of its hooks.
      context_.loop.post([call = *call_]() mutable { call.Cancel(); });
      call_.reset();
    }
    ReleaseSlot(result);
  }

  void ReleaseSlot(BackendResult result) {
    context_.backends->Release(*choice_, result);
    choice_.reset();
    context_.scheduler->StartWaiting();
  }

  void OnCallerLeft() {
    if (is_done_) {
      return;
    }
    if (work_ && context_.scheduler->Cancel(*work_)) {
      work_.reset();
    }
    // A slot without a dispatch is given back by OnStarted, which follows.
    if (is_dispatched_) {
      CancelAtEngine();
      EndDispatch(BackendResult::kNeutral);
    }
    Settle(next_index_);
    End(dispatches_ == 0 ? Outcome::kNotRun : Outcome::kOutcomeUnknown,
        "caller_left");
  }

  void Fail(const RequestError& error) {
    if (is_done_) {
      return;
    }
    Settle(0);
    End(error.outcome(), error.code());
    Log(error.outcome() == Outcome::kNotRun ? LogEvent::kRequestRefused
                                            : LogEvent::kRequestOutcomeUnknown,
        "request {} of {}: {}: {}", ToString(key_), caller_.client_account,
        error.code(), error.what());
    if (is_streaming_) {
      // No [DONE] and a broken connection: the caller cannot take the part
      // that it has for the whole answer.
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
    context_.settle(caller_.budget, reserved_, {.key = key_, .amount = billed});
    if (billed > 0) {
      context_.metrics->CountTokens(caller_.rank, caller_.client_account,
                                    billed);
    }
  }

  void End(Outcome outcome, const std::string& code) {
    is_done_ = true;
    context_.metrics->CountOutcome(caller_.rank, outcome, code);
    if (outcome == Outcome::kAnswered) {
      context_.metrics->AddLatencySample(
          caller_.rank, caller_.client_account, LatencyMetric::kEndToEnd,
          Since(caller_.arrived, context_.loop.now()));
    }
  }

  const RequestContext context_;
  const RequestMetadata caller_;
  HttpReply reply_;
  const CompletionBody body_;
  const ModelConfig model_;
  const std::string target_;
  const std::size_t body_bytes_;
  Tokens reserved_;
  const qint64 created_;
  RequestKey key_;
  // Latest useful start; extended when a stream breaks.
  Millis deadline_;

  bool is_reserved_ = false;
  bool is_done_ = false;
  Millis queued_at_{0};
  std::optional<WorkId> work_;
  std::optional<BackendSlot> choice_;
  std::set<std::string> avoid_;
  int dispatches_ = 0;
  bool may_have_run_ = false;

  // The present dispatch. Other threads may write `choice_` while the request
  // waits, so hooks of an earlier dispatch must not read it.
  bool is_dispatched_ = false;
  std::optional<HttpCall> call_;
  std::string request_id_;
  SseParser splitter_;
  std::optional<Usage> usage_;
  int status_ = 0;
  bool is_refused_ = false;

  // Tokens received, and forwarded if the answer is streamed.
  Tokens next_index_ = 0;
  Millis last_token_at_{0};
  std::string text_;
  bool is_streaming_ = false;
};

}  // namespace

void RunModelRequest(const RequestContext& context,
                     const RequestMetadata& caller,
                     const IncomingRequest& request,
                     HttpReply reply) {
  std::make_shared<ModelRequest>(context, caller, request, std::move(reply))
      ->Start();
}

}  // namespace crocuslatch
