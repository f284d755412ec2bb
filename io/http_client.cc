#include "io/http_client.h"

#include <fmt/format.h>

#include <QTimer>
#include <algorithm>
#include <charconv>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "io/http_parser.h"
#include "io/memory_charge.h"
#include "io/tcp_socket.h"
#include "src/ip_endpoint.h"

namespace crocuslatch {
namespace {

// After the whole process was suspended, timers fire before the data that
// arrived in the meantime is read. An expired timeout therefore waits this much
// longer.
constexpr Millis kTimeoutGrace{20};

// Limit for collected responses. The platform's values are at most 1 MB, so a
// longer response is an error.
constexpr std::size_t kMaxCollectedBytes = 8 << 20;

// Limit for received bytes that the parser cannot consume yet: an incomplete
// line of a head, a chunk header or a trailer. A faulty server may send such a
// line without end.
constexpr std::size_t kMaxUnparsedBytes = 64 << 10;

// Limit for responses to other requests that are skipped while a request waits
// for its own. One of them is as large as a collected response at most.
constexpr std::size_t kMaxSkippedBytes = kMaxCollectedBytes;

// Maximum number of idle connections per server; the least recently used
// ones beyond it are closed.
constexpr std::size_t kMaxIdlePerServer = 64;

struct Target {
  std::string authority;
  std::string path;
};

Target SplitUrl(std::string_view url) {
  constexpr std::string_view kScheme = "http://";
  if (url.starts_with(kScheme)) {
    url.remove_prefix(kScheme.size());
  }
  const auto slash = std::min(url.find('/'), url.size());
  Target target{std::string(url.substr(0, slash)),
                std::string(url.substr(slash))};
  if (target.path.empty()) {
    target.path.push_back('/');
  }
  return target;
}

// Returns all but the body.
std::string SerializeHead(const HttpRequest& request, const Target& target) {
  std::string bytes = request.method;
  bytes.append(" ").append(target.path).append(" HTTP/1.1\r\n");
  const auto add = [&bytes](std::string_view name, std::string_view value) {
    bytes.append(name).append(": ").append(value).append("\r\n");
  };
  if (FindHeader(request.headers, "Host").empty()) {
    add("Host", target.authority);
  }
  for (const auto& [name, value] : request.headers) {
    add(name, value);
  }
  const bool has_body = !request.body.empty() || request.method == "POST" ||
                        request.method == "PUT" || request.method == "PATCH";
  if (has_body) {
    add("Content-Length", std::to_string(request.body.size()));
  }
  bytes += "\r\n";
  return bytes;
}

// Returns the idle timeout from the Keep-Alive header, if there is one.
std::optional<Millis> KeepAliveTimeout(const HttpHeaders& headers) {
  constexpr std::string_view kTimeout = "timeout=";
  const auto value = FindHeader(headers, "Keep-Alive");
  const auto at = value.find(kTimeout);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  int seconds = 0;
  const auto digits = value.substr(at + kTimeout.size());
  const auto [rest, ec] =
      std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (ec != std::errc() || seconds < 0) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

Millis SteadyNow() {
  return std::chrono::duration_cast<Millis>(
      std::chrono::steady_clock::now().time_since_epoch());
}

}  // namespace

std::string_view ToString(HttpResult end) {
  switch (end) {
    case HttpResult::kComplete:
      return "complete";
    case HttpResult::kNotSent:
      return "not_sent";
    case HttpResult::kBroken:
      return "broken";
    case HttpResult::kTimedOut:
      return "timed_out";
    case HttpResult::kTooLarge:
      return "too_large";
    case HttpResult::kCancelled:
      return "cancelled";
  }
  return "broken";
}

struct HttpCall::State {
  // Code that runs a hook must hold a copy of the pointer, since the hook may
  // end the call. Null after the end to break the reference cycle: the hooks
  // usually own the owner of the call.
  std::shared_ptr<const HttpHooks> hooks;
  // Null before the start and after the end.
  HttpClient::Connection* connection = nullptr;
  bool is_new_connection = true;
  bool is_ended_by_connection = false;
};

struct HttpClient::Pool {
  explicit Pool(const HttpClientOptions& options) : options(options) {}
  ~Pool();

