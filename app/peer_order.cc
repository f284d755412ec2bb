#include "app/peer_order.h"

#include <algorithm>
#include <utility>

namespace crocuslatch {

std::vector<std::string> OrderPeers(const PeerOrderQuery& query) {
  std::vector<std::pair<double, std::string>> keyed;
  keyed.reserve(query.peers.size());
  for (const auto& it : query.peers) {
    const auto found = query.backoff_until.find(it);
    if (found == query.backoff_until.end() || query.now >= found->second) {
      keyed.emplace_back(it == query.preferred ? 1.0 : query.random(), it);
    }
  }
  std::ranges::sort(keyed);
  if (keyed.size() > query.max_peers) {
    keyed.erase(keyed.begin(),
                keyed.end() - static_cast<std::ptrdiff_t>(query.max_peers));
  }
  std::vector<std::string> ordered;
  ordered.reserve(keyed.size());
  for (auto& it : keyed) {
    ordered.push_back(std::move(it.second));
  }
  return ordered;
}

}  // namespace crocuslatch
