#include "src/load_generator.h"

#include <fmt/format.h>

#include <QEventLoop>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QRandomGenerator>
#include <QTimer>
#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <random>

#include "io/http_client.h"
#include "src/model_request.h"

namespace crocuslatch {
namespace {

using Clock = std::chrono::steady_clock;

// Requests that are due are sent at this interval, so arrivals are late by at
// most this time; one timer for each request would cost more than the request.
constexpr Millis kTick{2};
// Wait after a connection that was refused or cut, so that the retries of many
// callers do not arrive at the next router in the same instant.
constexpr Millis kCutWait{100};
// The router refuses by the deadline; a caller that hears nothing this long
// after it gives up.
constexpr Millis kAnswerSlack{5000};
// A router resumes a broken stream for 10 s, during which the caller hears
// nothing.
constexpr Millis kStreamSilence{12000};
constexpr Millis kStatsTimeout{10000};
constexpr int kHttpOk = 200;

QByteArray Bytes(std::string_view text) {
  return {text.data(), static_cast<qsizetype>(text.size())};
}

QString Text(std::string_view text) {
  return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

QJsonObject ParseObject(std::string_view text) {
  return QJsonDocument::fromJson(Bytes(text)).object();
}

std::string Json(const QJsonObject& object) {
  return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

Outcome ParseOutcome(const QString& text) {
  for (const auto it :
       {Outcome::kAnswered, Outcome::kNotRun, Outcome::kInProgress}) {
    if (Text(ToString(it)) == text) {
      return it;
    }
  }
  return Outcome::kOutcomeUnknown;
}

// The error body of the callers' interface.
AttemptEnd ParseError(const QJsonObject& body, int status) {
  const auto error = body["error"].toObject();
  if (!error["code"].isString()) {
    return {.code = fmt::format("http_{}", status)};
  }
  return {.code = error["code"].toString().toStdString(),
          .outcome = ParseOutcome(error["outcome"].toString()),
          .retry_after = Millis{error["retry_after_ms"].toInteger()}};
}

std::uint32_t DrawBetween(std::mt19937_64& random,
                          std::uint32_t least,
                          std::uint32_t most) {
  return std::uniform_int_distribution<std::uint32_t>(least, most)(random);
}

void AddWords(std::string& out, std::mt19937_64& random, std::uint32_t n) {
  for (std::uint32_t i = 0; i < n; ++i) {
    out += fmt::format("{}{:05x}", out.empty() ? "" : " ",
                       DrawBetween(random, 0, 0xFFFFF));
  }
}

// Equal for equal (stream, number), whatever was drawn before.
std::string MakePrefix(const LoadStream& stream, std::uint32_t number) {
  std::mt19937_64 random(StableHash(stream.name, number));
  std::string prefix;
  AddWords(prefix, random, stream.prefix_words);
  return prefix;
}

std::string MakePrompt(const LoadStream& stream, std::mt19937_64& random) {
  std::string prompt;
  if (stream.shared_prefixes > 0) {
    prompt =
        MakePrefix(stream, DrawBetween(random, 0, stream.shared_prefixes - 1));
  }
  AddWords(
      prompt, random,
      DrawBetween(random, stream.min_prompt_words, stream.max_prompt_words));
  return prompt;
}

PlannedRequest MakeRequest(const LoadStream& stream, std::mt19937_64& random) {
  const double draw = std::uniform_real_distribution<double>(0, 1)(random);
  PlannedRequest request{.is_order = draw < stream.order_fraction};
  request.content =
      request.is_order
          ? fmt::format(R"({{"slot":{}}})", DrawBetween(random, 1, 100'000))
          : MakePrompt(stream, random);
  return request;
}

// Poisson arrivals of one stream during one phase.
void AddArrivals(const LoadStream& stream,
                 Millis begin,
                 Millis end,
                 std::mt19937_64& random,
                 std::vector<PlannedRequest>& out) {
  std::exponential_distribution<double> interval(stream.rate / 1000);
  for (double at = static_cast<double>(begin.count()) + interval(random);
       at < static_cast<double>(end.count()); at += interval(random)) {
    out.push_back(MakeRequest(stream, random));
    out.back().at = Millis{static_cast<Millis::rep>(at)};
  }
}

}  // namespace

std::vector<PlannedRequest> MakeSchedule(const LoadPlan& plan,
                                         std::uint64_t seed,
                                         std::string_view key_prefix) {
  std::vector<PlannedRequest> schedule;
  Millis begin{0};
  for (std::size_t phase = 0; phase < plan.phases.size(); ++phase) {
    const auto& names = plan.phases[phase].streams;
    const auto end = begin + plan.phases[phase].duration;
    for (std::size_t n = 0; n < plan.streams.size(); ++n) {
      const auto& stream = plan.streams[n];
      if (std::ranges::find(names, stream.name) == names.end()) {
        continue;
      }
      std::mt19937_64 random(StableHash(stream.name, seed * 1000 + phase));
      const auto first = schedule.size();
      AddArrivals(stream, begin, end, random, schedule);
      for (auto i = first; i < schedule.size(); ++i) {
        schedule[i].stream = n;
        schedule[i].phase = phase;
      }
    }
    begin = end;
  }
  std::ranges::stable_sort(schedule, {}, &PlannedRequest::at);
  if (schedule.size() > plan.max_requests) {
    schedule.resize(plan.max_requests);
  }
  for (std::size_t i = 0; i < schedule.size(); ++i) {
    schedule[i].idempotency_key = fmt::format("{}-{}", key_prefix, i);
  }
  return schedule;
}

std::optional<Millis> RetryWait(const AttemptEnd& end) {
  if (end.is_cut) {
    return kCutWait;
  }
  if (end.outcome == Outcome::kAnswered || end.retry_after == Millis{0}) {
    return std::nullopt;
  }
  return end.retry_after;
}

namespace {

// One request from its arrival to its result.
struct Call {
  PlannedRequest request;
  LoadTranscript transcript;
  Clock::time_point arrived;
  std::size_t router = 0;
  // Attempts that were sent.
  std::uint32_t attempts = 0;
  bool is_done = false;

  // The present attempt.
  HttpCall http;
  int status = 0;
  SseParser splitter;
  std::string body;
  std::string text;
  std::string id;
  Clock::time_point last_token;
  double first_token = 0;
  std::vector<double> gaps;
  Tokens tokens = 0;
  bool has_usage = false;
  bool is_whole = false;
  bool is_mixed = false;
  std::optional<AttemptEnd> error;
};

double MillisSince(Clock::time_point start, Clock::time_point now) {
  return std::chrono::duration<double, std::milli>(now - start).count();
}

void StartAttempt(Call& call) {
  call.status = 0;
  call.splitter = {};
  call.body.clear();
  call.text.clear();
  call.id.clear();
  call.first_token = 0;
  call.gaps.clear();
  call.tokens = 0;
  call.has_usage = false;
  call.is_whole = false;
  call.is_mixed = false;
  call.error.reset();
}

void OnToken(Call& call, const std::string& text) {
  const auto now = Clock::now();
  if (call.tokens == 0) {
    call.first_token = MillisSince(call.arrived, now);
  } else {
    call.gaps.push_back(MillisSince(call.last_token, now));
  }
  call.last_token = now;
  call.text += text;
  ++call.tokens;
}

void OnStreamEvent(Call& call, const std::string& data) {
  if (data == "[DONE]") {
    call.is_whole = call.has_usage && call.tokens <= call.transcript.max_tokens;
    return;
  }
  const auto event = ParseObject(data);
  if (event.contains("error")) {
    call.error = ParseError(event, call.status);
    return;
  }
  const auto id = event["id"].toString().toStdString();
  call.is_mixed = call.is_mixed || (!call.id.empty() && id != call.id);
  call.id = id;
  if (event["usage"].isObject()) {
    const auto usage = event["usage"].toObject();
    call.has_usage = usage["completion_tokens"].toInteger() == call.tokens;
    return;
  }
  const auto choice = event["choices"].toArray().first().toObject();
  OnToken(call, choice["text"].toString().toStdString());
}

// An answered order tells its own key and the number of its run.
void ReadOrderAnswer(Call& call) {
  const auto answer = ParseObject(call.body);
  call.transcript.incomplete = !answer["order"].isString();
  call.transcript.foreign =
      answer["order"].isString() && answer["order"].toString().toStdString() !=
                                        call.transcript.idempotency_key;
  call.transcript.order_run = answer["run"].toInteger();
}

AttemptEnd EndOf(const Call& call, HttpResult end) {
  if (call.error) {
    return *call.error;
  }
  if (end == HttpResult::kNotSent) {
    return {.code = "connection_refused",
            .outcome = Outcome::kNotRun,
            .is_cut = true};
  }
  if (end == HttpResult::kTimedOut) {
    return {.code = "connection_silent", .is_cut = true};
  }
  if (end != HttpResult::kComplete) {
    return {.code = "connection_cut", .is_cut = true};
  }
  if (call.status != kHttpOk) {
    return ParseError(ParseObject(call.body), call.status);
  }
  return {.code = "answered", .outcome = Outcome::kAnswered};
}

class Generator {
 public:
  Generator(const LoadPlan& plan,
            std::uint64_t seed,
            const ExpectedAnswer& expected_answer)
      : plan_(plan), expected_answer_(expected_answer) {
    const auto prefix =
        fmt::format("load-{:016x}", QRandomGenerator::system()->generate64());
    schedule_ = MakeSchedule(plan, seed, prefix);
  }

  LoadRun Run() {
    start_ = Clock::now();
    QTimer timer;
    timer.setTimerType(Qt::PreciseTimer);
    QObject::connect(&timer, &QTimer::timeout, [this] { OnTick(); });
    timer.start(kTick);
    loop_.exec();
    timer.stop();
    EndUnfinished();
    ReadAllStats();
    return std::move(run_);
  }

 private:
  using CallPtr = std::shared_ptr<Call>;

  Millis Now() const {
    return std::chrono::duration_cast<Millis>(Clock::now() - start_);
  }

  void OnTick() {
    const auto now = Now();
    for (; next_ < schedule_.size() && schedule_[next_].at <= now; ++next_) {
      Arrive(schedule_[next_]);
    }
    while (!retries_.empty() && retries_.begin()->first <= now) {
      const auto call = retries_.begin()->second;
      retries_.erase(retries_.begin());
      Send(call);
    }
    const bool is_idle = next_ == schedule_.size() && calls_.empty();
    if (is_idle || now > plan_.duration + plan_.drain) {
      loop_.quit();
    }
  }

  void Arrive(const PlannedRequest& request) {
    const auto call = std::make_shared<Call>();
    call->request = request;
    call->arrived = start_ + request.at;
    call->router = next_ % plan_.routers.size();
    const auto& stream = plan_.streams[request.stream];
    call->transcript = {.stream = request.stream,
                        .phase = request.phase,
                        .is_order = request.is_order,
                        .idempotency_key = request.idempotency_key,
                        .max_tokens = stream.max_tokens};
    if (calls_.size() >= plan_.max_in_flight) {
      call->transcript.codes.emplace_back("above_max_in_flight");
      run_.transcripts.push_back(std::move(call->transcript));
      return;
    }
    calls_.emplace(call.get(), call);
    Send(call);
  }

  // Time that the caller still waits for its result.
  Millis Left(const Call& call) const {
    return call.request.at + plan_.streams[call.request.stream].deadline -
           Now();
  }

  HttpRequest MakeHttpRequest(const Call& call) const {
    const auto& request = call.request;
    const auto& stream = plan_.streams[request.stream];
    const auto account = std::ranges::find(
        plan_.client_accounts, stream.client_account, &LoadAccount::name);
    const auto left = std::max(Left(call), Millis{1});
    const auto path =
        request.is_order ? "services/" + stream.service : "completions";
    return {
        .method = "POST",
        .url = fmt::format("http://{}/v1/{}", plan_.routers[call.router], path),
        .headers = {{"Authorization", "Bearer " + account->api_key},
                    {"Content-Type", "application/json"},
                    {"Idempotency-Key", request.idempotency_key},
                    {"X-Rank", stream.rank},
                    {"X-Deadline-Ms", std::to_string(left.count())}},
        .body = request.is_order ? request.content
                                 : CompletionJson(request, stream),
        .first_byte_timeout = left + kAnswerSlack,
        .stall_timeout = kStreamSilence};
  }

  static std::string CompletionJson(const PlannedRequest& request,
                                    const LoadStream& stream) {
    return Json({{"model", Text(stream.model)},
                 {"prompt", Text(request.content)},
                 {"max_tokens", static_cast<qint64>(stream.max_tokens)},
                 {"stream", true}});
  }

  void Send(const CallPtr& call) {
    StartAttempt(*call);
    ++call->attempts;
    const std::weak_ptr<Call> weak = call;
    HttpHooks hooks;
    hooks.on_headers = [weak](int status, const HttpHeaders&) {
      if (const auto it = weak.lock()) {
        it->status = status;
      }
    };
    hooks.on_data = [weak](std::string_view data) {
      if (const auto it = weak.lock()) {
        OnData(*it, data);
      }
    };
    hooks.on_end = [this, weak](HttpResult end) {
      if (const auto it = weak.lock()) {
        OnEnd(it, end);
      }
    };
    call->http = client_.Send(MakeHttpRequest(*call), std::move(hooks));
  }

  static void OnData(Call& call, std::string_view data) {
    if (call.request.is_order || call.status != kHttpOk) {
      call.body += data;
      return;
    }
    for (const auto& it : call.splitter.Feed(data)) {
      OnStreamEvent(call, it);
    }
  }

  void OnEnd(const CallPtr& call, HttpResult http_end) {
    if (call->is_done) {
      return;
    }
    const auto end = EndOf(*call, http_end);
    auto& transcript = call->transcript;
    transcript.codes.push_back(end.code);
    transcript.not_run = transcript.not_run && end.outcome == Outcome::kNotRun;
    if (end.outcome == Outcome::kAnswered) {
      RecordAnswer(*call);
      Finish(call);
      return;
    }
    const auto wait = RetryWait(end);
    if (!wait || call->attempts >= plan_.max_attempts || *wait >= Left(*call)) {
      Finish(call);
      return;
    }
    call->router = (call->router + 1) % plan_.routers.size();
    retries_.emplace(Now() + *wait, call);
  }

  void RecordAnswer(Call& call) const {
    auto& transcript = call.transcript;
    if (call.request.is_order) {
      ReadOrderAnswer(call);
      return;
    }
    const auto expected =
        expected_answer_
            ? expected_answer_(call.request.content, transcript.max_tokens)
            : call.text;
    const bool is_own = !call.is_mixed && expected.starts_with(call.text);
    transcript.foreign = !is_own;
    transcript.incomplete = !call.is_whole || (is_own && expected != call.text);
    transcript.first_token = call.first_token;
    transcript.gaps = std::move(call.gaps);
    transcript.tokens = call.tokens;
  }

  void Finish(const CallPtr& call) {
    call->is_done = true;
    run_.transcripts.push_back(std::move(call->transcript));
    calls_.erase(call.get());
  }

  void EndUnfinished() {
    retries_.clear();
    for (const auto& [key, call] : std::exchange(calls_, {})) {
      call->is_done = true;
      call->http.Cancel();
      call->transcript.codes.emplace_back("unfinished");
      call->transcript.not_run = false;
      run_.transcripts.push_back(std::move(call->transcript));
    }
  }

  std::optional<QJsonObject> ReadStats(const std::string& address) {
    std::optional<QJsonObject> stats;
    bool ended = false;
    QEventLoop loop;
    client_.SendAndCollect(
        {.method = "GET",
         .url = fmt::format("http://{}/stats", address),
         .first_byte_timeout = kStatsTimeout,
         .stall_timeout = kStatsTimeout},
        [&](HttpResult end, int status, const HttpHeaders&,
            const std::string& body) {
          if (end == HttpResult::kComplete && status == kHttpOk) {
            stats = ParseObject(body);
          }
          ended = true;
          loop.quit();
        });
    if (!ended) {
      loop.exec();
    }
    return stats;
  }

  void ReadAllStats() {
    auto& counts = run_.counts;
    counts.has_engines = !plan_.engines.empty();
    for (const auto& it : plan_.engines) {
      const auto stats = ReadStats(it);
      counts.has_engines = counts.has_engines && stats.has_value();
      AddGenerated(stats.value_or(QJsonObject())["users"].toObject());
    }
    counts.has_services = !plan_.services.empty();
    for (const auto& it : plan_.services) {
      const auto stats = ReadStats(it);
      counts.has_services = counts.has_services && stats.has_value();
      AddOrderRuns(stats.value_or(QJsonObject())["keys"].toObject());
    }
  }

  void AddGenerated(const QJsonObject& users) {
    for (const auto& name : users.keys()) {
      run_.counts.generated[name.toStdString()] +=
          users[name].toObject()["generated_tokens"].toInteger();
    }
  }

  void AddOrderRuns(const QJsonObject& keys) {
    for (const auto& key : keys.keys()) {
      run_.counts.order_runs[key.toStdString()] +=
          keys[key].toObject()["runs"].toInteger();
    }
  }

  const LoadPlan& plan_;
  const ExpectedAnswer expected_answer_;
  std::vector<PlannedRequest> schedule_;
  // Next request of the schedule.
  std::size_t next_ = 0;
  Clock::time_point start_;
  std::map<Call*, CallPtr> calls_;
  std::multimap<Millis, CallPtr> retries_;
  LoadRun run_;
  QEventLoop loop_;
  // Destroyed first, so that no hook runs after the rest is gone.
  HttpClient client_;
};

}  // namespace

LoadRun RunLoad(const LoadPlan& plan,
                std::uint64_t seed,
                const ExpectedAnswer& expected_answer) {
  Generator generator(
      plan, seed,
      plan.check_standin_answers ? expected_answer : ExpectedAnswer());
  return generator.Run();
}

}  // namespace crocuslatch
