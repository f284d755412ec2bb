#include "tests/process/caller.h"

#include <fmt/format.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <algorithm>

#include "standins/engine_tokens.h"
#include "tests/process/process.h"

namespace crocuslatch::test {

std::string ApiKey(const std::string& account) {
  return "key-of-" + account;
}

QJsonObject ParseObject(std::string_view text) {
  const auto size = static_cast<qsizetype>(text.size());
  return QJsonDocument::fromJson(QByteArray(text.data(), size)).object();
}

std::string ToText(const QJsonObject& json) {
  return QJsonDocument(json).toJson(QJsonDocument::Compact).toStdString();
}

namespace {

constexpr Millis kRetryDelay{100};

// Appends the text of a completion object to the transcript and copies its
// usage.
void AddCompletion(const QJsonObject& json, Transcript& transcript) {
  const QJsonObject choice = json["choices"].toArray().at(0).toObject();
  transcript.answer += choice["text"].toString().toStdString();
  if (json["usage"].isObject()) {
    transcript.usage = json["usage"].toObject();
  }
}

// Reads the events of a stream. Returns false unless it ends with "[DONE]".
bool ReadStream(std::string_view body, Transcript& transcript) {
  constexpr std::string_view kData = "data: ";
  bool done = false;
  while (!body.empty()) {
    const auto end = std::min(body.find('\n'), body.size() - 1);
    std::string_view line = body.substr(0, end);
    body.remove_prefix(end + 1);
    if (!line.starts_with(kData)) {
      continue;
    }
    line.remove_prefix(kData.size());
    done = line == "[DONE]";
    AddCompletion(ParseObject(line), transcript);
  }
  return done;
}

// Sends one call to the routers in turn until it has a final result.
struct Caller : std::enable_shared_from_this<Caller> {
  Call call;
  std::vector<std::uint16_t> ports;
  HttpClient* client = nullptr;
  EventLoop loop;
  std::size_t router = 0;
  std::shared_ptr<Transcript> transcript = std::make_shared<Transcript>();

  HttpRequest MakeRequest() const {
    const bool order = call.prompt.empty();
    const QJsonObject completion{
        {"model", "model"},
        {"prompt", QString::fromStdString(call.prompt)},
        {"max_tokens", static_cast<qint64>(call.max_tokens)},
        {"stream", call.stream}};
    HttpRequest request{
        .method = "POST",
        .url = Url(ports[router],
                   order ? "/v1/services/booking/orders" : "/v1/completions"),
        .headers = {{"Authorization", "Bearer " + ApiKey(call.account)},
                    {"Content-Type", "application/json"}},
        .body = order ? call.body : ToText(completion),
        .first_byte_timeout = call.attempt_timeout,
        .stall_timeout = call.attempt_timeout};
    if (!call.key.empty()) {
      request.headers.emplace_back("Idempotency-Key", call.key);
    }
    if (!call.rank.empty()) {
      request.headers.emplace_back("X-Rank", call.rank);
    }
    return request;
  }

  void Send() {
    transcript->attempts.push_back({.router = router});
    const auto self = shared_from_this();
    client->Send(MakeRequest(),
                 {.on_headers =
                      [self](int status, const HttpHeaders&) {
                        self->LastAttempt().status = status;
                      },
                  .on_data =
                      [self](std::string_view data) {
                        self->LastAttempt().body += data;
                      },
                  .on_end = [self](HttpResult end) { self->OnEnd(end); }});
  }

  Transcript::Attempt& LastAttempt() const {
    return transcript->attempts.back();
  }

  void OnEnd(HttpResult end) {
    LastAttempt().end = end;
    const auto result = ClassifyAttempt();
    const auto now = loop.now();
    if (IsFinal(result) || transcript->attempts.size() >= call.max_attempts ||
        now - transcript->started > call.time_limit) {
      transcript->end = result;
      transcript->ended = now;
      return;
    }
    router = (router + 1) % ports.size();
    loop.after(kRetryDelay, [self = shared_from_this()] { self->Send(); });
  }

  Transcript::End ClassifyAttempt() const {
    auto& attempt = LastAttempt();
    transcript->answer.clear();
    transcript->usage = {};
    if (attempt.end != HttpResult::kComplete) {
      return Transcript::End::kBroken;
    }
    if (attempt.status == 200) {
      return ReadAnswer() ? Transcript::End::kAnswered
                          : Transcript::End::kBroken;
    }
    const auto error = ParseObject(attempt.body)["error"].toObject();
    attempt.code = error["code"].toString().toStdString();
    attempt.outcome = error["outcome"].toString().toStdString();
    return attempt.outcome == "outcome_unknown"
               ? Transcript::End::kOutcomeUnknown
               : Transcript::End::kNotRun;
  }

  bool ReadAnswer() const {
    const auto& body = LastAttempt().body;
    if (call.prompt.empty()) {
      transcript->answer = body;
      return true;
    }
    if (call.stream) {
      return ReadStream(body, *transcript);
    }
    AddCompletion(ParseObject(body), *transcript);
    return true;
  }

  // A completion can be retried after any failure but an exhausted budget. An
  // order with an unknown outcome must not be retried.
  bool IsFinal(Transcript::End result) const {
    using enum Transcript::End;
    return result == kAnswered || LastAttempt().code == "budget_exhausted" ||
           (result == kOutcomeUnknown && call.prompt.empty());
  }
};

}  // namespace

std::shared_ptr<const Transcript> StartCall(const Call& call,
                                            std::vector<std::uint16_t> ports,
                                            HttpClient* client,
                                            const EventLoop& loop) {
  const auto caller = std::make_shared<Caller>();
  caller->call = call;
  caller->ports = std::move(ports);
  caller->client = client;
  caller->loop = loop;
  caller->router = call.router;
  caller->transcript->started = loop.now();
  caller->Send();
  return caller->transcript;
}

bool IsWholeAnswer(const Call& call, const Transcript& transcript) {
  const auto length = standins::AnswerLength(call.prompt, call.max_tokens);
  return transcript.end == Transcript::End::kAnswered &&
         transcript.answer ==
             standins::EngineAnswer(call.prompt, call.max_tokens) &&
         transcript.usage["completion_tokens"].toInteger() == length &&
         transcript.usage["prompt_tokens"].toInteger() ==
             standins::CountPromptTokens(call.prompt);
}

}  // namespace crocuslatch::test
