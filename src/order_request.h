#ifndef SRC_ORDER_REQUEST_H_
#define SRC_ORDER_REQUEST_H_

#include <string>

#include "io/http_server.h"
#include "src/request_context.h"

// Defines the handling of one call to a plain service. Calls of a service that
// is not repeatable are orders, which run at most once.

namespace crocuslatch {

// Maximum time between the confirmation of a claim and its dispatch. A process
// that was paused for longer abandons the claim instead.
constexpr Millis kMaxDispatchDelay{1000};

// Runs the call `POST /v1/services/<service>/<path>`; `path` has no leading
// slash. Sends exactly one answer or error on `reply` unless it throws
// RequestError.
void RunOrderRequest(const RequestContext& context,
                     const RequestMetadata& metadata,
                     const std::string& service,
                     const std::string& path,
                     const IncomingRequest& request,
                     HttpReply reply);

}  // namespace crocuslatch

#endif  // SRC_ORDER_REQUEST_H_
