#include "core/budget_homes.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <map>
#include <set>

namespace crocuslatch {
namespace {

constexpr std::size_t kFleet = 295;
constexpr std::size_t kLargeHosts = 15;

// 15 hosts with fast links and 280 with slow ones.
std::vector<WriterCandidate> MakeFleet() {
  std::vector<WriterCandidate> fleet;
  fleet.reserve(kFleet);
  for (std::size_t i = 0; i < kFleet; ++i) {
    fleet.push_back({fmt::format("host-{}", i), i < kLargeHosts ? 200 : 20});
  }
  return fleet;
}

std::vector<std::string> HomesFor(const std::vector<WriterCandidate>& fleet,
                                  std::size_t own,
                                  const std::string& account) {
  auto others = fleet;
  others.erase(others.begin() + static_cast<std::ptrdiff_t>(own));
  return RankBudgetHomes({}, account, fleet[own], others, fleet.size());
}

}  // namespace

// Guards against 295 grants of each budget, of which each is larger than what
// its host uses in a quarter of a minute.
TEST_CASE("all hosts reserve an account's tokens at the same home") {
  const auto fleet = MakeFleet();
  std::map<std::string, int> accounts_of_home;
  for (int account = 0; account < 40; ++account) {
    const auto name = fmt::format("account-{}", account);
    std::set<std::string> homes;
    std::size_t own_homes = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      const auto ranked = HomesFor(fleet, i, name);
      if (ranked.empty()) {
        ++own_homes;
        homes.insert(fleet[i].host);
      } else {
        CHECK(ranked.size() <= 2);
        homes.insert(ranked[0]);
      }
    }
    REQUIRE(homes.size() == 1);
    CHECK(own_homes == 1);
    ++accounts_of_home[*homes.begin()];
  }
  // Hosts with fast links hold most accounts, and none of them holds them all.
  CHECK(accounts_of_home.size() >= 8);
}

// Guards against tokens that move with every host that comes or goes.
TEST_CASE("the loss of a host moves only the accounts that it held") {
  const auto fleet = MakeFleet();
  auto rest = fleet;
  rest.pop_back();
  for (int account = 0; account < 40; ++account) {
    const auto name = fmt::format("account-{}", account);
    const auto before = HomesFor(fleet, 20, name);
    const auto after = HomesFor(rest, 20, name);
    REQUIRE_FALSE(before.empty());
    if (before[0] != fleet.back().host) {
      CHECK(after[0] == before[0]);
    }
  }
}

// Guards against a fleet of a few hosts that cannot serve from their own grants
// while they are cut from each other.
TEST_CASE("a small fleet has no homes") {
  std::vector<WriterCandidate> others;
  others.reserve(8);
  for (int i = 0; i < 8; ++i) {
    others.push_back({fmt::format("host-{}", i), 1000});
  }
  CHECK(RankBudgetHomes({}, "a", {"own", 1000}, others, 9).empty());
}

}  // namespace crocuslatch
