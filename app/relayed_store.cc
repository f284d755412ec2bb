#include "app/relayed_store.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include "app/peer_order.h"
#include "src/log.h"

namespace crocuslatch {
namespace {

// One call of the port, in the form in which peers get it.
struct Call {
  wire::StoreCall kind = wire::StoreCall::Get;
  // Key or prefix.
  std::string key;
  std::string value;
  // Expected version, or the revision after which a watch begins.
  std::uint64_t version = 0;
  Millis wait{0};
};

// The answer in the form that all calls share.
struct Answer {
  StoreStatus status = StoreStatus::kUnknown;
  std::uint64_t version = 0;
  std::string value;
  std::vector<StoreItem> items;
  std::uint64_t revision = 0;
  std::string error;
};

using OnAnswer = std::function<void(const Answer&)>;

Answer FromResult(const StoreResult& it) {
  return {.status = it.status,
          .version = it.version,
          .value = it.value,
          .revision = it.revision,
          .error = it.error};
}

Answer FromRange(const StoreRangeResult& it) {
  return {.status = it.status,
          .items = it.items,
          .revision = it.revision,
          .error = it.error};
}

StoreResult ToResult(const Answer& it) {
  return {.status = it.status,
          .version = it.version,
          .value = it.value,
          .revision = it.revision,
          .error = it.error};
}

StoreRangeResult ToRange(const Answer& it) {
  return {.status = it.status,
          .items = it.items,
          .revision = it.revision,
          .error = it.error};
}

void Make(const Store& store, const Call& call, const OnAnswer& on_answer) {
  const auto on_result = [on_answer](const StoreResult& it) {
    on_answer(FromResult(it));
  };
  const auto on_range = [on_answer](const StoreRangeResult& it) {
    on_answer(FromRange(it));
  };
  switch (call.kind) {
    case wire::StoreCall::Get:
      store.get(call.key, on_result);
      break;
    case wire::StoreCall::Peek:
      store.peek(call.key, on_result);
      break;
    case wire::StoreCall::Put:
      store.put(call.key, call.value, call.version, on_result);
      break;
    case wire::StoreCall::Remove:
      store.remove(call.key, call.version, on_result);
      break;
    case wire::StoreCall::ReadAll:
      store.read_all(call.key, on_range);
      break;
    case wire::StoreCall::Watch:
      store.watch(call.key, call.version, call.wait, on_range);
      break;
  }
}

std::string_view BytesOf(const flatbuffers::Vector<std::uint8_t>* bytes) {
  return bytes == nullptr
             ? std::string_view()
             : std::string_view(reinterpret_cast<const char*>(bytes->data()),
                                bytes->size());
}

auto PackBytes(flatbuffers::FlatBufferBuilder& builder,
               std::string_view bytes) {
  return builder.CreateVector(
      reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
}

BodyPacker PackCall(const Call& call) {
  return [call](flatbuffers::FlatBufferBuilder& builder) {
    const auto key = builder.CreateString(call.key);
    const auto value = PackBytes(builder, call.value);
    return PackedBody{
        wire::Body::StoreRequest,
        wire::CreateStoreRequest(builder, call.kind, key, value, call.version,
                                 static_cast<std::uint32_t>(call.wait.count()))
            .Union()};
  };
}

BodyPacker PackAnswer(const Answer& answer) {
  return [answer](flatbuffers::FlatBufferBuilder& builder) {
    std::vector<flatbuffers::Offset<wire::StoreItem>> items;
    for (const auto& it : answer.items) {
      const auto key = builder.CreateString(it.key);
      const auto value = PackBytes(builder, it.value);
      items.push_back(wire::CreateStoreItem(builder, key, it.version, value));
    }
    const auto packed_items = builder.CreateVector(items);
    const auto value = PackBytes(builder, answer.value);
    return PackedBody{
        wire::Body::StoreReply,
        wire::CreateStoreReply(
            builder, static_cast<wire::StoreStatus>(answer.status),
            answer.version, value, packed_items, answer.revision)
            .Union()};
  };
}

static_assert(static_cast<int>(wire::StoreStatus::Unknown) ==
              static_cast<int>(StoreStatus::kUnknown));

std::optional<Answer> ReadAnswer(const wire::Envelope* message) {
  const auto* reply =
      message == nullptr ? nullptr : message->body_as_StoreReply();
  if (reply == nullptr || reply->status() > wire::StoreStatus::MAX) {
    return std::nullopt;
  }
  Answer answer{.status = static_cast<StoreStatus>(reply->status()),
                .version = reply->version(),
                .value = std::string(BytesOf(reply->value())),
                .revision = reply->revision()};
  if (reply->items() != nullptr) {
    for (const auto* it : *reply->items()) {
      answer.items.push_back(
          {it->key()->str(), it->version(), std::string(BytesOf(it->value()))});
    }
  }
  return answer;
}

}  // namespace

struct RelayedStore::Core : std::enable_shared_from_this<RelayedStore::Core> {
  // One call under way by one path or both.
  struct Pending {
    Call call;
    OnAnswer on_answer;
    bool is_relayed = false;
    // Paths that have not answered.
    int open_paths = 0;
    std::string error;
  };
  using PendingPtr = std::shared_ptr<Pending>;

