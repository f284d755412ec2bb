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
  std::uint64_t last_attempt = 0;
  // First attempt of the current stamp.
  std::uint64_t first_attempt = 1;

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
    const auto attempt = ++last_attempt;
    store.put(options.key, stamp, version,
              [self = weak_from_this(), attempt](const StoreResult& it) {
                if (const auto core = self.lock()) {
                  core->OnWritten(attempt, it);
                }
              });
    loop.after(options.attempt_timeout, [self = weak_from_this(), attempt] {
      const auto core = self.lock();
      if (core && core->last_attempt == attempt) {
        core->Write();
      }
    });
  }

  // Attempts of one stamp have the same condition, so that only one of them
  // takes effect.
  void OnWritten(std::uint64_t attempt, const StoreResult& result) {
    if (attempt < first_attempt) {
      return;
    }
    const bool is_stored_before =
        result.status == StoreStatus::kVersionConflict && result.value == stamp;
    if (result.status == StoreStatus::kOk || is_stored_before) {
      version = result.version;
      // No later result concerns this stamp.
      first_attempt = ++last_attempt + 1;
      const Millis delay = stamped_at + options.period - loop.now();
      RunAfter(std::max(delay, Millis{1}), &Core::MakeAndWriteStamp);
      return;
    }
    if (result.status == StoreStatus::kVersionConflict) {
      // A write of the previous stamp took effect after all.
      version = result.version;
    }
    if (attempt != last_attempt) {
      return;
    }
    // Writes the same stamp until one attempt succeeds: usage bounds grow from
    // the last stamp that was attempted, so newer stamps would keep them low
    // during an outage.
    ++last_attempt;
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
