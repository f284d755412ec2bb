#ifndef SRC_STORE_H_
#define SRC_STORE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

// Defines the port to the platform's key-value store.

namespace crocuslatch {

enum class StoreStatus {
  kOk,
  kNotFound,
  kVersionConflict,
  // No answer, or an answer that the call failed. A write may have taken
  // effect and may still take effect later.
  kUnknown,
};

struct StoreResult {
  StoreStatus status = StoreStatus::kUnknown;
  // Version of the stored value; 0 if absent. On a conflict, the present one.
  std::uint64_t version = 0;
  std::string value;
};

struct StoreEntry {
  std::string key;
  std::uint64_t version = 0;
  auto operator<=>(const StoreEntry&) const = default;
};

using StoreCallback = std::function<void(const StoreResult&)>;
using StoreListCallback =
    std::function<void(StoreStatus, const std::vector<StoreEntry>&)>;

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
};

}  // namespace crocuslatch

#endif  // SRC_STORE_H_