  struct Reading {
    Millis begun_at{Millis::min() / 2};
    std::optional<Answer> answer;
    std::vector<OnAnswer> waiting;
  };

  RelayedStoreOptions options;
  Store own;
  EventLoop loop;
  RelayedStoreHooks hooks;
  PeerNetwork* network = nullptr;
  bool is_broken = false;
  Millis probed_at{0};
  // Mean time of an answer by the own path.
  double usual_ms = 0;
  // The peer that helped last, and those that could not.
  std::string relay;
  std::map<std::string, Millis> backoff_until;
  // The last reading of each prefix.
  std::map<std::string, Reading> readings;

  void Start(const Call& call, OnAnswer on_answer) {
    const auto pending = std::make_shared<Pending>();
    pending->call = call;
    pending->on_answer = std::move(on_answer);
    const Millis now = loop.now();
    const bool use_own = network == nullptr || !is_broken ||
                         now - probed_at > options.probe_period;
    if (use_own) {
      probed_at = now;
      MakeOwn(pending);
    }
    if (is_broken) {
      Relay(pending);
    } else {
      RelayAfterSilence(pending);
    }
    if (pending->open_paths == 0) {
      loop.post(
          [pending] { pending->on_answer({.error = "no path to the store"}); });
    }
  }

  // Asks the host that gathers calls, and takes the usual way if it fails.
  void StartThrough(const std::string& host,
                    const Call& call,
                    OnAnswer on_answer,
                    const OnAggregatorReply& on_host) {
    const Millis begun = loop.now();
    network->Request(
        host, PackCall(call), options.aggregator_timeout,
        [self = weak_from_this(), host, call, begun, on_host,
         on_answer = std::move(on_answer)](const wire::Envelope* message) {
          const auto core = self.lock();
          if (!core) {
            return;
          }
          const auto answer = ReadAnswer(message);
          const bool is_answered =
              answer && answer->status != StoreStatus::kUnknown;
          on_host(host, is_answered, core->loop.now() - begun);
          if (!is_answered) {
            core->Start(call, on_answer);
            return;
          }
          core->hooks.on_store_response();
          on_answer(*answer);
        });
  }

  // One reading of the prefix for all that ask within a short time.
  void ReadShared(const std::string& prefix, OnAnswer on_answer) {
    const Millis now = loop.now();
    auto& reading = readings[prefix];
    const bool is_fresh = now - reading.begun_at < options.shared_read_ttl;
    if (is_fresh && reading.answer) {
      loop.post([answer = *reading.answer, on_answer = std::move(on_answer)] {
        on_answer(answer);
      });
      return;
    }
    reading.waiting.push_back(std::move(on_answer));
    if (is_fresh && reading.waiting.size() > 1) {
      return;
    }
    reading.begun_at = now;
    reading.answer.reset();
    // Not through a peer, which may be the one that asks.
    Make(own, {.kind = wire::StoreCall::ReadAll, .key = prefix},
         [self = weak_from_this(), prefix](const Answer& answer) {
           if (const auto core = self.lock()) {
             core->SetBroken(answer.status == StoreStatus::kUnknown,
                             answer.error);
             core->OnReading(prefix, answer);
           }
         });
  }

  void OnReading(const std::string& prefix, const Answer& answer) {
    auto& reading = readings[prefix];
    if (answer.status == StoreStatus::kOk) {
      reading.answer = answer;
    }
    for (const auto& it : std::exchange(reading.waiting, {})) {
      it(answer);
    }
  }

