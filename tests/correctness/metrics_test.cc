#include "src/metrics.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace crocuslatch {

// Guards against quantiles that are off, with few samples and with many.
TEST_CASE("quantiles are close to the true ones") {
  for (const int n : {100, 10000}) {
    Metrics metrics;
    for (int i = 0; i < n; ++i) {
      // A full cycle of the residues in a scattered order.
      metrics.AddLatencySample("urgent", "one", LatencyMetric::kFirstToken,
                               (i * 7919 % n + 1) * 1000.0 / n);
    }
    const auto all = metrics.LatencySummaries();
    REQUIRE(all.size() == 2);
    for (const auto& it : all) {
      CHECK(it.count == static_cast<std::uint64_t>(n));
      CHECK(it.p50 == Approx(500).epsilon(0.02));
      CHECK(it.p95 == Approx(950).epsilon(0.02));
      CHECK(it.p99 == Approx(990).epsilon(0.02));
    }
  }
}

// Guards against an exposition that a collector cannot read.
TEST_CASE("the exposition names outcomes, codes and quantiles") {
  Metrics metrics;
  metrics.AddLatencySample("a\"b", "one", LatencyMetric::kQueueWait, 5);
  metrics.CountOutcome("a\"b", Outcome::kNotRun, "queue_full");
  metrics.CountTokens("bulk", "one", 7);
  const auto text = metrics.PrometheusText();
  CHECK_THAT(text, Catch::Contains("crocuslatch_queue_wait_ms{rank=\"a\\\"b\","
                                   "quantile=\"0.95\"} 5\n"));
  CHECK_THAT(text, Catch::Contains("code=\"queue_full\"} 1\n"));
  CHECK_THAT(text, Catch::Contains("client_account=\"one\"} 7\n"));
  CHECK_THAT(metrics.Json(), Catch::Contains("\"p95_ms\":5"));
}

}  // namespace crocuslatch
