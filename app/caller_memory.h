#ifndef APP_CALLER_MEMORY_H_
#define APP_CALLER_MEMORY_H_

#include <cstddef>
#include <memory>
#include <string>

#include "core/memory_account.h"
#include "io/http_server.h"
#include "io/memory_charge.h"
#include "src/metrics.h"

// Defines CallerMemory, which applies the process's limits of memory and
// descriptors to its callers and their requests
// (docs/design/memory-account.md).

namespace crocuslatch {

struct CallerMemoryOptions {
  // 0 means no limit.
  double memory_mb = 0;
  double max_descriptors = 0;
};

// Used on one thread only.
class CallerMemory {
 public:
  CallerMemory(const CallerMemoryOptions& options, Metrics* metrics);

  // Null without a limit of the memory.
  std::shared_ptr<const MemoryHooks> hooks() const { return hooks_; }
  void Apply(HttpServerOptions& options);
  // Gauges in the Prometheus text exposition format.
  std::string PrometheusText(std::size_t connections) const;

 private:
  void OnYield(const YieldedCaller& caller);

  // Shared with the hooks, which buffers may outlive this object with.
  std::shared_ptr<MemoryAccount> account_;
  std::shared_ptr<const MemoryHooks> hooks_;
  const std::size_t max_connections_;
  Metrics* metrics_;
  // Lines of the current second, and those left out since the last line.
  std::int64_t second_ = 0;
  int lines_ = 0;
  int left_out_ = 0;
};

}  // namespace crocuslatch

#endif  // APP_CALLER_MEMORY_H_
