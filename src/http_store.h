#ifndef SRC_HTTP_STORE_H_
#define SRC_HTTP_STORE_H_

#include <string>

#include "io/http_client.h"
#include "src/event_loop.h"
#include "src/store.h"

// Defines the store port over the platform's HTTP protocol (docs/design.md,
// section 9).

namespace crocuslatch {

struct HttpStoreOptions {
  // "http://<IP number>:<port>"
  std::string base_url;
  // Longest time of one call. Afterwards its result is kUnknown.
  Millis timeout{1000};
};

// Logs the first call without a clear answer and the first clear answer after
// it. `client` must outlive every copy of the store; the calls belong to its
// thread.
Store MakeHttpStore(const HttpStoreOptions& options,
                    const EventLoop& loop,
                    HttpClient* client);

}  // namespace crocuslatch

#endif  // SRC_HTTP_STORE_H_
