#include "app/relayed_store.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include "app/peer_order.h"
#include "app/shared_watch.h"
#include "src/log.h"

namespace crocuslatch {
namespace {

// One store call, as it is sent to peers.
struct Call {
  wire::StoreCall kind = wire::StoreCall::Get;
  // Key or prefix.
  std::string key;
  std::string value;
  // Expected version of a write, or the revision after which a watch begins.
  std::uint64_t version = 0;
  Millis wait{0};
};

// The result of any kind of store call.
struct CallResult {
  StoreStatus status = StoreStatus::kUnknown;
  std::uint64_t version = 0;
  std::string value;
  std::vector<StoreItem> items;
  std::uint64_t revision = 0;
  std::string error;
  // See StoreRangeResult.
  Millis staleness{0};
  std::uint64_t max_revision = 0;
};

using ResultCallback = std::function<void(const CallResult&)>;

CallResult FromResult(const StoreResult& it) {
  return {.status = it.status,
          .version = it.version,
          .value = it.value,
          .revision = it.revision,
          .error = it.error};
}

CallResult FromRange(const StoreRangeResult& it) {
  return {.status = it.status,
          .items = it.items,
          .revision = it.revision,
          .error = it.error,
          .staleness = it.staleness,
          .max_revision = it.max_revision};
}

StoreResult ToResult(const CallResult& it) {
  return {.status = it.status,
          .version = it.version,
          .value = it.value,
          .revision = it.revision,
          .error = it.error};
}

StoreRangeResult ToRange(const CallResult& it) {
  return {.status = it.status,
          .items = it.items,
          .revision = it.revision,
          .max_revision = it.max_revision,
          .error = it.error,
          .staleness = it.staleness};
}

void ExecuteCall(const Store& store,
                 const Call& call,
                 const ResultCallback& callback) {
  const auto on_result = [callback](const StoreResult& it) {
    callback(FromResult(it));
  };
  const auto on_range = [callback](const StoreRangeResult& it) {
    callback(FromRange(it));
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

BodyPacker PackResult(const CallResult& result) {
  return [result](flatbuffers::FlatBufferBuilder& builder) {
    std::vector<flatbuffers::Offset<wire::StoreItem>> items;
    for (const auto& it : result.items) {
      const auto key = builder.CreateString(it.key);
      const auto value = PackBytes(builder, it.value);
      items.push_back(wire::CreateStoreItem(builder, key, it.version, value));
    }
    const auto packed_items = builder.CreateVector(items);
    const auto value = PackBytes(builder, result.value);
    return PackedBody{
        wire::Body::StoreReply,
        wire::CreateStoreReply(
            builder, static_cast<wire::StoreStatus>(result.status),
            result.version, value, packed_items, result.revision,
            static_cast<std::uint32_t>(
                std::max(Millis{0}, result.staleness).count()),
            result.max_revision)
            .Union()};
  };
}

static_assert(static_cast<int>(wire::StoreStatus::Unknown) ==
              static_cast<int>(StoreStatus::kUnknown));

std::optional<CallResult> UnpackResult(const wire::Envelope* message) {
  const auto* reply =
      message == nullptr ? nullptr : message->body_as_StoreReply();
  if (reply == nullptr || reply->status() > wire::StoreStatus::MAX) {
    return std::nullopt;
  }
  CallResult result{.status = static_cast<StoreStatus>(reply->status()),
                    .version = reply->version(),
                    .value = std::string(BytesOf(reply->value())),
                    .revision = reply->revision(),
                    .staleness = Millis{reply->staleness_ms()},
                    .max_revision = reply->max_revision()};
  if (reply->items() != nullptr) {
    for (const auto* it : *reply->items()) {
      result.items.push_back(
          {it->key()->str(), it->version(), std::string(BytesOf(it->value()))});
    }
  }
  return result;
}

}  // namespace

struct RelayedStore::Core : std::enable_shared_from_this<RelayedStore::Core> {
  // A call in flight on one path or both.
  struct PendingCall {
    Call call;
    ResultCallback callback;
    bool is_relayed = false;
    // Paths that have not responded yet.
    int open_paths = 0;
    std::string error;
  };
  using PendingCallPtr = std::shared_ptr<PendingCall>;

  // A call that waits for a shared read.
  struct Reader {
    Millis arrived_at{0};
    ResultCallback callback;
  };

  struct SharedRead {
    Millis begun_at{0};
    std::optional<CallResult> result;
    std::vector<Reader> readers;
  };
  using SharedReadPtr = std::shared_ptr<SharedRead>;

  RelayedStoreOptions options;
  Store direct_store;
  EventLoop loop;
  RelayedStoreHooks hooks;
  PeerNetwork* network = nullptr;
  bool is_direct_path_down = false;
  Millis last_probe_at{0};
  // Moving average of the direct path's response times.
  double mean_response_ms = 0;
  // The peer that responded last, and until when peers that could not help are
  // left out.
  std::string last_relay;
  std::map<std::string, Millis> backoff_until;
  // The shared read of each prefix that began last.
  std::map<std::string, SharedReadPtr> shared_reads;
  std::unique_ptr<SharedWatch> shared_watch;

  void Start(const Call& call, ResultCallback callback) {
    const auto pending = std::make_shared<PendingCall>();
    pending->call = call;
    pending->callback = std::move(callback);
    const Millis now = loop.now();
    const bool use_direct = network == nullptr || !is_direct_path_down ||
                            now - last_probe_at > options.probe_period;
    if (use_direct) {
      last_probe_at = now;
      CallDirectly(pending);
    }
    if (is_direct_path_down) {
      RelayToPeers(pending);
    } else {
      RelayAfterHedgeDelay(pending);
    }
    if (pending->open_paths == 0) {
      loop.post(
          [pending] { pending->callback({.error = "no path to the store"}); });
    }
  }

  // Sends the call to the aggregator, and takes the usual paths if that fails.
  void CallAggregator(const std::string& host,
                      const Call& call,
                      ResultCallback callback,
                      const OnAggregatorReply& on_reply) {
    const Millis begun = loop.now();
    network->Request(
        host, PackCall(call), AggregatorTimeout(call),
        [self = weak_from_this(), host, call, begun, on_reply,
         callback = std::move(callback)](const wire::Envelope* message) {
          const auto core = self.lock();
          if (!core) {
            return;
          }
          const auto result = UnpackResult(message);
          const bool is_answered =
              result && result->status != StoreStatus::kUnknown;
          // Deferred writes and watches say nothing about the time of a reply.
          const bool is_waiting_call = call.kind != wire::StoreCall::ReadAll;
          if (!is_answered || !is_waiting_call) {
            on_reply(host, is_answered,
                     std::min(core->loop.now() - begun,
                              core->options.aggregator_timeout));
          }
          if (!is_answered) {
            core->StartLate(call, begun, callback);
            return;
          }
          core->hooks.on_store_response();
          callback(*result);
        });
  }

  // Starts a call that was made at `made_at` and failed on another path.
  void StartLate(const Call& call,
                 Millis made_at,
                 const ResultCallback& callback) {
    const Millis delay = loop.now() - made_at;
    Start(call, [callback, delay](const CallResult& it) {
      CallResult result = it;
      result.staleness -= delay;
      callback(result);
    });
  }

  Millis AggregatorTimeout(const Call& call) const {
    const bool is_write = call.kind == wire::StoreCall::Put;
    return options.aggregator_timeout + call.wait +
           (is_write ? options.write_deferral : Millis{0});
  }

  // Makes a call for this host as its own aggregator, and takes the usual paths
  // if that fails.
  void CallAsAggregator(const Call& call, const ResultCallback& callback) {
    if (is_direct_path_down) {
      Start(call, callback);
      return;
    }
    ExecuteShared(call, [self = weak_from_this(), call, made_at = loop.now(),
                         callback](const CallResult& result) {
      const auto core = self.lock();
      if (!core) {
        return;
      }
      if (result.status == StoreStatus::kUnknown) {
        core->StartLate(call, made_at, callback);
        return;
      }
      core->hooks.on_store_response();
      callback(result);
    });
  }

  // Makes a call of this host or a peer by the direct path, together with those
  // of others where possible. Does not relay, since the caller may be the peer
  // that would be asked.
  void ExecuteShared(const Call& call, const ResultCallback& callback) {
    if (call.kind == wire::StoreCall::ReadAll) {
      ReadShared(call.key, callback);
      return;
    }
    const auto on_result = [self = weak_from_this(),
                            callback](const CallResult& result) {
      if (const auto core = self.lock()) {
        core->SetDirectPathDown(result.status == StoreStatus::kUnknown,
                                result.error);
      }
      callback(result);
    };
    if (call.kind == wire::StoreCall::Watch) {
      shared_watch->Watch(
          call.key, call.version, call.wait,
          [callback](const StoreRangeResult& it) { callback(FromRange(it)); });
      return;
    }
    ExecuteCall(direct_store, call, on_result);
  }

  // Reads the prefix once for all callers within a short time. A caller gets
  // the result of a read that began at most that time before its call, however
  // long the read took.
  void ReadShared(const std::string& prefix, ResultCallback callback) {
    const Millis now = loop.now();
    auto& last = shared_reads[prefix];
    Reader reader{now, std::move(callback)};
    if (last && now - last->begun_at < options.shared_read_ttl) {
      if (!last->result) {
        last->readers.push_back(std::move(reader));
        return;
      }
      if (last->result->status == StoreStatus::kOk) {
        loop.post([read = last, reader = std::move(reader)] {
          Answer(*read, reader);
        });
        return;
      }
    }
    const auto read = std::make_shared<SharedRead>(SharedRead{.begun_at = now});
    read->readers.push_back(std::move(reader));
    last = read;
    ExecuteCall(direct_store, {.kind = wire::StoreCall::ReadAll, .key = prefix},
                [self = weak_from_this(), read](const CallResult& result) {
                  if (const auto core = self.lock()) {
                    core->SetDirectPathDown(
                        result.status == StoreStatus::kUnknown, result.error);
                    read->result = result;
                    for (const auto& it : std::exchange(read->readers, {})) {
                      Answer(*read, it);
                    }
                  }
                });
  }

  static void Answer(const SharedRead& read, const Reader& reader) {
    CallResult result = *read.result;
    result.staleness = std::max(Millis{0}, reader.arrived_at - read.begun_at);
    reader.callback(result);
  }

  void CallDirectly(const PendingCallPtr& pending) {
    ++pending->open_paths;
    const Millis begun = loop.now();
    ExecuteCall(
        direct_store, pending->call,
        [self = weak_from_this(), pending, begun](const CallResult& result) {
          if (const auto core = self.lock()) {
            core->UpdateMeanResponseTime(*pending, result,
                                         core->loop.now() - begun);
            core->SetDirectPathDown(result.status == StoreStatus::kUnknown,
                                    result.error);
            core->OnPathDone(pending, result);
          }
        });
  }

  void UpdateMeanResponseTime(const PendingCall& pending,
                              const CallResult& result,
                              Millis took) {
    constexpr double kWeight = 0.2;
    if (result.status != StoreStatus::kUnknown &&
        pending.call.wait.count() == 0) {
      mean_response_ms +=
          kWeight * (static_cast<double>(took.count()) - mean_response_ms);
    }
  }

  void SetDirectPathDown(bool is_down, const std::string& reason) {
    if (is_down == is_direct_path_down) {
      return;
    }
    is_direct_path_down = is_down;
    LogLine(LogEvent::kStoreThroughPeer)
        .Add("through_peers", is_down && network != nullptr)
        .Add("message", reason);
  }

  // Hedges the call: relays it if the direct path has not responded in time. A
  // watch may stay silent for its own wait in addition.
  void RelayAfterHedgeDelay(const PendingCallPtr& pending) {
    const Millis hedge_time{
        static_cast<Millis::rep>(options.hedge_factor * mean_response_ms)};
    loop.after(std::max(options.hedge_delay, hedge_time) + pending->call.wait,
               [self = weak_from_this(), pending] {
                 const auto core = self.lock();
                 if (core && pending->callback) {
                   core->RelayToPeers(pending);
                 }
               });
  }

  void OnPathDone(const PendingCallPtr& pending, const CallResult& result) {
    --pending->open_paths;
    if (!pending->callback) {
      return;
    }
    if (result.status != StoreStatus::kUnknown) {
      hooks.on_store_response();
    } else {
      pending->error = result.error.empty() ? pending->error : result.error;
      RelayToPeers(pending);
      if (pending->open_paths > 0) {
        return;
      }
    }
    CallResult final_result = result;
    final_result.error = pending->error;
    // The callback may start the next call.
    const auto callback = std::exchange(pending->callback, nullptr);
    callback(final_result);
  }

  void RelayToPeers(const PendingCallPtr& pending) {
    if (pending->is_relayed || network == nullptr) {
      return;
    }
    pending->is_relayed = true;
    auto peers = PeersToAsk();
    if (peers.empty()) {
      return;
    }
    ++pending->open_paths;
    AskNextPeer(pending, std::move(peers));
  }

  std::vector<std::string> PeersToAsk() const {
    return OrderPeers({.peers = hooks.peers(),
                       .backoff_until = backoff_until,
                       .now = loop.now(),
                       .random = hooks.random,
                       .max_peers = options.max_peers,
                       .preferred = last_relay});
  }

  void AskNextPeer(const PendingCallPtr& pending,
                   std::vector<std::string> peers) {
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
                       const auto result = UnpackResult(message);
                       if (result && result->status != StoreStatus::kUnknown) {
                         core->last_relay = host;
                         core->OnPathDone(pending, *result);
                         return;
                       }
                       core->backoff_until[host] =
                           core->loop.now() + core->options.peer_backoff;
                       if (peers.empty() || !pending->callback) {
                         core->OnPathDone(
                             pending, {.error = "no peer can reach the store"});
                         return;
                       }
                       core->AskNextPeer(pending, peers);
                     });
  }
};

RelayedStore::RelayedStore(RelayedStoreOptions options,
                           Store direct_store,
                           EventLoop loop,
                           RelayedStoreHooks hooks)
    : core_(std::make_shared<Core>()) {
  core_->options = options;
  core_->direct_store = std::move(direct_store);
  core_->loop = std::move(loop);
  core_->hooks = std::move(hooks);
  core_->shared_watch = std::make_unique<SharedWatch>(
      SharedWatchOptions{.wait = options.shared_watch_wait,
                         .overdue_time = options.shared_watch_overdue},
      core_->direct_store, core_->loop);
}

RelayedStore::~RelayedStore() = default;

void RelayedStore::SetNetwork(PeerNetwork* network) {
  core_->network = network;
}

Store RelayedStore::store() {
  const auto start = [core = core_](
                         wire::StoreCall kind, const std::string& key,
                         ResultCallback callback, std::string value = {},
                         std::uint64_t version = 0, Millis wait = {}) {
    core->Start({kind, key, std::move(value), version, wait},
                std::move(callback));
  };
  const auto to_result = [](StoreCallback callback) {
    return [callback = std::move(callback)](const CallResult& it) {
      callback(ToResult(it));
    };
  };
  const auto to_range = [](StoreRangeCallback callback) {
    return [callback = std::move(callback)](const CallResult& it) {
      callback(ToRange(it));
    };
  };
  using Kind = wire::StoreCall;
  Store store;
  store.get = [=](const auto& key, const auto& callback) {
    start(Kind::Get, key, to_result(callback));
  };
  store.peek = [=](const auto& key, const auto& callback) {
    start(Kind::Peek, key, to_result(callback));
  };
  store.put = [=](const auto& key, const auto& value, auto expected,
                  const auto& callback) {
    start(Kind::Put, key, to_result(callback), value, expected);
  };
  store.remove = [=](const auto& key, auto expected, const auto& callback) {
    start(Kind::Remove, key, to_result(callback), {}, expected);
  };
  store.read_all = [=](const auto& prefix, const auto& callback) {
    start(Kind::ReadAll, prefix, to_range(callback));
  };
  store.watch = [=](const auto& prefix, auto after, Millis wait,
                    const auto& callback) {
    start(Kind::Watch, prefix, to_range(callback), {}, after, wait);
  };
  store.list = [read_all = store.read_all](const auto& prefix,
                                           const auto& callback) {
    read_all(prefix, [callback](const StoreRangeResult& range) {
      std::vector<StoreKeyVersion> entries;
      for (const auto& it : range.items) {
        entries.push_back({it.key, it.version});
      }
      callback(range.status, entries);
    });
  };
  return store;
}

Store RelayedStore::aggregated_store(std::function<std::string()> aggregator,
                                     const OnAggregatorReply& on_reply) {
  const auto host_to_ask = [core = core_, aggregator = std::move(aggregator)] {
    return core->network == nullptr ? std::string() : aggregator();
  };
  const auto start = [core = core_, host_to_ask, on_reply](
                         const Call& call, const ResultCallback& callback) {
    const auto host = host_to_ask();
    if (host.empty()) {
      core->CallAsAggregator(call, callback);
    } else {
      core->CallAggregator(host, call, callback, on_reply);
    }
  };
  using Kind = wire::StoreCall;
  Store store = this->store();
  store.put = [start](const auto& key, const auto& value, auto expected,
                      const StoreCallback& callback) {
    start({Kind::Put, key, value, expected, Millis{0}},
          [callback](const CallResult& it) { callback(ToResult(it)); });
  };
  store.read_all = [start](const auto& prefix,
                           const StoreRangeCallback& callback) {
    start({.kind = Kind::ReadAll, .key = prefix},
          [callback](const CallResult& it) { callback(ToRange(it)); });
  };
  store.watch = [start](const auto& prefix, auto after, Millis wait,
                        const StoreRangeCallback& callback) {
    start({.kind = Kind::Watch, .key = prefix, .version = after, .wait = wait},
          [callback](const CallResult& it) { callback(ToRange(it)); });
  };
  return store;
}

bool RelayedStore::OnMessage(
    const wire::Envelope& message,
    const std::function<void(const BodyPacker&)>& reply) {
  const auto* request = message.body_as_StoreRequest();
  if (request == nullptr) {
    return false;
  }
  if (core_->is_direct_path_down || request->call() > wire::StoreCall::MAX) {
    reply(PackResult({}));
    return true;
  }
  const auto callback = [reply](const CallResult& it) {
    reply(PackResult(it));
  };
  core_->ExecuteShared({request->call(), request->key()->str(),
                        std::string(BytesOf(request->value())),
                        request->version(), Millis{request->wait_ms()}},
                       callback);
  return true;
}

}  // namespace crocuslatch