  Connection* TakeIdle(const std::string& authority);
  void KeepIdle(Connection* it);
  void DropIdle(const std::string& authority);
  void Remove(Connection* it);

  const HttpClientOptions options;
  // Receiver of queued calls.
  QObject context;
  // Idle connections by authority, most recently used last.
  std::map<std::string, std::vector<Connection*>> idle;
  std::set<Connection*> all;
};

// One connection to a server; handles one request at a time.
class HttpClient::Connection : public QObject {
 public:
  Connection(Pool* pool, std::string authority)
      : pool_(pool),
        authority_(std::move(authority)),
        socket_({.on_connected = [this] { OnConnected(); },
                 .on_bytes = [this](auto bytes) { OnBytes(bytes); },
                 .read_limit = [this] { return ReadLimit(); },
                 .on_end = [this](TcpCloseReason end) { OnSocketEnd(end); }}) {
    timer_.setSingleShot(true);
    connect(&timer_, &QTimer::timeout, this, [this] { OnTimer(); });
  }

  const std::string& authority() const { return authority_; }

  void Start(const HttpRequest& request,
             const Target& target,
             std::shared_ptr<HttpCall::State> call) {
    call_ = std::move(call);
    call_->connection = this;
    request_head_ = SerializeHead(request, target);
    request_body_ = request.body;
    first_byte_timeout_ = request.first_byte_timeout;
    stall_timeout_ = request.stall_timeout;
    total_deadline_ = request.total_timeout.count() > 0
                          ? std::optional(SteadyNow() + request.total_timeout)
                          : std::nullopt;
    is_reusable_ = true;
    reported_bytes_ = 0;
    skipped_bytes_ = 0;
    is_sent_ = false;
    has_response_ = false;
    has_no_body_ = request.method == "HEAD";
    MakeParser();
    if (socket_.is_connected()) {
      WriteRequest();
      return;
    }
    StartTimer(request.connect_timeout);
    const auto endpoint = ParseIpEndpoint(authority_);
    if (!endpoint) {
      QTimer::singleShot(0, this, [this] { Finish(HttpResult::kNotSent); });
      return;
    }
    socket_.Connect(*endpoint, pool_->options.unacknowledged_timeout);
  }

  // The hook runs from the event loop, so that Cancel may be called anywhere.
  void Cancel() {
    auto* const context = &pool_->context;
    End(HttpResult::kCancelled, [context](std::function<void()> hook) {
      QMetaObject::invokeMethod(context, std::move(hook), Qt::QueuedConnection);
    });
  }

  void Withdraw(Millis wait) {
    if (!is_sent_ || has_response_) {
      Cancel();
      return;
    }
    is_withdrawn_ = true;
    socket_.CloseSending();
    StartTimer(wait);
  }

  // Detaches the call without calling its hooks.
  void Detach() {
    if (call_) {
      call_->connection = nullptr;
      call_.reset();
    }
  }

  // True if no data has arrived on the idle connection and its idle time has
  // not expired.
  bool IsUsable() const {
    return SteadyNow() < idle_until_ && socket_.IsIdle();
  }

  void CloseIdle() { Discard(); }

 private:
  // Creates the parser for the next response on this connection.
  void MakeParser() {
    is_skipping_ = false;
    parser_ = std::make_unique<HttpResponseParser>(
        has_no_body_,
        HttpResponseHooks{.on_head = [this](const auto& head) { OnHead(head); },
                          .on_body =
                              [this](std::string_view bytes) {
                                if (call_ && !is_skipping_ &&
                                    call_->hooks->on_data) {
                                  const auto hooks = call_->hooks;
                                  hooks->on_data(bytes);
                                }
                              }});
  }

