#ifndef APP_HOLDER_RECOVERY_H_
#define APP_HOLDER_RECOVERY_H_

#include <functional>
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

// Reclaims the tokens that the previous process cannot have used. `done` is
// called once, with the stored version of the stamp. No stamp may be written
// before, since the old one bounds what can be reclaimed.
void RecoverHolder(const HolderRecoveryOptions& options,
                   const Store& store,
                   const EventLoop& loop,
                   const ApplyToShard& apply,
                   std::function<void(std::uint64_t stamp_version)> done);

}  // namespace crocuslatch

#endif  // APP_HOLDER_RECOVERY_H_
