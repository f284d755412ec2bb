#ifndef TESTS_REQUEST_FIXTURE_H_
#define TESTS_REQUEST_FIXTURE_H_

#include <fmt/format.h>

#include <QJsonDocument>
#include <QJsonObject>
#include <deque>
#include <random>
#include <thread>

#include "io/http_server.h"
#include "src/caller_api.h"
#include "src/document.h"
#include "src/sha256.h"
#include "src/shard_state.h"
#include "tests/run_until.h"

// Defines a router's request path on loopback: the callers' interface, small
// backend servers written by the test, and a ledger in memory.

namespace crocuslatch {

struct CallResult {
  HttpResult end = HttpResult::kBroken;
  int status = 0;
  HttpHeaders headers;
  std::string body;

  QJsonObject Json() const {
    return QJsonDocument::fromJson(QByteArray::fromStdString(body)).object();
  }
  std::string Error(const char* field) const {
    return Json()["error"].toObject()[QString(field)].toString().toStdString();
  }
};

struct RequestFixture {
  // What the ledger does with the next commands.
  enum class Ledger { kWorks, kLosesAnswers, kDown };

  EventLoop loop = MakeQtEventLoop();
  Document document;
  HttpClient backend_client;
  HttpClient caller_client;
  std::deque<HttpServer> backends;
  RequestContext context;
  std::unique_ptr<HttpServer> front;

  Ledger ledger = Ledger::kWorks;
  Millis ledger_delay{0};
  Millis pause_after_claim{0};
  // Calls that still work before `ledger` takes effect.
  int good_ledger_calls = 0;
  // The shard of "one-main", and the other ones.
  ShardState shard;
  std::map<std::uint32_t, ShardState> other_shards;
  std::set<std::string> gone_hosts;
  Tokens free_tokens = 1000;
  std::vector<Bill> bills;
  Tokens reserved = 0;
  std::mt19937_64 random{1};

  RequestFixture() {
    document.limits.stall_timeout = Millis{200};
    document.limits.default_deadline = Millis{3000};
    document.ranks = {{.name = "urgent", .first_token = Millis{200}},
                      {.name = "bulk", .first_token = Millis{200}}};
    document.client_accounts = {
        {.name = "one", .default_rank = "urgent"},
        {.name = "two", .default_rank = "bulk", .ranks = {"bulk"}}};
    document.api_keys = {{.sha256 = Sha256Hex("foo"),
                          .client_account = "one",
                          .budget = "one-main"},
                         {.sha256 = Sha256Hex("bar"),
                          .client_account = "two",
                          .budget = "two-main"}};
    document.budgets = {
        {.name = "one-main", .client_account = "one", .prepaid = 1000},
        {.name = "one-side", .client_account = "one", .prepaid = 1000},
        {.name = "two-main", .client_account = "two", .prepaid = 1000}};
    document.models = {{.name = "m", .max_output_tokens = 500}};
    document.services = {
        {.name = "booking", .cost = 10, .timeout = Millis{300}},
        {.name = "lookup", .repeatable = true, .cost = 3}};
  }

  void AddBackend(HttpHandler handler, bool is_service = false) {
    backends.emplace_back(HttpServerOptions{}, std::move(handler));
    AddAddress(backends.back().port(), is_service ? "booking" : "");
  }

  void AddAddress(std::uint16_t port, const std::string& service) {
    document.backend_servers.push_back(
        {.name = fmt::format("server-{}", document.backend_servers.size()),
         .address = fmt::format("127.0.0.1:{}", port),
         .model = service.empty() ? "m" : "",
         .service = service,
         .slots = 4});
  }

