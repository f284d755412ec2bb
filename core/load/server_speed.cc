#include "core/load/server_speed.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace crocuslatch {
namespace {

// Ratio of a median absolute deviation to the standard deviation, and of the
// standard error of a median to that of a mean, for a normal distribution.
constexpr double kDeviationPerMad = 1.48;
constexpr double kMedianError = 1.25;
// Limit on the logarithm of one sample: a factor of 20.
constexpr double kMaxLogRatio = 3;

}  // namespace

ServerSpeed::ServerSpeed(ServerSpeedOptions options) : options_(options) {}

void ServerSpeed::SetServers(const std::vector<BackendEntry>& entries,
                             Millis /*now*/) {
  std::map<std::string, Server> next;
  for (const auto& it : entries) {
    const auto start_time_ms = it.start_time_ms.value_or(0);
    Server server;
    const auto found = servers_.find(it.id);
    if (found != servers_.end() && found->second.service == it.service) {
      server = std::move(found->second);
    }
    if (server.start_time_ms != start_time_ms) {
      for (auto& samples : server.samples) {
        for (auto& sample : samples) {
          sample.is_before_restart = true;
        }
      }
      for (auto& [host, report] : server.peers) {
        report.is_before_restart = true;
      }
    }
    server.service = it.service;
    server.start_time_ms = start_time_ms;
    next.emplace(it.id, std::move(server));
  }
  servers_ = std::move(next);
}

void ServerSpeed::AddSample(const std::string& server_id,
                            SpeedSample kind,
                            double ratio,
                            Millis now) {
  const auto it = servers_.find(server_id);
  if (it == servers_.end() || !(ratio > 0)) {
    return;
  }
  auto& samples = it->second.samples[static_cast<std::size_t>(kind)];
  samples.push_back(
      {std::clamp(std::log(ratio), -kMaxLogRatio, kMaxLogRatio), now});
  if (samples.size() > options_.max_samples) {
    samples.pop_front();
  }
}

double ServerSpeed::Weight(Millis age, bool is_before_restart) const {
  const auto half_life =
      is_before_restart ? options_.restart_half_life : options_.half_life;
  return std::exp2(-static_cast<double>(std::max(age, Millis{0}).count()) /
                   static_cast<double>(half_life.count()));
}

std::vector<ServerSpeed::WeightedValue> ServerSpeed::OwnValues(
    const Server& server,
    std::size_t kind,
    Millis now) const {
  std::vector<WeightedValue> values;
  for (const auto& it : server.samples[kind]) {
    values.push_back({it.log_ratio, Weight(now - it.at, it.is_before_restart)});
  }
  return values;
}

std::vector<ServerSpeed::WeightedValue> ServerSpeed::AllValues(
    const Server& server,
    std::size_t kind,
    Millis now) const {
  auto values = OwnValues(server, kind, now);
  for (const auto& [host, it] : server.peers) {
    const auto age = now - it.received_at;
    if (age <= options_.peer_ttl && it.kinds[kind].weight > 0) {
      values.push_back(
          {it.kinds[kind].log_ratio,
           it.kinds[kind].weight * Weight(age, it.is_before_restart)});
    }
  }
  return values;
}

ServerSpeed::KindEstimate ServerSpeed::Estimate(
    std::vector<WeightedValue> values) {
  KindEstimate estimate;
  for (const auto& it : values) {
    estimate.weight += it.weight;
  }
  const auto median = [&] {
    std::ranges::sort(values, {}, &WeightedValue::value);
    double sum = 0;
    for (const auto& it : values) {
      sum += it.weight;
      if (sum >= estimate.weight / 2) {
        return it.value;
      }
    }
    return 0.0;
  };
  estimate.median = median();
  for (auto& it : values) {
    it.value = std::abs(it.value - estimate.median);
  }
  estimate.spread = kDeviationPerMad * median();
  return estimate;
}

std::vector<SpeedReport> ServerSpeed::TakeReports(Millis now,
                                                  std::size_t limit) {
  // A weight below this is not worth a message.
  constexpr double kMinReportedWeight = 0.5;
  std::vector<SpeedReport> reports;
  for (auto& [id, server] : servers_) {
    if (reports.size() >= limit) {
      break;
    }
    if (server.reported_at &&
        now - *server.reported_at < options_.resend_period) {
      continue;
    }
    SpeedReport report{.server_id = id, .start_time_ms = server.start_time_ms};
    double weight = 0;
    for (std::size_t kind = 0; kind < kSpeedSampleKinds; ++kind) {
      const auto estimate = Estimate(OwnValues(server, kind, now));
      report.kinds[kind] = {estimate.median, estimate.weight};
      weight += estimate.weight;
    }
    if (weight >= kMinReportedWeight) {
      server.reported_at = now;
      reports.push_back(std::move(report));
    }
  }
  return reports;
}

