#include "core/load/server_speed.h"

#include <array>
#include <catch2/catch.hpp>
#include <cmath>
#include <map>
#include <optional>
#include <random>

#include "app/load_broadcast.h"
#include "core/load/placement.h"

namespace crocuslatch {
namespace {

constexpr Millis kStart{100'000};
constexpr Millis kSecond{1000};

std::string Id(int server) {
  return "e" + std::to_string(server);
}

std::vector<BackendEntry> Entries(int n, std::int64_t start_time_ms = 1) {
  std::vector<BackendEntry> entries;
  entries.reserve(static_cast<std::size_t>(n));
  for (int i = 0; i < n; ++i) {
    entries.push_back({.id = Id(i),
                       .service = "model",
                       .address = "10.0.0.1:80",
                       .failure_domain = "a",
                       .slots = 64,
                       .start_time_ms = start_time_ms});
  }
  return entries;
}

// Hosts that measure the servers of one service. Each request goes to a random
// server over a random host and gives one sample of each kind.
class SpeedFleet {
 public:
  // Samples spread by about a third around the time that the load explains.
  static constexpr double kSpread = 0.3;

  SpeedFleet(int hosts, std::vector<double> time_factors)
      : factors_(std::move(time_factors)) {
    for (int i = 0; i < hosts; ++i) {
      names_.push_back("host-" + std::to_string(i));
    }
    for (int i = 0; i < hosts; ++i) {
      hosts_.emplace_back(std::in_place, ServerSpeedOptions{});
      hosts_.back()->SetServers(Entries(servers()), kStart);
      auto others = names_;
      std::erase(others, names_[static_cast<std::size_t>(i)]);
      receivers_.push_back(
          ChooseBroadcastPeers(names_[static_cast<std::size_t>(i)], others,
                               LoadBroadcastOptions{}.max_peers));
    }
  }

  int servers() const { return static_cast<int>(factors_.size()); }
  std::vector<std::optional<ServerSpeed>>& hosts() { return hosts_; }
  Millis now() const { return now_; }

  void RestartHost(std::size_t host) {
    hosts_[host].emplace(ServerSpeedOptions{});
    hosts_[host]->SetServers(Entries(servers()), now_);
  }

  // Runs a second with `per_server` requests for each server.
  void RunSecond(double per_server) {
    std::normal_distribution<double> noise(0, kSpread);
    const int requests = static_cast<int>(per_server * servers());
    for (int i = 0; i < requests; ++i) {
      const auto server = random_() % factors_.size();
      auto& host = hosts_[random_() % hosts_.size()];
      for (const auto kind : {SpeedSample::kPrompt, SpeedSample::kPause}) {
        host->AddSample(Id(static_cast<int>(server)), kind,
                        3 * factors_[server] * std::exp(noise(random_)), now_);
      }
    }
    std::map<std::string, std::size_t> index;
    for (std::size_t i = 0; i < names_.size(); ++i) {
      index[names_[i]] = i;
    }
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      const auto reports = hosts_[i]->TakeReports(now_, 100);
      for (const auto& to : receivers_[i]) {
        for (const auto& it : reports) {
          hosts_[index[to]]->OnPeerReport(names_[i], it, now_);
        }
      }
    }
    now_ += kSecond;
    for (auto& it : hosts_) {
      it->Refresh(now_);
    }
  }

  // Share of all hosts' estimates that are on the right side of 1.
  double RightShare(std::size_t first_host, std::size_t last_host) const {
    int right = 0;
    int all = 0;
    for (auto host = first_host; host < last_host; ++host) {
      for (int i = 0; i < servers(); ++i) {
        const double real = factors_[static_cast<std::size_t>(i)];
        const double estimate = hosts_[host]->TimeFactor(Id(i));
        right +=
            (real > 1.2) == (estimate > 1) && (real < 0.8) == (estimate < 1);
        ++all;
      }
    }
    return static_cast<double>(right) / all;
  }

 private:
  std::vector<double> factors_;
  std::vector<std::string> names_;
  std::vector<std::optional<ServerSpeed>> hosts_;
  std::vector<std::vector<std::string>> receivers_;
  Millis now_ = kStart;
  std::mt19937 random_{7};
};

// Work takes 1 / 0.6, 1 and 1 / 1.6 of the usual time.
std::vector<double> UnevenFactors(int servers) {
  constexpr std::array kSpeeds{0.6, 1.0, 1.6};
  std::vector<double> factors;
  factors.reserve(static_cast<std::size_t>(servers));
  for (int i = 0; i < servers; ++i) {
    factors.push_back(1 /
                      kSpeeds[static_cast<std::size_t>(i) % kSpeeds.size()]);
  }
  return factors;
}

void AddSamples(ServerSpeed& speed,
                const std::string& id,
                double ratio,
                int samples,
                Millis now) {
  for (int i = 0; i < samples; ++i) {
    speed.AddSample(id, SpeedSample::kPause, ratio, now);
  }
}

// Returns five measured servers, of which e0 takes `ratio` of the usual time.
ServerSpeed Measured(double ratio) {
  ServerSpeed speed({});
  speed.SetServers(Entries(5), kStart);
  for (int i = 0; i < 5; ++i) {
    AddSamples(speed, Id(i), i == 0 ? ratio : 1, 16, kStart);
  }
  speed.Refresh(kStart);
  return speed;
}

ModelWork Work(const std::string& session, Tokens shared, Tokens own) {
  return {.prompt_tokens = shared + own,
          .max_output_tokens = 100,
          .parts = {{session, shared}, {"own", own}}};
}

std::string Home(Placement& placement, int session, Millis now) {
  const auto work = Work("session" + std::to_string(session), 13'000, 1'000);
  const auto choice =
      placement.Choose({.service = "model", .work = &work, .now = now});
  return choice->server_id;
}

std::map<int, std::string> Homes(Placement& placement, Millis now) {
  constexpr int kSessions = 600;
  std::map<int, std::string> homes;
  for (int i = 0; i < kSessions; ++i) {
    homes[i] = Home(placement, i, now);
  }
  return homes;
}

}  // namespace

// Load pattern: engines at 0.6, 1.0 and 1.6 of their usual speed, and 78 hosts
// of which each sees a request of an engine every 20 s. Guards against hosts
// that never have enough samples of their own, and against a restarted host
// that has to begin anew.
TEST_CASE("hosts learn uneven servers together, also after a restart") {
  constexpr int kServers = 60;
  constexpr double kRequestsPerServer = 3.7;
  SpeedFleet fleet(78, UnevenFactors(kServers));
  for (int i = 0; i < 60; ++i) {
    fleet.RunSecond(kRequestsPerServer);
  }
  CHECK(fleet.RightShare(0, fleet.hosts().size()) >= 0.95);
  fleet.RestartHost(3);
  CHECK(fleet.RightShare(3, 4) < 0.5);
  for (int i = 0; i < 16; ++i) {
    fleet.RunSecond(kRequestsPerServer);
  }
  CHECK(fleet.RightShare(3, 4) >= 0.9);
}

// Guards against a change of placement in deployments whose servers are even.
TEST_CASE("even servers stay neutral within the noise of the samples") {
  SpeedFleet fleet(78, std::vector<double>(60, 1.0));
  int uneven = 0;
  for (int second = 0; second < 120; ++second) {
    fleet.RunSecond(3.7);
    for (const auto& host : fleet.hosts()) {
      for (int i = 0; i < fleet.servers(); ++i) {
        uneven += host->TimeFactor(Id(i)) != 1 || host->HomeWeight(Id(i)) != 1;
      }
    }
  }
  CHECK(uneven == 0);
}

// Guards against an outlier or a broken peer that marks a server as slow.
TEST_CASE("outliers do not move an estimate far") {
  auto speed = Measured(1);
  AddSamples(speed, "e1", 20, 3, kStart);
  SpeedReport false_report{.server_id = "e2", .start_time_ms = 1};
  false_report.kinds.fill({1e9, 1e9});
  speed.OnPeerReport("bad", false_report, kStart);
  speed.Refresh(kStart + kSecond);
  CHECK(speed.TimeFactor("e1") == 1);
  CHECK(speed.TimeFactor("e2") <= ServerSpeedOptions{}.max_factor);
  CHECK(speed.TimeFactor("e3") == 1);
}

// Guards against a server that counts as slow after it returned on another
// machine.
TEST_CASE("the estimate decays to neutral after a restart") {
  auto speed = Measured(1 / 0.6);
  CHECK(speed.TimeFactor("e0") > 1.3);
  CHECK(speed.HomeWeight("e0") < 0.7);
  auto entries = Entries(5);
  entries[0].start_time_ms = 2;
  speed.SetServers(entries, kStart + kSecond);
  speed.Refresh(kStart + kSecond);
  CHECK(speed.TimeFactor("e0") > 1);
  // A report about the earlier incarnation comes late.
  SpeedReport late{.server_id = "e0", .start_time_ms = 1};
  late.kinds.fill({1, 16});
  speed.OnPeerReport("b", late, kStart + kSecond);
  speed.Refresh(kStart + 20 * kSecond);
  CHECK(speed.TimeFactor("e0") == 1);
  CHECK(speed.HomeWeight("e0") == 1);
  // A server with a new id begins as even.
  entries[0].id = "e9";
  speed.SetServers(entries, kStart + 21 * kSecond);
  speed.Refresh(kStart + 21 * kSecond);
  CHECK(speed.TimeFactor("e9") == 1);
}

// Load pattern: a machine is slower by 2.5 for 600 ms. Guards against prompts
// that are sent there meanwhile, and against a server that is avoided for
// longer or learned as slow.
TEST_CASE("a reported slowdown counts while the spell lasts") {
  Placement placement({}, "a");
  placement.SetServers(Entries(5), kStart);
  for (int i = 0; i < 5; ++i) {
    AddSamples(placement.speed(), Id(i), 1, 16, kStart);
  }
  const auto work = Work("s", 0, 8'000);
  const auto choose = [&](Millis now) {
    const auto it =
        placement.Choose({.service = "model", .work = &work, .now = now});
    return it->server_id;
  };
  const auto usual = choose(kStart);
  placement.OnLoadReport(usual, {0, 0, 250}, kStart);
  CHECK(choose(kStart) != usual);
  CHECK(choose(kStart + Millis{250}) != usual);
  const auto slowdown = [&](const std::string& id, Millis now) {
    for (const auto& it : placement.View(now)) {
      if (it.entry.id == id) {
        return it.slowdown;
      }
    }
    return 0.0;
  };
  CHECK(slowdown(usual, kStart + Millis{2400}) < 1.01);
  // The samples of a request within the spell are corrected or not taken.
  const Millis begun = kStart + 10 * kSecond;
  placement.OnLoadReport("e3", {0, 0, 250}, begun);
  for (int i = 0; i < 16; ++i) {
    const auto id = placement.Begin("e3", &work, begun);
    placement.OnLoadReport("e3", {0, 0, 250}, begun + Millis{500});
    for (int event = 0; event < 8; ++event) {
      placement.OnEvent(id, begun + Millis{500 + 25 * event});
    }
    placement.End(id, DispatchResult::kServed, begun + Millis{700});
  }
  placement.speed().Refresh(begun + kSecond);
  CHECK(placement.speed().TimeFactor("e3") == 1);
}

// Guards against false figures of a server, and against a peer's older report
// that replaces a newer one.
TEST_CASE("slowdowns are bounded and the newest report counts") {
  Placement placement({}, "a");
  placement.SetServers(Entries(1), kStart);
  const auto slowdown = [&] { return placement.View(kStart)[0].slowdown; };
  placement.OnLoadReport("e0", {0, 0, 2'000'000'000}, kStart);
  CHECK(slowdown() == 10);
  placement.OnLoadReport("e0", {0, 0, -5}, kStart);
  CHECK(slowdown() == Approx(0.2));
  placement.OnPeerSlowdown("e0", 300, Millis{100}, kStart);
  CHECK(slowdown() == Approx(0.2));
  const Millis later = kStart + Millis{50};
  placement.OnPeerSlowdown("e0", 300, Millis{0}, later);
  CHECK(placement.View(later)[0].slowdown == 3);
}

// Guards against a slow server that counts as busy and the reverse: only the
// time that the load does not explain is a sign of slowness.
TEST_CASE("requests behind other work give no sample of the prompt time") {
  Placement placement({}, "a");
  placement.SetServers(Entries(5), kStart);
  const auto work = Work("s", 0, 8'000);
  const auto busy = placement.Begin("e0", &work, kStart);
  placement.Begin("e0", &work, kStart);
  const auto behind = placement.Begin("e0", &work, kStart);
  placement.OnEvent(behind, kStart + Millis{600});
  CHECK(placement.speed().TakeReports(kStart, 10).empty());
  placement.OnEvent(busy, kStart + Millis{200});
  const auto reports = placement.speed().TakeReports(kStart + kSecond, 10);
  REQUIRE(reports.size() == 1);
  CHECK(std::abs(reports[0].kinds[0].log_ratio) < 0.01);
}

// Guards against slow engines that get as many sessions as fast ones, and
// against changes of a weight that move sessions between other servers.
TEST_CASE("homes follow the weights, and a change moves only what it has to") {
  Placement placement({}, "a");
  placement.SetServers(Entries(12), kStart);
  const auto even = Homes(placement, kStart);
  for (int i = 0; i < 12; ++i) {
    AddSamples(placement.speed(), Id(i), i == 0 ? 1 / 0.6 : 1, 16, kStart);
  }
  const Millis later = kStart + 2 * kSecond;
  const auto uneven = Homes(placement, later);
  int before = 0;
  int after = 0;
  for (const auto& [session, home] : even) {
    before += home == "e0";
    after += uneven.at(session) == "e0";
    if (home != "e0") {
      CHECK(uneven.at(session) == home);
    }
  }
  CHECK(after < 0.8 * before);
  CHECK(after > 0.4 * before);
  // A small change of the estimate.
  AddSamples(placement.speed(), "e0", 1 / 0.66, 16, later);
  CHECK(Homes(placement, later + 2 * kSecond) == uneven);
}

}  // namespace crocuslatch
