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

// Defines the table of backend servers: their loads, the choice of one for a
// request, ejection and readmission, and this router's part of their slots.

namespace crocuslatch {

struct BackendTableOptions {
  // Consecutive failures after which a server is ejected.
  int failures_to_eject = 3;
  Millis initial_backoff{500};
  Millis max_backoff{30000};
  // A known whole prefix counts as this part of a server's slots.
  double prefix_bonus = 0.5;
  // Prefix records kept for each server.
  std::size_t max_prefixes = 4096;
  // Retries that may be saved up.
  double max_saved_retries = 20;
  // Age at which a report no longer counts.
  Millis max_report_age{5000};
  // Retries allowed each second however few requests there are.
  double retries_per_second = 1;
  // Part of a target's slots that only the most urgent work may use.
  double reserved_slot_fraction = 0.1;
};

// Names of a target: models and services have separate names.
std::string ModelTarget(std::string_view model);
std::string ServiceTarget(std::string_view service);

// A server's own report, `GET /v1/load`.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  bool leaving = false;
  // Age of the figures when the report was sent.
  Millis age{0};
  auto operator<=>(const LoadReport&) const = default;
};

// Throws UserError "bad_load_report".
LoadReport ParseLoadReport(std::string_view json);

// A slot taken at a backend server. It must be given back by Release.
struct BackendSlot {
  std::string server;
  std::string address;
  // The single request that decides about the readmission of the server.
  bool is_probe = false;
  std::uint64_t dispatch_id = 0;
  auto operator<=>(const BackendSlot&) const = default;
};

enum class BackendResult {
  kSucceeded,
  kFailed,
  // Neither: cancelled by the caller, or refused by the server in order.
  kNeutral,
};

struct SlotRequest {
  std::string target;
  std::string_view prompt;
  // Servers to avoid as long as there is another one.
  std::set<std::string> avoid;
  bool may_use_reserved_slots = true;
};

struct BackendStatus {
  std::string server;
  std::string address;
  std::string target;
  std::uint32_t own_slots = 0;
  std::uint32_t in_flight = 0;
  double load = 0;
  bool ejected = false;
  bool leaving = false;
  bool operator==(const BackendStatus&) const = default;
};

// This router's part of the slots of `server` among `routers`: all parts add
// up to `slots`. With fewer slots than routers the part of most is 0.
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
  // Live routers, this one included.
  void SetRouters(std::vector<std::string> hosts);
  // Names or addresses of backend hosts that the host list calls leaving.
  void SetLeavingHosts(std::set<std::string> hosts);
  void UpdateLoad(const std::string& server, const LoadReport& report);
  // Hints from a server's cache events.
  void AddPrefix(const std::string& server,
                 std::uint64_t hash,
                 std::size_t bytes);
  void RemovePrefix(const std::string& server, std::uint64_t hash);
  // A failure seen outside of a request, such as a refused load poll.
  void CountFailure(const std::string& server);

  // Takes a slot; nullopt if none is free.
  std::optional<BackendSlot> Acquire(const SlotRequest& request);
  void Release(const BackendSlot& choice, BackendResult result);

  // The server has begun to answer: ends its trial before the request ends,
  // since a stream can take minutes.
  void ConfirmProbe(const BackendSlot& choice);

  // Each first dispatch adds to the retry budget, each retry takes one.
  void CountRequest();
  bool TryTakeRetry();

  // True if the document names a server for the target that is not leaving.
  bool HasServer(const std::string& target) const;
  std::vector<BackendStatus> View() const;

 private:
  struct Core;
  mutable std::mutex mutex_;
  std::unique_ptr<Core> core_;
};

}  // namespace crocuslatch

#endif  // SRC_BACKEND_TABLE_H_
