#ifndef CORE_BACKEND_ENTRY_H_
#define CORE_BACKEND_ENTRY_H_

#include <cstdint>
#include <optional>
#include <string>

#include "src/types.h"

// Defines the entry under which a backend server registers for discovery by
// the routers.

namespace crocuslatch {

struct BackendEntry {
  // Identifies the server. A restarted server may register under the same id.
  std::string id;
  std::string service;
  // "<IP address>:<port>".
  std::string address;
  std::string failure_domain;
  int slots = 1;
  bool is_draining = false;
  // Remaining warm-up time, during which the server responds slowly.
  Millis warmup_time{0};
  // Start time of the server in milliseconds since 1970, if it is reported. A
  // different value under the same id means that the server has restarted and
  // lost its state.
  std::optional<std::int64_t> start_time_ms;
  // Version of the entry in the store; 0 if unknown.
  std::uint64_t store_version = 0;
  bool operator==(const BackendEntry&) const = default;
};

}  // namespace crocuslatch

#endif  // CORE_BACKEND_ENTRY_H_
