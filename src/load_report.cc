#include "src/load_report.h"

#include <fmt/format.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>
#include <set>

namespace crocuslatch {
namespace {

constexpr char kAnswered[] = "answered";
constexpr char kBudgetExhausted[] = "budget_exhausted";
// A smaller remainder is a rounding error.
constexpr double kMinRemainder = 1e-6;

double Ratio(double part, double whole) {
  return whole > 0 ? part / whole : 0;
}

double AtQuantile(const std::vector<double>& sorted, double quantile) {
  const auto rank = static_cast<std::size_t>(
      std::ceil(quantile * static_cast<double>(sorted.size())));
  return sorted[std::max<std::size_t>(rank, 1) - 1];
}

double FractionWithin(const std::vector<double>& samples, Millis target) {
  const auto n = std::ranges::count_if(samples, [&](double it) {
    return it <= static_cast<double>(target.count());
  });
  return Ratio(static_cast<double>(n), static_cast<double>(samples.size()));
}

const std::string& ResultOf(const LoadTranscript& it) {
  static const std::string kNone = "unfinished";
  return it.codes.empty() ? kNone : it.codes.back();
}

bool IsAnswered(const LoadTranscript& it) {
  return ResultOf(it) == kAnswered && !it.incomplete && !it.foreign;
}

const LoadAccount& AccountOf(const LoadPlan& plan, const LoadTranscript& it) {
  return *std::ranges::find(plan.client_accounts,
                            plan.streams[it.stream].client_account,
                            &LoadAccount::name);
}

// Requested and received tokens of a group of requests.
struct Demand {
  std::size_t requests = 0;
  Tokens asked = 0;
  Tokens received = 0;

