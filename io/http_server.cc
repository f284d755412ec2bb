#include "io/http_server.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <QHostAddress>
#include <QPointer>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <algorithm>
#include <cerrno>
#include <cstring>
#include <set>
#include <utility>

#include "io/http_parser.h"
#include "src/log.h"

namespace crocuslatch {
namespace {

// Unread part of a streamed answer; a caller that leaves more is cut off.
constexpr qint64 kMaxUnsentBytes = 8 << 20;

constexpr int kListenBacklog = 1024;

// Most bytes of later requests that wait while one is answered. Reading goes
// on meanwhile, because only a read shows that the caller has left.
constexpr std::size_t kMaxPipelinedBytes = 256 << 10;

// Unacknowledged bytes end a connection after this time (TCP_USER_TIMEOUT),
// so that a caller behind a partition does not hold its request for minutes.
constexpr unsigned int kUnacknowledgedTimeoutMs = 10000;

// Time for a caller to close its side after a last answer.
constexpr Millis kCloseTimeout{2000};

// Spacing of the checks of a server's timeouts, and the part of the shortest
// timeout that it must not exceed.
constexpr Millis kLongestSweep{250};
constexpr int kSweepsPerTimeout = 4;

UserError ListenError(const HttpServerOptions& options, int error_number) {
  return {
      "listen_failed",
      fmt::format("cannot listen on {}:{}: {}", options.address, options.port,
                  qt_error_string(error_number).toStdString()),
      "free the port, or change the address or port in the settings"};
}

// Closes the descriptor unless it was handed over.
class Descriptor {
 public:
  explicit Descriptor(int number) : number_(number) {}
  ~Descriptor() {
    if (number_ >= 0) {
      ::close(number_);
    }
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  int get() const { return number_; }
  int Release() { return std::exchange(number_, -1); }

 private:
  int number_;
};

struct SocketAddress {
  sockaddr_storage storage{};
  socklen_t size = 0;
};

// An empty size means that `address` is not an IP number.
SocketAddress MakeSocketAddress(const std::string& address,
                                std::uint16_t port) {
  SocketAddress result;
  const QHostAddress host(QString::fromStdString(address));
  if (host.protocol() == QAbstractSocket::IPv4Protocol) {
    sockaddr_in it{};
    it.sin_family = AF_INET;
    it.sin_port = htons(port);
    it.sin_addr.s_addr = htonl(host.toIPv4Address());
    std::memcpy(&result.storage, &it, sizeof it);
    result.size = sizeof it;
  } else if (host.protocol() == QAbstractSocket::IPv6Protocol) {
    sockaddr_in6 it{};
    it.sin6_family = AF_INET6;
    it.sin6_port = htons(port);
    const Q_IPV6ADDR bytes = host.toIPv6Address();
    std::memcpy(&it.sin6_addr, &bytes, sizeof bytes);
    std::memcpy(&result.storage, &it, sizeof it);
    result.size = sizeof it;
  }
  return result;
}

// Opens a listening socket by system calls, because QTcpServer::listen cannot
// set SO_REUSEPORT.
int OpenListener(const HttpServerOptions& options) {
  const auto address = MakeSocketAddress(options.address, options.port);
  if (address.size == 0) {
    throw ListenError(options, EADDRNOTAVAIL);
  }
  Descriptor socket(::socket(address.storage.ss_family,
                             SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const int on = 1;
  const auto set = [&](int option) {
    return ::setsockopt(socket.get(), SOL_SOCKET, option, &on, sizeof on) == 0;
  };
  const bool listening =
      socket.get() >= 0 && set(SO_REUSEADDR) &&
      (!options.reuse_port || set(SO_REUSEPORT)) &&
      ::bind(socket.get(), reinterpret_cast<const sockaddr*>(&address.storage),
             address.size) == 0 &&
      ::listen(socket.get(), kListenBacklog) == 0;
  if (!listening) {
    throw ListenError(options, errno);
  }
  return socket.Release();
}

RequestError TooLarge(std::size_t limit) {
  return {413, Outcome::kNotRun, "body_too_large",
          fmt::format("the request is larger than {} bytes", limit),
          "send a smaller request"};
}

RequestError HeaderTooLarge(std::size_t limit) {
  return {431, Outcome::kNotRun, "header_too_large",
          fmt::format("the headers are larger than {} bytes", limit),
          "send smaller headers"};
}

RequestError Malformed() {
  return {400, Outcome::kNotRun, "malformed_request",
          "the request is not valid HTTP/1.1", "correct the request"};
}

Millis SteadyNow() {
  return std::chrono::duration_cast<Millis>(
      std::chrono::steady_clock::now().time_since_epoch());
}

std::string StatusLine(int status) {
  return fmt::format("HTTP/1.1 {} {}", status, ReasonPhrase(status));
}

// A whole answer that closes its connection.
std::string LastAnswer(const RequestError& error) {
  const std::string body = ErrorBody(error);
  return FormatHead(StatusLine(error.http_status()),
                    {{"Content-Type", "application/json"},
                     {"Content-Length", std::to_string(body.size())},
                     {"Connection", "close"}}) +
         body;
}

IncomingRequest MakeIncoming(const HttpRequestHead& head, std::string body) {
  const auto mark = std::min(head.target.find('?'), head.target.size());
  return {.method = head.method,
          .path = head.target.substr(0, mark),
          .query = mark < head.target.size() ? head.target.substr(mark + 1)
                                             : std::string(),
          .headers = head.headers,
          .body = std::move(body),
          .target = head.target};
}

// A caller's connection: reads one request at a time.
class CallerSocket : public QObject {
 public:
  using OnRequest = std::function<void(CallerSocket&, const IncomingRequest&)>;

  CallerSocket(qintptr descriptor,
               const HttpLimits* limits,
               OnRequest on_request,
               std::function<void(CallerSocket*)> on_closed)
      : limits_(limits),
        on_request_(std::move(on_request)),
        on_closed_(std::move(on_closed)) {
    is_valid_ = socket_.setSocketDescriptor(descriptor);
    const int fd = static_cast<int>(descriptor);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    ::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUnacknowledgedTimeoutMs,
                 sizeof kUnacknowledgedTimeoutMs);
    connect(&socket_, &QTcpSocket::readyRead, this, [this] { OnBytes(); });
    connect(&socket_, &QTcpSocket::disconnected, this, [this] { Drop(); });
    deadline_ = SteadyNow() + limits_->idle_timeout;
  }

  bool is_valid() const { return is_valid_; }
  bool is_answering() const { return is_answering_; }
  bool is_idle() const {
    return !is_answering_ && !is_closing_ && buffer_.empty();
  }
  bool IsConnected() const {
    return !is_closing_ && socket_.state() == QAbstractSocket::ConnectedState;
  }
  qint64 unsent_bytes() const { return socket_.bytesToWrite(); }

  void OnLost(std::function<void()> hook) { on_lost_ = std::move(hook); }

  void Send(std::string_view bytes) {
    socket_.write(bytes.data(), static_cast<qint64>(bytes.size()));
    socket_.flush();
  }

  // The answer has ended; the next request may follow.
  void EndAnswer() {
    on_lost_ = {};
    is_answering_ = false;
    deadline_ = SteadyNow() + limits_->idle_timeout;
    if (!buffer_.empty()) {
      // Not from inside the call that ended the answer.
      QTimer::singleShot(0, this, [this] { Parse(); });
    }
  }

  // Sends what is buffered, then closes our side and waits for the caller to
  // close the other one: closing both while bytes of the caller are unread
  // resets the connection and may destroy the answer.
  void CloseGently() {
    on_lost_ = {};
    is_answering_ = false;
    is_closing_ = true;
    deadline_ = SteadyNow() + kCloseTimeout;
    connect(&socket_, &QTcpSocket::bytesWritten, this,
            [this] { ShutDownWhenSent(); });
    ShutDownWhenSent();
  }

  // Closes at once; an answer in progress stays incomplete.
  void Drop() {
    disconnect(&socket_, nullptr, this, nullptr);
    socket_.abort();
    is_closing_ = true;
    deleteLater();
    if (const auto on_lost = std::exchange(on_lost_, {})) {
      on_lost();
    }
    if (const auto on_closed = std::exchange(on_closed_, {})) {
      on_closed(this);
    }
  }

  void CheckTimeout(Millis now) {
    if (is_answering_ || now < deadline_) {
      return;
    }
    Drop();
  }

 private:
  void ShutDownWhenSent() {
    if (socket_.bytesToWrite() == 0) {
      ::shutdown(static_cast<int>(socket_.socketDescriptor()), SHUT_WR);
    }
  }

  void OnBytes() {
    const auto bytes = socket_.readAll();
    if (is_closing_) {
      return;
    }
    buffer_.append(bytes.data(), static_cast<std::size_t>(bytes.size()));
    if (is_answering_) {
      if (buffer_.size() > kMaxPipelinedBytes) {
        Drop();
      }
      return;
    }
    Parse();
  }

  void Parse() {
    if (is_answering_ || is_closing_ || buffer_.empty()) {
      return;
    }
    if (!parser_) {
      parser_ = std::make_unique<HttpRequestParser>(limits_->max_header_bytes,
                                                    limits_->max_body_bytes);
      begun_ = SteadyNow();
      deadline_ = begun_ + limits_->header_timeout;
    }
    const bool had_head = parser_->is_head_done();
    const auto result = parser_->Parse(buffer_);
    buffer_.erase(0, result.used);
    if (!had_head && parser_->is_head_done()) {
      deadline_ = begun_ + limits_->request_timeout;
      if (result.state == ParseState::kNeedsMore &&
          parser_->head().expects_continue) {
        Send("HTTP/1.1 100 Continue\r\n\r\n");
      }
    }
    switch (result.state) {
      case ParseState::kNeedsMore:
        return;
      case ParseState::kDone:
        Handle();
        return;
      case ParseState::kHeaderTooLarge:
        Reject(HeaderTooLarge(limits_->max_header_bytes));
        return;
      case ParseState::kBodyTooLarge:
        Reject(TooLarge(limits_->max_body_bytes));
        return;
      case ParseState::kMalformed:
        Reject(Malformed());
        return;
    }
  }

  void Handle() {
    is_answering_ = true;
    const auto parser = std::move(parser_);
    on_request_(*this, MakeIncoming(parser->head(), parser->TakeBody()));
  }

  void Reject(const RequestError& error) {
    Log(LogEvent::kBadInput, "{}:{}: {}",
        socket_.peerAddress().toString().toStdString(), socket_.peerPort(),
        error.what());
    // Nothing else of this connection is parsed.
    Send(LastAnswer(error));
    CloseGently();
  }

  const HttpLimits* limits_;
  OnRequest on_request_;
  std::function<void(CallerSocket*)> on_closed_;
  QTcpSocket socket_;
  std::unique_ptr<HttpRequestParser> parser_;
  std::string buffer_;
  std::function<void()> on_lost_;
  Millis begun_{0};
  Millis deadline_{0};
  bool is_valid_ = false;
  bool is_answering_ = false;
  bool is_closing_ = false;
};

// Hands over descriptors instead of sockets.
class Listener : public QTcpServer {
 public:
  explicit Listener(std::function<void(qintptr)> on_connection)
      : on_connection_(std::move(on_connection)) {}

 protected:
  void incomingConnection(qintptr descriptor) override {
    on_connection_(descriptor);
  }

 private:
  std::function<void(qintptr)> on_connection_;
};

// What answers need of their server; outlives it.
struct ServerState {
  std::size_t open_requests = 0;
  bool closes_connections = false;
  bool destroyed = false;
};

}  // namespace

struct HttpReply::State {
  std::shared_ptr<ServerState> server;
  QPointer<CallerSocket> socket;
  std::function<void()> on_disconnect;
  bool is_head = false;
  bool close_after = false;
  bool streaming = false;
  bool ended = false;

