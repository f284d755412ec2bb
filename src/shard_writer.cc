#include "src/shard_writer.h"

#include <fmt/format.h>

#include <QDateTime>
#include <QRandomGenerator>
#include <algorithm>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "src/error.h"
#include "src/log.h"
#include "src/shard_codec.h"

namespace crocuslatch {
namespace {

// Maximum number of concurrent segment reads of a shard.
constexpr std::size_t kMaxSegmentReads = 16;

// Time after which a claim that the cache decides is answered without the
// store. The store answers within milliseconds, and a peer waits 400 ms for the
// reply.
constexpr Millis kCachedReplyDelay{100};

// Maximum age at which a cached state counts as current at the start of a
// write: two round trips to the store.
constexpr Millis kMaxFreshAge{20};

// Time after a failed store call during which such claims are answered at once.
// Bounded, so that a shard without other commands asks the store again.
constexpr Millis kRecentFailureTime{2000};

// One call of the writer. Its commands are applied together.
struct PendingCall {
  std::vector<ShardCommand> commands;
  Millis deadline{0};
  // Latest time at which its write starts.
  Millis write_by{0};
  // Time from which the call may be answered from the cache without the store.
  Millis cached_reply_at = Millis::max();
  // Empty once answered.
  LedgerCallback callback;
};

using PendingCalls = std::vector<std::shared_ptr<PendingCall>>;

struct LoadedSegment {
  ShardSegment entries;
  // Version of the stored value, to remove it.
  std::uint64_t version = 0;
  // Time of the newest entry of each kind; a low value if there is none.
  std::int64_t newest_bill_ms = 0;
  std::int64_t newest_claim_ms = 0;
  std::int64_t newest_binding_ms = std::numeric_limits<std::int64_t>::min();
};

// True for a record that binds an order's key to a budget.
bool IsBinding(const ClaimRecord& record) {
  return record.budget == kOrderKeyBudget;
}

using SegmentCache =
    std::map<std::string, std::shared_ptr<const LoadedSegment>>;

struct Shard {
  std::uint32_t number = 0;
  bool loaded = false;
  ShardState state;
  std::uint64_t version = 0;
  SegmentCache segments;
  // Calls that are not yet answered.
  PendingCalls queue;
  // A load or a write is in progress or waits for a retry.
  bool busy = false;
  Millis backoff{0};
  // Earliest wake-up scheduled for deferred calls; max() if there is none.
  Millis wake_at = Millis::max();
  Millis last_used_at{0};
  // Last time at which the cached state was read from the store or written to
  // it, and time of the last write that lost to another host's write.
  Millis refreshed_at{0};
  std::optional<Millis> last_conflict_at;
  // Time of the last store call with an unknown result, unless a later call was
  // answered.
  std::optional<Millis> last_failure_at;
};

struct NewSegment {
  std::string key;
  std::string value;
  ShardSegment entries;
  // Set once written.
  std::uint64_t version = 0;
};

// One attempt to apply a batch of calls and write the result to the store.
struct Attempt {
  PendingCalls batch;
  std::vector<std::vector<ShardReply>> replies;
  ShardState next;
  std::uint64_t base_version = 0;
  std::uint64_t nonce = 0;
  std::vector<NewSegment> new_segments;
  bool changed = false;
};

// True for exchanges for which no request waits on this router or another one.
bool IsDeferrable(const ShardCommand& command) {
  const auto* exchange = std::get_if<ExchangeCommand>(&command);
  return exchange && exchange->least == 0 && exchange->returned == 0;
}

std::shared_ptr<const LoadedSegment> MakeLoadedSegment(ShardSegment entries,
                                                       std::uint64_t version) {
  auto segment = std::make_shared<LoadedSegment>();
  for (const auto& it : entries.bills) {
    segment->newest_bill_ms =
        std::max(segment->newest_bill_ms, it.second.billed_ms);
  }
  for (const auto& it : entries.claims) {
    auto& newest = IsBinding(it.second) ? segment->newest_binding_ms
                                        : segment->newest_claim_ms;
    newest = std::max(newest, it.second.changed_ms);
  }
  segment->entries = std::move(entries);
  segment->version = version;
  return segment;
}

// Entries copied from segments into the state while commands with their keys
// are applied.
struct RestoredEntries {
  std::vector<RequestKey> bills;
  std::map<RequestKey, const ClaimRecord*> claims;
};

// Searches the newest segment first: a record may have moved to a segment more
// than once.
template <typename Map>
const typename Map::mapped_type* FindInSegments(const Shard& shard,
                                                Map ShardSegment::*entries,
                                                const RequestKey& key) {
  for (auto it = shard.state.segments.rbegin();
       it != shard.state.segments.rend(); ++it) {
    const auto& map = shard.segments.at(*it)->entries.*entries;
    const auto found = map.find(key);
    if (found != map.end()) {
      return &found->second;
    }
  }
  return nullptr;
}

void RestoreBill(const Shard& shard,
                 ShardState& state,
                 RestoredEntries& restored,
                 const RequestKey& key) {
  if (state.bills.contains(key)) {
    return;
  }
  if (const auto* it = FindInSegments(shard, &ShardSegment::bills, key)) {
    state.bills.emplace(key, *it);
    restored.bills.push_back(key);
  }
}

void RestoreClaim(const Shard& shard,
                  ShardState& state,
                  RestoredEntries& restored,
                  const RequestKey& key) {
  if (state.claims.contains(key)) {
    return;
  }
  if (const auto* it = FindInSegments(shard, &ShardSegment::claims, key)) {
    state.claims.emplace(key, *it);
    restored.claims.emplace(key, it);
  }
}

void RestoreEntries(const Shard& shard,
                    ShardState& state,
                    RestoredEntries& restored,
                    const ShardCommand& command) {
  std::visit(
      [&](const auto& it) {
        if constexpr (requires { it.bills; }) {
          for (const auto& bill : it.bills) {
            RestoreBill(shard, state, restored, bill.key);
          }
        } else if constexpr (requires { it.key; }) {
          RestoreClaim(shard, state, restored, it.key);
        }
      },
      command);
}

// Newest durable record of the key in the cache; nullptr if there is none or a
// segment is not loaded.
const ClaimRecord* FindDurableClaim(const Shard& shard, const RequestKey& key) {
  const auto it = shard.state.claims.find(key);
  if (it != shard.state.claims.end()) {
    return &it->second;
  }
  const bool has_all_segments = std::ranges::all_of(
      shard.state.segments,
      [&](const auto& name) { return shard.segments.contains(name); });
  return has_all_segments ? FindInSegments(shard, &ShardSegment::claims, key)
                          : nullptr;
}

// Replies to the commands of a call that the cached state decides.
struct CachedReplies {
  std::vector<ShardReply> replies;
  // No later state can give a different reply.
  bool is_final = true;
};

bool AddCachedReply(const Shard& shard,
                    const SetLimitCommand& command,
                    CachedReplies& cached) {
  const auto it = shard.state.budgets.find(command.budget);
  if (it == shard.state.budgets.end() || it->second.limit < command.limit) {
    return false;
  }
  cached.replies.push_back({.available = Available(it->second)});
  return true;
}

// An abandoned record does not decide. Neither does the current claim of the
// same attempt, which must not be reported as a claim of another attempt.
bool AddCachedReply(const Shard& shard,
                    const ClaimCommand& command,
                    CachedReplies& cached) {
  const auto* record = FindDurableClaim(shard, command.key);
  if (!record || record->state == ClaimState::kAbandoned) {
    return false;
  }
  if (record->digest != command.digest) {
    cached.replies.push_back({.status = ReplyStatus::kKeyReused});
    return true;
  }
  if (record->state == ClaimState::kClaimed &&
      record->attempt == command.attempt) {
    return false;
  }
  cached.is_final = cached.is_final && record->state == ClaimState::kFinished;
  cached.replies.push_back({.status = ReplyStatus::kExists, .claim = *record});
  return true;
}

// Decides a FinishCommand that follows a claim in the same call which lost to a
// finished record.
bool AddCachedReply(const Shard& shard,
                    const FinishCommand& command,
                    CachedReplies& cached) {
  const auto* record = FindDurableClaim(shard, command.key);
  if (!record || record->state != ClaimState::kFinished) {
    return false;
  }
  const bool is_own = record->attempt == command.attempt;
  cached.replies.push_back(
      {.status = is_own ? ReplyStatus::kOk : ReplyStatus::kNotHeld});
  return true;
}

bool IsClaim(const ShardCommand& command) {
  return std::holds_alternative<ClaimCommand>(command);
}

// Replies to a call with a claim if durable records decide all its commands;
// nullopt for all other calls.
std::optional<CachedReplies> FindCachedReplies(
    const Shard& shard,
    const std::vector<ShardCommand>& commands) {
  CachedReplies cached;
  const auto add = [&](const auto& it) {
    if constexpr (requires { AddCachedReply(shard, it, cached); }) {
      return AddCachedReply(shard, it, cached);
    } else {
      return false;
    }
  };
  if (std::ranges::none_of(commands, IsClaim) ||
      !std::ranges::all_of(
          commands, [&](const auto& it) { return std::visit(add, it); })) {
    return std::nullopt;
  }
  return cached;
}

// Removes restored entries that the commands did not change from the state.
void RemoveUnchangedEntries(ShardState& state,
                            const RestoredEntries& restored) {
  for (const auto& it : restored.bills) {
    state.bills.erase(it);
  }
  for (const auto& [key, record] : restored.claims) {
    if (state.claims.at(key) == *record) {
      state.claims.erase(key);
    }
  }
}

// Drops entries past their retention time, which deduplication and replies to
// repeated commands no longer need.
void DropOldEntries(const ShardWriterOptions& options,
                    const SegmentCache& segments,
                    std::int64_t now_ms,
                    ShardState& state) {
  const std::int64_t bill_end = now_ms - options.bill_retention.count();
  const std::int64_t claim_end = now_ms - options.claim_retention.count();
  // A binding dates from the first use of its key. It must outlive the claims
  // of all attempts that begin within the retention time.
  const std::int64_t binding_end = now_ms - 2 * options.claim_retention.count();
  std::erase_if(state.bills,
                [&](const auto& it) { return it.second.billed_ms < bill_end; });
  std::erase_if(state.claims, [&](const auto& it) {
    return it.second.state != ClaimState::kClaimed &&
           it.second.changed_ms <
               (IsBinding(it.second) ? binding_end : claim_end);
  });
  std::erase_if(state.segments, [&](const auto& it) {
    const auto& segment = *segments.at(it);
    return segment.newest_bill_ms < bill_end &&
           segment.newest_claim_ms < claim_end &&
           segment.newest_binding_ms < binding_end;
  });
  for (auto& [name, budget] : state.budgets) {
    std::erase_if(budget.grants, [&](const auto& it) {
      return it.second.outstanding == 0 && it.second.changed_ms < bill_end;
    });
  }
}

void AddSegment(Attempt& attempt, std::uint32_t shard, ShardSegment entries) {
  NewSegment segment;
  segment.key = fmt::format("{}/{:016x}-{}", ShardKey(shard), attempt.nonce,
                            attempt.new_segments.size());
  entries.shard = shard;
  segment.value = EncodeShardSegment(entries);
  segment.entries = std::move(entries);
  attempt.next.segments.push_back(segment.key);
  attempt.new_segments.push_back(std::move(segment));
}

void SealBills(const ShardWriterOptions& options,
               std::uint32_t shard,
               Attempt& attempt) {
  if (attempt.next.bills.size() <= options.max_recent_entries) {
    return;
  }
  ShardSegment entries;
  entries.bills = std::exchange(attempt.next.bills, {});
  AddSegment(attempt, shard, std::move(entries));
}

void SealClaims(const ShardWriterOptions& options,
                std::uint32_t shard,
                Attempt& attempt) {
  std::vector<std::pair<std::int64_t, RequestKey>> finished;
  std::size_t bytes = 0;
  for (const auto& [key, record] : attempt.next.claims) {
    if (record.state != ClaimState::kClaimed) {
      finished.emplace_back(record.changed_ms, key);
      bytes += record.body.size();
    }
  }
  if (finished.size() <= options.max_recent_entries &&
      bytes <= options.max_recent_bytes) {
    return;
  }
  std::ranges::sort(finished);
  ShardSegment entries;
  std::size_t segment_bytes = 0;
  for (const auto& it : finished) {
    auto node = attempt.next.claims.extract(it.second);
    const std::size_t size = node.mapped().body.size();
    if (segment_bytes > 0 && segment_bytes + size > options.max_recent_bytes) {
      AddSegment(attempt, shard, std::exchange(entries, {}));
      segment_bytes = 0;
    }
    segment_bytes += size;
    entries.claims.insert(std::move(node));
  }
  AddSegment(attempt, shard, std::move(entries));
}

std::optional<ShardState> DecodeOwnState(std::uint32_t shard,
                                         const std::string& value) {
  try {
    ShardState state = DecodeShardState(value);
    if (state.shard == shard) {
      return state;
    }
    Log(LogEvent::kShardUnreadable, "{} contains the state of shard {}",
        ShardKey(shard), state.shard);
  } catch (const UserError& e) {
    Log(LogEvent::kShardUnreadable, "{}: {}; {}", ShardKey(shard), e.what(),
        e.remedy());
  }
  return std::nullopt;
}

// State in a result of the store, empty for a shard that was never written;
// nullopt if the result has none.
std::optional<ShardState> DecodeResult(std::uint32_t shard,
                                       const StoreResult& result) {
  if (result.status == StoreStatus::kOk) {
    return DecodeOwnState(shard, result.value);
  }
  if (result.status == StoreStatus::kNotFound) {
    ShardState state;
    state.shard = shard;
    return state;
  }
  return std::nullopt;
}

class Writer : public std::enable_shared_from_this<Writer> {
 public:
  Writer(ShardWriterOptions options, Store store, EventLoop loop)
      : options_(std::move(options)),
        store_(std::move(store)),
        loop_(std::move(loop)) {}

