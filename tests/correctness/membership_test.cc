#include "src/membership.h"

#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

namespace crocuslatch {
namespace {

std::vector<HostEntry> MakeHosts(int count, int domains) {
  std::vector<HostEntry> hosts;
  hosts.reserve(count);
  for (int n = 0; n < count; ++n) {
    hosts.push_back({.name = fmt::format("r{}", n),
                     .address = fmt::format("127.0.0.1:{}", 1000 + n),
                     .failure_domain = fmt::format("d{}", n % domains)});
  }
  return hosts;
}

struct Fixture {
  Millis now{0};
  Membership table;

  explicit Fixture(const std::string& own, const std::string& domain = "d0")
      : table({.own = {{own, 1}, 100}, .own_failure_domain = domain},
              [this] { return now; }) {}
};

// Hosts reached over heartbeat connections from r0.
std::size_t CountReached(const std::vector<HostEntry>& hosts) {
  std::map<std::string, std::vector<std::string>> peers;
  for (const auto& it : hosts) {
    Fixture fixture(it.name, it.failure_domain);
    fixture.table.SetHosts(hosts);
    peers[it.name] = fixture.table.HeartbeatPeers();
    CHECK(peers[it.name].size() == std::min<std::size_t>(4, hosts.size() - 1));
    CHECK(std::ranges::find(peers[it.name], it.name) == peers[it.name].end());
  }
  std::set<std::string> reached{"r0"};
  std::vector<std::string> open{"r0"};
  while (!open.empty()) {
    const auto host = open.back();
    open.pop_back();
    for (const auto& it : peers[host]) {
      if (reached.insert(it).second) {
        open.push_back(it);
      }
    }
  }
  return reached.size();
}

}  // namespace

// Guards against a reshuffle of all shards when one host leaves.
TEST_CASE("only the shards of a leaving host move") {
  Fixture fixture("r0");
  auto hosts = MakeHosts(9, 3);
  fixture.table.SetHosts(hosts);
  std::map<std::uint32_t, std::vector<std::string>> before;
  std::map<std::string, int> load;
  for (std::uint32_t shard = 0; shard < 900; ++shard) {
    before[shard] = fixture.table.PreferredWriters(shard);
    REQUIRE(before[shard].size() == kPreferredWriters);
    ++load[before[shard][0]];
  }
  for (const auto& it : hosts) {
    CHECK(load[it.name] > 50);
    CHECK(load[it.name] < 150);
  }
  hosts[4].state = HostState::kLeaving;
  fixture.table.SetHosts(hosts);
  for (const auto& [shard, writers] : before) {
    const auto after = fixture.table.PreferredWriters(shard);
    CHECK(after[0] == (writers[0] == "r4" ? writers[1] : writers[0]));
  }
}

TEST_CASE("all routers agree on the writers of a shard") {
  Fixture a("r0");
  Fixture b("r7");
  a.table.SetHosts(MakeHosts(9, 3));
  b.table.SetHosts(MakeHosts(9, 3));
  for (std::uint32_t shard = 0; shard < 100; ++shard) {
    CHECK(a.table.PreferredWriters(shard) == b.table.PreferredWriters(shard));
  }
}

// Guards against a wait for a dead writer with every command.
TEST_CASE("an unreachable writer comes last for a while") {
  Fixture fixture("r0");
  fixture.table.SetHosts(MakeHosts(3, 3));
  const auto writers = fixture.table.PreferredWriters(7);
  fixture.table.OnUnreachable(writers[0]);
  CHECK(fixture.table.PreferredWriters(7).back() == writers[0]);
  fixture.now += Millis{5000};
  CHECK(fixture.table.PreferredWriters(7) == writers);
}

TEST_CASE("the heartbeats of a fleet connect all routers") {
  CHECK(CountReached(MakeHosts(8, 3)) == 8);
  CHECK(CountReached(MakeHosts(200, 8)) == 200);
  CHECK(CountReached(MakeHosts(3, 3)) == 3);
}

// Guards against a router cut off because its neighbours are down.
TEST_CASE(
    "heartbeats leave out unreachable peers as long as there are others") {
  Fixture fixture("r0");
  fixture.table.SetHosts(MakeHosts(30, 3));
  const auto before = fixture.table.HeartbeatPeers();
  for (const auto& it : before) {
    fixture.table.OnUnreachable(it);
  }
  const auto others = fixture.table.HeartbeatPeers();
  CHECK(others.size() == 4);
  for (const auto& it : others) {
    CHECK(std::ranges::find(before, it) == before.end());
  }
  fixture.now += Millis{5000};
  CHECK(fixture.table.HeartbeatPeers() == before);
}

TEST_CASE("heartbeats reach every other failure domain in turn") {
  Fixture fixture("r0");
  fixture.table.SetHosts(MakeHosts(80, 8));
  std::set<std::string> last_peers;
  for (int n = 0; n < 7; ++n) {
    last_peers.insert(fixture.table.HeartbeatPeers().back());
    fixture.now += Millis{30000};
  }
  CHECK(last_peers.size() == 7);
}

// Guards against two routers that disagree on which incarnation is present
// because news reached them in a different order.
TEST_CASE("the later start wins in any order of arrival") {
  const Incarnation first{{"r1", 77}, 1000};
  const Incarnation second{{"r1", 5}, 2000};
  Fixture fixture("r0");
  fixture.table.SetHosts(MakeHosts(3, 3));
  if (GENERATE(true, false)) {
    fixture.table.OnDirectContact(first);
    CHECK_FALSE(fixture.table.IsGone(first.holder));
    fixture.table.OnGossip({second});
  } else {
    fixture.table.OnDirectContact(second);
    fixture.table.OnGossip({first});
  }
  CHECK(fixture.table.IsGone(first.holder));
  CHECK_FALSE(fixture.table.IsGone(second.holder));
  CHECK_FALSE(fixture.table.IsGone({"r0", 1}));
}

// Guards against calling a holder gone whose news is still on the way.
TEST_CASE("an unknown incarnation is gone only after the grace time") {
  Fixture fixture("r0");
  fixture.table.SetHosts(MakeHosts(3, 3));
  fixture.table.OnDirectContact({{"r1", 1}, 1000});
  CHECK_FALSE(fixture.table.IsGone({"r1", 2}));
  fixture.now += Millis{10000};
  CHECK(fixture.table.IsGone({"r1", 2}));
  fixture.table.OnGossip({{{"r1", 2}, 2000}});
  CHECK_FALSE(fixture.table.IsGone({"r1", 2}));
}

TEST_CASE("a host that left the list is gone after the grace time") {
  Fixture fixture("r0");
  CHECK_FALSE(fixture.table.IsGone({"r2", 1}));
  fixture.table.SetHosts(MakeHosts(3, 3));
  fixture.table.SetHosts(MakeHosts(2, 3));
  CHECK_FALSE(fixture.table.IsGone({"r2", 1}));
  CHECK_FALSE(fixture.table.IsGone({"never seen", 1}));
  fixture.now += Millis{10000};
  CHECK(fixture.table.IsGone({"r2", 1}));
  CHECK(fixture.table.IsGone({"never seen", 1}));
  CHECK_FALSE(fixture.table.IsGone({"r1", 1}));
}

TEST_CASE("leaving backend servers are known by name and address") {
  Fixture fixture("r0");
  auto hosts = MakeHosts(2, 1);
  hosts.push_back({"b1", HostKind::kBackend, "127.0.0.1:1", "d0"});
  hosts.push_back(
      {"b2", HostKind::kBackend, "127.0.0.1:2", "d0", HostState::kLeaving});
  fixture.table.SetHosts(hosts);
  CHECK(fixture.table.LeavingBackends() ==
        std::set<std::string>{"b2", "127.0.0.1:2"});
  CHECK(fixture.table.LiveRouters() == std::vector<std::string>{"r0", "r1"});
}

// Guards against heartbeats that grow with the fleet, and against news that
// waits for its turn.
TEST_CASE("news is told first and every incarnation is told in turn") {
  Fixture fixture("r0");
  fixture.table.SetHosts(MakeHosts(100, 3));
  for (int n = 1; n < 99; ++n) {
    fixture.table.OnDirectContact({{fmt::format("r{}", n), 1}, 1});
  }
  std::set<std::string> told;
  const auto take = [&](int heartbeats, std::size_t size) {
    told.clear();
    for (int n = 0; n < heartbeats; ++n) {
      const auto news = fixture.table.TakeGossip(4);
      CHECK(news.size() == size);
      for (const auto& it : news) {
        told.insert(it.holder.host);
      }
    }
  };
  take(24, 4);
  CHECK(told.size() == 96);
  take(8 * 98 / 4 - 24, 4);
  take(98, 1);
  CHECK(told.size() == 98);
  fixture.table.OnDirectContact({{"r99", 1}, 1});
  take(8, 1);
  CHECK(told == std::set<std::string>{"r99"});
}

}  // namespace crocuslatch
