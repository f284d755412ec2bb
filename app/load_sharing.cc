#include "app/load_sharing.h"

#include <algorithm>
#include <utility>

namespace crocuslatch {
namespace {

BodyPacker PackLoads(std::vector<OwnLoad> loads) {
  return [loads = std::move(loads)](flatbuffers::FlatBufferBuilder& builder) {
    std::vector<flatbuffers::Offset<wire::ServerLoad>> servers;
    servers.reserve(loads.size());
    for (const auto& it : loads) {
      servers.push_back(wire::CreateServerLoadDirect(
          builder, it.server_id.c_str(),
          static_cast<std::uint32_t>(it.load.requests),
          static_cast<std::uint64_t>(it.load.unread_tokens)));
    }
    return PackedBody{wire::Body::LoadUpdate,
                      wire::CreateLoadUpdateDirect(builder, &servers).Union()};
  };
}

}  // namespace

struct LoadSharing::Core : std::enable_shared_from_this<LoadSharing::Core> {
  LoadSharingOptions options;
  EventLoop loop;
  PeerNetwork* network = nullptr;
  Placement* placement = nullptr;
  LoadSharingHooks hooks;
  bool is_waiting = false;

  void SendLater(Millis delay) {
    loop.after(delay, [self = weak_from_this()] {
      if (const auto core = self.lock()) {
        core->is_waiting = false;
        core->Send();
      }
    });
  }

  void Send() {
    const auto loads =
        placement->TakeChangedLoads(loop.now(), options.repeat_period);
    if (loads.empty()) {
      return;
    }
    const auto body = PackLoads(loads);
    for (const auto& it :
         ChooseLoadPeers(hooks.own_host, hooks.peers(), options.max_peers)) {
      network->Send(it, body);
    }
  }

  void RepeatLater() {
    loop.after(options.repeat_period, [self = weak_from_this()] {
      if (const auto core = self.lock()) {
        core->Send();
        core->RepeatLater();
      }
    });
  }
};

LoadSharing::LoadSharing(LoadSharingOptions options,
                         EventLoop loop,
                         PeerNetwork* network,
                         Placement* placement,
                         LoadSharingHooks hooks)
    : core_(std::make_shared<Core>()) {
  core_->options = options;
  core_->loop = std::move(loop);
  core_->network = network;
  core_->placement = placement;
  core_->hooks = std::move(hooks);
  core_->RepeatLater();
}

LoadSharing::~LoadSharing() = default;

void LoadSharing::OnChange() {
  if (!std::exchange(core_->is_waiting, true)) {
    core_->SendLater(core_->options.gather_time);
  }
}

bool LoadSharing::OnMessage(const std::string& host,
                            const wire::Envelope& message) {
  const auto* update = message.body_as_LoadUpdate();
  if (update == nullptr) {
    return false;
  }
  if (update->servers() != nullptr) {
    for (const auto* it : *update->servers()) {
      core_->placement->OnPeerLoad(
          host, it->server()->str(),
          {.requests = static_cast<int>(it->requests()),
           .unread_tokens = static_cast<Tokens>(it->unread_tokens())},
          core_->loop.now());
    }
  }
  return true;
}

std::vector<std::string> ChooseLoadPeers(const std::string& own_host,
                                         std::vector<std::string> peers,
                                         std::size_t most) {
  if (peers.size() <= most) {
    return peers;
  }
  const auto own = StableHash(own_host);
  std::ranges::nth_element(
      peers, peers.begin() + static_cast<std::ptrdiff_t>(most), {},
      [own](const auto& it) { return StableHash(it, own); });
  peers.resize(most);
  return peers;
}

}  // namespace crocuslatch