  void Submit(std::uint32_t number,
              std::vector<ShardCommand> commands,
              Millis timeout,
              LedgerCallback callback) {
    DropUnusedShards();
    const auto shard = ShardFor(number);
    const auto cached = FindCachedReplies(*shard, commands);
    if (cached && (cached->is_final || HasFailedRecently(*shard))) {
      loop_.post([callback = std::move(callback), replies = cached->replies] {
        callback(LedgerStatus::kDurable, replies);
      });
      return;
    }
    const bool has_claim = std::ranges::any_of(commands, IsClaim);
    auto pending = std::make_shared<PendingCall>();
    const bool is_deferrable = std::ranges::all_of(commands, IsDeferrable);
    pending->commands = std::move(commands);
    pending->deadline = loop_.now() + timeout;
    // A call with a short timeout is deferred less, so that its write can end.
    const Millis wait = std::min(options_.max_batch_delay, timeout / 2);
    pending->write_by = loop_.now() + (is_deferrable ? wait : Millis{0});
    pending->callback = std::move(callback);
    if (has_claim) {
      ScheduleCachedReply(shard, pending,
                          std::min(kCachedReplyDelay, timeout / 4));
    }
    shard->queue.push_back(pending);
    loop_.after(timeout, [self = weak_from_this(), shard] {
      if (const auto it = self.lock()) {
        it->ExpireCalls(*shard);
      }
    });
    StartIfDue(shard);
  }

