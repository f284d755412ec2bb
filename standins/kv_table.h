#ifndef STANDINS_KV_TABLE_H_
#define STANDINS_KV_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "src/types.h"

// Defines the contents of the stand-in store: versioned values and leases.

namespace crocuslatch::standins {

// Result of a conditional write.
struct KvWrite {
  bool applied = false;
  // Version after the call; 0 if the key is absent.
  std::uint64_t version = 0;
};

class KvTable {
 public:
  struct Entry {
    std::uint64_t version = 0;
    std::string value;
  };

  std::optional<Entry> Get(const std::string& key) const;
  // Put and Remove take effect only if the current version is `expected`; 0
  // means that the key is absent.
  KvWrite Put(const std::string& key,
              const std::string& value,
              std::uint64_t expected);
  KvWrite Remove(const std::string& key, std::uint64_t expected);
  // Returns the keys with this prefix and their versions, ordered by key.
  std::vector<std::pair<std::string, std::uint64_t>> List(
      const std::string& prefix) const;

 private:
  struct Slot {
    // Kept after a removal, so that a version number is never reused for
    // another value.
    std::uint64_t last_version = 0;
    std::optional<std::string> value;
  };
  std::uint64_t CurrentVersion(const std::string& key) const;

  std::map<std::string, Slot> slots_;
};

// Leases by id. A lease expires unless it is renewed within its TTL.
class LeaseTable {
 public:
  std::uint64_t Grant(Millis ttl, Millis now);
  // Renew and Remove return false if the lease is unknown or has expired.
  bool Renew(std::uint64_t id, Millis now);
  bool Remove(std::uint64_t id, Millis now);

 private:
  struct Lease {
    Millis ttl{0};
    Millis expiry{0};
  };
  std::uint64_t last_id_ = 0;
  std::map<std::uint64_t, Lease> leases_;
};

// Token bucket that allows bursts of up to one second's calls.
class RateLimiter {
 public:
  // 0 removes the limit.
  void Set(std::int64_t per_second);
  // Takes one call from the bucket; returns false if the bucket is empty.
  bool TryTake(Millis now);

 private:
  std::int64_t per_second_ = 0;
  double tokens_ = 0;
  Millis last_refill_{0};
};

}  // namespace crocuslatch::standins

#endif  // STANDINS_KV_TABLE_H_
