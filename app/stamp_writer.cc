#include "app/stamp_writer.h"

#include <algorithm>
#include <utility>

namespace crocuslatch {

struct StampWriter::Core : std::enable_shared_from_this<StampWriter::Core> {
  StampWriterOptions options;
  Store store;
  EventLoop loop;
  StampWriterHooks hooks;
  std::uint64_t version = 0;
  // The last stamp that may have been written, and the time it was made.
  std::string stamp;
  Millis stamped_at{0};

  // Makes a new stamp and writes it. It may be in the store as soon as the
  // write begins, so the usage bounds must hold from `stamped_at` on.
  void MakeAndWriteStamp() {
    if (!hooks.may_write()) {
      RunAfter(options.retry_delay, &Core::MakeAndWriteStamp);
      return;
    }
    stamped_at = loop.now();
    stamp = EncodeHostStamp(hooks.make_stamp());
    hooks.before_write(stamped_at);
    Write();
  }

  void Write() {
    store.put(options.key, stamp, version,
              [self = weak_from_this()](const StoreResult& it) {
                if (const auto core = self.lock()) {
                  core->OnWritten(it);
                }
              });
  }

  void OnWritten(const StoreResult& result) {
    if (result.status == StoreStatus::kOk) {
      version = result.version;
      const Millis delay = stamped_at + options.period - loop.now();
      RunAfter(std::max(delay, Millis{1}), &Core::MakeAndWriteStamp);
      return;
    }
    if (result.status == StoreStatus::kVersionConflict) {
      // An earlier attempt has taken effect.
      version = result.version;
    }
    // Writes the same stamp until one attempt succeeds: usage bounds grow from
    // the last stamp that was attempted, so newer stamps would keep them low
    // during an outage.
    RunAfter(options.retry_delay, &Core::Write);
  }

  void RunAfter(Millis delay, void (Core::*next_step)()) {
    loop.after(delay, [self = weak_from_this(), next_step] {
      if (const auto core = self.lock()) {
        (*core.*next_step)();
      }
    });
  }
};

StampWriter::StampWriter(StampWriterOptions options,
                         Store store,
                         EventLoop loop,
                         StampWriterHooks hooks)
    : core_(std::make_shared<Core>()) {
  core_->options = std::move(options);
  core_->store = std::move(store);
  core_->loop = std::move(loop);
  core_->hooks = std::move(hooks);
}

StampWriter::~StampWriter() = default;

void StampWriter::Start(std::uint64_t version) {
  core_->version = version;
  core_->MakeAndWriteStamp();
}

}  // namespace crocuslatch
