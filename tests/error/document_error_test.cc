#include <catch2/catch.hpp>

#include "src/document.h"
#include "src/shard_state.h"
#include "tests/fixture_document.h"

namespace crocuslatch {
namespace {

std::vector<DocumentProblem> ProblemsOf(const std::string& toml) {
  try {
    ParseDocument(toml);
  } catch (const DocumentError& error) {
    CHECK(error.code() == "document_rejected");
    return error.problems();
  }
  return {};
}

struct BadInput {
  std::string from;
  std::string to;
  std::uint32_t line;
  std::string message;
};

}  // namespace

// Guards against a mistake that is accepted or reported on the wrong line.
TEST_CASE("each mistake in a document is reported with its line and remedy") {
  const auto it = GENERATE(values<BadInput>({
      {"name = \"test\"", "name = ", 2, "syntax error"},
      {"name = \"test\"", "name = 7", 2, "is an integer, not a string"},
      {"name = \"test\"", "name = \"a b\"", 2, "not a valid name"},
      {"name = \"test\"\n", "", 1, "[fleet] has no \"name\""},
      {"ledger_shards = 4", "ledger_shards = 0", 3, "outside 1 to"},
      {"ledger_shards = 4", "shards = 4", 3, "unknown key \"shards\""},
      {"share = 0.5", "share = -0.5", 6, "outside 0 to 1"},
      {"share = 0.5", "share = nan", 6, "outside 0 to 1"},
      {"share = 0.25", "share = 0.6", 9, "above 1"},
      {"name = \"bulk\"", "name = \"urgent\"", 8, "first is on line 5"},
      {"default_rank = \"urgent\"", "default_rank = \"x\"", 12, "rank \"x\""},
      {"default_rank = \"urgent\"", "default_rank = \"bulk\"\nranks = [\"x\"]",
       12, "is not among \"ranks\""},
      {"default_rank = \"urgent\"",
       "default_rank = \"bulk\"\nranks = [\"bulk\", \"x\"]", 13, "rank \"x\""},
      {"client_account = \"one\"", "client_account = \"x\"", 15,
       "client_account \"x\", which does not exist"},
      {"prepaid = 1000", "prepaid = -1", 16, "\"prepaid\" of [[budget]] is -1"},
      {"prepaid = 1000", "prepaid = 1.5", 16, "not an integer"},
      {"prepaid = 1000", "prepaid = 99999999999999999999", 16, "syntax error"},
      {"sha256 = \"2c", "sha256 = \"2C", 18, "not a SHA-256"},
      {"sha256 = \"2c", "sha256 = \"", 18, "not a SHA-256"},
      {"budget = \"one-main\"", "budget = \"x\"", 20, "budget \"x\""},
      {"budget = \"one-main\"",
       "budget = \"two\"\n[[budget]]\nname = \"two\"\nprepaid = 1\n"
       "client_account = \"two\"\n[[client_account]]\nname = \"two\"\n"
       "default_rank = \"bulk\"",
       20, "belongs to the client account \"two\", not to \"one\""},
      {"address = \"127.0.0.1:8000\"", "address = \"localhost:80\"", 27,
       "not an IP address"},
      {"address = \"127.0.0.1:8000\"", "address = \"127.0.0.1:0\"", 27,
       "not an IP address"},
      {"model = \"m\"", "", 25, "exactly one of"},
      {"model = \"m\"", "model = \"m\"\nservice = \"booking\"", 25,
       "exactly one of"},
      {"model = \"m\"", "model = \"x\"", 29, "model \"x\""},
      {"model = \"m\"", "service = \"x\"", 29, "service \"x\""},
      {"model = \"m\"", "model = \"m\"\nslots = 0", 30, "outside 1 to"},
      {"model = \"m\"", "model = \"m\"\ndrain = 1", 30, "not a boolean"},
      {"[[service]]\n", "[service]\n", 23, "not an array of tables"},
      {"[fleet]\n", "[limits]\nretry_budget = 2\n[fleet]\n", 2,
       "outside 0 to 1"},
      {"[fleet]\n", "[limits]\nstall_timeout = 2\n[fleet]\n", 2,
       "unknown key \"stall_timeout\""},
  }));
  const auto problems = ProblemsOf(Replaced(SmallDocument(), it.from, it.to));
  CAPTURE(it.to);
  REQUIRE_FALSE(problems.empty());
  const auto found = std::ranges::find_if(problems, [&](const auto& problem) {
    return problem.line == it.line &&
           problem.message.find(it.message) != std::string::npos;
  });
  CAPTURE(problems.front().line, problems.front().message);
  REQUIRE(found != problems.end());
  CHECK_FALSE(found->remedy.empty());
}

// Guards against stopping at the first problem.
TEST_CASE("all problems of a document are reported at once, by line") {
  auto text = Replaced(SmallDocument(), "prepaid = 1000", "prepaid = -1");
  text = Replaced(text, "model = \"m\"", "model = \"x\"\nslots = \"8\"");
  text = Replaced(text, "ledger_shards = 4", "shards = 4");
  const auto problems = ProblemsOf(text);
  REQUIRE(problems.size() == 4);
  CHECK(problems[0].line == 3);
  CHECK(problems[1].line == 16);
  CHECK(problems[2].line == 29);
  CHECK(problems[3].line == 30);
}

TEST_CASE("an empty document is rejected with the missing sections") {
  const auto problems = ProblemsOf("");
  REQUIRE(problems.size() == 2);
  CHECK(problems[0].message == "the document has no [[rank]]");
  CHECK(problems[1].message == "the document has no \"fleet\"");
}

// Guards against an operator's budget with the reserved name under which the
// keys of orders are stored.
TEST_CASE("the budget of order keys is not a valid name") {
  const auto problems =
      ProblemsOf(Replaced(SmallDocument(), "name = \"one-main\"",
                          "name = \"" + std::string(kOrderKeyBudget) + "\""));
  REQUIRE_FALSE(problems.empty());
  CHECK(problems[0].line == 14);
  CHECK_THAT(problems[0].message, Catch::Contains("not a valid name"));
}

}  // namespace crocuslatch
