#include "app/load_broadcast.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace crocuslatch {
namespace {

BodyPacker PackLoads(std::vector<LocalLoad> loads) {
  return [loads = std::move(loads)](flatbuffers::FlatBufferBuilder& builder) {
    std::vector<flatbuffers::Offset<wire::ServerLoad>> servers;
    servers.reserve(loads.size());
    for (const auto& it : loads) {
      servers.push_back(wire::CreateServerLoadDirect(
          builder, it.server_id.c_str(),
          static_cast<std::uint32_t>(it.load.requests),
          static_cast<std::uint64_t>(it.load.prefill_tokens)));
    }
    return PackedBody{wire::Body::LoadUpdate,
                      wire::CreateLoadUpdateDirect(builder, &servers).Union()};
  };
}

}  // namespace

struct LoadBroadcast::Core : std::enable_shared_from_this<LoadBroadcast::Core> {
  LoadBroadcastOptions options;
  EventLoop loop;
  PeerNetwork* network = nullptr;
  Placement* placement = nullptr;
  LoadBroadcastHooks hooks;
  bool is_send_scheduled = false;

  void SendAfter(Millis delay) {
    loop.after(delay, [self = weak_from_this()] {
      if (const auto core = self.lock()) {
        core->is_send_scheduled = false;
        core->SendUpdates();
      }
    });
  }

  void SendUpdates() {
    const auto loads =
        placement->TakeLoadUpdates(loop.now(), options.resend_period);
    if (loads.empty()) {
      return;
    }
    const auto body = PackLoads(loads);
    for (const auto& it : ChooseBroadcastPeers(hooks.own_host, hooks.peers(),
                                               options.max_peers)) {
      network->Send(it, body);
    }
  }

  void ResendLater() {
    loop.after(options.resend_period, [self = weak_from_this()] {
      if (const auto core = self.lock()) {
        core->SendUpdates();
        core->ResendLater();
      }
    });
  }
};

LoadBroadcast::LoadBroadcast(LoadBroadcastOptions options,
                             EventLoop loop,
                             PeerNetwork* network,
                             Placement* placement,
                             LoadBroadcastHooks hooks)
    : core_(std::make_shared<Core>()) {
  core_->options = options;
  core_->loop = std::move(loop);
  core_->network = network;
  core_->placement = placement;
  core_->hooks = std::move(hooks);
  core_->ResendLater();
}

LoadBroadcast::~LoadBroadcast() = default;

void LoadBroadcast::OnChange() {
  if (!std::exchange(core_->is_send_scheduled, true)) {
    core_->SendAfter(core_->options.batch_delay);
  }
}

bool LoadBroadcast::OnMessage(const std::string& host,
                              const wire::Envelope& message) {
  const auto* update = message.body_as_LoadUpdate();
  if (update == nullptr) {
    return false;
  }
  if (update->servers() != nullptr) {
    for (const auto* it : *update->servers()) {
      core_->placement->OnPeerLoad(
          host, it->server()->str(),
          {.requests = static_cast<int>(std::min<std::uint32_t>(
               it->requests(), std::numeric_limits<int>::max())),
           .prefill_tokens = static_cast<Tokens>(
               std::min<std::uint64_t>(it->unread_tokens(), kMaxTokens))},
          core_->loop.now());
    }
  }
  return true;
}

std::vector<std::string> ChooseBroadcastPeers(const std::string& own_host,
                                              std::vector<std::string> peers,
                                              std::size_t limit) {
  if (peers.size() <= limit) {
    return peers;
  }
  const auto own = StableHash(own_host);
  std::ranges::nth_element(
      peers, peers.begin() + static_cast<std::ptrdiff_t>(limit), {},
      [own](const auto& it) { return StableHash(it, own); });
  peers.resize(limit);
  return peers;
}

}  // namespace crocuslatch
