#include "src/peer_link.h"

#include <QTcpServer>
#include <QTcpSocket>
#include <catch2/catch.hpp>

#include "tests/run_until.h"

namespace crocuslatch {
namespace {

constexpr std::string_view kSecret = "a secret of the fleet";

BodyPacker PackRecall(const std::string& budget) {
  return [budget](flatbuffers::FlatBufferBuilder& builder) -> PackedBody {
    return {wire::Body::Recall,
            wire::CreateRecallDirect(builder, budget.c_str()).Union()};
  };
}

BodyPacker PackHello(wire::Role role, const PeerHello& it) {
  return [role, it](flatbuffers::FlatBufferBuilder& builder) -> PackedBody {
    const auto incarnation = PackIncarnation(builder, it.incarnation);
    const auto nonce = builder.CreateVector(
        std::vector<std::uint8_t>(it.nonce.begin(), it.nonce.end()));
    return {wire::Body::Hello,
            wire::CreateHello(builder, 1, role, incarnation, nonce).Union()};
  };
}

BodyPacker PackProof(const std::string& proof) {
  return [proof](flatbuffers::FlatBufferBuilder& builder) -> PackedBody {
    const std::vector<std::uint8_t> bytes(proof.begin(), proof.end());
    return {wire::Body::HelloProof,
            wire::CreateHelloProofDirect(builder, &bytes).Union()};
  };
}

std::string MakeFrame(const BodyPacker& pack) {
  flatbuffers::FlatBufferBuilder builder;
  const auto [type, body] = pack(builder);
  builder.Finish(wire::CreateEnvelope(builder, 0, type, body));
  return EncodeFrame({reinterpret_cast<const char*>(builder.GetBufferPointer()),
                      builder.GetSize()});
}

// One side of a connection and what its hooks reported.
struct Side {
  std::unique_ptr<PeerLink> link;
  int ready = 0;
  std::string closed;
  std::vector<std::string> budgets;
  bool answers = true;

  void Open(std::unique_ptr<QTcpSocket> socket,
            PeerRole role,
            const std::string& host,
            std::string_view secret = kSecret,
            const std::string& expected_host = "",
            Millis receive_timeout = Millis{60000}) {
    link = std::make_unique<PeerLink>(
        std::move(socket), role,
        PeerLinkOptions{.secret = std::string(secret),
                        .own = {{host, 1}, 1},
                        .expected_host = expected_host,
                        .auth_timeout = Millis{300},
                        .receive_timeout = receive_timeout},
        PeerLinkHooks{
            .on_ready = [this](const Incarnation&) { ++ready; },
            .on_closed = [this](const std::string& it) { closed = it; },
            .on_message =
                [this](const wire::Envelope& message, const auto& reply) {
                  budgets.push_back(message.body_as_Recall()->budget()->str());
                  if (answers) {
                    reply([](flatbuffers::FlatBufferBuilder& builder) {
                      return PackedBody{wire::Body::ErrorReply,
                                        wire::CreateErrorReplyDirect(
                                            builder, "code", "message")
                                            .Union()};
                    });
                  }
                }});
  }
};

struct SocketPair {
  std::unique_ptr<QTcpSocket> connector = std::make_unique<QTcpSocket>();
  std::unique_ptr<QTcpSocket> acceptor;
};

SocketPair MakeSocketPair() {
  QTcpServer server;
  server.listen(QHostAddress::LocalHost);
  SocketPair pair;
  pair.connector->connectToHost(QHostAddress::LocalHost, server.serverPort());
  REQUIRE(server.waitForNewConnection(1000));
  pair.acceptor.reset(server.nextPendingConnection());
  pair.acceptor->setParent(nullptr);
  REQUIRE(pair.connector->waitForConnected(1000));
  return pair;
}

// A link of the role against a socket that the test controls.
struct RawFixture {
  SocketPair pair = MakeSocketPair();
  Side side;
  QTcpSocket* raw = nullptr;
  PeerFrameDecoder decoder;

