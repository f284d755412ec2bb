#include "app/front.h"

#include <time.h>

#include <QRandomGenerator>
#include <algorithm>
#include <utility>

#include "app/desired_state_follower.h"
#include "app/forwarding.h"
#include "app/server_registry_reader.h"
#include "io/http_client.h"
#include "io/http_front.h"
#include "platform/backend_entry_codec.h"
#include "platform/desired_state_codec.h"
#include "platform/kv_store.h"
#include "platform/wire_names.h"
#include "src/grant_table.h"
#include "src/ip_endpoint.h"
#include "src/log.h"
#include "src/shard_writer.h"

namespace crocuslatch {
namespace {

// The balancer takes a host out after two missed probes, one each second, so
// new connections may come this long after a planned stop begins.
constexpr Millis kOutOfRotation{2500};
// Wait between two looks at what a planned stop still waits for.
constexpr Millis kStopPoll{50};
// Kept free at the end of the grace time to return what is held.
constexpr Millis kStopReserve{1000};
// Ledger shards; each write carries the accounts of one shard.
constexpr std::uint32_t kLedgerShards = 2;
// Reserve of each client account: a host that is cut off from the store serves
// on for this long.
constexpr Millis kSpareTime{10000};
// Most of what a budget has left that one host keeps in reserve.
constexpr double kReservePart = 1.0 / 3;
// About one request with a long prompt.
constexpr Tokens kSpareFloor = 20000;

// Time that goes on while the host is suspended, so that whatever runs out is
// judged by it.
Millis BootNow() {
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::duration_cast<Millis>(std::chrono::seconds(now.tv_sec) +
                                            std::chrono::nanoseconds(
                                                now.tv_nsec));
}

EventLoop MakeFrontLoop() {
  auto loop = MakeQtEventLoop();
  loop.now = &BootNow;
  return loop;
}

HttpFrontOptions ListenOptions(const std::string& address) {
  const auto endpoint = ParseIpEndpoint(address);
  CROCUSLATCH_ASSERT(endpoint.has_value());
  return {.address = endpoint->address, .port = endpoint->port};
}

}  // namespace

struct Front::Core : std::enable_shared_from_this<Front::Core> {
  explicit Core(const FrontSettings& settings)
      : settings(settings),
        loop(MakeFrontLoop()),
        store(platform::MakeKvStore({.address = settings.store_address}, loop,
                                    &store_client)),
        placement({}, settings.failure_domain),
        retries({.window = settings.retry_window,
                 .ratio = settings.retry_ratio * 0.85}),
        holder(MakeHolderId(settings.host_name)) {}

  const FrontSettings settings;
  const EventLoop loop;
  HttpClient store_client;
  HttpClient client;
  Store store;
  Placement placement;
  RetryBudget retries;
  const HolderId holder;
  std::unique_ptr<DesiredStateFollower> follower;
  std::unique_ptr<ServerRegistryReader> registry;
  std::unique_ptr<GrantTable> grants;
  std::shared_ptr<ForwardContext> context;
  std::unique_ptr<HttpFront> callers;
  std::unique_ptr<HttpFront> readiness;
  std::unique_ptr<HttpFront> metrics;
  bool is_stopping = false;
  Millis stop_began{0};