  void OnConnected() {
    if (!call_) {
      return;
    }
    const auto hooks = call_->hooks;
    if (hooks->may_send && !hooks->may_send()) {
      Finish(HttpResult::kNotSent);
      return;
    }
    WriteRequest();
  }

  void WriteRequest() {
    is_sent_ = true;
    has_response_ = false;
    StartTimer(first_byte_timeout_);
    socket_.Write(std::exchange(request_head_, {}),
                  std::exchange(request_body_, {}));
  }

  void StartTimer(Millis timeout) {
    is_in_grace_ = false;
    last_activity_ = SteadyNow();
    timeout_ = timeout;
    timer_.start(std::max(Millis{0}, TimeLeft()));
  }

  // Time until the next timeout; not positive if one has expired.
  Millis TimeLeft() const {
    const Millis now = SteadyNow();
    const Millis left = last_activity_ + timeout_ - now;
    return total_deadline_ ? std::min(left, *total_deadline_ - now) : left;
  }

  void OnTimer() {
    if (const Millis left = TimeLeft(); left > Millis{0}) {
      timer_.start(left);
      return;
    }
    if (!is_in_grace_) {
      is_in_grace_ = true;
      timer_.start(kTimeoutGrace);
      return;
    }
    if (!call_) {
      Discard();
      return;
    }
    if (is_withdrawn_) {
      Finish(HttpResult::kCancelled);
      return;
    }
    Finish(is_sent_ ? HttpResult::kTimedOut : HttpResult::kNotSent);
  }

  void OnHead(const HttpResponseHead& head) {
    if (!call_) {
      return;
    }
    const auto hooks = call_->hooks;
    if (hooks->accepts_response &&
        !hooks->accepts_response(head.status, head.headers)) {
      is_skipping_ = true;
      is_reusable_ = false;
      return;
    }
    is_reusable_ = is_reusable_ && head.keep_alive;
    idle_time_ = pool_->options.max_idle_time;
    if (const auto keep_alive_timeout = KeepAliveTimeout(head.headers)) {
      idle_time_ = std::min(idle_time_,
                            *keep_alive_timeout - pool_->options.idle_margin);
    }
    if (hooks->on_headers) {
      hooks->on_headers(head.status, head.headers);
    }
  }

  // Without a call, a read shows that the server has closed the connection.
  std::size_t ReadLimit() const {
    if (!call_ || is_withdrawn_ || !call_->hooks->read_limit) {
      return kNoReadLimit;
    }
    const auto hooks = call_->hooks;
    return hooks->read_limit();
  }

  void OnBytes(std::string_view bytes) {
    if (!call_) {
      // Unsolicited data: the connection cannot be reused.
      Discard();
      return;
    }
    if (is_withdrawn_) {
      Finish(HttpResult::kBroken);
      return;
    }
    last_activity_ = SteadyNow();
    is_in_grace_ = false;
    if (!has_response_) {
      has_response_ = true;
      StartTimer(stall_timeout_);
    }
    Parse(bytes);
  }

  // Parses the buffered bytes and `more`. Only what the parser cannot consume
  // yet is buffered.
  void Parse(std::string_view more) {
    std::string all;
    auto rest = more;
    if (!buffer_.empty()) {
      all = std::exchange(buffer_, {});
      all += more;
      rest = all;
    }
    while (call_) {
      const auto result = parser_->Parse(rest);
      rest.remove_prefix(result.used);
      buffer_ = rest;
      skipped_bytes_ += is_skipping_ ? result.used : 0;
      if (result.state == ParseState::kHeaderTooLarge ||
          buffer_.size() > kMaxUnparsedBytes ||
          skipped_bytes_ > kMaxSkippedBytes) {
        Finish(HttpResult::kTooLarge);
        return;
      }
      if (result.state == ParseState::kNeedsMore) {
        ReportBuffered();
        return;
      }
      if (result.state != ParseState::kDone) {
        Finish(HttpResult::kBroken);
        return;
      }
      if (!is_skipping_) {
        Finish(HttpResult::kComplete);
        return;
      }
      MakeParser();
      if (buffer_.empty()) {
        return;
      }
    }
  }

