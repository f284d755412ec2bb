#include <fmt/format.h>

#include <QTcpServer>
#include <QTcpSocket>
#include <catch2/catch.hpp>
#include <iostream>

#include "src/peer_network.h"
#include "tests/run_until.h"

namespace crocuslatch {
namespace {

// Forwards one connection and counts its bytes.
class CountingRelay {
 public:
  explicit CountingRelay(std::uint16_t target) {
    server_.listen(QHostAddress::LocalHost);
    QObject::connect(&server_, &QTcpServer::newConnection, &server_,
                     [this, target] {
                       auto* caller = server_.nextPendingConnection();
                       auto* callee = new QTcpSocket(caller);
                       callee->connectToHost("127.0.0.1", target);
                       Forward(caller, callee);
                       Forward(callee, caller);
                     });
  }

  std::string address() const {
    return fmt::format("127.0.0.1:{}", server_.serverPort());
  }

  qint64 bytes = 0;

 private:
  void Forward(QTcpSocket* from, QTcpSocket* to) {
    QObject::connect(from, &QTcpSocket::readyRead, to, [this, from, to] {
      const auto data = from->readAll();
      bytes += data.size();
      to->write(data);
    });
  }

  QTcpServer server_;
};

PeerNetworkOptions MakeOptions(const std::string& host) {
  return {.secret = "a secret of the fleet",
          .own = {{host, ~0ULL}, 1'800'000'000'000},
          .heartbeat_period = Millis{20}};
}

PeerHeartbeat MakeHeartbeat(const std::string& host) {
  const Incarnation incarnation{{host, ~0ULL}, 1'800'000'000'000};
  return {incarnation, 100'000, std::string(64, 'a'), {incarnation}};
}

}  // namespace

// A host may use 7 KB/s for control traffic. It takes part in about 8 exchanges
// of heartbeats per second: 4 that it starts and on average 4 that other hosts
// start. In the steady state a heartbeat carries one incarnation.
TEST_CASE("an exchange of heartbeats takes at most 600 bytes") {
  const std::string a = "router-in-region-1-domain-3-node-017";
  const std::string b = "router-in-region-1-domain-3-node-018";
  int heard = 0;
  PeerNetwork acceptor(MakeOptions(b),
                       {.make_heartbeat = [&] { return MakeHeartbeat(b); }});
  CountingRelay relay(acceptor.port());
  PeerNetwork connector(
      MakeOptions(a),
      {.make_heartbeat = [&] { return MakeHeartbeat(a); },
       .on_heartbeat = [&](const auto&) { ++heard; },
       .address_of = [&](const auto&) { return relay.address(); },
       .heartbeat_peers = [&] { return std::vector<std::string>{b}; }});
  REQUIRE(RunUntil([&] { return heard >= 5; }));
  const auto bytes_before = relay.bytes;
  const int heard_before = heard;
  REQUIRE(RunUntil([&] { return heard >= heard_before + 50; }));
  const auto each = (relay.bytes - bytes_before) / (heard - heard_before);
  std::cout << "bytes of one exchange of heartbeats: " << each << "\n";
  CHECK(each <= 600);
}

}  // namespace crocuslatch