  void Start() {
    StartBudgets();
    StartContext();
    follower = std::make_unique<DesiredStateFollower>(
        DesiredStateFollowerOptions{
            .key = std::string(platform::kDesiredStateKey)},
        store, loop, &platform::DecodeDesiredState,
        [this](const RoutingTablePointer& it) { OnDesiredState(it); });
    registry = std::make_unique<ServerRegistryReader>(
        ServerRegistryReaderOptions{
            .prefix = std::string(platform::kServersPrefix)},
        store, loop, &platform::DecodeBackendEntry,
        [this](const auto& it) { placement.SetServers(it, loop.now()); });
    callers = std::make_unique<HttpFront>(
        ListenOptions(settings.caller_address),
        [this](const IncomingRequest& request, HttpReply reply) {
          ForwardRequest(context, request, std::move(reply));
        });
    callers->SetLimits(MakeLimits(CallerLimits{}));
    readiness = std::make_unique<HttpFront>(
        ListenOptions(settings.readiness_address),
        [this](const IncomingRequest& request, HttpReply reply) {
          AnswerProbe(request, std::move(reply));
        });
    metrics = std::make_unique<HttpFront>(
        ListenOptions(settings.metrics_address),
        [](const IncomingRequest&, HttpReply reply) {
          reply.SendWhole(200, {{"Content-Type", "text/plain"}}, "");
        });
    LogLine(LogEvent::kStarted)
        .Add("host", settings.host_name)
        .Add("incarnation", ToString(holder))
        .Add("failure_domain", settings.failure_domain)
        .Add("callers", settings.caller_address)
        .Add("store", settings.store_address);
    follower->Start();
    registry->Start();
  }

  void StartBudgets() {
    auto options = MakeShardWriterOptions();
    options.settle_delay = Millis{20};
    GrantTableOptions grant_options;
    grant_options.shard_count = kLedgerShards;
    grant_options.settle_period = Millis{5000};
    grant_options.use_window = Millis{5000};
    grant_options.spare_time = kSpareTime;
    grant_options.spare_floor = kSpareFloor;
    grant_options.top_up_period = Millis{2000};
    grant_options.idle_return = Millis{10000};
    grant_options.recall_wait = Millis{0};
    grant_options.settles_sums = true;
    grant_options.reserve_part = kReservePart;
    grant_options.tight_part = 0.25;
    grant_options.refusal_time = Millis{300};
    grant_options.spent_part = 0.97;
    grants = std::make_unique<GrantTable>(
        grant_options, holder, loop, MakeShardWriter(options, store, loop),
        [this](const std::string& name) -> std::optional<Tokens> {
          const auto table = follower->current();
          const auto* account =
              table ? table->FindAccountByName(name) : nullptr;
          return account == nullptr ? std::nullopt : account->prepaid;
        });
  }

  void StartContext() {
    context = std::make_shared<ForwardContext>();
    context->loop = loop;
    context->client = &client;
    context->placement = &placement;
    context->retries = &retries;
    context->routing = [this] { return follower->current(); };
    context->reserve = [this](const std::string& account, Tokens amount,
                              Millis wait, auto callback) {
      grants->Reserve(account, amount, wait, std::move(callback));
    };
    context->settle = [this](const std::string& account, Tokens reserved,
                             Tokens used) {
      const auto key = RequestKey{QRandomGenerator::global()->generate64(),
                                  QRandomGenerator::global()->generate64()};
      grants->Settle(account, reserved, {key, used});
    };
    context->random = [] {
      return QRandomGenerator::global()->generateDouble();
    };
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

  bool IsReady() const {
    return !is_stopping && follower->current() &&
           registry->last_reading().has_value();
  }

  void AnswerProbe(const IncomingRequest& request, HttpReply reply) {
    const bool is_probe = request.path == platform::kReadinessPath;
    const int status = !is_probe ? 404 : IsReady() ? 200 : 503;
    reply.SendWhole(status, {}, "");
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
    callers->StopKeepingConnections();
    loop.after(kOutOfRotation, [self = shared_from_this(),
                                stopped = std::move(stopped)] {
      self->callers->StopListening();
      self->WaitForRequests(stopped);
    });
  }

  void WaitForRequests(const std::function<void()>& stopped) {
    const bool has_time =
        loop.now() < stop_began + settings.grace - kStopReserve;
    if (callers->open_requests() > 0 && has_time) {
      loop.after(kStopPoll, [self = shared_from_this(), stopped] {
        self->WaitForRequests(stopped);
      });
      return;
    }
    grants->ReturnAll(stopped);
    loop.after(kStopReserve / 2, stopped);
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
