#ifndef SRC_ORDER_REQUEST_H_
#define SRC_ORDER_REQUEST_H_

#include <string>

#include "io/http_server.h"
#include "src/request_context.h"

// Defines the path of one call to a plain service.

namespace crocuslatch {

// Longest time between the confirmation of a claim and its dispatch. A
// process paused for longer abandons the claim instead.
constexpr Millis kMaxDispatchDelay{1000};

// Runs the call `POST /v1/services/<service>/<path>`; `path` is what follows
// the service, without the first slash. Ends in exactly one answer or error.
void RunOrderRequest(const RequestContext& context,
                     const RequestMetadata& caller,
                     const std::string& service,
                     const std::string& path,
                     const IncomingRequest& request,
                     HttpReply reply);

}  // namespace crocuslatch

#endif  // SRC_ORDER_REQUEST_H_
