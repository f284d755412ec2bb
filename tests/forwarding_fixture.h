#ifndef TESTS_FORWARDING_FIXTURE_H_
#define TESTS_FORWARDING_FIXTURE_H_

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "app/forwarding.h"
#include "tests/run_until.h"

// Defines a fixture for the request path of `crocuslatchd front` on loopback.

namespace crocuslatch {

// Tokens that the account was charged.
struct AccountCharges {
  ReserveStatus answer = ReserveStatus::kReserved;
  Tokens reserved = 0;
  Tokens used = 0;
  int settlements = 0;
};

inline RoutingTablePointer MakeForwardingTable() {
  DesiredState state;
  state.version = 3;
  state.requires_api_keys = true;
  const auto route = [](const std::string& name, RouteKind kind) {
    return RouteSpec{.name = name,
                     .host = "h.example",
                     .prefix = "/" + name + "/",
                     .kind = kind,
                     .timeout = Millis{2000},
                     .shares = {{"s", 1}},
                     .max_attempts = 2};
  };
  state.routes = {route("safe", RouteKind::kSafe),
                  route("order", RouteKind::kUnsafe),
                  route("stream", RouteKind::kStreaming)};
  state.routes[2].has_prompts = true;
  state.services = {{.name = "s", .engine = EngineSpec{64, 100'000, 4}}};
  state.client_accounts = {{"acme", {"key"}, std::nullopt, 1'000'000}};
  return std::make_shared<RoutingTable>(state);
}

// A router's request path between a caller and two stand-in backend servers,
// which differ only in their ports.
struct ForwardingFixture {
  ForwardingFixture()
      : server({},
               [this](const IncomingRequest& request, HttpReply reply) {
                 received.push_back(request);
                 respond(request, std::move(reply));
               }),
        second({}, [this](const IncomingRequest& request, HttpReply reply) {
          received.push_back(request);
          respond(request, std::move(reply));
        }) {
    placement.SetServers(Entries(""), Millis{0});
    context->loop = MakeQtEventLoop();
    context->client = &client;
    context->placement = &placement;
    context->retry_budget = &retry_budget;
    context->metrics = &metrics;
    context->routing_table = [this] { return table; };
    context->random = [] { return 0.5; };
    context->reserve = [this](const auto&, Tokens amount, Millis,
                              const auto& callback) {
      charges.reserved += amount;
      callback(charges.answer);
    };
    context->reserve_at_home = [](const auto&, Tokens, const auto& callback) {
      callback({});
    };
    context->borrow = [](const auto&, Tokens, const auto& callback) {
      callback(std::nullopt);
    };
    context->budget_view = [](const auto&) { return BudgetView{}; };
    context->settle = [this](const auto&, Tokens, Tokens used) {
      ++charges.settlements;
      charges.used += used;
    };
    front = std::make_unique<HttpServer>(
        HttpServerOptions{},
        [this](const IncomingRequest& request, HttpReply reply) {
          ForwardRequest(context, request, std::move(reply));
        });
  }

  // The stand-ins' entries; the suffix distinguishes restarted servers.
  std::vector<BackendEntry> Entries(const std::string& suffix) const {
    const auto entry = [&](const std::string& id, const HttpServer& at) {
      return BackendEntry{.id = id + suffix,
                          .service = "s",
                          .address = fmt::format("127.0.0.1:{}", at.port()),
                          .failure_domain = "a",
                          .slots = 8};
    };
    return {entry("i-1", server), entry("i-2", second)};
  }

  HttpRequest Request(const std::string& method,
                      const std::string& target) const {
    return {.method = method,
            .url = fmt::format("http://127.0.0.1:{}{}", front->port(), target),
            .headers = {{"Host", "h.example"},
                        {"Crocuslatch-Request-Id", "r1"},
                        {"Authorization", "Bearer key"},
                        {"Crocuslatch-Model", "m"},
                        {"Crocuslatch-Token-Counts", "1000,80"},
                        {"Crocuslatch-Prompt-Prefix", "a:800,b:200"}},
            .body = method == "POST" ? "bread" : ""};
  }

  struct Answer {
    int status = 0;
    std::string body;
    HttpHeaders headers;
  };

  Answer SendAndWait(const HttpRequest& request) {
    std::optional<Answer> answer;
    caller.SendAndCollect(request,
                          [&](HttpResult, int status, const HttpHeaders& all,
                              const std::string& body) {
                            answer = Answer{status, body, all};
                          });
    REQUIRE(RunUntil([&] { return answer.has_value(); }));
    return *answer;
  }

  static HttpHeaders Sealed() {
    return {{"Crocuslatch-Request-Id", "r1"},
            {"Crocuslatch-Replica-Seal", "s"}};
  }

  RoutingTablePointer table = MakeForwardingTable();
  AccountCharges charges;
  std::vector<IncomingRequest> received;
  std::function<void(const IncomingRequest&, HttpReply)> respond =
      [](const IncomingRequest&, HttpReply reply) {
        reply.SendResponse(200, Sealed(), "done");
      };
  HttpServer server;
  HttpServer second;
  HttpClient client;
  HttpClient caller;
  Placement placement{{}, "a"};
  RetryBudget retry_budget{{.slack = 10}};
  Metrics metrics;
  std::shared_ptr<ForwardContext> context = std::make_shared<ForwardContext>();
  std::unique_ptr<HttpServer> front;
};

}  // namespace crocuslatch

#endif  // TESTS_FORWARDING_FIXTURE_H_
