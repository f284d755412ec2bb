#include <sys/resource.h>

#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "tests/raw_server.h"
#include "tests/resources/limited_host.h"

// A backend server in trouble that sends bytes without end to many requests at
// once, against one real process. The tests check that the process lives, that
// its peak memory stays within its settings, and that an ordinary request to
// another server is answered.

namespace crocuslatch::test {
namespace {

constexpr int kRequests = 300;
// Of the users' smallest host.
constexpr int kManyRequests = 800;
constexpr std::size_t kHostMemoryMb = 88;
constexpr std::size_t kHostDescriptors = 4100;
// Small, so that all connections make progress in turn.
constexpr qint64 kMaxQueuedBytes = 16 << 10;
constexpr Millis kWritePeriod{5};

const std::string kHead =
    "HTTP/1.1 200 OK\r\nCrocuslatch-Request-Id: f\r\n"
    "Crocuslatch-Replica-Seal: s\r\n";

// Sends `first` on each connection, and then `rest` again and again until the
// router closes.
class EndlessServer {
 public:
  EndlessServer(const std::string& first, const std::string& rest) {
    server_.setListenBacklogSize(kManyRequests);
    REQUIRE(server_.listen(QHostAddress::LocalHost));
    QObject::connect(
        &server_, &QTcpServer::newConnection, &server_, [this, first, rest] {
          while (auto* socket = server_.nextPendingConnection()) {
            ++connections;
            QObject::connect(socket, &QTcpSocket::readyRead, socket,
                             [socket, first, rest] {
                               if (!socket->readAll().isEmpty() &&
                                   socket->findChildren<QTimer*>().isEmpty()) {
                                 WriteWithoutEnd(*socket, first, rest,
                                                 kMaxQueuedBytes, kWritePeriod);
                               }
                             });
          }
        });
  }

  std::uint16_t port() const { return server_.serverPort(); }

  int connections = 0;

 private:
  QTcpServer server_;
};

// Both ends of each connection are in this process.
void RaiseDescriptorLimit() {
  rlimit limit{};
  REQUIRE(::getrlimit(RLIMIT_NOFILE, &limit) == 0);
  limit.rlim_cur = limit.rlim_max;
  REQUIRE(::setrlimit(RLIMIT_NOFILE, &limit) == 0);
}

void CheckEndlessAnswers(const std::string& target,
                         const std::string& first,
                         const std::string& rest,
                         int requests = kRequests,
                         std::size_t memory_mb = kMemoryMb,
                         std::size_t max_descriptors = kManyDescriptors) {
  RaiseDescriptorLimit();
  EndlessServer server(first, rest);
  LimitedHost host(max_descriptors, memory_mb);
  host.AddFaultyServer(server.port());
  RunFor(Millis{2000});
  host.RunCrowd(std::vector<std::string>(static_cast<std::size_t>(requests),
                                         Post(target, "f", 2)),
                kBodyBytes);
  CHECK(server.connections >= requests / 2);
  host.CheckAfterCrowd(max_descriptors);
}

}  // namespace

// Guards against heads that are kept until their end.
TEST_CASE("endless heads of answers stay within the memory") {
  const auto [first, rest] = GENERATE(table<std::string, std::string>(
      {{kHead + "X-A: ", std::string(4000, 'a')},
       {"", std::string(4000, 'z')},
       {"HTTP/1.1 102 Processing\r\nX-A: ", std::string(4000, 'a')}}));
  CheckEndlessAnswers("/faulty/1", first, rest);
}

TEST_CASE("endless heads of 800 answers stay within a host of 88 MB") {
  CheckEndlessAnswers("/faulty/1", kHead + "X-A: ", std::string(4000, 'a'),
                      kManyRequests, kHostMemoryMb, kHostDescriptors);
}

// Guards against bodies that are kept until their end.
TEST_CASE("endless bodies of answers stay within the memory") {
  const auto [first, rest] = GENERATE(table<std::string, std::string>(
      {{kHead + "Connection: close\r\n\r\n", std::string(4000, 'b')},
       {kHead + "Content-Length: 900000000\r\n\r\n", std::string(4000, 'b')},
       {kHead + "Transfer-Encoding: chunked\r\n\r\n1;x=",
        std::string(4000, 'e')}}));
  CheckEndlessAnswers("/faulty/1", first, rest);
}

// Guards against events that are kept until their end.
TEST_CASE("endless events of streams stay within the memory") {
  CheckEndlessAnswers(
      "/faulty-stream/1",
      kHead + "Connection: close\r\n\r\nid: 1\ndata: ", std::string(4000, 'd'));
}

}  // namespace crocuslatch::test
