#ifndef SRC_WORKER_H_
#define SRC_WORKER_H_

#include <functional>
#include <memory>

#include "io/http_server.h"
#include "src/request_context.h"

// Defines a worker: a thread with its own listener for callers and its own HTTP
// client.

namespace crocuslatch {

// Use only on the thread that created it.
class Worker {
 public:
  // Starts the thread and returns once it listens. The worker sets `loop` and
  // `client` of `context` to its own. Throws UserError "listen_failed".
  Worker(const HttpServerOptions& options, RequestContext context);
  // Stops the thread and aborts requests in flight.
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  std::uint16_t port() const;
  // Closes the listener. New requests on open connections are refused as
  // not_run; requests in flight continue.
  void StopAccepting();
  // Number of requests in flight.
  std::size_t open_requests() const;

 private:
  struct Core;
  std::unique_ptr<Core> core_;
};

}  // namespace crocuslatch

#endif  // SRC_WORKER_H_
