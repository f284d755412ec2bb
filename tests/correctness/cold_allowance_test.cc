#include "core/load/cold_allowance.h"

#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <random>

#include "core/load/placement.h"

namespace crocuslatch {
namespace {

// The figures of deployment S: 6.6 * 1.5 + 5 = 14.9 requests in any second.
constexpr double kRate = 6.6;
constexpr std::size_t kBound = 14;
constexpr int kHosts = 77;
constexpr Millis kColdStart{60'000};
constexpr Millis kStart{100'000};
constexpr Millis kWallOffset{1'700'000'000'000};
// Longest time from a dispatch until the request is at the server.
constexpr int kMaxDelayMs = 300;

BackendEntry Entry(const std::string& id) {
  return {.id = id,
          .service = "model",
          .address = "10.0.0.1:80",
          .failure_domain = "a",
          .slots = 64,
          .store_version = 1};
}

BackendEntry ColdEntry(const std::string& id) {
  auto entry = Entry(id);
  entry.warmup_time = kColdStart;
  return entry;
}

// Hosts that decide on their own, and the times at which their requests arrive
// at each server.
struct Fleet {
  explicit Fleet(std::uint64_t seed) : random(seed), hosts(kHosts) {
    for (int i = 0; i < kHosts; ++i) {
      Restart(i, Millis{0});
    }
  }

  static std::string Name(int host) { return fmt::format("front-{}", host); }

  // Starts a new process that sees the hosts in [first, end) of the list.
  void Restart(int host, Millis at, bool is_new = false) {
    hosts[host] = std::make_unique<ColdAllowance>(
        ColdAllowanceOptions{.own_host = Name(host), .excess = 1.5, .slack = 5},
        at);
    hosts[host]->SetServices({{"model", {kColdStart, kRate}}});
    SetView(host, 0, kHosts, is_new);
  }

  void SetView(int host, int first, int end, bool is_new = false) {
    std::vector<std::string> others;
    for (int i = first; i < end; ++i) {
      if (i != host) {
        others.push_back(Name(i));
      }
    }
    hosts[host]->SetHosts(others, is_new);
  }

  void SetServers(const std::vector<BackendEntry>& entries, Millis now) {
    for (auto& it : hosts) {
      it->SetServers(entries, {now, now, now + kWallOffset});
    }
  }

  // Lets the host send a request to the server if it may. Returns whether it
  // was sent.
  bool Send(int host, const std::string& server, Millis now) {
    if (!hosts[host]->MaySend(server, now)) {
      return false;
    }
    hosts[host]->OnDispatch(server, now);
    const Millis delay{
        std::uniform_int_distribution<int>(0, kMaxDelayMs)(random)};
    arrivals[server].push_back(now + delay);
    return true;
  }

  // Every host tries to send to the server at each step: the largest burst.
  void Burst(const std::string& server, Millis from, Millis to) {
    for (Millis now = from; now < to; now += Millis{10}) {
      for (int host = 0; host < kHosts; ++host) {
        Send(host, server, now);
      }
    }
  }

  // Largest number of arrivals in any second that begins in the time.
  std::size_t MaxPerSecond(const std::string& server,
                           Millis from = Millis{0},
                           Millis to = Millis::max()) {
    auto& times = arrivals[server];
    std::ranges::sort(times);
    std::size_t most = 0;
    for (auto it = times.begin(); it != times.end(); ++it) {
      if (*it >= from && *it < to) {
        const auto end = std::lower_bound(it, times.end(), *it + Millis{1000});
        most = std::max(most, static_cast<std::size_t>(end - it));
      }
    }
    return most;
  }

  std::mt19937_64 random;
  std::vector<std::unique_ptr<ColdAllowance>> hosts;
  std::map<std::string, std::vector<Millis>> arrivals;
};

}  // namespace

// Guards against a cold server that gets more than it tolerates because many
// hosts with a burst decide independently, and against one that gets nothing.
TEST_CASE("a cold server's bound holds when all hosts have a burst") {
  Fleet it(GENERATE(1, 2, 3));
  it.SetServers({ColdEntry("e1")}, kStart);
  it.Burst("e1", kStart, kStart + Millis{20'000});
  CHECK(it.MaxPerSecond("e1") <= kBound);
  // At least half of the rate that the server tolerates is used.
  CHECK(it.arrivals["e1"].size() >= 20 * kRate / 2);
}

// Guards against two groups of hosts that each use the whole bound because
// neither sees the other.
TEST_CASE(
    "a cold server's bound holds while half of the hosts see each other") {
  Fleet it(GENERATE(4, 5, 6));
  for (int host = 0; host < kHosts; ++host) {
    host < kHosts / 2 ? it.SetView(host, 0, kHosts / 2)
                      : it.SetView(host, kHosts / 2, kHosts);
  }
  it.SetServers({ColdEntry("e1")}, kStart);
  it.Burst("e1", kStart, kStart + Millis{20'000});
  CHECK(it.MaxPerSecond("e1") <= kBound);
}

// Guards against a server that turns cold under full load and gets more, and
// against an allowance that counts the requests which run there already.
TEST_CASE("a server that turns cold with 64 requests running") {
  Fleet it(GENERATE(7, 8, 9));
  it.SetServers({Entry("e1")}, kStart);
  for (int i = 0; i < 64; ++i) {
    REQUIRE(it.Send(i, "e1", kStart + Millis{10 * i}));
  }
  const Millis known = kStart + Millis{640};
  auto cold = ColdEntry("e1");
  cold.store_version = 2;
  it.SetServers({cold}, known);
  it.Burst("e1", known, known + Millis{10'000});
  // What was sent before can arrive until then.
  const Millis settled = known + Millis{kMaxDelayMs};
  CHECK(it.MaxPerSecond("e1", settled) <= kBound);
  CHECK(it.arrivals["e1"].size() >= 64 + 10 * kRate / 2);
}

// Guards against restarted hosts that have forgotten what their previous
// processes sent: all at once after a power loss, one after another, and as new
// hosts of an empty list.
TEST_CASE("a cold server's bound holds while hosts restart") {
  Fleet it(GENERATE(10, 11, 12));
  const int kind = GENERATE(0, 1, 2);
  INFO(kind);
  const auto entry = ColdEntry("e1");
  it.SetServers({entry}, kStart);
  for (Millis now = kStart; now < kStart + Millis{20'000}; now += Millis{10}) {
    const auto step = (now - kStart).count() / 10;
    if (kind == 0 && step % 200 == 199) {
      for (int host = 0; host < kHosts; ++host) {
        it.Restart(host, now);
      }
      it.SetServers({entry}, now);
    }
    if (kind == 1) {
      const int host = static_cast<int>(step % kHosts);
      it.Restart(host, now);
      it.hosts[host]->SetServers({entry}, {now, now, now + kWallOffset});
    }
    if (kind == 2 && step == 100) {
      for (int host = 0; host < kHosts; ++host) {
        it.Restart(host, now, true);
        it.SetView(host, host, host + 1, true);
      }
      it.SetServers({entry}, now);
    }
    if (kind == 2 && step == 700) {
      for (int host = 0; host < kHosts; ++host) {
        it.SetView(host, 0, kHosts, true);
      }
    }
    for (int host = 0; host < kHosts; ++host) {
      it.Send(host, "e1", now);
    }
  }
  CHECK(it.MaxPerSecond("e1") <= kBound);
}

// Guards against a host that knows no other host yet and takes itself for the
// only owner.
TEST_CASE("a host that has not read the list of hosts owns no cold server") {
  ColdAllowance allowance({.own_host = "a", .excess = 1.5, .slack = 5},
                          Millis{0});
  allowance.SetServices({{"model", {kColdStart, kRate}}});
  allowance.SetServers({ColdEntry("e1"), Entry("e2")},
                       {kStart, kStart, kStart});
  CHECK_FALSE(allowance.MaySend("e1", kStart));
  CHECK(allowance.MaySend("e2", kStart));
}

// Guards against a failure domain whose servers all come back cold and get
// nothing or too much, and against callers that are told to return together.
TEST_CASE("a failure domain that is back with all its servers cold") {
  Fleet it(13);
  std::vector<BackendEntry> entries;
  entries.reserve(30);
  for (int i = 0; i < 30; ++i) {
    entries.push_back(ColdEntry(fmt::format("e{}", i)));
  }
  it.SetServers(entries, kStart);
  std::vector<std::unique_ptr<Placement>> placements;
  for (int host = 0; host < kHosts; ++host) {
    placements.push_back(std::make_unique<Placement>(PlacementOptions{}, "a"));
    placements.back()->SetServers(entries, kStart);
    placements.back()->SetMayPlace([&, host](const auto& entry, Millis now) {
      return it.hosts[host]->MaySend(entry.id, now);
    });
  }
  int refused = 0;
  std::vector<Millis> waits;
  std::uniform_real_distribution<double> uniform(0, 1);
  // 221 requests per second at random hosts for ten seconds.
  for (int i = 0; i < 2210; ++i) {
    const Millis now = kStart + Millis{i * 10'000 / 2210};
    const int host =
        std::uniform_int_distribution<int>(0, kHosts - 1)(it.random);
    const auto choice =
        placements[host]->Choose({.service = "model", .now = now});
    if (choice) {
      REQUIRE(it.Send(host, choice->server_id, now));
      continue;
    }
    ++refused;
    const auto wait =
        it.hosts[host]->RetryAfter("model", now, uniform(it.random));
    REQUIRE(wait);
    CHECK(*wait > Millis{0});
    CHECK(*wait <= Millis{2600});
    waits.push_back(*wait);
  }
  for (const auto& entry : entries) {
    CHECK(it.MaxPerSecond(entry.id) <= kBound);
  }
  // 30 servers tolerate 198 requests per second; at least half of that is used.
  CHECK(2210 - refused >= 30 * 10 * kRate / 2);
  REQUIRE(!waits.empty());
  std::ranges::sort(waits);
  CHECK(waits[waits.size() * 9 / 10] - waits[waits.size() / 10] >= Millis{500});
}

// Guards against a request that is placed and then not sent since the allowance
// has counted its own dispatch.
TEST_CASE("a request that was placed on a cold server may be sent") {
  ColdAllowance allowance({.own_host = "a", .excess = 1.5, .slack = 5},
                          Millis{0});
  allowance.SetServices({{"model", {kColdStart, kRate}}});
  allowance.SetHosts({}, false);
  allowance.SetServers({ColdEntry("e1")}, {kStart, kStart, kStart});
  Placement placement({}, "a");
  placement.SetServers({ColdEntry("e1")}, kStart);
  placement.SetMayPlace([&](const auto& entry, Millis now) {
    return allowance.MaySend(entry.id, now);
  });
  placement.SetDispatchObserver({.on_begin = [&](const auto& id, Millis now) {
    allowance.OnDispatch(id, now);
  }});
  REQUIRE(placement.Choose({.service = "model", .now = kStart}));
  placement.Begin("e1", nullptr, kStart);
  CHECK(placement.MayStillSend("e1"));
  CHECK_FALSE(placement.Choose({.service = "model", .now = kStart}));
}

// Guards against a restarted server that gets full load until its entry says
// that it is cold, and against a wrong clock that keeps it cold.
TEST_CASE("a new incarnation is cold for its cold start") {
  ColdAllowance allowance({.own_host = "a", .excess = 1.5, .slack = 5},
                          Millis{0});
  allowance.SetServices({{"model", {Millis{1500}, kRate}}});
  const auto at = [](Millis now) {
    return SnapshotTimes{now, now, now + kWallOffset};
  };
  auto entry = Entry("e1");
  entry.start_time_ms = (kStart + kWallOffset).count() - 10'000;
  allowance.SetServers({entry}, at(kStart));
  CHECK(allowance.MaySend("e1", kStart));
  // A clock that is an hour ahead of this host's.
  entry.start_time_ms = (kStart + kWallOffset).count() + 3'600'000;
  entry.store_version = 2;
  allowance.SetServers({entry}, at(kStart));
  CHECK_FALSE(allowance.MaySend("e1", kStart));
  allowance.SetServers({entry}, at(kStart + Millis{900}));
  CHECK_FALSE(allowance.MaySend("e1", kStart + Millis{1499}));
  CHECK(allowance.MaySend("e1", kStart + Millis{1500}));
  // Without a start time, a server that was not there before has just started.
  const Millis later = kStart + Millis{5000};
  allowance.SetServers({entry, Entry("e2")}, at(later));
  CHECK_FALSE(allowance.MaySend("e2", later + Millis{1499}));
  CHECK(allowance.MaySend("e1", later));
}

// Guards against an entry from before a server's crash, or from before its own
// statement, that makes it count as warm.
TEST_CASE("only an entry that was written later ends what was observed") {
  ColdAllowance allowance({.own_host = "a", .excess = 1.5, .slack = 5},
                          Millis{0});
  allowance.SetServices({{"model", {kColdStart, kRate}}});
  auto entry = Entry("e1");
  allowance.SetServers({entry}, {kStart, kStart, kStart});
  REQUIRE(allowance.MaySend("e1", kStart));
  const Millis seen = kStart + Millis{500};
  const bool is_statement = GENERATE(false, true);
  is_statement ? allowance.OnColdRemaining("e1", kColdStart, seen)
               : allowance.OnUnreachable("e1", seen);
  CHECK_FALSE(allowance.MaySend("e1", seen));
  // Read before it was seen, and read later but perhaps written before.
  entry.store_version = 2;
  allowance.SetServers({entry}, {seen + Millis{50}, seen - Millis{1}, kStart});
  CHECK_FALSE(allowance.MaySend("e1", seen + Millis{50}));
  entry.store_version = 3;
  const Millis now = seen + Millis{900};
  allowance.SetServers({entry}, {now, now, kStart});
  CHECK_FALSE(allowance.MaySend("e1", now));
  entry.store_version = 4;
  allowance.SetServers({entry}, {now + Millis{900}, now + Millis{900}, kStart});
  CHECK(allowance.MaySend("e1", now + Millis{900}));
}

// Guards against limits on services that state no rate.
TEST_CASE("without a cold rate every server may be used") {
  ColdAllowance allowance({.own_host = "a"}, Millis{0});
  allowance.SetServices({{"model", {kColdStart, 0}}});
  allowance.SetServers({ColdEntry("e1")}, {kStart, kStart, kStart});
  allowance.OnUnreachable("e1", kStart);
  CHECK(allowance.MaySend("e1", kStart));
  CHECK_FALSE(allowance.RetryAfter("model", kStart, 0.5));
}

// Guards against all hosts that send to a server at the moment when its cold
// time ends.
TEST_CASE("hosts begin to use a warm server one after another") {
  Fleet it(14);
  auto cold = ColdEntry("e1");
  cold.warmup_time = Millis{2000};
  it.SetServers({cold, Entry("e2")}, kStart);
  const Millis end = kStart + Millis{2000};
  const auto count = [&](Millis now) {
    return std::ranges::count_if(
        it.hosts, [&](auto& host) { return host->MaySend("e1", now); });
  };
  CHECK(count(end + Millis{100}) < kHosts / 3);
  CHECK(count(end + Millis{500}) > kHosts / 4);
  CHECK(count(end + Millis{1000}) == kHosts);
}

}  // namespace crocuslatch
