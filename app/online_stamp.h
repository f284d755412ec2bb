#ifndef APP_ONLINE_STAMP_H_
#define APP_ONLINE_STAMP_H_

#include <functional>
#include <memory>
#include <string>

#include "core/host_stamp.h"
#include "src/event_loop.h"
#include "src/store.h"

// Defines the writer of a host's stamps, which decides whether the host is
// online (core/host_stamp.h).

namespace crocuslatch {

struct OnlineStampHooks {
  // The present stamp of this process.
  std::function<HostStamp()> read_clocks;
  // True if nothing is used beyond what the ledger knows; a stamp may then be
  // written.
  std::function<bool()> is_within_bounds;
  // Told of every change; offline at first.
  std::function<void(bool online)> set_online;
};

class OnlineStamp {
 public:
  OnlineStamp(std::string key,
              HostStampOptions options,
              Store store,
              EventLoop loop,
              OnlineStampHooks hooks);
  ~OnlineStamp();

  // `version` is the stored version of the key, 0 if it is absent.
  void Start(std::uint64_t version);

 private:
  struct Core;
  std::shared_ptr<Core> core_;
};

}  // namespace crocuslatch

#endif  // APP_ONLINE_STAMP_H_
