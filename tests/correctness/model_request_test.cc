#include "src/model_request.h"

#include <QJsonArray>
#include <catch2/catch.hpp>

#include "tests/request_fixture.h"

namespace crocuslatch {
namespace {

constexpr auto kWhole = R"({"model":"m","prompt":"abc","max_tokens":5})";
constexpr auto kStreamed =
    R"({"model":"m","prompt":"abc","max_tokens":5,"stream":true})";

struct EngineRequest {
  std::string id;
  qint64 from = 0;
  qint64 tokens = 0;
};

EngineRequest ReadRequest(const IncomingRequest& request) {
  const auto json =
      QJsonDocument::fromJson(QByteArray::fromStdString(request.body));
  return {.id = json["request_id"].toString().toStdString(),
          .from = json["resume_from"].toInteger(),
          .tokens = json["max_tokens"].toInteger()};
}

void SendToken(HttpReply& reply, const std::string& id, qint64 index) {
  reply.Write(fmt::format(
      "data: {{\"request_id\":\"{}\",\"index\":{},\"text\":\"<{}>\"}}\n\n", id,
      index, index));
}

void SendUsage(HttpReply& reply, const std::string& id, qint64 completion) {
  reply.Write(
      fmt::format("data: {{\"request_id\":\"{}\",\"usage\":{{\"prompt_"
                  "tokens\":2,\"completion_tokens\":{}}}}}\n\n"
                  "data: [DONE]\n\n",
                  id, completion));
  reply.EndStream();
}

// Answers with tokens "<0>", "<1>" and so on.
void Answer(const IncomingRequest& request, HttpReply reply) {
  const auto it = ReadRequest(request);
  reply.StartStream(200, {{"Content-Type", "text/event-stream"}});
  for (auto i = it.from; i < it.tokens; ++i) {
    SendToken(reply, it.id, i);
  }
  SendUsage(reply, it.id, it.tokens);
}

// Sends two tokens, then does `fault`.
HttpHandler AnswerThen(
    std::function<void(HttpReply&, const EngineRequest&)> fault) {
  return [fault = std::move(fault)](const IncomingRequest& request,
                                    HttpReply reply) {
    if (request.path != "/v1/completions") {
      reply.SendResponse(200, {}, "{}");
      return;
    }
    const auto it = ReadRequest(request);
    reply.StartStream(200, {{"Content-Type", "text/event-stream"}});
    SendToken(reply, it.id, it.from);
    SendToken(reply, it.id, it.from + 1);
    fault(reply, it);
  };
}

QJsonObject FirstChoice(const QJsonObject& answer) {
  return answer["choices"].toArray().at(0).toObject();
}

std::string TextOf(const CallResult& result) {
  return FirstChoice(result.Json())["text"].toString().toStdString();
}

std::string TextOfStream(const CallResult& result) {
  SseParser splitter;
  std::string text;
  for (const auto& it : splitter.Feed(result.body)) {
    const auto json = QJsonDocument::fromJson(QByteArray::fromStdString(it));
    text += FirstChoice(json.object())["text"].toString().toStdString();
  }
  return text;
}

// A fixture whose first server fails each request after two tokens.
struct FaultyFixture : RequestFixture {
  int cancelled = 0;

