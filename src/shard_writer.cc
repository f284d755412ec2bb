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

// Segments read at the same time when a shard is loaded.
constexpr std::size_t kMaxSegmentReads = 16;

// Time after which a claim that the cache decides is answered without the
// store. The store answers in milliseconds, and a peer waits 400 ms for the
// answer.
constexpr Millis kStorePatience{100};

// Age up to which a cached state was current when a write began: two answers of
// the store.
constexpr Millis kFreshTime{20};

// Time after a failed store call in which such claims do not wait at all.
// Bounded, so that a shard without other commands asks the store again.
constexpr Millis kOutageMemory{2000};

// One call of the writer: commands that are applied together.
struct Pending {
  std::vector<ShardCommand> commands;
  Millis deadline{0};
  // Latest time at which its write starts.
  Millis write_by{0};
  // From then on the cache may answer without the store.
  Millis known_from = Millis::max();
  // Empty once answered.
  LedgerCallback callback;
};

using PendingList = std::vector<std::shared_ptr<Pending>>;

struct LoadedSegment {
  ShardSegment entries;
  // Version of the stored value, to remove it.
  std::uint64_t version = 0;
  // Newest entry of each kind; a low value if there is none.
  std::int64_t newest_bill_ms = 0;
  std::int64_t newest_claim_ms = 0;
  std::int64_t newest_binding_ms = std::numeric_limits<std::int64_t>::min();
};

// True for the record that binds an order's key to its budget.
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
  // Calls without an answer.
  PendingList queue;
  // A load or a write is in progress or waits for its next try.
  bool busy = false;
  Millis backoff{0};
  // Earliest wake-up set for calls that may wait; max() if none.
  Millis wake_at = Millis::max();
  Millis used_at{0};
  // When the cached state was the stored one, and when a write was last lost
  // to another host's.
  Millis fresh_at{0};
  std::optional<Millis> conflict_at;
  // Last store call without an answer.
  std::optional<Millis> failed_at;
};

struct NewSegment {
  std::string key;
  std::string value;
  ShardSegment entries;
  // Set once written.
  std::uint64_t version = 0;
};

// One try to bring a batch into the store.
struct Attempt {
  PendingList batch;
  std::vector<std::vector<ShardReply>> replies;
  ShardState next;
  std::uint64_t base_version = 0;
  std::uint64_t nonce = 0;
  std::vector<NewSegment> new_segments;
  bool changed = false;
};

