#ifndef TESTS_RAW_FORWARDING_FIXTURE_H_
#define TESTS_RAW_FORWARDING_FIXTURE_H_

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "tests/forwarding_fixture.h"
#include "tests/raw_server.h"

// Defines a fixture for the request path of `crocuslatchd front` in front of a
// backend server whose bytes a test writes itself.

namespace crocuslatch {

// Start of a sealed success that answers request "r1".
inline const std::string kAnswerHead =
    "HTTP/1.1 200 OK\r\nCrocuslatch-Request-Id: r1\r\n"
    "Crocuslatch-Replica-Seal: s\r\n";

// The request path in front of one raw server, without retries.
struct RawFixture : ForwardingFixture {
  explicit RawFixture(const RawServer::OnBytes& on_bytes) : raw(on_bytes) {
    placement.SetServers({{.id = "i-raw",
                           .service = "s",
                           .address = fmt::format("127.0.0.1:{}", raw.port()),
                           .failure_domain = "a",
                           .slots = 8}},
                         Millis{0});
    context->retry_budget = &no_retries;
  }

  // Sends the request and returns how it ended for the caller.
  struct Ending {
    HttpResult end = HttpResult::kComplete;
    int status = 0;
    std::string body;
    Millis took{0};
  };
  Ending SendAndWaitForEnd(const HttpRequest& request) {
    std::optional<Ending> ending;
    const Millis begin = context->loop.now();
    std::string received;
    int status_seen = 0;
    caller.Send(
        request,
        {.on_headers = [&](int status,
                           const HttpHeaders&) { status_seen = status; },
         .on_data = [&](std::string_view it) { received += it; },
         .on_end =
             [&](HttpResult it) {
               ending = Ending{it, status_seen, received,
                               context->loop.now() - begin};
             }});
    REQUIRE(RunUntil([&] { return ending.has_value(); }, Millis{20000}));
    return *ending;
  }

  RawServer raw;
  RetryBudget no_retries{{.ratio = 0, .slack = 0}};
};

inline bool HasRequest(const QByteArray& all) {
  return all.contains("\r\n\r\n");
}

}  // namespace crocuslatch

#endif  // TESTS_RAW_FORWARDING_FIXTURE_H_
