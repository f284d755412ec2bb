#include "app/load_broadcast.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace crocuslatch {
namespace {

// Limit on the speeds in one message; the rest follows in the next ones.
constexpr std::size_t kMaxSpeedReports = 16;
constexpr double kLogScale = 1000;
constexpr double kWeightScale = 100;

std::int32_t PackLog(const SpeedSummary& summary) {
  return static_cast<std::int32_t>(std::lround(summary.log_ratio * kLogScale));
}

std::uint32_t PackWeight(const SpeedSummary& summary) {
  return static_cast<std::uint32_t>(std::lround(summary.weight * kWeightScale));
}

SpeedSummary UnpackSummary(std::int32_t log_milli, std::uint32_t weight_centi) {
  return {log_milli / kLogScale, weight_centi / kWeightScale};
}

BodyPacker PackLoads(std::vector<LocalLoad> loads,
                     std::vector<SpeedReport> speeds) {
  return [loads = std::move(loads),
          speeds = std::move(speeds)](flatbuffers::FlatBufferBuilder& builder) {
    std::vector<flatbuffers::Offset<wire::ServerLoad>> servers;
    servers.reserve(loads.size());
    for (const auto& it : loads) {
      servers.push_back(wire::CreateServerLoadDirect(
          builder, it.server_id.c_str(),
          static_cast<std::uint32_t>(it.load.requests),
          static_cast<std::uint64_t>(it.load.prefill_tokens),
          static_cast<std::uint32_t>(it.slowdown_percent),
          static_cast<std::uint32_t>(it.slowdown_age.count()),
          static_cast<std::uint64_t>(it.load.held_tokens)));
    }
    std::vector<flatbuffers::Offset<wire::ServerSpeed>> packed_speeds;
    packed_speeds.reserve(speeds.size());
    for (const auto& it : speeds) {
      packed_speeds.push_back(wire::CreateServerSpeedDirect(
          builder, it.server_id.c_str(), it.start_time_ms, PackLog(it.kinds[0]),
          PackWeight(it.kinds[0]), PackLog(it.kinds[1]),
          PackWeight(it.kinds[1])));
    }
    return PackedBody{
        wire::Body::LoadUpdate,
        wire::CreateLoadUpdateDirect(
            builder, &servers, packed_speeds.empty() ? nullptr : &packed_speeds)
            .Union()};
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
    const auto speeds =
        placement->speed().TakeReports(loop.now(), kMaxSpeedReports);
    if (loads.empty() && speeds.empty()) {
      return;
    }
    const auto body = PackLoads(loads, speeds);
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
               std::min<std::uint64_t>(it->unread_tokens(), kMaxTokens)),
           .held_tokens = static_cast<Tokens>(
               std::min<std::uint64_t>(it->held_tokens(), kMaxTokens))},
          core_->loop.now());
      if (it->slowdown_percent() > 0) {
        core_->placement->OnPeerSlowdown(
            it->server()->str(), static_cast<int>(it->slowdown_percent()),
            Millis{it->slowdown_age_ms()}, core_->loop.now());
      }
    }
  }
  if (update->speeds() != nullptr) {
    for (const auto* it : *update->speeds()) {
      core_->placement->speed().OnPeerReport(
          host,
          {.server_id = it->server()->str(),
           .start_time_ms = it->started_ms(),
           .kinds = {UnpackSummary(it->prompt_log_milli(),
                                   it->prompt_weight_centi()),
                     UnpackSummary(it->pause_log_milli(),
                                   it->pause_weight_centi())}},
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