  void MakeOwn(const PendingPtr& pending) {
    ++pending->open_paths;
    const Millis begun = loop.now();
    Make(own, pending->call,
         [self = weak_from_this(), pending, begun](const Answer& answer) {
           if (const auto core = self.lock()) {
             core->NoteAnswerTime(*pending, answer, core->loop.now() - begun);
             core->SetBroken(answer.status == StoreStatus::kUnknown,
                             answer.error);
             core->OnPathEnd(pending, answer);
           }
         });
  }

  void NoteAnswerTime(const Pending& pending,
                      const Answer& answer,
                      Millis took) {
    constexpr double kWeight = 0.2;
    if (answer.status != StoreStatus::kUnknown &&
        pending.call.wait.count() == 0) {
      usual_ms += kWeight * (static_cast<double>(took.count()) - usual_ms);
    }
  }

  void SetBroken(bool broken, const std::string& reason) {
    if (broken == is_broken) {
      return;
    }
    is_broken = broken;
    LogLine(LogEvent::kStoreThroughPeer)
        .Add("through_peers", broken && network != nullptr)
        .Add("message", reason);
  }

  // A watch is silent for as long as nothing changes.
  void RelayAfterSilence(const PendingPtr& pending) {
    const Millis usual{
        static_cast<Millis::rep>(options.hedge_factor * usual_ms)};
    loop.after(std::max(options.hedge_delay, usual) + pending->call.wait,
               [self = weak_from_this(), pending] {
                 const auto core = self.lock();
                 if (core && pending->on_answer) {
                   core->Relay(pending);
                 }
               });
  }

  void OnPathEnd(const PendingPtr& pending, const Answer& answer) {
    --pending->open_paths;
    if (!pending->on_answer) {
      return;
    }
    if (answer.status != StoreStatus::kUnknown) {
      hooks.on_store_response();
    } else {
      pending->error = answer.error.empty() ? pending->error : answer.error;
      Relay(pending);
      if (pending->open_paths > 0) {
        return;
      }
    }
    Answer last = answer;
    last.error = pending->error;
    // The hook may start the next call.
    const auto hook = std::exchange(pending->on_answer, nullptr);
    hook(last);
  }

  void Relay(const PendingPtr& pending) {
    if (pending->is_relayed || network == nullptr) {
      return;
    }
    pending->is_relayed = true;
    auto peers = PeersToAsk();
    if (peers.empty()) {
      return;
    }
    ++pending->open_paths;
    Ask(pending, std::move(peers));
  }

  std::vector<std::string> PeersToAsk() const {
    return OrderPeers({.peers = hooks.peers(),
                       .backoff_until = backoff_until,
                       .now = loop.now(),
                       .random = hooks.random,
                       .max_peers = options.max_peers,
                       .preferred = relay});
  }

