#include "src/router.h"

#include <QDateTime>
#include <QRandomGenerator>
#include <algorithm>
#include <csignal>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

#include "io/http_client.h"
#include "src/admin_api.h"
#include "src/backend_table.h"
#include "src/config_keeper.h"
#include "src/grant_table.h"
#include "src/host_list.h"
#include "src/http_store.h"
#include "src/ledger_client.h"
#include "src/load_poller.h"
#include "src/log.h"
#include "src/membership.h"
#include "src/metrics.h"
#include "src/order_claims.h"
#include "src/peer_network.h"
#include "src/router_report.h"
#include "src/scheduler.h"
#include "src/shard_writer.h"
#include "src/worker.h"

namespace crocuslatch {
namespace {

// Incarnations told in one heartbeat, 52 bytes each; keeps one under 1 KB.
constexpr std::size_t kNewsPerHeartbeat = 12;
// Wait between two looks at what a planned stop still waits for.
constexpr Millis kStopPoll{50};
// Idle time before the process ends, in which a request that was already on
// its way over an open connection still gets its refusal.
constexpr Millis kStopLinger{500};
// Longest wait of a planned stop for the ledger, as in a store outage.
constexpr Millis kStopLedgerLimit{60000};

std::int64_t WallMs() {
  return QDateTime::currentMSecsSinceEpoch();
}

std::uint64_t Random() {
  return QRandomGenerator::system()->generate64();
}

MembershipOptions MakeMembershipOptions(const Settings& settings) {
  MembershipOptions options;
  options.own = {MakeHolderId(settings.host_name), WallMs()};
  options.own_failure_domain = settings.failure_domain;
  for (const auto& it : settings.peers) {
    options.static_peers.push_back(
        {it.host, HostKind::kRouter, it.address, "", HostState::kLive});
  }
  return options;
}

// Prepaid amounts by budget, of the document in force. A map, since a search
// through 36,000 budgets for each request would cost more than the request.
class Limits {
 public:
  void Set(const Document& document) {
    std::map<std::string, Tokens> next;
    for (const auto& it : document.budgets) {
      next.emplace(it.name, it.prepaid);
    }
    const std::lock_guard lock(mutex_);
    limits_ = std::move(next);
  }

  std::optional<Tokens> Find(const std::string& budget) const {
    const std::lock_guard lock(mutex_);
    const auto it = limits_.find(budget);
    return it == limits_.end() ? std::nullopt : std::optional(it->second);
  }

 private:
  mutable std::mutex mutex_;
  std::map<std::string, Tokens> limits_;
};

}  // namespace

struct Router::Core : std::enable_shared_from_this<Router::Core> {
  Core(const Settings& settings, std::function<void()> on_failed)
      : settings(settings),
        on_failed(std::move(on_failed)),
        loop(MakeQtEventLoop()),
        own(MakeMembershipOptions(settings)),
        membership(own, loop.now),
        scheduler(std::make_shared<Scheduler>(SchedulerOptions{}, loop.now)),
        backends(std::make_shared<BackendTable>(BackendTableOptions{},
                                                settings.host_name,
                                                loop.now,
                                                Random())),
        metrics(std::make_shared<Metrics>()) {}

  const Settings settings;
  const std::function<void()> on_failed;
  const EventLoop loop;
  HttpClient client;
  Store store;
  const MembershipOptions own;
  Membership membership;
  Limits limits;
  std::shared_ptr<Scheduler> scheduler;
  std::shared_ptr<BackendTable> backends;
  std::shared_ptr<Metrics> metrics;
  std::unique_ptr<PeerNetwork> peers;
  std::unique_ptr<ConfigKeeper> keeper;
  std::unique_ptr<HostListPoller> host_list;
  std::unique_ptr<LoadPoller> load_poller;
  std::unique_ptr<HttpServer> admin;
  // Exist from the first document on, which fixes the number of shards.
  std::uint32_t shard_count = 0;
  ApplyToShard local_writer;
  ApplyToShard ledger;
  std::unique_ptr<GrantTable> grants;
  std::shared_ptr<OrderClaims> claims;
  std::vector<std::unique_ptr<Worker>> workers;
  bool stopping = false;

