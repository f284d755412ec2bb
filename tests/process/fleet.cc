#include "tests/process/fleet.h"

#include <fmt/format.h>

#include <QCryptographicHash>
#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <algorithm>
#include <array>
#include <stdexcept>

namespace crocuslatch::test {

namespace {

constexpr Millis kStartTimeout{15000};
constexpr Millis kAnswerTimeout{5000};
constexpr const char* kAdminToken = "process-test-admin-token";
constexpr std::array kAccounts = {"small", "large"};

std::string Sha256(const std::string& text) {
  return QCryptographicHash::hash(QByteArray::fromStdString(text),
                                  QCryptographicHash::Sha256)
      .toHex()
      .toStdString();
}

}  // namespace

Fleet::Fleet(const FleetOptions& options) : options_(options) {
  dir_.setAutoRemove(!qEnvironmentVariableIsSet("CROCUSLATCH_KEEP_LOGS"));
  for (std::size_t i = 0; i < options_.routers; ++i) {
    ports_.push_back({FreePort(), FreePort(), FreePort()});
  }
  StartStandins();
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

std::unique_ptr<Process> Fleet::MakeRelay(std::uint16_t target) {
  return MakeStandin("standin_relay",
                     {"--target", fmt::format("127.0.0.1:{}", target)});
}

void Fleet::StartStandins() {
  store_ = MakeStandin("standin_store", {});
  hosts_ = MakeStandin("standin_hosts", {});
  for (std::size_t i = 0; i < options_.engines; ++i) {
    engines_.push_back(
        MakeStandin("standin_engine", options_.engine_arguments));
    engine_relays_.push_back(
        options_.relays ? MakeRelay(engines_.back()->port()) : nullptr);
  }
  for (std::size_t i = 0; i < options_.services; ++i) {
    services_.push_back(
        MakeStandin("standin_service", options_.service_arguments));
  }
  for (std::size_t i = 0; i < options_.routers; ++i) {
    store_relays_.push_back(options_.relays ? MakeRelay(store_->port())
                                            : nullptr);
    peer_relays_.push_back(options_.peer_relays ? MakeRelay(ports_[i].peer)
                                                : nullptr);
  }
}

void Fleet::StartRouter(std::size_t i, const std::string& caller_address) {
  const auto& store = options_.relays ? store_relays_[i] : store_;
  const auto& ports = ports_[i];
  const auto settings = fmt::format(
      "[host]\nname = \"router-{}\"\nfailure_domain = \"domain-{}\"\n"
      "[caller]\naddress = \"{}\"\nport = {}\n"
      "[admin]\naddress = \"127.0.0.1\"\nport = {}\ntoken = \"{}\"\n"
      "[peer]\naddress = \"127.0.0.1\"\nport = {}\n"
      "fleet_secret = \"process-test-fleet-secret\"\n"
      "[store]\nurl = \"http://127.0.0.1:{}\"\n"
      "[host_list]\nurl = \"http://127.0.0.1:{}\"\n",
      i, i % 3, caller_address, ports.caller, ports.admin, kAdminToken,
      ports.peer, store->port(), hosts_->port());
  const auto name = dir_.filePath(QString("router-%1").arg(i)).toStdString();
  QFile file(QString::fromStdString(name + ".toml"));
  file.open(QIODevice::WriteOnly);
  file.write(QByteArray::fromStdString(settings));
  file.close();
  routers_[i] = std::make_unique<Process>(
      "crocuslatchd", std::vector<std::string>{"--settings", name + ".toml"},
      name + ".log");
}

void Fleet::RestartRouter(std::size_t i, const std::string& caller_address) {
  routers_[i].reset();
  StartRouter(i, caller_address);
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
    const auto& relay = peer_relays_[i];
    add("router", "router", i, relay ? relay->port() : ports_[i].peer);
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

std::string Fleet::Document(Tokens prepaid) const {
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
        it, prepaid, Sha256(ApiKey(it)));
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
  HttpResponse answer;
  const auto put = [&] {
    answer = SendAndWait(
        {.method = "PUT",
         .url = Url(ports_[0].admin, "/admin/v1/document"),
         .headers = {{"Authorization", fmt::format("Bearer {}", kAdminToken)},
                     {"If-Version", "0"},
                     {"Content-Type", "application/toml"}},
         .body = Document(options_.prepaid)});
    return answer.status == 200;
  };
  if (!RunUntil(put, kStartTimeout)) {
    throw std::runtime_error(fmt::format("document not accepted: {} {}",
                                         answer.status, answer.body));
  }
}

bool Fleet::IsReady(std::size_t i) {
  return SendAndWait({.method = "GET", .url = Url(ports_[i].admin, "/readyz")})
             .status == 200;
}

HttpResponse Fleet::SendAndWait(const HttpRequest& request) {
  const auto answer = std::make_shared<HttpResponse>();
  const auto done = std::make_shared<bool>(false);
  auto call =
      client_.SendAndCollect(request, [answer, done](HttpResult end, int status,
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
  if (SendAndWait({.method = "POST", .url = url, .body = ToText(changes)})
          .status != 200) {
    throw std::runtime_error("a stand-in rejected a control message");
  }
}

QJsonObject Fleet::Stats(const Process& standin) {
  return ParseObject(SendAndWait({.method = "GET",
                                  .url = Url(standin.control_port(), "/stats")})
                         .body);
}

void Fleet::SetPartition(std::size_t i, bool is_cut) {
  const QJsonObject change{{"drop_new", is_cut}, {"cut", is_cut}};
  Control(*store_relays_.at(i), change);
  for (const auto& it : peer_relays_) {
    Control(*it, change);
  }
}

void Fleet::StartApply(std::size_t router,
                       Tokens prepaid,
                       std::uint64_t base_version,
                       std::shared_ptr<std::optional<int>> status) {
  client_.SendAndCollect(
      {.method = "PUT",
       .url = Url(ports_[router].admin, "/admin/v1/document"),
       .headers = {{"Authorization", fmt::format("Bearer {}", kAdminToken)},
                   {"If-Version", std::to_string(base_version)},
                   {"Content-Type", "application/toml"}},
       .body = Document(prepaid),
       .first_byte_timeout = Millis(20000)},
      [status = std::move(status)](HttpResult, int code, const auto&,
                                   const auto&) { *status = code; });
}

std::int64_t Fleet::ActiveVersion(std::size_t router) {
  return Admin(router, "/admin/v1/status")["document_version"].toInteger(-1);
}

void Fleet::SetHostState(const std::string& name, const std::string& state) {
  Control(*hosts_,
          {{"set", QJsonObject{{"name", QString::fromStdString(name)},
                               {"state", QString::fromStdString(state)}}}});
}

std::shared_ptr<const Transcript> Fleet::Start(const Call& call) {
  std::vector<std::uint16_t> ports;
  std::ranges::transform(ports_, std::back_inserter(ports), &Ports::caller);
  return StartCall(call, ports, &client_, loop_);
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
      SendAndWait({.method = "GET",
                   .url = Url(ports_[router].admin, path),
                   .headers = {{"Authorization",
                                fmt::format("Bearer {}", kAdminToken)}}})
          .body);
}

}  // namespace crocuslatch::test
