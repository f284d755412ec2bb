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

// Interval at which due requests are sent, so requests are up to this much
// late. A timer per request would cost more than the request itself.
constexpr Millis kSendInterval{2};
// Retry delay after a refused or closed connection, so that the retries of many
// callers do not reach the next router at the same moment.
constexpr Millis kReconnectDelay{100};
// The router rejects a request by its deadline at the latest; a caller that has
// no response this long after the deadline gives up.
constexpr Millis kResponseGrace{5000};
// A router tries to resume a broken stream for 10 s, during which the caller
// receives no data.
constexpr Millis kStreamStallTimeout{12000};
constexpr Millis kStatsTimeout{10000};
constexpr int kHttpOk = 200;
// Limit for what is held of one answer. Orders and events are much smaller.
constexpr std::size_t kMaxHeldBytes = 8 << 20;

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

// Parses an error body of the callers' API.
AttemptResult ParseError(const QJsonObject& body, int status) {
  const auto error = body["error"].toObject();
  if (!error["code"].isString()) {
    return {.code = fmt::format("http_{}", status)};
  }
  return {.code = error["code"].toString().toStdString(),
          .outcome = ParseOutcome(error["outcome"].toString()),
          .retry_after = Millis{error["retry_after_ms"].toInteger()}};
}

std::uint32_t DrawInteger(std::mt19937_64& random,
                          std::uint32_t min,
                          std::uint32_t max) {
  return std::uniform_int_distribution<std::uint32_t>(min, max)(random);
}

void AddWords(std::string& out, std::mt19937_64& random, std::uint32_t n) {
  for (std::uint32_t i = 0; i < n; ++i) {
    out += fmt::format("{}{:05x}", out.empty() ? "" : " ",
                       DrawInteger(random, 0, 0xFFFFF));
  }
}

// Depends only on (stream name, number), so that requests share their prefixes.
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
        MakePrefix(stream, DrawInteger(random, 0, stream.shared_prefixes - 1));
  }
  AddWords(
      prompt, random,
      DrawInteger(random, stream.min_prompt_words, stream.max_prompt_words));
  return prompt;
}