  void Start() {
    store = MakeHttpStore({settings.store_url, settings.periods.store_timeout},
                          loop, &client);
    StartPeers();
    StartKeeper();
    host_list = std::make_unique<HostListPoller>(
        HostListOptions{settings.host_list_url, settings.periods.host_list},
        loop, &client, [this](const auto& hosts) { OnHosts(hosts); });
    load_poller = std::make_unique<LoadPoller>(
        LoadPollerOptions{.period = settings.periods.load_report}, loop,
        &client, backends, [table = scheduler] { table->StartWaiting(); });
    StartAdmin();
    keeper->Start();
  }

  void StartPeers() {
    PeerNetworkOptions options;
    options.address = settings.peer.address;
    options.port = settings.peer.port;
    options.secret = settings.fleet_secret;
    options.own = own.own;
    options.heartbeat_period = settings.periods.heartbeat;
    PeerNetworkHooks hooks;
    hooks.apply = [this](std::uint32_t shard, auto commands, Millis timeout,
                         const LedgerCallback& callback) {
      ApplyForPeer(shard, std::move(commands), timeout, callback);
    };
    hooks.on_recall = [this](const std::string& budget) {
      if (grants) {
        grants->Recall(budget);
      }
    };
    hooks.encoded_document = [this] { return keeper->EncodedCurrent(); };
    hooks.make_heartbeat = [this] { return MakeHeartbeat(); };
    hooks.on_heartbeat = [this](const auto& it) { OnHeartbeat(it); };
    hooks.on_peer_authenticated = [this](const auto& it) {
      membership.OnDirectContact(it);
    };
    hooks.address_of = [this](const auto& host) {
      return membership.AddressOf(host);
    };
    hooks.heartbeat_peers = [this] { return membership.HeartbeatPeers(); };
    hooks.on_unreachable = [this](const auto& host) {
      membership.OnUnreachable(host);
    };
    peers = std::make_unique<PeerNetwork>(options, hooks);
  }

  void StartKeeper() {
    ConfigKeeperHooks hooks;
    hooks.store = store;
    hooks.loop = loop;
    hooks.fetch_from_peer = [this](const std::string& host,
                                   PeerDocumentCallback callback) {
      peers->FetchConfig(host, std::move(callback));
    };
    hooks.on_in_force = [this](const DocumentPointer& it) { OnDocument(it); };
    keeper = std::make_unique<ConfigKeeper>(
        ConfigKeeperOptions{.head_poll_period = settings.periods.config_head},
        hooks);
  }

  void StartAdmin() {
    AdminApiHooks hooks;
    hooks.keeper = keeper.get();
    hooks.ledger = [this](const std::string& budget, const auto& callback) {
      ReportBudget(budget, callback);
    };
    hooks.status = [this] { return StatusReport(View()); };
    hooks.histograms = [this] { return metrics->Json(); };
    hooks.metrics = [this] { return metrics->PrometheusText(); };
    hooks.is_ready = [this] { return !workers.empty() && !stopping; };
    hooks.stop = [] { std::raise(SIGTERM); };
    HttpServerOptions options;
    options.address = settings.admin.address;
    options.port = settings.admin.port;
    options.max_body_bytes = kMaxDocumentBytes;
    admin = std::make_unique<HttpServer>(
        options, MakeAdminApi(settings.admin_token, std::move(hooks)));
  }

