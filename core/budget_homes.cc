#include "core/budget_homes.h"

#include <algorithm>
#include <utility>

namespace crocuslatch {

std::vector<std::string> RankBudgetHomes(
    const BudgetHomesOptions& options,
    std::string_view account,
    const WriterCandidate& own,
    const std::vector<WriterCandidate>& others,
    std::size_t fleet_size) {
  if (fleet_size < options.min_hosts) {
    return {};
  }
  const auto key = StableHash(account);
  const double own_score = RendezvousScore(own, key);
  std::vector<std::pair<double, std::string>> scored;
  for (const auto& it : others) {
    // A host that ranks below this one is never asked.
    if (const double score = RendezvousScore(it, key); score < own_score) {
      scored.emplace_back(score, it.host);
    }
  }
  const auto n = std::min(options.max_homes, scored.size());
  std::ranges::partial_sort(scored,
                            scored.begin() + static_cast<std::ptrdiff_t>(n));
  std::vector<std::string> homes;
  std::ranges::transform(
      scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(n),
      std::back_inserter(homes), [](auto& it) { return std::move(it.second); });
  return homes;
}

}  // namespace crocuslatch
