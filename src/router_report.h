#ifndef SRC_ROUTER_REPORT_H_
#define SRC_ROUTER_REPORT_H_

#include <functional>
#include <string>
#include <vector>

#include "src/backend_table.h"
#include "src/config_keeper.h"
#include "src/grant_table.h"
#include "src/shard_state.h"

// Defines the JSON reports of the administration interface.

namespace crocuslatch {

// State of one router and its view of the fleet.
struct RouterStatus {
  HolderId holder;
  std::string failure_domain;
  DocumentPointer document;
  bool is_stopping = false;
  std::size_t queued = 0;
  std::vector<std::string> live_routers;
  std::vector<std::string> connected_peers;
  std::vector<BackendStatus> backends;
  std::vector<HeldGrant> grants;
};

// Reports the status of one router.
std::string StatusReport(const RouterStatus& status);

// Reports the ledger of one budget: the prepaid amount in the document, the
// recorded limit, billed tokens, open charges of orders, available tokens, and
// the outstanding grant of each holder. Grants of holders for which `is_gone`
// is true are shown as frozen.
std::string LedgerReport(const std::string& budget,
                         Tokens prepaid,
                         const ShardState& state,
                         const std::function<bool(const HolderId&)>& is_gone);

}  // namespace crocuslatch

#endif  // SRC_ROUTER_REPORT_H_
