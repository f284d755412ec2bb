#include "src/admin_api.h"

#include <catch2/catch.hpp>
#include <optional>

#include "tests/simulated_config_fleet.h"

namespace crocuslatch {
namespace {

constexpr char kToken[] = "0123456789abcdef";

// The interface of one keeper of a simulated fleet.
class AdminFixture {
 public:
  AdminFixture() : fleet(1, 1) {
    hooks.keeper = fleet.KeeperOf(0);
    hooks.ledger = [](const std::string& budget, auto callback) {
      callback("{\"budget\":\"" + budget + "\"}");
    };
    hooks.status = [] { return "{}"; };
    hooks.is_ready = [this] { return is_ready; };
    hooks.stop = [this] { stopped = true; };
    fleet.loop.RunFor(Millis(2000));
  }

  AdminResponse Send(const std::string& method,
                     const std::string& path,
                     const std::string& body = {},
                     HttpHeaders headers = {}) {
    headers.emplace_back("authorization", "Bearer " + token);
    std::optional<AdminResponse> answer;
    HandleAdminRequest(hooks, kToken, {method, path, {}, headers, body},
                       [&](const AdminResponse& it) {
                         CHECK_FALSE(answer);
                         answer = it;
                       });
    fleet.loop.RunFor(Millis(20000));
    REQUIRE(answer);
    return *answer;
  }

  AdminResponse Put(const std::string& toml, const std::string& version) {
    return Send("PUT", "/admin/v1/document", toml, {{"If-Version", version}});
  }

  SimulatedConfigFleet fleet;
  AdminApiHooks hooks;
  std::string token = kToken;
  bool is_ready = false;
  bool stopped = false;
};

bool Contains(const AdminResponse& answer, const std::string& text) {
  return answer.body.find(text) != std::string::npos;
}

}  // namespace

TEST_CASE("operators apply, show and look up versions of the document") {
  AdminFixture it;
  CHECK(it.Send("GET", "/admin/v1/document").status == 404);
  const auto applied = it.Put(SmallDocument(), "0");
  CHECK(applied.status == 200);
  CHECK(FindHeader(applied.headers, "X-Version") == "1");
  const auto next =
      Replaced(SmallDocument(), "prepaid = 1000", "prepaid = 2000");
  CHECK(it.Put(next, "1").status == 200);
  const auto shown = it.Send("GET", "/admin/v1/document");
  CHECK(shown.body == next);
  CHECK(FindHeader(shown.headers, "X-Version") == "2");
  CHECK(it.Send("GET", "/admin/v1/history/1").body == SmallDocument());
  CHECK(it.Send("GET", "/admin/v1/history/2").body == next);
  CHECK(it.Send("GET", "/admin/v1/history/3").status == 404);
  CHECK(it.Send("GET", "/admin/v1/ledger/one-main").status == 200);
  CHECK(it.Send("GET", "/admin/v1/ledger/x").status == 404);
}

TEST_CASE("a late operator gets a conflict that names the remedy") {
  AdminFixture it;
  it.Put(SmallDocument(), "0");
  const auto late = it.Put(
      Replaced(SmallDocument(), "name = \"test\"", "name = \"late\""), "0");
  CHECK(late.status == 409);
  CHECK(Contains(late, "\"code\":\"version_conflict\""));
  CHECK(Contains(late, "show version 1, merge"));
  CHECK(FindHeader(late.headers, "X-Version") == "1");
}

// Guards against a document that validates but is refused when applied.
TEST_CASE("a bad document is refused with all problems, and not stored") {
  AdminFixture it;
  it.Put(SmallDocument(), "0");
  const std::string bad =
      GENERATE(Replaced(SmallDocument(), "prepaid = 1000", "prepaid = -1"),
               Replaced(SmallDocument(), "prepaid = 1000", "prepaid = 999"));
  const auto validated = it.Send("POST", "/admin/v1/document/validate", bad);
  const auto applied = it.Put(bad, "1");
  CHECK(validated.status == 422);
  CHECK(applied.status == 422);
  CHECK(Contains(applied, "\"problems\":[{"));
  CHECK(applied.body == validated.body);
  CHECK(it.fleet.StoredVersion() == 1);
}

// Guards against an untrue answer when the store is down.
TEST_CASE("an apply during a store outage was not run") {
  AdminFixture it;
  it.fleet.SetStoreLink(0, false);
  const auto answer = it.Put(SmallDocument(), "0");
  CHECK(answer.status == 503);
  CHECK(Contains(answer, "\"outcome\":\"not_run\""));
}

// Guards against a stop or a change by somebody without the token.
TEST_CASE("only operators with the token are served") {
  AdminFixture it;
  it.token = GENERATE("", "0123456789abcdeg", "0123456789abcdef0");
  CHECK(it.Send("POST", "/admin/v1/stop").status == 401);
  CHECK(it.Put(SmallDocument(), "0").status == 401);
  CHECK(it.Send("GET", "/metrics").status == 401);
  CHECK(it.Send("GET", "/nowhere").status == 401);
  CHECK_FALSE(it.stopped);
  CHECK(it.Send("GET", "/healthz").status == 200);
}

TEST_CASE("health, readiness and the stop follow the router") {
  AdminFixture it;
  CHECK(it.Send("GET", "/readyz").status == 503);
  it.is_ready = true;
  CHECK(it.Send("GET", "/readyz").status == 200);
  CHECK(it.Send("POST", "/admin/v1/stop").status == 202);
  CHECK(it.stopped);
}

TEST_CASE("malformed administration requests get typed errors") {
  AdminFixture it;
  CHECK(it.Put(SmallDocument(), "x").status == 400);
  CHECK(it.Put(SmallDocument(), "").status == 400);
  CHECK(it.Send("PUT", "/admin/v1/document", SmallDocument(),
                {{"If-Version", "0"}, {"Idempotency-Key", "a b"}})
            .status == 400);
  CHECK(it.Send("DELETE", "/admin/v1/document").status == 405);
  CHECK(it.Send("GET", "/admin/v1/history/x").status == 404);
  CHECK(it.Send("GET", "/nowhere").status == 404);
}

}  // namespace crocuslatch
