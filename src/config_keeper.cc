#include "src/config_keeper.h"

#include <fmt/format.h>

#include <algorithm>
#include <mutex>
#include <set>

#include "src/log.h"
#include "src/sha256.h"

namespace crocuslatch {
namespace {

constexpr char kCurrentKey[] = "config/current";
constexpr char kHeadKey[] = "config/head";
// Limit of the platform store for one value.
constexpr std::size_t kMaxStoreValueBytes = 1'000'000;
constexpr Millis kRetryBackoff{200};
// A router that dies between the writes of config/current and config/head
// leaves the head behind. The key's version is therefore compared at every
// second reading of the head: 4 s at the default period, within the 7 s of
// R8, for half a call more.
constexpr int kListEvery = 2;
// A peer that does not answer in this time is asked again.
constexpr Millis kPeerFetchTimeout{2000};

std::string HistoryKey(std::uint64_t version) {
  return fmt::format("config/history/{}", version);
}

}  // namespace

class ConfigKeeper::State : public std::enable_shared_from_this<State> {
 public:
  State(const ConfigKeeperOptions& options, ConfigKeeperHooks hooks)
      : options_(options), hooks_(std::move(hooks)) {}

  const ConfigKeeperOptions& options() const { return options_; }
  const ConfigKeeperHooks& hooks() const { return hooks_; }

  DocumentPointer Current() const {
    const std::lock_guard lock(mutex_);
    return current_;
  }

  std::string EncodedCurrent() const {
    const std::lock_guard lock(mutex_);
    return encoded_;
  }

  std::uint64_t VersionInForce() const {
    const auto current = Current();
    return current ? current->version : 0;
  }

  // Wraps a callback so that it does nothing once the keeper is gone.
  template <typename... Args>
  std::function<void(Args...)> Guarded(void (State::*callback)(Args...)) {
    return [weak = weak_from_this(), callback](Args... args) {
      if (const auto self = weak.lock()) {
        (self.get()->*callback)(args...);
      }
    };
  }

  void Start() { Poll(); }

  void OnPeerVersion(const std::string& peer,
                     std::uint64_t version,
                     const std::string& sha256) {
    const auto now = hooks_.loop.now();
    const bool fetching =
        peer_fetch_open_ && now - peer_fetch_started_ < kPeerFetchTimeout;
    if (version <= VersionInForce() || fetching || IsRejected(sha256)) {
      return;
    }
    peer_fetch_open_ = true;
    peer_fetch_started_ = now;
    hooks_.fetch_from_peer(
        peer, [weak = weak_from_this(), peer](const std::string& encoded) {
          if (const auto self = weak.lock()) {
            self->OnPeerDocument(peer, encoded);
          }
        });
  }

  // Puts the stored version in force if it is newer and valid. Returns it
  // decoded, or nothing if the value is damaged.
  std::optional<StoredDocument> Consider(const std::string& encoded) {
    auto stored = DecodeStoredDocument(encoded);
    if (!stored) {
      ReportOnce("damaged", "a stored document is damaged or its hash differs");
      return std::nullopt;
    }
    if (stored->version <= VersionInForce() || IsRejected(stored->sha256)) {
      return stored;
    }
    try {
      PutInForce(*stored, encoded, ParseDocument(stored->toml));
    } catch (const DocumentError& error) {
      ReportOnce(stored->sha256,
                 fmt::format("version {} is not put in force: {}",
                             stored->version, error.what()));
    }
    return stored;
  }

  // Puts a version in force whose document is parsed already.
  void PutInForce(const StoredDocument& stored,
                  const std::string& encoded,
                  Document document) {
    const auto next = std::make_shared<const DocumentInForce>(DocumentInForce{
        stored.version, stored.sha256, stored.toml, std::move(document)});
    {
      const std::lock_guard lock(mutex_);
      if (current_ && next->version <= current_->version) {
        return;
      }
      current_ = next;
      encoded_ = encoded;
    }
    Log(LogEvent::kDocumentInForce, "version {} sha256 {}", next->version,
        next->sha256);
    if (hooks_.on_in_force) {
      hooks_.on_in_force(next);
    }
  }

  // Writes the head if it is behind `head`.
  void RaiseHead(const StoredHead& head) {
    hooks_.store.get(
        kHeadKey, [weak = weak_from_this(), head](const StoreResult& result) {
          if (const auto self = weak.lock()) {
            self->WriteHead(head, result);
          }
        });
  }

 private:
  static StoredHead HeadOf(const StoreResult& result) {
    const auto head = result.status == StoreStatus::kOk
                          ? DecodeHead(result.value)
                          : std::nullopt;
    return head.value_or(StoredHead{});
  }