  RouterStatus View() {
    RouterStatus view;
    view.holder = own.own.holder;
    view.failure_domain = settings.failure_domain;
    view.document = keeper->Current();
    view.is_stopping = stopping;
    view.queued = scheduler->queued();
    view.live_routers = membership.LiveRouters();
    view.connected_peers = peers->ConnectedHosts();
    view.backends = backends->View();
    if (grants) {
      view.grants = grants->HeldGrants();
    }
    return view;
  }

  void ReportBudget(const std::string& budget,
                    const std::function<void(std::string)>& callback) {
    const auto prepaid = limits.Find(budget);
    if (shard_count == 0 || !prepaid) {
      callback("");
      return;
    }
    ReadShard(store, ShardOfBudget(budget, shard_count),
              [self = weak_from_this(), budget, prepaid, callback](
                  StoreStatus status, const ShardState& state) {
                const auto core = self.lock();
                if (!core || status != StoreStatus::kOk) {
                  callback("");
                  return;
                }
                const auto is_gone = [&core](const HolderId& it) {
                  return core->membership.IsGone(it);
                };
                callback(LedgerReport(budget, *prepaid, state, is_gone));
              });
  }

  PeerHeartbeat MakeHeartbeat() {
    PeerHeartbeat heartbeat;
    heartbeat.sender = own.own;
    if (const auto document = keeper->Current()) {
      heartbeat.config_version = document->version;
      heartbeat.config_sha256 = document->sha256;
    }
    heartbeat.heard_of = membership.TakeGossip(kNewsPerHeartbeat);
    return heartbeat;
  }

  void OnHeartbeat(const PeerHeartbeat& heartbeat) {
    membership.OnDirectContact(heartbeat.sender);
    membership.OnGossip(heartbeat.heard_of);
    keeper->OnPeerVersion(heartbeat.sender.holder.host,
                          heartbeat.config_version, heartbeat.config_sha256);
  }

  void OnHosts(const std::vector<HostEntry>& hosts) {
    membership.SetHosts(hosts);
    backends->SetRouters(membership.LiveRouters());
    backends->SetLeavingHosts(membership.LeavingBackends());
    scheduler->StartWaiting();
  }

  void OnDocument(const DocumentPointer& it) {
    const Document& document = it->document;
    limits.Set(document);
    scheduler->SetRanks(document.ranks);
    backends->SetDocument(document);
    scheduler->StartWaiting();
    if (shard_count == 0) {
      StartLedger(document);
      StartWorkers(document);
    }
  }

  void StartLedger(const Document& document) {
    shard_count = document.fleet.ledger_shards;
    auto options = MakeShardWriterOptions();
    options.bill_retention = document.limits.bill_retention;
    options.claim_retention = document.limits.order_retention;
    local_writer = MakeShardWriter(options, store, loop);
    ledger = MakeLedgerClient(
        {.own_host = settings.host_name}, loop,
        [this](std::uint32_t shard) {
          return membership.PreferredWriters(shard);
        },
        peers->send_to_peer(), local_writer);
    const auto limit = [this](const std::string& budget) {
      return limits.Find(budget);
    };
    GrantTableOptions grant_options;
    grant_options.shard_count = shard_count;
    grant_options.recall = [this](const auto& budget, const auto& holders) {
      RecallGrants(budget, holders);
    };
    grants = std::make_unique<GrantTable>(grant_options, own.own.holder, loop,
                                          ledger, limit);
    claims = std::make_shared<OrderClaims>(
        OrderClaimsOptions{.shard_count = shard_count}, own.own.holder, loop,
        ledger, &Random, limit);
  }

  // Grants of holders that are gone cannot be recalled; they are marked so
  // that reports show why the tokens are not available.
  void RecallGrants(const std::string& budget,
                    const std::vector<HolderId>& holders) {
    for (const auto& it : holders) {
      if (!membership.IsGone(it)) {
        peers->SendRecall(it.host, budget);
        continue;
      }
      Log(LogEvent::kHolderFrozen, "holder {} is gone; budget {}", ToString(it),
          budget);
      ledger(ShardOfBudget(budget, shard_count), {FreezeCommand{it}},
             settings.periods.store_timeout, [](auto, const auto&) {});
    }
  }

