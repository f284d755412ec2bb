#include "src/load_poller.h"

#include <fmt/format.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <map>

#include "src/error.h"
#include "src/log.h"

namespace crocuslatch {
namespace {

// Cache events are requested with every n-th poll of the load.
constexpr std::uint64_t kPollsPerEventPoll = 4;

struct PollState {
  Millis next_poll{0};
  bool is_in_flight = false;
  std::uint64_t poll_count = 0;
  // Sequence number of the last cache event received.
  qint64 last_event_number = 0;
};

}  // namespace

struct LoadPoller::Core : std::enable_shared_from_this<LoadPoller::Core> {
  LoadPollerOptions options;
  EventLoop loop;
  HttpClient* client = nullptr;
  std::shared_ptr<BackendTable> table;
  std::function<void()> on_capacity_change;
  std::map<std::string, PollState> poll_states;

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
    const auto view = table->View();
    // A removed server's address may be used by another one later, which must
    // not inherit its state.
    std::erase_if(poll_states, [&](const auto& state) {
      return std::ranges::find(view, state.first, &BackendStatus::server) ==
             view.end();
    });
    for (const auto& it : view) {
      // Servers that this router does not use are polled by others.
      if (it.own_slots == 0) {
        continue;
      }
      auto& state = poll_states[it.server];
      if (state.is_in_flight || now < state.next_poll) {
        continue;
      }
      state.next_poll = now + options.period;
      state.is_in_flight = true;
      ++state.poll_count;
      PollLoad(it);
      if (it.target.starts_with(ModelTarget("")) &&
          state.poll_count % kPollsPerEventPoll == 0) {
        PollCacheEvents(it, state.last_event_number);
      }
    }
  }

  HttpRequest MakeGetRequest(const BackendStatus& server,
                             const std::string& path) const {
    return {.method = "GET",
            .url = fmt::format("http://{}{}", server.address, path),
            .first_byte_timeout = options.timeout,
            .stall_timeout = options.timeout};
  }

  void PollLoad(const BackendStatus& server) {
    client->SendAndCollect(MakeGetRequest(server, "/v1/load"),
                           [weak = weak_from_this(), name = server.server](
                               HttpResult end, int status, const HttpHeaders&,
                               const std::string& body) {
                             const auto self = weak.lock();
                             // Otherwise the server was removed meanwhile.
                             if (self && self->poll_states.contains(name)) {
                               self->poll_states[name].is_in_flight = false;
                               self->OnLoadReport(name, end, status, body);
                             }
                           });
  }

  void OnLoadReport(const std::string& name,
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

  void PollCacheEvents(const BackendStatus& server, qint64 after) {
    client->SendAndCollect(
        MakeGetRequest(server, fmt::format("/v1/cache_events?after={}", after)),
        [weak = weak_from_this(), name = server.server](
            HttpResult end, int status, const HttpHeaders&,
            const std::string& body) {
          const auto self = weak.lock();
          if (self && end == HttpResult::kComplete && status == 200 &&
              self->poll_states.contains(name)) {
            self->OnCacheEvents(name, body);
          }
        });
  }

  // Events may be late or missing, so they serve only as hints.
  void OnCacheEvents(const std::string& name, const std::string& body) {
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
    // A restarted server numbers its events from the beginning again.
    poll_states[name].last_event_number = json["last"].toInteger();
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
