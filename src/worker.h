#ifndef SRC_WORKER_H_
#define SRC_WORKER_H_

#include <functional>
#include <memory>

#include "io/http_server.h"
#include "src/request_context.h"

// Defines a worker: a thread with its own callers' listener and HTTP client.

namespace crocuslatch {

// Belongs to the thread that made it.
class Worker {
 public:
  // `context` lacks `loop` and `client`, which are the worker's own. Returns
  // after the worker listens. Throws UserError "listen_failed".
  Worker(const HttpServerOptions& options, RequestContext context);
  // Ends the thread; requests in flight are cut.
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  std::uint16_t port() const;
  // Closes the listener. Later requests on open connections are refused as
  // not_run; requests in flight go on.
  void StopAccepting();
  // Requests in flight.
  std::size_t open_requests() const;

 private:
  struct Core;
  std::unique_ptr<Core> core_;
};

}  // namespace crocuslatch

#endif  // SRC_WORKER_H_
