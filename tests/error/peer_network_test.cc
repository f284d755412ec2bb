#include "src/peer_network.h"

#include <fmt/format.h>

#include <QTcpSocket>
#include <catch2/catch.hpp>
#include <map>
#include <optional>

#include "tests/run_until.h"

namespace crocuslatch {
namespace {

// A router's peer network with hooks that record what arrives.
struct Router {
  std::string host;
  std::vector<std::string> recalls;
  std::vector<PeerHeartbeat> heartbeats;
  std::vector<std::string> unreachable;
  std::string document;
  bool answers = true;
  LedgerStatus status = LedgerStatus::kDurable;
  std::vector<std::string> heartbeat_peers;
  std::map<std::string, std::string>* addresses;
  std::unique_ptr<PeerNetwork> network;

  Router(std::string name, std::map<std::string, std::string>* table)
      : host(std::move(name)),
        document("document of " + host),
        addresses(table) {
    network = std::make_unique<PeerNetwork>(
        PeerNetworkOptions{.secret = "a secret of the fleet",
                           .own = {{host, 1}, 100},
                           .heartbeat_period = Millis{50},
                           .connect_timeout = Millis{300},
                           .config_timeout = Millis{300}},
        MakeHooks());
    (*addresses)[host] = fmt::format("127.0.0.1:{}", network->port());
  }

  PeerNetworkHooks MakeHooks() {
    return {
        .apply =
            [this](std::uint32_t, const std::vector<ShardCommand>& commands,
                   Millis, const LedgerCallback& callback) {
              if (answers) {
                callback(status, std::vector<ShardReply>(commands.size(),
                                                         {.granted = 42}));
              }
            },
        .on_recall = [this](const auto& it) { recalls.push_back(it); },
        .encoded_document = [this] { return document; },
        .make_heartbeat =
            [this] {
              return PeerHeartbeat{.sender = {{host, 1}, 100},
                                   .config_version = 9,
                                   .config_sha256 = "0badcafe",
                                   .heard_of = {{{"z", 3}, 4}}};
            },
        .on_heartbeat = [this](const auto& it) { heartbeats.push_back(it); },
        .address_of =
            [this](const std::string& it) {
              const auto found = addresses->find(it);
              return found == addresses->end() ? "" : found->second;
            },
        .heartbeat_peers = [this] { return heartbeat_peers; },
        .on_unreachable = [this](const auto& it) { unreachable.push_back(it); },
    };
  }

  LedgerStatus Send(const std::string& to, Tokens* granted = nullptr) const {
    std::optional<LedgerStatus> result;
    bool inside = true;
    network->SendCommands(
        to, 3, {SetLimitCommand{"budget", 10}}, Millis{300},
        [&](LedgerStatus it, const std::vector<ShardReply>& replies) {
          CHECK_FALSE(inside);
          result = it;
          if (granted != nullptr && !replies.empty()) {
            *granted = replies[0].granted;
          }
        });
    inside = false;
    CHECK(RunUntil([&] { return result.has_value(); }));
    return *result;
  }