  explicit FaultyFixture(
      std::function<void(HttpReply&, const EngineRequest&)> fault,
      bool has_other = true) {
    AddBackend([this, handler = AnswerThen(std::move(fault))](
                   const IncomingRequest& request, const HttpReply& reply) {
      cancelled += request.path == "/v1/cancel" ? 1 : 0;
      handler(request, reply);
    });
    if (has_other) {
      AddBackend(Answer);
    }
    Start();
    // Makes the faulty server the first choice.
    if (has_other) {
      context.backends->UpdateLoad("server-1", {.running = 3});
    }
  }
};

void Crash(HttpReply& reply, const EngineRequest&) {
  reply.Abort();
}

}  // namespace

// Guards against an answer in another shape than callers expect, and against
// a bill that differs from the usage.
TEST_CASE("a whole answer is billed by its usage") {
  RequestFixture fixture;
  fixture.AddBackend(Answer);
  fixture.Start();
  const auto result = fixture.Complete(kWhole);
  CHECK(result.status == 200);
  CHECK(TextOf(result) == "<0><1><2><3><4>");
  CHECK(result.Json()["usage"].toObject()["total_tokens"].toInteger() == 7);
  CHECK(FirstChoice(result.Json())["finish_reason"].toString() == "length");
  REQUIRE(fixture.bills.size() == 1);
  CHECK(fixture.bills[0].amount == 7);
  CHECK(fixture.reserved == 0);
  CHECK(fixture.free_tokens == 993);
}

// Guards against two bills for the retry of one request.
TEST_CASE("a retry with the same key and body has the same bill key") {
  RequestFixture fixture;
  fixture.AddBackend(Answer);
  fixture.Start();
  const HttpHeaders key{{"Idempotency-Key", "k"}};
  fixture.Complete(kWhole, key);
  fixture.Complete(kWhole, key);
  fixture.Complete(kWhole);
  fixture.Complete(kWhole);
  REQUIRE(fixture.bills.size() == 4);
  CHECK(fixture.bills[0].key == fixture.bills[1].key);
  CHECK(fixture.bills[2].key != fixture.bills[3].key);
}

// Guards against a stream that its caller cannot read to the end.
TEST_CASE("a streamed answer ends with its usage and [DONE]") {
  RequestFixture fixture;
  fixture.AddBackend(Answer);
  fixture.Start();
  const auto result = fixture.Complete(kStreamed);
  CHECK(result.end == HttpResult::kComplete);
  CHECK(TextOfStream(result) == "<0><1><2><3><4>");
  CHECK_THAT(result.body, Catch::EndsWith("data: [DONE]\n\n"));
}

// Guards against an answer with tokens that are lost, doubled or another
// request's after a fault of the backend server.
TEST_CASE("a faulty stream goes on at another server as one whole answer") {
  const std::map<std::string,
                 std::function<void(HttpReply&, const EngineRequest&)>>
      faults{
          {"crash", Crash},
          {"silent", [](HttpReply&, const EngineRequest&) {}},
          {"mix",
           [](HttpReply& reply, const EngineRequest&) {
             reply.Write(
                 "data: {\"request_id\":\"other\",\"index\":2,"
                 "\"text\":\"<other>\"}\n\n");
           }},
          {"skip", [](HttpReply& reply,
                      const EngineRequest& it) { SendToken(reply, it.id, 3); }},
          {"repeat",
           [](HttpReply& reply, const EngineRequest& it) {
             SendToken(reply, it.id, 1);
           }},
          {"short",
           [](HttpReply& reply, const EngineRequest& it) {
             SendUsage(reply, it.id, 5);
           }},
          {"no usage",
           [](HttpReply& reply, const EngineRequest&) { reply.EndStream(); }}};
  for (const auto& [name, fault] : faults) {
    for (const auto* body : {kWhole, kStreamed}) {
      INFO(name << " " << body);
      FaultyFixture fixture(fault);
      const auto result = fixture.Complete(body);
      CHECK(result.end == HttpResult::kComplete);
      CHECK((body == kWhole ? TextOf(result) : TextOfStream(result)) ==
            "<0><1><2><3><4>");
      REQUIRE(fixture.bills.size() == 1);
      CHECK(fixture.bills[0].amount == 7);
      CHECK(fixture.reserved == 0);
    }
  }
}

// Guards against a partial answer that its caller takes for the whole one.
TEST_CASE("an answer that cannot be made whole is not ended as a whole one") {
  RequestFixture fixture;
  // Each dispatch gets two tokens further, up to the limit of dispatches.
  for (int i = 0; i < 4; ++i) {
    fixture.AddBackend(AnswerThen([](HttpReply& reply, const EngineRequest&) {
      SendToken(reply, "other", 9);
    }));
  }
  fixture.Start();
  const auto result = fixture.Complete(
      R"({"model":"m","prompt":"abc","max_tokens":500,"stream":true})");
  CHECK(result.end != HttpResult::kComplete);
  CHECK_THAT(result.body, Catch::Contains("\"outcome\":\"outcome_unknown\""));
  CHECK_THAT(result.body, !Catch::Contains("[DONE]"));
  CHECK(fixture.bills.empty());
  CHECK(fixture.reserved == 0);
}

// Guards against a refusal as "not run" of a request that did run.
TEST_CASE("a whole answer that fails after its dispatch may have run") {
  FaultyFixture fixture(Crash, false);
  const auto result =
      fixture.Complete(R"({"model":"m","prompt":"abc","max_tokens":500})",
                       {{"X-Deadline-Ms", "400"}});
  CHECK(result.status == 502);
  CHECK(result.Error("outcome") == "outcome_unknown");
}

// Guards against a refused connection that is taken for a lost answer.
TEST_CASE("a request that no server took did not run") {
  RequestFixture fixture;
  fixture.AddBackend([](const IncomingRequest&, HttpReply reply) {
    reply.SendResponse(503, {{"X-Not-Run", "1"}}, "");
  });
  fixture.AddAddress(1, "");
  fixture.Start();
  const auto result = fixture.Complete(kWhole, {{"X-Deadline-Ms", "400"}});
  CHECK(result.status == 503);
  CHECK(result.Error("outcome") == "not_run");
  CHECK(fixture.reserved == 0);
}

// Guards against work that goes on for a caller who left, and against work
// that is not billed.
TEST_CASE("a caller who leaves cancels the stream and pays what was made") {
  FaultyFixture fixture([](HttpReply&, const EngineRequest&) {}, false);
  std::string body;
  auto call = fixture.caller_client.Send(
      fixture.MakeCall("/v1/completions", kStreamed, {}),
      {.on_data = [&](std::string_view it) { body += it; }});
  REQUIRE(RunUntil([&] { return body.find("<1>") != std::string::npos; }));
  call.Cancel();
  CHECK(RunUntil([&] { return !fixture.bills.empty(); }));
  CHECK(RunUntil([&] { return fixture.cancelled == 1; }));
  REQUIRE(fixture.bills.size() == 1);
  CHECK(fixture.bills[0].amount == 2);
  CHECK(fixture.reserved == 0);
}

// Guards against a bill above the reservation, which could overspend.
TEST_CASE("usage above the reservation is billed up to the reservation") {
  RequestFixture fixture;
  fixture.document.models[0].max_tokens_per_byte = 0.1;
  fixture.AddBackend(Answer);
  fixture.Start();
  CHECK(fixture.Complete(kWhole).status == 200);
  REQUIRE(fixture.bills.size() == 1);
  CHECK(fixture.bills[0].amount == 6);
}

// Guards against a request that waits beyond its deadline, or that keeps its
// reservation.
TEST_CASE("a request that finds no slot before its deadline did not run") {
  RequestFixture fixture;
  fixture.AddBackend(Answer);
  fixture.Start();
  while (fixture.context.backends->Acquire({.target = ModelTarget("m")})) {
  }
  const auto result = fixture.Complete(kWhole, {{"X-Deadline-Ms", "100"}});
  CHECK(result.Error("code") == "deadline_passed");
  CHECK(result.Error("outcome") == "not_run");
  CHECK(fixture.reserved == 0);
}

// Guards against dispatches without tokens to pay for them.
TEST_CASE("a budget that does not cover the reservation refuses") {
  RequestFixture fixture;
  fixture.AddBackend(Answer);
  fixture.Start();
  fixture.free_tokens = 7;
  const auto result = fixture.Complete(kWhole);
  CHECK(result.status == 402);
  CHECK(result.Error("outcome") == "not_run");
}

}  // namespace crocuslatch
