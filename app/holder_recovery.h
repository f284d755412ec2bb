#ifndef APP_HOLDER_RECOVERY_H_
#define APP_HOLDER_RECOVERY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/host_stamp.h"
#include "src/event_loop.h"
#include "src/ledger_client.h"
#include "src/store.h"

// Defines the recovery of the tokens that the previous process of a host held.

namespace crocuslatch {

struct HolderRecoveryOptions {
  std::string host;
  // Key of the host's stamp in the store.
  std::string stamp_key;
  // Key prefix of the ledger's shards in the store.
  std::string ledger_prefix;
  // Stamp of this process, with the clocks at its start.
  HostStamp start_stamp;
  HostStampOptions stamp_options;
  // Delay before a failed call is retried.
  Millis retry_delay{200};
  // Timeout for one shard's command.
  Millis apply_timeout{2000};
};

// Reclaims the tokens that the previous process cannot have used. Stops when it
// is destroyed.
class HolderRecovery {
 public:
  using Done = std::function<void(std::uint64_t stamp_version)>;

  // `done` is called once, with the stored version of the stamp. No stamp may
  // be written before, since the old one bounds what can be reclaimed.
  HolderRecovery(const HolderRecoveryOptions& options,
                 Store store,
                 EventLoop loop,
                 ApplyToShard apply,
                 Done done);
  ~HolderRecovery();
  HolderRecovery(const HolderRecovery&) = delete;
  HolderRecovery& operator=(const HolderRecovery&) = delete;

 private:
  struct Core;
  std::shared_ptr<Core> core_;
};

}  // namespace crocuslatch

#endif  // APP_HOLDER_RECOVERY_H_
