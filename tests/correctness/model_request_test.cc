#include "src/model_request.h"

#include <QJsonArray>
#include <QTimer>
#include <catch2/catch.hpp>

#include "tests/request_fixture.h"

namespace crocuslatch {
namespace {

constexpr auto kUnstreamed = R"({"model":"m","prompt":"abc","max_tokens":5})";
constexpr auto kStreamed =
    R"({"model":"m","prompt":"abc","max_tokens":5,"stream":true})";

struct EngineRequest {
  std::string id;
  qint64 resume_from = 0;
  qint64 max_tokens = 0;
};

EngineRequest ParseEngineRequest(const IncomingRequest& request) {
  const auto json =
      QJsonDocument::fromJson(QByteArray::fromStdString(request.body));
  return {.id = json["request_id"].toString().toStdString(),
          .resume_from = json["resume_from"].toInteger(),
          .max_tokens = json["max_tokens"].toInteger()};
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

// Generates the tokens "<0>", "<1>" and so on.
void Answer(const IncomingRequest& request, HttpReply reply) {
  const auto it = ParseEngineRequest(request);
  reply.StartStream(200, {{"Content-Type", "text/event-stream"}});
  for (auto i = it.resume_from; i < it.max_tokens; ++i) {
    SendToken(reply, it.id, i);
  }
  SendUsage(reply, it.id, it.max_tokens);
}

// Makes a handler that sends two tokens and then calls `fault`.
HttpHandler SendTwoTokensThen(
    std::function<void(HttpReply&, const EngineRequest&)> fault) {
  return [fault = std::move(fault)](const IncomingRequest& request,
                                    HttpReply reply) {
    if (request.path != "/v1/completions") {
      reply.SendResponse(200, {}, "{}");
      return;
    }
    const auto it = ParseEngineRequest(request);
    reply.StartStream(200, {{"Content-Type", "text/event-stream"}});
    SendToken(reply, it.id, it.resume_from);
    SendToken(reply, it.id, it.resume_from + 1);
    fault(reply, it);
  };
}

QJsonObject FirstChoice(const QJsonObject& answer) {
  return answer["choices"].toArray().at(0).toObject();
}

std::string AnswerText(const CallResult& result) {
  return FirstChoice(result.Json())["text"].toString().toStdString();
}

std::string StreamText(const CallResult& result) {
  SseParser parser;
  std::string text;
  for (const auto& it : parser.Feed(result.body)) {
    const auto json = QJsonDocument::fromJson(QByteArray::fromStdString(it));
    text += FirstChoice(json.object())["text"].toString().toStdString();
  }
  return text;
}

// A fixture whose first server fails each request after two tokens. The second
// server, if any, is healthy.
struct FaultyFixture : RequestFixture {
  int cancelled = 0;

  explicit FaultyFixture(
      std::function<void(HttpReply&, const EngineRequest&)> fault,
      bool has_other = true) {
    AddBackend([this, handler = SendTwoTokensThen(std::move(fault))](
                   const IncomingRequest& request, const HttpReply& reply) {
      cancelled += request.path == "/v1/cancel" ? 1 : 0;
      handler(request, reply);
    });
    if (has_other) {
      AddBackend(Answer);
    }
    Start();
    // Makes the table prefer the faulty server.
    if (has_other) {
      context.backends->UpdateLoad("server-1", {.running = 3});
    }
  }
};

void Crash(HttpReply& reply, const EngineRequest&) {
  reply.Abort();
}

// Writes bytes that complete no event until the router closes.
void WriteWithoutEnd(HttpReply reply) {
  if (!reply.IsOpen()) {
    return;
  }
  reply.Write(std::string(16 << 10, 'x'));
  QTimer::singleShot(1, [reply] { WriteWithoutEnd(reply); });
}

}  // namespace

// Guards against an answer that differs from the expected format, and against a
// bill that differs from the usage.
TEST_CASE("an unstreamed answer is billed by its usage") {
  RequestFixture fixture;
  fixture.AddBackend(Answer);
  fixture.Start();
  const auto result = fixture.Complete(kUnstreamed);
  CHECK(result.status == 200);
  CHECK(AnswerText(result) == "<0><1><2><3><4>");
  CHECK(result.Json()["usage"].toObject()["total_tokens"].toInteger() == 7);
  CHECK(FirstChoice(result.Json())["finish_reason"].toString() == "length");
  REQUIRE(fixture.bills.size() == 1);
  CHECK(fixture.bills[0].amount == 7);
  CHECK(fixture.reserved == 0);
  CHECK(fixture.available_tokens == 993);
}

// Guards against a server that sends bytes without end: they were kept without
// a limit, and the request never ended.
TEST_CASE("an event without end fails the dispatch") {
  FaultyFixture fixture(
      [](HttpReply& reply, const EngineRequest&) { WriteWithoutEnd(reply); });
  const auto result = fixture.Complete(kUnstreamed);
  CHECK(result.status == 200);
  CHECK(AnswerText(result) == "<0><1><2><3><4>");
  CHECK(fixture.cancelled == 1);
}

TEST_CASE("an error response without end fails the dispatch") {
  const int status = GENERATE(400, 500);
  RequestFixture fixture;
  fixture.AddBackend([status](const IncomingRequest&, HttpReply reply) {
    reply.StartStream(status, {});
    WriteWithoutEnd(reply);
  });
  fixture.AddBackend(Answer);
  fixture.Start();
  // Makes the table prefer the faulty server.
  fixture.context.backends->UpdateLoad("server-1", {.running = 3});
  CHECK(fixture.Complete(kUnstreamed).status == (status == 500 ? 200 : 502));
}

// Guards against billing the retry of a request a second time.
TEST_CASE("a retry with the same key and body has the same bill key") {
  RequestFixture fixture;
  fixture.AddBackend(Answer);
  fixture.Start();
  const HttpHeaders key{{"Idempotency-Key", "k"}};
  fixture.Complete(kUnstreamed, key);
  fixture.Complete(kUnstreamed, key);
  fixture.Complete(kUnstreamed);
  fixture.Complete(kUnstreamed);
  REQUIRE(fixture.bills.size() == 4);
  CHECK(fixture.bills[0].key == fixture.bills[1].key);
  CHECK(fixture.bills[2].key != fixture.bills[3].key);
}

// Guards against a stream whose end the caller cannot recognize.
TEST_CASE("a streamed answer ends with its usage and [DONE]") {
  RequestFixture fixture;
  fixture.AddBackend(Answer);
  fixture.Start();
  const auto result = fixture.Complete(kStreamed);
  CHECK(result.end == HttpResult::kComplete);
  CHECK(StreamText(result) == "<0><1><2><3><4>");
  CHECK_THAT(result.body, Catch::EndsWith("data: [DONE]\n\n"));
}

// Guards against an answer with lost, duplicated or foreign tokens after a
// fault of the backend server.
TEST_CASE(
    "a faulty stream resumes at another server and yields one complete "
    "answer") {
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
    for (const auto* body : {kUnstreamed, kStreamed}) {
      INFO(name << " " << body);
      FaultyFixture fixture(fault);
      const auto result = fixture.Complete(body);
      CHECK(result.end == HttpResult::kComplete);
      CHECK((body == kUnstreamed ? AnswerText(result) : StreamText(result)) ==
            "<0><1><2><3><4>");
      REQUIRE(fixture.bills.size() == 1);
      CHECK(fixture.bills[0].amount == 7);
      CHECK(fixture.reserved == 0);
    }
  }
}

// Guards against a partial answer that the caller takes for a complete one.
TEST_CASE(
    "a stream that cannot be completed does not end like a complete one") {
  RequestFixture fixture;
  // Each dispatch yields two more tokens until the dispatch limit is reached.
  for (int i = 0; i < 4; ++i) {
    fixture.AddBackend(
        SendTwoTokensThen([](HttpReply& reply, const EngineRequest&) {
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

// Guards against the outcome "not run" for a request that did run.
TEST_CASE("an unstreamed request that fails after its dispatch may have run") {
  FaultyFixture fixture(Crash, false);
  const auto result =
      fixture.Complete(R"({"model":"m","prompt":"abc","max_tokens":500})",
                       {{"X-Deadline-Ms", "400"}});
  CHECK(result.status == 502);
  CHECK(result.Error("outcome") == "outcome_unknown");
}

// Guards against treating a refused connection like a lost answer.
TEST_CASE("a request that every server declined did not run") {
  RequestFixture fixture;
  fixture.AddBackend([](const IncomingRequest&, HttpReply reply) {
    reply.SendResponse(503, {{"X-Not-Run", "1"}}, "");
  });
  fixture.AddAddress(1, "");
  fixture.Start();
  const auto result = fixture.Complete(kUnstreamed, {{"X-Deadline-Ms", "400"}});
  CHECK(result.status == 503);
  CHECK(result.Error("outcome") == "not_run");
  CHECK(fixture.reserved == 0);
}

// Guards against work that continues after the caller disconnected, and against
// work that is not billed.
TEST_CASE("a disconnect cancels the stream and bills the generated tokens") {
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

// Guards against a bill above the reservation, which could overdraw the budget.
TEST_CASE("the bill is capped at the reservation") {
  RequestFixture fixture;
  fixture.document.models[0].max_tokens_per_byte = 0.1;
  fixture.AddBackend(Answer);
  fixture.Start();
  CHECK(fixture.Complete(kUnstreamed).status == 200);
  REQUIRE(fixture.bills.size() == 1);
  CHECK(fixture.bills[0].amount == 6);
}

// Guards against a request that waits beyond its deadline or never releases its
// reservation.
TEST_CASE("a request that finds no slot before its deadline did not run") {
  RequestFixture fixture;
  fixture.AddBackend(Answer);
  fixture.Start();
  while (fixture.context.backends->Acquire({.target = ModelTarget("m")})) {
  }
  const auto result = fixture.Complete(kUnstreamed, {{"X-Deadline-Ms", "100"}});
  CHECK(result.Error("code") == "deadline_passed");
  CHECK(result.Error("outcome") == "not_run");
  CHECK(fixture.reserved == 0);
}

// Guards against a dispatch that the budget does not cover.
TEST_CASE("a request whose reservation exceeds the budget is refused") {
  RequestFixture fixture;
  fixture.AddBackend(Answer);
  fixture.Start();
  fixture.available_tokens = 7;
  const auto result = fixture.Complete(kUnstreamed);
  CHECK(result.status == 402);
  CHECK(result.Error("outcome") == "not_run");
}

}  // namespace crocuslatch
