#include "core/ledger_writers.h"

#include <algorithm>
#include <utility>

namespace crocuslatch {

LedgerWriters::LedgerWriters(LedgerWritersOptions options, std::string own_host)
    : options_(options), own_host_(std::move(own_host)) {}

std::vector<std::string> LedgerWriters::Rank(
    std::uint32_t shard,
    const std::vector<std::string>& others,
    Millis now) const {
  const std::size_t groups =
      1 + others.size() / std::max<std::size_t>(1, options_.hosts_per_writer);
  const std::uint64_t group = shard % groups;
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  ranked.emplace_back(StableHash(own_host_, group), own_host_);
  for (const auto& it : others) {
    const auto found = avoided_.find(it);
    if (found == avoided_.end() || now >= found->second.until) {
      ranked.emplace_back(StableHash(it, group), it);
    }
  }
  std::ranges::sort(ranked, std::greater{});
  std::vector<std::string> hosts;
  for (auto& [rank, host] : ranked) {
    hosts.push_back(std::move(host));
    if (hosts.back() == own_host_) {
      break;
    }
  }
  return hosts;
}

void LedgerWriters::OnAnswer(const std::string& host,
                             bool is_answered,
                             Millis now) {
  if (is_answered) {
    avoided_.erase(host);
    return;
  }
  auto& it = avoided_[host];
  // Calls that were under way together fail together.
  if (now < it.until) {
    return;
  }
  it.time = it.time.count() == 0
                ? options_.first_avoidance
                : std::min(it.time * 2, options_.longest_avoidance);
  it.until = now + it.time;
}

}  // namespace crocuslatch
