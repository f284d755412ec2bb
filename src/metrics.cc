#include "src/metrics.h"

#include <fmt/format.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cmath>
#include <map>
#include <mutex>
#include <tuple>

namespace crocuslatch {
namespace {

namespace acc = boost::accumulators;
using Quantile =
    acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;
using Totals =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum>>;

// The P-square estimate is poor for a few samples; up to this number the
// quantiles are exact.
constexpr std::size_t kExactSamples = 200;
constexpr std::array<double, 3> kQuantiles{0.5, 0.95, 0.99};

struct Histogram {
  std::array<Quantile, 3> quantiles{
      Quantile(acc::quantile_probability = kQuantiles[0]),
      Quantile(acc::quantile_probability = kQuantiles[1]),
      Quantile(acc::quantile_probability = kQuantiles[2])};
  Totals totals;
  std::vector<double> first_samples;

  void Add(double value) {
    totals(value);
    for (auto& it : quantiles) {
      it(value);
    }
    if (first_samples.size() < kExactSamples) {
      first_samples.push_back(value);
    }
  }

  std::uint64_t Count() const { return acc::count(totals); }

  double At(std::size_t i) const {
    if (Count() > kExactSamples) {
      return acc::p_square_quantile(quantiles.at(i));
    }
    auto sorted = first_samples;
    std::ranges::sort(sorted);
    const auto rank = static_cast<std::size_t>(
        std::ceil(kQuantiles.at(i) * static_cast<double>(sorted.size())));
    return sorted.empty() ? 0 : sorted[std::max<std::size_t>(rank, 1) - 1];
  }
};

using HistogramKey = std::tuple<std::string, std::string, LatencyMetric>;
using OutcomeKey = std::tuple<std::string, Outcome, std::string>;
// Name, label and value.
using CounterKey = std::tuple<std::string, std::string, std::string>;
using TokensKey = std::pair<std::string, std::string>;

// Label values may contain anything that the document allows.
std::string Quote(std::string_view text) {
  std::string quoted = "\"";
  for (const char it : text) {
    if (it == '\\' || it == '"') {
      quoted += '\\';
    }
    quoted += it == '\n' ? ' ' : it;
  }
  return quoted + '"';
}

QString Text(std::string_view text) {
  return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

}  // namespace

struct Metrics::Core {
  mutable std::mutex mutex;
  std::map<HistogramKey, Histogram> histograms;
  std::map<OutcomeKey, std::uint64_t> outcomes;
  std::map<TokensKey, Tokens> tokens;
  std::map<CounterKey, std::uint64_t> counters;
};

std::string_view ToString(LatencyMetric metric) {
  switch (metric) {
    case LatencyMetric::kFirstToken:
      return "first_token";
    case LatencyMetric::kBetweenTokens:
      return "between_tokens";
    case LatencyMetric::kQueueWait:
      return "queue_wait";
    case LatencyMetric::kEndToEnd:
      return "end_to_end";
  }
  return "end_to_end";
}

Metrics::Metrics() : core_(std::make_unique<Core>()) {}
Metrics::~Metrics() = default;

void Metrics::AddLatencySample(const std::string& rank,
                               const std::string& client_account,
                               LatencyMetric metric,
                               double milliseconds) {
  const std::lock_guard lock(core_->mutex);
  core_->histograms[{"rank", rank, metric}].Add(milliseconds);
  core_->histograms[{"client_account", client_account, metric}].Add(
      milliseconds);
}

void Metrics::CountOutcome(const std::string& rank,
                           Outcome outcome,
                           const std::string& code) {
  const std::lock_guard lock(core_->mutex);
  ++core_->outcomes[{rank, outcome, code}];
}

void Metrics::IncrementCounter(const std::string& name,
                               const std::string& label,
                               const std::string& value) {
  const std::lock_guard lock(core_->mutex);
  ++core_->counters[{name, label, value}];
}

std::string Metrics::FormatCounters(const std::string& name) const {
  const std::lock_guard lock(core_->mutex);
  std::string text;
  for (const auto& [key, n] : core_->counters) {
    if (std::get<0>(key) == name) {
      text +=
          fmt::format("{}{}={}", text.empty() ? "" : " ", std::get<2>(key), n);
    }
  }
  return text;
}

void Metrics::CountTokens(const std::string& rank,
                          const std::string& client_account,
                          Tokens tokens) {
  const std::lock_guard lock(core_->mutex);
  core_->tokens[{rank, client_account}] += tokens;
}

std::vector<LatencySummary> Metrics::LatencySummaries() const {
  const std::lock_guard lock(core_->mutex);
  std::vector<LatencySummary> summaries;
  for (const auto& [key, it] : core_->histograms) {
    summaries.push_back({.kind = std::get<0>(key),
                         .name = std::get<1>(key),
                         .metric = std::get<2>(key),
                         .count = it.Count(),
                         .p50 = it.At(0),
                         .p95 = it.At(1),
                         .p99 = it.At(2)});
  }
  return summaries;
}

std::string Metrics::PrometheusText() const {
  std::string text;
  for (const auto metric :
       {LatencyMetric::kFirstToken, LatencyMetric::kBetweenTokens,
        LatencyMetric::kQueueWait, LatencyMetric::kEndToEnd}) {
    text += fmt::format("# TYPE crocuslatch_{}_ms summary\n", ToString(metric));
    for (const auto& it : LatencySummaries()) {
      if (it.metric != metric) {
        continue;
      }
      const auto name = fmt::format("crocuslatch_{}_ms", ToString(metric));
      const auto label = fmt::format("{}={}", it.kind, Quote(it.name));
      text +=
          fmt::format("{}{{{},quantile=\"0.5\"}} {}\n", name, label, it.p50);
      text +=
          fmt::format("{}{{{},quantile=\"0.95\"}} {}\n", name, label, it.p95);
      text +=
          fmt::format("{}{{{},quantile=\"0.99\"}} {}\n", name, label, it.p99);
      text += fmt::format("{}_count{{{}}} {}\n", name, label, it.count);
    }
  }
  const std::lock_guard lock(core_->mutex);
  text += "# TYPE crocuslatch_requests_total counter\n";
  for (const auto& [key, n] : core_->outcomes) {
    text += fmt::format(
        "crocuslatch_requests_total{{rank={},outcome={},code={}}} {}\n",
        Quote(std::get<0>(key)), Quote(ToString(std::get<1>(key))),
        Quote(std::get<2>(key)), n);
  }
  std::string last;
  for (const auto& [key, n] : core_->counters) {
    const auto& [name, label, value] = key;
    if (name != last) {
      text += fmt::format("# TYPE crocuslatch_{}_total counter\n", name);
      last = name;
    }
    text += fmt::format("crocuslatch_{}_total{{{}={}}} {}\n", name, label,
                        Quote(value), n);
  }
  text += "# TYPE crocuslatch_billed_tokens_total counter\n";
  for (const auto& [key, n] : core_->tokens) {
    text += fmt::format(
        "crocuslatch_billed_tokens_total{{rank={},client_account={}}} {}\n",
        Quote(key.first), Quote(key.second), n);
  }
  return text;
}

std::string Metrics::Json() const {
  QJsonArray histograms;
  for (const auto& it : LatencySummaries()) {
    histograms.append(QJsonObject{{"kind", Text(it.kind)},
                                  {"name", Text(it.name)},
                                  {"measure", Text(ToString(it.metric))},
                                  {"count", static_cast<qint64>(it.count)},
                                  {"p50_ms", it.p50},
                                  {"p95_ms", it.p95},
                                  {"p99_ms", it.p99}});
  }
  const std::lock_guard lock(core_->mutex);
  QJsonArray outcomes;
  for (const auto& [key, n] : core_->outcomes) {
    outcomes.append(QJsonObject{{"rank", Text(std::get<0>(key))},
                                {"outcome", Text(ToString(std::get<1>(key)))},
                                {"code", Text(std::get<2>(key))},
                                {"count", static_cast<qint64>(n)}});
  }
  QJsonArray tokens;
  for (const auto& [key, n] : core_->tokens) {
    tokens.append(QJsonObject{{"rank", Text(key.first)},
                              {"client_account", Text(key.second)},
                              {"billed", static_cast<qint64>(n)}});
  }
  return QJsonDocument(QJsonObject{{"histograms", histograms},
                                   {"outcomes", outcomes},
                                   {"tokens", tokens}})
      .toJson(QJsonDocument::Compact)
      .toStdString();
}

}  // namespace crocuslatch
