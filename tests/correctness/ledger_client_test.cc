#include "src/ledger_client.h"

#include <catch2/catch.hpp>

#include "tests/fake_loop.h"

namespace crocuslatch {
namespace {

// Records which writers are tried. Peers in `silent` do not reply.
struct RouteFixture {
  FakeLoop loop;
  std::vector<std::string> silent;
  ReplyStatus reply = ReplyStatus::kOk;
  std::vector<std::string> tried;
  std::optional<LedgerStatus> result;

  void Send(const std::vector<std::string>& preferred,
            const ShardCommand& command) {
    const auto answer = [this](const LedgerCallback& callback) {
      callback(LedgerStatus::kDurable, {ShardReply{.status = reply}});
    };
    const auto client = MakeLedgerClient(
        {.own_host = "self"}, loop.Hooks(),
        [&](std::uint32_t) { return preferred; },
        [&](const std::string& host, std::uint32_t, const auto&, Millis timeout,
            const LedgerCallback& callback) {
          tried.push_back(host);
          if (std::ranges::find(silent, host) == silent.end()) {
            answer(callback);
          } else {
            loop.Hooks().after(
                timeout, [callback] { callback(LedgerStatus::kUnknown, {}); });
          }
        },
        [&](std::uint32_t, const auto&, Millis,
            const LedgerCallback& callback) {
          tried.emplace_back("local");
          answer(callback);
        });
    client(0, {command}, Millis(1000),
           [this](LedgerStatus status, const auto&) { result = status; });
    loop.RunFor(Millis(2000));
  }
};

using Hosts = std::vector<std::string>;

}  // namespace

// Guards against write contention between routers that write a shard
// themselves.
TEST_CASE("commands go to the preferred writers in order, then to the router") {
  RouteFixture route;
  route.Send({"p", "q", "r"}, SetLimitCommand{});
  CHECK(route.tried == Hosts{"p"});
  route.silent = {"p", "q"};
  route.tried.clear();
  route.Send({"p", "q", "r"}, SetLimitCommand{});
  CHECK(route.tried == Hosts{"p", "q", "local"});
  CHECK(route.result == LedgerStatus::kDurable);
}

// Guards against a router that sends commands to itself over the network.
TEST_CASE("a router that is the preferred writer writes locally") {
  RouteFixture route;
  route.Send({"self", "q"}, SetLimitCommand{});
  CHECK(route.tried == Hosts{"local"});
}

// Guards against a delayed copy of a refused claim that charges the budget.
TEST_CASE("a claim refused after a failover is reported as unknown") {
  RouteFixture route;
  route.reply = ReplyStatus::kInsufficient;
  route.Send({"p"}, ClaimCommand{});
  CHECK(route.result == LedgerStatus::kDurable);
  route.silent = {"p"};
  route.Send({"p"}, ClaimCommand{});
  CHECK(route.result == LedgerStatus::kUnknown);
}

}  // namespace crocuslatch
