#include "core/memory_account.h"

#include <algorithm>
#include <numeric>

namespace crocuslatch {
namespace {

constexpr double kBytesPerMb = 1 << 20;
// Memory of the process itself: 13 MB after the start, and the tables of a
// fleet of 80 hosts and 100 servers.
constexpr double kProcessBytes = 24 * kBytesPerMb;
// Part of the rest that buffers may hold. The other part is for what the
// allocator adds, and for buffers that exist twice while they are copied.
constexpr double kBufferFraction = 0.6;
// A small process still accepts requests.
constexpr double kMinFraction = 0.125;

// Descriptors for servers, hosts, the store, probes and listening sockets, as a
// fraction of all, and at least this many. A host of 4,100 descriptors opens
// about 780 connections to servers at most.
constexpr double kOwnDescriptorFraction = 0.3;
constexpr double kMinOwnDescriptors = 64;

// Weight of size alone, so that a large holder yields before a tiny one that
// has been idle a little longer.
constexpr Millis kIdleBase{1000};

double YieldRank(const MemoryHolder& it) {
  return static_cast<double>(it.bytes) *
         static_cast<double>((it.idle + kIdleBase).count());
}

}  // namespace

MemoryAccount::MemoryAccount(const MemoryAccountOptions& options)
    : options_(options) {}

void MemoryAccount::Add(std::ptrdiff_t bytes) {
  used_ += static_cast<std::size_t>(bytes);
  is_stuck_ = is_stuck_ && IsFull();
}

bool MemoryAccount::MayRead(std::size_t held) const {
  if (!is_limited()) {
    return true;
  }
  const bool is_small = held <= options_.share_bytes;
  return used_ < (is_small ? options_.limit : Part(options_.large_fraction));
}

bool MemoryAccount::IsUnderPressure() const {
  return is_limited() && used_ >= Part(options_.large_fraction);
}

std::uint64_t MemoryAccount::BeginLargeResponse() {
  large_responses_.insert(++last_turn_);
  return last_turn_;
}

void MemoryAccount::EndLargeResponse(std::uint64_t turn) {
  large_responses_.erase(turn);
  // The caller of the response may yield now.
  is_stuck_ = false;
}

bool MemoryAccount::MayReadLargeResponse(std::uint64_t turn) const {
  return !IsUnderPressure() ||
         (*large_responses_.begin() == turn && (!IsFull() || is_stuck_));
}

bool MemoryAccount::IsFull() const {
  return is_limited() && used_ >= options_.limit;
}

std::vector<std::size_t> MemoryAccount::ChooseYielding(
    const std::vector<MemoryHolder>& holders) {
  std::vector<std::size_t> order(holders.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::ranges::sort(order, [&](std::size_t a, std::size_t b) {
    return YieldRank(holders[a]) > YieldRank(holders[b]);
  });
  const std::size_t target = Part(options_.relief_fraction);
  std::size_t left = used_;
  std::size_t n = 0;
  while (n < order.size() && left > target) {
    left -= std::min(left, holders[order[n]].bytes);
    ++n;
  }
  is_stuck_ = left >= options_.limit;
  order.resize(is_limited() ? n : 0);
  return order;
}

std::size_t MemoryAccount::Part(double fraction) const {
  return static_cast<std::size_t>(fraction *
                                  static_cast<double>(options_.limit));
}

std::size_t MemoryAccountLimit(double memory_mb) {
  const double memory = memory_mb * kBytesPerMb;
  return static_cast<std::size_t>(std::max(
      (memory - kProcessBytes) * kBufferFraction, memory * kMinFraction));
}

std::size_t CallerConnectionLimit(double max_descriptors) {
  const double own =
      std::max(max_descriptors * kOwnDescriptorFraction, kMinOwnDescriptors);
  return max_descriptors > 0
             ? static_cast<std::size_t>(std::max(1.0, max_descriptors - own))
             : 0;
}

}  // namespace crocuslatch
