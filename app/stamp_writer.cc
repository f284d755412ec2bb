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
  // The stamp that may have been written last, and its time.
  std::string stamp;
  Millis stamped_at{0};

  // From here on the stamp may be in the store, so its bounds hold from here
  // on, too.
  void Stamp() {
    if (!hooks.may_write()) {
      Later(options.retry_delay, &Core::Stamp);
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
      const Millis next = stamped_at + options.period - loop.now();
      Later(std::max(next, Millis{1}), &Core::Stamp);
      return;
    }
    if (result.status == StoreStatus::kVersionConflict) {
      // An earlier try has taken effect.
      version = result.version;
    }
    // The same stamp until one is written: bounds grow from the last stamp that
    // was tried, so that newer ones would hold them down during an outage.
    Later(options.retry_delay, &Core::Write);
  }

  void Later(Millis delay, void (Core::*next)()) {
    loop.after(delay, [self = weak_from_this(), next] {
      if (const auto core = self.lock()) {
        (*core.*next)();
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
  core_->Stamp();
}

}  // namespace crocuslatch
