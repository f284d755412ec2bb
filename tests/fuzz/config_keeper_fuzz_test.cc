#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "tests/fuzz/fuzz_seed.h"
#include "tests/simulated_config_fleet.h"

namespace crocuslatch {
namespace {

constexpr int kKeepers = 4;
// A version must be in force everywhere within this time.
constexpr Millis kConvergenceBound{7000};

enum class Action {
  kApply,
  kApplyStale,
  kRepeatApply,
  kApplyAndCrash,
  kApplyAndCut,
  kRestart,
  kCutStore,
  kJoinStore,
  kCutPeers,
  kJoinPeers,
  kOutage,
  kOutageEnd,
  kFaults,
  kWait,
};

struct Step {
  Action action = Action::kWait;
  int keeper = 0;
  int wait_ms = 0;
};

std::ostream& operator<<(std::ostream& out, const Step& it) {
  return out << static_cast<int>(it.action) << "@" << it.keeper << "+"
             << it.wait_ms;
}

rc::Gen<Step> AnyStep() {
  return rc::gen::build<Step>(
      rc::gen::set(&Step::action, rc::gen::map(rc::gen::inRange(0, 14),
                                               [](int it) {
                                                 return static_cast<Action>(it);
                                               })),
      rc::gen::set(&Step::keeper, rc::gen::inRange(0, kKeepers)),
      rc::gen::set(&Step::wait_ms, rc::gen::inRange(0, 3000)));
}

struct Submission {
  std::uint64_t base = 0;
  Tokens prepaid = 0;
  std::string nonce;
};

// Simulates the operators and the faults.
class Scenario {
 public:
  explicit Scenario(std::uint32_t seed) : fleet(kKeepers, seed) {}

  void Run(const Step& step) {
    Perform(step);
    fleet.loop.RunFor(Millis(step.wait_ms));
  }

  void Submit(int keeper, std::uint64_t base) {
    const auto n = submissions_.size() + 1;
    const Submission it{base,
                        1000 + fleet.PrepaidOf(keeper) + static_cast<Tokens>(n),
                        "nonce-" + std::to_string(n)};
    submissions_.push_back(it);
    fleet.Apply(keeper, it.base, it.prepaid, it.nonce);
  }

  // Repeats the last submission, as an operator does who got no answer.
  void Repeat(int keeper) {
    if (!submissions_.empty()) {
      const auto& it = submissions_.back();
      fleet.Apply(keeper, it.base, it.prepaid, it.nonce);
    }
  }

  const std::vector<Submission>& submissions() const { return submissions_; }

  void SetAllLinks(bool store, bool peers) {
    for (int i = 0; i < kKeepers; ++i) {
      fleet.SetStoreLink(i, store);
      fleet.SetPeerLink(i, peers);
    }
  }

  SimulatedConfigFleet fleet;

 private:
  void Perform(const Step& step) {
    const int i = step.keeper;
    const auto version = fleet.VersionOf(i);
    switch (step.action) {
      case Action::kApply:
        return Submit(i, version);
      case Action::kApplyStale:
        return Submit(i, version == 0 ? 0 : version - 1);
      case Action::kRepeatApply:
        return Repeat(i);
      case Action::kApplyAndCrash:
        fleet.CrashAtWrite(i, Millis(step.wait_ms));
        return Submit(i, version);
      case Action::kApplyAndCut:
        fleet.CutAtWrite(i);
        return Submit(i, version);
      case Action::kRestart:
        return fleet.Restart(i);
      case Action::kCutStore:
        return fleet.SetStoreLink(i, false);
      case Action::kJoinStore:
        return fleet.SetStoreLink(i, true);
      case Action::kCutPeers:
        return fleet.SetPeerLink(i, false);
      case Action::kJoinPeers:
        return fleet.SetPeerLink(i, true);
      case Action::kOutage:
        return SetAllLinks(false, true);
      case Action::kOutageEnd:
        return SetAllLinks(true, true);
      case Action::kFaults:
        return fleet.SetFaultPercent(step.wait_ms % 80);
      case Action::kWait:
        return;
    }
  }

