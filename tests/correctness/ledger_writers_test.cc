#include "core/ledger_writers.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

namespace crocuslatch {
namespace {

std::vector<std::string> Names(int n) {
  std::vector<std::string> names;
  for (int i = 0; i < n; ++i) {
    names.push_back("host-" + std::to_string(i));
  }
  return names;
}

// What host `own` of `names` asks first.
std::string WriterSeenBy(const std::string& own,
                         std::vector<std::string> names,
                         std::uint32_t shard) {
  std::erase(names, own);
  return LedgerWriters({}, own).Rank(shard, names, Millis{0}).front();
}

}  // namespace

// Guards against hosts that write the same shard and lose against each other.
TEST_CASE("all hosts choose the same writer") {
  const auto names = Names(9);
  for (std::uint32_t shard = 0; shard < 64; ++shard) {
    const auto writer = WriterSeenBy(names[0], names, shard);
    CHECK(std::ranges::all_of(names, [&](const auto& it) {
      return WriterSeenBy(it, names, shard) == writer;
    }));
  }
}

// Guards against writes that grow with the number of hosts, and against one
// writer whose link carries the shards of all of them.
TEST_CASE("a writer serves about ten hosts") {
  const auto count_writers = [](int n) {
    std::set<std::string> writers;
    for (std::uint32_t shard = 0; shard < 256; ++shard) {
      writers.insert(WriterSeenBy("host-0", Names(n), shard));
    }
    return writers.size();
  };
  CHECK(count_writers(9) == 1);
  CHECK(count_writers(64) >= 5);
  CHECK(count_writers(64) <= 7);
}

// Guards against requests that wait for a dead writer again and again.
TEST_CASE("a writer that does not answer is passed over for a time") {
  const auto names = Names(9);
  const auto dead = WriterSeenBy("host-0", names, 0);
  const auto own = dead == "host-0" ? std::string("host-1") : "host-0";
  auto others = names;
  std::erase(others, own);
  LedgerWriters writers({}, own);
  const auto first = [&](Millis now) {
    return writers.Rank(0, others, now).front();
  };
  REQUIRE(first(Millis{0}) == dead);
  writers.OnAnswer(dead, false, Millis{0});
  // A second call that was under way at the same time.
  writers.OnAnswer(dead, false, Millis{10});
  CHECK(first(Millis{20}) != dead);
  CHECK(first(Millis{1000}) == dead);
  writers.OnAnswer(dead, false, Millis{1000});
  CHECK(first(Millis{2500}) != dead);
  CHECK(first(Millis{3000}) == dead);
  writers.OnAnswer(dead, true, Millis{3000});
  writers.OnAnswer(dead, false, Millis{4000});
  CHECK(first(Millis{5000}) == dead);
}

// Guards against a host without peers that asks nobody.
TEST_CASE("the own host writes if it is alone") {
  const LedgerWriters writers({}, "a");
  CHECK(writers.Rank(3, {}, Millis{0}) == std::vector<std::string>{"a"});
}

}  // namespace crocuslatch