  std::string Fetch(const std::string& from) const {
    std::optional<std::string> result;
    network->FetchConfig(from, [&](const auto& it) { result = it; });
    CHECK(RunUntil([&] { return result.has_value(); }));
    return *result;
  }
};

struct Fixture {
  std::map<std::string, std::string> addresses;
  Router a{"a", &addresses};
  Router b{"b", &addresses};
};

}  // namespace

TEST_CASE("commands, documents and recalls open a connection on demand") {
  Fixture it;
  Tokens granted = 0;
  CHECK(it.a.Send("b", &granted) == LedgerStatus::kDurable);
  CHECK(granted == 42);
  CHECK(it.a.Fetch("b") == "document of b");
  it.a.network->SendRecall("b", "busy");
  CHECK(RunUntil([&] { return it.b.recalls.size() == 1; }));
  CHECK(it.a.network->ConnectedHosts() == std::vector<std::string>{"b"});
  it.b.document.clear();
  CHECK(it.a.Fetch("b").empty());
}

// Guards against commands that count as durable although the writer did not
// confirm them.
TEST_CASE("commands without a valid reply from the peer are unknown") {
  Fixture it;
  SECTION("unknown address") {
    CHECK(it.a.Send("nobody") == LedgerStatus::kUnknown);
  }
  SECTION("refused connection") {
    it.addresses["c"] = "127.0.0.1:1";
    CHECK(it.a.Send("c") == LedgerStatus::kUnknown);
    CHECK(it.a.unreachable == std::vector<std::string>{"c"});
  }
  SECTION("the address belongs to another host") {
    it.addresses["c"] = it.addresses["b"];
    CHECK(it.a.Send("c") == LedgerStatus::kUnknown);
  }
  SECTION("the result of the peer's write is unknown") {
    it.b.status = LedgerStatus::kUnknown;
    CHECK(it.a.Send("b") == LedgerStatus::kUnknown);
  }
  SECTION("the peer does not answer") {
    it.b.answers = false;
    CHECK(it.a.Send("b") == LedgerStatus::kUnknown);
  }
  SECTION("the peer stops") {
    CHECK(it.a.Send("b") == LedgerStatus::kDurable);
    it.b.network.reset();
    CHECK(it.a.Send("b") == LedgerStatus::kUnknown);
  }
  // A callback that retries must get a result, too.
  SECTION("a retry from inside the callback") {
    it.addresses["c"] = "127.0.0.1:1";
    int calls = 0;
    const auto send = it.a.network->send_to_peer();
    send("c", 1, {SetLimitCommand{"x", 1}}, Millis{300}, [&](auto, auto&) {
      send("c", 1, {SetLimitCommand{"x", 1}}, Millis{300},
           [&](auto, auto&) { ++calls; });
    });
    CHECK(RunUntil([&] { return calls == 1; }));
  }
}

// Guards against losing the first recall, which would leave a request waiting
// for tokens that another router holds.
TEST_CASE("a recall opens the connection") {
  Fixture it;
  it.a.network->SendRecall("b", "busy");
  CHECK(RunUntil([&] { return it.b.recalls.size() == 1; }));
}

TEST_CASE("heartbeats go both ways and a lost peer is reconnected") {
  Fixture it;
  it.a.heartbeat_peers = {"b"};
  REQUIRE(RunUntil([&] {
    return it.a.heartbeats.size() > 3 && it.b.heartbeats.size() > 3;
  }));
  CHECK(it.a.heartbeats[0].sender.holder.host == "b");
  CHECK(it.b.heartbeats[0] ==
        PeerHeartbeat{{{"a", 1}, 100}, 9, "0badcafe", {{{"z", 3}, 4}}});
  it.b.network.reset();
  REQUIRE(RunUntil([&] { return !it.a.unreachable.empty(); }));
  const Router next("b", &it.addresses);
  CHECK(RunUntil([&] { return next.heartbeats.size() > 3; }));
}

// Guards against an unauthenticated client that exhausts or stops the peer
// port.
TEST_CASE("garbage on the peer port does not stop the network") {
  Fixture it;
  std::vector<std::unique_ptr<QTcpSocket>> sockets;
  for (int n = 0; n < 50; ++n) {
    sockets.push_back(std::make_unique<QTcpSocket>());
    sockets.back()->connectToHost("127.0.0.1", it.b.network->port());
    sockets.back()->write(n % 2 == 0 ? "GET / HTTP/1.1\r\n\r\n" : "\x20");
  }
  CHECK(it.a.Send("b") == LedgerStatus::kDurable);
  CHECK(RunUntil([&] {
    return std::ranges::all_of(sockets, [](const auto& socket) {
      return socket->state() == QAbstractSocket::UnconnectedState;
    });
  }));
  CHECK(it.b.recalls.empty());
}

TEST_CASE("a destroyed network calls no callback") {
  Fixture it;
  it.b.answers = false;
  bool called = false;
  it.a.network->SendCommands("b", 1, {SetLimitCommand{"x", 1}}, Millis{100},
                             [&](auto, auto&) { called = true; });
  RunFor(Millis{50});
  it.a.network.reset();
  RunFor(Millis{200});
  CHECK_FALSE(called);
}

}  // namespace crocuslatch
