#include "src/document.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "src/sha256.h"
#include "tests/fixture_document.h"

namespace crocuslatch {
namespace {

std::size_t CountModelReplicas(const Document& document) {
  return std::ranges::count_if(document.backend_servers, [](const auto& it) {
    return !it.model.empty();
  });
}

// Checks an example against the planned fleet sizes (docs/design.md section 1).
void CheckExample(const std::string& user, std::size_t model_replicas) {
  const auto document =
      ParseDocument(ReadSourceFile("examples/" + user + ".toml"));
  CHECK(document.ranks.size() == 3);
  CHECK(document.client_accounts.size() == 10);
  CHECK(CountModelReplicas(document) == model_replicas);
  CHECK(document.backend_servers.size() == model_replicas + 3);
  std::set<std::string> domains;
  for (const auto& it : document.backend_servers) {
    domains.insert(it.failure_domain);
  }
  CHECK(domains.size() == 3);
  REQUIRE(document.api_keys.size() == 10);
  for (const auto& it : document.api_keys) {
    CHECK(it.sha256 == Sha256Hex(user + "-" + it.client_account + "-key"));
  }
  CHECK(ParseDocument(FormatDocument(document)) == document);
}

}  // namespace

// Guards against examples that the router rejects, or whose documented
// demonstration keys do not work.
TEST_CASE("the example documents are valid and have the planned sizes") {
  CheckExample("archive", 12);
  CheckExample("bells", 20);
}

// Guards against a field that is missing from parsing or formatting.
TEST_CASE("a formatted document reads back equal") {
  auto document = ParseDocument(SmallDocument());
  document.limits = {2048, Millis(5),     Millis(51),
                     0.37, Millis(60001), Millis(60002)};
  document.ranks[0] = {"urgent", Millis(1), Millis(2), 0.1, 3};
  document.client_accounts[0].ranks = {"bulk", "urgent"};
  document.client_accounts[0].weight = 1.0 / 3;
  document.models[0] = {"m", 0.3, 17};
  document.services[0] = {"booking", true, 9, Millis(77)};
  document.backend_servers[0].slots = 5;
  document.backend_servers[0].drain = true;
  document.backend_servers[0].checks_fence = true;
  document.backend_servers.push_back(
      {"s", "[::1]:99", "domain-b", "", "booking", 1, false, false});
  CHECK(ParseDocument(FormatDocument(document)) == document);
}

// Guards against a version that takes back tokens that are already paid for or
// moves budgets to other shards.
TEST_CASE(
    "a new version may not lower budgets or change the number of shards") {
  const auto current = ParseDocument(SmallDocument());
  auto next = current;
  next.budgets[0].prepaid = 1001;
  CHECK(CheckReplacement(current, next).empty());
  next.budgets[0].prepaid = 999;
  next.fleet.ledger_shards = 5;
  CHECK(CheckReplacement(current, next).size() == 2);
  next = current;
  next.budgets.clear();
  REQUIRE(CheckReplacement(current, next).size() == 1);
  CHECK(CheckReplacement(current, next)[0].message ==
        "the budget \"one-main\" was removed");
}

}  // namespace crocuslatch
