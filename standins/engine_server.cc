#include "standins/engine_server.h"

#include <QJsonArray>
#include <algorithm>

#include "standins/engine_tokens.h"

namespace crocuslatch::standins {

namespace {

// Load reports are kept for this long; load_lag_ms must not exceed it.
constexpr Millis kLoadHistory{60000};

std::string ToEvent(const QJsonObject& json) {
  const QByteArray text = QJsonDocument(json).toJson(QJsonDocument::Compact);
  return "data: " + text.toStdString() + "\n\n";
}

std::string TokenEvent(const std::string& request_id,
                       Tokens index,
                       const std::string& text) {
  return ToEvent({{"request_id", QString::fromStdString(request_id)},
                  {"index", static_cast<qint64>(index)},
                  {"text", QString::fromStdString(text)}});
}

}  // namespace

struct EngineServer::Sequence {
  Sequence(const QJsonObject& body, const HttpReply& reply_to)
      : reply(reply_to) {
    Update(body, "request_id", request_id);
    Update(body, "prompt", prompt);
    Update(body, "user", user);
    Update(body, "priority", priority);
    Update(body, "fence", fence);
    Update(body, "resume_from", next_token);
    std::int64_t max_tokens = 16;
    Update(body, "max_tokens", max_tokens);
    length = AnswerLength(prompt, max_tokens);
  }

