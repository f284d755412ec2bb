#ifndef SRC_CALLER_API_H_
#define SRC_CALLER_API_H_

#include <string>
#include <string_view>

#include "io/http_server.h"
#include "src/request_context.h"

// Defines the callers' interface: authentication, headers and routing.

namespace crocuslatch {

// Reads the caller's headers. Throws RequestError.
RequestMetadata ReadRequestMetadata(const IncomingRequest& request,
                                    std::shared_ptr<const Document> document,
                                    Millis now);

// Makes the handler of one worker's caller listener.
HttpHandler MakeCallerApi(RequestContext context);

}  // namespace crocuslatch

#endif  // SRC_CALLER_API_H_
