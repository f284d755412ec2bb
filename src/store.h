#ifndef SRC_STORE_H_
#define SRC_STORE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "src/types.h"

// Defines the interface to the platform's key-value store.

namespace crocuslatch {

enum class StoreStatus {
  kOk,
  kNotFound,
  kVersionConflict,
  // The revision of a watch has been compacted.
  kCompacted,
  // No response, or an error response. A write may have taken effect and may
  // still take effect later.
  kUnknown,
};

struct StoreResult {
  StoreStatus status = StoreStatus::kUnknown;
  // Version of the stored value; 0 if absent. On a conflict, the current
  // version.
  std::uint64_t version = 0;
  std::string value;
  // Store revision that a get reflects at least; 0 if unknown.
  std::uint64_t revision = 0;
  // Description of the error, for logs.
  std::string error;
};

// A listed key.
struct StoreKeyVersion {
  std::string key;
  std::uint64_t version = 0;
  auto operator<=>(const StoreKeyVersion&) const = default;
};

// One change of a key, or its current state.
struct StoreItem {
  std::string key;
  // 0 if the key was removed.
  std::uint64_t version = 0;
  std::string value;
  auto operator<=>(const StoreItem&) const = default;
};

// One write of a transaction.
struct StoreWrite {
  std::string key;
  std::string value;
  // Required version of the key; 0 means absent.
  std::uint64_t expected = 0;
  auto operator<=>(const StoreWrite&) const = default;
};

struct StoreRangeResult {
  StoreStatus status = StoreStatus::kUnknown;
  std::vector<StoreItem> items;
  // Store revision that the items reflect at least.
  std::uint64_t revision = 0;
  // Store revision that the items reflect at most, since pages are read one
  // after another; 0 if unknown.
  std::uint64_t max_revision = 0;
  // Description of the error, for logs.
  std::string error;
  // Time by which the store was read before the call was made, if the result is
  // shared with earlier calls; negative if it was read only later.
  Millis staleness{0};
};

using StoreCallback = std::function<void(const StoreResult&)>;
using StoreRangeCallback = std::function<void(const StoreRangeResult&)>;
using StoreListCallback =
    std::function<void(StoreStatus, const std::vector<StoreKeyVersion>&)>;

// Functions of the store. Each call invokes its callback exactly once on the
// caller's event loop, never from within the call.
struct Store {
  std::function<void(const std::string& key, StoreCallback)> get;
  // Writes if the current version equals `expected`; 0 means absent.
  std::function<void(const std::string& key,
                     const std::string& value,
                     std::uint64_t expected,
                     StoreCallback)>
      put;
  std::function<
      void(const std::string& key, std::uint64_t expected, StoreCallback)>
      remove;
  std::function<void(const std::string& prefix, StoreListCallback)> list;

  // Writes all of the keys or none. After kOk `revision` is the version of each
  // key; after kVersionConflict `items` holds their current state. Empty if the
  // store does not support it.
  std::function<void(const std::vector<StoreWrite>& writes, StoreRangeCallback)>
      put_all;

  // A cheap read of one key that may be seconds old. Empty if the store does
  // not support it.
  std::function<void(const std::string& key, StoreCallback)> peek;

  // All items under the prefix with their values. Empty if the store does not
  // support it.
  std::function<void(const std::string& prefix, StoreRangeCallback)> read_all;
  // Reports changes under the prefix after the revision as soon as there are
  // any, or no items after `wait`. Empty if the store does not support it.
  std::function<void(const std::string& prefix,
                     std::uint64_t after,
                     Millis wait,
                     StoreRangeCallback)>
      watch;
};

}  // namespace crocuslatch

#endif  // SRC_STORE_H_