  void ReportBuffered() {
    if (std::exchange(reported_bytes_, buffer_.size()) == buffer_.size() ||
        !call_ || !call_->hooks->on_buffered) {
      return;
    }
    const auto hooks = call_->hooks;
    hooks->on_buffered(buffer_.size());
  }

  void OnSocketEnd(TcpCloseReason end) {
    if (!call_) {
      Discard();
      return;
    }
    if (!is_sent_) {
      Finish(HttpResult::kNotSent);
      return;
    }
    is_reusable_ = false;
    if (is_withdrawn_) {
      Finish(HttpResult::kCancelled);
      return;
    }
    if (end == TcpCloseReason::kClosed && !is_skipping_ &&
        parser_->FinishAtClose()) {
      call_->is_ended_by_connection = true;
      Finish(HttpResult::kComplete);
    } else {
      Finish(HttpResult::kBroken);
    }
  }

  void Finish(HttpResult end) {
    End(end, [](const std::function<void()>& hook) { hook(); });
  }

  // Ends the call. The connection is kept only if both messages were
  // transferred completely.
  void End(HttpResult end,
           const std::function<void(std::function<void()>)>& run_hook) {
    if (!call_) {
      return;
    }
    const auto call = std::exchange(call_, nullptr);
    call->connection = nullptr;
    const auto hooks = std::exchange(call->hooks, nullptr);
    timer_.stop();
    const bool keep = end == HttpResult::kComplete && is_reusable_ &&
                      buffer_.empty() && socket_.unsent_bytes() == 0 &&
                      idle_time_.count() > 0 && socket_.is_connected();
    if (keep) {
      idle_until_ = SteadyNow() + idle_time_;
      total_deadline_.reset();
      StartTimer(idle_time_);
      pool_->KeepIdle(this);
    } else {
      Discard();
    }
    if (end == HttpResult::kTimedOut) {
      // The cause of the timeout may affect the other connections to this
      // server as well.
      pool_->DropIdle(authority_);
    }
    if (hooks->on_end) {
      run_hook([hooks, end] { hooks->on_end(end); });
    }
  }

  // Closes at once. Destruction is deferred, since the object may be in use
  // further up the stack.
  void Discard() {
    timer_.stop();
    pool_->Remove(this);
    socket_.Close();
    deleteLater();
  }

