#ifndef APP_HOLDER_RECOVERY_H_
#define APP_HOLDER_RECOVERY_H_

#include <functional>
#include <string>

#include "core/host_stamp.h"
#include "src/event_loop.h"
#include "src/ledger_client.h"
#include "src/store.h"

// Defines what a new process does about the grants of the one that ran before
// on its host.

namespace crocuslatch {

struct HolderRecoveryOptions {
  std::string host;
  // Key of the host's stamp.
  std::string stamp_key;
  // Prefix of the ledger's shard values.
  std::string ledger_prefix;
  // Clocks at the start of this process.
  HostStamp start_stamp;
  HostStampOptions stamp_options;
  // Pause after a failed call.
  Millis retry_delay{200};
  // Longest wait for one shard.
  Millis apply_timeout{2000};
};

// Takes back the tokens that the previous process cannot have used. `done` is
// called once, with the stored version of the stamp; before, no stamp may be
// written, since the old one says what can be taken back.
void RecoverHolder(const HolderRecoveryOptions& options,
                   const Store& store,
                   const EventLoop& loop,
                   const ApplyToShard& apply,
                   std::function<void(std::uint64_t stamp_version)> done);

}  // namespace crocuslatch

#endif  // APP_HOLDER_RECOVERY_H_
