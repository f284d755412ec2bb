#include "src/host_list.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include "src/log.h"

namespace crocuslatch {
namespace {

std::optional<HostEntry> ParseHost(const QJsonObject& json) {
  const auto text = [&json](QLatin1StringView name) {
    return json.value(name).toString().toStdString();
  };
  const auto kind = text(QLatin1StringView("kind"));
  const auto state = text(QLatin1StringView("state"));
  HostEntry result{
      .name = text(QLatin1StringView("name")),
      .kind = kind == "router" ? HostKind::kRouter : HostKind::kBackend,
      .address = text(QLatin1StringView("address")),
      .failure_domain = text(QLatin1StringView("failure_domain")),
      .state = state == "live" ? HostState::kLive : HostState::kLeaving};
  const bool valid = !result.name.empty() &&
                     (kind == "router" || kind == "backend") &&
                     (state == "live" || state == "leaving");
  return valid ? std::optional(std::move(result)) : std::nullopt;
}

}  // namespace

std::optional<std::vector<HostEntry>> ParseHostList(std::string_view json) {
  const auto document = QJsonDocument::fromJson(
      QByteArray(json.data(), static_cast<qsizetype>(json.size())));
  std::vector<HostEntry> result;
  for (const auto& it : document.array()) {
    auto host = ParseHost(it.toObject());
    if (!host) {
      return std::nullopt;
    }
    result.push_back(*std::move(host));
  }
  return result.empty() ? std::nullopt : std::optional(std::move(result));
}

struct HostListPoller::State
    : std::enable_shared_from_this<HostListPoller::State> {
  HostListOptions options;
  EventLoop loop;
  HttpClient* client = nullptr;
  ListCallback on_list;
  std::vector<HostEntry> latest;
  HttpCall call;
  bool available = true;

  void Poll() {
    const HttpRequest request{.method = "GET",
                              .url = options.base_url + "/v1/hosts",
                              .first_byte_timeout = options.timeout,
                              .stall_timeout = options.timeout};
    call = client->SendAndCollect(
        request,
        [self = weak_from_this()](HttpResult, int status, const HttpHeaders&,
                                  const std::string& body) {
          if (const auto it = self.lock()) {
            it->OnAnswer(status, body);
          }
        });
  }

  void OnAnswer(int status, const std::string& body) {
    const auto hosts = status == 200 ? ParseHostList(body) : std::nullopt;
    loop.after(options.period, [self = weak_from_this()] {
      if (const auto it = self.lock()) {
        it->Poll();
      }
    });
    NoteAvailable(hosts.has_value(), status);
    if (hosts) {
      latest = *hosts;
      on_list(*hosts);
    }
  }

  void NoteAvailable(bool now_available, int status) {
    if (available && !now_available) {
      Log(LogEvent::kHostListUnavailable, "{}: status {}", options.base_url,
          status);
    }
    available = now_available;
  }
};

HostListPoller::HostListPoller(const HostListOptions& options,
                               const EventLoop& loop,
                               HttpClient* client,
                               ListCallback on_list)
    : state_(std::make_shared<State>()) {
  state_->options = options;
  state_->loop = loop;
  state_->client = client;
  state_->on_list = std::move(on_list);
  state_->Poll();
}

HostListPoller::~HostListPoller() {
  state_->call.Cancel();
}

const std::vector<HostEntry>& HostListPoller::latest() const {
  return state_->latest;
}

}  // namespace crocuslatch