  void Ask(const PendingPtr& pending, std::vector<std::string> peers) {
    const auto host = std::move(peers.back());
    peers.pop_back();
    network->Request(host, PackCall(pending->call),
                     options.peer_timeout + pending->call.wait,
                     [self = weak_from_this(), pending, host,
                      peers = std::move(peers)](const wire::Envelope* message) {
                       const auto core = self.lock();
                       if (!core) {
                         return;
                       }
                       const auto answer = ReadAnswer(message);
                       if (answer && answer->status != StoreStatus::kUnknown) {
                         core->relay = host;
                         core->OnPathEnd(pending, *answer);
                         return;
                       }
                       core->backoff_until[host] =
                           core->loop.now() + core->options.peer_backoff;
                       if (peers.empty() || !pending->on_answer) {
                         core->OnPathEnd(
                             pending, {.error = "no peer reaches the store"});
                         return;
                       }
                       core->Ask(pending, peers);
                     });
  }
};

RelayedStore::RelayedStore(RelayedStoreOptions options,
                           Store direct_store,
                           EventLoop loop,
                           RelayedStoreHooks hooks)
    : core_(std::make_shared<Core>()) {
  core_->options = options;
  core_->own = std::move(direct_store);
  core_->loop = std::move(loop);
  core_->hooks = std::move(hooks);
}

RelayedStore::~RelayedStore() = default;

void RelayedStore::SetNetwork(PeerNetwork* network) {
  core_->network = network;
}

Store RelayedStore::store() {
  const auto start = [core = core_](
                         wire::StoreCall kind, const std::string& key,
                         OnAnswer on_answer, std::string value = {},
                         std::uint64_t version = 0, Millis wait = {}) {
    core->Start({kind, key, std::move(value), version, wait},
                std::move(on_answer));
  };
  const auto to_result = [](StoreCallback callback) {
    return [callback = std::move(callback)](const Answer& it) {
      callback(ToResult(it));
    };
  };
  const auto to_range = [](StoreRangeCallback callback) {
    return [callback = std::move(callback)](const Answer& it) {
      callback(ToRange(it));
    };
  };
  using Kind = wire::StoreCall;
  Store port;
  port.get = [=](const auto& key, const auto& callback) {
    start(Kind::Get, key, to_result(callback));
  };
  port.peek = [=](const auto& key, const auto& callback) {
    start(Kind::Peek, key, to_result(callback));
  };
  port.put = [=](const auto& key, const auto& value, auto expected,
                 const auto& callback) {
    start(Kind::Put, key, to_result(callback), value, expected);
  };
  port.remove = [=](const auto& key, auto expected, const auto& callback) {
    start(Kind::Remove, key, to_result(callback), {}, expected);
  };
  port.read_all = [=](const auto& prefix, const auto& callback) {
    start(Kind::ReadAll, prefix, to_range(callback));
  };
  port.watch = [=](const auto& prefix, auto after, Millis wait,
                   const auto& callback) {
    start(Kind::Watch, prefix, to_range(callback), {}, after, wait);
  };
  port.list = [read_all = port.read_all](const auto& prefix,
                                         const auto& callback) {
    read_all(prefix, [callback](const StoreRangeResult& range) {
      std::vector<StoreKeyVersion> entries;
      for (const auto& it : range.items) {
        entries.push_back({it.key, it.version});
      }
      callback(range.status, entries);
    });
  };
  return port;
}

Store RelayedStore::aggregated_store(std::function<std::string()> aggregator,
                                     const OnAggregatorReply& on_answer) {
  const auto host_to_ask = [core = core_, aggregator = std::move(aggregator)] {
    return core->network == nullptr ? std::string() : aggregator();
  };
  Store port = this->store();
  port.put = [core = core_, usual = port.put, host_to_ask, on_answer](
                 const auto& key, const auto& value, auto expected,
                 const StoreCallback& callback) {
    const auto host = host_to_ask();
    if (host.empty()) {
      usual(key, value, expected, callback);
      return;
    }
    core->StartThrough(
        host, {wire::StoreCall::Put, key, value, expected, Millis{0}},
        [callback](const Answer& it) { callback(ToResult(it)); }, on_answer);
  };
  port.read_all = [core = core_, host_to_ask, on_answer](
                      const auto& prefix, const StoreRangeCallback& callback) {
    const auto on_range = [callback](const Answer& it) {
      callback(ToRange(it));
    };
    const Call call{.kind = wire::StoreCall::ReadAll, .key = prefix};
    const auto host = host_to_ask();
    if (!host.empty()) {
      core->StartThrough(host, call, on_range, on_answer);
      return;
    }
    if (core->is_broken) {
      core->Start(call, on_range);
      return;
    }
    core->ReadShared(prefix, [core, call, on_range](const Answer& answer) {
      if (answer.status == StoreStatus::kUnknown) {
        core->Start(call, on_range);
        return;
      }
      core->hooks.on_store_response();
      on_range(answer);
    });
  };
  return port;
}

bool RelayedStore::OnMessage(
    const wire::Envelope& message,
    const std::function<void(const BodyPacker&)>& reply) {
  const auto* request = message.body_as_StoreRequest();
  if (request == nullptr) {
    return false;
  }
  if (core_->is_broken || request->call() > wire::StoreCall::MAX) {
    reply(PackAnswer({}));
    return true;
  }
  const auto on_answer = [reply](const Answer& it) { reply(PackAnswer(it)); };
  if (request->call() == wire::StoreCall::ReadAll) {
    core_->ReadShared(request->key()->str(), on_answer);
    return true;
  }
  Make(core_->own,
       {request->call(), request->key()->str(),
        std::string(BytesOf(request->value())), request->version(),
        Millis{request->wait_ms()}},
       on_answer);
  return true;
}

}  // namespace crocuslatch
