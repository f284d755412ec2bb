#include "core/desired_state.h"

#include <catch2/catch.hpp>

#include "platform/backend_entry_codec.h"
#include "platform/desired_state_codec.h"
#include "src/error.h"

namespace crocuslatch {
namespace {

RoutingTable Table() {
  DesiredState state;
  state.routes = {{.name = "root", .host = "A.example", .prefix = "/"},
                  {.name = "deep", .host = "a.example", .prefix = "/x/y/"},
                  {.name = "x", .host = "a.example", .prefix = "/x/"}};
  state.client_accounts = {{.name = "p", .api_keys = {"k1", "k2"}},
                           {.name = "q", .api_keys = {"k3"}}};
  return RoutingTable(state);
}

std::string NameOf(const RouteSpec* route) {
  return route == nullptr ? "" : route->name;
}

constexpr std::string_view kState = R"({"version":7,"limits":
  {"max_header_bytes":1000,"max_body_bytes":2000,"header_timeout_ms":30,
   "idle_timeout_ms":40},
  "tenants":[{"name":"t","api_keys":["k"],"prepaid":500,"priority":1}],
  "services":[{"name":"s","health_path":"/h","max_connections":9,
   "engine":{"slots":64,"kv_capacity_tokens":1000,"stride":7},
   "cold_start_s":1.5,"cold_per_s":6.6}],
  "routes":[{"name":"r","host":"h","prefix":"/p/","kind":"streaming",
   "timeout_ms":600,"target_latency_ms":50,"priority":2,"max_attempts":2,
   "public":false,"session_affinity":true,"resumable":true,"gap_aim_ms":400,
   "traffic_split":[{"service":"s","weight":3},{"service":"u","weight":1}]}]})";

constexpr std::string_view kEntry = R"({"service":"s","address":"10.0.0.1:80",
  "zone":"z","version":"1","slots":6,"state":"ready","cold_remaining_ms":250,
  "sequence":3,"born":1700000000000})";

std::string Replaced(std::string text,
                     std::string_view from,
                     std::string_view to) {
  const auto at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

}  // namespace

// Guards against requests that are sent to another route's service.
TEST_CASE("the route with the longest matching prefix is chosen") {
  const auto table = Table();
  CHECK(NameOf(table.FindRoute("a.example", "/x/y/z")) == "deep");
  CHECK(NameOf(table.FindRoute("a.example:80", "/x/yy")) == "x");
  CHECK(NameOf(table.FindRoute("a.example", "/x")) == "root");
  CHECK(NameOf(table.FindRoute("b.example", "/x/")).empty());
}

// Guards against an API key that gives access to another client's account.
TEST_CASE("an API key identifies its account") {
  const auto table = Table();
  CHECK(table.FindAccount("k2")->name == "p");
  CHECK(table.FindAccount("k3")->name == "q");
  CHECK(table.FindAccount("") == nullptr);
  CHECK(table.FindAccount("k") == nullptr);
}

TEST_CASE("a split route distributes requests by weight") {
  const RouteSpec route{.shares = {{"a", 3}, {"b", 1}}};
  CHECK(ChooseService(route, 0.0) == "a");
  CHECK(ChooseService(route, 0.74) == "a");
  CHECK(ChooseService(route, 0.76) == "b");
  CHECK(ChooseService(route, 0.999999) == "b");
}

TEST_CASE("all fields of a desired state are decoded") {
  const auto state = platform::DecodeDesiredState(kState);
  CHECK(state.version == 7);
  CHECK(state.requires_api_keys);
  CHECK(state.client_accounts ==
        std::vector<ClientAccountSpec>{{"t", {"k"}, 1, 500}});
  CHECK(state.services ==
        std::vector<ServiceSpec>{
            {"s", "/h", 9, EngineSpec{64, 1000, 7}, Millis{1500}, 6.6}});
  CHECK(state.limits == CallerLimits{1000, 2000, Millis{30}, Millis{40}});
  REQUIRE(state.routes.size() == 1);
  CHECK(state.routes[0].kind == RouteKind::kStreaming);
  CHECK(state.routes[0].shares ==
        std::vector<ServiceShare>{{"s", 3}, {"u", 1}});
  CHECK(state.routes[0].is_resumable);
}

// Guards against applying a version of which a part was silently ignored.
TEST_CASE("a partly invalid desired state is rejected as a whole") {
  const auto [from, to] = GENERATE(table<std::string, std::string>(
      {{"\"version\":7", "\"version\":\"7\""},
       {"\"kind\":\"streaming\"", "\"kind\":\"odd\""},
       {"\"prepaid\":500", "\"prepaid\":\"many\""},
       {"\"public\":false", "\"public\":0"},
       {"\"tenants\":[", "\"tenants\":{\"a\":["},
       {"{\"version\"", "[\"version\""}}));
  CHECK_THROWS_AS(
      platform::DecodeDesiredState(Replaced(std::string(kState), from, to)),
      UserError);
}

TEST_CASE("a backend server's registry entry is decoded") {
  CHECK(platform::DecodeBackendEntry("servers/i-1", kEntry) ==
        BackendEntry{.id = "i-1",
                     .service = "s",
                     .address = "10.0.0.1:80",
                     .failure_domain = "z",
                     .slots = 6,
                     .warmup_time = Millis{250},
                     .start_time_ms = 1700000000000});
}

// Guards against sending requests to a server that another writer invented.
TEST_CASE("a malformed or foreign registry entry is ignored") {
  const auto [from, to] = GENERATE(table<std::string, std::string>(
      {{"\"state\":\"ready\"", "\"state\":\"resting\""},
       {"10.0.0.1:80", "somewhere"},
       {"\"slots\":6", "\"slots\":0"},
       {"\"slots\":6", "\"slots\":\"6\""},
       {"\"slots\":6", "\"slots\":9007199254740992"},
       {"\"slots\":6", "\"slots\":4294967302"},
       {"\"slots\":6", "\"slots\":1e999"},
       {"10.0.0.1:80", "10.0.0.1:65536"},
       {"10.0.0.1:80", "10.0.0.1:4294967376"},
       {"\"z\"", std::string(5000, '[') + std::string(5000, ']')},
       {"\"sequence\":3", "\"other\":3"},
       {"\"born\":1700000000000", "\"born\":\"early\""},
       {"{\"service\"", "\"service\""}}));
  CHECK_FALSE(platform::DecodeBackendEntry(
      "servers/i-1", Replaced(std::string(kEntry), from, to)));
  CHECK_FALSE(platform::DecodeBackendEntry("servers/", kEntry));
  // The id is sent as a header's value.
  CHECK_FALSE(platform::DecodeBackendEntry("servers/i-1\r\nX: y", kEntry));
  CHECK_FALSE(platform::DecodeBackendEntry("servers/i 1", kEntry));
  CHECK_FALSE(platform::DecodeBackendEntry("servers/i-\x80", kEntry));
  CHECK_FALSE(platform::DecodeBackendEntry("other/i-1", kEntry));
}

}  // namespace crocuslatch
