#include "src/http_client.h"

#include <QIODevice>
#include <QNetworkAccessManager>
#include <QNetworkProxy>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QPointer>
#include <QTimer>
#include <QUrl>
#include <algorithm>
#include <cstring>
#include <map>
#include <set>

namespace crocuslatch {
namespace {

// QNetworkAccessManager opens this many connections to one host and port and
// silently queues further requests.
constexpr int kConnectionsPerManager = 6;

// Each manager has a thread of its own, so spare ones are not kept for long.
constexpr int kSpareManagers = 4;

// After a pause of the whole process a timer is due before the answers that
// arrived meanwhile are read. They get this long.
constexpr Millis kTimeoutGrace{20};

// The platform's values are at most 1 MB; a longer whole answer is a fault.
constexpr std::size_t kMaxWholeBytes = 32 << 20;

// A request body that Qt cannot rewind. QNetworkAccessManager sends a request
// again if the connection closes before the answer, POST included; a body that
// cannot be read twice makes it report an error instead.
class OneTimeBody : public QIODevice {
 public:
  explicit OneTimeBody(std::string data) : data_(std::move(data)) {
    open(QIODevice::ReadOnly | QIODevice::Unbuffered);
  }
  bool isSequential() const override { return true; }
  bool reset() override { return false; }
  bool atEnd() const override { return position_ == data_.size(); }
  qint64 bytesAvailable() const override {
    return static_cast<qint64>(data_.size() - position_) +
           QIODevice::bytesAvailable();
  }

 protected:
  qint64 readData(char* buf, qint64 max_size) override {
    const auto n =
        std::min(static_cast<std::size_t>(max_size), data_.size() - position_);
    std::memcpy(buf, data_.data() + position_, n);
    position_ += n;
    return static_cast<qint64>(n);
  }
  qint64 writeData(const char*, qint64) override { return -1; }

 private:
  std::string data_;
  std::size_t position_ = 0;
};

QByteArray ToBytes(std::string_view text) {
  return {text.data(), static_cast<qsizetype>(text.size())};
}

bool HasHeader(const HttpHeaders& headers, std::string_view name) {
  return !FindHeader(headers, name).empty();
}

QNetworkRequest MakeRequest(const HttpRequest& request) {
  QNetworkRequest result(QUrl::fromEncoded(ToBytes(request.url)));
  const auto set = [&result](QNetworkRequest::Attribute key, auto value) {
    result.setAttribute(key, static_cast<int>(value));
  };
  set(QNetworkRequest::RedirectPolicyAttribute,
      QNetworkRequest::ManualRedirectPolicy);
  set(QNetworkRequest::CacheLoadControlAttribute,
      QNetworkRequest::AlwaysNetwork);
  // Cookies and credentials of one answer must not reach another request.
  set(QNetworkRequest::CookieLoadControlAttribute, QNetworkRequest::Manual);
  set(QNetworkRequest::CookieSaveControlAttribute, QNetworkRequest::Manual);
  set(QNetworkRequest::AuthenticationReuseAttribute, QNetworkRequest::Manual);
  result.setAttribute(QNetworkRequest::Http2AllowedAttribute, false);
  result.setAttribute(QNetworkRequest::DoNotBufferUploadDataAttribute, true);
  result.setRawHeader("User-Agent", "crocuslatch");
  // Also keeps Qt from decoding bodies, so that lengths stay comparable.
  result.setRawHeader("Accept-Encoding", "identity");
  if (!HasHeader(request.headers, "Content-Type") && !request.body.empty()) {
    result.setRawHeader("Content-Type", "application/octet-stream");
  }
  for (const auto& [name, value] : request.headers) {
    result.setRawHeader(ToBytes(name), ToBytes(value));
  }
  result.setHeader(QNetworkRequest::ContentLengthHeader,
                   static_cast<qint64>(request.body.size()));
  return result;
}

HttpHeaders ReadHeaders(const QNetworkReply& reply) {
  HttpHeaders result;
  for (const auto& [name, value] : reply.rawHeaderPairs()) {
    result.emplace_back(name.toStdString(), value.toStdString());
  }
  return result;
}

int ReadStatus(const QNetworkReply& reply) {
  return reply.attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
}

// Errors by which Qt reports the status of a whole answer.
bool IsStatusError(QNetworkReply::NetworkError error) {
  switch (error) {
    case QNetworkReply::ContentAccessDenied:
    case QNetworkReply::ContentOperationNotPermittedError:
    case QNetworkReply::ContentNotFoundError:
    case QNetworkReply::AuthenticationRequiredError:
    case QNetworkReply::ProxyAuthenticationRequiredError:
    case QNetworkReply::ContentConflictError:
    case QNetworkReply::ContentGoneError:
    case QNetworkReply::UnknownContentError:
    case QNetworkReply::ProtocolInvalidOperationError:
    case QNetworkReply::InternalServerError:
    case QNetworkReply::OperationNotImplementedError:
    case QNetworkReply::ServiceUnavailableError:
    case QNetworkReply::UnknownServerError:
      return true;
    default:
      return false;
  }
}

HttpEnd EndOf(const QNetworkReply& reply) {
  const auto error = reply.error();
  if (error == QNetworkReply::NoError && ReadStatus(reply) > 0) {
    return HttpEnd::kComplete;
  }
  if (IsStatusError(error) && ReadStatus(reply) >= 400) {
    return HttpEnd::kComplete;
  }
  if (error == QNetworkReply::ConnectionRefusedError ||
      error == QNetworkReply::HostNotFoundError ||
      error == QNetworkReply::ProtocolUnknownError) {
    return HttpEnd::kNotSent;
  }
  return HttpEnd::kBroken;
}

std::string ServerOf(const QUrl& url) {
  return url.authority(QUrl::FullyEncoded).toStdString();
}

// One QNetworkAccessManager and the number of requests on it, by server.
struct Manager {
  std::unique_ptr<QNetworkAccessManager> network;
  std::map<std::string, int> in_flight;
  int total = 0;
  // A retired manager takes no new request and is deleted when it is idle.
  bool retired = false;
  std::uint64_t number = 0;
};

class ManagerPool {
 public:
  std::uint64_t newest() const { return created_; }

