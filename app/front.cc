#include "app/front.h"

#include <fmt/format.h>
#include <time.h>

#include <QRandomGenerator>
#include <algorithm>
#include <optional>
#include <utility>

#include "app/desired_state_follower.h"
#include "app/forwarding.h"
#include "app/holder_recovery.h"
#include "app/host_directory.h"
#include "app/load_broadcast.h"
#include "app/relayed_store.h"
#include "app/server_registry_reader.h"
#include "app/stamp_writer.h"
#include "app/token_loans.h"
#include "app/write_batching.h"
#include "core/ledger_writers.h"
#include "core/planned_stop.h"
#include "core/rotation.h"
#include "io/http_client.h"
#include "io/http_server.h"
#include "platform/backend_entry_codec.h"
#include "platform/desired_state_codec.h"
#include "platform/kv_store.h"
#include "platform/request_codec.h"
#include "platform/wire_names.h"
#include "src/error.h"
#include "src/grant_table.h"
#include "src/ip_endpoint.h"
#include "src/log.h"
#include "src/metrics.h"
#include "src/peer_network.h"
#include "src/shard_writer.h"

namespace crocuslatch {
namespace {

// The balancer takes a host out after two missed probes, one each second, so
// new connections may come this long after a planned stop begins.
constexpr Millis kOutOfRotation{2500};
// Callers are sent to hosts that are in rotation, at once.
constexpr Millis kStoppingRetryAfter{20};
constexpr int kUnavailable = 503;
constexpr Millis kActivityPeriod{10000};
// Part of the fleet's limit on repeats that is used, since arrivals at servers
// and requests are counted at other moments, and hosts come and go.
constexpr double kRetryShare = 0.8;
// Time between two looks at how many hosts share the limit.
constexpr Millis kRetryShareDelay{1000};
constexpr double kBytesPerMegabit = 1e6 / 8;
// Silence of the store after which this host counts as cut off from it. The
// registry is read every 0.9 s, and a slow store takes some 0.3 s.
constexpr Millis kCutOffTime{1500};
// A host that is cut off leaves the rotation for this long after it refused a
// request for want of tokens. Until then callers stay where their accounts'
// reserves are: if all hosts of a failure domain leave, the balancer uses all
// of them, and spreads the callers anew.
constexpr Millis kRefusalMemory{3000};
// Wait between two looks at what a planned stop still waits for.
constexpr Millis kStopPoll{20};
// From the start to the recovery of the previous process's tokens, by which the
// hosts that write the ledger are known: two answers of the store. When 64
// hosts wrote for themselves after a loss of power, 13,000 writes were lost.
constexpr Millis kRecoveryDelay{150};
constexpr std::string_view kHostsPrefix = "hosts/";
constexpr std::string_view kSecretKey = "fleet/secret";
// 256 bits.
constexpr int kSecretWords = 4;
constexpr Millis kSecretRetry{200};
// Until both sides are authenticated; hosts are a millisecond apart.
constexpr Millis kPeerConnectTimeout{300};
// Ledger shards. Callers of an account stay with a few hosts, so a shard with
// one account is rarely written by two hosts at once: with 2 shards for 10
// accounts nearly every second write was lost to another host's.
constexpr std::uint32_t kLedgerShards = 64;
// Reserve of each client account: a host that is cut off from the store serves
// on for this long. Cuts last 9 s, and accounts send more than usual meanwhile:
// with 10 s, 188 of 228 refusals of a cut were for want of reserve.
constexpr Millis kSpareTime{16000};
// Most of what a budget has left that one host keeps in reserve. Since holders
// that die lose only what their bound lets through, 0.6 strands no more than
// 0.33; with 0.8 other hosts ran short.
constexpr double kReservePart = 0.6;
// Use that the ledger knows ahead of an exchange. More would save exchanges,
// but counts as used if the host dies: a budget of which 3 in 100 are lost
// refuses all that comes after the rest.
constexpr Millis kArmedTime{2500};
constexpr double kArmedPart = 0.006;
// Below this part of a budget no host keeps a reserve.
constexpr double kLowPart = 0.1;
// Pace at which an account may be used without the store, tokens a second: one
// long prompt in five seconds.
constexpr Tokens kPaceFloor = 4000;
// Most hosts see a few requests of an account in that time.
constexpr double kSpareDeviations = 1.5;
constexpr double kSpareRequests = 2;

// Time that goes on while the host is suspended, so that whatever runs out is
// judged by it.
Millis BootNow() {
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::duration_cast<Millis>(
      std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

Millis WallNow() {
  return std::chrono::duration_cast<Millis>(
      std::chrono::system_clock::now().time_since_epoch());
}

double RandomDouble() {
  return QRandomGenerator::global()->generateDouble();
}

EventLoop MakeFrontLoop() {
  auto loop = MakeQtEventLoop();
  loop.now = &BootNow;
  return loop;
}

HttpServerOptions ListenOptions(const std::string& address) {
  const auto endpoint = ParseIpEndpoint(address);
  CROCUSLATCH_ASSERT(endpoint.has_value());
  return {.address = endpoint->address, .port = endpoint->port};
}

}  // namespace

struct Front::Core : std::enable_shared_from_this<Front::Core> {
  explicit Core(const FrontSettings& settings)
      : settings(settings),
        loop(MakeFrontLoop()),
        relayed_store({}, MakeOwnPath(), loop, MakeRelayHooks()),
        store(relayed_store.store()),
        gathered_store(MakeGatheredStore()),
        writers({}, {settings.host_name, OwnLink()}),
        placement({}, settings.failure_domain),
        retry_budget({.window = settings.retry_window,
                      .ratio = settings.retry_ratio * kRetryShare}),
        rotation({}, settings.link_mbps * kBytesPerMegabit),
        holder(MakeHolderId(settings.host_name)),
        started_at(ReadClocks()) {}

  const FrontSettings settings;
  const EventLoop loop;
  Metrics counters;
  HttpClient store_client;
  HttpClient client;
  RelayedStore relayed_store;
  Store store;
  Store gathered_store;
  LedgerWriters writers;
  Placement placement;
  RetryBudget retry_budget;
  RotationPolicy rotation;
  const HolderId holder;
  const HostStamp started_at;
  std::unique_ptr<DesiredStateFollower> follower;
  std::unique_ptr<ServerRegistryReader> registry;
  std::unique_ptr<HostDirectory> hosts;
  std::unique_ptr<PeerNetwork> peers;
  std::unique_ptr<TokenLoans> loans;
  std::unique_ptr<LoadBroadcast> load_broadcast;
  std::unique_ptr<StampWriter> stamps;
  // Writes shards by this host.
  ApplyToShard own_ledger;
  std::unique_ptr<GrantTable> grants;
  std::shared_ptr<ForwardContext> context;
  std::unique_ptr<HttpServer> callers;
  std::unique_ptr<HttpServer> readiness;
  std::unique_ptr<HttpServer> metrics;
  Millis store_answered_at{0};
  // When a request was last refused for want of tokens that the ledger may
  // have.
  Millis refused_at{Millis::min() / 2};
  std::string not_ready_reason = "starting";
  bool is_stopping = false;
  Millis stop_began{0};
  // When tokens began to go back in a planned stop.
  std::optional<Millis> returning_since;
  bool has_returned = false;

  Store MakeOwnPath() {
    return BatchWrites(
        {},
        platform::MakeKvStore(
            {.address = settings.store_address,
             .on_call_end =
                 [this](std::string_view call, std::string_view result) {
                   counters.IncrementCounter(
                       "store_calls", "call",
                       fmt::format("{}:{}", call, result));
                 }},
            loop, &store_client),
        loop);
  }

  std::int64_t OwnLink() const {
    return static_cast<std::int64_t>(settings.link_mbps);
  }

  // Hosts to ask for writing the shard, best first.
  std::vector<std::string> WritersOf(std::uint32_t shard) const {
    std::vector<WriterCandidate> candidates;
    if (peers) {
      for (const auto& it : hosts->OtherHosts()) {
        candidates.push_back({it, hosts->LinkMbps(it)});
      }
    }
    return writers.RankWriters(shard, candidates, loop.now());
  }

  void SendToWriter(const std::string& host,
                    std::uint32_t shard,
                    std::vector<ShardCommand> commands,
                    Millis timeout,
                    const LedgerCallback& callback) {
    peers->SendCommands(host, shard, std::move(commands), timeout,
                        [this, host, callback, begun = loop.now()](
                            LedgerStatus status, const auto& replies) {
                          OnWriterAnswer(host, status == LedgerStatus::kDurable,
                                         loop.now() - begun);
                          callback(status, replies);
                        });
  }

  void OnWriterAnswer(const std::string& host, bool is_answered, Millis took) {
    if (!writers.OnCallDone(host, is_answered, took, loop.now())) {
      return;
    }
    LogLine(is_answered ? LogEvent::kWriterRegained : LogEvent::kWriterLost)
        .Add("host", host)
        .Add("took_ms", took)
        .Add("timeout_ms", writers.Timeout());
  }

  // Writes the own shards and those that peers ask for.
  ApplyToShard MakeLedger() {
    return MakeLedgerClient(
        {.own_host = settings.host_name,
         .choose_timeout = [this] { return writers.Timeout(); }},
        loop, [this](std::uint32_t shard) { return WritersOf(shard); },
        [this](const std::string& host, std::uint32_t shard, auto commands,
               Millis timeout, const LedgerCallback& callback) {
          SendToWriter(host, shard, std::move(commands), timeout, callback);
        },
        own_ledger);
  }

  // Stamps and readings of a group of hosts go through one of its writers.
  Store MakeGatheredStore() {
    return relayed_store.aggregated_store(
        [this]() -> std::string {
          const auto group =
              static_cast<std::uint32_t>(StableHash(settings.host_name));
          const auto host = WritersOf(group).front();
          return host == settings.host_name ? std::string() : host;
        },
        [this](const std::string& host, bool is_answered, Millis took) {
          OnWriterAnswer(host, is_answered, took);
        });
  }

  RelayedStoreHooks MakeRelayHooks() {
    return {.peers = [this] { return hosts->OtherHosts(); },
            .random = &RandomDouble,
            .on_store_response = [this] { OnStoreContact(); }};
  }

  // After a cut all hosts would write for themselves, since they passed over
  // their writers: 3,000 lost writes in 2 s with 64 hosts.
  void OnStoreContact() {
    if (IsCutOff()) {
      writers.ClearBackoffs();
    }
    store_answered_at = loop.now();
  }

  void Start() {
    hosts = std::make_unique<HostDirectory>(
        HostDirectoryOptions{.prefix = std::string(kHostsPrefix),
                             .own_host = settings.host_name},
        gathered_store, loop);
    StartBudgets();
    StartContext();
    follower = std::make_unique<DesiredStateFollower>(
        DesiredStateFollowerOptions{
            .key = std::string(platform::kDesiredStateKey)},
        store, loop, &platform::DecodeDesiredState,
        [this](const RoutingTablePointer& it) { OnDesiredState(it); });
    registry = std::make_unique<ServerRegistryReader>(
        ServerRegistryReaderOptions{.prefix =
                                        std::string(platform::kServersPrefix)},
        gathered_store, loop, &platform::DecodeBackendEntry,
        [this](const auto& it) { placement.SetServers(it, loop.now()); });
    callers = std::make_unique<HttpServer>(
        ListenOptions(settings.caller_address),
        [this](const IncomingRequest& request, HttpReply reply) {
          OnRequest(request, std::move(reply));
        });
    callers->SetLimits(MakeLimits(CallerLimits{}));
    readiness = std::make_unique<HttpServer>(
        ListenOptions(settings.readiness_address),
        [this](const IncomingRequest& request, HttpReply reply) {
          AnswerProbe(request, std::move(reply));
        });
    metrics = std::make_unique<HttpServer>(
        ListenOptions(settings.metrics_address),
        [this](const IncomingRequest&, HttpReply reply) {
          reply.SendResponse(200,
                             {{"Content-Type", "text/plain; version=0.0.4"}},
                             counters.PrometheusText());
        });
    LogLine(LogEvent::kStarted)
        .Add("host", settings.host_name)
        .Add("incarnation", ToString(holder))
        .Add("failure_domain", settings.failure_domain)
        .Add("callers", settings.caller_address)
        .Add("store", settings.store_address);
    follower->Start();
    registry->Start();
    hosts->Start();
    ReadSecret();
    LogActivityLater();
    ShareRetriesLater();
  }

  void OnRequest(const IncomingRequest& request, HttpReply reply) {
    rotation.OnRequest(request.body.size(), loop.now());
    if (is_stopping && loop.now() - stop_began >= kOutOfRotation) {
      RefuseWhileStopping(request, std::move(reply));
      return;
    }
    ForwardRequest(context, request, std::move(reply));
  }

  // Comes on a connection that was open and idle since the signal. What begins
  // so late may not end in the grace time, and the caller has other hosts.
  void RefuseWhileStopping(const IncomingRequest& request, HttpReply reply) {
    std::string id;
    try {
      id = platform::DecodeCallerHeaders(request.headers).request_id;
    } catch (const RequestError&) {
      // Answers what is wrong with the request.
      ForwardRequest(context, request, std::move(reply));
      return;
    }
    const RequestError error(kUnavailable, Outcome::kNotRun, "stopping",
                             "the router is being stopped",
                             "send the request again on a new connection");
    reply.SendResponse(kUnavailable,
                       platform::MakeErrorHeaders(id, kStoppingRetryAfter),
                       ErrorBody(error));
    counters.IncrementCounter("requests", "outcome", "stopping");
    LogLine(LogEvent::kRequestEnded)
        .Add("request", id)
        .Add("outcome", "stopping")
        .Add("status", kUnavailable)
        .Add("attempts", 0)
        .Add("since_signal_ms", loop.now() - stop_began);
  }

  // The fleet's allowance of repeats is spread over the hosts that are known.
  void ShareRetriesLater() {
    const auto others = hosts->OtherHosts().size();
    if (others > 0) {
      retry_budget.SetSlack(settings.retry_slack * kRetryShare /
                            static_cast<double>(others + 1));
    }
    loop.after(kRetryShareDelay, [self = weak_from_this()] {
      if (const auto core = self.lock()) {
        core->ShareRetriesLater();
      }
    });
  }

  void LogActivityLater() {
    loop.after(kActivityPeriod, [self = weak_from_this()] {
      if (const auto core = self.lock()) {
        core->LogActivity();
        core->LogActivityLater();
      }
    });
  }

  void LogActivity() {
    LogLine line(LogEvent::kActivity);
    for (const auto* it : {"requests", "dispatches", "store_calls"}) {
      line.Add(it, counters.FormatCounters(it));
    }
  }

  void StartBudgets() {
    auto options = MakeShardWriterOptions();
    options.max_batch_delay = Millis{5};
    options.retry_max = Millis{150};
    options.refresh_age = Millis{50};
    GrantTableOptions grant_options;
    grant_options.shard_count = kLedgerShards;
    grant_options.settle_period = Millis{10000};
    grant_options.usage_window = Millis{5000};
    grant_options.spare_horizon = kSpareTime;
    grant_options.spare_deviations = kSpareDeviations;
    grant_options.min_spare_requests = kSpareRequests;
    grant_options.refill_period = Millis{1500};
    grant_options.random = &RandomDouble;
    grant_options.excess_factor = 1.5;
    grant_options.idle_return_time = Millis{10000};
    grant_options.recall_wait = Millis{0};
    grant_options.refuses_while_unreachable = true;
    grant_options.settles_without_keys = true;
    grant_options.max_spare_fraction = kReservePart;
    grant_options.tight_fraction = 0.25;
    grant_options.tight_settle_period = Millis{2000};
    grant_options.tight_idle_return_time = Millis{3000};
    grant_options.refusal_cache_time = Millis{300};
    grant_options.exhausted_refusal_cache_time = Millis{3000};
    grant_options.exhausted_fraction = 0.97;
    grant_options.has_usage_bounds = true;
    grant_options.armed_horizon = kArmedTime;
    grant_options.max_armed_fraction = kArmedPart;
    grant_options.low_budget_fraction = kLowPart;
    grant_options.min_pace = kPaceFloor;
    own_ledger = MakeShardWriter(options, store, loop);
    const auto ledger = MakeLedger();
    StartStamps(ledger);
    grants = std::make_unique<GrantTable>(
        grant_options, holder, loop, ledger,
        [this](const std::string& name) -> std::optional<Tokens> {
          const auto table = follower->current();
          const auto* account =
              table ? table->FindAccountByName(name) : nullptr;
          return account == nullptr ? std::nullopt : account->prepaid;
        });
  }

  HostStamp ReadClocks() const {
    return {.incarnation = holder.incarnation,
            .boot_time = BootNow(),
            .wall_time = WallNow(),
            .link_mbps = OwnLink(),
            .peer_address = settings.peer_address};
  }

  // The secret by which hosts know each other lies in the store; the first
  // host makes it.
  void ReadSecret() {
    store.get(std::string(kSecretKey),
              [self = weak_from_this()](const StoreResult& it) {
                const auto core = self.lock();
                if (!core) {
                  return;
                }
                if (it.status == StoreStatus::kOk) {
                  core->StartPeers(it.value);
                } else if (it.status == StoreStatus::kNotFound) {
                  core->MakeSecret();
                } else {
                  core->ReadSecretLater();
                }
              });
  }

  void MakeSecret() {
    std::string secret;
    for (int i = 0; i < kSecretWords; ++i) {
      secret +=
          fmt::format("{:016x}", QRandomGenerator::system()->generate64());
    }
    // Whoever lost or got no answer reads what is there.
    store.put(std::string(kSecretKey), secret, 0,
              [self = weak_from_this()](const StoreResult&) {
                if (const auto core = self.lock()) {
                  core->ReadSecretLater();
                }
              });
  }

  void ReadSecretLater() {
    loop.after(kSecretRetry, [self = weak_from_this()] {
      if (const auto core = self.lock()) {
        core->ReadSecret();
      }
    });
  }

  void StartPeers(const std::string& secret) {
    const auto endpoint = ParseIpEndpoint(settings.peer_address);
    CROCUSLATCH_ASSERT(endpoint.has_value());
    PeerNetworkOptions options;
    options.address = endpoint->address;
    options.port = endpoint->port;
    options.secret = secret;
    options.own = {holder, WallNow().count()};
    options.connect_timeout = kPeerConnectTimeout;
    PeerNetworkHooks hooks;
    hooks.apply = own_ledger;
    hooks.address_of = [this](const std::string& host) {
      return hosts->PeerAddress(host);
    };
    hooks.on_message = [this](const std::string& host,
                              const wire::Envelope& message,
                              const auto& reply) {
      if (!load_broadcast->OnMessage(host, message) &&
          !loans->OnMessage(host, message, reply)) {
        relayed_store.OnMessage(message, reply);
      }
    };
    try {
      peers = std::make_unique<PeerNetwork>(options, hooks);
    } catch (const UserError& error) {
      // Requests are served without peers, too.
      LogLine(LogEvent::kListenFailed)
          .Add("message", error.what())
          .Add("remedy", error.remedy());
      return;
    }
    loans = std::make_unique<TokenLoans>(
        TokenLoansOptions{}, loop, peers.get(),
        TokenLoansHooks{.peers = [this] { return hosts->OtherHosts(); },
                        .random = &RandomDouble,
                        .reserve =
                            [this](const std::string& budget, Tokens amount,
                                   double retained_fraction) {
                              return grants->ReserveForPeer(budget, amount,
                                                            retained_fraction);
                            },
                        .settle =
                            [this](const std::string& budget, Tokens reserved,
                                   Tokens used) {
                              context->settle(budget, reserved, used);
                            }});
    relayed_store.SetNetwork(peers.get());
    load_broadcast = std::make_unique<LoadBroadcast>(
        LoadBroadcastOptions{}, loop, peers.get(), &placement,
        LoadBroadcastHooks{.own_host = settings.host_name,
                           .peers = [this] { return hosts->OtherHosts(); }});
    placement.OnLoadChange([this] { load_broadcast->OnChange(); });
  }

  void StartStamps(const ApplyToShard& ledger) {
    const auto key = std::string(kHostsPrefix) + settings.host_name;
    stamps = std::make_unique<StampWriter>(
        StampWriterOptions{.key = key}, gathered_store, loop,
        StampWriterHooks{
            .make_stamp = [this] { return ReadClocks(); },
            .may_write =
                [this] { return !IsCutOff() && grants->PrepareStamp(); },
            .before_write = [this](Millis now) { grants->OnStamp(now); }});
    loop.after(kRecoveryDelay, [self = weak_from_this(), key, ledger] {
      if (const auto core = self.lock()) {
        core->Recover(key, ledger);
      }
    });
  }

  void Recover(const std::string& stamp_key, const ApplyToShard& ledger) {
    RecoverHolder({.host = settings.host_name,
                   .stamp_key = stamp_key,
                   .ledger_prefix = "ledger/",
                   .start_stamp = started_at},
                  store, loop, ledger,
                  [this](std::uint64_t version) { stamps->Start(version); });
  }

  void StartContext() {
    context = std::make_shared<ForwardContext>();
    context->loop = loop;
    context->client = &client;
    context->placement = &placement;
    context->retry_budget = &retry_budget;
    context->routing_table = [this] { return follower->current(); };
    context->reserve = [this](const std::string& account, Tokens amount,
                              Millis wait, auto callback) {
      grants->Reserve(account, amount, wait, std::move(callback));
    };
    context->borrow = [this](const std::string& account, Tokens amount,
                             auto callback) {
      if (!loans) {
        callback(std::nullopt);
        return;
      }
      loans->Borrow(account, amount, callback);
    };
    context->repay = [this](const Loan& loan, Tokens used) {
      loans->Repay(loan, used);
    };
    context->budget_view = [this](const std::string& account) {
      refused_at = loop.now();
      return grants->GetBudgetView(account);
    };
    context->settle = [this](const std::string& account, Tokens reserved,
                             Tokens used) {
      const auto key = RequestKey{QRandomGenerator::global()->generate64(),
                                  QRandomGenerator::global()->generate64()};
      grants->Settle(account, reserved, {key, used});
    };
    context->metrics = &counters;
    context->random = &RandomDouble;
  }

  HttpLimits MakeLimits(const CallerLimits& limits) const {
    return {.max_header_bytes = limits.max_header_bytes,
            .max_body_bytes = limits.max_body_bytes,
            .header_timeout = limits.header_timeout,
            .request_timeout = 4 * limits.header_timeout,
            .idle_timeout = limits.idle_timeout};
  }

  void OnDesiredState(const RoutingTablePointer& table) {
    callers->SetLimits(MakeLimits(table->state().limits));
  }

  // True if the store has not answered for a while. Other hosts may reach it,
  // and only they can be granted tokens and learn of changes.
  bool IsCutOff() const { return loop.now() - store_answered_at > kCutOffTime; }

  std::string_view NotReadyReason() {
    if (is_stopping) {
      return "stopping";
    }
    if (!follower->current()) {
      return "no_desired_state";
    }
    if (!registry->last_read_time()) {
      return "no_servers_known";
    }
    if (IsCutOff() && loop.now() - refused_at < kRefusalMemory) {
      return "store_unreachable";
    }
    return rotation.IsLinkFull(loop.now()) ? "link_full" : "";
  }

  // Also moves callers to other hosts where this one is of little use.
  void UpdateReadiness() {
    const auto reason = NotReadyReason();
    if (reason == not_ready_reason) {
      return;
    }
    not_ready_reason = reason;
    LogLine(LogEvent::kReadinessChanged)
        .Add("ready", reason.empty())
        .Add("reason", reason)
        .Add("store_answered_ms_ago", loop.now() - store_answered_at)
        .Add("link_bytes_per_s",
             static_cast<std::int64_t>(rotation.BytesPerSecond(loop.now())));
    if (!is_stopping) {
      callers->SetKeepAlive(reason.empty());
    }
  }

  void AnswerProbe(const IncomingRequest& request, HttpReply reply) {
    const bool is_probe = request.path == platform::kReadinessPath;
    UpdateReadiness();
    const int status = !is_probe ? 404 : not_ready_reason.empty() ? 200 : 503;
    reply.SendResponse(status, {}, "");
  }

  void Reload(const std::string& path) {
    try {
      const auto next = LoadFrontSettings(path);
      LogLine(LogEvent::kSettingsReloaded)
          .Add("changed", next != settings)
          .Add("message", "settings take effect at the next start");
    } catch (const SettingsError& error) {
      LogLine(LogEvent::kSettingsRejected)
          .Add("message", error.what())
          .Add("remedy", "correct the file; the settings in use stay");
    }
  }

  void Stop(std::function<void()> stopped) {
    if (is_stopping) {
      return;
    }
    is_stopping = true;
    stop_began = loop.now();
    LogLine(LogEvent::kStopping)
        .Add("host", settings.host_name)
        .Add("requests_in_flight", callers->open_requests());
    UpdateReadiness();
    callers->SetKeepAlive(false);
    loop.after(kOutOfRotation,
               [self = shared_from_this(), stopped = std::move(stopped)] {
                 self->callers->StopListening();
                 self->ContinueStop(stopped);
               });
  }

  void ContinueStop(const std::function<void()>& stopped) {
    const Millis now = loop.now();
    const auto step =
        NextStopStep({.grace = settings.grace},
                     {.since_signal = now - stop_began,
                      .open_requests = callers->open_requests(),
                      .return_elapsed =
                          returning_since ? now - *returning_since : Millis{-1},
                      .is_return_done = has_returned});
    if (step == StopStep::kEnd) {
      stopped();
      return;
    }
    if (step == StopStep::kReturnTokens) {
      returning_since = now;
      grants->ReturnAll([self = weak_from_this()] {
        if (const auto core = self.lock()) {
          core->has_returned = true;
        }
      });
    }
    loop.after(kStopPoll, [self = shared_from_this(), stopped] {
      self->ContinueStop(stopped);
    });
  }
};

Front::Front(const FrontSettings& settings)
    : core_(std::make_shared<Core>(settings)) {
  core_->Start();
}

Front::~Front() = default;

void Front::Reload(const std::string& path) {
  core_->Reload(path);
}

void Front::Stop(std::function<void()> stopped) {
  core_->Stop(std::move(stopped));
}

}  // namespace crocuslatch
