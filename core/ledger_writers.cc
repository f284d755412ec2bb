#include "core/ledger_writers.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <utility>

namespace crocuslatch {
namespace {

// Assumed for a host whose bandwidth is unknown.
constexpr double kDefaultLinkMbps = 100;

}  // namespace

double RendezvousScore(const WriterCandidate& candidate, std::uint64_t key) {
  constexpr double kHashRange = 18446744073709551616.0;
  const double uniform =
      (static_cast<double>(StableHash(candidate.host, key)) + 1) / kHashRange;
  const double link = candidate.link_mbps > 0
                          ? static_cast<double>(candidate.link_mbps)
                          : kDefaultLinkMbps;
  return -std::log(std::min(uniform, 1.0)) / (link * link);
}

LedgerWriters::LedgerWriters(LedgerWritersOptions options, WriterCandidate own)
    : options_(options), own_(std::move(own)) {}

std::vector<std::string> LedgerWriters::RankWriters(
    std::uint32_t shard,
    const std::vector<WriterCandidate>& others,
    Millis now) const {
  // A power of two, so that adding or removing a host rarely reassigns shards.
  const std::size_t groups = std::bit_floor(
      std::clamp<std::size_t>((others.size() + 1) / options_.hosts_per_writer,
                              1, options_.max_writers));
  const std::uint64_t group = shard % groups;
  std::vector<std::pair<double, std::string>> scored;
  scored.emplace_back(RendezvousScore(own_, group), own_.host);
  for (const auto& it : others) {
    const auto found = backoffs_.find(it.host);
    if (found == backoffs_.end() || now >= found->second.until) {
      scored.emplace_back(RendezvousScore(it, group), it.host);
    }
  }
  std::ranges::sort(scored);
  std::vector<std::string> hosts;
  for (auto& [score, host] : scored) {
    hosts.push_back(std::move(host));
    if (hosts.back() == own_.host) {
      break;
    }
  }
  return hosts;
}

Millis LedgerWriters::Timeout() const {
  const Millis timeout{
      static_cast<Millis::rep>(options_.timeout_factor * mean_reply_ms_)};
  return std::clamp(timeout, options_.min_timeout, options_.max_timeout);
}

bool LedgerWriters::OnCallDone(const std::string& host,
                               bool has_answered,
                               Millis took,
                               Millis now) {
  constexpr double kSmoothing = 0.2;
  mean_reply_ms_ +=
      kSmoothing * (static_cast<double>(took.count()) - mean_reply_ms_);
  if (has_answered) {
    return backoffs_.erase(host) > 0;
  }
  auto& backoff = backoffs_[host];
  // Concurrent calls fail together and count as one failure.
  if (now < backoff.until) {
    return false;
  }
  const bool is_first = backoff.duration.count() == 0;
  backoff.duration = is_first
                         ? options_.initial_backoff
                         : std::min(backoff.duration * 2, options_.max_backoff);
  backoff.until = now + backoff.duration;
  return is_first;
}

}  // namespace crocuslatch
