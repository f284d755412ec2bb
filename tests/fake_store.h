#ifndef TESTS_FAKE_STORE_H_
#define TESTS_FAKE_STORE_H_

#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "src/store.h"
#include "tests/fake_loop.h"

// Defines an in-memory store that fails in the ways of the real one, chosen
// by a seed.

namespace crocuslatch {

// Chances from 0 to 1, each drawn once for every call.
struct StoreFaults {
  // The call does nothing and has no answer.
  double lost_call = 0;
  // The call takes effect and its answer is lost.
  double lost_answer = 0;
  // A write without an answer that takes effect after up to `max_delay`.
  double delayed_write = 0;
  // A conflict is reported for a write that does not take effect.
  double false_conflict = 0;
  Millis max_delay{2000};
  Millis latency{2};
  Millis call_timeout{300};
};

class FakeStore {
 public:
  struct Value {
    std::uint64_t version = 0;
    std::string data;
  };

  FakeStore(FakeLoop& loop, std::uint64_t seed) : loop_(loop), random_(seed) {}

  // Hooks stay valid while this object lives. A store with hooks whose
  // `is_cut` returns true behaves as if the store were down.
  Store Hooks(const std::function<bool()>& is_cut = [] { return false; }) {
    return {
        .get =
            [this, is_cut](const std::string& key, StoreCallback callback) {
              Read(
                  is_cut(), [this, key] { return Get(key); },
                  std::move(callback));
            },
        .put =
            [this, is_cut](const std::string& key, const std::string& value,
                           std::uint64_t expected, StoreCallback callback) {
              Write(
                  is_cut(),
                  [this, key, value, expected] {
                    return Put(key, value, expected);
                  },
                  std::move(callback));
            },
        .remove =
            [this, is_cut](const std::string& key, std::uint64_t expected,
                           StoreCallback callback) {
              Write(
                  is_cut(),
                  [this, key, expected] { return Remove(key, expected); },
                  std::move(callback));
            },
        .list =
            [this](const std::string& prefix,
                   const StoreListCallback& callback) {
              loop_.Hooks().after(faults.latency, [this, prefix, callback] {
                callback(StoreStatus::kOk, List(prefix));
              });
            },
    };
  }

  StoreResult Get(const std::string& key) const {
    const auto it = values.find(key);
    if (it == values.end()) {
      return {StoreStatus::kNotFound, 0, {}};
    }
    return {StoreStatus::kOk, it->second.version, it->second.data};
  }

  StoreResult Put(const std::string& key,
                  const std::string& value,
                  std::uint64_t expected) {
    const std::uint64_t present = Get(key).version;
    if (present != expected) {
      return {StoreStatus::kVersionConflict, present, {}};
    }
    values[key] = {++last_version_, value};
    writes += 1;
    if (on_write) {
      on_write(key, value);
    }
    return {StoreStatus::kOk, last_version_, {}};
  }

  StoreResult Remove(const std::string& key, std::uint64_t expected) {
    const std::uint64_t present = Get(key).version;
    if (present != expected) {
      return {StoreStatus::kVersionConflict, present, {}};
    }
    values.erase(key);
    return {StoreStatus::kOk, 0, {}};
  }

  std::vector<StoreKeyVersion> List(const std::string& prefix) const {
    std::vector<StoreKeyVersion> entries;
    for (const auto& [key, value] : values) {
      if (key.starts_with(prefix)) {
        entries.push_back({key, value.version});
      }
    }
    return entries;
  }

  StoreFaults faults;
  // Nothing is read or written, and calls have no answer.
  bool is_down = false;
  // Sees every stored version.
  std::function<void(const std::string& key, const std::string& value)>
      on_write;
  std::map<std::string, Value> values;
  int writes = 0;
  int calls = 0;

 private:
  using Call = std::function<StoreResult()>;

  bool Chance(double part) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < part;
  }

  void After(Millis delay, Task task) {
    loop_.Hooks().after(delay, std::move(task));
  }

  void Lose(StoreCallback callback) {
    After(faults.call_timeout, [callback = std::move(callback)] {
      callback({StoreStatus::kUnknown, 0, {}});
    });
  }

  void Answer(const Call& call, StoreCallback callback) {
    After(faults.latency / 2, [this, call, callback = std::move(callback)] {
      After(faults.latency / 2,
            [result = call(), callback] { callback(result); });
    });
  }

  void Read(bool is_cut, const Call& call, StoreCallback callback) {
    calls += 1;
    if (is_cut || is_down || Chance(faults.lost_call + faults.lost_answer)) {
      Lose(std::move(callback));
    } else {
      Answer(call, std::move(callback));
    }
  }

  void Write(bool is_cut, const Call& call, StoreCallback callback) {
    calls += 1;
    if (is_cut || is_down || Chance(faults.lost_call)) {
      Lose(std::move(callback));
    } else if (Chance(faults.false_conflict)) {
      Answer(
          [] {
            return StoreResult{StoreStatus::kVersionConflict, 0, {}};
          },
          std::move(callback));
    } else if (Chance(faults.lost_answer)) {
      Answer(call, [](const StoreResult&) {});
      Lose(std::move(callback));
    } else if (Chance(faults.delayed_write)) {
      const auto max = static_cast<std::uint64_t>(faults.max_delay.count());
      After(Millis(static_cast<std::int64_t>(random_() % (max + 1))),
            [call] { call(); });
      Lose(std::move(callback));
    } else {
      Answer(call, std::move(callback));
    }
  }

  FakeLoop& loop_;
  std::mt19937_64 random_;
  std::uint64_t last_version_ = 0;
};

}  // namespace crocuslatch

#endif  // TESTS_FAKE_STORE_H_
