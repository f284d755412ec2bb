#ifndef CORE_BUDGET_HOMES_H_
#define CORE_BUDGET_HOMES_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "core/ledger_writers.h"

// Defines which host holds the tokens of a client account for a large fleet.
//
// Load pattern: hundreds of hosts serve dozens of accounts, so that each host
// sees a request of an account only once in many seconds. If every host held
// its own grant, nearly every request would need an exchange with the store,
// and the grants of hosts x accounts, each at least the size of a request,
// would exceed what the budgets have left. Instead, the hosts reserve the
// tokens of an account at its home host, which sees all of the account's usage
// and exchanges tokens with the ledger for all of them.
//
// The hosts need not agree on the home. Each home holds a grant of its own, so
// two homes of one account only cause additional exchanges, and a host that
// reaches no home holds a grant itself.

namespace crocuslatch {

struct BudgetHomesOptions {
  // Smaller fleets have no homes: their hosts see each account often enough,
  // and keep serving from their own grants when they cannot reach each other.
  std::size_t min_hosts = 16;
  // Number of hosts that are asked, in order, before a host uses its own grant.
  std::size_t max_homes = 2;
};

// Returns the homes of the account, best first; hosts with fast links are
// preferred. Empty if this host must use its own grant: in a small fleet, and
// if it is the first home itself. `others` are the usable hosts except this
// one, out of `fleet_size` hosts in total.
std::vector<std::string> RankBudgetHomes(
    const BudgetHomesOptions& options,
    std::string_view account,
    const WriterCandidate& own,
    const std::vector<WriterCandidate>& others,
    std::size_t fleet_size);

}  // namespace crocuslatch

#endif  // CORE_BUDGET_HOMES_H_