 private:
  using ShardPtr = std::shared_ptr<Shard>;
  using AttemptPtr = std::shared_ptr<Attempt>;

  ShardPtr ShardFor(std::uint32_t number) {
    auto& shard = shards_[number];
    if (!shard) {
      shard = std::make_shared<Shard>();
      shard->number = number;
      shard->backoff = options_.retry_min;
    }
    shard->last_used_at = loop_.now();
    return shard;
  }

  void DropUnusedShards() {
    std::erase_if(shards_, [&](const auto& it) {
      const Shard& shard = *it.second;
      return !shard.busy && shard.queue.empty() &&
             shard.last_used_at + options_.cache_idle_time < loop_.now();
    });
  }

  bool HasFailedRecently(const Shard& shard) const {
    return shard.last_failure_at &&
           loop_.now() - *shard.last_failure_at < kRecentFailureTime;
  }

  // Called with the status of every store call on the shard's values.
  void NoteStoreStatus(Shard& shard, StoreStatus status) {
    if (status != StoreStatus::kUnknown) {
      shard.last_failure_at.reset();
      return;
    }
    shard.last_failure_at = loop_.now();
    AnswerFromCache(shard, Millis::max());
  }

  void ScheduleCachedReply(const ShardPtr& shard,
                           const std::shared_ptr<PendingCall>& pending,
                           Millis delay) {
    pending->cached_reply_at = loop_.now() + delay;
    loop_.after(delay, [self = weak_from_this(), shard,
                        cached_reply_at = pending->cached_reply_at] {
      if (const auto it = self.lock()) {
        it->AnswerFromCache(*shard, cached_reply_at);
      }
    });
  }