  void ApplyForPeer(std::uint32_t shard,
                    std::vector<ShardCommand> commands,
                    Millis timeout,
                    const LedgerCallback& callback) {
    if (!local_writer || shard >= shard_count) {
      callback(LedgerStatus::kUnknown, {});
      return;
    }
    local_writer(shard, std::move(commands), timeout, callback);
  }

  RequestContext MakeContext() {
    RequestContext context;
    context.document = [this]() -> std::shared_ptr<const Document> {
      const auto current = keeper->Current();
      return current
                 ? std::shared_ptr<const Document>(current, &current->document)
                 : nullptr;
    };
    context.scheduler = scheduler;
    context.backends = backends;
    context.metrics = metrics;
    context.claims = claims;
    context.reserve = [this](const std::string& budget, Tokens amount,
                             Millis wait, auto callback) {
      grants->Reserve(budget, amount, wait, std::move(callback));
    };
    context.settle = [this](const std::string& budget, Tokens reserved,
                            const Bill& bill) {
      grants->Settle(budget, reserved, bill);
    };
    context.is_holder_gone = [this](const HolderId& holder) {
      return membership.IsGone(holder);
    };
    context.random = &Random;
    return context;
  }

  void StartWorkers(const Document& document) {
    HttpServerOptions options;
    options.address = settings.caller.address;
    options.port = settings.caller.port;
    options.reuse_port = true;
    options.max_body_bytes = document.limits.max_body_bytes;
    try {
      for (std::uint32_t n = 0; n < settings.worker_threads; ++n) {
        workers.push_back(std::make_unique<Worker>(options, MakeContext()));
        // All workers share the port that the first one got.
        options.port = workers.front()->port();
      }
    } catch (const UserError& error) {
      Log(LogEvent::kListenFailed, "{}; {}", error.what(), error.remedy());
      on_failed();
      return;
    }
    Log(LogEvent::kStarted, "host {} caller port {} admin port {} peer port {}",
        settings.host_name, options.port, admin->port(), peers->port());
  }

  void Stop(const std::function<void()>& stopped) {
    if (stopping) {
      return;
    }
    stopping = true;
    Log(LogEvent::kStopping, "host {}", settings.host_name);
    for (const auto& it : workers) {
      it->StopAccepting();
    }
    WaitForRequests(stopped);
  }

  void WaitForRequests(const std::function<void()>& stopped) {
    const bool busy = std::ranges::any_of(
        workers, [](const auto& it) { return it->open_requests() > 0; });
    if (busy) {
      loop.after(kStopPoll, [this, stopped] { WaitForRequests(stopped); });
      return;
    }
    loop.after(kStopLinger, [this, stopped] { CloseLedger(stopped); });
  }

  void CloseLedger(const std::function<void()>& stopped) {
    if (!grants) {
      stopped();
      return;
    }
    const auto limit = loop.now() + kStopLedgerLimit;
    grants->ReturnAll(
        [this, stopped, limit] { WaitForClaims(stopped, limit); });
    loop.after(kStopLedgerLimit, stopped);
  }

  void WaitForClaims(const std::function<void()>& stopped, Millis limit) {
    if (claims->pending_writes() > 0 && loop.now() < limit) {
      loop.after(kStopPoll,
                 [this, stopped, limit] { WaitForClaims(stopped, limit); });
      return;
    }
    stopped();
  }
};

Router::Router(const Settings& settings, std::function<void()> on_failed)
    : core_(std::make_shared<Core>(settings, std::move(on_failed))) {
  core_->Start();
}

Router::~Router() {
  // Workers use the tables, so their threads end first.
  core_->workers.clear();
}

void Router::Stop(const std::function<void()>& stopped) {
  core_->Stop(stopped);
}

}  // namespace crocuslatch
