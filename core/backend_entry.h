#ifndef CORE_BACKEND_ENTRY_H_
#define CORE_BACKEND_ENTRY_H_

#include <optional>
#include <string>

#include "src/types.h"

// Defines what a backend server says of itself where routers discover it.

namespace crocuslatch {

struct BackendEntry {
  // Names one start of a server, or of one that starts again with its name.
  std::string id;
  std::string service;
  // "<IP number>:<port>".
  std::string address;
  std::string failure_domain;
  int slots = 1;
  bool is_draining = false;
  // The server is slow for this long after its start.
  Millis cold_for{0};
  // Start of the server, milliseconds since 1970, if it says so. Another
  // value under the same id is another server that knows nothing of before.
  std::optional<std::int64_t> born_ms;
  bool operator==(const BackendEntry&) const = default;
};

}  // namespace crocuslatch

#endif  // CORE_BACKEND_ENTRY_H_