  // Answers and removes the queued calls that the cache decides and whose
  // `cached_reply_at` is at most the given time. A write in progress that
  // contains them only marks their attempts as abandoned.
  static void AnswerFromCache(Shard& shard, Millis cached_reply_at) {
    std::vector<std::pair<LedgerCallback, std::vector<ShardReply>>> answers;
    std::erase_if(shard.queue, [&](const auto& it) {
      if (it->cached_reply_at > cached_reply_at) {
        return false;
      }
      auto cached = FindCachedReplies(shard, it->commands);
      if (cached) {
        answers.emplace_back(std::exchange(it->callback, nullptr),
                             std::move(cached->replies));
      }
      return cached.has_value();
    });
    for (const auto& [callback, replies] : answers) {
      callback(LedgerStatus::kDurable, replies);
    }
  }

  // Answers and removes the queued calls whose deadline has passed.
  void ExpireCalls(Shard& shard) {
    const auto now = loop_.now();
    std::vector<LedgerCallback> callbacks;
    std::erase_if(shard.queue, [&](const auto& it) {
      if (it->deadline > now) {
        return false;
      }
      callbacks.push_back(std::exchange(it->callback, nullptr));
      return true;
    });
    for (const auto& it : callbacks) {
      it(LedgerStatus::kUnknown, {});
    }
  }

