#ifndef SRC_STORE_H_
#define SRC_STORE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "src/types.h"

// Defines the port to the platform's key-value store.

namespace crocuslatch {

enum class StoreStatus {
  kOk,
  kNotFound,
  kVersionConflict,
  // A watch asked for history that is gone.
  kCompacted,
  // No answer, or an answer that the call failed. A write may have taken
  // effect and may still take effect later.
  kUnknown,
};

struct StoreResult {
  StoreStatus status = StoreStatus::kUnknown;
  // Version of the stored value; 0 if absent. On a conflict, the present one.
  std::uint64_t version = 0;
  std::string value;
  // Revision of the store that a get reflects at least; 0 if it does not say.
  std::uint64_t revision = 0;
  // What went wrong, for logs.
  std::string error;
};

struct StoreKeyVersion {
  std::string key;
  std::uint64_t version = 0;
  auto operator<=>(const StoreKeyVersion&) const = default;
};

// One change of a key, or its present state.
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
  // Version that the key must have; 0 means absent.
  std::uint64_t expected = 0;
  auto operator<=>(const StoreWrite&) const = default;
};

struct StoreRangeResult {
  StoreStatus status = StoreStatus::kUnknown;
  std::vector<StoreItem> items;
  // Revision of the store that the items reflect at least.
  std::uint64_t revision = 0;
  // What went wrong, for logs.
  std::string error;
};

using StoreCallback = std::function<void(const StoreResult&)>;
using StoreRangeCallback = std::function<void(const StoreRangeResult&)>;
using StoreListCallback =
    std::function<void(StoreStatus, const std::vector<StoreKeyVersion>&)>;

// Every call ends in exactly one callback on the caller's event loop, never
// from inside the call itself.
struct Store {
  std::function<void(const std::string& key, StoreCallback)> get;
  // Writes if the present version equals `expected`; 0 means absent.
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
  // key; after kVersionConflict `items` holds their present state. Empty if the
  // store has no such call.
  std::function<void(const std::vector<StoreWrite>& writes, StoreRangeCallback)>
      put_all;

  // A cheap read of one key that may be seconds old. Empty if the store has no
  // such call.
  std::function<void(const std::string& key, StoreCallback)> peek;

  // All items under the prefix with their values. Empty if the store has no
  // such call.
  std::function<void(const std::string& prefix, StoreRangeCallback)> read_all;
  // Changes under the prefix after the revision, as soon as there is one, or
  // none after `wait`. Empty if the store has no such call.
  std::function<void(const std::string& prefix,
                     std::uint64_t after,
                     Millis wait,
                     StoreRangeCallback)>
      watch;
};

}  // namespace crocuslatch

#endif  // SRC_STORE_H_
