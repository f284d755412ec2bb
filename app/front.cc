#include "app/front.h"

#include <fmt/format.h>
#include <time.h>

#include <QRandomGenerator>
#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "app/caller_memory.h"
#include "app/desired_state_follower.h"
#include "app/evacuation_follower.h"
#include "app/forwarding.h"
#include "app/holder_recovery.h"
#include "app/host_directory.h"
#include "app/load_broadcast.h"
#include "app/open_requests.h"
#include "app/prompt_quarantine.h"
#include "app/relayed_store.h"
#include "app/server_registry_reader.h"
#include "app/stamp_writer.h"
#include "app/token_lender.h"
#include "app/token_loans.h"
#include "app/write_batching.h"
#include "core/budget_homes.h"
#include "core/ledger_writers.h"
#include "core/load/cold_allowance.h"
#include "core/load/loop_lag.h"
#include "core/planned_stop.h"
#include "core/registry_timing.h"
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

// Time from the start of a planned stop until the host stops listening. The
// balancer probes readiness once a second and removes a host after two missed
// probes, so new connections may arrive until then.
constexpr Millis kDeregistrationDelay{2500};
constexpr int kUnavailable = 503;
constexpr Millis kActivityLogPeriod{10000};
// Fraction of the fleet's retry limit that is used: arrivals at servers and
// requests are counted at different moments, and hosts come and go.
constexpr double kRetryLimitFraction = 0.8;
// Period at which what depends on the number of hosts is updated.
constexpr Millis kFleetSizeUpdatePeriod{1000};
constexpr double kBytesPerMegabit = 1e6 / 8;
// The host counts as cut off from the store if it has no answer for this time
// beyond the period of reading the registry: a slow store takes about 0.3 s to
// answer, and an aggregator that died is noticed after as long.
constexpr Millis kStoreSilenceMargin{1100};
// Time for which a cut-off host is not ready after it refused a request for
// want of tokens. A cut-off host that refused none stays ready, so that callers
// stay where their accounts' reserves are: if all hosts of a failure domain
// left, the balancer would use all of them and redistribute the callers.
constexpr Millis kRefusalWindow{3000};
// Time for servers to close or respond after the requests that a planned stop
// cannot wait for were withdrawn. Their tokens are settled by then.
constexpr Millis kWithdrawalTime{200};
// Period at which a planned stop checks its progress.
constexpr Millis kStopPollPeriod{20};
// Delay from the start to the recovery of the previous process's tokens. It
// covers two answers of the store, after which the hosts that write the ledger
// are known; if each host wrote for itself, most writes would conflict.
constexpr Millis kRecoveryDelay{150};
constexpr std::string_view kHostsPrefix = "hosts/";
constexpr std::string_view kCrashesPrefix = "crashes/";
// Timeout for a connection to a server that may have crashed, and for its
// response.
constexpr Millis kCrashProbeTimeout{300};
constexpr std::string_view kSecretKey = "fleet/secret";
// Number of 64-bit words: 256 bits.
constexpr int kSecretWords = 4;
constexpr Millis kSecretRetryDelay{200};
// Timeout until both sides are authenticated; hosts are a millisecond apart.
constexpr Millis kPeerConnectTimeout{300};
// Fraction of the bound on new desired states that one watch lasts: a host
// whose connection went silent notices and reads again within the rest.
constexpr double kWatchFraction = 0.45;
// Least number of hosts of a failure domain that share their calls to the store
// among themselves. Smaller domains share them with the whole fleet.
constexpr std::size_t kMinDomainHosts = 8;
// Time for which exchanges that no request waits for are held back, so that
// those of many hosts share one write of a shard.
constexpr Millis kRoutineBatchDelay{30};
// Number of ledger shards. Callers of an account stay with a few hosts, so two
// hosts rarely write the shard of a single account at once.
constexpr std::uint32_t kLedgerShards = 64;
// Time for which a host that is cut off from the store can serve each client
// account from its spare tokens. Outages of the store last 9 s, and accounts
// send more than usual meanwhile.
constexpr Millis kSpareHorizon{16000};
// Largest fraction of a budget's remaining tokens that one host keeps as
// spare tokens. A holder that dies loses only what its usage bound allows, so a
// large fraction strands no tokens, but the other hosts need the rest.
constexpr double kMaxSpareFraction = 0.6;
// Usage that the ledger accounts for before an exchange. More would save
// exchanges, but counts as used if the host dies: a budget that loses 3 in 100
// of its tokens refuses every request once the rest is used.
constexpr Millis kArmedHorizon{2500};
constexpr double kMaxArmedFraction = 0.006;
// The same for a fleet whose accounts have home hosts: one holder accounts for
// the usage of all hosts, and only its own death strands what is armed.
constexpr double kMaxHomeArmedFraction = 0.02;
// Below this fraction of a budget no host keeps spare tokens.
constexpr double kLowBudgetFraction = 0.1;
// Rate at which an account may be used without the store, in tokens per second:
// one long prompt in five seconds.
constexpr Tokens kMinPace = 4000;
// Size of the spare tokens: standard deviations of usage, and at least this
// many requests of mean size. Most hosts see only a few requests of an account
// in that time.
constexpr double kSpareDeviations = 1.5;
constexpr double kMinSpareRequests = 2;