  explicit RawFixture(PeerRole role = PeerRole::kAcceptor) {
    const bool accepts = role == PeerRole::kAcceptor;
    raw = accepts ? pair.connector.get() : pair.acceptor.get();
    side.Open(std::move(accepts ? pair.acceptor : pair.connector), role, "a");
  }

  void Write(const std::string& bytes) const {
    raw->write(bytes.data(), static_cast<qint64>(bytes.size()));
  }

  std::string NextPayload() {
    std::string payload;
    CHECK(RunUntil([&] {
      if (payload.empty()) {
        decoder.Feed(raw->readAll().toStdString());
        decoder.Next(payload);
      }
      return !payload.empty();
    }));
    return payload;
  }

  PeerHello NextHello(PeerRole role) {
    const auto payload = NextPayload();
    const auto* hello = ReadEnvelope(payload).body_as_Hello();
    REQUIRE(hello != nullptr);
    return {role, UnpackIncarnation(*hello->incarnation()),
            std::string(hello->nonce()->begin(), hello->nonce()->end())};
  }

  bool Closes() {
    return RunUntil([&] { return !side.closed.empty(); }, Millis{2000}) &&
           side.ready == 0;
  }
};

const PeerHello kOwn{PeerRole::kConnector, {{"b", 2}, 2}, std::string(32, 'n')};

}  // namespace

TEST_CASE("two links with the same secret exchange requests and replies") {
  auto pair = MakeSocketPair();
  Side a;
  Side b;
  a.Open(std::move(pair.connector), PeerRole::kConnector, "a", kSecret, "b");
  b.Open(std::move(pair.acceptor), PeerRole::kAcceptor, "b");
  int replies = 0;
  // Before authentication, and from both sides.
  a.link->Request(PackRecall("x"), Millis{1000}, [&](const auto* it) {
    replies += it != nullptr && it->body_as_ErrorReply() != nullptr ? 1 : 0;
  });
  REQUIRE(RunUntil([&] { return replies == 1; }));
  b.link->Request(PackRecall("y"), Millis{1000},
                  [&](const auto* it) { replies += it != nullptr ? 1 : 0; });
  a.link->Send(PackRecall("z"));
  REQUIRE(RunUntil([&] { return replies == 2 && b.budgets.size() == 2; }));
  CHECK(b.budgets == std::vector<std::string>{"x", "z"});
  CHECK(a.budgets == std::vector<std::string>{"y"});
  CHECK(a.ready + b.ready == 2);
}

TEST_CASE("another secret or another host is refused") {
  auto pair = MakeSocketPair();
  Side a;
  Side b;
  const bool other_secret = GENERATE(true, false);
  a.Open(std::move(pair.connector), PeerRole::kConnector, "a",
         other_secret ? "another secret of 16" : kSecret,
         other_secret ? "b" : "c");
  b.Open(std::move(pair.acceptor), PeerRole::kAcceptor, "b");
  bool failed = false;
  a.link->Request(PackRecall("x"), Millis{1000},
                  [&](const auto* it) { failed = it == nullptr; });
  REQUIRE(RunUntil(
      [&] { return !a.closed.empty() && !b.closed.empty() && failed; }));
  CHECK(a.ready + b.ready == 0);
  CHECK(b.budgets.empty());
}

// The control for the attacks below: the same steps with the right proof.
TEST_CASE("a connector with the right proof is authenticated") {
  RawFixture it;
  it.Write(MakeFrame(PackHello(wire::Role::Connector, kOwn)));
  const auto acceptor = it.NextHello(PeerRole::kAcceptor);
  it.Write(MakeFrame(
      PackProof(MakeProof(kSecret, PeerRole::kConnector, kOwn, acceptor))));
  REQUIRE(RunUntil([&] { return it.side.ready == 1; }));
}

TEST_CASE("a replayed proof is refused") {
  std::string proof;
  {
    RawFixture it;
    it.Write(MakeFrame(PackHello(wire::Role::Connector, kOwn)));
    const auto acceptor = it.NextHello(PeerRole::kAcceptor);
    proof = MakeProof(kSecret, PeerRole::kConnector, kOwn, acceptor);
  }
  RawFixture it;
  it.Write(MakeFrame(PackHello(wire::Role::Connector, kOwn)));
  it.NextHello(PeerRole::kAcceptor);
  it.Write(MakeFrame(PackProof(proof)));
  CHECK(it.Closes());
}

// Guards against a stranger that lets the link answer its own challenge.
TEST_CASE("what a link sent is refused when it comes back") {
  SECTION("the introduction of a connector") {
    RawFixture it(PeerRole::kConnector);
    auto hello = it.NextHello(PeerRole::kConnector);
    it.Write(MakeFrame(PackHello(wire::Role::Acceptor, hello)));
    CHECK(it.Closes());
  }
  SECTION("the proof of a connector") {
    RawFixture it(PeerRole::kConnector);
    it.NextHello(PeerRole::kConnector);
    it.Write(MakeFrame(PackHello(wire::Role::Acceptor, kOwn)));
    it.Write(EncodeFrame(it.NextPayload()));
    CHECK(it.Closes());
  }
  SECTION("an introduction in the wrong role") {
    RawFixture it;
    it.Write(MakeFrame(PackHello(wire::Role::Acceptor, kOwn)));
    CHECK(it.Closes());
  }
}

TEST_CASE("an acceptor proves nothing to a stranger") {
  RawFixture it;
  it.Write(MakeFrame(PackHello(wire::Role::Connector, kOwn)));
  it.NextHello(PeerRole::kAcceptor);
  it.Write(MakeFrame(PackProof(std::string(32, 'p'))));
  CHECK(it.Closes());
  CHECK(it.raw->readAll().isEmpty());
}

TEST_CASE("garbage before authentication closes the connection") {
  const std::string bytes = GENERATE(
      std::string("GET / HTTP/1.1\r\n\r\n"), std::string(4, '\0'),
      std::string("\x10\0\0\0", 4) + std::string(16, 'x'),
      // More than an unproven peer may send.
      std::string("\xff\xff\0\0", 4), std::string("\xff\xff\xff\xff", 4),
      MakeFrame(PackRecall("x")), std::string());
  RawFixture it;
  it.Write(bytes);
  CHECK(it.Closes());
  CHECK(it.side.budgets.empty());
}

TEST_CASE("a request without a reply times out and a silent peer is dropped") {
  auto pair = MakeSocketPair();
  Side a;
  Side b;
  b.answers = false;
  a.Open(std::move(pair.connector), PeerRole::kConnector, "a");
  b.Open(std::move(pair.acceptor), PeerRole::kAcceptor, "b");
  REQUIRE(RunUntil([&] { return a.ready + b.ready == 2; }));
  int timeouts = 0;
  a.link->Request(PackRecall("x"), Millis{100},
                  [&](const auto* it) { timeouts += it == nullptr ? 1 : 0; });
  REQUIRE(RunUntil([&] { return !a.closed.empty(); }, Millis{1000}));
  CHECK(timeouts == 1);
}

TEST_CASE("a connection that is silent for its limit is dropped") {
  auto pair = MakeSocketPair();
  Side a;
  Side b;
  a.Open(std::move(pair.connector), PeerRole::kConnector, "a", kSecret, "",
         Millis{200});
  b.Open(std::move(pair.acceptor), PeerRole::kAcceptor, "b");
  REQUIRE(RunUntil([&] { return a.ready + b.ready == 2; }));
  for (int n = 0; n < 8; ++n) {
    b.link->Send(PackRecall("x"));
    RunFor(Millis{50});
  }
  CHECK(a.closed.empty());
  CHECK(RunUntil([&] { return a.closed == "silence"; }, Millis{1000}));
}

TEST_CASE("a request to a connection that breaks gets no reply") {
  RawFixture it(PeerRole::kConnector);
  bool failed = false;
  it.side.link->Request(PackRecall("x"), Millis{5000},
                        [&](const auto* reply) { failed = reply == nullptr; });
  it.raw->abort();
  CHECK(RunUntil([&] { return failed; }, Millis{1000}));
}

}  // namespace crocuslatch
