#include "app/caller_memory.h"

#include <fmt/format.h>
#include <malloc.h>

#include <chrono>
#include <utility>

#include "src/log.h"

namespace crocuslatch {
namespace {

constexpr int kMaxLinesPerSecond = 5;

// Larger buffers are mapped separately, so that freeing them returns their
// memory to the system. By default, the bound grows with the buffers that are
// freed, and their memory stays with the process.
constexpr int kMappedBytes = 256 << 10;

std::shared_ptr<const MemoryHooks> MakeHooks(
    const std::shared_ptr<MemoryAccount>& account) {
  if (!account->is_limited()) {
    return nullptr;
  }
  auto hooks = std::make_shared<MemoryHooks>();
  hooks->add = [account](std::ptrdiff_t n) { account->Add(n); };
  hooks->may_read = [account](std::size_t n) { return account->MayRead(n); };
  hooks->is_under_pressure = [account] { return account->IsUnderPressure(); };
  hooks->is_full = [account] { return account->IsFull(); };
  hooks->large_response_bytes = MemoryAccountOptions{}.large_response_bytes;
  hooks->begin_large_response = [account] {
    return account->BeginLargeResponse();
  };
  hooks->end_large_response = [account](std::uint64_t it) {
    account->EndLargeResponse(it);
  };
  hooks->may_read_large_response = [account](std::uint64_t it) {
    return account->MayReadLargeResponse(it);
  };
  hooks->choose_yielding = [account](const std::vector<HeldMemory>& all) {
    std::vector<MemoryHolder> holders;
    holders.reserve(all.size());
    for (const auto& it : all) {
      holders.push_back({it.bytes, it.idle});
    }
    return account->ChooseYielding(holders);
  };
  return hooks;
}

}  // namespace

CallerMemory::CallerMemory(const CallerMemoryOptions& options, Metrics* metrics)
    : account_(std::make_shared<MemoryAccount>(MemoryAccountOptions{
          .limit = MemoryAccountLimit(options.memory_mb)})),
      hooks_(MakeHooks(account_)),
      max_connections_(CallerConnectionLimit(options.max_descriptors)),
      metrics_(metrics) {
  if (hooks_) {
    ::mallopt(M_MMAP_THRESHOLD, kMappedBytes);
  }
}

void CallerMemory::Apply(HttpServerOptions& options) {
  options.memory = hooks_;
  options.max_connections = max_connections_;
  options.on_yield = [this](const YieldedCaller& it) { OnYield(it); };
}

std::string CallerMemory::PrometheusText(std::size_t connections) const {
  std::string text;
  const auto add = [&text](std::string_view name, std::size_t value) {
    text += fmt::format("# TYPE crocuslatch_{0} gauge\ncrocuslatch_{0} {1}\n",
                        name, value);
  };
  add("buffer_bytes", account_->used());
  add("buffer_limit_bytes", account_->limit());
  add("caller_connections", connections);
  add("caller_connections_limit", max_connections_);
  return text;
}

void CallerMemory::OnYield(const YieldedCaller& caller) {
  metrics_->IncrementCounter("callers_yielded", "reason",
                             std::string(caller.reason));
  const auto second = std::chrono::duration_cast<std::chrono::seconds>(
                          std::chrono::steady_clock::now().time_since_epoch())
                          .count();
  if (std::exchange(second_, second) != second) {
    lines_ = 0;
  }
  if (++lines_ > kMaxLinesPerSecond) {
    ++left_out_;
    return;
  }
  LogLine(LogEvent::kCallerYielded)
      .Add("caller", caller.address)
      .Add("reason", caller.reason)
      .Add("refused", caller.is_refused)
      .Add("bytes", static_cast<std::int64_t>(caller.bytes))
      .Add("idle_ms", caller.idle)
      .Add("buffer_bytes", static_cast<std::int64_t>(account_->used()))
      .Add("left_out", std::exchange(left_out_, 0));
}

}  // namespace crocuslatch