  Pool* pool_;
  const std::string authority_;
  TcpSocket socket_;
  QTimer timer_;
  std::shared_ptr<HttpCall::State> call_;
  std::unique_ptr<HttpResponseParser> parser_;
  SharedBytes request_head_;
  SharedBytes request_body_;
  std::string buffer_;
  std::size_t reported_bytes_ = 0;
  std::size_t skipped_bytes_ = 0;
  Millis first_byte_timeout_{0};
  Millis stall_timeout_{0};
  Millis timeout_{0};
  Millis last_activity_{0};
  std::optional<Millis> total_deadline_;
  Millis idle_time_{0};
  Millis idle_until_{0};
  bool is_sent_ = false;
  bool is_withdrawn_ = false;
  bool has_response_ = false;
  bool is_reusable_ = true;
  bool is_skipping_ = false;
  bool is_in_grace_ = false;
  bool has_no_body_ = false;
};

HttpClient::Pool::~Pool() {
  for (auto* it : std::set(std::move(all))) {
    it->Detach();
    delete it;
  }
}

HttpClient::Connection* HttpClient::Pool::TakeIdle(
    const std::string& authority) {
  // Discarding a connection removes it from its list, and the last one also
  // removes the list, so the list is looked up again each time.
  for (auto found = idle.find(authority); found != idle.end();
       found = idle.find(authority)) {
    auto* it = found->second.back();
    if (it->IsUsable()) {
      found->second.pop_back();
      if (found->second.empty()) {
        idle.erase(found);
      }
      return it;
    }
    it->CloseIdle();
  }
  return nullptr;
}

void HttpClient::Pool::KeepIdle(Connection* it) {
  auto& list = idle[it->authority()];
  list.push_back(it);
  if (list.size() > kMaxIdlePerServer) {
    list.front()->CloseIdle();
  }
}

void HttpClient::Pool::DropIdle(const std::string& authority) {
  for (auto found = idle.find(authority); found != idle.end();
       found = idle.find(authority)) {
    found->second.back()->CloseIdle();
  }
}

void HttpClient::Pool::Remove(Connection* it) {
  all.erase(it);
  const auto found = idle.find(it->authority());
  if (found != idle.end()) {
    std::erase(found->second, it);
    if (found->second.empty()) {
      idle.erase(found);
    }
  }
}

void HttpCall::Cancel() {
  if (state_ && state_->connection != nullptr) {
    state_->connection->Cancel();
  }
}

void HttpCall::Withdraw(Millis wait) {
  if (state_ && state_->connection != nullptr) {
    state_->connection->Withdraw(wait);
  }
}

bool HttpCall::is_on_new_connection() const {
  return state_ && state_->is_new_connection;
}

bool HttpCall::is_ended_by_connection() const {
  return state_ && state_->is_ended_by_connection;
}

HttpClient::HttpClient(const HttpClientOptions& options)
    : pool_(std::make_unique<Pool>(options)) {}

HttpClient::~HttpClient() = default;

HttpCall HttpClient::Send(const HttpRequest& request, HttpHooks hooks) {
  const auto target = SplitUrl(request.url);
  HttpCall call;
  call.state_ = std::make_shared<HttpCall::State>();
  call.state_->hooks = std::make_shared<const HttpHooks>(std::move(hooks));
  auto* connection = pool_->TakeIdle(target.authority);
  call.state_->is_new_connection = connection == nullptr;
  if (connection == nullptr) {
    connection = new Connection(pool_.get(), target.authority);
    pool_->all.insert(connection);
  }
  connection->Start(request, target, call.state_);
  return call;
}

HttpCall HttpClient::SendAndCollect(const HttpRequest& request,
                                    CollectedCallback callback) {
  struct Collected {
    int status = 0;
    HttpHeaders headers;
    std::string body;
    HttpCall call;
    bool is_too_long = false;
  };
  const auto collected = std::make_shared<Collected>();
  HttpHooks hooks;
  hooks.on_headers = [collected](int status, const HttpHeaders& headers) {
    collected->status = status;
    collected->headers = headers;
  };
  hooks.on_data = [collected](std::string_view data) {
    if (collected->body.size() + data.size() > kMaxCollectedBytes) {
      collected->is_too_long = true;
      collected->call.Cancel();
      return;
    }
    collected->body += data;
  };
  hooks.on_end = [collected, callback = std::move(callback)](HttpResult end) {
    if (collected->is_too_long) {
      end = HttpResult::kTooLarge;
    }
    const bool is_complete = end == HttpResult::kComplete;
    callback(end, is_complete ? collected->status : 0, collected->headers,
             collected->body);
    // Breaks the reference cycle: `collected` holds the call, and the call
    // holds these hooks.
    collected->call = {};
  };
  collected->call = Send(request, std::move(hooks));
  return collected->call;
}

void HttpClient::DropIdle() {
  while (!pool_->idle.empty()) {
    // A copy, since the entry is erased with its last connection.
    pool_->DropIdle(std::string(pool_->idle.begin()->first));
  }
}

bool HttpClient::has_idle_connection(const std::string& authority) const {
  const auto found = pool_->idle.find(authority);
  return found != pool_->idle.end() &&
         std::ranges::any_of(found->second,
                             [](const auto* it) { return it->IsUsable(); });
}

std::size_t HttpClient::open_connections() const {
  return pool_->all.size();
}

}  // namespace crocuslatch