// True for exchanges for which no request waits here or elsewhere.
bool MayWait(const ShardCommand& command) {
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

// Entries of segments that are put into the state while commands that name
// their keys are applied.
struct Recalled {
  std::vector<RequestKey> bills;
  std::map<RequestKey, const ClaimRecord*> claims;
};

// The newest segment wins: a record may move to a segment more than once.
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

void RecallBill(const Shard& shard,
                ShardState& state,
                Recalled& recalled,
                const RequestKey& key) {
  if (state.bills.contains(key)) {
    return;
  }
  if (const auto* it = FindInSegments(shard, &ShardSegment::bills, key)) {
    state.bills.emplace(key, *it);
    recalled.bills.push_back(key);
  }
}

void RecallClaim(const Shard& shard,
                 ShardState& state,
                 Recalled& recalled,
                 const RequestKey& key) {
  if (state.claims.contains(key)) {
    return;
  }
  if (const auto* it = FindInSegments(shard, &ShardSegment::claims, key)) {
    state.claims.emplace(key, *it);
    recalled.claims.emplace(key, it);
  }
}

void RecallEntries(const Shard& shard,
                   ShardState& state,
                   Recalled& recalled,
                   const ShardCommand& command) {
  std::visit(
      [&](const auto& it) {
        if constexpr (requires { it.bills; }) {
          for (const auto& bill : it.bills) {
            RecallBill(shard, state, recalled, bill.key);
          }
        } else if constexpr (requires { it.key; }) {
          RecallClaim(shard, state, recalled, it.key);
        }
      },
      command);
}

// The newest record of the key in the cached state, which was durable.
// nullptr if there is none or a segment is not loaded.
const ClaimRecord* FindDurableClaim(const Shard& shard, const RequestKey& key) {
  const auto it = shard.state.claims.find(key);
  if (it != shard.state.claims.end()) {
    return &it->second;
  }
  const bool is_whole = std::ranges::all_of(
      shard.state.segments,
      [&](const auto& name) { return shard.segments.contains(name); });
  return is_whole ? FindInSegments(shard, &ShardSegment::claims, key) : nullptr;
}

// Replies to a batch that the cached state decides.
struct KnownReplies {
  std::vector<ShardReply> replies;
  // No later state would reply otherwise.
  bool is_final = true;
};

bool AddKnownReply(const Shard& shard,
                   const SetLimitCommand& command,
                   KnownReplies& known) {
  const auto it = shard.state.budgets.find(command.budget);
  if (it == shard.state.budgets.end() || it->second.limit < command.limit) {
    return false;
  }
  known.replies.push_back({.available = Available(it->second)});
  return true;
}

// An abandoned record does not decide, nor does the present claim of the
// attempt that asks: that attempt must not be told of itself as of another.
bool AddKnownReply(const Shard& shard,
                   const ClaimCommand& command,
                   KnownReplies& known) {
  const auto* record = FindDurableClaim(shard, command.key);
  if (!record || record->state == ClaimState::kAbandoned) {
    return false;
  }
  if (record->digest != command.digest) {
    known.replies.push_back({.status = ReplyStatus::kKeyReused});
    return true;
  }
  if (record->state == ClaimState::kClaimed &&
      record->attempt == command.attempt) {
    return false;
  }
  known.is_final = known.is_final && record->state == ClaimState::kFinished;
  known.replies.push_back({.status = ReplyStatus::kExists, .claim = *record});
  return true;
}

// Follows a claim of the same batch that lost to a finished record.
bool AddKnownReply(const Shard& shard,
                   const FinishCommand& command,
                   KnownReplies& known) {
  const auto* record = FindDurableClaim(shard, command.key);
  if (!record || record->state != ClaimState::kFinished) {
    return false;
  }
  const bool is_own = record->attempt == command.attempt;
  known.replies.push_back(
      {.status = is_own ? ReplyStatus::kOk : ReplyStatus::kNotHeld});
  return true;
}

bool IsClaim(const ShardCommand& command) {
  return std::holds_alternative<ClaimCommand>(command);
}

// The replies to a batch with a claim if they rest only on durable records
// that cannot be taken back; nullopt for all other batches.
std::optional<KnownReplies> FindKnownReplies(
    const Shard& shard,
    const std::vector<ShardCommand>& commands) {
  KnownReplies known;
  const auto add = [&](const auto& it) {
    if constexpr (requires { AddKnownReply(shard, it, known); }) {
      return AddKnownReply(shard, it, known);
    } else {
      return false;
    }
  };
  if (std::ranges::none_of(commands, IsClaim) ||
      !std::ranges::all_of(
          commands, [&](const auto& it) { return std::visit(add, it); })) {
    return std::nullopt;
  }
  return known;
}

// Takes entries that the commands did not change out of the state again.
void PutBack(ShardState& state, const Recalled& recalled) {
  for (const auto& it : recalled.bills) {
    state.bills.erase(it);
  }
  for (const auto& [key, record] : recalled.claims) {
    if (state.claims.at(key) == *record) {
      state.claims.erase(key);
    }
  }
}

// Drops what deduplication and repeats need no longer.
void DropOldEntries(const ShardWriterOptions& options,
                    const SegmentCache& segments,
                    std::int64_t now_ms,
                    ShardState& state) {
  const std::int64_t bill_end = now_ms - options.bill_retention.count();
  const std::int64_t claim_end = now_ms - options.claim_retention.count();
  // A binding is as old as the first use of its key. It must outlive the
  // claims of all attempts that began within the retention time.
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
    Log(LogEvent::kShardUnreadable, "{} holds shard {}", ShardKey(shard),
        state.shard);
  } catch (const UserError& e) {
    Log(LogEvent::kShardUnreadable, "{}: {}; {}", ShardKey(shard), e.what(),
        e.remedy());
  }
  return std::nullopt;
}

