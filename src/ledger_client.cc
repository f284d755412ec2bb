#include "src/ledger_client.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace crocuslatch {
namespace {

struct Client {
  LedgerClientOptions options;
  EventLoop loop;
  std::function<std::vector<std::string>(std::uint32_t)> preferred_writers;
  SendToPeer send_to_peer;
  ApplyToShard local;
};

// One call in flight. Sending it to several writers is safe, since commands are
// idempotent.
struct Call {
  std::uint32_t shard = 0;
  std::vector<ShardCommand> commands;
  Millis deadline{0};
  LedgerCallback callback;
  // Peers that are still to be tried, best first.
  std::vector<std::string> peers;
  // A peer did not reply and may still apply the commands later.
  bool may_apply_late = false;
};

bool IsRefused(const ShardReply& reply) {
  return reply.status == ReplyStatus::kInsufficient ||
         reply.status == ReplyStatus::kUnknownBudget;
}

bool IsClaim(const ShardCommand& command) {
  return std::holds_alternative<ClaimCommand>(command);
}

// A refused claim leaves no record, so a delayed copy of it could still succeed
// after the limit was raised. Its result is therefore reported as unknown, and
// the caller abandons the attempt.
bool IsFinal(const Call& call, const std::vector<ShardReply>& replies) {
  return !call.may_apply_late || std::ranges::none_of(call.commands, IsClaim) ||
         std::ranges::none_of(replies, IsRefused);
}

void Answer(const Call& call,
            LedgerStatus status,
            const std::vector<ShardReply>& replies) {
  if (status == LedgerStatus::kDurable && IsFinal(call, replies)) {
    call.callback(status, replies);
  } else {
    call.callback(LedgerStatus::kUnknown, {});
  }
}

// Preferred writers that come before this router, which writes the shard
// itself.
std::vector<std::string> PeersToTry(const Client& client, std::uint32_t shard) {
  auto hosts = client.preferred_writers(shard);
  hosts.resize(std::min(hosts.size(), client.options.max_peers));
  hosts.erase(std::ranges::find(hosts, client.options.own_host), hosts.end());
  return hosts;
}

void TryNextWriter(const std::shared_ptr<const Client>& client,
                   const std::shared_ptr<Call>& call) {
  const Millis left = call->deadline - client->loop.now();
  if (left <= Millis{0}) {
    call->callback(LedgerStatus::kUnknown, {});
    return;
  }
  if (call->peers.empty()) {
    client->local(
        call->shard, call->commands, left,
        [call](LedgerStatus status, const std::vector<ShardReply>& replies) {
          Answer(*call, status, replies);
        });
    return;
  }
  const auto& options = client->options;
  const Millis timeout =
      options.choose_timeout ? options.choose_timeout() : options.peer_timeout;
  const std::string host = call->peers.front();
  call->peers.erase(call->peers.begin());
  client->send_to_peer(host, call->shard, call->commands,
                       std::min(left, timeout),
                       [client, call](LedgerStatus status,
                                      const std::vector<ShardReply>& replies) {
                         if (status == LedgerStatus::kDurable) {
                           Answer(*call, status, replies);
                         } else {
                           call->may_apply_late = true;
                           TryNextWriter(client, call);
                         }
                       });
}

}  // namespace

ApplyToShard MakeLedgerClient(
    const LedgerClientOptions& options,
    const EventLoop& loop,
    std::function<std::vector<std::string>(std::uint32_t shard)>
        preferred_writers,
    SendToPeer send_to_peer,
    ApplyToShard local) {
  const auto client = std::make_shared<const Client>(
      Client{options, loop, std::move(preferred_writers),
             std::move(send_to_peer), std::move(local)});
  return [client](std::uint32_t shard, std::vector<ShardCommand> commands,
                  Millis timeout, LedgerCallback callback) {
    const auto call = std::make_shared<Call>();
    call->shard = shard;
    call->commands = std::move(commands);
    call->deadline = client->loop.now() + timeout;
    call->callback = std::move(callback);
    call->peers = PeersToTry(*client, shard);
    TryNextWriter(client, call);
  };
}

}  // namespace crocuslatch