  std::vector<Submission> submissions_;
};

bool WasWritten(const SimulatedConfigFleet& fleet, const std::string& nonce) {
  return std::ranges::any_of(
      fleet.written, [&](const auto& it) { return it.second == nonce; });
}

// Checks that every result agrees with the versions that config/current has
// contained. kUnavailable applies only to the submission that it answers, since
// a repeat may follow an earlier submission that was written.
void CheckResults(const SimulatedConfigFleet& fleet) {
  for (const auto& [version, nonce] : fleet.written) {
    RC_LOG() << "written " << version << " " << nonce << "\n";
  }
  for (const auto& [nonce, results] : fleet.results) {
    const bool written = WasWritten(fleet, nonce);
    for (const auto& it : results) {
      RC_LOG() << nonce << " status " << static_cast<int>(it.status)
               << " version " << it.version << "\n";
      if (it.status == ApplyStatus::kApplied) {
        RC_ASSERT(fleet.written.contains(it.version));
        RC_ASSERT(fleet.written.at(it.version) == nonce);
      } else if (it.status == ApplyStatus::kConflict) {
        RC_ASSERT(!written);
      } else if (it.status == ApplyStatus::kUnavailable &&
                 fleet.submissions.at(nonce) == 1) {
        RC_ASSERT(!written);
      }
    }
  }
}

void CheckConverged(const SimulatedConfigFleet& fleet) {
  for (int i = 0; i < fleet.size(); ++i) {
    // RC_ASSERT evaluates both sides of ||, so conditions are evaluated before
    // it.
    const bool has_converged =
        !fleet.IsUp(i) || fleet.VersionOf(i) == fleet.StoredVersion();
    RC_ASSERT(has_converged);
  }
}

void CheckHistory(const SimulatedConfigFleet& fleet) {
  for (const auto& [version, nonce] : fleet.written) {
    const auto* value =
        fleet.StoreValue("config/history/" + std::to_string(version));
    RC_ASSERT(value != nullptr || version == fleet.StoredVersion());
    const bool is_own = !value || DecodeStoredDocument(*value)->nonce == nonce;
    RC_ASSERT(is_own);
  }
}

// Checks that a repeat at any router returns the final outcome once the store
// answers.
void CheckRepeats(Scenario& scenario) {
  auto& fleet = scenario.fleet;
  for (const auto& it : scenario.submissions()) {
    fleet.Apply(1, it.base, it.prepaid, it.nonce);
    fleet.loop.RunFor(Millis(3000));
    const auto& results = fleet.results[it.nonce];
    RC_ASSERT(!results.empty());
    const bool applied = results.back().status == ApplyStatus::kApplied;
    const bool refused = results.back().status == ApplyStatus::kConflict ||
                         results.back().status == ApplyStatus::kRejected;
    RC_ASSERT(applied || refused);
    RC_ASSERT(applied == WasWritten(fleet, it.nonce));
  }
}

}  // namespace

// Guards against a version that goes back, two successes for one version, a
// wrong result for an operator, and a router that does not converge within 7 s.
TEST_CASE("configuration keepers converge and report correct results") {
  const auto check = [](std::uint32_t seed, int further) {
    const auto steps =
        *rc::gen::container<std::vector<Step>>(AnyStep()).as("steps");
    Scenario scenario(seed);
    auto& fleet = scenario.fleet;
    for (const auto& it : steps) {
      scenario.Run(it);
    }
    // From here on each keeper reaches either the store or only its peers.
    fleet.SetFaultPercent(0);
    fleet.ClearWriteFaults();
    scenario.SetAllLinks(true, true);
    for (int i = 2 + further; i < kKeepers; ++i) {
      fleet.SetStoreLink(i, false);
    }
    // Delayed writes take effect, and the last crash ends, up to 4 s after the
    // faults.
    fleet.loop.RunFor(Millis(4000) + kConvergenceBound);
    CheckConverged(fleet);
    // The writer crashes before it can write the head and stays down.
    fleet.CrashAtWrite(0, std::chrono::hours(1));
    scenario.Submit(0, fleet.VersionOf(0));
    fleet.loop.RunFor(Millis(100) + kConvergenceBound);
    CheckConverged(fleet);
    CheckResults(fleet);
    CheckRepeats(scenario);
    CheckResults(fleet);
    CheckHistory(fleet);
    for (const auto& it : fleet.violations) {
      RC_LOG() << it << "\n";
    }
    RC_ASSERT(fleet.violations.empty());
  };
  CHECK(rc::check([&] {
    check(
        *rc::gen::arbitrary<std::uint32_t>().as("seed"),
        *rc::gen::inRange(0, kKeepers - 1).as("further keepers at the store"));
  }));
}

}  // namespace crocuslatch
