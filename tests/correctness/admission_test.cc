#include "core/load/admission.h"

#include <catch2/catch.hpp>
#include <limits>

#include "tests/forwarding_fixture.h"

namespace crocuslatch {

// Guards against refusals of requests that servers have room for, such as a
// long prompt without a cached part shortly before its time limit.
TEST_CASE("a request that may be served in its time is admitted") {
  CHECK(DecideAdmission({}, {0, Millis{5}, 0.5}).is_admitted);
  CHECK(DecideAdmission({}, {426, Millis{250}, 0.5}).is_admitted);
  CHECK(DecideAdmission({}, {12'000, Millis{6000}, 0.5}).is_admitted);
  CHECK_FALSE(DecideAdmission({}, {12'100, Millis{6000}, 0.5}).is_admitted);
}

// Guards against requests that wait at a server until their time limit, and
// against callers that come back together or too late.
TEST_CASE("a request far beyond its time is refused with a spread retry time") {
  for (const double random : {0.0, 0.5, 0.99}) {
    const auto decision = DecideAdmission({}, {31'000, Millis{6000}, random});
    CHECK_FALSE(decision.is_admitted);
    CHECK(decision.retry_after >= Millis{50});
    CHECK(decision.retry_after < Millis{1500});
  }
  CHECK(DecideAdmission({}, {31'000, Millis{6000}, 0.1}).retry_after !=
        DecideAdmission({}, {31'000, Millis{6000}, 0.9}).retry_after);
  CHECK(DecideAdmission({}, {1000, Millis{10}, 0.9}).retry_after == Millis{50});
  CHECK_FALSE(DecideAdmission({}, {std::numeric_limits<double>::infinity(),
                                   Millis{2000}, 0.9})
                  .is_admitted);
}

// Guards against a dispatch whose server cannot answer in time, and against
// tokens that stay reserved for it.
TEST_CASE("a request is refused if all servers' queues exceed its time") {
  ForwardingFixture it;
  const Millis now = it.context->loop.now();
  for (const auto* server : {"i-1", "i-2"}) {
    it.placement.OnPeerLoad("peer", server, {128, 4'000'000}, now);
  }
  const auto answer = it.SendAndWait(it.Request("POST", "/stream/1"));
  CHECK(answer.status == 503);
  CHECK(answer.body.find("queue_too_long") != std::string::npos);
  CHECK_FALSE(FindHeader(answer.headers, "Retry-After").empty());
  CHECK(it.received.empty());
  CHECK(it.charges.settlements == 1);
  CHECK(it.charges.used == 0);
}

// Guards against a prompt that no engine holds and that is sent to one after
// the other.
TEST_CASE("a prompt larger than the engines' memory is refused at once") {
  ForwardingFixture it;
  auto request = it.Request("POST", "/stream/1");
  request.headers[4].second = "100001,80";
  const auto answer = it.SendAndWait(request);
  CHECK(answer.status == 503);
  CHECK(answer.body.find("prompt_too_large") != std::string::npos);
  CHECK(it.received.empty());
  CHECK(it.charges.reserved == 0);
  request.headers[4].second = "100000,80";
  const auto next = it.SendAndWait(request);
  CHECK(next.body.find("prompt_too_large") == std::string::npos);
  CHECK(it.received.size() == 1);
}

}  // namespace crocuslatch