  // Compare-and-swap on the head that was read keeps a late write from
  // lowering the head. A conflict means that somebody else raised it.
  void WriteHead(const StoredHead& head, const StoreResult& present) {
    if (present.status == StoreStatus::kUnknown ||
        HeadOf(present).store_version >= head.store_version) {
      return;
    }
    hooks_.store.put(kHeadKey, EncodeHead(head), present.version,
                     [](const StoreResult&) {});
  }

  bool IsRejected(const std::string& sha256) const {
    return reported_.contains(sha256);
  }

  void ReportOnce(const std::string& key, const std::string& text) {
    if (reported_.insert(key).second) {
      Log(LogEvent::kDocumentRejected, "{}", text);
    }
  }

  void Poll() {
    hooks_.loop.after(options_.head_poll_period, Guarded(&State::Poll));
    const bool list = polls_ % kListEvery == 0;
    ++polls_;
    hooks_.store.get(
        kHeadKey, [weak = weak_from_this(), list](const StoreResult& result) {
          if (const auto self = weak.lock()) {
            self->OnHead(result, list);
          }
        });
  }

  void OnHead(const StoreResult& result, bool list) {
    if (result.status == StoreStatus::kUnknown) {
      SetStoreAvailable(false);
      return;
    }
    SetStoreAvailable(true);
    const auto head = HeadOf(result);
    if (head.version > VersionInForce() && !IsRejected(head.sha256)) {
      FetchFromStore();
    }
    if (list) {
      CompareWithCurrent(head);
    }
  }

  void SetStoreAvailable(bool available) {
    if (available == store_available_) {
      return;
    }
    store_available_ = available;
    Log(available ? LogEvent::kStoreRecovered : LogEvent::kStoreUnavailable,
        "reading {}", kHeadKey);
  }

  // Reads the version of the key, not its value, which may be 400 KB.
  void CompareWithCurrent(const StoredHead& head) {
    hooks_.store.list(
        kCurrentKey,
        [weak = weak_from_this(), head](
            StoreStatus status, const std::vector<StoreKeyVersion>& entries) {
          const auto self = weak.lock();
          if (self && status == StoreStatus::kOk) {
            self->OnList(head, entries);
          }
        });
  }

  void OnList(const StoredHead& head,
              const std::vector<StoreKeyVersion>& entries) {
    const auto it = std::ranges::find(entries, std::string(kCurrentKey),
                                      &StoreKeyVersion::key);
    if (it != entries.end() && it->version > head.store_version) {
      FetchFromStore();
    }
  }

  void FetchFromStore() {
    if (store_fetch_open_) {
      return;
    }
    store_fetch_open_ = true;
    hooks_.store.get(kCurrentKey, Guarded(&State::OnStoreDocument));
  }

  void OnStoreDocument(const StoreResult& result) {
    store_fetch_open_ = false;
    if (result.status != StoreStatus::kOk) {
      return;
    }
    if (const auto stored = Consider(result.value)) {
      RaiseHead({stored->version, stored->sha256, result.version});
    }
  }

  void OnPeerDocument(const std::string& peer, const std::string& encoded) {
    peer_fetch_open_ = false;
    if (encoded.empty()) {
      return;
    }
    const auto before = VersionInForce();
    Consider(encoded);
    if (VersionInForce() > before) {
      Log(LogEvent::kDocumentFromPeer, "version {} from {}", VersionInForce(),
          peer);
    }
  }

  const ConfigKeeperOptions options_;
  const ConfigKeeperHooks hooks_;

  mutable std::mutex mutex_;
  DocumentPointer current_;
  std::string encoded_;

