#ifndef SRC_BACKEND_TABLE_H_
#define SRC_BACKEND_TABLE_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "src/document.h"
#include "src/types.h"

// Defines the table of backend servers: their loads, the choice of a server for
// a request, ejection and readmission, and this router's share of their slots.

namespace crocuslatch {

struct BackendTableOptions {
  // Consecutive failures after which a server is ejected.
  int failures_to_eject = 3;
  Millis initial_backoff{500};
  Millis max_backoff{30000};
  // Load reduction for a server that has the whole prompt prefix cached, as a
  // fraction of its slots.
  double prefix_bonus = 0.5;
  // Cached prefixes tracked for each server.
  std::size_t max_prefixes = 4096;
  // Capacity of the retry budget, in retries.
  double max_saved_retries = 20;
  // Load reports of this age or older are ignored.
  Millis max_report_age{5000};
  // Refill rate of the retry budget independent of the number of requests.
  double retries_per_second = 1;
  // Fraction of a target's slots that only the most urgent work may use.
  double reserved_slot_fraction = 0.1;
};

// Name of a target. Models and services have separate namespaces.
std::string ModelTarget(std::string_view model);
std::string ServiceTarget(std::string_view service);

// A server's own load report, `GET /v1/load`.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  bool leaving = false;
  // Age of the figures when the report was sent.
  Millis age{0};
  auto operator<=>(const LoadReport&) const = default;
};

// Throws UserError "bad_load_report" if "running" is missing or a count is
// negative.
LoadReport ParseLoadReport(std::string_view json);

// A slot taken at a backend server. It must be returned with Release.
struct BackendSlot {
  std::string server;
  std::string address;
  // The request probes an ejected server; its result decides whether the server
  // is readmitted.
  bool is_probe = false;
  std::uint64_t dispatch_id = 0;
  auto operator<=>(const BackendSlot&) const = default;
};

enum class BackendResult {
  kSucceeded,
  kFailed,
  // Says nothing about the server's health: the caller cancelled the request,
  // or the server declined it without running it.
  kNeutral,
};

struct SlotRequest {
  std::string target;
  std::string_view prompt;
  // Servers to avoid unless no other one is usable.
  std::set<std::string> avoid;
  bool may_use_reserved_slots = true;
};

struct BackendStatus {
  std::string server;
  std::string address;
  std::string target;
  // This router's share of the server's slots.
  std::uint32_t own_slots = 0;
  std::uint32_t in_flight = 0;
  double load = 0;
  bool ejected = false;
  bool leaving = false;
  bool operator==(const BackendStatus&) const = default;
};

// Number of the `slots` of `server` that belong to this router among `routers`.
// The shares of all routers add up to `slots`; with fewer slots than routers
// most shares are 0.
std::uint32_t SlotShare(std::string_view server,
                        std::uint32_t slots,
                        std::string_view own_host,
                        const std::vector<std::string>& routers);

// Thread-safe.
class BackendTable {
 public:
  BackendTable(BackendTableOptions options,
               std::string own_host,
               std::function<Millis()> now,
               std::uint64_t seed);
  ~BackendTable();

  void SetDocument(const Document& document);
  // Sets the live routers, this one included.
  void SetRouters(std::vector<std::string> hosts);
  // Sets the names or addresses of the backend servers that the host list marks
  // as leaving.
  void SetLeavingHosts(std::set<std::string> hosts);
  // Stores a load report; unknown servers are ignored.
  void UpdateLoad(const std::string& server, const LoadReport& report);
  // Records hints from a server's cache events: `hash` is the StableHash of a
  // prefix of `bytes` bytes.
  void AddPrefix(const std::string& server,
                 std::uint64_t hash,
                 std::size_t bytes);
  void RemovePrefix(const std::string& server, std::uint64_t hash);
  // Counts a failure that was seen outside of a request, such as a refused
  // connection of a load poll.
  void CountFailure(const std::string& server);

  // Chooses a server and takes a slot of it; nullopt if none is free.
  std::optional<BackendSlot> Acquire(const SlotRequest& request);
  void Release(const BackendSlot& slot, BackendResult result);

  // Readmits the server of a probe as soon as it has begun to answer, since a
  // stream can take minutes to end.
  void ConfirmProbe(const BackendSlot& slot);

  // Credits the retry budget for the first dispatch of a request.
  void CountRequest();
  // Takes one retry from the budget; false if the budget is exhausted.
  bool TryTakeRetry();

  // True if the document has a server for the target that is not leaving.
  bool HasServer(const std::string& target) const;
  std::vector<BackendStatus> View() const;

 private:
  struct Core;
  mutable std::mutex mutex_;
  std::unique_ptr<Core> core_;
};

}  // namespace crocuslatch

#endif  // SRC_BACKEND_TABLE_H_