  // Starts a write if one is due and none is in progress.
  void StartIfDue(const ShardPtr& shard) {
    if (shard->busy || shard->queue.empty()) {
      return;
    }
    const auto due =
        (*std::ranges::min_element(shard->queue, {}, [](const auto& it) {
          return it->write_by;
        }))->write_by;
    if (due <= loop_.now()) {
      shard->busy = true;
      RunNextStep(shard);
      return;
    }
    if (due < shard->wake_at) {
      shard->wake_at = due;
      loop_.after(due - loop_.now(), [self = shared_from_this(), shard] {
        shard->wake_at = Millis::max();
        self->StartIfDue(shard);
      });
    }
  }

  // Takes the next step towards a write. `busy` must be set.
  void RunNextStep(const ShardPtr& shard) {
    ExpireCalls(*shard);
    if (shard->queue.empty()) {
      shard->busy = false;
    } else if (!shard->loaded) {
      Load(shard);
    } else if (HasMissingSegments(*shard)) {
      LoadSegments(shard);
    } else if (NeedsRefresh(*shard)) {
      Refresh(shard);
    } else {
      TryWrite(shard);
    }
  }

  bool NeedsRefresh(const Shard& shard) const {
    const Millis now = loop_.now();
    return store_.peek && options_.refresh_age.count() > 0 &&
           shard.last_conflict_at &&
           now - *shard.last_conflict_at < options_.contention_window &&
           now - shard.refreshed_at > options_.refresh_age;
  }

  // This read may return an older state than the cached one. The write's
  // version check decides.
  void Refresh(const ShardPtr& shard) {
    store_.peek(ShardKey(shard->number),
                [self = shared_from_this(), shard](const StoreResult& result) {
                  self->NoteStoreStatus(*shard, result.status);
                  auto state = DecodeResult(shard->number, result);
                  if (!state) {
                    // The state stays as old as it is, and the write's version
                    // check decides.
                    self->WriteUnlessExpired(shard);
                    return;
                  }
                  shard->refreshed_at = self->loop_.now();
                  if (result.version > shard->version) {
                    self->Adopt(*shard, std::move(*state), result.version);
                  }
                  self->RunNextStep(shard);
                });
  }

  void WriteUnlessExpired(const ShardPtr& shard) {
    ExpireCalls(*shard);
    if (!StopIfQueueEmpty(*shard)) {
      TryWrite(shard);
    }
  }

  void RetryLater(const ShardPtr& shard) {
    RunAfterBackoff(shard, [self = shared_from_this(), shard] {
      self->RunNextStep(shard);
    });
  }

