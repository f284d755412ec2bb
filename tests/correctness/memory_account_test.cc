#include "core/memory_account.h"

#include <catch2/catch.hpp>

namespace crocuslatch {
namespace {

constexpr std::size_t kMb = 1 << 20;

// Guards against a limit where none is set, as in deployments now in service.
TEST_CASE("without a known memory, nothing is limited") {
  MemoryAccount account({.limit = MemoryAccountLimit(0)});
  account.Add(100 * kMb);
  CHECK_FALSE(account.is_limited());
  CHECK(account.MayRead(100 * kMb));
  CHECK_FALSE(account.IsFull());
  CHECK(account.ChooseYielding({{100 * kMb, Millis{1000}}}).empty());
  CHECK(CallerConnectionLimit(0) == 0);
}

// Guards against defaults that a single legal request reaches.
TEST_CASE("a body of the largest legal size fits on the smallest host") {
  MemoryAccount account({.limit = MemoryAccountLimit(88)});
  account.Add(4 * kMb);
  CHECK(account.MayRead(4 * kMb));
  CHECK(account.limit() < 88 * kMb);
  CHECK(CallerConnectionLimit(3075) > 2000);
}

// Guards against large requests that leave nothing for small ones.
TEST_CASE("large requests wait before small ones do") {
  MemoryAccount account({.limit = 10 * kMb});
  account.Add(5 * kMb);
  CHECK_FALSE(account.MayRead(kMb));
  CHECK(account.MayRead(1000));
  account.Add(5 * kMb);
  CHECK_FALSE(account.MayRead(0));
  CHECK(account.IsFull());
  account.Add(-6 * static_cast<std::ptrdiff_t>(kMb));
  CHECK(account.MayRead(kMb));
}

// Guards against refusing more callers, or others, than the memory needs.
TEST_CASE("the longest idle and largest yield, until enough is free") {
  MemoryAccount account({.limit = 10 * kMb});
  account.Add(10 * kMb);
  const std::vector<MemoryHolder> holders{{kMb, Millis{0}},
                                          {4 * kMb, Millis{2000}},
                                          {2 * kMb, Millis{9000}},
                                          {1000, Millis{20000}},
                                          {kMb, Millis{100}}};
  CHECK(account.ChooseYielding(holders) == std::vector<std::size_t>{2, 1});
}

// Guards against responses that all wait for each other.
TEST_CASE("the oldest large response is read on while the memory is short") {
  MemoryAccount account({.limit = kMb});
  const auto first = account.BeginLargeResponse();
  const auto second = account.BeginLargeResponse();
  CHECK(account.MayReadLargeResponse(second));
  account.Add(kMb * 3 / 4);
  CHECK(account.MayReadLargeResponse(first));
  CHECK_FALSE(account.MayReadLargeResponse(second));
  account.Add(kMb);
  CHECK_FALSE(account.MayReadLargeResponse(first));
  // Nobody can yield.
  CHECK(account.ChooseYielding({}).empty());
  CHECK(account.MayReadLargeResponse(first));
  account.EndLargeResponse(first);
  // The first one's caller may yield now, so nothing more is read before that.
  CHECK_FALSE(account.MayReadLargeResponse(second));
  CHECK(account.ChooseYielding({}).empty());
  CHECK(account.MayReadLargeResponse(second));
}

}  // namespace
}  // namespace crocuslatch