  bool IsOpen() const { return !ended && socket && socket->IsConnected(); }

  std::string Head(int status, HttpHeaders headers) {
    close_after = close_after || server->closes_connections;
    if (close_after) {
      headers.emplace_back("Connection", "close");
    }
    return FormatHead(StatusLine(status), headers);
  }

  void Close() {
    ended = true;
    --server->open_requests;
  }

  // The connection is used again unless it must close.
  void End() {
    Close();
    on_disconnect = {};
    if (close_after) {
      socket->CloseGently();
    } else {
      socket->EndAnswer();
    }
  }

  void OnLost() {
    if (ended) {
      return;
    }
    Close();
    const auto hook = std::exchange(on_disconnect, {});
    if (hook && !server->destroyed) {
      hook();
    }
  }
};

void HttpReply::SendResponse(int status,
                             const HttpHeaders& headers,
                             std::string_view body) {
  if (!IsOpen() || state_->streaming) {
    return;
  }
  HttpHeaders all = headers;
  all.emplace_back("Content-Length", std::to_string(body.size()));
  auto bytes = state_->Head(status, std::move(all));
  if (!state_->is_head) {
    bytes += body;
  }
  state_->socket->Send(bytes);
  state_->End();
}

void HttpReply::SendError(const RequestError& error) {
  HttpHeaders headers{{"Content-Type", "application/json"}};
  if (error.retry_after().count() > 0) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(error.retry_after());
    headers.emplace_back("Retry-After", std::to_string(seconds.count()));
  }
  SendResponse(error.http_status(), headers, ErrorBody(error));
}

void HttpReply::StartStream(int status, const HttpHeaders& headers) {
  if (!IsOpen() || state_->streaming) {
    return;
  }
  state_->streaming = true;
  HttpHeaders all = headers;
  all.emplace_back("Transfer-Encoding", "chunked");
  state_->socket->Send(state_->Head(status, std::move(all)));
}

void HttpReply::Write(std::string_view data) {
  if (!IsOpen() || !state_->streaming || data.empty() || state_->is_head) {
    return;
  }
  if (state_->socket->unsent_bytes() > kMaxUnsentBytes) {
    Abort();
    return;
  }
  state_->socket->Send(fmt::format("{:x}\r\n{}\r\n", data.size(), data));
}

void HttpReply::EndStream() {
  if (!IsOpen() || !state_->streaming) {
    return;
  }
  if (!state_->is_head) {
    state_->socket->Send("0\r\n\r\n");
  }
  state_->End();
}

void HttpReply::Abort() {
  if (IsOpen()) {
    state_->Close();
    state_->on_disconnect = {};
    state_->socket->Drop();
  }
}

void HttpReply::CloseAfterResponse() {
  if (state_) {
    state_->close_after = true;
  }
}

void HttpReply::OnDisconnect(std::function<void()> hook) {
  if (state_ && !state_->ended) {
    state_->on_disconnect = std::move(hook);
  }
}

bool HttpReply::IsOpen() const {
  return state_ && state_->IsOpen();
}

class HttpServer::Impl {
 public:
  Impl(const HttpServerOptions& options, HttpHandler handler)
      : handler_(std::move(handler)),
        listener_([this](qintptr it) { Accept(it); }) {
    Descriptor descriptor(OpenListener(options));
    if (!listener_.setSocketDescriptor(descriptor.get())) {
      throw ListenError(options, EBADF);
    }
    descriptor.Release();
    // Otherwise accepting pauses at 30 connections in one turn of the loop.
    listener_.setMaxPendingConnections(kListenBacklog);
    port_ = listener_.serverPort();
    limits_.max_body_bytes = options.max_body_bytes;
    limits_.request_timeout = options.request_timeout;
    limits_.header_timeout = options.request_timeout;
    QObject::connect(&sweep_, &QTimer::timeout, &sweep_, [this] { Sweep(); });
    StartSweep();
  }