// Monotonic time that includes suspensions of the host, so that timeouts also
// expire while it is suspended.
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

Millis Fraction(double fraction, Millis bound) {
  return Millis{
      static_cast<Millis::rep>(fraction * static_cast<double>(bound.count()))};
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
        registry_timing(MakeRegistryTiming(settings.drain)),
        evacuation_timing(MakeEvacuationTiming(settings.evacuate)),
        loop(MakeFrontLoop()),
        relayed_store(MakeRelayedStoreOptions(),
                      MakeDirectStore(),
                      loop,
                      MakeRelayedStoreHooks()),
        store(relayed_store.store()),
        aggregated_store(MakeAggregatedStore()),
        ledger_writers({}, {settings.host_name, OwnLinkMbps()}),
        placement({}, settings.failure_domain),
        cold_allowance({.own_host = settings.host_name,
                        .excess = settings.cold_excess,
                        .slack = settings.cold_slack},
                       BootNow()),
        retry_budget({.window = settings.retry_window,
                      .ratio = settings.retry_ratio * kRetryLimitFraction}),
        rotation_policy({}, settings.link_mbps * kBytesPerMegabit),
        loop_lag({}, BootNow()),
        caller_memory({.memory_mb = settings.memory_mb,
                       .max_descriptors = settings.max_descriptors},
                      &metrics_registry),
        holder(MakeHolderId(settings.host_name)),
        start_stamp(MakeStamp()) {}

  const FrontSettings settings;
  const RegistryTiming registry_timing;
  const EvacuationTiming evacuation_timing;
  const EventLoop loop;
  Metrics metrics_registry;
  HttpClient store_client;
  HttpClient client;
  // Keeps no connections, since a probe must open a new one.
  HttpClient probe_client{{.max_idle_time = Millis{0}}};
  RelayedStore relayed_store;
  Store store;
  Store aggregated_store;
  LedgerWriters ledger_writers;
  Placement placement;
  ColdAllowance cold_allowance;
  RetryBudget retry_budget;
  RotationPolicy rotation_policy;
  LoopLag loop_lag;
  CallerMemory caller_memory;
  const HolderId holder;
  const HostStamp start_stamp;
  std::unique_ptr<DesiredStateFollower> follower;
  std::unique_ptr<ServerRegistryReader> server_registry;
  // Null if evacuations are not in use.
  std::unique_ptr<EvacuationFollower> evacuations;
  std::unique_ptr<HostDirectory> hosts;
  std::unique_ptr<PromptQuarantine> quarantine;
  std::unique_ptr<PeerNetwork> peer_network;
  std::unique_ptr<TokenLender> token_lender;
  std::unique_ptr<TokenLoans> token_loans;
  std::unique_ptr<LoadBroadcast> load_broadcast;
  std::unique_ptr<StampWriter> stamp_writer;
  std::unique_ptr<HolderRecovery> recovery;
  // Applies commands to shards by this host's own writes.
  ApplyToShard local_ledger;
  std::unique_ptr<GrantTable> grants;
  OpenRequests open_requests;
  std::shared_ptr<ForwardContext> context;
  std::unique_ptr<HttpServer> caller_server;
  std::unique_ptr<HttpServer> readiness_server;
  std::unique_ptr<HttpServer> metrics_server;
  std::set<std::string> evacuated_domains;
  Millis store_answered_at{0};
  // Time of the last request that was refused because this host lacked tokens,
  // although the ledger may have some.
  Millis refused_at{Millis::min() / 2};
  std::string not_ready_reason = "starting";
  bool is_stopping = false;
  Millis stop_began_at{0};
  // Time at which a planned stop began to return tokens.
  std::optional<Millis> return_began_at;
  bool is_return_done = false;

  bool UsesEvacuations() const { return settings.evacuate > Millis{0}; }

  RelayedStoreOptions MakeRelayedStoreOptions() const {
    RelayedStoreOptions options;
    options.aggregator_timeout = std::min(options.aggregator_timeout,
                                          registry_timing.aggregator_timeout);
    options.shared_read_ttl = registry_timing.shared_read_ttl;
    options.shared_watch_wait = Fraction(kWatchFraction, settings.config_apply);
    if (UsesEvacuations()) {
      options.aggregator_timeout = std::min(
          options.aggregator_timeout, evacuation_timing.aggregator_timeout);
      options.shared_watch_wait =
          std::min(options.shared_watch_wait, evacuation_timing.watch_duration);
      options.shared_watch_overdue = evacuation_timing.watch_overdue;
    }
    return options;
  }

  Store MakeDirectStore() {
    return BatchWrites(
        {.deferrable_prefix = std::string(kHostsPrefix)},
        platform::MakeKvStore(
            {.address = settings.store_address,
             .on_call_end =
                 [this](std::string_view call, std::string_view result) {
                   metrics_registry.IncrementCounter(
                       "store_calls", "call",
                       fmt::format("{}:{}", call, result));
                 }},
            loop, &store_client),
        loop);
  }

  std::int64_t OwnLinkMbps() const {
    return static_cast<std::int64_t>(settings.link_mbps);
  }

  std::vector<WriterCandidate> OtherHosts() const {
    std::vector<WriterCandidate> candidates;
    if (peer_network) {
      for (const auto& it : hosts->OtherHosts()) {
        candidates.push_back({it, hosts->LinkMbps(it)});
      }
    }
    return candidates;
  }

  // Hosts to ask to write the shard, best first.
  std::vector<std::string> PreferredWriters(std::uint32_t shard) const {
    return ledger_writers.RankWriters(shard, OtherHosts(), loop.now());
  }

  // Reserves at the account's home host unless this host holds enough tokens.
  void ReserveAtHome(const std::string& account,
                     Tokens amount,
                     std::function<void(const HomeReservation&)> callback) {
    if (!token_loans || grants->GetBudgetView(account).usable >= amount) {
      callback({});
      return;
    }
    const auto others = OtherHosts();
    auto homes =
        RankBudgetHomes({}, account, {settings.host_name, OwnLinkMbps()},
                        others, others.size() + 1);
    token_loans->BorrowFromHome(std::move(homes), account, amount,
                                std::move(callback));
  }

  void SendToWriter(const std::string& host,
                    std::uint32_t shard,
                    std::vector<ShardCommand> commands,
                    Millis timeout,
                    const LedgerCallback& callback) {
    peer_network->SendCommands(host, shard, std::move(commands), timeout,
                               [this, host, callback, begun = loop.now()](
                                   LedgerStatus status, const auto& replies) {
                                 OnWriterResponse(
                                     host, status == LedgerStatus::kDurable,
                                     loop.now() - begun);
                                 callback(status, replies);
                               });
  }

  void OnWriterResponse(const std::string& host,
                        bool is_answered,
                        Millis took) {
    if (!ledger_writers.OnCallDone(host, is_answered, took, loop.now())) {
      return;
    }
    LogLine(is_answered ? LogEvent::kWriterRegained : LogEvent::kWriterLost)
        .Add("host", host)
        .Add("took_ms", took)
        .Add("timeout_ms", ledger_writers.Timeout());
  }

  // Sends commands to the shards' preferred writers, which may be this host.
  ApplyToShard MakeLedger() {
    return MakeLedgerClient(
        {.own_host = settings.host_name,
         .choose_timeout = [this] { return ledger_writers.Timeout(); }},
        loop, [this](std::uint32_t shard) { return PreferredWriters(shard); },
        [this](const std::string& host, std::uint32_t shard, auto commands,
               Millis timeout, const LedgerCallback& callback) {
          SendToWriter(host, shard, std::move(commands), timeout, callback);
        },
        local_ledger);
  }

  // The host that makes this host's stamps, reads and watches of the store
  // together with those of its failure domain, so that these calls grow with
  // the number of domains. Empty if it is this host.
  std::string Aggregator() const {
    const auto others = OtherHosts();
    std::vector<WriterCandidate> near;
    std::ranges::copy_if(others, std::back_inserter(near), [this](auto& it) {
      return hosts->FailureDomain(it.host) == settings.failure_domain;
    });
    const bool is_large = near.size() + 1 >= kMinDomainHosts;
    constexpr std::uint32_t kOnlyGroup = 0;
    const auto host =
        ledger_writers
            .RankWriters(kOnlyGroup, is_large ? near : others, loop.now())
            .front();
    return host == settings.host_name ? std::string() : host;
  }

  Store MakeAggregatedStore() {
    return relayed_store.aggregated_store(
        [this] { return Aggregator(); },
        [this](const std::string& host, bool is_answered, Millis took) {
          OnWriterResponse(host, is_answered, took);
        });
  }

  // Passes whether the server accepts no connections. Sends no request, since
  // the server may be cold and each of many hosts may probe it.
  void ProbeServer(const std::string& address,
                   std::function<void(bool is_down)> callback) {
    const auto is_down = std::make_shared<bool>(true);
    probe_client.Send({.method = "GET",
                       .url = fmt::format("http://{}{}", address,
                                          platform::kServerReportPath),
                       .connect_timeout = kCrashProbeTimeout,
                       .first_byte_timeout = kCrashProbeTimeout,
                       .stall_timeout = kCrashProbeTimeout},
                      {.may_send =
                           [is_down] {
                             *is_down = false;
                             return false;
                           },
                       .on_end = [is_down, callback = std::move(callback)](
                                     HttpResult) { callback(*is_down); }});
  }

  RelayedStoreHooks MakeRelayedStoreHooks() {
    return {.peers = [this] { return hosts->OtherHosts(); },
            .random = &RandomDouble,
            .on_store_response = [this] { OnStoreResponse(); }};
  }

  // Clears the recorded failures of the ledger's writers after an outage.
  // Otherwise all hosts would pass over their writers and write for themselves,
  // and most of these writes would conflict.
  void OnStoreResponse() {
    if (IsCutOff()) {
      ledger_writers.ClearBackoffs();
    }
    store_answered_at = loop.now();
  }

  void Start() {
    hosts = std::make_unique<HostDirectory>(
        HostDirectoryOptions{.prefix = std::string(kHostsPrefix),
                             .own_host = settings.host_name,
                             .own_incarnation = holder.incarnation},
        aggregated_store, loop);
    quarantine = std::make_unique<PromptQuarantine>(
        PromptQuarantineOptions{.prefix = std::string(kCrashesPrefix),
                                .own_host = settings.host_name,
                                .incarnation = ToString(holder)},
        aggregated_store, loop,
        PromptQuarantineHooks{
            .probe =
                [this](const std::string& address, auto callback) {
                  ProbeServer(address, std::move(callback));
                },
            .wall_now = &WallNow});
    StartGrants();
    StartContext();
    StartColdAllowance();
    follower = std::make_unique<DesiredStateFollower>(
        DesiredStateFollowerOptions{
            .key = std::string(platform::kDesiredStateKey),
            .watch_timeout = Fraction(kWatchFraction, settings.config_apply)},
        aggregated_store, loop, &platform::DecodeDesiredState,
        [this](const RoutingTablePointer& it) { OnDesiredState(it); });
    server_registry = std::make_unique<ServerRegistryReader>(
        ServerRegistryReaderOptions{
            .prefix = std::string(platform::kServersPrefix),
            .poll_period = registry_timing.poll_period,
            .late_after = registry_timing.late_after},
        aggregated_store, loop, &platform::DecodeBackendEntry,
        [this](const auto& it) { OnServers(it); });
    if (UsesEvacuations()) {
      evacuations = std::make_unique<EvacuationFollower>(
          EvacuationFollowerOptions{
              .prefix = std::string(platform::kEvacuationsPrefix),
              .watch_duration = evacuation_timing.watch_duration},
          aggregated_store, loop,
          [this](const auto& it) { OnEvacuatedDomains(it); });
    }
    auto caller_options = ListenOptions(settings.caller_address);
    caller_options.unread_time = [this] {
      return loop_lag.MaxUnreadTime(loop.now());
    };
    caller_memory.Apply(caller_options);
    caller_server = std::make_unique<HttpServer>(
        caller_options,
        [this](const IncomingRequest& request, HttpReply reply) {
          OnRequest(request, std::move(reply));
        });
    caller_server->SetLimits(MakeLimits(CallerLimits{}));
    readiness_server = std::make_unique<HttpServer>(
        ListenOptions(settings.readiness_address),
        [this](const IncomingRequest& request, HttpReply reply) {
          AnswerProbe(request, std::move(reply));
        });
    metrics_server = std::make_unique<HttpServer>(
        ListenOptions(settings.metrics_address),
        [this](const IncomingRequest&, HttpReply reply) {
          reply.SendResponse(200,
                             {{"Content-Type", "text/plain; version=0.0.4"}},
                             metrics_registry.PrometheusText() +
                                 caller_memory.PrometheusText(
                                     caller_server->open_connections()));
        });
    LogLine(LogEvent::kStarted)
        .Add("host", settings.host_name)
        .Add("incarnation", ToString(holder))
        .Add("failure_domain", settings.failure_domain)
        .Add("callers", settings.caller_address)
        .Add("store", settings.store_address);
    follower->Start();
    server_registry->Start();
    if (evacuations) {
      evacuations->Start();
    }
    hosts->Start();
    quarantine->Start();
    ReadSecret();
    loop_lag.OnTick(loop.now());
    TickLater();
    LogActivityLater();
    UpdateFleetSizeLater();
  }

  void OnRequest(const IncomingRequest& request, HttpReply reply) {
    rotation_policy.OnRequest(request.body.size(), loop.now());
    if (is_stopping && loop.now() - stop_began_at >= kDeregistrationDelay) {
      RefuseWhileStopping(request, std::move(reply));
      return;
    }
    ForwardRequest(context, request, std::move(reply));
  }

  // Refuses a request that arrives late in a planned stop, on a connection that
  // was open before. It might not finish within the grace period, and the
  // caller can use other hosts.
  void RefuseWhileStopping(const IncomingRequest& request, HttpReply reply) {
    std::string id;
    try {
      id = platform::DecodeCallerHeaders(request.headers).request_id;
    } catch (const RequestError&) {
      // Responds with the error in the request's headers.
      ForwardRequest(context, request, std::move(reply));
      return;
    }
    const RequestError error(kUnavailable, Outcome::kNotRun, "stopping",
                             "the router is stopping",
                             "send the request again on a new connection");
    reply.SendResponse(kUnavailable,
                       platform::MakeErrorHeaders(id, kStoppingRetryAfter),
                       ErrorBody(error));
    metrics_registry.IncrementCounter("requests", "outcome", "stopping");
    LogLine(LogEvent::kRequestEnded)
        .Add("request", id)
        .Add("outcome", "stopping")
        .Add("status", kUnavailable)
        .Add("attempts", 0)
        .Add("since_signal_ms", loop.now() - stop_began_at);
  }

  // Applies what depends on the number of known hosts: the fleet's retry slack
  // is split evenly among them.
  void UpdateFleetSizeLater() {
    const auto others = hosts->OtherHosts().size();
    grants->SetMaxArmedFraction(others + 1 >= BudgetHomesOptions{}.min_hosts
                                    ? kMaxHomeArmedFraction
                                    : kMaxArmedFraction);
    if (others > 0) {
      retry_budget.SetSlack(settings.retry_slack * kRetryLimitFraction /
                            static_cast<double>(others + 1));
    }
    if (const auto known = hosts->KnownHosts()) {
      cold_allowance.SetHosts(*known, hosts->is_new_host());
    }
    LogColdChanges();
    loop.after(kFleetSizeUpdatePeriod, [self = weak_from_this()] {
      if (const auto core = self.lock()) {
        core->UpdateFleetSizeLater();
      }
    });
  }

  void TickLater() {
    loop.after(loop_lag.tick_period(), [self = weak_from_this()] {
      if (const auto core = self.lock()) {
        core->loop_lag.OnTick(core->loop.now());
        core->TickLater();
      }
    });
  }

  void LogActivityLater() {
    loop.after(kActivityLogPeriod, [self = weak_from_this()] {
      if (const auto core = self.lock()) {
        core->LogActivity();
        core->LogActivityLater();
      }
    });
  }

  void LogActivity() {
    LogLine line(LogEvent::kActivity);
    for (const auto* it : {"requests", "dispatches", "store_calls"}) {
      line.Add(it, metrics_registry.FormatCounters(it));
    }
  }

  void StartGrants() {
    auto options = MakeShardWriterOptions();
    options.max_batch_delay = kRoutineBatchDelay;
    options.retry_max = Millis{150};
    options.refresh_age = Millis{50};
    GrantTableOptions grant_options;
    grant_options.shard_count = kLedgerShards;
    grant_options.settle_period = Millis{10000};
    grant_options.usage_window = Millis{5000};
    grant_options.spare_horizon = kSpareHorizon;
    grant_options.spare_deviations = kSpareDeviations;
    grant_options.min_spare_requests = kMinSpareRequests;
    grant_options.refill_period = Millis{1500};
    grant_options.random = &RandomDouble;
    grant_options.excess_factor = 1.5;
    grant_options.idle_return_time = Millis{10000};
    grant_options.recall_wait = Millis{0};
    grant_options.refuses_while_unreachable = true;
    grant_options.settles_without_keys = true;
    grant_options.max_spare_fraction = kMaxSpareFraction;
    grant_options.tight_fraction = 0.25;
    grant_options.tight_settle_period = Millis{2000};
    grant_options.tight_idle_return_time = Millis{3000};
    grant_options.refusal_cache_time = Millis{300};
    grant_options.exhausted_refusal_cache_time = Millis{3000};
    grant_options.exhausted_fraction = 0.97;
    grant_options.has_usage_bounds = true;
    grant_options.armed_horizon = kArmedHorizon;
    grant_options.max_armed_fraction = kMaxArmedFraction;
    grant_options.low_budget_fraction = kLowBudgetFraction;
    grant_options.min_pace = kMinPace;
    local_ledger = MakeShardWriter(options, store, loop);
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

  HostStamp MakeStamp() const {
    return {.incarnation = holder.incarnation,
            .boot_time = BootNow(),
            .wall_time = WallNow(),
            .link_mbps = OwnLinkMbps(),
            .peer_address = settings.peer_address,
            .failure_domain = settings.failure_domain};
  }

  // The hosts' shared secret, by which they authenticate each other, is in the
  // store; the first host creates it.
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
    // Reads the stored secret in any case: another host may have created it, or
    // the answer may be lost.
    store.put(std::string(kSecretKey), secret, 0,
              [self = weak_from_this()](const StoreResult&) {
                if (const auto core = self.lock()) {
                  core->ReadSecretLater();
                }
              });
  }

  void ReadSecretLater() {
    loop.after(kSecretRetryDelay, [self = weak_from_this()] {
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
    hooks.apply = local_ledger;
    hooks.address_of = [this](const std::string& host) {
      return hosts->PeerAddress(host);
    };
    hooks.on_message = [this](const HolderId& sender,
                              const wire::Envelope& message,
                              const auto& reply) {
      if (!load_broadcast->OnMessage(sender.host, message) &&
          !token_lender->OnMessage(sender, message, reply)) {
        relayed_store.OnMessage(message, reply);
      }
    };
    try {
      peer_network = std::make_unique<PeerNetwork>(options, hooks);
    } catch (const UserError& error) {
      // Requests are also served without peers.
      LogLine(LogEvent::kListenFailed)
          .Add("message", error.what())
          .Add("remedy", error.remedy());
      return;
    }
    token_lender = std::make_unique<TokenLender>(
        TokenLenderOptions{}, loop,
        TokenLenderHooks{
            .reserve =
                [this](const std::string& budget, Tokens amount,
                       double retained_fraction) {
                  return grants->ReserveForPeer(budget, amount,
                                                retained_fraction);
                },
            .reserve_waiting =
                [this](const std::string& budget, Tokens amount, Millis wait,
                       auto callback) {
                  grants->Reserve(budget, amount, wait, std::move(callback));
                },
            .settle =
                [this](const std::string& budget, Tokens reserved,
                       Tokens used) {
                  context->settle(budget, reserved, used);
                },
            .unread_time =
                [this] { return loop_lag.MaxUnreadTime(loop.now()); }});
    token_loans = std::make_unique<TokenLoans>(
        TokenLoansOptions{}, loop,
        TokenLoansHooks{
            .peers = [this] { return hosts->OtherHosts(); },
            .random = &RandomDouble,
            .request =
                [this](const std::string& host, const BodyPacker& body,
                       Millis timeout, auto on_reply) {
                  peer_network->Request(host, body, timeout,
                                        std::move(on_reply));
                }});
    relayed_store.SetNetwork(peer_network.get());
    load_broadcast = std::make_unique<LoadBroadcast>(
        LoadBroadcastOptions{}, loop, peer_network.get(), &placement,
        LoadBroadcastHooks{.own_host = settings.host_name,
                           .peers = [this] { return hosts->OtherHosts(); }});
    placement.SetHasIdleConnection([this](const std::string& address) {
      return client.has_idle_connection(address);
    });
    placement.OnLoadChange([this] { load_broadcast->OnChange(); });
    placement.speed().OnChange([this](const SpeedChange& it) {
      const char* state = it.time_factor > 1   ? "slow"
                          : it.time_factor < 1 ? "fast"
                                               : "even";
      metrics_registry.IncrementCounter("server_speed_changes", "state", state);
      LogLine(LogEvent::kServerSpeedChanged)
          .Add("server", it.server_id)
          .Add("state", state)
          .Add("time_factor", it.time_factor)
          .Add("weight", it.weight)
          .Add("home_level", it.home_level);
    });
  }

  void StartStamps(const ApplyToShard& ledger) {
    const auto key = std::string(kHostsPrefix) + settings.host_name;
    stamp_writer = std::make_unique<StampWriter>(
        StampWriterOptions{.key = key}, aggregated_store, loop,
        StampWriterHooks{
            .make_stamp = [this] { return MakeStamp(); },
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
    recovery = std::make_unique<HolderRecovery>(
        HolderRecoveryOptions{.host = settings.host_name,
                              .stamp_key = stamp_key,
                              .ledger_prefix = "ledger/",
                              .start_stamp = start_stamp},
        store, loop, ledger,
        [this](std::uint64_t version) { stamp_writer->Start(version); });
  }

  void StartContext() {
    context = std::make_shared<ForwardContext>();
    context->loop = loop;
    context->client = &client;
    context->placement = &placement;
    context->retry_budget = &retry_budget;
    // A request may arrive before the host is ready, and without the set of
    // evacuated domains it could be sent to one of them.
    context->routing_table = [this] {
      return KnowsEvacuations() ? follower->current() : nullptr;
    };
    context->reserve = [this](const std::string& account, Tokens amount,
                              Millis wait, auto callback) {
      grants->Reserve(account, amount, wait, std::move(callback));
    };
    context->reserve_at_home = [this](const std::string& account, Tokens amount,
                                      auto callback) {
      ReserveAtHome(account, amount, std::move(callback));
    };
    context->borrow = [this](const std::string& account, Tokens amount,
                             auto callback) {
      if (!token_loans) {
        callback(std::nullopt);
        return;
      }
      token_loans->Borrow(account, amount, callback);
    };
    context->repay = [this](const Loan& loan, Tokens used) {
      token_loans->Repay(loan, used);
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
    context->metrics = &metrics_registry;
    context->quarantine = quarantine.get();
    context->open_requests = &open_requests;
    context->memory = caller_memory.hooks();
    context->random = &RandomDouble;
  }

  HttpLimits MakeLimits(const CallerLimits& limits) const {
    return {.max_header_bytes = limits.max_header_bytes,
            .max_body_bytes = limits.max_body_bytes,
            .header_timeout = limits.header_timeout,
            .request_timeout = 4 * limits.header_timeout,
            .idle_timeout = limits.idle_timeout};
  }

  bool KnowsEvacuations() const {
    return !UsesEvacuations() || (evacuations && evacuations->is_known());
  }

  void OnEvacuatedDomains(const std::set<std::string>& domains) {
    for (const auto& it : domains) {
      if (!evacuated_domains.contains(it)) {
        metrics_registry.IncrementCounter("evacuations", "change",
                                          it + ":evacuated");
      }
    }
    for (const auto& it : evacuated_domains) {
      if (!domains.contains(it)) {
        metrics_registry.IncrementCounter("evacuations", "change",
                                          it + ":restored");
      }
    }
    evacuated_domains = domains;
    placement.SetEvacuatedDomains(domains);
  }

  void OnServers(const std::vector<BackendEntry>& entries) {
    const Millis now = loop.now();
    placement.SetServers(entries, now);
    cold_allowance.SetServers(
        entries, {.now = now,
                  .read_at = server_registry->last_read_time().value_or(now),
                  .wall = WallNow()});
    LogColdChanges();
  }

  void LogColdChanges() {
    for (const auto& it : cold_allowance.TakeChanges(loop.now())) {
      metrics_registry.IncrementCounter("cold_servers", "change",
                                        it.is_cold ? "cold" : "warm");
      LogLine line(it.is_cold ? LogEvent::kServerCold : LogEvent::kServerWarm);
      line.Add("server", it.server_id);
      if (it.is_cold) {
        line.Add("reason", it.reason)
            .Add("cold_for_ms", it.cold_for)
            .Add("owner", it.is_owner);
      }
    }
  }

  void StartColdAllowance() {
    placement.SetMayPlace([this](const BackendEntry& entry, Millis now) {
      return cold_allowance.MaySend(entry.id, now);
    });
    placement.SetDispatchObserver(
        {.on_begin =
             [this](const std::string& server_id, Millis now) {
               cold_allowance.OnDispatch(server_id, now);
             },
         .on_unreachable =
             [this](const std::string& server_id, Millis now) {
               cold_allowance.OnUnreachable(server_id, now);
             }});
    context->on_cold_remaining = [this](const std::string& server_id,
                                        Millis remaining) {
      cold_allowance.OnColdRemaining(server_id, remaining, loop.now());
    };
    context->cold_retry_after = [this](const std::string& service) {
      return cold_allowance.RetryAfter(service, loop.now(), RandomDouble());
    };
  }

  void OnDesiredState(const RoutingTablePointer& table) {
    std::map<std::string, ColdService> services;
    for (const auto& it : table->state().services) {
      services[it.name] = {it.cold_start, it.cold_requests_per_s};
    }
    cold_allowance.SetServices(services);
    caller_server->SetLimits(MakeLimits(table->state().limits));
    std::map<std::string, EngineSpec> engines;
    for (const auto& it : table->state().services) {
      if (it.engine) {
        engines[it.name] = *it.engine;
      }
    }
    placement.SetEngines(std::move(engines));
  }

  // True if the store has not answered for a while. Other hosts may reach it,
  // and only those can be granted tokens and learn of changes.
  bool IsCutOff() const {
    return loop.now() - store_answered_at >
           registry_timing.poll_period + kStoreSilenceMargin;
  }

  std::string_view NotReadyReason() {
    if (is_stopping) {
      return "stopping";
    }
    if (!follower->current()) {
      return "no_desired_state";
    }
    if (!server_registry->last_read_time()) {
      return "no_servers_known";
    }
    if (!KnowsEvacuations()) {
      return "no_evacuations_known";
    }
    if (IsCutOff() && loop.now() - refused_at < kRefusalWindow) {
      return "store_unreachable";
    }
    if (loop_lag.IsOverloaded(loop.now())) {
      return "processor_overloaded";
    }
    return rotation_policy.IsLinkFull(loop.now()) ? "link_full" : "";
  }

  // When the host is not ready, also closes the callers' connections, so that
  // they move to other hosts.
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
        .Add("loop_lag_ms", loop_lag.AverageMs())
        .Add("link_bytes_per_s",
             static_cast<std::int64_t>(
                 rotation_policy.BytesPerSecond(loop.now())));
    if (!is_stopping) {
      caller_server->SetKeepAlive(reason.empty());
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
          .Add("remedy", "correct the file; the current settings stay in use");
    }
  }

  void Stop(std::function<void()> stopped) {
    if (is_stopping) {
      return;
    }
    is_stopping = true;
    stop_began_at = loop.now();
    LogLine(LogEvent::kStopping)
        .Add("host", settings.host_name)
        .Add("requests_in_flight", caller_server->open_requests());
    UpdateReadiness();
    caller_server->SetKeepAlive(false);
    loop.after(kDeregistrationDelay,
               [self = shared_from_this(), stopped = std::move(stopped)] {
                 self->caller_server->StopListening();
                 self->AdvanceStop(stopped);
               });
  }

  void ReturnTokens() {
    grants->ReturnAll([self = weak_from_this()] {
      if (const auto core = self.lock()) {
        core->is_return_done = true;
      }
    });
  }

  void AdvanceStop(const std::function<void()>& stopped) {
    const Millis now = loop.now();
    const auto step =
        NextStopStep({.grace = settings.grace},
                     {.since_signal = now - stop_began_at,
                      .open_requests = caller_server->open_requests(),
                      .return_elapsed =
                          return_began_at ? now - *return_began_at : Millis{-1},
                      .is_return_done = is_return_done});
    if (step == StopStep::kEnd) {
      stopped();
      return;
    }
    if (step == StopStep::kReturnTokens) {
      return_began_at = now;
      const bool has_ended_any = open_requests.EndAll();
      loop.after(has_ended_any ? kWithdrawalTime : Millis{0},
                 [self = shared_from_this()] { self->ReturnTokens(); });
    }
    loop.after(kStopPollPeriod, [self = shared_from_this(), stopped] {
      self->AdvanceStop(stopped);
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