  // Runs the task after a delay that doubles each time, with jitter so that
  // conflicting writers do not collide again.
  void RunAfterBackoff(const ShardPtr& shard, Task task) {
    const auto half = shard->backoff.count() / 2;
    const Millis jitter(static_cast<std::int64_t>(
        options_.random() % static_cast<std::uint64_t>(half + 1)));
    const Millis delay = shard->backoff - Millis(half) + jitter;
    shard->backoff = std::min(shard->backoff * 2, options_.retry_max);
    loop_.after(delay, std::move(task));
  }

  void Load(const ShardPtr& shard) {
    store_.get(ShardKey(shard->number),
               [self = shared_from_this(), shard](const StoreResult& result) {
                 self->NoteStoreStatus(*shard, result.status);
                 if (auto state = DecodeResult(shard->number, result)) {
                   self->Adopt(*shard, std::move(*state), result.version);
                   self->RunNextStep(shard);
                 } else {
                   self->RetryLater(shard);
                 }
               });
  }

  void Adopt(Shard& shard, ShardState state, std::uint64_t version) const {
    shard.loaded = true;
    shard.refreshed_at = loop_.now();
    shard.state = std::move(state);
    shard.version = version;
    const auto& listed = shard.state.segments;
    std::erase_if(shard.segments, [&](const auto& it) {
      return std::ranges::find(listed, it.first) == listed.end();
    });
  }

  static bool HasMissingSegments(const Shard& shard) {
    return std::ranges::any_of(shard.state.segments, [&](const auto& it) {
      return !shard.segments.contains(it);
    });
  }

  void LoadSegments(const ShardPtr& shard) {
    std::vector<std::string> keys;
    for (const auto& it : shard->state.segments) {
      if (!shard->segments.contains(it) && keys.size() < kMaxSegmentReads) {
        keys.push_back(it);
      }
    }
    struct Reads {
      std::size_t left = 0;
      bool failed = false;
    };
    const auto reads = std::make_shared<Reads>();
    reads->left = keys.size();
    for (const auto& it : keys) {
      store_.get(it, [self = shared_from_this(), shard, reads,
                      key = it](const StoreResult& result) {
        self->NoteStoreStatus(*shard, result.status);
        reads->failed |= !AddLoadedSegment(*shard, key, result);
        reads->left -= 1;
        if (reads->left > 0) {
          return;
        }
        if (reads->failed) {
          self->RetryLater(shard);
        } else {
          self->RunNextStep(shard);
        }
      });
    }
  }

  static bool AddLoadedSegment(Shard& shard,
                               const std::string& key,
                               const StoreResult& result) {
    if (result.status == StoreStatus::kNotFound) {
      // Either another writer dropped the segment with a newer shard value, or
      // the segment is lost. If it is lost, nothing is written, because its
      // bills could be billed again.
      Log(LogEvent::kShardUnreadable, "{} is missing", key);
      shard.loaded = false;
    }
    if (result.status != StoreStatus::kOk) {
      return false;
    }
    try {
      shard.segments[key] =
          MakeLoadedSegment(DecodeShardSegment(result.value), result.version);
      return true;
    } catch (const UserError& e) {
      Log(LogEvent::kShardUnreadable, "{}: {}", key, e.what());
      return false;
    }
  }

  // Applies all queued commands to a copy of the state and writes it.
  void TryWrite(const ShardPtr& shard) {
    const auto attempt = MakeAttempt(*shard);
    if (attempt->changed) {
      WriteSegments(shard, attempt, 0);
    } else {
      ConfirmCachedState(shard, attempt);
    }
  }

  AttemptPtr MakeAttempt(const Shard& shard) {
    const std::int64_t now_ms = options_.wall_ms();
    auto attempt = std::make_shared<Attempt>();
    attempt->batch = shard.queue;
    attempt->next = shard.state;
    attempt->base_version = shard.version;
    attempt->nonce = options_.random();
    RestoredEntries restored;
    for (const auto& it : attempt->batch) {
      auto& replies = attempt->replies.emplace_back();
      for (const auto& command : it->commands) {
        RestoreEntries(shard, attempt->next, restored, command);
        replies.push_back(Apply(attempt->next, command, now_ms));
      }
    }
    RemoveUnchangedEntries(attempt->next, restored);
    attempt->changed = attempt->next != shard.state;
    if (attempt->changed) {
      DropOldEntries(options_, shard.segments, now_ms, attempt->next);
      SealBills(options_, shard.number, *attempt);
      SealClaims(options_, shard.number, *attempt);
      attempt->next.write_nonce = attempt->nonce;
    }
    return attempt;
  }