// The state in an answer of the store; nullopt if the answer has none.
std::optional<ShardState> StateIn(std::uint32_t shard,
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
    const auto known = FindKnownReplies(*shard, commands);
    if (known && (known->is_final || FailedLately(*shard))) {
      loop_.post([callback = std::move(callback), replies = known->replies] {
        callback(LedgerStatus::kDurable, replies);
      });
      return;
    }
    const bool has_claim = std::ranges::any_of(commands, IsClaim);
    auto pending = std::make_shared<Pending>();
    const bool may_wait = std::ranges::all_of(commands, MayWait);
    pending->commands = std::move(commands);
    pending->deadline = loop_.now() + timeout;
    // A call with a short timeout waits less, so that the write can end.
    const Millis wait = std::min(options_.max_batch_delay, timeout / 2);
    pending->write_by = loop_.now() + (may_wait ? wait : Millis{0});
    pending->callback = std::move(callback);
    if (has_claim) {
      AnswerKnownAfter(shard, pending, std::min(kStorePatience, timeout / 4));
    }
    shard->queue.push_back(pending);
    loop_.after(timeout, [self = weak_from_this(), shard] {
      if (const auto it = self.lock()) {
        it->Expire(*shard);
      }
    });
    Start(shard);
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
    shard->used_at = loop_.now();
    return shard;
  }

  void DropUnusedShards() {
    std::erase_if(shards_, [&](const auto& it) {
      const Shard& shard = *it.second;
      return !shard.busy && shard.queue.empty() &&
             shard.used_at + options_.cache_idle_time < loop_.now();
    });
  }

  bool FailedLately(const Shard& shard) const {
    return shard.failed_at && loop_.now() - *shard.failed_at < kOutageMemory;
  }

  // Called with the status of every answer of the store.
  void Note(Shard& shard, StoreStatus status) {
    if (status != StoreStatus::kUnknown) {
      shard.failed_at.reset();
      return;
    }
    shard.failed_at = loop_.now();
    AnswerKnown(shard, Millis::max());
  }

  void AnswerKnownAfter(const ShardPtr& shard,
                        const std::shared_ptr<Pending>& pending,
                        Millis delay) {
    pending->known_from = loop_.now() + delay;
    loop_.after(delay, [self = weak_from_this(), shard,
                        known_from = pending->known_from] {
      if (const auto it = self.lock()) {
        it->AnswerKnown(*shard, known_from);
      }
    });
  }

  // Answers the calls that the cache decides and whose `known_from` is at
  // most `known_from`. They take no part in later writes; a write in progress
  // only marks their attempts as abandoned.
  static void AnswerKnown(Shard& shard, Millis known_from) {
    std::vector<std::pair<LedgerCallback, std::vector<ShardReply>>> answers;
    std::erase_if(shard.queue, [&](const auto& it) {
      if (it->known_from > known_from) {
        return false;
      }
      auto known = FindKnownReplies(shard, it->commands);
      if (known) {
        answers.emplace_back(std::exchange(it->callback, nullptr),
                             std::move(known->replies));
      }
      return known.has_value();
    });
    for (const auto& [callback, replies] : answers) {
      callback(LedgerStatus::kDurable, replies);
    }
  }

  // Answers the calls whose time is over. They take no part in later writes.
  void Expire(Shard& shard) {
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

  // Begins a write if one is due and none is in progress.
  void Start(const ShardPtr& shard) {
    if (shard->busy || shard->queue.empty()) {
      return;
    }
    const auto due =
        (*std::ranges::min_element(shard->queue, {}, [](const auto& it) {
          return it->write_by;
        }))->write_by;
    if (due <= loop_.now()) {
      shard->busy = true;
      Run(shard);
      return;
    }
    if (due < shard->wake_at) {
      shard->wake_at = due;
      loop_.after(due - loop_.now(), [self = shared_from_this(), shard] {
        shard->wake_at = Millis::max();
        self->Start(shard);
      });
    }
  }

  // Does the next step towards a write; `busy` is set.
  void Run(const ShardPtr& shard) {
    Expire(*shard);
    if (shard->queue.empty()) {
      shard->busy = false;
    } else if (!shard->loaded) {
      Load(shard);
    } else if (HasMissingSegments(*shard)) {
      LoadSegments(shard);
    } else if (NeedsRefresh(*shard)) {
      Refresh(shard);
    } else {
      Try(shard);
    }
  }

  bool NeedsRefresh(const Shard& shard) const {
    const Millis now = loop_.now();
    return store_.peek && options_.refresh_age.count() > 0 &&
           shard.conflict_at &&
           now - *shard.conflict_at < options_.contention_window &&
           now - shard.fresh_at > options_.refresh_age;
  }

  // What is read may be older than what is cached; the write itself decides.
  void Refresh(const ShardPtr& shard) {
    store_.peek(ShardKey(shard->number),
                [self = shared_from_this(), shard](const StoreResult& result) {
                  self->Note(*shard, result.status);
                  shard->fresh_at = self->loop_.now();
                  auto state = StateIn(shard->number, result);
                  if (state && result.version > shard->version) {
                    self->Adopt(*shard, std::move(*state), result.version);
                  }
                  self->Run(shard);
                });
  }

  void RunLater(const ShardPtr& shard) {
    After(shard, [self = shared_from_this(), shard] { self->Run(shard); });
  }

  // Runs the task after a delay that doubles, with jitter so that writers in
  // conflict do not meet again.
  void After(const ShardPtr& shard, Task task) {
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
                 self->Note(*shard, result.status);
                 if (auto state = StateIn(shard->number, result)) {
                   self->Adopt(*shard, std::move(*state), result.version);
                   self->Run(shard);
                 } else {
                   self->RunLater(shard);
                 }
               });
  }

  void Adopt(Shard& shard, ShardState state, std::uint64_t version) const {
    shard.loaded = true;
    shard.fresh_at = loop_.now();
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
        self->Note(*shard, result.status);
        reads->failed |= !AddLoadedSegment(*shard, key, result);
        reads->left -= 1;
        if (reads->left > 0) {
          return;
        }
        if (reads->failed) {
          self->RunLater(shard);
        } else {
          self->Run(shard);
        }
      });
    }
  }

  static bool AddLoadedSegment(Shard& shard,
                               const std::string& key,
                               const StoreResult& result) {
    if (result.status == StoreStatus::kNotFound) {
      // Another writer dropped the segment with a newer shard value, or it is
      // lost; then nothing is written, as bills could be repeated.
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

  // Applies all queued commands to a copy of the state and stores it.
  void Try(const ShardPtr& shard) {
    const auto attempt = MakeAttempt(*shard);
    if (attempt->changed) {
      WriteSegments(shard, attempt, 0);
    } else {
      Confirm(shard, attempt);
    }
  }

  AttemptPtr MakeAttempt(const Shard& shard) {
    const std::int64_t now_ms = options_.wall_ms();
    auto attempt = std::make_shared<Attempt>();
    attempt->batch = shard.queue;
    attempt->next = shard.state;
    attempt->base_version = shard.version;
    attempt->nonce = options_.random();
    Recalled recalled;
    for (const auto& it : attempt->batch) {
      auto& replies = attempt->replies.emplace_back();
      for (const auto& command : it->commands) {
        RecallEntries(shard, attempt->next, recalled, command);
        replies.push_back(Apply(attempt->next, command, now_ms));
      }
    }
    PutBack(attempt->next, recalled);
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
  // answers them must still be the stored one.
  void Confirm(const ShardPtr& shard, const AttemptPtr& attempt) {
    store_.get(ShardKey(shard->number), [self = shared_from_this(), shard,
                                         attempt](const StoreResult& result) {
      self->Note(*shard, result.status);
      auto state = StateIn(shard->number, result);
      if (!state) {
        shard->loaded = false;
        self->RunLater(shard);
      } else if (result.version == attempt->base_version) {
        self->Finish(shard, attempt);
      } else {
        self->Adopt(*shard, std::move(*state), result.version);
        self->Run(shard);
      }
    });
  }

  // Segments are stored before the value that lists them. An uncertain
  // segment is given up with its attempt: nothing refers to it.
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
                 self->Note(*shard, result.status);
                 if (result.status != StoreStatus::kOk) {
                   self->RunLater(shard);
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
          self->Note(*shard, result.status);
          if (result.status == StoreStatus::kOk) {
            self->Commit(shard, attempt, result.version);
            return;
          }
          if (result.status == StoreStatus::kVersionConflict) {
            Log(LogEvent::kShardConflict, "{}", ShardKey(shard->number));
            shard->conflict_at = self->loop_.now();
            if (!result.value.empty()) {
              self->OnConflictValue(shard, attempt, result);
              return;
            }
          } else {
            Log(LogEvent::kStoreWriteUncertain, "{}", ShardKey(shard->number));
          }
          // A conflict is read back as well: a transport that sent the write
          // twice reports the second copy.
          self->ReadBackLater(shard, attempt);
        });
  }

  void ReadBackLater(const ShardPtr& shard, const AttemptPtr& attempt) {
    After(shard, [self = shared_from_this(), shard, attempt] {
      self->ReadBack(shard, attempt);
    });
  }

  // The store has told the present value with the conflict. If the lost
  // attempt began with a fresh state, several hosts write at the same moment,
  // for example after an outage; the next try waits a random time.
  void OnConflictValue(const ShardPtr& shard,
                       const AttemptPtr& attempt,
                       const StoreResult& result) {
    if (StopIfUnused(*shard)) {
      return;
    }
    const StoreResult present{.status = StoreStatus::kOk,
                              .version = result.version,
                              .value = result.value};
    if (loop_.now() - shard->fresh_at > kFreshTime) {
      OnReadBack(shard, attempt, present);
      return;
    }
    After(shard, [self = shared_from_this(), shard, attempt, present] {
      if (!self->StopIfUnused(*shard)) {
        self->OnReadBack(shard, attempt, present);
      }
    });
  }

  // True if no command of the shard waits any more.
  bool StopIfUnused(Shard& shard) {
    Expire(shard);
    if (!shard.queue.empty()) {
      return false;
    }
    shard.loaded = false;
    shard.busy = false;
    return true;
  }

  void ReadBack(const ShardPtr& shard, const AttemptPtr& attempt) {
    if (StopIfUnused(*shard)) {
      return;
    }
    store_.get(ShardKey(shard->number), [self = shared_from_this(), shard,
                                         attempt](const StoreResult& result) {
      self->Note(*shard, result.status);
      self->OnReadBack(shard, attempt, result);
    });
  }

  void OnReadBack(const ShardPtr& shard,
                  const AttemptPtr& attempt,
                  const StoreResult& result) {
    auto state = StateIn(shard->number, result);
    if (!state) {
      ReadBackLater(shard, attempt);
    } else if (result.version != 0 && state->write_nonce == attempt->nonce) {
      Commit(shard, attempt, result.version);
    } else {
      Adopt(*shard, std::move(*state), result.version);
      RemoveGarbage(*shard, *attempt);
      Run(shard);
    }
  }

  // Removes segments of an attempt that lost. While the base version is still
  // the stored one, the attempt's write may take effect later.
  void RemoveGarbage(const Shard& shard, const Attempt& attempt) {
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

  // Removes segments past retention from the store. A failed removal leaves
  // an unreferenced value.
  void RemoveDroppedSegments(const Shard& shard, const ShardState& next) {
    for (const auto& it : shard.state.segments) {
      if (std::ranges::find(next.segments, it) == next.segments.end()) {
        store_.remove(it, shard.segments.at(it)->version,
                      [](const StoreResult&) {});
      }
    }
  }

  // Answers the batch and goes on with what queued meanwhile.
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
    Start(shard);
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
              const auto state = StateIn(shard, result);
              callback(state ? StoreStatus::kOk : StoreStatus::kUnknown,
                       state.value_or(ShardState{}));
            });
}

}  // namespace crocuslatch