  ~Impl() {
    state_->destroyed = true;
    for (auto* it : std::set(sockets_)) {
      it->Drop();
    }
  }

  std::uint16_t port() const { return port_; }
  std::size_t open_requests() const { return state_->open_requests; }
  std::size_t open_connections() const { return sockets_.size(); }

  void SetLimits(const HttpLimits& limits) {
    limits_ = limits;
    StartSweep();
  }

  void SetKeepAlive(bool keep) { state_->closes_connections = !keep; }

  void StopListening() {
    SetKeepAlive(false);
    // Connections that the kernel has accepted would be reset by closing.
    for (int n = 0; n < kListenBacklog; ++n) {
      if (!listener_.isListening() || !listener_.waitForNewConnection(0)) {
        break;
      }
    }
    listener_.close();
  }

 private:
  void Accept(qintptr descriptor) {
    auto* socket = new CallerSocket(
        descriptor, &limits_,
        [this](CallerSocket& it, const auto& request) { Handle(it, request); },
        [this](CallerSocket* it) { sockets_.erase(it); });
    if (!socket->is_valid()) {
      ::close(static_cast<int>(descriptor));
      delete socket;
      return;
    }
    sockets_.insert(socket);
  }

  void Handle(CallerSocket& socket, const IncomingRequest& request) {
    const auto state = std::make_shared<HttpReply::State>();
    state->server = state_;
    state->socket = &socket;
    state->is_head = request.method == "HEAD";
    state->close_after =
        HasToken(FindHeader(request.headers, "Connection"), "close");
    ++state_->open_requests;
    socket.OnLost([state] { state->OnLost(); });
    HttpReply reply;
    reply.state_ = state;
    handler_(request, std::move(reply));
  }

