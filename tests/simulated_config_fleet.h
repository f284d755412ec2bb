#ifndef TESTS_SIMULATED_CONFIG_FLEET_H_
#define TESTS_SIMULATED_CONFIG_FLEET_H_

#include <fmt/format.h>

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/config_keeper.h"
#include "tests/fake_loop.h"
#include "tests/fixture_document.h"

// Defines a simulated fleet of configuration keepers that exchange heartbeats.
// It runs in virtual time over an in-memory store that loses requests and
// answers and applies writes late.

namespace crocuslatch {

// Unlike FakeStore, its store can also crash the writer of a value, or cut it
// off, at the moment of the write.
class SimulatedConfigFleet {
 public:
  SimulatedConfigFleet(int size, std::uint32_t seed)
      : random_(seed), nodes_(size) {
    for (int i = 0; i < size; ++i) {
      Restart(i);
      SendHeartbeats(i);
    }
  }

  // Replaces the keeper by a new incarnation with nothing in force.
  void Restart(int i) {
    auto& node = nodes_[i];
    node.last_version = 0;
    node.keeper = std::make_unique<ConfigKeeper>(
        ConfigKeeperOptions{},
        ConfigKeeperHooks{
            StoreOf(i), loop.Hooks(),
            [this, i](const std::string& peer, PeerDocumentCallback callback) {
              Fetch(i, std::stoi(peer), std::move(callback));
            },
            [this, i](const DocumentPointer& it) { OnInForce(i, *it); }});
    // Each keeper starts to poll the head at a different time.
    After(RandomMillis(0, 2000), [this, i, raw = node.keeper.get()] {
      if (nodes_[i].keeper.get() == raw) {
        raw->Start();
      }
    });
  }

  // Submits a document with the given prepaid amount at keeper `i`.
  void Apply(int i,
             std::uint64_t base,
             Tokens prepaid,
             const std::string& nonce) {
    if (!IsUp(i)) {
      return;
    }
    ++submissions[nonce];
    auto document = ParseDocument(SmallDocument());
    document.budgets[0].prepaid = prepaid;
    nodes_[i].keeper->Apply(
        {FormatDocument(document), base, nonce},
        [this, nonce](const ApplyResult& it) { OnResult(nonce, it); });
  }

  // Null while the router is down.
  DocumentPointer CurrentOf(int i) const {
    return IsUp(i) ? nodes_[i].keeper->Current() : nullptr;
  }

  std::uint64_t VersionOf(int i) const {
    const auto current = CurrentOf(i);
    return current ? current->version : 0;
  }

  Tokens PrepaidOf(int i) const {
    const auto current = CurrentOf(i);
    return current ? current->document.budgets[0].prepaid : 0;
  }

  ConfigKeeper* KeeperOf(int i) { return nodes_[i].keeper.get(); }
  bool IsUp(int i) const { return nodes_[i].keeper != nullptr; }

  std::uint64_t StoredVersion() const {
    return written.empty() ? 0 : written.rbegin()->first;
  }

  int size() const { return static_cast<int>(nodes_.size()); }

  void SetStoreLink(int i, bool up) { nodes_[i].store_link = up; }
  void SetPeerLink(int i, bool up) { nodes_[i].peer_link = up; }
  void SetFaultPercent(int percent) { fault_percent_ = percent; }
  // Destroys the keeper when its next write of config/current takes effect,
  // so that nothing after that write happens, and restarts it after `down`.
  void CrashAtWrite(int i, Millis down) { nodes_[i].crash_at_write = down; }
  // Cuts the keeper off the store when its next write of config/current takes
  // effect, before the answer.
  void CutAtWrite(int i) { nodes_[i].cut_at_write = true; }
  // Cancels both for writes that have not happened yet.
  void ClearWriteFaults() {
    for (auto& it : nodes_) {
      it.crash_at_write.reset();
      it.cut_at_write = false;
    }
  }

  const std::string* StoreValue(const std::string& key) const {
    const auto it = values_.find(key);
    return it == values_.end() ? nullptr : &it->second.second;
  }

  FakeLoop loop;
  // Nonce of each version that config/current ever contained.
  std::map<std::uint64_t, std::string> written;
  // Results by nonce.
  std::map<std::string, std::vector<ApplyResult>> results;
  // Number of submissions by nonce; some never get a result.
  std::map<std::string, int> submissions;
  // Violations of the invariants, as text.
  std::vector<std::string> violations;

 private:
  struct Node {
    std::unique_ptr<ConfigKeeper> keeper;
    bool store_link = true;
    bool peer_link = true;
    std::optional<Millis> crash_at_write;
    bool cut_at_write = false;
    std::uint64_t last_version = 0;
  };

  static constexpr Millis kStoreTimeout{1000};

  int RandomInt(int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(random_);
  }
  Millis RandomMillis(int least, int most) {
    return Millis(RandomInt(least, most));
  }
  bool DrawFault() { return RandomInt(0, 99) < fault_percent_; }

  void After(Millis delay, Task task) {
    loop.Hooks().after(delay, std::move(task));
  }

  void AddViolation(std::string text) { violations.push_back(std::move(text)); }

  void OnInForce(int i, const DocumentInForce& it) {
    auto& last = nodes_[i].last_version;
    if (it.version <= last) {
      AddViolation(fmt::format("keeper {} went from version {} to {}", i, last,
                               it.version));
    }
    last = it.version;
    const auto [known, added] = hashes_.emplace(it.version, it.sha256);
    if (!added && known->second != it.sha256) {
      AddViolation(fmt::format("version {} has two contents", it.version));
    }
  }

