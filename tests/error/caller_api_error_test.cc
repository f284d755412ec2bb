#include <catch2/catch.hpp>

#include "tests/request_fixture.h"

namespace crocuslatch {
namespace {

struct ErrorCase {
  std::string path;
  std::string body;
  HttpHeaders headers;
  int status;
  std::string code;
};

constexpr auto kModelPath = "/v1/completions";
constexpr auto kGood = R"({"model":"m","prompt":"a"})";

}  // namespace

// Guards against errors without a stable code, a remedy or an outcome, and
// against malformed input that gets as far as a backend server.
TEST_CASE("every malformed request is refused with its typed error") {
  RequestFixture fixture;
  int calls = 0;
  fixture.AddBackend([&calls](const IncomingRequest&, HttpReply reply) {
    ++calls;
    reply.SendResponse(200, {}, "");
  });
  fixture.Start();
  const std::vector<ErrorCase> cases{
      {"/v2/completions", kGood, {}, 404, "unknown_path"},
      {"/v1/services/booking", "", {}, 404, "unknown_path"},
      {"/v1/services/booking/a/..b", "", {}, 404, "unknown_path"},
      {"/v1/services/none/a", "", {}, 404, "unknown_service"},
      {"/v1/services/booking/a", "", {}, 400, "idempotency_key_required"},
      {kModelPath,
       kGood,
       {{"Authorization", "Bearer x"}},
       401,
       "unauthenticated"},
      {kModelPath,
       kGood,
       {{"Authorization", "Basic x"}},
       401,
       "unauthenticated"},
      {kModelPath, kGood, {{"X-Rank", "none"}}, 400, "unknown_rank"},
      {kModelPath,
       kGood,
       {{"Authorization", "Bearer bar"}, {"X-Rank", "urgent"}},
       403,
       "rank_not_allowed"},
      {kModelPath, kGood, {{"X-Budget", "two-main"}}, 403, "unknown_budget"},
      {kModelPath, kGood, {{"X-Deadline-Ms", "5s"}}, 400, "bad_deadline"},
      {kModelPath, kGood, {{"X-Deadline-Ms", "0"}}, 400, "bad_deadline"},
      {kModelPath,
       kGood,
       {{"Idempotency-Key", std::string(257, 'k')}},
       400,
       "bad_idempotency_key"},
      {kModelPath, "[]", {}, 400, "bad_json"},
      {kModelPath, "{", {}, 400, "bad_json"},
      {kModelPath, R"({"prompt":"a"})", {}, 400, "bad_field"},
      {kModelPath,
       R"({"model":"none","prompt":"a"})",
       {},
       404,
       "unknown_model"},
      {kModelPath, R"({"model":"m","prompt":["a"]})", {}, 400, "bad_field"},
      {kModelPath,
       R"({"model":"m","prompt":"a","max_tokens":0})",
       {},
       400,
       "bad_field"},
      {kModelPath,
       R"({"model":"m","prompt":"a","max_tokens":501})",
       {},
       400,
       "bad_field"},
      {kModelPath,
       R"({"model":"m","prompt":"a","max_tokens":1.5})",
       {},
       400,
       "bad_field"},
      {kModelPath,
       R"({"model":"m","prompt":"a","stream":1})",
       {},
       400,
       "bad_field"},
      {kModelPath,
       R"({"model":"m","prompt":"a","n":2})",
       {},
       400,
       "bad_field"}};
  for (const auto& it : cases) {
    INFO(it.path << " " << it.body << " " << it.code);
    auto request = fixture.MakeCall(it.path, it.body, it.headers);
    // The first header of a name counts, so the case's own replace the rest.
    std::erase_if(request.headers, [&](const auto& header) {
      return header.first == "Authorization" &&
             header.second != FindHeader(request.headers, "Authorization");
    });
    const auto result = fixture.Call(request);
    CHECK(result.status == it.status);
    CHECK(result.Error("code") == it.code);
    CHECK(result.Error("outcome") == "not_run");
    CHECK_FALSE(result.Error("remedy").empty());
  }
  auto get = fixture.MakeCall(kModelPath, "", {});
  get.method = "GET";
  CHECK(fixture.Call(get).Error("code") == "wrong_method");
  CHECK(calls == 0);
  CHECK(fixture.reserved == 0);
}

// Guards against a load report that is taken for an idle server.
TEST_CASE("a malformed load report is rejected") {
  CHECK_THROWS_AS(ParseLoadReport("{}"), UserError);
  CHECK_THROWS_AS(ParseLoadReport("x"), UserError);
  CHECK_THROWS_AS(ParseLoadReport(R"({"running":-1})"), UserError);
  CHECK(ParseLoadReport(R"({"running":2,"queued":1,"age_ms":5})") ==
        LoadReport{.running = 2, .queued = 1, .age = Millis{5}});
}

}  // namespace crocuslatch
