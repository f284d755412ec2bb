#ifndef SRC_REQUEST_CONTEXT_H_
#define SRC_REQUEST_CONTEXT_H_

#include <functional>
#include <memory>
#include <string>

#include "io/http_client.h"
#include "src/backend_table.h"
#include "src/document.h"
#include "src/event_loop.h"
#include "src/grant_table.h"
#include "src/metrics.h"
#include "src/order_claims.h"
#include "src/scheduler.h"

// Defines what a request uses on its way: the tables and hooks of a worker.

namespace crocuslatch {

// One for each worker thread; everything but `loop` and `client` may be shared
// by all workers.
struct RequestContext {
  // Loop of the worker's thread. Its clock must be that of the scheduler.
  EventLoop loop;
  // Lives at least as long as the worker's requests.
  HttpClient* client = nullptr;
  // The document in force; null if there is none.
  std::function<std::shared_ptr<const Document>()> document;
  std::shared_ptr<Scheduler> scheduler;
  std::shared_ptr<BackendTable> backends;
  std::shared_ptr<Metrics> metrics;
  std::shared_ptr<OrderClaims> claims;
  // GrantTable::Reserve and GrantTable::Settle; the callback of `reserve` may
  // come from any thread.
  std::function<void(const std::string& budget,
                     Tokens amount,
                     Millis wait,
                     std::function<void(ReserveStatus)>)>
      reserve;
  std::function<
      void(const std::string& budget, Tokens reserved, const Bill& bill)>
      settle;
  std::function<bool(const HolderId&)> is_holder_gone;
  // 64 random bits; thread-safe.
  std::function<std::uint64_t()> random;
};

// Who asks, on which budget and how urgently; made by the callers' interface.
struct RequestMetadata {
  std::shared_ptr<const Document> document;
  std::string client_account;
  double weight = 1;
  std::string budget;
  std::string rank;
  // Index of the rank; 0 is the most urgent.
  std::size_t rank_index = 0;
  // Empty if the caller gave none.
  std::string idempotency_key;
  Millis arrived{0};
  Millis deadline{0};
};

}  // namespace crocuslatch

#endif  // SRC_REQUEST_CONTEXT_H_
