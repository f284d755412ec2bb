#ifndef IO_MEMORY_CHARGE_H_
#define IO_MEMORY_CHARGE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <utility>
#include <vector>

#include "src/types.h"

// Defines how buffers are charged to the process's memory account, whose
// decisions are outside io/ (core/memory_account).

namespace crocuslatch {

// What a connection without a running request holds, and the time since its
// last progress.
struct HeldMemory {
  std::size_t bytes = 0;
  Millis idle{0};
};

struct MemoryHooks {
  std::function<void(std::ptrdiff_t)> add;
  // Whether more may be read for a holder of `held` bytes.
  std::function<bool(std::size_t held)> may_read;
  std::function<bool()> is_under_pressure;
  std::function<bool()> is_full;
  // Responses of which more than this is held take turns while memory is short:
  // the oldest one may always be read on, so that it ends and frees its memory.
  std::size_t large_response_bytes = 0;
  std::function<std::uint64_t()> begin_large_response;
  std::function<void(std::uint64_t)> end_large_response;
  std::function<bool(std::uint64_t)> may_read_large_response;
  // Returns the indices of the holders that have to yield.
  std::function<std::vector<std::size_t>(const std::vector<HeldMemory>&)>
      choose_yielding;
};

// An amount that is charged until it is changed or the object is destroyed.
class MemoryCharge {
 public:
  MemoryCharge() = default;
  explicit MemoryCharge(std::shared_ptr<const MemoryHooks> hooks)
      : hooks_(std::move(hooks)) {}
  ~MemoryCharge() { Set(0); }
  MemoryCharge(MemoryCharge&& it) noexcept
      : hooks_(std::move(it.hooks_)), bytes_(std::exchange(it.bytes_, 0)) {}
  MemoryCharge& operator=(MemoryCharge&&) = delete;
  MemoryCharge(const MemoryCharge&) = delete;
  MemoryCharge& operator=(const MemoryCharge&) = delete;

  void Set(std::size_t bytes) {
    if (hooks_ && bytes != bytes_) {
      hooks_->add(static_cast<std::ptrdiff_t>(bytes) -
                  static_cast<std::ptrdiff_t>(bytes_));
      bytes_ = bytes;
    }
  }
  std::size_t bytes() const { return bytes_; }

 private:
  std::shared_ptr<const MemoryHooks> hooks_;
  std::size_t bytes_ = 0;
};

constexpr std::size_t kNoReadLimit = std::numeric_limits<std::size_t>::max();

// Charges what is held of a server's response.
class ResponseCharge {
 public:
  explicit ResponseCharge(const std::shared_ptr<const MemoryHooks>& hooks)
      : hooks_(hooks), charge_(hooks) {}
  ~ResponseCharge() { Set(0); }
  ResponseCharge(const ResponseCharge&) = delete;
  ResponseCharge& operator=(const ResponseCharge&) = delete;

  void Set(std::size_t bytes) {
    if (!hooks_) {
      return;
    }
    charge_.Set(bytes);
    const bool is_large = bytes > hooks_->large_response_bytes;
    if (is_large && turn_ == 0) {
      turn_ = hooks_->begin_large_response();
    } else if (!is_large && turn_ != 0) {
      hooks_->end_large_response(std::exchange(turn_, 0));
    }
  }
  // Number of bytes that may be read now; 0 means to wait.
  std::size_t ReadLimit() const {
    if (!hooks_) {
      return kNoReadLimit;
    }
    if (turn_ != 0 && !hooks_->may_read_large_response(turn_)) {
      return 0;
    }
    // Many responses may begin at once, so each grows in small steps while
    // memory is short.
    constexpr std::size_t kStepsUntilLarge = 4;
    return hooks_->is_under_pressure()
               ? hooks_->large_response_bytes / kStepsUntilLarge
               : kNoReadLimit;
  }

 private:
  std::shared_ptr<const MemoryHooks> hooks_;
  MemoryCharge charge_;
  // 0 unless the response is large.
  std::uint64_t turn_ = 0;
};

}  // namespace crocuslatch

#endif  // IO_MEMORY_CHARGE_H_
