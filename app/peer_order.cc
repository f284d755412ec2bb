#include "app/peer_order.h"

#include <algorithm>
#include <utility>

namespace crocuslatch {

std::vector<std::string> OrderPeers(const PeerOrderQuery& query) {
  std::vector<std::pair<double, std::string>> ranked_peers;
  ranked_peers.reserve(query.peers.size());
  for (const auto& it : query.peers) {
    const auto found = query.backoff_until.find(it);
    if (found == query.backoff_until.end() || query.now >= found->second) {
      ranked_peers.emplace_back(it == query.preferred ? 1.0 : query.random(),
                                it);
    }
  }
  std::ranges::sort(ranked_peers);
  if (ranked_peers.size() > query.max_peers) {
    ranked_peers.erase(
        ranked_peers.begin(),
        ranked_peers.end() - static_cast<std::ptrdiff_t>(query.max_peers));
  }
  std::vector<std::string> ordered;
  ordered.reserve(ranked_peers.size());
  for (auto& it : ranked_peers) {
    ordered.push_back(std::move(it.second));
  }
  return ordered;
}

}  // namespace crocuslatch
