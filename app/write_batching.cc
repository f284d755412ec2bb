#include "app/write_batching.h"

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

namespace crocuslatch {
namespace {

struct Pending {
  StoreWrite write;
  StoreCallback callback;
};

using Batch = std::vector<Pending>;

class WriteBatching : public std::enable_shared_from_this<WriteBatching> {
 public:
  WriteBatching(WriteBatchingOptions options,
                std::function<void(const std::vector<StoreWrite>&,
                                   StoreRangeCallback)> put_all,
                EventLoop loop)
      : options_(options),
        put_all_(std::move(put_all)),
        loop_(std::move(loop)) {}

  void Put(StoreWrite write, StoreCallback callback) {
    // A transaction holds one write of a key.
    const bool is_repeated = std::ranges::any_of(
        batch_, [&](const Pending& it) { return it.write.key == write.key; });
    if (is_repeated || batch_.size() >= options_.max_writes ||
        bytes_ + write.value.size() > options_.max_bytes) {
      Flush();
    }
    bytes_ += write.value.size();
    batch_.push_back({std::move(write), std::move(callback)});
    if (batch_.size() == 1) {
      loop_.after(options_.window,
                  [self = weak_from_this(), number = batch_number_] {
                    const auto it = self.lock();
                    if (it && it->batch_number_ == number) {
                      it->Flush();
                    }
                  });
    }
  }

 private:
  void Flush() {
    if (batch_.empty()) {
      return;
    }
    ++batch_number_;
    bytes_ = 0;
    Send(std::make_shared<Batch>(std::exchange(batch_, {})));
  }

  void Send(const std::shared_ptr<Batch>& batch) {
    std::vector<StoreWrite> writes;
    writes.reserve(batch->size());
    std::ranges::transform(*batch, std::back_inserter(writes), &Pending::write);
    put_all_(writes,
             [self = weak_from_this(), batch](const StoreRangeResult& it) {
               if (const auto core = self.lock()) {
                 core->OnAnswer(*batch, it);
               }
             });
  }

  void OnAnswer(Batch& batch, const StoreRangeResult& answer) {
    if (answer.status != StoreStatus::kVersionConflict) {
      for (const auto& it : batch) {
        it.callback({.status = answer.status,
                     .version = answer.revision,
                     .error = answer.error});
      }
      return;
    }
    const auto rest = std::make_shared<Batch>();
    for (auto& it : batch) {
      const auto found =
          std::ranges::find(answer.items, it.write.key, &StoreItem::key);
      const std::uint64_t present =
          found == answer.items.end() ? 0 : found->version;
      if (present == it.write.expected) {
        rest->push_back(std::move(it));
        continue;
      }
      it.callback({.status = StoreStatus::kVersionConflict,
                   .version = present,
                   .value = present == 0 ? std::string() : found->value});
    }
    if (rest->size() == batch.size()) {
      // The store's answer names no lost condition.
      for (const auto& it : *rest) {
        it.callback({.error = "a conflict without a changed key"});
      }
      return;
    }
    if (!rest->empty()) {
      Send(rest);
    }
  }

  const WriteBatchingOptions options_;
  const std::function<void(const std::vector<StoreWrite>&, StoreRangeCallback)>
      put_all_;
  const EventLoop loop_;
  Batch batch_;
  std::size_t bytes_ = 0;
  // Of the batch that is gathered, so that its timer flushes no later one.
  std::uint64_t batch_number_ = 0;
};

}  // namespace

Store BatchWrites(const WriteBatchingOptions& options,
                  const Store& own,
                  const EventLoop& loop) {
  const auto batching =
      std::make_shared<WriteBatching>(options, own.put_all, loop);
  Store port = own;
  port.put = [batching](const auto& key, const auto& value, auto expected,
                        const auto& callback) {
    batching->Put({key, value, expected}, callback);
  };
  return port;
}

}  // namespace crocuslatch
