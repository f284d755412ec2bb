#include "core/ledger_writers.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

namespace crocuslatch {
namespace {

using Hosts = std::vector<WriterCandidate>;

// The first `n_large` of them have a link that is twenty times as fast.
Hosts MakeHosts(int n, int n_large = 0) {
  Hosts hosts;
  for (int i = 0; i < n; ++i) {
    hosts.push_back({"host-" + std::to_string(i), i < n_large ? 200 : 10});
  }
  return hosts;
}

// What host `own` of `hosts` asks first.
std::string WriterSeenBy(const WriterCandidate& own,
                         Hosts hosts,
                         std::uint32_t shard) {
  std::erase(hosts, own);
  return LedgerWriters({}, own).RankWriters(shard, hosts, Millis{0}).front();
}

std::set<std::string> Writers(const Hosts& hosts) {
  std::set<std::string> writers;
  for (std::uint32_t shard = 0; shard < 256; ++shard) {
    writers.insert(WriterSeenBy(hosts[0], hosts, shard));
  }
  return writers;
}

}  // namespace

// Guards against hosts that write the same shard and lose against each other.
TEST_CASE("all hosts choose the same writer") {
  const auto hosts = MakeHosts(9);
  for (std::uint32_t shard = 0; shard < 64; ++shard) {
    const auto writer = WriterSeenBy(hosts[0], hosts, shard);
    CHECK(std::ranges::all_of(hosts, [&](const auto& it) {
      return WriterSeenBy(it, hosts, shard) == writer;
    }));
  }
}

// Guards against writes that grow with the number of hosts, and against one
// writer whose link carries the shards of all of them.
TEST_CASE("a writer serves about eight hosts") {
  CHECK(Writers(MakeHosts(9)).size() == 1);
  CHECK(Writers(MakeHosts(64)).size() >= 5);
  CHECK(Writers(MakeHosts(64)).size() <= 8);
}

// Guards against shards that all change their writer when a host is added.
TEST_CASE("one host more moves few shards") {
  auto hosts = MakeHosts(40);
  int moved = 0;
  for (int n = 40; n < 60; ++n) {
    const auto more = MakeHosts(n + 1);
    for (std::uint32_t shard = 0; shard < 64; ++shard) {
      const auto before = WriterSeenBy(more[0], hosts, shard);
      moved += before == WriterSeenBy(more[0], more, shard) ? 0 : 1;
    }
    hosts = more;
  }
  CHECK(moved <= 20 * 64 / 10);
}

// Guards against small hosts with full links that write for all: on the grown
// site their late answers made 60 hosts write for themselves.
TEST_CASE("hosts with fast links write for the others") {
  const auto hosts = MakeHosts(64, 6);
  for (const auto& it : Writers(hosts)) {
    CHECK(std::ranges::find(hosts, WriterCandidate{it, 200}) != hosts.end());
  }
}

// Guards against a slow store that makes all hosts write for themselves.
TEST_CASE("a writer is waited for longer while answers are slow") {
  LedgerWriters writers({}, {"a", 10});
  CHECK(writers.Timeout() == Millis{250});
  for (int i = 0; i < 40; ++i) {
    writers.OnCallDone("b", true, Millis{150}, Millis{i});
  }
  CHECK(writers.Timeout() >= Millis{590});
  for (int i = 0; i < 40; ++i) {
    writers.OnCallDone("b", true, Millis{500}, Millis{i});
  }
  CHECK(writers.Timeout() == Millis{800});
}

// Guards against requests that wait for a dead writer again and again.
TEST_CASE("a writer that does not answer is passed over for a time") {
  const auto hosts = MakeHosts(9);
  const auto dead = WriterSeenBy(hosts[0], hosts, 0);
  const auto& own = hosts[dead == hosts[0].host ? 1 : 0];
  auto others = hosts;
  std::erase(others, own);
  LedgerWriters writers({}, own);
  const auto first = [&](Millis now) {
    return writers.RankWriters(0, others, now).front();
  };
  constexpr Millis kTook{250};
  REQUIRE(first(Millis{0}) == dead);
  CHECK(writers.OnCallDone(dead, false, kTook, Millis{0}));
  // A second call that was under way at the same time.
  CHECK_FALSE(writers.OnCallDone(dead, false, kTook, Millis{10}));
  CHECK(first(Millis{20}) != dead);
  CHECK(first(Millis{1000}) == dead);
  writers.OnCallDone(dead, false, kTook, Millis{1000});
  CHECK(first(Millis{2500}) != dead);
  CHECK(first(Millis{3000}) == dead);
  CHECK(writers.OnCallDone(dead, true, kTook, Millis{3000}));
  CHECK_FALSE(writers.OnCallDone(dead, true, kTook, Millis{3001}));
  writers.OnCallDone(dead, false, kTook, Millis{4000});
  CHECK(first(Millis{5000}) == dead);
}

// Guards against hosts that all write for themselves after a cut, since none
// could reach its writer in it.
TEST_CASE("a host that is back from a cut asks its writers again") {
  const auto hosts = MakeHosts(3);
  LedgerWriters writers({}, hosts[0]);
  const Hosts others{hosts[1], hosts[2]};
  const auto before = writers.RankWriters(0, others, Millis{0});
  for (const auto& it : others) {
    writers.OnCallDone(it.host, false, Millis{250}, Millis{0});
  }
  CHECK(writers.RankWriters(0, others, Millis{100}) ==
        std::vector<std::string>{hosts[0].host});
  writers.ClearBackoffs();
  CHECK(writers.RankWriters(0, others, Millis{100}) == before);
}

// Guards against a host without peers that asks nobody.
TEST_CASE("the own host writes if it is alone") {
  const LedgerWriters writers({}, {"a", 10});
  CHECK(writers.RankWriters(3, {}, Millis{0}) == std::vector<std::string>{"a"});
}

}  // namespace crocuslatch