  void OnResult(const std::string& nonce, const ApplyResult& it) {
    results[nonce].push_back(it);
    const auto [other, added] = successes_.emplace(it.version, nonce);
    if (it.status != ApplyStatus::kApplied) {
      if (added) {
        successes_.erase(other);
      }
    } else if (!added && other->second != nonce) {
      AddViolation(fmt::format("version {} was applied twice", it.version));
    }
  }

  // Announces the version in force to the other keepers every second.
  void SendHeartbeats(int i) {
    After(Millis(1000), [this, i] { SendHeartbeats(i); });
    const auto current = CurrentOf(i);
    for (int j = 0; current && j < size(); ++j) {
      if (j != i && IsUp(j) && nodes_[i].peer_link && nodes_[j].peer_link &&
          !DrawFault()) {
        nodes_[j].keeper->OnPeerVersion(std::to_string(i), current->version,
                                        current->sha256);
      }
    }
  }

  // A fetch that fails is never answered.
  void Fetch(int i, int j, PeerDocumentCallback callback) {
    if (DrawFault() || !nodes_[i].peer_link || !nodes_[j].peer_link) {
      return;
    }
    After(RandomMillis(1, 30), [this, j, callback = std::move(callback)] {
      if (IsUp(j)) {
        callback(nodes_[j].keeper->EncodedCurrent());
      }
    });
  }

  // Runs `effect` now, late or never, and answers with its result. Answers with
  // kUnknown if the request, the effect or the answer is lost.
  void Call(int i,
            const std::function<StoreResult()>& effect,
            const StoreCallback& callback) {
    const bool lost = !nodes_[i].store_link || DrawFault();
    const auto fault_kind = lost ? RandomInt(0, 2) : -1;
    const auto unknown = [callback] { callback(StoreResult{}); };
    if (fault_kind < 0) {
      After(RandomMillis(1, 20), [this, i, effect, callback, unknown] {
        const auto result = effect();
        const auto answer = [callback, result] { callback(result); };
        if (nodes_[i].store_link) {
          After(RandomMillis(1, 20), answer);
        } else {
          After(kStoreTimeout, unknown);
        }
      });
      return;
    }
    After(kStoreTimeout, unknown);
    if (fault_kind > 0 && nodes_[i].store_link) {
      const auto delay =
          fault_kind == 1 ? RandomMillis(1, 20) : RandomMillis(1000, 4000);
      After(delay, [effect] { effect(); });
    }
  }

  StoreResult Get(const std::string& key) {
    const auto it = values_.find(key);
    if (it == values_.end()) {
      return {StoreStatus::kNotFound, 0, {}};
    }
    return {StoreStatus::kOk, it->second.first, it->second.second};
  }

  StoreResult Put(int i,
                  const std::string& key,
                  const std::string& value,
                  std::uint64_t expected) {
    const auto present = Get(key).version;
    if (present != expected) {
      return {StoreStatus::kVersionConflict, present, {}};
    }
    values_[key] = {++store_version_, value};
    if (key == "config/current") {
      OnWritten(i, value);
    }
    return {StoreStatus::kOk, store_version_, {}};
  }

  void OnWritten(int i, const std::string& value) {
    const auto stored = DecodeStoredDocument(value);
    if (!stored || stored->version != StoredVersion() + 1) {
      AddViolation("config/current does not contain the next version");
      return;
    }
    written[stored->version] = stored->nonce;
    if (std::exchange(nodes_[i].cut_at_write, false)) {
      nodes_[i].store_link = false;
    }
    if (const auto down = std::exchange(nodes_[i].crash_at_write, {})) {
      nodes_[i].keeper.reset();
      After(*down, [this, i] { Restart(i); });
    }
  }

  Store StoreOf(int i) {
    return {
        .get =
            [this, i](const std::string& key, const StoreCallback& callback) {
              Call(
                  i, [this, key] { return Get(key); }, callback);
            },
        .put =
            [this, i](const std::string& key, const std::string& value,
                      std::uint64_t expected, const StoreCallback& callback) {
              Call(
                  i,
                  [this, i, key, value, expected] {
                    return Put(i, key, value, expected);
                  },
                  callback);
            },
        .remove = {},
        .list =
            [this, i](const std::string& prefix,
                      const StoreListCallback& callback) {
              auto get = [this, prefix] { return Get(prefix); };
              Call(i, get, [prefix, callback](const StoreResult& it) {
                if (it.status == StoreStatus::kUnknown) {
                  callback(it.status, {});
                } else if (it.status == StoreStatus::kNotFound) {
                  callback(StoreStatus::kOk, {});
                } else {
                  callback(StoreStatus::kOk, {{prefix, it.version}});
                }
              });
            }};
  }

  std::mt19937 random_;
  std::vector<Node> nodes_;
  int fault_percent_ = 0;
  std::uint64_t store_version_ = 0;
  std::map<std::string, std::pair<std::uint64_t, std::string>> values_;
  std::map<std::uint64_t, std::string> hashes_;
  std::map<std::uint64_t, std::string> successes_;
};

}  // namespace crocuslatch

#endif  // TESTS_SIMULATED_CONFIG_FLEET_H_