PlannedRequest MakeRequest(const LoadStream& stream, std::mt19937_64& random) {
  const double draw = std::uniform_real_distribution<double>(0, 1)(random);
  PlannedRequest request{.is_order = draw < stream.order_fraction};
  request.content =
      request.is_order
          ? fmt::format(R"({{"slot":{}}})", DrawInteger(random, 1, 100'000))
          : MakePrompt(stream, random);
  return request;
}

// Adds Poisson arrivals of one stream during one phase.
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

std::optional<Millis> RetryDelay(const AttemptResult& result) {
  if (result.is_disconnected) {
    return kReconnectDelay;
  }
  if (result.outcome == Outcome::kAnswered || result.retry_after == Millis{0}) {
    return std::nullopt;
  }
  return result.retry_after;
}

namespace {

// State of one request from its arrival to its result.
struct Call {
  PlannedRequest request;
  LoadTranscript transcript;
  Clock::time_point arrived;
  std::size_t router = 0;
  // Attempts sent so far.
  std::uint32_t attempts = 0;
  bool is_done = false;

  // Fields below describe the current attempt.
  HttpCall http;
  int status = 0;
  SseParser parser;
  std::string body;
  std::string text;
  std::string id;
  Clock::time_point last_token;
  double first_token = 0;
  std::vector<double> gaps;
  Tokens tokens = 0;
  bool has_usage = false;
  bool is_complete = false;
  bool has_mixed_ids = false;
  std::optional<AttemptResult> error;
};

double MillisSince(Clock::time_point start, Clock::time_point now) {
  return std::chrono::duration<double, std::milli>(now - start).count();
}

void ResetAttempt(Call& call) {
  call.status = 0;
  call.parser = {};
  call.body.clear();
  call.text.clear();
  call.id.clear();
  call.first_token = 0;
  call.gaps.clear();
  call.tokens = 0;
  call.has_usage = false;
  call.is_complete = false;
  call.has_mixed_ids = false;
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
    call.is_complete =
        call.has_usage && call.tokens <= call.transcript.max_tokens;
    return;
  }
  const auto event = ParseObject(data);
  if (event.contains("error")) {
    call.error = ParseError(event, call.status);
    return;
  }
  const auto id = event["id"].toString().toStdString();
  call.has_mixed_ids =
      call.has_mixed_ids || (!call.id.empty() && id != call.id);
  call.id = id;
  if (event["usage"].isObject()) {
    const auto usage = event["usage"].toObject();
    call.has_usage = usage["completion_tokens"].toInteger() == call.tokens;
    return;
  }
  const auto choice = event["choices"].toArray().first().toObject();
  OnToken(call, choice["text"].toString().toStdString());
}

// The answer to an order contains its idempotency key and its run number.
void ReadOrderAnswer(Call& call) {
  const auto answer = ParseObject(call.body);
  call.transcript.incomplete = !answer["order"].isString();
  call.transcript.foreign =
      answer["order"].isString() && answer["order"].toString().toStdString() !=
                                        call.transcript.idempotency_key;
  call.transcript.order_run = answer["run"].toInteger();
}

AttemptResult ResultOf(const Call& call, HttpResult end) {
  if (call.error) {
    return *call.error;
  }
  if (end == HttpResult::kNotSent) {
    return {.code = "connection_refused",
            .outcome = Outcome::kNotRun,
            .is_disconnected = true};
  }
  if (end == HttpResult::kTimedOut) {
    return {.code = "connection_silent", .is_disconnected = true};
  }
  if (end != HttpResult::kComplete) {
    return {.code = "connection_cut", .is_disconnected = true};
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
    QObject::connect(&timer, &QTimer::timeout, [this] { SendDue(); });
    timer.start(kSendInterval);
    loop_.exec();
    timer.stop();
    FinishUnfinished();
    ReadAllStats();
    return std::move(run_);
  }

 private:
  using CallPtr = std::shared_ptr<Call>;

  Millis Now() const {
    return std::chrono::duration_cast<Millis>(Clock::now() - start_);
  }

  void SendDue() {
    const auto now = Now();
    for (; next_ < schedule_.size() && schedule_[next_].at <= now; ++next_) {
      StartCall(schedule_[next_]);
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

  void StartCall(const PlannedRequest& request) {
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

  // Time until the request's deadline; negative after it.
  Millis TimeLeft(const Call& call) const {
    return call.request.at + plan_.streams[call.request.stream].deadline -
           Now();
  }

  HttpRequest MakeHttpRequest(const Call& call) const {
    const auto& request = call.request;
    const auto& stream = plan_.streams[request.stream];
    const auto account = std::ranges::find(
        plan_.client_accounts, stream.client_account, &LoadAccount::name);
    const auto left = std::max(TimeLeft(call), Millis{1});
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
        .first_byte_timeout = left + kResponseGrace,
        .stall_timeout = kStreamStallTimeout};
  }

  static std::string CompletionJson(const PlannedRequest& request,
                                    const LoadStream& stream) {
    return Json({{"model", Text(stream.model)},
                 {"prompt", Text(request.content)},
                 {"max_tokens", static_cast<qint64>(stream.max_tokens)},
                 {"stream", true}});
  }

  void Send(const CallPtr& call) {
    ResetAttempt(*call);
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
    if (call.body.size() + call.parser.partial_bytes() + data.size() >
        kMaxHeldBytes) {
      call.error = AttemptResult{.code = "answer_too_large"};
      call.http.Cancel();
      return;
    }
    if (call.request.is_order || call.status != kHttpOk) {
      call.body += data;
      return;
    }
    for (const auto& it : call.parser.Feed(data)) {
      OnStreamEvent(call, it);
    }
  }

  void OnEnd(const CallPtr& call, HttpResult http_result) {
    if (call->is_done) {
      return;
    }
    const auto result = ResultOf(*call, http_result);
    auto& transcript = call->transcript;
    transcript.codes.push_back(result.code);
    transcript.not_run =
        transcript.not_run && result.outcome == Outcome::kNotRun;
    if (result.outcome == Outcome::kAnswered) {
      RecordAnswer(*call);
      Finish(call);
      return;
    }
    const auto delay = RetryDelay(result);
    if (!delay || call->attempts >= plan_.max_attempts ||
        *delay >= TimeLeft(*call)) {
      Finish(call);
      return;
    }
    call->router = (call->router + 1) % plan_.routers.size();
    retries_.emplace(Now() + *delay, call);
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
    const bool is_expected =
        !call.has_mixed_ids && expected.starts_with(call.text);
    transcript.foreign = !is_expected;
    transcript.incomplete =
        !call.is_complete || (is_expected && expected != call.text);
    transcript.first_token = call.first_token;
    transcript.gaps = std::move(call.gaps);
    transcript.tokens = call.tokens;
  }

  void Finish(const CallPtr& call) {
    call->is_done = true;
    run_.transcripts.push_back(std::move(call->transcript));
    calls_.erase(call.get());
  }

  void FinishUnfinished() {
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
  // Index of the next request in schedule_.
  std::size_t next_ = 0;
  Clock::time_point start_;
  std::map<Call*, CallPtr> calls_;
  std::multimap<Millis, CallPtr> retries_;
  LoadRun run_;
  QEventLoop loop_;
  // Declared last, so destroyed first: no hook runs after the other members
  // are destroyed.
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
