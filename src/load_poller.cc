#include "src/load_poller.h"

#include <fmt/format.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <map>

#include "src/error.h"
#include "src/log.h"

namespace crocuslatch {
namespace {

// Cache events are asked for with each n-th load report.
constexpr std::uint64_t kReportsForEvents = 4;

struct Polled {
  Millis next{0};
  bool is_waiting = false;
  std::uint64_t polls = 0;
  // Number of the last cache event seen.
  qint64 last_event = 0;
};

}  // namespace

struct LoadPoller::Core : std::enable_shared_from_this<LoadPoller::Core> {
  LoadPollerOptions options;
  EventLoop loop;
  HttpClient* client = nullptr;
  std::shared_ptr<BackendTable> table;
  std::function<void()> on_capacity_change;
  std::map<std::string, Polled> polled;

  void Tick() {
    Poll();
    on_capacity_change();
    loop.after(options.capacity_check_period, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->Tick();
      }
    });
  }

  void Poll() {
    const auto now = loop.now();
    for (const auto& it : table->View()) {
      // Servers that this router does not use are left to others.
      if (it.own_slots == 0) {
        continue;
      }
      auto& polled_server = polled[it.server];
      if (polled_server.is_waiting || now < polled_server.next) {
        continue;
      }
      polled_server.next = now + options.period;
      polled_server.is_waiting = true;
      ++polled_server.polls;
      AskLoad(it);
      if (it.target.starts_with(ModelTarget("")) &&
          polled_server.polls % kReportsForEvents == 0) {
        AskEvents(it, polled_server.last_event);
      }
    }
  }

  HttpRequest Get(const BackendStatus& server, const std::string& path) const {
    return {.method = "GET",
            .url = fmt::format("http://{}{}", server.address, path),
            .first_byte_timeout = options.timeout,
            .stall_timeout = options.timeout};
  }

  void AskLoad(const BackendStatus& server) {
    client->SendAndCollect(Get(server, "/v1/load"),
                           [weak = weak_from_this(), name = server.server](
                               HttpResult end, int status, const HttpHeaders&,
                               const std::string& body) {
                             if (const auto self = weak.lock()) {
                               self->polled[name].is_waiting = false;
                               self->OnLoad(name, end, status, body);
                             }
                           });
  }

  void OnLoad(const std::string& name,
              HttpResult end,
              int status,
              const std::string& body) const {
    if (end == HttpResult::kNotSent) {
      table->CountFailure(name);
    }
    if (end != HttpResult::kComplete || status != 200) {
      return;
    }
    try {
      table->UpdateLoad(name, ParseLoadReport(body));
      on_capacity_change();
    } catch (const UserError& error) {
      Log(LogEvent::kBadInput, "load report of {}: {}; {}", name, error.what(),
          error.remedy());
    }
  }

  void AskEvents(const BackendStatus& server, qint64 after) {
    client->SendAndCollect(
        Get(server, fmt::format("/v1/cache_events?after={}", after)),
        [weak = weak_from_this(), name = server.server](
            HttpResult end, int status, const HttpHeaders&,
            const std::string& body) {
          const auto self = weak.lock();
          if (self && end == HttpResult::kComplete && status == 200) {
            self->OnEvents(name, body);
          }
        });
  }

  // Events may be late or missing; they are used as hints only.
  void OnEvents(const std::string& name, const std::string& body) {
    const auto json = QJsonDocument::fromJson(QByteArray::fromStdString(body));
    for (const auto& it : json["events"].toArray()) {
      const auto event = it.toObject();
      bool is_hash = false;
      const auto hash = event["hash"].toString().toULongLong(&is_hash, 16);
      const auto bytes = event["bytes"].toInteger();
      if (!is_hash || bytes <= 0) {
        continue;
      }
      if (event["kind"].toString() == "stored") {
        table->AddPrefix(name, hash, static_cast<std::size_t>(bytes));
      } else {
        table->RemovePrefix(name, hash);
      }
    }
    // A restarted server counts from the beginning again.
    polled[name].last_event = json["last"].toInteger();
  }
};

LoadPoller::LoadPoller(LoadPollerOptions options,
                       EventLoop loop,
                       HttpClient* client,
                       std::shared_ptr<BackendTable> table,
                       std::function<void()> on_capacity_change)
    : core_(std::make_shared<Core>()) {
  core_->options = options;
  core_->loop = std::move(loop);
  core_->client = client;
  core_->table = std::move(table);
  core_->on_capacity_change = std::move(on_capacity_change);
  core_->loop.post([weak = std::weak_ptr(core_)] {
    if (const auto self = weak.lock()) {
      self->Tick();
    }
  });
}

LoadPoller::~LoadPoller() = default;

}  // namespace crocuslatch
