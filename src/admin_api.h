#ifndef SRC_ADMIN_API_H_
#define SRC_ADMIN_API_H_

#include <functional>
#include <string>

#include "io/http_server.h"
#include "src/config_keeper.h"

// Defines the administration interface: the document, reports, health,
// metrics and the planned stop. docs/design.md section 10 lists the paths.

namespace crocuslatch {

// Room for several times the document of the largest planned fleet (3.2 MB).
inline constexpr std::size_t kMaxDocumentBytes = 16 << 20;

struct AdminApiHooks {
  // Outlives the handler.
  ConfigKeeper* keeper = nullptr;
  // Calls back with the JSON report of the budget; empty if the ledger cannot
  // be read.
  std::function<void(const std::string& budget,
                     std::function<void(std::string)>)>
      ledger;
  // JSON.
  std::function<std::string()> status;
  std::function<std::string()> histograms;
  // Text exposition format.
  std::function<std::string()> metrics;
  // True if callers may be sent to this router.
  std::function<bool()> is_ready;
  // Begins the planned stop.
  std::function<void()> stop;
};

// Answers of the interface, for use without a connection.
struct AdminResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
};
using AdminResponseCallback = std::function<void(const AdminResponse&)>;

// Answers one request; the callback may come later. /healthz and /readyz need
// no token.
void HandleAdminRequest(const AdminApiHooks& hooks,
                        const std::string& token,
                        const IncomingRequest& request,
                        const AdminResponseCallback& callback);

// Handler of the administration listener. `token` is the operators' bearer
// token.
HttpHandler MakeAdminApi(const std::string& token, AdminApiHooks hooks);

}  // namespace crocuslatch

#endif  // SRC_ADMIN_API_H_