  void Start() {
    context.loop = loop;
    context.client = &backend_client;
    context.document = [present = std::make_shared<const Document>(document)]()
        -> std::shared_ptr<const Document> { return present; };
    context.scheduler =
        std::make_shared<Scheduler>(SchedulerOptions{}, loop.now);
    context.scheduler->SetRanks(document.ranks);
    context.backends = std::make_shared<BackendTable>(BackendTableOptions{},
                                                      "self", loop.now, 1);
    context.backends->SetDocument(document);
    context.metrics = std::make_shared<Metrics>();
    context.random = [this] { return random(); };
    context.reserve = [this](const std::string&, Tokens amount, Millis,
                             const std::function<void(ReserveStatus)>& done) {
      if (amount > free_tokens) {
        done(ReserveStatus::kInsufficient);
        return;
      }
      free_tokens -= amount;
      reserved += amount;
      done(ReserveStatus::kReserved);
    };
    context.settle = [this](const std::string&, Tokens amount,
                            const Bill& bill) {
      reserved -= amount;
      free_tokens += amount - bill.amount;
      if (bill.amount > 0) {
        bills.push_back(bill);
      }
    };
    context.is_holder_gone = [this](const HolderId& it) {
      return gone_hosts.contains(it.host);
    };
    context.claims = MakeClaims("self");
    front = std::make_unique<HttpServer>(HttpServerOptions{},
                                         MakeCallerApi(context));
  }

  std::shared_ptr<OrderClaims> MakeClaims(const std::string& host) {
    return std::make_shared<OrderClaims>(
        OrderClaimsOptions{.retry_delay = Millis{20}}, HolderId{host, 1}, loop,
        [this](std::uint32_t number, const std::vector<ShardCommand>& commands,
               Millis, const LedgerCallback& done) {
          ApplyAll(number, commands, done);
        },
        context.random,
        [this](const std::string& name) -> std::optional<Tokens> {
          const auto* budget = FindByName(document.budgets, name);
          return budget == nullptr ? std::nullopt
                                   : std::optional(budget->prepaid);
        });
  }

  ShardState& Shard(std::uint32_t number) {
    const auto home =
        ShardOfBudget("one-main", OrderClaimsOptions{}.shard_count);
    return number == home ? shard : other_shards[number];
  }

  void ApplyAll(std::uint32_t number,
                const std::vector<ShardCommand>& commands,
                const LedgerCallback& done) {
    const auto fault = good_ledger_calls > 0 ? Ledger::kWorks : ledger;
    good_ledger_calls = std::max(0, good_ledger_calls - 1);
    std::vector<ShardReply> replies;
    if (fault != Ledger::kDown) {
      for (const auto& it : commands) {
        replies.push_back(Apply(Shard(number), it, 1));
      }
    }
    const auto status = fault == Ledger::kWorks ? LedgerStatus::kDurable
                                                : LedgerStatus::kUnknown;
    loop.after(ledger_delay, [this, done, status, replies] {
      done(status, replies);
      // A pause of the process between the confirmation and what follows.
      std::this_thread::sleep_for(pause_after_claim);
    });
  }

  HttpRequest MakeCall(const std::string& path,
                       const std::string& body,
                       const HttpHeaders& headers) const {
    HttpHeaders all{{"Authorization", "Bearer foo"},
                    {"Content-Type", "application/json"}};
    all.insert(all.begin(), headers.begin(), headers.end());
    return {.method = "POST",
            .url = fmt::format("http://127.0.0.1:{}{}", front->port(), path),
            .headers = all,
            .body = body,
            .first_byte_timeout = Millis{9000},
            .stall_timeout = Millis{9000}};
  }

  CallResult Call(const HttpRequest& request) {
    std::optional<HttpResult> end;
    CallResult result;
    caller_client.Send(
        request, {.on_headers =
                      [&](int status, const HttpHeaders& headers) {
                        result.status = status;
                        result.headers = headers;
                      },
                  .on_data = [&](std::string_view it) { result.body += it; },
                  .on_end = [&](HttpResult it) { end = it; }});
    RunUntil([&] { return end.has_value(); });
    result.end = end.value_or(HttpResult::kTimedOut);
    return result;
  }

  CallResult Complete(const std::string& body,
                      const HttpHeaders& headers = {}) {
    return Call(MakeCall("/v1/completions", body, headers));
  }

  CallResult Order(const std::string& key, const std::string& body = "{}") {
    return Call(MakeCall("/v1/services/booking/orders", body,
                         {{"Idempotency-Key", key}}));
  }

  CallResult OrderFrom(const std::string& budget, const std::string& key) {
    return Call(MakeCall("/v1/services/booking/orders", "{}",
                         {{"Idempotency-Key", key}, {"X-Budget", budget}}));
  }

  Tokens BilledOrders() {
    return shard.budgets.contains("one-main") ? shard.budgets["one-main"].billed
                                              : 0;
  }
};

}  // namespace crocuslatch

#endif  // TESTS_REQUEST_FIXTURE_H_
