#ifndef CORE_LOAD_SERVER_SPEED_H_
#define CORE_LOAD_SERVER_SPEED_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/backend_entry.h"
#include "src/types.h"

// Defines the learned speed of each model engine relative to its service.
//
// Load pattern: the engines of one service run at 0.6, 1.0 and 1.6 of their
// usual speed, and no registry entry says so. One host of 78 sees a request of
// a given engine every 20 seconds, so hosts exchange what they measured.
//
// A sample is the ratio of a measured time to the time that the load explains,
// so that a busy server is not taken for a slow one. Estimates are medians and
// are compared with the median of the service, which cancels an error that the
// expected times have in common. A server whose difference is not certain or
// lies within the dead band counts as even.

namespace crocuslatch {

struct ServerSpeedOptions {
  // Number of this host's latest samples kept for each server and kind.
  std::size_t max_samples = 16;
  // Time after which the weight of a sample is halved: in general, and for
  // samples of an earlier incarnation of the server, which may have returned on
  // another machine.
  Millis half_life{60'000};
  Millis restart_half_life{5000};
  // Lifetime of a peer's figures; peers repeat them after `resend_period`. A
  // row has about 60 bytes, so 60 servers cost a host 4 KB/s of its link.
  Millis peer_ttl{45'000};
  Millis resend_period{15'000};
  std::size_t max_peers = 64;
  Millis refresh_period{1000};
  // Servers of a service that must have been measured before their median is
  // used; at least half of them must have been, too.
  int min_measured = 3;
  // Weight of samples that makes a server count as measured.
  double min_weight = 2;
  // Difference, as a natural logarithm, up to which a server counts as even
  // (15%), and below which an uneven server counts as even again.
  double dead_band = 0.14;
  double release_band = 0.10;
  // Smallest spread of samples that is assumed, as a natural logarithm. The
  // medians that peers send spread less than their samples do.
  double min_spread = 0.3;
  // Number of standard errors by which a difference must exceed the dead band.
  // With `min_spread`, a server of speed 1.6 needs 12 samples.
  double certainty = 3;
  // Weight of the assumption that a server is even.
  double prior_weight = 4;
  // Limits on the estimate: 0.4 to 2.5 times the usual duration.
  double max_factor = 2.5;
  // Step between the weights of homes, as a natural logarithm, and the distance
  // from a level, in steps, beyond which another level is chosen. At 0.5, the
  // speeds 0.6, 1.0 and 1.6 are close to three neighbouring levels.
  double level_step = 0.5;
  double level_hysteresis = 0.65;
  int max_level = 2;
};

enum class SpeedSample : std::uint8_t {
  // From the dispatch to the first event, against the prompt and the queue.
  kPrompt,
  // Between two events, against the number of running requests.
  kPause,
};
inline constexpr std::size_t kSpeedSampleKinds = 2;

// Median of the natural logarithms of measured over expected time, and the
// weight of the samples.
struct SpeedSummary {
  double log_ratio = 0;
  double weight = 0;
  bool operator==(const SpeedSummary&) const = default;
};

// What one host measured of a server.
struct SpeedReport {
  std::string server_id;
  // Start time of the server; 0 if unknown.
  std::int64_t start_time_ms = 0;
  std::array<SpeedSummary, kSpeedSampleKinds> kinds;
  bool operator==(const SpeedReport&) const = default;
};

struct SpeedChange {
  std::string server_id;
  // Duration of work relative to the service's median; 1 if even.
  double time_factor = 1;
  // Weight of the samples of all hosts.
  double weight = 0;
  int home_level = 0;
};

class ServerSpeed {
 public:
  explicit ServerSpeed(ServerSpeedOptions options);

  // Replaces the set of registered servers.
  void SetServers(const std::vector<BackendEntry>& entries, Millis now);

  // `ratio` is the measured time over the expected time.
  void AddSample(const std::string& server_id,
                 SpeedSample kind,
                 double ratio,
                 Millis now);
  // Returns at most `limit` reports that have changed since they were last
  // returned or that have to be repeated; none more often than every
  // `resend_period`.
  std::vector<SpeedReport> TakeReports(Millis now, std::size_t limit);
  // A report about another incarnation of the server is ignored.
  void OnPeerReport(const std::string& host,
                    const SpeedReport& report,
                    Millis now);

  // Updates the estimates if they are older than `refresh_period`.
  void Refresh(Millis now);
  // Duration of work on the server relative to its service's median. 1 if the
  // server is unknown or counts as even.
  double TimeFactor(const std::string& server_id) const;
  // Weight for choosing the homes of sessions; one of few levels.
  double HomeWeight(const std::string& server_id) const;

  // Sets a hook that is called when a server becomes even or uneven, or when
  // its weight for homes changes.
  void OnChange(std::function<void(const SpeedChange&)> hook) {
    on_change_ = std::move(hook);
  }

 private:
  struct Sample {
    double log_ratio = 0;
    Millis at{0};
    bool is_before_restart = false;
  };
  struct PeerReport {
    std::array<SpeedSummary, kSpeedSampleKinds> kinds;
    Millis received_at{0};
    bool is_before_restart = false;
  };
  struct Server {
    std::string service;
    std::int64_t start_time_ms = 0;
    std::array<std::deque<Sample>, kSpeedSampleKinds> samples;
    std::map<std::string, PeerReport> peers;
    std::optional<Millis> reported_at;
    bool is_uneven = false;
    double time_factor = 1;
    int home_level = 0;
  };
  struct WeightedValue {
    double value = 0;
    double weight = 0;
  };
  // Estimate of one kind of samples, before the comparison with the service.
  struct KindEstimate {
    double median = 0;
    double weight = 0;
    double spread = 0;
  };

  static KindEstimate Estimate(std::vector<WeightedValue> values);
  double Weight(Millis age, bool is_before_restart) const;
  std::vector<WeightedValue> OwnValues(const Server& server,
                                       std::size_t kind,
                                       Millis now) const;
  std::vector<WeightedValue> AllValues(const Server& server,
                                       std::size_t kind,
                                       Millis now) const;
  void RefreshService(const std::vector<std::pair<std::string, Server*>>& all,
                      Millis now);
  void Apply(const std::string& id,
             Server& server,
             double difference,
             double weight,
             double spread);

  const ServerSpeedOptions options_;
  std::map<std::string, Server> servers_;
  std::optional<Millis> refreshed_at_;
  std::function<void(const SpeedChange&)> on_change_;
};

}  // namespace crocuslatch

#endif  // CORE_LOAD_SERVER_SPEED_H_
