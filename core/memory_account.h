#ifndef CORE_MEMORY_ACCOUNT_H_
#define CORE_MEMORY_ACCOUNT_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

#include "src/types.h"

// Defines MemoryAccount, which bounds the memory that callers and servers can
// make this process hold, and decides whose reading stops and who yields when
// the bound is near.

namespace crocuslatch {

struct MemoryAccountOptions {
  // Bytes that may be held; 0 means no limit.
  std::size_t limit = 0;
  // Above this fraction of the limit, only small requests are read on. The rest
  // keeps ordinary requests running beside clients that fill the memory.
  double large_fraction = 0.5;
  // A holder of more is large.
  std::size_t share_bytes = 64 << 10;
  // A response of which more is held is large. Many responses are held at once,
  // and small ones are read on even if the account is full.
  std::size_t large_response_bytes = 16 << 10;
  // Holders yield until this fraction of the limit is held.
  double relief_fraction = 0.4;
};

// What one connection without a running request holds.
struct MemoryHolder {
  std::size_t bytes = 0;
  // Time since its last progress.
  Millis idle{0};
};

class MemoryAccount {
 public:
  explicit MemoryAccount(const MemoryAccountOptions& options);

  // Adds `bytes`, which is negative when memory is released.
  void Add(std::ptrdiff_t bytes);
  std::size_t used() const { return used_; }
  std::size_t limit() const { return options_.limit; }
  bool is_limited() const { return options_.limit > 0; }

  // Returns whether more may be read for a holder of `held` bytes.
  bool MayRead(std::size_t held) const;
  // True above the fraction at which large requests wait.
  bool IsUnderPressure() const;
  bool IsFull() const;

  // Large responses take turns: the oldest one is read on, since its end frees
  // memory. While the account is full, it waits too, unless nobody could yield.
  std::uint64_t BeginLargeResponse();
  void EndLargeResponse(std::uint64_t turn);
  bool MayReadLargeResponse(std::uint64_t turn) const;

  // Returns the indices of those that have to yield, the longest idle and
  // largest first.
  std::vector<std::size_t> ChooseYielding(
      const std::vector<MemoryHolder>& holders);

 private:
  std::size_t Part(double fraction) const;

  const MemoryAccountOptions options_;
  std::size_t used_ = 0;
  // The account stays full although all that can have yielded.
  bool is_stuck_ = false;
  std::uint64_t last_turn_ = 0;
  std::set<std::uint64_t> large_responses_;
};

// Limit of the account of a process that may use `memory_mb`; 0 if that is 0.
std::size_t MemoryAccountLimit(double memory_mb);

// Number of callers' connections for a process that may open `max_descriptors`;
// 0 if that is 0.
std::size_t CallerConnectionLimit(double max_descriptors);

}  // namespace crocuslatch

#endif  // CORE_MEMORY_ACCOUNT_H_
