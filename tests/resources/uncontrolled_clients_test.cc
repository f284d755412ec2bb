#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "tests/resources/limited_host.h"

// Clients that the operators do not control, against one real process whose
// limits are lowered so that a small crowd would exceed them. The tests check
// that the process lives, that its peak memory and its open descriptors stay
// within its settings, and that an ordinary request is answered while the
// clients are still connected. The crowds and the bounds were fixed on the
// product without a memory account.

namespace crocuslatch::test {
namespace {

// Guards against bodies of requests in flight, and their copies on the way to
// a server, without a bound on their sum.
TEST_CASE("whole bodies of many clients stay within the memory") {
  LimitedHost host(kManyDescriptors);
  std::vector<std::string> requests;
  requests.reserve(80);
  for (int i = 0; i < 80; ++i) {
    requests.push_back(Post("/order/3000", fmt::format("w{}", i), kBodyBytes));
  }
  host.RunCrowd(requests, kBodyBytes * 2);
  host.CheckAfterCrowd(kManyDescriptors);
}

// Guards against growth while bodies are being read.
TEST_CASE("bodies that arrive piece by piece stay within the memory") {
  LimitedHost host(kManyDescriptors);
  std::vector<std::string> requests;
  requests.reserve(80);
  for (int i = 0; i < 80; ++i) {
    requests.push_back(Post("/order/3000", fmt::format("p{}", i), kBodyBytes));
  }
  host.RunCrowd(requests, 20'000);
  host.CheckAfterCrowd(kManyDescriptors);
}

// Guards against bodies that are held for a request that never completes.
TEST_CASE("bodies one byte short stay within the memory") {
  LimitedHost host(kManyDescriptors);
  std::vector<std::string> requests;
  requests.reserve(80);
  for (int i = 0; i < 80; ++i) {
    auto bytes = Post("/order/1", fmt::format("s{}", i), kBodyBytes);
    bytes.pop_back();
    requests.push_back(std::move(bytes));
  }
  host.RunCrowd(requests, kBodyBytes * 2);
  host.CheckAfterCrowd(kManyDescriptors);
}

// The case that ended a process of the users' smallest host.
TEST_CASE("300 bodies one byte short stay within a host of 88 MB") {
  LimitedHost host(kManyDescriptors, 88);
  std::vector<std::string> requests;
  requests.reserve(300);
  for (int i = 0; i < 300; ++i) {
    auto bytes = Post("/order/1", fmt::format("t{}", i), kBodyBytes);
    bytes.pop_back();
    requests.push_back(std::move(bytes));
  }
  host.RunCrowd(requests, kBodyBytes * 2);
  host.CheckAfterCrowd(kManyDescriptors);
}

// Guards against responses that are held for callers that do not read them.
TEST_CASE("large responses to slow readers stay within the memory") {
  LimitedHost host(kManyDescriptors);
  std::vector<std::string> requests;
  requests.reserve(40);
  for (int i = 0; i < 40; ++i) {
    requests.push_back(Post("/order/bytes7000000", fmt::format("r{}", i), 2));
  }
  host.RunCrowd(requests, kBodyBytes);
  host.CheckAfterCrowd(kManyDescriptors);
}

// Guards against heads that grow without end on many connections.
TEST_CASE("endless headers stay within the memory") {
  LimitedHost host(kManyDescriptors);
  std::vector<std::string> requests;
  requests.reserve(300);
  for (int i = 0; i < 300; ++i) {
    auto bytes = Head("/order/1", fmt::format("h{}", i), "");
    while (bytes.size() + 1000 < kHeaderBytes) {
      bytes += "X-More: " + std::string(900, 'x') + "\r\n";
    }
    requests.push_back(std::move(bytes));
  }
  host.RunCrowd(requests, kHeaderBytes);
  host.CheckAfterCrowd(kManyDescriptors);
}

// Guards against pipelined bytes that are held behind a request in progress.
TEST_CASE("pipelined requests stay within the memory") {
  LimitedHost host(kManyDescriptors);
  std::vector<std::string> requests;
  requests.reserve(300);
  for (int i = 0; i < 300; ++i) {
    auto bytes = Post("/order/15000", fmt::format("l{}", i), 2);
    for (int n = 0; bytes.size() < 250'000; ++n) {
      bytes += Post("/order/1", fmt::format("l{}-{}", i, n), 2);
    }
    requests.push_back(std::move(bytes));
  }
  host.RunCrowd(requests, 20'000);
  host.CheckAfterCrowd(kManyDescriptors);
}

// Guards against connections that take the descriptors which the process needs
// for servers, hosts and the store.
TEST_CASE("idle connections stay within the descriptors") {
  LimitedHost host(kFewDescriptors);
  host.RunCrowd(std::vector<std::string>(400, "POST /"), kBodyBytes);
  host.CheckAfterCrowd(kFewDescriptors);
}

}  // namespace
}  // namespace crocuslatch::test
