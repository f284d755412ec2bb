#include "tests/process/fleet.h"

#include <fmt/format.h>
#include <signal.h>
#include <sys/prctl.h>

#include <QCryptographicHash>
#include <QElapsedTimer>
#include <QEventLoop>
#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <QTcpServer>
#include <QTimer>
#include <algorithm>
#include <array>
#include <stdexcept>

#include "standins/engine_tokens.h"

namespace crocuslatch::test {

namespace {

constexpr Millis kStartTimeout{15000};
constexpr Millis kAnswerTimeout{5000};
constexpr Millis kRetryDelay{100};
constexpr const char* kAdminToken = "process-test-admin-token";
constexpr std::array kAccounts = {"small", "large"};

std::string ApiKey(const std::string& account) {
  return "key-of-" + account;
}

std::string Sha256(const std::string& text) {
  return QCryptographicHash::hash(QByteArray::fromStdString(text),
                                  QCryptographicHash::Sha256)
      .toHex()
      .toStdString();
}

QJsonObject ParseObject(std::string_view text) {
  const auto size = static_cast<qsizetype>(text.size());
  return QJsonDocument::fromJson(QByteArray(text.data(), size)).object();
}

std::string ToText(const QJsonObject& json) {
  return QJsonDocument(json).toJson(QJsonDocument::Compact).toStdString();
}

// Adds one completion object's text and usage to the transcript.
void AddCompletion(const QJsonObject& json, Transcript& transcript) {
  const QJsonObject choice = json["choices"].toArray().at(0).toObject();
  transcript.answer += choice["text"].toString().toStdString();
  if (json["usage"].isObject()) {
    transcript.usage = json["usage"].toObject();
  }
}

// Reads the events of a stream; false unless the stream ends with "[DONE]".
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

}  // namespace

bool RunUntil(const std::function<bool()>& done, Millis timeout) {
  QElapsedTimer timer;
  timer.start();
  while (!done()) {
    if (timer.hasExpired(timeout.count())) {
      return false;
    }
    RunFor(Millis(5));
  }
  return true;
}

void RunFor(Millis time) {
  QEventLoop loop;
  QTimer::singleShot(time, Qt::PreciseTimer, &loop, &QEventLoop::quit);
  loop.exec();
}

std::uint16_t FreePort() {
  QTcpServer server;
  server.listen(QHostAddress::LocalHost);
  return server.serverPort();
}

std::string Url(std::uint16_t port, const std::string& path) {
  return fmt::format("http://127.0.0.1:{}{}", port, path);
}

Process::Process(const std::string& program,
                 const std::vector<std::string>& arguments,
                 const std::string& log) {
  QStringList list;
  for (const auto& it : arguments) {
    list.append(QString::fromStdString(it));
  }
  process_.setStandardErrorFile(QString::fromStdString(log), QIODevice::Append);
  process_.setChildProcessModifier([] { prctl(PR_SET_PDEATHSIG, SIGKILL); });
  process_.start(QString::fromStdString(CROCUSLATCH_BIN_DIR "/" + program),
                 list);
  if (!process_.waitForStarted()) {
    throw std::runtime_error("cannot start " + program);
  }
}

Process::~Process() {
  process_.kill();
  process_.waitForFinished();
}

void Process::WaitListening() {
  QByteArray line;
  const bool listening = RunUntil(
      [&] {
        line += process_.readAllStandardOutput();
        return line.endsWith('\n');
      },
      kStartTimeout);
  const auto words = line.simplified().split(' ');
  if (!listening || words.size() < 2) {
    throw std::runtime_error("not listening: " +
                             process_.program().toStdString());
  }
  port_ = words[1].toUShort();
  control_port_ = words.size() > 3 ? words[3].toUShort() : port_;
}

void Process::Signal(int number) const {
  if (IsRunning()) {
    ::kill(static_cast<pid_t>(process_.processId()), number);
  }
}

bool Process::IsRunning() const {
  return process_.state() == QProcess::Running;
}

int Process::WaitExit(Millis timeout) {
  RunUntil([&] { return !IsRunning(); }, timeout);
  const bool exited =
      !IsRunning() && process_.exitStatus() == QProcess::NormalExit;
  return exited ? process_.exitCode() : -1;
}

// Sends one call to one router after the other until it has a final result.
struct Fleet::Caller : std::enable_shared_from_this<Caller> {
  Call call;
  Fleet* fleet = nullptr;
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
        .url = Url(fleet->ports_[router].caller,
                   order ? "/v1/services/booking/orders" : "/v1/completions"),
        .headers = {{"Authorization", "Bearer " + ApiKey(call.account)},
                    {"Content-Type", "application/json"}},
        .body = order ? call.body : ToText(completion),
        .first_byte_timeout = call.time_limit,
        .stall_timeout = call.time_limit};
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
    fleet->client_.Send(
        MakeRequest(),
        {.on_headers =
             [self](int status, const HttpHeaders&) {
               self->Last().status = status;
             },
         .on_data =
             [self](std::string_view data) { self->Last().body += data; },
         .on_end = [self](HttpEnd end) { self->OnEnd(end); }});
  }

  Transcript::Attempt& Last() const { return transcript->attempts.back(); }

  void OnEnd(HttpEnd end) {
    Last().whole = end == HttpEnd::kComplete;
    const auto result = Judge();
    const auto now = fleet->loop_.now();
    if (IsFinal(result) || transcript->attempts.size() >= call.max_attempts ||
        now - transcript->started > call.time_limit) {
      transcript->end = result;
      transcript->ended = now;
      return;
    }
    router = (router + 1) % fleet->ports_.size();
    fleet->loop_.after(kRetryDelay,
                       [self = shared_from_this()] { self->Send(); });
  }

  Transcript::End Judge() const {
    auto& attempt = Last();
    transcript->answer.clear();
    transcript->usage = {};
    if (!attempt.whole) {
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
    const auto& body = Last().body;
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

  // A completion may run again; an order with an unknown outcome stays so.
  bool IsFinal(Transcript::End result) const {
    using enum Transcript::End;
    return result == kAnswered || Last().code == "budget_exhausted" ||
           (result == kOutcomeUnknown && call.prompt.empty());
  }
};

Fleet::Fleet(const FleetOptions& options) : options_(options) {
  dir_.setAutoRemove(!qEnvironmentVariableIsSet("CROCUSLATCH_KEEP_LOGS"));
  StartStandins();
  for (std::size_t i = 0; i < options_.routers; ++i) {
    ports_.push_back({FreePort(), FreePort(), FreePort()});
  }
  PublishHosts();
  for (std::size_t i = 0; i < options_.routers; ++i) {
    routers_.emplace_back();
    StartRouter(i);
  }
  if (!routers_.empty()) {
    PutDocument();
  }
  for (std::size_t i = 0; i < options_.routers; ++i) {
    if (!RunUntil([&] { return IsReady(i); }, kStartTimeout)) {
      throw std::runtime_error(fmt::format("router {} is not ready", i));
    }
  }
}

Fleet::~Fleet() = default;

std::unique_ptr<Process> Fleet::MakeStandin(
    const std::string& name,
    const std::vector<std::string>& arguments) {
  const auto log = dir_.filePath("standins.log").toStdString();
  auto process = std::make_unique<Process>(name, arguments, log);
  process->WaitListening();
  return process;
}

std::unique_ptr<Process> Fleet::MakeRelay(const Process& target) {
  return MakeStandin("standin_relay",
                     {"--target", fmt::format("127.0.0.1:{}", target.port())});
}

void Fleet::StartStandins() {
  store_ = MakeStandin("standin_store", {});
  hosts_ = MakeStandin("standin_hosts", {});
  for (std::size_t i = 0; i < options_.engines; ++i) {
    engines_.push_back(
        MakeStandin("standin_engine", options_.engine_arguments));
    engine_relays_.push_back(options_.relays ? MakeRelay(*engines_.back())
                                             : nullptr);
  }
  for (std::size_t i = 0; i < options_.services; ++i) {
    services_.push_back(
        MakeStandin("standin_service", options_.service_arguments));
  }
  for (std::size_t i = 0; i < options_.routers; ++i) {
    store_relays_.push_back(options_.relays ? MakeRelay(*store_) : nullptr);
  }
}

void Fleet::StartRouter(std::size_t i) {
  const auto& store = options_.relays ? store_relays_[i] : store_;
  const auto& ports = ports_[i];
  const auto settings = fmt::format(
      "[host]\nname = \"router-{}\"\nfailure_domain = \"domain-{}\"\n"
      "[caller]\naddress = \"127.0.0.1\"\nport = {}\n"
      "[admin]\naddress = \"127.0.0.1\"\nport = {}\ntoken = \"{}\"\n"
      "[peer]\naddress = \"127.0.0.1\"\nport = {}\n"
      "fleet_secret = \"process-test-fleet-secret\"\n"
      "[store]\nurl = \"http://127.0.0.1:{}\"\n"
      "[host_list]\nurl = \"http://127.0.0.1:{}\"\n",
      i, i % 3, ports.caller, ports.admin, kAdminToken, ports.peer,
      store->port(), hosts_->port());
  const auto name = dir_.filePath(QString("router-%1").arg(i)).toStdString();
  QFile file(QString::fromStdString(name + ".toml"));
  file.open(QIODevice::WriteOnly);
  file.write(QByteArray::fromStdString(settings));
  file.close();
  routers_[i] = std::make_unique<Process>(
      "crocuslatchd", std::vector<std::string>{"--settings", name + ".toml"},
      name + ".log");
}

void Fleet::RestartRouter(std::size_t i) {
  routers_[i].reset();
  StartRouter(i);
}

void Fleet::PublishHosts() {
  QJsonArray hosts;
  const auto add = [&](const char* kind, const char* name, std::size_t i,
                       std::uint16_t port) {
    hosts.append(
        QJsonObject{{"name", QString("%1-%2").arg(name).arg(i)},
                    {"kind", kind},
                    {"address", QString("127.0.0.1:%1").arg(port)},
                    {"failure_domain", QString("domain-%1").arg(i % 3)},
                    {"state", "live"}});
  };
  for (std::size_t i = 0; i < ports_.size(); ++i) {
    add("router", "router", i, ports_[i].peer);
  }
  for (std::size_t i = 0; i < engines_.size(); ++i) {
    const auto& relay = engine_relays_[i];
    add("backend", "engine", i, relay ? relay->port() : engines_[i]->port());
  }
  for (std::size_t i = 0; i < services_.size(); ++i) {
    add("backend", "service", i, services_[i]->port());
  }
  Control(*hosts_, {{"hosts", hosts}});
}

std::string Fleet::Document() const {
  std::string text =
      "[fleet]\nname = \"test\"\nledger_shards = 4\n"
      "[[rank]]\nname = \"urgent\"\nshare = 0.4\n"
      "[[rank]]\nname = \"normal\"\nshare = 0.3\n"
      "[[rank]]\nname = \"bulk\"\nfirst_token_ms = 60000\nshare = 0.1\n"
      "[[model]]\nname = \"model\"\nmax_tokens_per_byte = 1.0\n"
      "max_output_tokens = 4096\n"
      "[[service]]\nname = \"booking\"\nrepeatable = false\ncost = 5\n"
      "timeout_ms = 3000\n";
  for (const std::string it : kAccounts) {
    text += fmt::format(
        "[[client_account]]\nname = \"{0}\"\ndefault_rank = \"normal\"\n"
        "[[budget]]\nname = \"{0}-main\"\nclient_account = \"{0}\"\n"
        "prepaid = {1}\n[[api_key]]\nsha256 = \"{2}\"\n"
        "client_account = \"{0}\"\nbudget = \"{0}-main\"\n",
        it, options_.prepaid, Sha256(ApiKey(it)));
  }
  const auto add = [&](const char* name, std::size_t i, std::uint16_t port,
                       const char* target) {
    text += fmt::format(
        "[[backend_server]]\nname = \"{}-{}\"\naddress = \"127.0.0.1:{}\"\n"
        "failure_domain = \"domain-{}\"\n{}\nslots = 8\n",
        name, i, port, i % 3, target);
  };
  for (std::size_t i = 0; i < engines_.size(); ++i) {
    const auto& relay = engine_relays_[i];
    add("engine", i, relay ? relay->port() : engines_[i]->port(),
        "model = \"model\"");
  }
  for (std::size_t i = 0; i < services_.size(); ++i) {
    add("service", i, services_[i]->port(), "service = \"booking\"");
  }
  return text;
}

void Fleet::PutDocument() {
  HttpAnswer answer;
  const auto put = [&] {
    answer = Exchange(
        {.method = "PUT",
         .url = Url(ports_[0].admin, "/admin/v1/document"),
         .headers = {{"Authorization", fmt::format("Bearer {}", kAdminToken)},
                     {"If-Version", "0"},
                     {"Content-Type", "application/toml"}},
         .body = Document()});
    return answer.status == 200;
  };
  if (!RunUntil(put, kStartTimeout)) {
    throw std::runtime_error(fmt::format("document not accepted: {} {}",
                                         answer.status, answer.body));
  }
}

bool Fleet::IsReady(std::size_t i) {
  return Exchange({.method = "GET", .url = Url(ports_[i].admin, "/readyz")})
             .status == 200;
}

HttpAnswer Fleet::Exchange(const HttpRequest& request) {
  const auto answer = std::make_shared<HttpAnswer>();
  const auto done = std::make_shared<bool>(false);
  auto call =
      client_.SendWhole(request, [answer, done](HttpEnd end, int status,
                                                const HttpHeaders& headers,
                                                const std::string& body) {
        *answer = {end, status, headers, body};
        *done = true;
      });
  if (!RunUntil([&] { return *done; }, kAnswerTimeout)) {
    call.Cancel();
  }
  return *answer;
}

void Fleet::Control(const Process& standin, const QJsonObject& changes) {
  const auto url = Url(standin.control_port(), "/control");
  if (Exchange({.method = "POST", .url = url, .body = ToText(changes)})
          .status != 200) {
    throw std::runtime_error("a stand-in did not take its control message");
  }
}

QJsonObject Fleet::Stats(const Process& standin) {
  return ParseObject(
      Exchange({.method = "GET", .url = Url(standin.control_port(), "/stats")})
          .body);
}

void Fleet::SetHostState(const std::string& name, const std::string& state) {
  Control(*hosts_,
          {{"set", QJsonObject{{"name", QString::fromStdString(name)},
                               {"state", QString::fromStdString(state)}}}});
}

std::shared_ptr<const Transcript> Fleet::Start(const Call& call) {
  const auto caller = std::make_shared<Caller>();
  caller->call = call;
  caller->fleet = this;
  caller->router = call.router;
  caller->transcript->started = loop_.now();
  caller->Send();
  return caller->transcript;
}

std::shared_ptr<const Transcript> Fleet::Run(const Call& call) {
  auto transcript = Start(call);
  RunUntil([&] { return transcript->end != Transcript::End::kRunning; },
           call.time_limit);
  return transcript;
}

Tokens Fleet::EngineCount(const std::string& user, const char* count) {
  Tokens sum = 0;
  for (const auto& it : engines_) {
    const auto users = Stats(*it)["users"].toObject();
    sum += users[QString::fromStdString(user)].toObject()[count].toInteger();
  }
  return sum;
}

std::int64_t Fleet::OrderRuns(const std::string& key) {
  std::int64_t sum = 0;
  for (const auto& it : services_) {
    const auto keys = Stats(*it)["keys"].toObject();
    sum += keys[QString::fromStdString(key)].toObject()["runs"].toInteger();
  }
  return sum;
}

QJsonObject Fleet::Admin(std::size_t router, const std::string& path) {
  return ParseObject(
      Exchange({.method = "GET",
                .url = Url(ports_[router].admin, path),
                .headers = {{"Authorization",
                             fmt::format("Bearer {}", kAdminToken)}}})
          .body);
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