  void StartSweep() {
    const Millis shortest =
        std::min({limits_.header_timeout, limits_.request_timeout,
                  limits_.idle_timeout});
    sweep_.start(
        std::clamp(shortest / kSweepsPerTimeout, Millis{1}, kLongestSweep));
  }

  void Sweep() {
    const Millis now = SteadyNow();
    for (auto* it : std::set(sockets_)) {
      it->CheckTimeout(now);
    }
  }

  HttpHandler handler_;
  HttpLimits limits_;
  Listener listener_;
  std::uint16_t port_ = 0;
  QTimer sweep_;
  std::set<CallerSocket*> sockets_;
  std::shared_ptr<ServerState> state_ = std::make_shared<ServerState>();
};

HttpServer::HttpServer(const HttpServerOptions& options, HttpHandler handler)
    : server_(std::make_unique<Impl>(options, std::move(handler))) {}

HttpServer::~HttpServer() = default;

std::uint16_t HttpServer::port() const {
  return server_->port();
}

void HttpServer::SetLimits(const HttpLimits& limits) {
  server_->SetLimits(limits);
}

void HttpServer::StopListening() {
  server_->StopListening();
}

void HttpServer::SetKeepAlive(bool keep) {
  server_->SetKeepAlive(keep);
}

std::size_t HttpServer::open_requests() const {
  return server_->open_requests();
}

std::size_t HttpServer::open_connections() const {
  return server_->open_connections();
}

}  // namespace crocuslatch
