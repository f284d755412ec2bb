#include "app/forwarding.h"

#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

#include "tests/forwarding_fixture.h"

namespace crocuslatch {
namespace {

using Fixture = ForwardingFixture;

}  // namespace

// Guards against a target or body that is altered on the way, and against
// caller headers that only the router may set.
TEST_CASE("a request is forwarded unchanged with the router's headers added") {
  Fixture it;
  auto request = it.Request("POST", "/order/a%2Fb//c/../d%41?x=%7e+%20");
  request.headers.push_back({"Crocuslatch-Tenant", "other"});
  request.headers.push_back({"Crocuslatch-Cache-Hold", "1"});
  request.headers.push_back({"X-Own", "kept"});
  const auto answer = it.SendAndWait(request);
  CHECK(answer.status == 200);
  CHECK(answer.body == "done");
  CHECK(FindHeader(answer.headers, "Crocuslatch-Replica-Seal") == "s");
  REQUIRE(it.received.size() == 1);
  const auto& got = it.received[0];
  CHECK(got.target == "/order/a%2Fb//c/../d%41?x=%7e+%20");
  CHECK(got.body == "bread");
  CHECK(FindHeader(got.headers, "Crocuslatch-Tenant") == "acme");
  CHECK(FindHeader(got.headers, "Crocuslatch-Cache-Hold").empty());
  CHECK(FindHeader(got.headers, "Authorization").empty());
  CHECK(FindHeader(got.headers, "X-Own") == "kept");
  CHECK(
      FindHeader(got.headers, "Crocuslatch-Expect-Replica").starts_with("i-"));
  const auto left = std::stoi(
      std::string(FindHeader(got.headers, "Crocuslatch-Request-Deadline")));
  CHECK(left <= 2000);
  CHECK(left > 1500);
}

// Guards against running an order twice, and against reporting "not run"
// although the server received the order.
TEST_CASE("after a broken connection only repeatable requests are retried") {
  const auto [target, dispatches, status] =
      GENERATE(table<std::string, std::size_t, int>(
          {{"/order/1", 1, 502}, {"/safe/1", 2, 200}}));
  Fixture it;
  it.respond = [&](const IncomingRequest&, HttpReply reply) {
    if (it.received.size() == 1) {
      reply.Abort();
    } else {
      reply.SendResponse(200, Fixture::Sealed(), "done");
    }
  };
  CHECK(it.SendAndWait(it.Request("POST", target)).status == status);
  CHECK(it.received.size() == dispatches);
}

// Guards against losing an order that a server says it did not execute.
TEST_CASE(
    "a request that a server did not execute is retried on another server") {
  Fixture it;
  it.respond = [&](const IncomingRequest&, HttpReply reply) {
    if (it.received.size() == 1) {
      reply.SendResponse(
          503,
          {{"Crocuslatch-Request-Id", "r1"}, {"Crocuslatch-Not-Executed", "1"}},
          "");
    } else {
      reply.SendResponse(200, Fixture::Sealed(), "done");
    }
  };
  CHECK(it.SendAndWait(it.Request("POST", "/order/1")).status == 200);
  REQUIRE(it.received.size() == 2);
  CHECK(FindHeader(it.received[0].headers, "Crocuslatch-Expect-Replica") !=
        FindHeader(it.received[1].headers, "Crocuslatch-Expect-Replica"));
}

// Guards against accepting a success response that the server did not seal or
// that belongs to another request.
TEST_CASE("a response without a seal or for another request is not a success") {
  const HttpHeaders headers =
      GENERATE(HttpHeaders{{"Crocuslatch-Request-Id", "r1"}},
               HttpHeaders{{"Crocuslatch-Request-Id", "r0"},
                           {"Crocuslatch-Replica-Seal", "s"}});
  Fixture it;
  it.respond = [&](const IncomingRequest&, HttpReply reply) {
    reply.SendResponse(200, headers, "forged");
    reply.CloseAfterResponse();
  };
  auto request = it.Request("POST", "/order/1");
  request.headers.push_back({"Crocuslatch-Request-Deadline", "400"});
  const auto answer = it.SendAndWait(request);
  CHECK((answer.status == 502 || answer.status == 504));
  CHECK(answer.body.find("forged") == std::string::npos);
}

TEST_CASE("unknown routes and API keys are refused without a dispatch") {
  Fixture it;
  CHECK(it.SendAndWait(it.Request("GET", "/none/")).status == 404);
  auto request = it.Request("GET", "/safe/1");
  request.headers[2].second = "Bearer wrong";
  CHECK(it.SendAndWait(request).status == 401);
  it.table = nullptr;
  CHECK(it.SendAndWait(it.Request("GET", "/safe/1")).status == 503);
  CHECK(it.received.empty());
}

// Guards against holding a request beyond its time limit, and against 503 for a
// request that may have run.
TEST_CASE("a request ends at its time limit") {
  Fixture it;
  it.respond = [](const IncomingRequest&, const HttpReply&) {};
  auto request = it.Request("POST", "/order/1");
  request.headers.push_back({"Crocuslatch-Request-Deadline", "200"});
  const Millis begin = it.context->loop.now();
  CHECK(it.SendAndWait(request).status == 504);
  const Millis took = it.context->loop.now() - begin;
  CHECK(took >= Millis{190});
  CHECK(took < Millis{700});
}

TEST_CASE("a request that exceeds its budget is refused without a dispatch") {
  const auto [answer, status] =
      GENERATE(table<ReserveStatus, int>({{ReserveStatus::kInsufficient, 402},
                                          {ReserveStatus::kHeldElsewhere, 503},
                                          {ReserveStatus::kUnavailable, 503}}));
  Fixture it;
  it.charges.answer = answer;
  const auto got = it.SendAndWait(it.Request("POST", "/stream/1"));
  CHECK(got.status == status);
  CHECK(it.received.empty());
  CHECK(it.charges.used == 0);
  if (status == 503) {
    // The caller must learn when to retry.
    CHECK_FALSE(FindHeader(got.headers, "Retry-After").empty());
  }
}

// Guards against charging tokens that the caller did not receive.
TEST_CASE("a stream is charged for its prompt and its delivered events") {
  Fixture it;
  it.respond = [](const IncomingRequest&, HttpReply reply) {
    auto headers = Fixture::Sealed();
    headers.push_back({"Content-Type", "text/event-stream"});
    reply.StartStream(200, headers);
    for (int i = 1; i <= 3; ++i) {
      reply.Write(fmt::format("id: {}\ndata: x\n\n", i));
    }
    reply.EndStream();
  };
  const auto answer = it.SendAndWait(it.Request("POST", "/stream/1"));
  CHECK(answer.body ==
        "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n");
  REQUIRE(RunUntil([&] { return it.charges.settlements == 1; }));
  CHECK(it.charges.reserved == 1080);
  CHECK(it.charges.used == 1000 + 3 * 4);
}

// Guards against draining a budget by requests that never ran.
TEST_CASE("a caller that disconnects before the response is charged nothing") {
  Fixture it;
  bool has_left = false;
  it.respond = [&](const IncomingRequest&, HttpReply reply) {
    reply.OnDisconnect([&] { has_left = true; });
  };
  auto call = it.caller.Send(it.Request("POST", "/stream/1"), {});
  REQUIRE(RunUntil([&] { return it.received.size() == 1; }));
  call.Cancel();
  REQUIRE(RunUntil([&] { return it.charges.settlements == 1; }));
  CHECK(it.charges.used == 0);
  // The request to the server was cancelled.
  CHECK(has_left);
}

// Guards against refusing a request that no server has received. Servers that
// crash keep their registry entries for a while, and routes with max_attempts =
// 1 refused 74 requests in one day after a failed connection.
TEST_CASE("a request that no server has received is sent to another server") {
  Fixture it;
  auto state = it.table->state();
  state.routes[1].max_attempts = 1;
  it.table = std::make_shared<RoutingTable>(state);
  RetryBudget none({.ratio = 0, .slack = 0});
  it.context->retry_budget = &none;
  // Nothing listens on port 1.
  std::vector<BackendEntry> entries;
  for (const auto* id : {"i-1", "i-2", "i-3"}) {
    entries.push_back({.id = id,
                       .service = "s",
                       .address = "127.0.0.1:1",
                       .failure_domain = "a",
                       .slots = 8});
  }
  entries.push_back({.id = "i-4",
                     .service = "s",
                     .address = fmt::format("127.0.0.1:{}", it.server.port()),
                     .failure_domain = "far",
                     .slots = 8});
  it.placement.SetServers(entries, Millis{0});
  CHECK(it.SendAndWait(it.Request("POST", "/order/1")).status == 200);
  CHECK(it.received.size() == 1);
}

// Guards against a request that tries unreachable servers until its time limit.
TEST_CASE("a request is refused as not run if no server is reachable") {
  Fixture it;
  std::vector<BackendEntry> entries;
  entries.reserve(12);
  for (int i = 0; i < 12; ++i) {
    entries.push_back({.id = fmt::format("i-{}", i),
                       .service = "s",
                       .address = "127.0.0.1:1",
                       .failure_domain = "a",
                       .slots = 8});
  }
  it.placement.SetServers(entries, Millis{0});
  const auto answer = it.SendAndWait(it.Request("POST", "/order/1"));
  CHECK(answer.status == 503);
  CHECK_FALSE(FindHeader(answer.headers, "Retry-After").empty());
  int tried = 0;
  for (const auto& view : it.placement.View(MakeQtEventLoop().now())) {
    tried += view.is_avoided ? 1 : 0;
  }
  CHECK(tried == 4);
}

// Guards against a request to a server that began to drain while the connection
// to it was established (DRAIN).
TEST_CASE("a server that drains before the connection is up gets no request") {
  Fixture it;
  std::vector<BackendEntry> entries;
  for (const auto& view : it.placement.View(Millis{0})) {
    entries.push_back(view.entry);
  }
  std::string draining;
  it.placement.OnLoadChange([&] {
    const auto loads = it.placement.View(Millis{0});
    const auto busy = std::ranges::find_if(
        loads, [](const auto& view) { return view.in_flight > 0; });
    if (!draining.empty() || busy == loads.end()) {
      return;
    }
    draining = busy->entry.id;
    for (auto& entry : entries) {
      entry.is_draining = entry.id == draining;
    }
    it.placement.SetServers(entries, Millis{0});
  });
  CHECK(it.SendAndWait(it.Request("POST", "/order/1")).status == 200);
  REQUIRE(it.received.size() == 1);
  CHECK(FindHeader(it.received[0].headers, "Crocuslatch-Expect-Replica") !=
        draining);
}

// Guards against a request that waits or is lost when only cold servers are
// left, and against callers that return before one may be used.
TEST_CASE("a request is refused at once if all servers are cold and in use") {
  Fixture it;
  std::map<std::string, Millis> cold;
  it.context->on_cold_remaining = [&](const auto& server, Millis remaining) {
    cold[server] = remaining;
  };
  it.context->cold_retry_after = [](const auto&) { return Millis{400}; };
  it.placement.SetMayPlace([&](const BackendEntry& entry, Millis) {
    return !cold.contains(entry.id);
  });
  it.respond = [](const IncomingRequest&, HttpReply reply) {
    auto headers = Fixture::Sealed();
    headers.push_back({"Crocuslatch-Cold-Remaining", "1500"});
    reply.SendResponse(200, headers, "done");
  };
  // A server that states that it is cold is known to be.
  CHECK(it.SendAndWait(it.Request("POST", "/order/1")).status == 200);
  CHECK(it.SendAndWait(it.Request("POST", "/order/1")).status == 200);
  REQUIRE(cold.size() == 2);
  CHECK(cold.begin()->second == Millis{1500});
  const auto answer = it.SendAndWait(it.Request("POST", "/order/1"));
  CHECK(answer.status == 503);
  CHECK(answer.body.find("servers_cold") != std::string::npos);
  CHECK(answer.body.find("not_run") != std::string::npos);
  CHECK(FindHeader(answer.headers, "Retry-After") == "0.400");
  CHECK(it.received.size() == 2);
}

// Guards against sending a prompt on that crashes servers (BUDGET), against an
// answer that says "not run" after the last crash, and against refusing others.
TEST_CASE("a prompt that crashed three servers is refused without being sent") {
  Fixture it;
  Store store;
  store.put = [](const auto&, const auto&, auto, const auto&) {};
  PromptQuarantine quarantine(
      {.prefix = "crashes/", .own_host = "h", .incarnation = "h/1"}, store,
      it.context->loop,
      {.probe = [](const auto&, const auto& callback) { callback(true); },
       .wall_now = [] { return Millis{0}; }});
  it.context->quarantine = &quarantine;
  const auto request = [&](const std::string& parts) {
    auto all = it.Request("POST", "/stream/1");
    for (auto& [name, value] : all.headers) {
      value = name == "Crocuslatch-Prompt-Prefix" ? parts : value;
    }
    return all;
  };
  // The server breaks the connection between the head and the first event.
  it.respond = [](const IncomingRequest& got, HttpReply reply) {
    const auto parts = FindHeader(got.headers, "Crocuslatch-Prompt-Prefix");
    reply.StartStream(200, Fixture::Sealed());
    if (parts.starts_with("dead")) {
      RunFor(Millis{20});
      reply.Abort();
    } else {
      reply.Write("id: 1\ndata: x\n\n");
      reply.EndStream();
    }
  };
  const auto window = CrashEvidenceOptions{}.common_cause_window;
  for (int crash = 0; crash < 3; ++crash) {
    it.placement.SetServers(it.Entries(fmt::format("-{}", crash)), Millis{0});
    CHECK(it.SendAndWait(request("dead:800,own:200")).status == 502);
    RunFor(window + Millis{20});
  }
  REQUIRE(it.received.size() == 3);
  const auto refused = it.SendAndWait(request("dead:800,other:200"));
  CHECK(refused.status == 503);
  CHECK(refused.body.find("prompt_quarantined") != std::string::npos);
  CHECK_FALSE(FindHeader(refused.headers, "Retry-After").empty());
  CHECK(it.received.size() == 3);
  CHECK(it.charges.reserved == 3 * Tokens{1080});
  CHECK(it.SendAndWait(request("a:800,own:200")).status == 200);
}

// Guards against a request that ends the process or opens a budget by the size
// that it states (review/3). Clients state the largest 64-bit number to say
// that they set no limit.
TEST_CASE(
    "a request of any stated size is refused like one that is too large") {
  const std::string counts = GENERATE(
      "1,9223372036854775807", "9223372036854775807,9223372036854775807",
      "1460,9223372036854774347", "1,18446744073709551615",
      "1,99999999999999999999999999");
  const std::string parts =
      GENERATE("a:1,b:1", "a:9223372036854775807,b:9223372036854775807,c:1",
               "a:99999999999999999999,b:9223372036854775807,c:1");
  Fixture it;
  std::vector<Tokens> asked;
  it.context->reserve = [&](const auto&, Tokens amount, Millis,
                            const auto& callback) {
    asked.push_back(amount);
    callback(ReserveStatus::kInsufficient);
  };
  auto request = it.Request("POST", "/stream/1");
  const auto set = [&](const std::string& name, const std::string& value) {
    std::ranges::find(request.headers, name, [](auto& h) {
      return h.first;
    })->second = value;
  };
  set("Crocuslatch-Token-Counts", counts);
  set("Crocuslatch-Prompt-Prefix", parts);
  request.headers.push_back({"Crocuslatch-Length-Hint", "9223372036854775807"});
  request.headers.push_back(
      {"Crocuslatch-Request-Deadline", "9999999999999999999999"});
  CHECK(it.SendAndWait(request).status == 402);
  REQUIRE(asked.size() == 1);
  CHECK(asked[0] > 1'000'000);
  // Without a budget, the request reaches a server with its own counts.
  auto state = it.table->state();
  state.client_accounts[0].prepaid.reset();
  it.table = std::make_shared<RoutingTable>(state);
  it.respond = [](const IncomingRequest&, HttpReply reply) {
    reply.SendResponse(200, Fixture::Sealed(), "id: 1\ndata: x\n\n");
  };
  CHECK(it.SendAndWait(request).status == 200);
  REQUIRE(it.received.size() == 1);
  CHECK(FindHeader(it.received[0].headers, "Crocuslatch-Token-Counts") ==
        counts);
}

// Guards against an error for a sign or text in the place of a count.
TEST_CASE("counts that are no numbers are refused as malformed") {
  const std::string counts =
      GENERATE("-1,5", "1,-99999999999999999999", "1", "1,2,3", "a,b", "1,2x");
  Fixture it;
  auto request = it.Request("POST", "/stream/1");
  std::ranges::find(request.headers, "Crocuslatch-Token-Counts", [](auto& h) {
    return h.first;
  })->second = counts;
  CHECK(it.SendAndWait(request).status == 400);
  CHECK(it.received.empty());
}

// Guards against "not run" for an order that a server has, and against a stream
// that looks complete because its host stopped.
TEST_CASE("a request that a planned stop ends gets a true answer") {
  struct Case {
    std::string target;
    bool is_reserved;
    HttpResult end;
    int status;
    std::string outcome;
  };
  const auto expected = GENERATE(values<Case>(
      {{"/order/1", false, HttpResult::kComplete, 503, "not_run"},
       {"/order/1", true, HttpResult::kComplete, 502, "outcome_unknown"},
       {"/stream/1", true, HttpResult::kBroken, 200, "id: 1"}}));
  Fixture it;
  OpenRequests open_requests;
  it.context->open_requests = &open_requests;
  bool has_begun = false;
  std::optional<HttpReply> server_reply;
  std::function<void(ReserveStatus)> on_reserved;
  it.context->reserve = [&](const auto&, Tokens, Millis, const auto& callback) {
    on_reserved = callback;
    has_begun = !expected.is_reserved;
    if (expected.is_reserved) {
      on_reserved(ReserveStatus::kReserved);
    }
  };
  it.respond = [&](const IncomingRequest& request, const HttpReply& reply) {
    server_reply = reply;
    has_begun = true;
    if (request.path.starts_with("/stream/")) {
      server_reply->StartStream(200, Fixture::Sealed());
      server_reply->Write("id: 1\ndata: x\n\n");
    }
  };
  std::optional<HttpResult> end;
  int status = 0;
  std::string body;
  it.caller.Send(
      it.Request("POST", expected.target),
      {.on_headers = [&](int head, const HttpHeaders&) { status = head; },
       .on_data = [&](std::string_view bytes) { body += bytes; },
       .on_end = [&](HttpResult result) { end = result; }});
  REQUIRE(RunUntil([&] {
    return has_begun && (expected.target == "/order/1" || !body.empty());
  }));
  CHECK(open_requests.EndAll());
  REQUIRE(RunUntil([&] { return end.has_value(); }));
  CHECK(*end == expected.end);
  CHECK(status == expected.status);
  CHECK(body.find(expected.outcome) != std::string::npos);
  CHECK_FALSE(open_requests.EndAll());
}

}  // namespace crocuslatch