  // Counts one request to `server` on a manager with a free connection.
  std::shared_ptr<Manager> Take(const std::string& server) {
    const auto it = std::ranges::find_if(managers_, [&](const auto& manager) {
      return !manager->retired &&
             manager->in_flight[server] < kConnectionsPerManager;
    });
    auto manager = it == managers_.end() ? Add() : *it;
    ++manager->in_flight[server];
    ++manager->total;
    return manager;
  }

  void Return(Manager& manager, const std::string& server) {
    --manager.in_flight[server];
    --manager.total;
    Trim();
  }

  // Idle connections that are as old as a silent one may be dead, too: the
  // next requests to the server use new ones.
  void RetireConnections(const std::string& server, std::uint64_t newest) {
    for (const auto& it : managers_) {
      if (it->number <= newest && it->in_flight.contains(server)) {
        it->retired = true;
      }
    }
  }

 private:
  std::shared_ptr<Manager> Add() {
    auto manager = std::make_shared<Manager>();
    manager->network = std::make_unique<QNetworkAccessManager>();
    manager->network->setProxy(QNetworkProxy::NoProxy);
    manager->number = ++created_;
    managers_.push_back(manager);
    return manager;
  }

  void Trim() {
    int spare = 0;
    std::erase_if(managers_, [&spare](const std::shared_ptr<Manager>& it) {
      const bool removable =
          it->total == 0 && (it->retired || ++spare > kSpareManagers);
      if (removable) {
        // Trim runs inside signals of the manager's replies.
        it->network.release()->deleteLater();
      }
      return removable;
    });
  }

  std::vector<std::shared_ptr<Manager>> managers_;
  std::uint64_t created_ = 0;
};

}  // namespace

struct HttpCall::State : std::enable_shared_from_this<HttpCall::State> {
  HttpHooks hooks;
  Millis stall_timeout{0};
  std::string server;
  ManagerPool* pool = nullptr;
  std::shared_ptr<Manager> manager;
  // Newest manager when the request was sent.
  std::uint64_t newest_manager = 0;
  // Removes the state from the client's set of calls.
  std::function<void(const std::shared_ptr<State>&)> remove;
  QPointer<QNetworkReply> reply;
  // Also the context of all connections; deleted later, because the state
  // may end inside the timer's signal.
  QPointer<QTimer> timer = new QTimer;
  bool in_grace = false;
  bool headers_seen = false;
  bool cancelled = false;
  bool ended = false;

  State() = default;
  State(const State&) = delete;
  State& operator=(const State&) = delete;
  ~State() { Detach(); }

  void Wait(Millis timeout) {
    in_grace = false;
    timer->start(timeout);
  }

  bool IsActive() const { return !ended && !cancelled; }

  void OnHeaders() {
    if (!IsActive() || headers_seen || ReadStatus(*reply) == 0) {
      return;
    }
    headers_seen = true;
    Wait(stall_timeout);
    if (hooks.on_headers) {
      hooks.on_headers(ReadStatus(*reply), ReadHeaders(*reply));
    }
  }

  void OnData() {
    OnHeaders();
    if (!IsActive()) {
      return;
    }
    Wait(stall_timeout);
    const QByteArray data = reply->readAll();
    if (!data.isEmpty() && hooks.on_data) {
      hooks.on_data({data.data(), static_cast<std::size_t>(data.size())});
    }
  }

  void OnFinished() {
    const HttpEnd end = EndOf(*reply);
    if (end == HttpEnd::kComplete) {
      OnData();
    }
    if (IsActive()) {
      End(end);
    }
  }

