#include "core/ledger_writers.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <utility>

namespace crocuslatch {
namespace {

// Weight of a host that does not state its link.
constexpr double kUnknownLink = 100;

// Weighted rendezvous hashing; the lowest rank is the best. The weight is the
// square of the link, so that six links of 200 Mbit/s are chosen before sixty
// of 10.
double RankOf(const WriterCandidate& candidate, std::uint64_t group) {
  constexpr double kHashRange = 18446744073709551616.0;
  const double point =
      (static_cast<double>(StableHash(candidate.host, group)) + 1) / kHashRange;
  const double link = candidate.link_mbps > 0
                          ? static_cast<double>(candidate.link_mbps)
                          : kUnknownLink;
  return -std::log(std::min(point, 1.0)) / (link * link);
}

}  // namespace

LedgerWriters::LedgerWriters(LedgerWritersOptions options, WriterCandidate own)
    : options_(options), own_(std::move(own)) {}

std::vector<std::string> LedgerWriters::RankWriters(
    std::uint32_t shard,
    const std::vector<WriterCandidate>& others,
    Millis now) const {
  // A power of two, so that a host more or less rarely moves any shard.
  const std::size_t groups = std::bit_floor(std::max<std::size_t>(
      1, (others.size() + 1) / options_.hosts_per_writer));
  const std::uint64_t group = shard % groups;
  std::vector<std::pair<double, std::string>> ranked;
  ranked.emplace_back(RankOf(own_, group), own_.host);
  for (const auto& it : others) {
    const auto found = avoided_.find(it.host);
    if (found == avoided_.end() || now >= found->second.until) {
      ranked.emplace_back(RankOf(it, group), it.host);
    }
  }
  std::ranges::sort(ranked);
  std::vector<std::string> hosts;
  for (auto& [rank, host] : ranked) {
    hosts.push_back(std::move(host));
    if (hosts.back() == own_.host) {
      break;
    }
  }
  return hosts;
}

Millis LedgerWriters::Timeout() const {
  const Millis wanted{
      static_cast<Millis::rep>(options_.timeout_factor * usual_ms_)};
  return std::clamp(wanted, options_.least_timeout, options_.longest_timeout);
}

bool LedgerWriters::OnCallDone(const std::string& host,
                               bool is_answered,
                               Millis took,
                               Millis now) {
  constexpr double kWeight = 0.2;
  usual_ms_ += kWeight * (static_cast<double>(took.count()) - usual_ms_);
  if (is_answered) {
    return avoided_.erase(host) > 0;
  }
  auto& it = avoided_[host];
  // Calls that were under way together fail together.
  if (now < it.until) {
    return false;
  }
  const bool is_first = it.time.count() == 0;
  it.time = is_first ? options_.first_avoidance
                     : std::min(it.time * 2, options_.longest_avoidance);
  it.until = now + it.time;
  return is_first;
}

}  // namespace crocuslatch
