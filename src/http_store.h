#ifndef SRC_HTTP_STORE_H_
#define SRC_HTTP_STORE_H_

#include <string>

#include "io/http_client.h"
#include "src/event_loop.h"
#include "src/store.h"

// Defines the implementation of Store over the platform's HTTP protocol
// (docs/design.md section 9).

namespace crocuslatch {

struct HttpStoreOptions {
  // "http://<IP address>:<port>"
  std::string base_url;
  // Timeout of one call, after which its result is kUnknown.
  Millis timeout{1000};
};

// Logs when the store becomes unavailable and when it recovers. `client` must
// outlive every copy of the store, which may only be used on the client's
// thread.
Store MakeHttpStore(const HttpStoreOptions& options,
                    const EventLoop& loop,
                    HttpClient* client);

}  // namespace crocuslatch

#endif  // SRC_HTTP_STORE_H_
