#ifndef APP_STAMP_WRITER_H_
#define APP_STAMP_WRITER_H_

#include <functional>
#include <memory>
#include <string>

#include "core/host_stamp.h"
#include "src/event_loop.h"
#include "src/store.h"

// Defines the writer that stores a host's stamp periodically
// (core/host_stamp.h).

namespace crocuslatch {

struct StampWriterOptions {
  // Key of the stamp in the store.
  std::string key;
  Millis period{700};
  // Delay before a failed write is retried.
  Millis retry_delay{200};
  // A write without a result after this time is sent again beside it. While the
  // store is silent, a call ends only after seconds, and the stamp must be
  // renewed as soon as the store is back: what a host that dies before it can
  // have used grows with the age of its stamp.
  Millis attempt_timeout{600};
};

struct StampWriterHooks {
  // Returns a stamp of this process with the current clocks.
  std::function<HostStamp()> make_stamp;
  // True if a new stamp may be made now.
  std::function<bool()> may_write;
  // Called when a new stamp is made, before it is written.
  std::function<void(Millis now)> before_write;
};

class StampWriter {
 public:
  StampWriter(StampWriterOptions options,
              Store store,
              EventLoop loop,
              StampWriterHooks hooks);
  ~StampWriter();

  // Starts to write stamps. `version` is the stored version of the key, 0 if it
  // is absent.
  void Start(std::uint64_t version);

 private:
  struct Core;
  std::shared_ptr<Core> core_;
};

}  // namespace crocuslatch

#endif  // APP_STAMP_WRITER_H_
