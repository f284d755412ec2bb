#include "app/write_batching.h"

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

namespace crocuslatch {
namespace {

struct PendingWrite {
  StoreWrite write;
  StoreCallback callback;
};

using Batch = std::vector<PendingWrite>;

class WriteBatcher : public std::enable_shared_from_this<WriteBatcher> {
 public:
  WriteBatcher(WriteBatchingOptions options,
               std::function<void(const std::vector<StoreWrite>&,
                                  StoreRangeCallback)> put_all,
               EventLoop loop)
      : options_(std::move(options)),
        put_all_(std::move(put_all)),
        loop_(std::move(loop)) {}

  void Put(StoreWrite write, StoreCallback callback) {
    // A transaction may write a key only once.
    const bool has_key = std::ranges::any_of(
        batch_,
        [&](const PendingWrite& it) { return it.write.key == write.key; });
    if (has_key || batch_.size() >= options_.max_writes ||
        bytes_ + write.value.size() > options_.max_bytes) {
      Flush();
    }
    const bool is_urgent = !IsDeferrable(write.key);
    bytes_ += write.value.size();
    batch_.push_back({std::move(write), std::move(callback)});
    if (batch_.size() == 1 || (is_urgent && !is_urgent_)) {
      is_urgent_ = is_urgent;
      FlushAfter(is_urgent ? options_.window : options_.deferrable_window);
    }
  }

 private:
  bool IsDeferrable(const std::string& key) const {
    return !options_.deferrable_prefix.empty() &&
           key.starts_with(options_.deferrable_prefix);
  }

  void FlushAfter(Millis delay) {
    loop_.after(delay, [self = weak_from_this(), number = batch_number_] {
      const auto batcher = self.lock();
      if (batcher && batcher->batch_number_ == number) {
        batcher->Flush();
      }
    });
  }

  void Flush() {
    if (batch_.empty()) {
      return;
    }
    ++batch_number_;
    bytes_ = 0;
    is_urgent_ = false;
    Send(std::make_shared<Batch>(std::exchange(batch_, {})));
  }

  void Send(const std::shared_ptr<Batch>& batch) {
    std::vector<StoreWrite> writes;
    writes.reserve(batch->size());
    std::ranges::transform(*batch, std::back_inserter(writes),
                           &PendingWrite::write);
    put_all_(writes,
             [self = weak_from_this(), batch](const StoreRangeResult& it) {
               if (const auto batcher = self.lock()) {
                 batcher->OnTransactionDone(*batch, it);
               }
             });
  }

  void OnTransactionDone(Batch& batch, const StoreRangeResult& answer) {
    if (answer.status != StoreStatus::kVersionConflict) {
      for (const auto& it : batch) {
        it.callback({.status = answer.status,
                     .version = answer.revision,
                     .error = answer.error});
      }
      return;
    }
    const auto remaining = std::make_shared<Batch>();
    for (auto& it : batch) {
      const auto found =
          std::ranges::find(answer.items, it.write.key, &StoreItem::key);
      const std::uint64_t current_version =
          found == answer.items.end() ? 0 : found->version;
      if (current_version == it.write.expected) {
        remaining->push_back(std::move(it));
        continue;
      }
      it.callback(
          {.status = StoreStatus::kVersionConflict,
           .version = current_version,
           .value = current_version == 0 ? std::string() : found->value});
    }
    if (remaining->size() == batch.size()) {
      // The store's answer shows no key whose condition failed.
      for (const auto& it : *remaining) {
        it.callback({.error = "version conflict, but no key has changed"});
      }
      return;
    }
    if (!remaining->empty()) {
      Send(remaining);
    }
  }

  const WriteBatchingOptions options_;
  const std::function<void(const std::vector<StoreWrite>&, StoreRangeCallback)>
      put_all_;
  const EventLoop loop_;
  Batch batch_;
  std::size_t bytes_ = 0;
  // A request may wait for a write of the batch.
  bool is_urgent_ = false;
  // Number of the current batch, so that its timer does not flush a later one.
  std::uint64_t batch_number_ = 0;
};

}  // namespace

Store BatchWrites(const WriteBatchingOptions& options,
                  const Store& store,
                  const EventLoop& loop) {
  const auto batcher =
      std::make_shared<WriteBatcher>(options, store.put_all, loop);
  Store batched_store = store;
  batched_store.put = [batcher](const auto& key, const auto& value,
                                auto expected, const auto& callback) {
    batcher->Put({key, value, expected}, callback);
  };
  return batched_store;
}

}  // namespace crocuslatch
