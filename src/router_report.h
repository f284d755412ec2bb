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

// What one router knows of itself and its surroundings.
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

std::string StatusReport(const RouterStatus& view);

// Ledger of one budget: prepaid by the document, limit recorded, billed, open
// charges of orders, available, and each holder's outstanding grant.
// `is_gone` tells whose grants are frozen.
std::string LedgerReport(const std::string& budget,
                         Tokens prepaid,
                         const ShardState& state,
                         const std::function<bool(const HolderId&)>& is_gone);

}  // namespace crocuslatch

#endif  // SRC_ROUTER_REPORT_H_