  // Commands that change nothing need no write, but the cached state that
  // decided them must still be the stored one.
  void ConfirmCachedState(const ShardPtr& shard, const AttemptPtr& attempt) {
    store_.get(ShardKey(shard->number), [self = shared_from_this(), shard,
                                         attempt](const StoreResult& result) {
      self->NoteStoreStatus(*shard, result.status);
      auto state = DecodeResult(shard->number, result);
      if (!state) {
        shard->loaded = false;
        self->RetryLater(shard);
      } else if (result.version == attempt->base_version) {
        self->Finish(shard, attempt);
      } else {
        self->Adopt(*shard, std::move(*state), result.version);
        self->RunNextStep(shard);
      }
    });
  }

  // Segments are written before the value that lists them. If the result of a
  // segment write is not a success, the attempt is abandoned, and no value
  // refers to the segment.
  void WriteSegments(const ShardPtr& shard,
                     const AttemptPtr& attempt,
                     std::size_t index) {
    if (index == attempt->new_segments.size()) {
      WriteValue(shard, attempt);
      return;
    }
    const auto& segment = attempt->new_segments[index];
    store_.put(segment.key, segment.value, 0,
               [self = shared_from_this(), shard, attempt,
                index](const StoreResult& result) {
                 self->NoteStoreStatus(*shard, result.status);
                 if (result.status != StoreStatus::kOk) {
                   self->RetryLater(shard);
                   return;
                 }
                 auto& written = attempt->new_segments[index];
                 written.version = result.version;
                 Log(LogEvent::kShardSegmentSealed, "{}", written.key);
                 self->WriteSegments(shard, attempt, index + 1);
               });
  }

  void WriteValue(const ShardPtr& shard, const AttemptPtr& attempt) {
    store_.put(
        ShardKey(shard->number), EncodeShardState(attempt->next),
        attempt->base_version,
        [self = shared_from_this(), shard, attempt](const StoreResult& result) {
          self->NoteStoreStatus(*shard, result.status);
          if (result.status == StoreStatus::kOk) {
            self->Commit(shard, attempt, result.version);
            return;
          }
          if (result.status == StoreStatus::kVersionConflict) {
            Log(LogEvent::kShardConflict, "{}", ShardKey(shard->number));
            shard->last_conflict_at = self->loop_.now();
            if (!result.value.empty()) {
              self->OnConflictValue(shard, attempt, result);
              return;
            }
          } else {
            Log(LogEvent::kStoreWriteUncertain, "{}", ShardKey(shard->number));
          }
          // A conflict is read back as well: a transport that sent the write
          // twice reports the result of the second copy.
          self->ReadBackLater(shard, attempt);
        });
  }

  void ReadBackLater(const ShardPtr& shard, const AttemptPtr& attempt) {
    RunAfterBackoff(shard, [self = shared_from_this(), shard, attempt] {
      self->ReadBack(shard, attempt);
    });
  }

  // Handles a conflict for which the store returned its current value. If the
  // lost attempt began with a fresh state, several hosts write at the same
  // moment, for example after an outage, and the next attempt waits for a
  // random backoff.
  void OnConflictValue(const ShardPtr& shard,
                       const AttemptPtr& attempt,
                       const StoreResult& result) {
    if (StopIfQueueEmpty(*shard)) {
      return;
    }
    const StoreResult current{.status = StoreStatus::kOk,
                              .version = result.version,
                              .value = result.value};
    if (loop_.now() - shard->refreshed_at > kMaxFreshAge) {
      OnReadBack(shard, attempt, current);
      return;
    }
    RunAfterBackoff(shard,
                    [self = shared_from_this(), shard, attempt, current] {
                      if (!self->StopIfQueueEmpty(*shard)) {
                        self->OnReadBack(shard, attempt, current);
                      }
                    });
  }

  // Returns true, and makes the shard idle, if no call is queued any more.
  bool StopIfQueueEmpty(Shard& shard) {
    ExpireCalls(shard);
    if (!shard.queue.empty()) {
      return false;
    }
    shard.loaded = false;
    shard.busy = false;
    return true;
  }

