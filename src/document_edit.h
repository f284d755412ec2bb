#ifndef SRC_DOCUMENT_EDIT_H_
#define SRC_DOCUMENT_EDIT_H_

#include <string>
#include <string_view>
#include <vector>

#include "src/document.h"

// Defines the changes that the command-line tool makes to a document, and the
// comparison of two documents. The functions only access their arguments; an
// invalid change throws UserError.

namespace crocuslatch {

// Returns one line for each entry that was added (+), removed (-) or changed
// (~).
std::vector<std::string> DiffDocuments(const Document& from,
                                       const Document& to);

// Adds `amount` to the prepaid amount. Throws "unknown_budget",
// "bad_amount".
void TopUpBudget(Document& document, std::string_view budget, Tokens amount);

// Raises the prepaid amount to `total`; returns false if it already is at least
// `total`. Throws "unknown_budget", "bad_amount".
bool RaiseBudget(Document& document, std::string_view budget, Tokens total);

// Adds a budget. Throws "budget_exists".
void CreateBudget(Document& document, const BudgetConfig& budget);

// Sets whether a backend server is drained; returns false if the value is
// unchanged. Throws "unknown_backend_server".
bool SetDrain(Document& document, std::string_view server, bool drain);

// Returns the content of `earlier`, adjusted so that it may replace `current`:
// no budget is removed or lowered, and the number of ledger shards stays. A
// client account is kept if one of the kept budgets belongs to it.
Document RollForward(const Document& current, const Document& earlier);

}  // namespace crocuslatch

#endif  // SRC_DOCUMENT_EDIT_H_
