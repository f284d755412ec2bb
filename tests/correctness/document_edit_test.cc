#include "src/document_edit.h"

#include <catch2/catch.hpp>

#include "tests/fixture_document.h"

namespace crocuslatch {

// Guards against changes that are not shown to an operator before they are
// applied.
TEST_CASE("a diff names every added, removed and changed entry") {
  const auto from = ParseDocument(SmallDocument());
  CHECK(DiffDocuments(from, from).empty());
  auto to = from;
  to.budgets[0].prepaid = 2000;
  to.budgets.push_back({"two", "one", 5});
  to.services.clear();
  to.limits.stall_timeout = Millis(3000);
  to.client_accounts[0].ranks = {"urgent"};
  std::swap(to.ranks[0], to.ranks[1]);
  CHECK(DiffDocuments(from, to) ==
        std::vector<std::string>{
            "~ order of ranks: urgent, bulk -> bulk, urgent",
            "~ budget one-main: prepaid 1000 -> 2000",
            "~ client_account one: ranks (none) -> [ 'urgent' ]",
            "~ limits: stall_timeout_ms 2000 -> 3000",
            ("- service booking: cost = 1, repeatable = false, "
             "timeout_ms = 10000"),
            "+ budget two: client_account = 'one', prepaid = 5"});
}

// Guards against a roll-forward that takes back tokens that are already paid
// for, or that the document checks reject.
TEST_CASE("a roll-forward keeps budgets and prepaid amounts") {
  const auto earlier = ParseDocument(SmallDocument());
  auto current = earlier;
  current.budgets[0].prepaid = 2000;
  current.client_accounts.push_back({"two", 1, "bulk"});
  current.budgets.push_back({"two-main", "two", 5});
  current.services[0].cost = 99;
  const auto next = RollForward(current, earlier);
  CHECK(CheckReplacement(current, next).empty());
  CHECK(ParseDocument(FormatDocument(next)) == next);
  CHECK(next.budgets[0].prepaid == 2000);
  CHECK(next.budgets.size() == 2);
  CHECK(next.services[0].cost == 1);
}

TEST_CASE("invalid changes are typed errors") {
  auto document = ParseDocument(SmallDocument());
  CHECK_THROWS_AS(TopUpBudget(document, "x", 1), UserError);
  CHECK_THROWS_AS(TopUpBudget(document, "one-main", 0), UserError);
  CHECK_THROWS_AS(TopUpBudget(document, "one-main", -5), UserError);
  CHECK_THROWS_AS(
      TopUpBudget(document, "one-main", std::numeric_limits<Tokens>::max()),
      UserError);
  CHECK_THROWS_AS(CreateBudget(document, {"one-main", "one", 1}), UserError);
  CHECK_THROWS_AS(SetDrain(document, "x", true), UserError);
  CHECK(document == ParseDocument(SmallDocument()));
}

}  // namespace crocuslatch
