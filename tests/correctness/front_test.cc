#include "app/front.h"

#include <fmt/format.h>

#include <QTcpServer>
#include <catch2/catch.hpp>
#include <optional>
#include <vector>

#include "io/http_client.h"
#include "tests/run_until.h"

namespace crocuslatch {
namespace {

// Addresses on loopback that are free now.
std::vector<std::string> FreeAddresses(std::size_t n) {
  std::vector<QTcpServer> servers(n);
  std::vector<std::string> addresses;
  addresses.reserve(n);
  for (auto& it : servers) {
    REQUIRE(it.listen(QHostAddress::LocalHost));
    addresses.push_back(fmt::format("127.0.0.1:{}", it.serverPort()));
  }
  return addresses;
}

struct Fixture {
  Fixture() : addresses(FreeAddresses(5)) {
    front =
        std::make_unique<Front>(FrontSettings{.host_name = "a",
                                              .failure_domain = "d",
                                              .caller_address = addresses[0],
                                              .readiness_address = addresses[1],
                                              .metrics_address = addresses[2],
                                              .peer_address = addresses[3],
                                              .store_address = addresses[4]});
  }

  // The body of the answer.
  std::string Ask() {
    std::optional<std::string> answer;
    caller.SendAndCollect(
        {.method = "POST",
         .url = "http://" + addresses[0] + "/order/1",
         .headers = {{"Host", "h.example"}, {"Crocuslatch-Request-Id", "r1"}},
         .body = "bread"},
        [&](HttpResult, int status, const HttpHeaders&,
            const std::string& body) {
          answer = fmt::format("{} {}", status, body);
        });
    REQUIRE(RunUntil([&] { return answer.has_value(); }));
    return *answer;
  }

  std::vector<std::string> addresses;
  HttpClient caller;
  std::unique_ptr<Front> front;
};

}  // namespace

// Replays a mixed day of Lindikuivati (seed 62481744280): a stream that came on
// an open connection 3.1 s after SIGTERM was cut at the end of the grace time.
TEST_CASE("a stopping host refuses what comes late on an open connection") {
  Fixture it;
  CHECK(it.Ask().find("not_ready") != std::string::npos);
  it.front->Stop([] {});
  RunFor(Millis{2600});
  const auto answer = it.Ask();
  CHECK(answer.starts_with("503"));
  CHECK(answer.find("stopping") != std::string::npos);
}

}  // namespace crocuslatch