  HttpReply reply;
  std::string request_id;
  std::string prompt;
  std::string user;
  std::int64_t priority = 0;
  std::int64_t fence = 0;
  // Index of the next token.
  Tokens next_token = 0;
  // Number of tokens in the whole answer.
  Tokens length = 0;
  // Tokens sent by this sequence; excludes those before "resume_from".
  Tokens sent_tokens = 0;
  Millis ready_at{0};
  Fault fault;
  bool cancelled = false;
};

const std::vector<EngineField>& EngineFields() {
  static const std::vector<EngineField> kFields = {
      {"slots", &EngineConfig::slots, "maximum number of running sequences"},
      {"token_ms", &EngineConfig::token_ms, "duration of one decoding step"},
      {"prompt_us", &EngineConfig::prompt_us,
       "prefill time per uncached prompt token, in microseconds"},
      {"cache_blocks", &EngineConfig::cache_blocks,
       "blocks of 256 bytes in the prefix cache"},
      {"cache_lag_ms", &EngineConfig::cache_lag_ms, "delay of cache events"},
      {"cache_gap_every", &EngineConfig::cache_gap_every,
       "drop every n-th cache event; 0 drops none"},
      {"load_lag_ms", &EngineConfig::load_lag_ms, "age of load reports"},
      {"check_fence", &EngineConfig::check_fence,
       "1 refuses requests with a stale fencing token"},
      {"cancel_on_disconnect", &EngineConfig::cancel_on_disconnect,
       "1 cancels a sequence when its client disconnects"},
  };
  return kFields;
}

void EngineServer::Control(const QJsonObject& changes) {
  for (const auto& it : EngineFields()) {
    Update(changes, it.name, config_.*it.field);
  }
  if (changes.contains("faults")) {
    faults_.Replace(changes.value("faults").toArray());
  }
  const bool was_leaving = leaving_;
  Update(changes, "leaving", leaving_);
  if (leaving_ && !was_leaving) {
    leaving_since_ = loop_.now();
  }
  RecordLoad();
  Admit();
}

void EngineServer::Handle(const IncomingRequest& request, HttpReply reply) {
  const auto& path = request.path;
  const QJsonObject body = ParseJson(request.body);
  if (path == "/v1/completions" && request.method == "POST") {
    return Accept(body, reply);
  }
  if (path == "/control") {
    Control(body);
    return SendJson(reply, 200, QJsonDocument(QJsonObject()));
  }
  if (path == "/stats") {
    return SendJson(reply, 200, QJsonDocument(Stats()));
  }
  if (path == "/v1/load") {
    return SendJson(reply, 200, QJsonDocument(Load()));
  }
  if (path == "/v1/cancel") {
    const auto n = Cancel(body.value("request_id").toString().toStdString());
    const QJsonObject answer{{"cancelled", static_cast<qint64>(n)}};
    return SendJson(reply, 200, QJsonDocument(answer));
  }
  if (path == "/v1/cache_events") {
    const auto after = QueryValue(request.query, "after");
    const auto events =
        cache_.Events(QString::fromStdString(after).toLongLong(), loop_.now(),
                      Millis(config_.cache_lag_ms), config_.cache_gap_every);
    return SendJson(reply, 200, QJsonDocument(events));
  }
  reply.SendResponse(404, {}, "");
}

void EngineServer::Accept(const QJsonObject& body, HttpReply reply) {
  const auto sequence = std::make_shared<Sequence>(body, reply);
  if (sequence->request_id.empty() || sequence->prompt.empty()) {
    return reply.SendResponse(400, {{"X-Not-Run", "1"}}, "");
  }
  if (HasStaleFence(*sequence)) {
    ++refused_;
    return reply.SendResponse(409, {{"X-Not-Run", "1"}}, "");
  }
  sequence->fault = faults_.Next().value_or(Fault{});
  faulted_ += sequence->fault.kind.empty() ? 0 : 1;
  if (sequence->fault.kind == "refuse") {
    ++refused_;
    return reply.SendResponse(503, {{"X-Not-Run", "1"}}, "");
  }
  CountAccepted();
  reply.OnDisconnect([this, weak = std::weak_ptr(sequence)] {
    const auto it = weak.lock();
    if (it && config_.cancel_on_disconnect != 0) {
      it->cancelled = true;
    }
  });
  if (sequence->fault.kind != "late") {
    return Enqueue(sequence);
  }
  loop_.after(Millis(sequence->fault.delay_ms),
              [this, sequence] { Enqueue(sequence); });
}

bool EngineServer::HasStaleFence(const Sequence& sequence) {
  if (config_.check_fence == 0) {
    return false;
  }
  auto& newest = newest_fences_[sequence.request_id];
  newest = std::max(newest, sequence.fence);
  return sequence.fence < newest;
}

void EngineServer::CountAccepted() {
  if (leaving_) {
    accepted_while_leaving_.push_back(loop_.now() - leaving_since_);
  }
}

void EngineServer::Enqueue(const SequencePtr& sequence) {
  const auto at = std::ranges::upper_bound(
      queue_, sequence->priority, {},
      [](const SequencePtr& it) { return it->priority; });
  queue_.insert(at, sequence);
  Admit();
}

void EngineServer::Admit() {
  std::erase_if(queue_, [](const SequencePtr& it) { return it->cancelled; });
  const auto slots = static_cast<std::size_t>(config_.slots);
  while (!queue_.empty() && running_.size() < slots) {
    Start(queue_.front());
    queue_.erase(queue_.begin());
  }
  RecordLoad();
  ScheduleStep();
}

void EngineServer::Start(const SequencePtr& sequence) {
  const auto now = loop_.now();
  const auto& prompt = sequence->prompt;
  const auto cached =
      cache_.Use(prompt, static_cast<std::size_t>(config_.cache_blocks), now);
  const auto tokens = CountPromptTokens(prompt);
  const auto uncached_bytes = static_cast<Tokens>(prompt.size() - cached);
  const auto uncached =
      tokens * uncached_bytes / static_cast<Tokens>(prompt.size());
  sequence->ready_at = now + Millis(uncached * config_.prompt_us / 1000);
  cached_prompt_bytes_ += static_cast<std::int64_t>(cached);
  UserCount& user = user_counts_[sequence->user];
  user.prompt_tokens += tokens;
  ++user.requests;
  ++request_counts_[sequence->request_id].runs;
  sequence->reply.StartStream(200, {{"Content-Type", "text/event-stream"}});
  running_.push_back(sequence);
}

void EngineServer::ScheduleStep() {
  if (step_scheduled_ || running_.empty()) {
    return;
  }
  step_scheduled_ = true;
  // A delay of 0 ms would starve the event loop of incoming requests.
  loop_.after(Millis(std::max<std::int64_t>(config_.token_ms, 1)),
              [this] { Step(); });
}

void EngineServer::Step() {
  step_scheduled_ = false;
  std::erase_if(running_,
                [this](const SequencePtr& it) { return !Advance(*it); });
  Admit();
}

bool EngineServer::Advance(Sequence& sequence) {
  if (sequence.cancelled) {
    sequence.reply.Abort();
    return false;
  }
  if (sequence.ready_at > loop_.now()) {
    return true;
  }
  if (!ApplyFault(sequence)) {
    return false;
  }
  if (sequence.next_token < sequence.length) {
    SendToken(sequence);
    return true;
  }
  Complete(sequence);
  return false;
}

bool EngineServer::ApplyFault(Sequence& sequence) {
  const auto& kind = sequence.fault.kind;
  if (kind.empty() || sequence.sent_tokens != sequence.fault.after_tokens) {
    return true;
  }
  if (kind == "crash") {
    sequence.reply.Abort();
    return false;
  }
  if (kind == "silent") {
    silent_replies_.Add(sequence.reply);
    return false;
  }
  if (kind == "mix") {
    sequence.reply.Write(TokenEvent("another-" + sequence.request_id,
                                    sequence.next_token, " misdirected"));
  }
  if (kind == "skip") {
    ++sequence.next_token;
  }
  sequence.fault.kind.clear();
  return true;
}

void EngineServer::SendToken(Sequence& sequence) {
  sequence.reply.Write(
      TokenEvent(sequence.request_id, sequence.next_token,
                 EngineToken(sequence.prompt, sequence.next_token)));
  ++sequence.next_token;
  ++sequence.sent_tokens;
  ++user_counts_[sequence.user].generated_tokens;
  ++request_counts_[sequence.request_id].generated_tokens;
}

void EngineServer::Complete(Sequence& sequence) {
  const auto prompt_tokens = CountPromptTokens(sequence.prompt);
  const QJsonObject usage{
      {"prompt_tokens", static_cast<qint64>(prompt_tokens)},
      {"completion_tokens", static_cast<qint64>(sequence.length)}};
  sequence.reply.Write(
      ToEvent({{"request_id", QString::fromStdString(sequence.request_id)},
               {"usage", usage}}));
  sequence.reply.Write("data: [DONE]\n\n");
  sequence.reply.EndStream();
  ++request_counts_[sequence.request_id].completed;
}

std::int64_t EngineServer::Cancel(const std::string& request_id) {
  std::int64_t n = 0;
  const auto cancel = [&](const SequencePtr& it) {
    if (it->request_id == request_id) {
      it->cancelled = true;
      ++n;
    }
  };
  std::ranges::for_each(running_, cancel);
  for (const auto& it : queue_) {
    cancel(it);
    if (it->cancelled) {
      it->reply.Abort();
    }
  }
  Admit();
  return n;
}

void EngineServer::RecordLoad() {
  const auto now = loop_.now();
  load_reports_.push_back({now, running_.size(), queue_.size(), leaving_});
  while (load_reports_.front().time + kLoadHistory < now) {
    load_reports_.pop_front();
  }
}

QJsonObject EngineServer::Load() {
  RecordLoad();
  const auto newest = loop_.now() - Millis(config_.load_lag_ms);
  const auto after =
      std::ranges::upper_bound(load_reports_, newest, {}, &LoadReport::time);
  const auto& report = after == load_reports_.begin() ? load_reports_.front()
                                                      : *std::prev(after);
  return {{"running", static_cast<qint64>(report.running)},
          {"queued", static_cast<qint64>(report.queued)},
          {"slots", static_cast<qint64>(config_.slots)},
          {"leaving", report.leaving},
          {"age_ms", static_cast<qint64>(config_.load_lag_ms)}};
}

QJsonObject EngineServer::Stats() const {
  QJsonObject users;
  for (const auto& [name, count] : user_counts_) {
    users.insert(
        QString::fromStdString(name),
        QJsonObject{
            {"prompt_tokens", static_cast<qint64>(count.prompt_tokens)},
            {"generated_tokens", static_cast<qint64>(count.generated_tokens)},
            {"requests", static_cast<qint64>(count.requests)}});
  }
  QJsonObject requests;
  for (const auto& [id, count] : request_counts_) {
    requests.insert(
        QString::fromStdString(id),
        QJsonObject{
            {"generated_tokens", static_cast<qint64>(count.generated_tokens)},
            {"runs", static_cast<qint64>(count.runs)},
            {"completed", static_cast<qint64>(count.completed)}});
  }
  QJsonArray accepted;
  for (const auto& it : accepted_while_leaving_) {
    accepted.append(static_cast<qint64>(it.count()));
  }
  return {{"users", users},
          {"requests", requests},
          {"refused", static_cast<qint64>(refused_)},
          {"faulted", static_cast<qint64>(faulted_)},
          {"running", static_cast<qint64>(running_.size())},
          {"queued", static_cast<qint64>(queue_.size())},
          {"cached_prompt_bytes", static_cast<qint64>(cached_prompt_bytes_)},
          {"accepted_while_leaving_ms", accepted}};
}

}  // namespace crocuslatch::standins
