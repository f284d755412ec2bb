#ifndef SRC_CALLER_API_H_
#define SRC_CALLER_API_H_

#include <string>
#include <string_view>

#include "io/http_server.h"
#include "src/request_context.h"

// Defines the HTTP API for callers: authentication, headers and routing.

namespace crocuslatch {

// Authenticates the request and reads its metadata from the headers. `now` is
// the time of arrival. Throws RequestError.
RequestMetadata ReadRequestMetadata(const IncomingRequest& request,
                                    std::shared_ptr<const Document> document,
                                    Millis now);

// Makes the request handler of one worker's caller listener.
HttpHandler MakeCallerApi(RequestContext context);

}  // namespace crocuslatch

#endif  // SRC_CALLER_API_H_