  // The rest belongs to the loop's thread.
  int polls_ = 0;
  bool store_available_ = true;
  bool store_fetch_open_ = false;
  bool peer_fetch_open_ = false;
  Millis peer_fetch_started_{0};
  // Hashes of versions that failed their checks here; they are logged once
  // and not fetched again.
  std::set<std::string> reported_;
};

// One submission from end to end:
// 1. read config/current: its version must be the operator's base version;
// 2. keep that version under config/history, so that each version that was
//    ever replaced can be found there;
// 3. replace config/current by compare-and-swap on the value that was read.
// After an uncertain write the run starts again at 1. It finds its nonce in
// config/current, or in the history if another version came after.
class ConfigKeeper::ApplyOperation
    : public std::enable_shared_from_this<ApplyOperation> {
 public:
  ApplyOperation(std::weak_ptr<State> state,
                 ApplyRequest request,
                 ApplyCallback callback)
      : state_(std::move(state)),
        request_(std::move(request)),
        callback_(std::move(callback)) {}

  void Start() {
    const auto state = state_.lock();
    deadline_ = state->hooks().loop.now() + state->options().apply_timeout;
    if (request_.nonce.empty()) {
      request_.nonce = MakeNonce();
    }
    if (!Parse()) {
      state->hooks().loop.post([self = shared_from_this()] {
        self->Finish({.status = ApplyStatus::kRejected,
                      .problems = std::move(self->problems_)});
      });
      return;
    }
    stored_ = {request_.base_version + 1, Sha256Hex(request_.toml),
               request_.nonce, request_.toml};
    encoded_ = EncodeStoredDocument(stored_);
    ReadCurrent();
  }

 private:
  bool Parse() {
    try {
      document_ = ParseDocument(request_.toml);
      return true;
    } catch (const DocumentError& error) {
      problems_ = error.problems();
    }
    return false;
  }

  void Finish(const ApplyResult& result) {
    if (!state_.expired()) {
      callback_(result);
    }
  }

  void Reject(std::vector<DocumentProblem> problems) {
    Finish({.status = ApplyStatus::kRejected, .problems = std::move(problems)});
  }

  // Calls `callback` with the result unless the keeper is gone.
  StoreCallback Then(void (ApplyOperation::*callback)(State&,
                                                      const StoreResult&)) {
    return [self = shared_from_this(), callback](const StoreResult& it) {
      if (const auto state = self->state_.lock()) {
        (self.get()->*callback)(*state, it);
      }
    };
  }

  void ReadCurrent() {
    if (const auto state = state_.lock()) {
      state->hooks().store.get(kCurrentKey, Then(&ApplyOperation::OnCurrent));
    }
  }

  void OnCurrent(State& state, const StoreResult& result) {
    if (result.status == StoreStatus::kUnknown) {
      Retry(state);
      return;
    }
    std::uint64_t version = 0;
    if (result.status == StoreStatus::kOk) {
      const auto present = state.Consider(result.value);
      if (!present) {
        Retry(state);
        return;
      }
      if (IsSubmission(*present)) {
        Succeed(state, result.version);
        return;
      }
      version = present->version;
    }
    Compare(state, version, result);
  }

  bool IsSubmission(const StoredDocument& it) const {
    return it.version == stored_.version && it.nonce == stored_.nonce &&
           it.sha256 == stored_.sha256;
  }

  // Decides what the version in the store means for the submission.
  void Compare(State& state,
               std::uint64_t version,
               const StoreResult& present) {
    if (version > stored_.version) {
      present_version_ = version;
      state.hooks().store.get(HistoryKey(stored_.version),
                              Then(&ApplyOperation::OnHistory));
      return;
    }
    if (version != request_.base_version) {
      Conflict(version);
      return;
    }
    // A newer version came from a peer while this one was read.
    if (state.VersionInForce() > request_.base_version) {
      Retry(state);
      return;
    }
    auto problems = CheckWrite(state);
    if (!problems.empty()) {
      Reject(std::move(problems));
      return;
    }
    present_ = present;
    KeepHistory(state);
  }

  void Conflict(std::uint64_t version) {
    Log(LogEvent::kDocumentConflict, "base version {}, present version {}",
        request_.base_version, version);
    Finish({.status = ApplyStatus::kConflict, .version = version});
  }

  // The history has every version that was replaced, so it shows who wrote
  // the version that the submission asked for.
  void OnHistory(State& state, const StoreResult& result) {
    if (result.status == StoreStatus::kUnknown) {
      Retry(state);
      return;
    }
    const auto past = DecodeStoredDocument(result.value);
    if (!past) {
      Finish({.status = ApplyStatus::kUnknown});
    } else if (IsSubmission(*past)) {
      Finish({.status = ApplyStatus::kApplied,
              .version = stored_.version,
              .sha256 = stored_.sha256});
    } else {
      Conflict(present_version_);
    }
  }

  // Problems of writing the document over the base version, which is in
  // force here unless this router cannot parse it.
  std::vector<DocumentProblem> CheckWrite(State& state) const {
    if (encoded_.size() > kMaxStoreValueBytes) {
      return {{0,
               fmt::format("the compressed document has {} bytes, above {}",
                           encoded_.size(), kMaxStoreValueBytes),
               "remove entries that are not used"}};
    }
    if (request_.base_version == 0) {
      return {};
    }
    const auto base = state.Current();
    if (!base || base->version != request_.base_version) {
      return {{0, "the present version is not in force at this router",
               "submit the document at a router of the newest release"}};
    }
    return CheckReplacement(base->document, document_);
  }

  void KeepHistory(State& state) {
    if (request_.base_version == 0) {
      WriteCurrent(state);
      return;
    }
    state.hooks().store.put(HistoryKey(request_.base_version), present_.value,
                            0, Then(&ApplyOperation::OnHistoryKept));
  }

  // A conflict means that the version is there already.
  void OnHistoryKept(State& state, const StoreResult& result) {
    if (result.status == StoreStatus::kUnknown) {
      Retry(state);
    } else {
      WriteCurrent(state);
    }
  }

  void WriteCurrent(State& state) {
    state.hooks().store.put(kCurrentKey, encoded_, present_.version,
                            Then(&ApplyOperation::OnWritten));
  }

  void OnWritten(State& state, const StoreResult& result) {
    if (result.status == StoreStatus::kOk) {
      Succeed(state, result.version);
      return;
    }
    if (result.status == StoreStatus::kUnknown) {
      uncertain_ = true;
      Log(LogEvent::kStoreWriteUncertain, "{} version {}", kCurrentKey,
          stored_.version);
    }
    Retry(state);
  }

  void Succeed(State& state, std::uint64_t store_version) {
    state.PutInForce(stored_, encoded_, std::move(document_));
    Finish({.status = ApplyStatus::kApplied,
            .version = stored_.version,
            .sha256 = stored_.sha256});
    state.RaiseHead({stored_.version, stored_.sha256, store_version});
    // The next submission writes the history if this write is lost.
    state.hooks().store.put(HistoryKey(stored_.version), encoded_, 0,
                            [](const StoreResult&) {});
  }

  void Retry(State& state) {
    const auto& loop = state.hooks().loop;
    if (loop.now() + kRetryBackoff > deadline_) {
      Finish({.status = uncertain_ ? ApplyStatus::kUnknown
                                   : ApplyStatus::kUnavailable});
      return;
    }
    loop.after(kRetryBackoff,
               [self = shared_from_this()] { self->ReadCurrent(); });
  }

  std::weak_ptr<State> state_;
  ApplyRequest request_;
  ApplyCallback callback_;
  Millis deadline_{0};
  Document document_;
  std::vector<DocumentProblem> problems_;
  StoredDocument stored_;
  std::string encoded_;
  // What config/current contained when it was last read.
  StoreResult present_;
  std::uint64_t present_version_ = 0;
  // True after a write of config/current without an answer.
  bool uncertain_ = false;
};

// Reads one version: from the history, or from config/current while it has
// not been replaced.
class ConfigKeeper::ReadOperation
    : public std::enable_shared_from_this<ReadOperation> {
 public:
  ReadOperation(std::weak_ptr<State> state,
                std::uint64_t version,
                ReadVersionCallback callback)
      : state_(std::move(state)),
        version_(version),
        callback_(std::move(callback)) {}

  void Start() { Read(HistoryKey(version_), true); }

 private:
  void Read(const std::string& key, bool is_history) {
    const auto state = state_.lock();
    if (!state) {
      return;
    }
    state->hooks().store.get(key, [self = shared_from_this(),
                                   is_history](const StoreResult& result) {
      if (!self->state_.expired()) {
        self->OnValue(result, is_history);
      }
    });
  }

  void OnValue(const StoreResult& result, bool is_history) {
    if (result.status == StoreStatus::kUnknown) {
      callback_(ReadStatus::kUnavailable, {});
      return;
    }
    const auto stored = DecodeStoredDocument(result.value);
    if (stored && stored->version == version_) {
      callback_(ReadStatus::kOk, *stored);
    } else if (is_history) {
      Read(kCurrentKey, false);
    } else {
      callback_(ReadStatus::kNotFound, {});
    }
  }

  std::weak_ptr<State> state_;
  std::uint64_t version_;
  ReadVersionCallback callback_;
};

ConfigKeeper::ConfigKeeper(const ConfigKeeperOptions& options,
                           ConfigKeeperHooks hooks)
    : state_(std::make_shared<State>(options, std::move(hooks))) {}

ConfigKeeper::~ConfigKeeper() = default;

void ConfigKeeper::Start() {
  state_->Start();
}

DocumentPointer ConfigKeeper::Current() const {
  return state_->Current();
}

std::string ConfigKeeper::EncodedCurrent() const {
  return state_->EncodedCurrent();
}

void ConfigKeeper::OnPeerVersion(const std::string& peer,
                                 std::uint64_t version,
                                 const std::string& sha256) {
  state_->OnPeerVersion(peer, version, sha256);
}

void ConfigKeeper::Apply(ApplyRequest request, ApplyCallback callback) {
  std::make_shared<ApplyOperation>(state_, std::move(request),
                                   std::move(callback))
      ->Start();
}

void ConfigKeeper::ReadVersion(std::uint64_t version,
                               ReadVersionCallback callback) {
  std::make_shared<ReadOperation>(state_, version, std::move(callback))
      ->Start();
}

}  // namespace crocuslatch