  void OnTimer() {
    if (!in_grace) {
      in_grace = true;
      timer->start(kTimeoutGrace);
      return;
    }
    pool->RetireConnections(server, newest_manager);
    End(HttpEnd::kTimedOut);
  }

  // Drops the connection unless the answer is whole.
  void Detach() {
    ended = true;
    if (reply) {
      // Only our connections: the reply needs its own signals to abort.
      reply->disconnect(timer);
      reply->abort();
      reply->deleteLater();
      reply = nullptr;
    }
    if (timer) {
      timer->disconnect();
      timer->stop();
      timer->deleteLater();
      timer = nullptr;
    }
  }

  void End(HttpEnd end) {
    if (ended) {
      return;
    }
    const auto keep = shared_from_this();
    Detach();
    remove(keep);
    pool->Return(*manager, server);
    manager.reset();
    const auto done = std::exchange(hooks, {});
    if (done.on_end) {
      done.on_end(end);
    }
  }

  void Cancel() {
    if (!IsActive()) {
      return;
    }
    cancelled = true;
    timer->stop();
    // on_end runs from the event loop, so that a hook may cancel.
    QTimer::singleShot(0, timer, [state = weak_from_this()] {
      if (const auto it = state.lock()) {
        it->End(HttpEnd::kCancelled);
      }
    });
  }

  void Connect() {
    QObject::connect(reply, &QNetworkReply::metaDataChanged, timer,
                     [this] { OnHeaders(); });
    QObject::connect(reply, &QNetworkReply::readyRead, timer,
                     [this] { OnData(); });
    QObject::connect(reply, &QNetworkReply::finished, timer,
                     [this] { OnFinished(); });
    timer->setSingleShot(true);
    QObject::connect(timer, &QTimer::timeout, timer, [this] { OnTimer(); });
  }
};

void HttpCall::Cancel() {
  if (state_) {
    state_->Cancel();
  }
}

struct HttpClient::Pool {
  ManagerPool managers;
  std::set<std::shared_ptr<HttpCall::State>> calls;
};

HttpClient::HttpClient() : pool_(std::make_unique<Pool>()) {}

HttpClient::~HttpClient() {
  for (const auto& it : pool_->calls) {
    it->Detach();
    it->manager.reset();
    it->hooks = {};
  }
}

HttpCall HttpClient::Send(const HttpRequest& request, HttpHooks hooks) {
  const QNetworkRequest network_request = MakeRequest(request);
  const auto state = std::make_shared<HttpCall::State>();
  state->hooks = std::move(hooks);
  state->stall_timeout = request.stall_timeout;
  state->server = ServerOf(network_request.url());
  state->pool = &pool_->managers;
  state->manager = pool_->managers.Take(state->server);
  state->newest_manager = pool_->managers.newest();
  state->remove = [pool = pool_.get()](const auto& it) {
    pool->calls.erase(it);
  };
  pool_->calls.insert(state);

  // GET and DELETE get an empty body, too: Qt sends a request again if it
  // has no body to rewind.
  auto* body = new OneTimeBody(request.body);
  state->reply = state->manager->network->sendCustomRequest(
      network_request, ToBytes(request.method), body);
  body->setParent(state->reply);
  state->Connect();
  state->Wait(request.first_byte_timeout);

  HttpCall call;
  call.state_ = state;
  return call;
}

HttpCall HttpClient::SendWhole(const HttpRequest& request,
                               WholeCallback callback) {
  struct Answer {
    int status = 0;
    HttpHeaders headers;
    std::string body;
    HttpCall call;
    bool too_long = false;
  };
  const auto answer = std::make_shared<Answer>();
  HttpHooks hooks;
  hooks.on_headers = [answer](int status, const HttpHeaders& headers) {
    answer->status = status;
    answer->headers = headers;
  };
  hooks.on_data = [answer](std::string_view data) {
    answer->body += data;
    if (answer->body.size() > kMaxWholeBytes) {
      answer->too_long = true;
      answer->call.Cancel();
    }
  };
  hooks.on_end = [answer, callback = std::move(callback)](HttpEnd end) {
    const auto result = answer->too_long ? HttpEnd::kBroken : end;
    const bool whole = result == HttpEnd::kComplete;
    callback(result, whole ? answer->status : 0, answer->headers, answer->body);
  };
  HttpCall call = Send(request, std::move(hooks));
  answer->call = call;
  return call;
}

std::string_view FindHeader(const HttpHeaders& headers, std::string_view name) {
  const auto same = [](char a, char b) {
    const auto lower = [](char c) {
      return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    };
    return lower(a) == lower(b);
  };
  const auto it = std::ranges::find_if(headers, [&](const auto& header) {
    return std::ranges::equal(header.first, name, same);
  });
  return it == headers.end() ? std::string_view() : it->second;
}

}  // namespace crocuslatch