void ServerSpeed::OnPeerReport(const std::string& host,
                               const SpeedReport& report,
                               Millis now) {
  const auto it = servers_.find(report.server_id);
  if (it == servers_.end() ||
      it->second.start_time_ms != report.start_time_ms) {
    return;
  }
  auto& peers = it->second.peers;
  std::erase_if(peers, [&](const auto& peer) {
    return now - peer.second.received_at > options_.peer_ttl;
  });
  if (!peers.contains(host) && peers.size() >= options_.max_peers) {
    return;
  }
  auto& peer = peers[host];
  peer = {.received_at = now};
  for (std::size_t kind = 0; kind < kSpeedSampleKinds; ++kind) {
    peer.kinds[kind] = {
        std::clamp(report.kinds[kind].log_ratio, -kMaxLogRatio, kMaxLogRatio),
        std::clamp(report.kinds[kind].weight, 0.0,
                   static_cast<double>(options_.max_samples))};
  }
}

void ServerSpeed::Refresh(Millis now) {
  if (refreshed_at_ && now - *refreshed_at_ < options_.refresh_period) {
    return;
  }
  refreshed_at_ = now;
  std::map<std::string, std::vector<std::pair<std::string, Server*>>> services;
  for (auto& [id, server] : servers_) {
    services[server.service].emplace_back(id, &server);
  }
  for (const auto& [name, all] : services) {
    RefreshService(all, now);
  }
}

void ServerSpeed::RefreshService(
    const std::vector<std::pair<std::string, Server*>>& all,
    Millis now) {
  std::array<std::vector<KindEstimate>, kSpeedSampleKinds> estimates;
  std::array<std::optional<double>, kSpeedSampleKinds> service_median;
  const auto min_measured = std::max(
      static_cast<std::size_t>(options_.min_measured), (all.size() + 1) / 2);
  for (std::size_t kind = 0; kind < kSpeedSampleKinds; ++kind) {
    std::vector<WeightedValue> medians;
    for (const auto& [id, server] : all) {
      estimates[kind].push_back(Estimate(AllValues(*server, kind, now)));
      if (estimates[kind].back().weight >= options_.min_weight) {
        medians.push_back({estimates[kind].back().median, 1});
      }
    }
    if (medians.size() >= min_measured) {
      service_median[kind] = Estimate(medians).median;
    }
  }
  for (std::size_t i = 0; i < all.size(); ++i) {
    double difference = 0;
    double weight = 0;
    double spread = options_.min_spread;
    for (std::size_t kind = 0; kind < kSpeedSampleKinds; ++kind) {
      if (service_median[kind]) {
        const auto& it = estimates[kind][i];
        difference += it.weight * (it.median - *service_median[kind]);
        weight += it.weight;
        spread = std::max(spread, it.spread);
      }
    }
    Apply(all[i].first, *all[i].second, weight > 0 ? difference / weight : 0,
          weight, spread);
  }
}

void ServerSpeed::Apply(const std::string& id,
                        Server& server,
                        double difference,
                        double weight,
                        double spread) {
  const double previous = std::log(server.time_factor);
  const bool was_uneven = server.is_uneven;
  const int previous_level = server.home_level;
  const double error =
      weight > 0 ? kMedianError * spread / std::sqrt(weight) : kMaxLogRatio;
  const bool is_certain =
      std::abs(difference) - options_.certainty * error >= options_.dead_band;
  const bool is_still_uneven = was_uneven && difference * previous > 0 &&
                               std::abs(difference) >= options_.release_band &&
                               weight >= options_.min_weight;
  server.is_uneven = is_certain || is_still_uneven;
  server.time_factor = 1;
  if (server.is_uneven) {
    const double limit = std::log(options_.max_factor);
    server.time_factor = std::exp(std::clamp(
        difference * weight / (weight + options_.prior_weight), -limit, limit));
  }
  const double level = -std::log(server.time_factor) / options_.level_step;
  if (!server.is_uneven) {
    server.home_level = 0;
  } else if (std::abs(level - server.home_level) > options_.level_hysteresis) {
    server.home_level = std::clamp(static_cast<int>(std::lround(level)),
                                   -options_.max_level, options_.max_level);
  }
  if (on_change_ &&
      (server.is_uneven != was_uneven || server.home_level != previous_level)) {
    on_change_({id, server.time_factor, weight, server.home_level});
  }
}

double ServerSpeed::TimeFactor(const std::string& server_id) const {
  const auto it = servers_.find(server_id);
  return it == servers_.end() ? 1 : it->second.time_factor;
}

double ServerSpeed::HomeWeight(const std::string& server_id) const {
  const auto it = servers_.find(server_id);
  return it == servers_.end()
             ? 1
             : std::exp(options_.level_step * it->second.home_level);
}

}  // namespace crocuslatch