  void ReadBack(const ShardPtr& shard, const AttemptPtr& attempt) {
    if (StopIfQueueEmpty(*shard)) {
      return;
    }
    store_.get(ShardKey(shard->number), [self = shared_from_this(), shard,
                                         attempt](const StoreResult& result) {
      self->NoteStoreStatus(*shard, result.status);
      self->OnReadBack(shard, attempt, result);
    });
  }

  void OnReadBack(const ShardPtr& shard,
                  const AttemptPtr& attempt,
                  const StoreResult& result) {
    auto state = DecodeResult(shard->number, result);
    if (!state) {
      ReadBackLater(shard, attempt);
    } else if (result.version != 0 && state->write_nonce == attempt->nonce) {
      Commit(shard, attempt, result.version);
    } else {
      Adopt(*shard, std::move(*state), result.version);
      RemoveOrphanedSegments(*shard, *attempt);
      RunNextStep(shard);
    }
  }

  // Removes the segments of an attempt that lost. Keeps them while the base
  // version is still the stored one, since the attempt's write may take effect
  // later.
  void RemoveOrphanedSegments(const Shard& shard, const Attempt& attempt) {
    if (shard.version == attempt.base_version) {
      return;
    }
    const auto& listed = shard.state.segments;
    for (const auto& it : attempt.new_segments) {
      if (std::ranges::find(listed, it.key) == listed.end()) {
        store_.remove(it.key, it.version, [](const StoreResult&) {});
      }
    }
  }

  void Commit(const ShardPtr& shard,
              const AttemptPtr& attempt,
              std::uint64_t version) {
    for (auto& it : attempt->new_segments) {
      shard->segments[it.key] =
          MakeLoadedSegment(std::move(it.entries), it.version);
    }
    RemoveDroppedSegments(*shard, attempt->next);
    Adopt(*shard, std::move(attempt->next), version);
    Finish(shard, attempt);
  }

  // Removes segments past their retention time from the store. A failed removal
  // leaves an unreferenced value behind.
  void RemoveDroppedSegments(const Shard& shard, const ShardState& next) {
    for (const auto& it : shard.state.segments) {
      if (std::ranges::find(next.segments, it) == next.segments.end()) {
        store_.remove(it, shard.segments.at(it)->version,
                      [](const StoreResult&) {});
      }
    }
  }

  // Answers the batch and continues with calls queued meanwhile.
  void Finish(const ShardPtr& shard, const AttemptPtr& attempt) {
    shard->backoff = options_.retry_min;
    shard->busy = false;
    std::erase_if(shard->queue, [&](const auto& it) {
      return std::ranges::find(attempt->batch, it) != attempt->batch.end();
    });
    for (std::size_t i = 0; i < attempt->batch.size(); ++i) {
      const auto callback = std::exchange(attempt->batch[i]->callback, nullptr);
      if (callback) {
        callback(LedgerStatus::kDurable, attempt->replies[i]);
      }
    }
    StartIfDue(shard);
  }

  ShardWriterOptions options_;
  Store store_;
  EventLoop loop_;
  std::map<std::uint32_t, ShardPtr> shards_;
};

}  // namespace

ShardWriterOptions MakeShardWriterOptions() {
  ShardWriterOptions options;
  options.wall_ms = [] { return QDateTime::currentMSecsSinceEpoch(); };
  options.random = [] { return QRandomGenerator::system()->generate64(); };
  return options;
}

std::string ShardKey(std::uint32_t shard) {
  return fmt::format("ledger/{}", shard);
}

ApplyToShard MakeShardWriter(ShardWriterOptions options,
                             Store store,
                             EventLoop loop) {
  const auto writer = std::make_shared<Writer>(
      std::move(options), std::move(store), std::move(loop));
  return [writer](std::uint32_t shard, std::vector<ShardCommand> commands,
                  Millis timeout, LedgerCallback callback) {
    writer->Submit(shard, std::move(commands), timeout, std::move(callback));
  };
}

void ReadShard(const Store& store,
               std::uint32_t shard,
               std::function<void(StoreStatus, const ShardState&)> callback) {
  store.get(ShardKey(shard),
            [shard, callback = std::move(callback)](const StoreResult& result) {
              const auto state = DecodeResult(shard, result);
              callback(state ? StoreStatus::kOk : StoreStatus::kUnknown,
                       state.value_or(ShardState{}));
            });
}

}  // namespace crocuslatch
