#ifndef SRC_LEDGER_CLIENT_H_
#define SRC_LEDGER_CLIENT_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "src/event_loop.h"
#include "src/shard_state.h"

// Defines the client of the ledger. It sends commands to the shard's preferred
// writers in order, and falls back to the local shard writer.

namespace crocuslatch {

enum class LedgerStatus {
  // The effects of the commands are durable and the replies are valid.
  kDurable,
  // The commands may or may not have taken effect, now or later.
  kUnknown,
};

using LedgerCallback =
    std::function<void(LedgerStatus, const std::vector<ShardReply>&)>;

// Applies commands to one shard and reports the result once it is durable, or
// kUnknown after the timeout.
using ApplyToShard = std::function<void(std::uint32_t shard,
                                        std::vector<ShardCommand> commands,
                                        Millis timeout,
                                        LedgerCallback callback)>;

// Sends commands to the peer `host` and reports its reply, or kUnknown after
// the timeout.
using SendToPeer = std::function<void(const std::string& host,
                                      std::uint32_t shard,
                                      std::vector<ShardCommand> commands,
                                      Millis timeout,
                                      LedgerCallback callback)>;

struct LedgerClientOptions {
  std::string own_host;
  Millis peer_timeout{400};
  // Maximum number of peers tried before the router writes the shard itself.
  std::size_t max_peers = 2;
  // If set, returns the current timeout of one peer and replaces
  // `peer_timeout`.
  std::function<Millis()> choose_timeout;
};

// Makes the function that applies commands through peers or `local`.
// `preferred_writers` lists live hosts for a shard, best first.
ApplyToShard MakeLedgerClient(
    const LedgerClientOptions& options,
    const EventLoop& loop,
    std::function<std::vector<std::string>(std::uint32_t shard)>
        preferred_writers,
    SendToPeer send_to_peer,
    ApplyToShard local);

}  // namespace crocuslatch

#endif  // SRC_LEDGER_CLIENT_H_