  void Add(const LoadTranscript& it) {
    ++requests;
    asked += it.max_tokens;
    received += IsAnswered(it) ? it.tokens : 0;
  }
  double ServedShare() const {
    return Ratio(static_cast<double>(received), static_cast<double>(asked));
  }
};

struct RankSamples {
  Demand demand;
  std::size_t in_time = 0;
  std::vector<double> first_tokens;
  std::vector<double> gaps;
};

RankSamples CollectRank(const LoadPlan& plan,
                        const std::vector<LoadTranscript>& transcripts,
                        std::size_t phase,
                        const LoadTarget& target) {
  RankSamples samples;
  for (const auto& it : transcripts) {
    if (it.is_order || it.phase != phase ||
        plan.streams[it.stream].rank != target.rank) {
      continue;
    }
    samples.demand.Add(it);
    if (IsAnswered(it)) {
      samples.first_tokens.push_back(it.first_token);
      samples.gaps.insert(samples.gaps.end(), it.gaps.begin(), it.gaps.end());
      samples.in_time +=
          it.first_token <= static_cast<double>(target.first_token.count()) ? 1
                                                                            : 0;
    }
  }
  return samples;
}

double SecondsOf(const LoadPhase& phase) {
  return std::chrono::duration<double>(phase.duration).count();
}

LoadRankSummary SummarizeRank(const LoadPhase& phase,
                              const LoadTarget& target,
                              const RankSamples& samples) {
  const auto requests = samples.demand.requests;
  return {.phase = phase.name,
          .rank = target.rank,
          .requests = requests,
          .answered = samples.first_tokens.size(),
          .first_token = QuantilesOf(samples.first_tokens),
          .between_tokens = QuantilesOf(samples.gaps),
          .first_token_within =
              FractionWithin(samples.first_tokens, target.first_token),
          .between_tokens_within =
              FractionWithin(samples.gaps, target.between_tokens),
          .served_within = Ratio(static_cast<double>(samples.in_time),
                                 static_cast<double>(requests)),
          .goodput = Ratio(static_cast<double>(samples.demand.received),
                           SecondsOf(phase)),
          .served_share = samples.demand.ServedShare()};
}

std::vector<LoadRankSummary> SummarizeRanks(
    const LoadPlan& plan,
    const std::vector<LoadTranscript>& transcripts) {
  std::vector<LoadRankSummary> summaries;
  for (std::size_t n = 0; n < plan.phases.size(); ++n) {
    for (const auto& target : plan.targets) {
      const auto samples = CollectRank(plan, transcripts, n, target);
      if (samples.demand.requests > 0) {
        summaries.push_back(SummarizeRank(plan.phases[n], target, samples));
      }
    }
  }
  return summaries;
}

// Returns the ranks of the streams that send in `phase` but not in `before`.
std::set<std::string> FindFloodRanks(const LoadPlan& plan,
                                     const LoadPhase& phase,
                                     const LoadPhase& before) {
  std::set<std::string> ranks;
  for (const auto& it : plan.streams) {
    const auto sends = [&it](const LoadPhase& in) {
      return std::ranges::find(in.streams, it.name) != in.streams.end();
    };
    if (sends(phase) && !sends(before)) {
      ranks.insert(it.rank);
    }
  }
  return ranks;
}

const LoadRankSummary* FindSummary(const std::vector<LoadRankSummary>& ranks,
                                   const std::string& phase,
                                   const std::string& rank) {
  const auto it = std::ranges::find_if(ranks, [&](const auto& summary) {
    return summary.phase == phase && summary.rank == rank;
  });
  return it == ranks.end() ? nullptr : &*it;
}

std::vector<LoadGoodput> CompareGoodput(
    const LoadPlan& plan,
    const std::vector<LoadRankSummary>& ranks) {
  std::vector<LoadGoodput> result;
  for (const auto& phase : plan.phases) {
    const auto before =
        std::ranges::find(plan.phases, phase.compare_to, &LoadPhase::name);
    if (phase.compare_to.empty() || before == plan.phases.end()) {
      continue;
    }
    const auto flood = FindFloodRanks(plan, phase, *before);
    for (const auto& target : plan.targets) {
      const auto* baseline = FindSummary(ranks, before->name, target.rank);
      const auto* during = FindSummary(ranks, phase.name, target.rank);
      if (flood.contains(target.rank) || baseline == nullptr ||
          during == nullptr) {
        continue;
      }
      result.push_back({.phase = phase.name,
                        .compare_to = before->name,
                        .rank = target.rank,
                        .before = baseline->goodput,
                        .during = during->goodput,
                        .served_share_before = baseline->served_share,
                        .served_share_during = during->served_share});
    }
  }
  return result;
}

// Adds the fair shares of one group: client accounts that compete for the same
// model at the same rank.
void AddEntitlements(const LoadPlan& plan,
                     const std::map<std::string, Demand>& group,
                     std::map<std::string, LoadEntitlement>& out) {
  std::vector<FairShareClaim> claims;
  double total = 0;
  for (const auto& [name, demand] : group) {
    const auto account =
        std::ranges::find(plan.client_accounts, name, &LoadAccount::name);
    claims.push_back({account->weight, static_cast<double>(demand.asked)});
    total += static_cast<double>(demand.received);
  }
  const auto parts = MaxMinFairShares(total, claims);
  auto part = parts.begin();
  for (const auto& [name, demand] : group) {
    auto& it = out[name];
    it.asked += demand.asked;
    it.received += demand.received;
    it.entitled += *part++;
  }
}

// Returns the first-token times of complete answers by client account.
std::map<std::string, std::vector<double>> FirstTokenTimes(
    const LoadPlan& plan,
    const std::vector<LoadTranscript>& transcripts,
    std::size_t phase) {
  std::map<std::string, std::vector<double>> samples;
  for (const auto& it : transcripts) {
    if (!it.is_order && it.phase == phase && IsAnswered(it)) {
      samples[plan.streams[it.stream].client_account].push_back(it.first_token);
    }
  }
  return samples;
}

std::vector<LoadEntitlement> PhaseEntitlements(
    const LoadPlan& plan,
    const std::vector<LoadTranscript>& transcripts,
    std::size_t phase) {
  using Group = std::pair<std::string, std::string>;
  std::map<Group, std::map<std::string, Demand>> groups;
  for (const auto& it : transcripts) {
    const auto& stream = plan.streams[it.stream];
    if (!it.is_order && it.phase == phase) {
      groups[{stream.rank, stream.model}][stream.client_account].Add(it);
    }
  }
  std::map<std::string, LoadEntitlement> accounts;
  for (auto& [name, samples] : FirstTokenTimes(plan, transcripts, phase)) {
    accounts[name].first_token = QuantilesOf(std::move(samples));
  }
  for (const auto& [key, group] : groups) {
    AddEntitlements(plan, group, accounts);
  }
  std::vector<LoadEntitlement> result;
  for (auto& [name, it] : accounts) {
    it.phase = plan.phases[phase].name;
    it.client_account = name;
    it.share = Ratio(static_cast<double>(it.received), it.entitled);
    result.push_back(it);
  }
  return result;
}

void AddFairness(const LoadPlan& plan,
                 const std::vector<LoadTranscript>& transcripts,
                 LoadRunReport& report) {
  for (std::size_t n = 0; n < plan.phases.size(); ++n) {
    const auto accounts = PhaseEntitlements(plan, transcripts, n);
    std::vector<double> shares;
    shares.reserve(accounts.size());
    for (const auto& it : accounts) {
      shares.push_back(it.share);
    }
    report.fairness.emplace_back(plan.phases[n].name, JainIndex(shares));
    report.entitlements.insert(report.entitlements.end(), accounts.begin(),
                               accounts.end());
  }
}

std::int64_t RunsOf(const LoadTranscript& it, const LoadCounts& counts) {
  const auto at = counts.order_runs.find(it.idempotency_key);
  const auto counted = at == counts.order_runs.end() ? 0 : at->second;
  return std::max(counted, it.order_run);
}

void CountTranscript(const LoadPlan& plan,
                     const LoadTranscript& it,
                     LoadRunReport& report) {
  ++report.requests;
  ++report.outcomes[{plan.streams[it.stream].rank, ResultOf(it)}];
  for (const auto& code : it.codes) {
    ++report.attempts[code];
  }
  report.incomplete += it.incomplete ? 1 : 0;
  report.foreign += it.foreign ? 1 : 0;
  report.received += IsAnswered(it) ? it.tokens : 0;
  const bool was_budget_refused =
      std::ranges::find(it.codes, kBudgetExhausted) != it.codes.end();
  report.false_refusals +=
      was_budget_refused && AccountOf(plan, it).budget_covers ? 1 : 0;
  if (it.is_order) {
    const auto runs = RunsOf(it, report.counts);
    ++report.orders;
    report.orders_run_twice += runs > 1 ? 1 : 0;
    report.not_run_but_ran += it.not_run && runs > 0 ? 1 : 0;
  }
}

QString Text(std::string_view text) {
  return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

template <typename T>
qint64 Number(T value) {
  return static_cast<qint64>(value);
}

QJsonObject ToObject(const LoadQuantiles& it) {
  return {{"count", Number(it.count)},
          {"p50_ms", it.p50},
          {"p95_ms", it.p95},
          {"p99_ms", it.p99}};
}

QJsonObject ToObject(const LoadRankSummary& it) {
  return {{"phase", Text(it.phase)},
          {"rank", Text(it.rank)},
          {"requests", Number(it.requests)},
          {"answered", Number(it.answered)},
          {"first_token", ToObject(it.first_token)},
          {"between_tokens", ToObject(it.between_tokens)},
          {"first_token_within", it.first_token_within},
          {"between_tokens_within", it.between_tokens_within},
          {"served_within", it.served_within},
          {"goodput_tokens_per_s", it.goodput},
          {"served_share", it.served_share}};
}

QJsonObject ToObject(const LoadGoodput& it) {
  return {{"phase", Text(it.phase)},
          {"compare_to", Text(it.compare_to)},
          {"rank", Text(it.rank)},
          {"before_tokens_per_s", it.before},
          {"during_tokens_per_s", it.during},
          {"served_share_before", it.served_share_before},
          {"served_share_during", it.served_share_during}};
}

QJsonObject ToObject(const LoadEntitlement& it) {
  return {{"phase", Text(it.phase)},
          {"client_account", Text(it.client_account)},
          {"asked_tokens", Number(it.asked)},
          {"received_tokens", Number(it.received)},
          {"entitled_tokens", it.entitled},
          {"share", it.share},
          {"first_token", ToObject(it.first_token)}};
}

template <typename T>
QJsonArray ToArray(const std::vector<T>& items) {
  QJsonArray array;
  for (const auto& it : items) {
    array.append(ToObject(it));
  }
  return array;
}

QJsonArray OutcomesJson(const LoadRunReport& report) {
  QJsonArray array;
  for (const auto& [key, n] : report.outcomes) {
    array.append(QJsonObject{{"rank", Text(key.first)},
                             {"code", Text(key.second)},
                             {"requests", Number(n)}});
  }
  return array;
}

template <typename T>
QJsonObject MapJson(const std::map<std::string, T>& map) {
  QJsonObject object;
  for (const auto& [name, n] : map) {
    object.insert(Text(name), Number(n));
  }
  return object;
}

QJsonObject FairnessJson(const LoadRunReport& report) {
  QJsonObject object;
  for (const auto& [phase, index] : report.fairness) {
    object.insert(Text(phase), index);
  }
  return object;
}

std::string RankTable(const LoadRunReport& report) {
  auto text = fmt::format(
      "{:<18}{:<13}{:>6}{:>6}  {:>21}  {:>17}  {:>6}{:>8}{:>8}{:>9}{:>7}\n",
      "phase", "rank", "sent", "whole", "first token p50/95/99",
      "between p50/95/99", "first%", "betw.%", "served%", "tokens/s", "kept%");
  for (const auto& it : report.ranks) {
    text += fmt::format(
        "{:<18}{:<13}{:>6}{:>6}  {:>21}  {:>17}  {:>6.1f}{:>8.1f}{:>8.1f}"
        "{:>9.0f}{:>7.1f}\n",
        it.phase, it.rank, it.requests, it.answered,
        fmt::format("{:.0f}/{:.0f}/{:.0f}", it.first_token.p50,
                    it.first_token.p95, it.first_token.p99),
        fmt::format("{:.0f}/{:.0f}/{:.0f}", it.between_tokens.p50,
                    it.between_tokens.p95, it.between_tokens.p99),
        100 * it.first_token_within, 100 * it.between_tokens_within,
        100 * it.served_within, it.goodput, 100 * it.served_share);
  }
  return text +
         "(milliseconds; first%, betw.%: answers and gaps within the targets; "
         "served%: requests\nanswered with the first token in time; kept%: "
         "tokens of whole answers / asked for)\n";
}

std::string GoodputTable(const LoadRunReport& report) {
  std::string text =
      "\ngoodput of the ranks that do not flood, tokens/s "
      "(and part of what they asked for)\n";
  for (const auto& it : report.goodput) {
    text += fmt::format(
        "{:<18}{:<13} {}: {:.0f} ({:.1f}%), during: {:.0f} ({:.1f}%)\n",
        it.phase, it.rank, it.compare_to, it.before,
        100 * it.served_share_before, it.during, 100 * it.served_share_during);
  }
  return text;
}

std::string FairnessTable(const LoadRunReport& report) {
  std::string text =
      "\nshare of entitlement by client account (received / entitled tokens)\n";
  for (const auto& [phase, index] : report.fairness) {
    text += fmt::format("{:<18}Jain's index {:.4f}\n", phase, index);
    for (const auto& it : report.entitlements) {
      if (it.phase == phase) {
        text += fmt::format(
            "    {:<16}{:>7.3f}   asked {:>7}  received {:>7}  entitled "
            "{:>7.0f}  first token p50/95 {:.0f}/{:.0f}\n",
            it.client_account, it.share, it.asked, it.received, it.entitled,
            it.first_token.p50, it.first_token.p95);
      }
    }
  }
  return text;
}

std::string OutcomeTable(const LoadRunReport& report) {
  std::string text = "\noutcomes of requests (all phases, orders included)\n";
  for (const auto& [key, n] : report.outcomes) {
    text += fmt::format("    {:<13}{:<24}{:>6}\n", key.first, key.second, n);
  }
  text += "attempts by code:";
  for (const auto& [code, n] : report.attempts) {
    text += fmt::format(" {} {}", code, n);
  }
  return text + "\n";
}

std::string CountTable(const LoadRunReport& report) {
  const auto& counts = report.counts;
  auto text = fmt::format(
      "\nfalse refusals (budget_exhausted although covered)  {}\n"
      "must be 0: incomplete answers {}, foreign answers {}, orders run more "
      "than once {},\n           orders refused as not_run that ran {}\n"
      "orders sent {}, runs counted by the services {}\n",
      report.false_refusals, report.incomplete, report.foreign,
      report.orders_run_twice, report.not_run_but_ran, report.orders,
      counts.has_services
          ? std::to_string(std::accumulate(
                counts.order_runs.begin(), counts.order_runs.end(),
                std::int64_t{0},
                [](auto sum, const auto& it) { return sum + it.second; }))
          : "unknown");
  if (counts.has_engines) {
    const auto generated = std::accumulate(
        counts.generated.begin(), counts.generated.end(), Tokens{0},
        [](auto sum, const auto& it) { return sum + it.second; });
    text += fmt::format(
        "tokens generated by the engines {}, received in whole answers {}\n",
        generated, report.received);
  }
  return text;
}

}  // namespace

LoadQuantiles QuantilesOf(std::vector<double> samples) {
  if (samples.empty()) {
    return {};
  }
  std::ranges::sort(samples);
  return {.count = samples.size(),
          .p50 = AtQuantile(samples, 0.5),
          .p95 = AtQuantile(samples, 0.95),
          .p99 = AtQuantile(samples, 0.99)};
}

std::vector<double> MaxMinFairShares(
    double total,
    const std::vector<FairShareClaim>& claims) {
  std::vector<double> parts(claims.size(), 0);
  const auto is_open = [&](std::size_t i) {
    return parts[i] + kMinRemainder < claims[i].asked;
  };
  // Each round satisfies at least one claim or distributes the remainder.
  for (double remainder = total; remainder > kMinRemainder;) {
    double weights = 0;
    for (std::size_t i = 0; i < claims.size(); ++i) {
      weights += is_open(i) ? claims[i].weight : 0;
    }
    if (weights == 0) {
      break;
    }
    const double unit = remainder / weights;
    for (std::size_t i = 0; i < claims.size(); ++i) {
      if (is_open(i)) {
        const double part =
            std::min(unit * claims[i].weight, claims[i].asked - parts[i]);
        parts[i] += part;
        remainder -= part;
      }
    }
  }
  return parts;
}

double JainIndex(const std::vector<double>& shares) {
  double sum = 0;
  double squares = 0;
  for (const auto it : shares) {
    sum += it;
    squares += it * it;
  }
  return squares > 0
             ? sum * sum / (static_cast<double>(shares.size()) * squares)
             : 1;
}

LoadRunReport Summarize(const LoadPlan& plan,
                        const std::vector<LoadTranscript>& transcripts,
                        const LoadCounts& counts,
                        std::uint64_t seed) {
  LoadRunReport report{.seed = seed, .counts = counts};
  for (const auto& it : transcripts) {
    CountTranscript(plan, it, report);
  }
  report.ranks = SummarizeRanks(plan, transcripts);
  report.goodput = CompareGoodput(plan, report.ranks);
  AddFairness(plan, transcripts, report);
  return report;
}

bool IsSound(const LoadRunReport& report) {
  return report.incomplete == 0 && report.foreign == 0 &&
         report.orders_run_twice == 0 && report.not_run_but_ran == 0;
}

std::string FormatTable(const LoadRunReport& report) {
  return fmt::format("{} requests, {} of them orders; seed {}\n\n",
                     report.requests, report.orders, report.seed) +
         RankTable(report) + GoodputTable(report) + FairnessTable(report) +
         OutcomeTable(report) + CountTable(report);
}

std::string ToJson(const LoadRunReport& report) {
  const QJsonObject object{
      {"seed", Number(report.seed)},
      {"requests", Number(report.requests)},
      {"orders", Number(report.orders)},
      {"ranks", ToArray(report.ranks)},
      {"goodput", ToArray(report.goodput)},
      {"entitlements", ToArray(report.entitlements)},
      {"jain_index", FairnessJson(report)},
      {"outcomes", OutcomesJson(report)},
      {"attempts", MapJson(report.attempts)},
      {"false_refusals", Number(report.false_refusals)},
      {"incomplete", Number(report.incomplete)},
      {"foreign", Number(report.foreign)},
      {"orders_run_twice", Number(report.orders_run_twice)},
      {"not_run_but_ran", Number(report.not_run_but_ran)},
      {"has_engine_counts", report.counts.has_engines},
      {"has_service_counts", report.counts.has_services},
      {"received_tokens", Number(report.received)},
      {"generated_tokens", MapJson(report.counts.generated)}};
  return QJsonDocument(object).toJson(QJsonDocument::Indented).toStdString();
}

}  // namespace crocuslatch
