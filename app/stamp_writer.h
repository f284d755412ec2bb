#ifndef APP_STAMP_WRITER_H_
#define APP_STAMP_WRITER_H_

#include <functional>
#include <memory>
#include <string>

#include "core/host_stamp.h"
#include "src/event_loop.h"
#include "src/store.h"

// Defines the writer of a host's stamps (core/host_stamp.h).

namespace crocuslatch {

struct StampWriterOptions {
  // Key of the stamp in the store.
  std::string key;
  Millis period{700};
  // Pause before a stamp that was not written is tried again.
  Millis retry_delay{200};
};

struct StampWriterHooks {
  // The present stamp of this process.
  std::function<HostStamp()> make_stamp;
  // True if a stamp may be made now.
  std::function<bool()> may_write;
  // A stamp is made; called before it is written.
  std::function<void(Millis now)> before_write;
};

class StampWriter {
 public:
  StampWriter(StampWriterOptions options,
              Store store,
              EventLoop loop,
              StampWriterHooks hooks);
  ~StampWriter();

  // `version` is the stored version of the key, 0 if it is absent.
  void Start(std::uint64_t version);

 private:
  struct Core;
  std::shared_ptr<Core> core_;
};

}  // namespace crocuslatch

#endif  // APP_STAMP_WRITER_H_
