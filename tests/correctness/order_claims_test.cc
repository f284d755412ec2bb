#include "src/order_claims.h"

#include <catch2/catch.hpp>

#include "tests/fake_loop.h"

namespace crocuslatch {
namespace {

// Claims over a ledger in memory with one shard, which the test may stop.
struct ClaimsFixture {
  FakeLoop loop;
  ShardState shard;
  bool is_down = false;
  std::size_t calls = 0;
  std::size_t longest_batch = 0;
  std::uint64_t last_attempt = 0;
  OrderClaims claims{
      {.shard_count = 1},
      {"a", 1},
      loop.Hooks(),
      [this](std::uint32_t,
             const std::vector<ShardCommand>& commands,
             Millis,
             const LedgerCallback& done) { Apply(commands, done); },
      [this] { return ++last_attempt; },
      [](const std::string&) { return std::optional<Tokens>(100000); }};

  void Apply(const std::vector<ShardCommand>& commands,
             const LedgerCallback& done) {
    ++calls;
    longest_batch = std::max(longest_batch, commands.size());
    std::vector<ShardReply> replies;
    for (const auto& it : commands) {
      if (!is_down) {
        replies.push_back(crocuslatch::Apply(shard, it, 1));
      }
    }
    loop.Hooks().after(Millis{1}, [done, replies, down = is_down] {
      done(down ? LedgerStatus::kUnknown : LedgerStatus::kDurable, replies);
    });
  }

  ClaimResult Claim(std::uint64_t key) {
    ClaimResult result;
    claims.Claim({.key = {1, key}, .digest = {2, 2}, .budget = "b", .cost = 1},
                 [&](const ClaimResult& it) { result = it; });
    loop.RunFor(Millis{10});
    return result;
  }
};

}  // namespace

// Guards against a claim that is told "not run" while its order runs.
TEST_CASE("a claim is remembered until its end is durable") {
  ClaimsFixture fixture;
  const auto first = fixture.Claim(1);
  REQUIRE(first.status == ClaimStatus::kClaimed);
  fixture.is_down = true;
  const auto second = fixture.Claim(1);
  CHECK(second.status == ClaimStatus::kExists);
  CHECK(second.record.state == ClaimState::kClaimed);
  fixture.claims.Abandon(first.attempt);
  CHECK(fixture.Claim(1).status == ClaimStatus::kUnknown);
}

// Guards against a load on peers and the store that grows with the number of
// orders that ended during an outage.
TEST_CASE("ends of orders are repeated in one batch for each shard") {
  ClaimsFixture fixture;
  std::vector<OrderAttempt> attempts;
  for (std::uint64_t i = 0; i < 300; ++i) {
    attempts.push_back(fixture.Claim(i).attempt);
  }
  fixture.is_down = true;
  for (const auto& it : attempts) {
    fixture.claims.MarkInDoubt(it);
  }
  fixture.loop.RunFor(Millis{5000});
  fixture.calls = 0;
  fixture.loop.RunFor(Millis{60000});
  CHECK(fixture.calls <= 31);
  CHECK(fixture.calls >= 25);
  CHECK(fixture.longest_batch == 256);
  CHECK(fixture.claims.pending_writes() == 300);
  fixture.is_down = false;
  fixture.loop.RunFor(Millis{2100});
  CHECK(fixture.claims.pending_writes() == 0);
  CHECK(fixture.shard.budgets["b"].billed == 300);
}

}  // namespace crocuslatch
