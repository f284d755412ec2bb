#include "src/order_request.h"

#include <catch2/catch.hpp>

#include "tests/request_fixture.h"

namespace crocuslatch {
namespace {

// A booking service that counts its runs.
struct OrderFixture : RequestFixture {
  int runs = 0;
  std::string answer = "{\"order\":1}";
  // If set, handles the requests instead.
  HttpHandler fault;

  OrderFixture() {
    AddBackend(
        [this](const IncomingRequest& request, HttpReply reply) {
          if (fault) {
            fault(request, reply);
            return;
          }
          ++runs;
          reply.SendResponse(201, {{"Content-Type", "application/json"}},
                             answer);
        },
        true);
    Start();
  }

  bool WaitUntilSettled() {
    return RunUntil([this] { return context.claims->pending_writes() == 0; });
  }

  Tokens OpenCharges() { return shard.budgets["one-main"].open_charges; }
};

void Decline(const IncomingRequest&, HttpReply reply) {
  reply.SendResponse(503, {{"X-Not-Run", "1"}}, "");
}

}  // namespace

// Guards against a second run of an order that the caller retries.
TEST_CASE("a retry of a finished order gets the stored answer") {
  OrderFixture fixture;
  const auto first = fixture.Order("k");
  REQUIRE(fixture.WaitUntilSettled());
  const auto second = fixture.Order("k");
  CHECK(first.status == 201);
  CHECK(second.status == 201);
  CHECK(second.body == first.body);
  CHECK(FindHeader(second.headers, "X-Stored-Answer") == "1");
  CHECK(fixture.runs == 1);
  CHECK(fixture.BilledOrders() == 10);
  CHECK(fixture.OpenCharges() == 0);
}

// Guards against large answers in the ledger.
TEST_CASE("a large answer is replaced by a note in the ledger") {
  OrderFixture fixture;
  fixture.answer = std::string(5000, 'x');
  CHECK(fixture.Order("k").body == fixture.answer);
  REQUIRE(fixture.WaitUntilSettled());
  const auto second = fixture.Order("k");
  CHECK(second.status == 201);
  CHECK_THAT(second.body, Catch::Contains("5000 bytes"));
}

// Guards against an order that can never run because the service once declined
// it.
TEST_CASE("an order that the service declined can run on a retry") {
  OrderFixture fixture;
  fixture.fault = Decline;
  const auto first = fixture.Order("k");
  CHECK(first.Error("outcome") == "not_run");
  REQUIRE(fixture.WaitUntilSettled());
  CHECK(fixture.OpenCharges() == 0);
  fixture.fault = nullptr;
  CHECK(fixture.Order("k").status == 201);
  CHECK(fixture.runs == 1);
}

// Guards against reporting an unknown outcome for an order that no server
// received.
TEST_CASE("an order whose connection was refused did not run") {
  RequestFixture fixture;
  fixture.AddAddress(1, "booking");
  fixture.Start();
  const auto result = fixture.Order("k");
  CHECK(result.Error("outcome") == "not_run");
  RunUntil([&] { return fixture.context.claims->pending_writes() == 0; });
  CHECK(fixture.shard.budgets["one-main"].open_charges == 0);
  CHECK(fixture.BilledOrders() == 0);
}

// Guards against a second run of an order whose answer was lost.
TEST_CASE("an order without an answer is never run again") {
  OrderFixture fixture;
  const auto closes_connection = GENERATE(true, false);
  fixture.fault = [&](const IncomingRequest&, HttpReply reply) {
    ++fixture.runs;
    if (closes_connection) {
      reply.Abort();
    }
  };
  CHECK(fixture.Order("k").Error("outcome") == "outcome_unknown");
  REQUIRE(fixture.WaitUntilSettled());
  fixture.fault = nullptr;
  CHECK(fixture.Order("k").Error("outcome") == "outcome_unknown");
  CHECK(fixture.runs == 1);
  CHECK(fixture.BilledOrders() == 10);
}

// Guards against a dispatch whose claim may not be durable.
TEST_CASE("an order with an unconfirmed claim is not dispatched") {
  OrderFixture fixture;
  fixture.ledger = GENERATE(RequestFixture::Ledger::kLosesReplies,
                            RequestFixture::Ledger::kDown);
  // Either the binding of the key fails or the claim that follows it. Only a
  // claim that was sent has to be abandoned.
  const auto successful_bindings = GENERATE(0, 1);
  fixture.successful_ledger_calls = successful_bindings;
  const auto first = fixture.Order("k");
  CHECK(first.Error("code") == "claim_unconfirmed");
  CHECK(first.Error("outcome") == "not_run");
  CHECK(fixture.context.claims->pending_writes() ==
        static_cast<std::size_t>(successful_bindings));
  fixture.ledger = RequestFixture::Ledger::kWorks;
  REQUIRE(fixture.WaitUntilSettled());
  CHECK(fixture.runs == 0);
  CHECK(fixture.OpenCharges() == 0);
  CHECK(fixture.Order("k").status == 201);
}

// Guards against a dispatch after the deadline of the caller.
TEST_CASE("an order whose claim is confirmed after its deadline is abandoned") {
  OrderFixture fixture;
  fixture.ledger_delay = Millis{200};
  const auto result = fixture.Call(
      fixture.MakeCall("/v1/services/booking/orders", "{}",
                       {{"Idempotency-Key", "k"}, {"X-Deadline-Ms", "100"}}));
  CHECK(result.Error("outcome") == "not_run");
  REQUIRE(fixture.WaitUntilSettled());
  CHECK(fixture.runs == 0);
  CHECK(fixture.OpenCharges() == 0);
}

// Guards against a caller that leaves and is counted as a missed time limit.
TEST_CASE("an order whose caller leaves during its claim is abandoned") {
  OrderFixture fixture;
  fixture.ledger_delay = Millis{100};
  auto call = fixture.caller_client.Send(
      fixture.MakeCall("/v1/services/booking/orders", "{}",
                       {{"Idempotency-Key", "k"}}),
      {});
  RunFor(Millis{150});
  call.Cancel();
  REQUIRE(fixture.WaitUntilSettled());
  RunFor(Millis{300});
  CHECK(fixture.runs == 0);
  CHECK(fixture.OpenCharges() == 0);
  const auto text = fixture.context.metrics->PrometheusText();
  CHECK(text.find("caller_left") != std::string::npos);
  CHECK(text.find("deadline_passed") == std::string::npos);
}

// Guards against a dispatch by a process that was paused for so long that other
// routers may already consider it gone.
TEST_CASE("an order whose process was paused after its claim is abandoned") {
  OrderFixture fixture;
  fixture.pause_after_claim = kMaxDispatchDelay + Millis{100};
  CHECK(fixture.Order("k").Error("outcome") == "not_run");
  fixture.pause_after_claim = Millis{0};
  REQUIRE(fixture.WaitUntilSettled());
  CHECK(fixture.runs == 0);
  CHECK(fixture.OpenCharges() == 0);
}

// Guards against two runs by two routers, and against a false "not run" for an
// order of a router that is gone.
TEST_CASE("a retry at another router finds the claim of the first router") {
  OrderFixture fixture;
  const auto other = fixture.MakeClaims("other");
  const auto digest = MakeRequestKey({"booking", "orders", "{}"});
  std::optional<ClaimStatus> status;
  other->Claim({.key = MakeRequestKey({"order", "one", "k"}),
                .digest = digest,
                .budget = "one-main",
                .cost = 10},
               [&](const ClaimResult& it) { status = it.status; });
  REQUIRE(RunUntil([&] { return status.has_value(); }));
  REQUIRE(status == ClaimStatus::kClaimed);
  CHECK(fixture.Order("k").Error("outcome") == "in_progress");
  fixture.gone_hosts = {"other"};
  CHECK(fixture.Order("k").Error("outcome") == "outcome_unknown");
  CHECK(fixture.Order("k", "[]").Error("code") == "idempotency_key_reused");
  CHECK(fixture.runs == 0);
}

// Guards against the outcome "not run" for an order that ran, reported because
// the service takes no work at the moment.
TEST_CASE("a refused retry reports the outcome of the earlier attempt") {
  OrderFixture fixture;
  CHECK(fixture.Order("k").status == 201);
  REQUIRE(fixture.WaitUntilSettled());
  fixture.context.backends->SetLeavingHosts({"server-0"});
  CHECK(fixture.Order("k").status == 201);
  const auto other = fixture.Order("new");
  CHECK(other.Error("code") == "no_backend_server");
  CHECK(other.Error("outcome") == "not_run");
  REQUIRE(fixture.WaitUntilSettled());
  CHECK(fixture.runs == 1);
  CHECK(fixture.OpenCharges() == 0);
}

// Guards against a second run of an order whose retry names another budget and
// so looks for the claim in another shard.
TEST_CASE("a retry with another budget does not run the order again") {
  OrderFixture fixture;
  CHECK(fixture.Order("k").status == 201);
  const bool has_ended = GENERATE(true, false);
  if (has_ended) {
    REQUIRE(fixture.WaitUntilSettled());
  }
  const auto second = fixture.OrderFrom("one-side", "k");
  CHECK(second.Error("code") == "idempotency_key_bound");
  CHECK(second.Error("outcome") == "outcome_unknown");
  CHECK_THAT(second.Error("remedy"), Catch::Contains("X-Budget"));
  CHECK(fixture.OrderFrom("one-main", "k").status == 201);
  CHECK(fixture.runs == 1);
}

// Guards against the outcome "not run" for an order that this router
// dispatched, reported because the end of the order cannot be written.
TEST_CASE("a router remembers its own orders during an outage of the store") {
  OrderFixture fixture;
  const auto sends_answer = GENERATE(true, false);
  fixture.fault = [&](const IncomingRequest&, HttpReply reply) {
    ++fixture.runs;
    fixture.ledger = RequestFixture::Ledger::kDown;
    if (sends_answer) {
      reply.SendResponse(201, {}, "done");
    } else {
      reply.Abort();
    }
  };
  fixture.Order("k");
  REQUIRE(fixture.runs == 1);
  const auto second = fixture.Order("k");
  if (sends_answer) {
    CHECK(second.status == 201);
    CHECK(second.body == "done");
  } else {
    CHECK(second.Error("outcome") == "outcome_unknown");
  }
  CHECK(fixture.Order("k", "[]").Error("code") == "idempotency_key_reused");
  CHECK(fixture.runs == 1);
}

// Guards against calls of repeatable services that are not billed, and against
// a missing retry that is allowed.
TEST_CASE("a repeatable call is retried at another server and billed once") {
  RequestFixture fixture;
  int calls = 0;
  for (int i = 0; i < 2; ++i) {
    fixture.AddBackend(
        [&calls](const IncomingRequest&, HttpReply reply) {
          if (++calls == 1) {
            reply.Abort();
          } else {
            reply.SendResponse(200, {}, "ok");
          }
        },
        true);
    fixture.document.backend_servers.back().service = "lookup";
  }
  fixture.Start();
  const auto result =
      fixture.Call(fixture.MakeCall("/v1/services/lookup/a/b", "{}", {}));
  CHECK(result.status == 200);
  CHECK(result.body == "ok");
  CHECK(calls == 2);
  REQUIRE(fixture.bills.size() == 1);
  CHECK(fixture.bills[0].amount == 3);
  CHECK(fixture.reserved == 0);
}

}  // namespace crocuslatch
