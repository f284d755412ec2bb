#include "io/http_server.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
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
#include <functional>
#include <iterator>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "io/http_parser.h"
#include "src/log.h"

namespace crocuslatch {
namespace {

// Maximum buffered part of a streamed response. A caller that leaves more than
// this unread is disconnected.
constexpr qint64 kMaxUnsentBytes = 8 << 20;

constexpr int kListenBacklog = 1024;

// Maximum number of bytes of pipelined requests that are buffered while a
// response is in progress. Reading continues in this time, because only a read
// shows that the caller has disconnected.
constexpr std::size_t kMaxPipelinedBytes = 256 << 10;

// Size of Qt's read buffer of a connection if its memory is charged: before the
// end of a request's head and while reading has stopped, and within a body.
constexpr qint64 kSmallReadBytes = 4 << 10;
constexpr qint64 kBodyReadBytes = 16 << 10;

// Estimate of what an idle connection takes beside its buffers.
constexpr std::size_t kConnectionBytes = 8 << 10;

// The next request of a connection waits while more than this of the previous
// responses is unsent, if memory is charged.
constexpr qint64 kMaxUnsentBeforeNext = 256 << 10;

// Responses of more than this are not copied to be sent with their head.
constexpr std::size_t kMaxCopiedBody = 64 << 10;

// While reading is stopped for some connections: interval at which they are
// tried again, and time after which others yield even if the account is not
// full.
constexpr Millis kReliefInterval{50};
constexpr Millis kPauseTime{200};
constexpr int kYieldRetryAfterSeconds = 1;

// A connection that has been idle for less than this is not closed in favour of
// a new one; its first request may be on its way.
constexpr Millis kMinIdleTime{100};
// Fraction of the connections that are closed at once, so that they are not
// searched again for each new one.
constexpr std::size_t kClosedFraction = 32;

// A connection whose data stays unacknowledged for this long is closed
// (TCP_USER_TIMEOUT), so that a partitioned caller does not keep its request in
// flight for minutes.
constexpr unsigned int kUnacknowledgedTimeoutMs = 10000;

// Time for a caller to close its side of the connection after the last
// response.
constexpr Millis kCloseTimeout{2000};

// Time from the end of listening until idle connections are closed: a request
// that was sent on a connection before it was accepted has arrived by then.
constexpr Millis kStopReadTime{100};

constexpr int kBadGateway = 502;

// Maximum interval between timeout checks, and the number of checks within the
// shortest timeout.
constexpr Millis kMaxSweepInterval{250};
constexpr int kSweepsPerTimeout = 4;

UserError ListenError(const HttpServerOptions& options, int error_number) {
  return {
      "listen_failed",
      fmt::format("cannot listen on {}:{}: {}", options.address, options.port,
                  qt_error_string(error_number).toStdString()),
      "free the port, or change the address or port in the settings"};
}

// Owns a file descriptor and closes it unless released.
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

// Returns a size of 0 if `address` is not an IP address.
SocketAddress MakeSocketAddress(const std::string& address,
                                std::uint16_t port) {
  SocketAddress result;
  const QHostAddress host(QString::fromStdString(address));
  if (host.protocol() == QAbstractSocket::IPv4Protocol) {
    sockaddr_in v4{};
    v4.sin_family = AF_INET;
    v4.sin_port = htons(port);
    v4.sin_addr.s_addr = htonl(host.toIPv4Address());
    std::memcpy(&result.storage, &v4, sizeof v4);
    result.size = sizeof v4;
  } else if (host.protocol() == QAbstractSocket::IPv6Protocol) {
    sockaddr_in6 v6{};
    v6.sin6_family = AF_INET6;
    v6.sin6_port = htons(port);
    const Q_IPV6ADDR bytes = host.toIPv6Address();
    std::memcpy(&v6.sin6_addr, &bytes, sizeof bytes);
    std::memcpy(&result.storage, &v6, sizeof v6);
    result.size = sizeof v6;
  }
  return result;
}

// Opens a listening socket through system calls, because QTcpServer::listen
// cannot set SO_REUSEPORT.
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
  const bool is_listening =
      socket.get() >= 0 && set(SO_REUSEADDR) &&
      (!options.reuse_port || set(SO_REUSEPORT)) &&
      ::bind(socket.get(), reinterpret_cast<const sockaddr*>(&address.storage),
             address.size) == 0 &&
      ::listen(socket.get(), kListenBacklog) == 0;
  if (!is_listening) {
    throw ListenError(options, errno);
  }
  return socket.Release();
}

RequestError BodyTooLarge(std::size_t limit) {
  return {413, Outcome::kNotRun, "body_too_large",
          fmt::format("the request is larger than {} bytes", limit),
          "send a smaller request"};
}

RequestError HeaderTooLarge(std::size_t limit) {
  return {431, Outcome::kNotRun, "header_too_large",
          fmt::format("the headers are larger than {} bytes", limit),
          "send smaller headers"};
}

RequestError MalformedRequest() {
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

// A complete error response, after which the connection is closed.
std::string FinalErrorResponse(const RequestError& error,
                               int retry_after_seconds = 0) {
  const std::string body = ErrorBody(error);
  HttpHeaders headers{{"Content-Type", "application/json"},
                      {"Content-Length", std::to_string(body.size())},
                      {"Connection", "close"}};
  if (retry_after_seconds > 0) {
    headers.emplace_back("Retry-After", std::to_string(retry_after_seconds));
  }
  return FormatHead(StatusLine(error.http_status()), headers) + body;
}

RequestError MemoryFull() {
  return {503, Outcome::kNotRun, "memory_full",
          "the router's memory for unfinished requests is full",
          "send the request again after the given time"};
}

IncomingRequest MakeIncoming(const HttpRequestHead& head, SharedBytes body) {
  const auto question_mark =
      std::min(head.target.find('?'), head.target.size());
  return {.method = head.method,
          .path = head.target.substr(0, question_mark),
          .query = question_mark < head.target.size()
                       ? head.target.substr(question_mark + 1)
                       : std::string(),
          .headers = head.headers,
          .body = std::move(body),
          .target = head.target};
}

// A caller's connection; handles one request at a time.
class CallerConnection : public QObject {
 public:
  using OnRequest = std::function<void(CallerConnection&, IncomingRequest)>;

  CallerConnection(qintptr descriptor,
                   const HttpLimits* limits,
                   OnRequest on_request,
                   std::function<void(CallerConnection*)> on_closed,
                   std::shared_ptr<const MemoryHooks> memory,
                   std::function<void()> on_paused)
      : memory_(std::move(memory)),
        charge_(memory_),
        on_paused_(std::move(on_paused)),
        limits_(limits),
        on_request_(std::move(on_request)),
        on_closed_(std::move(on_closed)) {
    is_valid_ = socket_.setSocketDescriptor(descriptor);
    const int fd = static_cast<int>(descriptor);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    ::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUnacknowledgedTimeoutMs,
                 sizeof kUnacknowledgedTimeoutMs);
    connect(&socket_, &QTcpSocket::readyRead, this, [this] { OnBytes(); });
    // Queued, because a write that fails emits the signal from inside Send. The
    // caller of Send would go on with a connection that has just been closed.
    connect(
        &socket_, &QTcpSocket::disconnected, this, [this] { CloseNow(); },
        Qt::QueuedConnection);
    deadline_ = SteadyNow() + limits_->idle_timeout;
    last_progress_ = SteadyNow();
    if (memory_) {
      socket_.setReadBufferSize(kSmallReadBytes);
      connect(&socket_, &QTcpSocket::bytesWritten, this, [this] { OnSent(); });
      UpdateCharge();
    }
  }

  bool is_valid() const { return is_valid_; }
  bool is_responding() const { return is_responding_; }
  bool is_idle() const {
    return !is_responding_ && !is_closing_ && !parser_ && buffer_.empty() &&
           Peek() == PeekResult::kNothing;
  }
  bool IsConnected() const {
    return !is_closing_ && socket_.state() == QAbstractSocket::ConnectedState;
  }
  qint64 unsent_bytes() const { return socket_.bytesToWrite(); }
  bool HasEnded() const {
    return Peek() == PeekResult::kEnded || (memory_ && IsHungUp());
  }
  bool is_paused() const { return is_paused_; }
  bool can_yield() const { return !is_responding_; }
  Millis idle_time(Millis now) const {
    return is_paused_ ? Millis{0} : now - last_progress_;
  }
  HeldMemory Held(Millis now) const {
    return {charge_.bytes(), idle_time(now)};
  }
  std::string Address() const {
    return fmt::format("{}:{}", socket_.peerAddress().toString().toStdString(),
                       socket_.peerPort());
  }

  // Limits what is read ahead of the next decision.
  void ShrinkReadBuffer() { socket_.setReadBufferSize(kSmallReadBytes); }

  // Reads on if the account allows it.
  void TryResume() {
    if (is_paused_ && !is_closing_) {
      OnBytes();
    }
  }

  // Frees the memory: refuses the unfinished request, or closes. Returns
  // whether the caller gets a refusal.
  bool Yield() {
    const bool has_begun =
        parser_ || !buffer_.empty() || socket_.bytesAvailable() > 0;
    if (!has_begun || is_closing_ || socket_.bytesToWrite() > 0) {
      CloseNow();
      return false;
    }
    is_paused_ = false;
    parser_.reset();
    std::string().swap(buffer_);
    const bool is_sent =
        Send(FinalErrorResponse(MemoryFull(), kYieldRetryAfterSeconds));
    if (is_sent) {
      CloseGracefully();
      socket_.readAll();
    }
    UpdateCharge();
    return is_sent;
  }

  void OnConnectionLost(std::function<void()> hook) {
    on_connection_lost_ = std::move(hook);
  }

  // Returns false if the connection is closed or breaks. The hook of a lost
  // connection then runs from the event loop.
  bool Send(std::string_view bytes) {
    socket_.write(bytes.data(), static_cast<qint64>(bytes.size()));
    socket_.flush();
    UpdateCharge();
    return IsConnected();
  }

  bool Send(std::string_view head, std::string_view body) {
    socket_.write(head.data(), static_cast<qint64>(head.size()));
    socket_.write(body.data(), static_cast<qint64>(body.size()));
    socket_.flush();
    return Send({});
  }

  // The response has ended; the next request may follow.
  void FinishResponse() {
    on_connection_lost_ = {};
    is_responding_ = false;
    last_progress_ = SteadyNow();
    deadline_ = last_progress_ + limits_->idle_timeout;
    running_head_bytes_ = 0;
    UpdateCharge();
    ContinueLater();
  }

  // Sends the buffered data, shuts down the sending side and waits for the
  // caller to close its side. Closing the socket while bytes from the caller
  // are unread would reset the connection and could discard the response.
  void CloseGracefully() {
    on_connection_lost_ = {};
    is_responding_ = false;
    is_closing_ = true;
    deadline_ = SteadyNow() + kCloseTimeout;
    connect(&socket_, &QTcpSocket::bytesWritten, this,
            [this] { ShutDownWhenSent(); });
    ShutDownWhenSent();
  }

  // Closes at once; a response in progress stays incomplete.
  void CloseNow() {
    disconnect(&socket_, nullptr, this, nullptr);
    socket_.abort();
    is_closing_ = true;
    is_paused_ = false;
    parser_.reset();
    std::string().swap(buffer_);
    charge_.Set(0);
    deleteLater();
    if (const auto on_connection_lost =
            std::exchange(on_connection_lost_, {})) {
      on_connection_lost();
    }
    if (const auto on_closed = std::exchange(on_closed_, {})) {
      on_closed(this);
    }
  }

  void CheckTimeout(Millis now) {
    // Nothing is read while reading has stopped, so that the event loop does
    // not notice the end of the connection.
    const bool is_unread = is_paused_ || is_responding_;
    if (memory_ && is_unread && socket_.bytesAvailable() > 0 && IsHungUp()) {
      CloseNow();
      return;
    }
    if (is_responding_ || now < deadline_) {
      return;
    }
    CloseNow();
  }

 private:
  enum class PeekResult { kNothing, kBytes, kEnded };

  // Returns what the kernel has received and the event loop has not read yet.
  PeekResult Peek() const {
    char byte = 0;
    const auto n = ::recv(static_cast<int>(socket_.socketDescriptor()), &byte,
                          1, MSG_PEEK | MSG_DONTWAIT);
    if (n > 0) {
      return PeekResult::kBytes;
    }
    const bool is_open =
        n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    return is_open ? PeekResult::kNothing : PeekResult::kEnded;
  }

  // True if the caller has closed its side, even if it has sent unread data
  // before.
  bool IsHungUp() const {
    pollfd it{static_cast<int>(socket_.socketDescriptor()), POLLRDHUP, 0};
    return ::poll(&it, 1, 0) > 0;
  }

  void UpdateCharge() {
    if (!memory_ || (is_closing_ && !IsOpenSocket())) {
      return;
    }
    const auto unsent = static_cast<std::size_t>(socket_.bytesToWrite());
    // Qt frees a block of its write buffer only when all of it is sent.
    unsent_peak_ = unsent == 0 ? 0 : std::max(unsent_peak_, unsent);
    charge_.Set(kConnectionBytes + buffer_.capacity() + unsent_peak_ +
                static_cast<std::size_t>(socket_.bytesAvailable()) +
                running_head_bytes_ +
                (parser_ ? parser_->head_bytes() + parser_->body_bytes() : 0));
  }

  bool IsOpenSocket() const {
    return socket_.state() == QAbstractSocket::ConnectedState;
  }

  void OnSent() {
    last_progress_ = SteadyNow();
    UpdateCharge();
    if (is_waiting_to_send_ && socket_.bytesToWrite() <= kMaxUnsentBeforeNext) {
      is_waiting_to_send_ = false;
      ContinueLater();
    }
  }

  // Handles what has arrived meanwhile. Deferred, so that no request is handled
  // inside the call that ended the response.
  void ContinueLater() {
    if (buffer_.empty() && socket_.bytesAvailable() == 0) {
      return;
    }
    QTimer::singleShot(0, this, [this] {
      Parse({});
      if (memory_ && !is_responding_ && !is_closing_ &&
          socket_.bytesAvailable() > 0) {
        OnBytes();
      }
    });
  }

  // Returns false if nothing may be read now.
  bool MayRead() {
    if (!memory_) {
      return true;
    }
    if (is_responding_) {
      UpdateCharge();
      return false;
    }
    if (socket_.bytesToWrite() > kMaxUnsentBeforeNext) {
      is_waiting_to_send_ = true;
      UpdateCharge();
      return false;
    }
    if (!memory_->may_read(charge_.bytes() - kConnectionBytes)) {
      ShrinkReadBuffer();
      UpdateCharge();
      if (!std::exchange(is_paused_, true)) {
        on_paused_();
      }
      return false;
    }
    is_paused_ = false;
    last_progress_ = SteadyNow();
    return true;
  }

  void ShutDownWhenSent() {
    if (socket_.bytesToWrite() == 0) {
      ::shutdown(static_cast<int>(socket_.socketDescriptor()), SHUT_WR);
    }
  }

  void OnBytes() {
    if (is_closing_) {
      socket_.readAll();
      return;
    }
    if (!MayRead()) {
      return;
    }
    const auto bytes = socket_.readAll();
    const std::string_view view(bytes.data(),
                                static_cast<std::size_t>(bytes.size()));
    if (is_responding_) {
      buffer_.append(view);
      if (buffer_.size() > kMaxPipelinedBytes) {
        CloseNow();
      }
      return;
    }
    Parse(view);
  }

  // Parses the buffered bytes and `more`. Bytes that the parser has consumed
  // are not buffered, so that a body is held once.
  void Parse(std::string_view more) {
    if (is_responding_ || is_closing_ || (buffer_.empty() && more.empty())) {
      return;
    }
    if (!parser_) {
      parser_ = std::make_unique<HttpRequestParser>(limits_->max_header_bytes,
                                                    limits_->max_body_bytes);
      request_start_ = SteadyNow();
      deadline_ = request_start_ + limits_->header_timeout;
    }
    const bool had_head = parser_->is_head_done();
    if (!buffer_.empty()) {
      buffer_.append(more);
    }
    const auto result = parser_->Parse(buffer_.empty() ? more : buffer_);
    if (buffer_.empty()) {
      buffer_ = more.substr(result.used);
    } else {
      buffer_.erase(0, result.used);
      if (buffer_.empty()) {
        std::string().swap(buffer_);
      }
    }
    if (memory_ && parser_->is_head_done() && !had_head) {
      socket_.setReadBufferSize(kBodyReadBytes);
    }
    UpdateCharge();
    if (!had_head && parser_->is_head_done()) {
      deadline_ = request_start_ + limits_->request_timeout;
      if (result.state == ParseState::kNeedsMore &&
          parser_->head().expects_continue) {
        Send("HTTP/1.1 100 Continue\r\n\r\n");
      }
    }
    switch (result.state) {
      case ParseState::kNeedsMore:
        // What the parser cannot consume yet is an incomplete line of the head,
        // a chunk header or a trailer.
        if (buffer_.size() > limits_->max_header_bytes) {
          Reject(HeaderTooLarge(limits_->max_header_bytes));
        }
        return;
      case ParseState::kDone:
        Handle();
        return;
      case ParseState::kHeaderTooLarge:
        Reject(HeaderTooLarge(limits_->max_header_bytes));
        return;
      case ParseState::kBodyTooLarge:
        Reject(BodyTooLarge(limits_->max_body_bytes));
        return;
      case ParseState::kMalformed:
        Reject(MalformedRequest());
        return;
    }
  }

  void Handle() {
    is_responding_ = true;
    const auto parser = std::move(parser_);
    if (memory_) {
      ShrinkReadBuffer();
      // The request and the forwarded one have a copy each.
      running_head_bytes_ = 2 * parser->head_bytes();
      UpdateCharge();
    }
    auto body = parser->TakeBody();
    MemoryCharge charge(memory_);
    charge.Set(body.capacity());
    on_request_(*this,
                MakeIncoming(parser->head(),
                             SharedBytes(std::move(body), std::move(charge))));
  }

  void Reject(const RequestError& error) {
    Log(LogEvent::kBadInput, "{}:{}: {}",
        socket_.peerAddress().toString().toStdString(), socket_.peerPort(),
        error.what());
    // No further input of this connection is parsed.
    if (Send(FinalErrorResponse(error))) {
      CloseGracefully();
    }
  }

  // Null if memory is not charged.
  std::shared_ptr<const MemoryHooks> memory_;
  MemoryCharge charge_;
  std::function<void()> on_paused_;
  const HttpLimits* limits_;
  OnRequest on_request_;
  std::function<void(CallerConnection*)> on_closed_;
  QTcpSocket socket_;
  std::unique_ptr<HttpRequestParser> parser_;
  std::string buffer_;
  std::function<void()> on_connection_lost_;
  Millis request_start_{0};
  Millis deadline_{0};
  Millis last_progress_{0};
  std::size_t unsent_peak_ = 0;
  std::size_t running_head_bytes_ = 0;
  // Reading has stopped, since the memory is short.
  bool is_paused_ = false;
  // Reading has stopped until more of the last response is sent.
  bool is_waiting_to_send_ = false;
  bool is_valid_ = false;
  bool is_responding_ = false;
  bool is_closing_ = false;
};

// Passes on accepted descriptors instead of QTcpSocket objects.
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

// Server state that responses use; outlives the server.
struct ServerState {
  std::size_t open_requests = 0;
  bool closes_connections = false;
  bool destroyed = false;
};

// Counts one request as open until its destruction, so that it cannot be
// subtracted twice.
class OpenRequest {
 public:
  explicit OpenRequest(std::shared_ptr<ServerState> server)
      : server_(std::move(server)) {
    ++server_->open_requests;
  }
  ~OpenRequest() { --server_->open_requests; }
  OpenRequest(const OpenRequest&) = delete;
  OpenRequest& operator=(const OpenRequest&) = delete;

 private:
  std::shared_ptr<ServerState> server_;
};

}  // namespace

struct HttpReply::State {
  std::shared_ptr<ServerState> server;
  QPointer<CallerConnection> socket;
  std::function<void()> on_disconnect;
  // Empty after the end of the response.
  std::optional<OpenRequest> open_request;
  bool is_head = false;
  bool close_after = false;
  bool streaming = false;

  bool IsOpen() const {
    return open_request && socket && socket->IsConnected();
  }

  std::string Head(int status, HttpHeaders headers) {
    close_after = close_after || server->closes_connections;
    if (close_after) {
      headers.emplace_back("Connection", "close");
    }
    return FormatHead(StatusLine(status), headers);
  }

  // Sends the last bytes of the response. Keeps the connection for the next
  // request unless it must be closed. If the bytes cannot be sent, the request
  // ends in OnConnectionLost instead.
  void SendLast(std::string_view bytes, std::string_view body = {}) {
    if (!(body.empty() ? socket->Send(bytes) : socket->Send(bytes, body))) {
      return;
    }
    open_request.reset();
    on_disconnect = {};
    if (close_after) {
      socket->CloseGracefully();
    } else {
      socket->FinishResponse();
    }
  }

  void OnConnectionLost() {
    if (!open_request) {
      return;
    }
    open_request.reset();
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
  if (state_->is_head) {
    body = {};
  } else if (body.size() <= kMaxCopiedBody) {
    bytes += body;
    body = {};
  }
  state_->SendLast(bytes, body);
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
  state_->SendLast(state_->is_head ? "" : "0\r\n\r\n");
}

void HttpReply::Abort() {
  if (IsOpen()) {
    state_->open_request.reset();
    state_->on_disconnect = {};
    state_->socket->CloseNow();
  }
}

void HttpReply::CloseAfterResponse() {
  if (state_) {
    state_->close_after = true;
  }
}

void HttpReply::OnDisconnect(std::function<void()> hook) {
  if (state_ && state_->open_request) {
    state_->on_disconnect = std::move(hook);
  }
}

bool HttpReply::IsOpen() const {
  return state_ && state_->IsOpen();
}

std::size_t HttpReply::unsent_bytes() const {
  return IsOpen() ? static_cast<std::size_t>(state_->socket->unsent_bytes())
                  : 0;
}

bool HttpReply::HasCallerLeft() const {
  return !IsOpen() || state_->socket->HasEnded();
}

class HttpServer::Impl {
 public:
  Impl(const HttpServerOptions& options, HttpHandler handler)
      : handler_(std::move(handler)),
        unread_time_(options.unread_time),
        memory_(options.memory),
        max_connections_(options.max_connections),
        on_yield_(options.on_yield),
        listener_([this](qintptr it) { Accept(it); }) {
    Descriptor descriptor(OpenListener(options));
    if (!listener_.setSocketDescriptor(descriptor.get())) {
      throw ListenError(options, EBADF);
    }
    descriptor.Release();
    // By default, accepting pauses after 30 connections in one iteration of the
    // event loop.
    listener_.setMaxPendingConnections(kListenBacklog);
    port_ = listener_.serverPort();
    limits_.max_body_bytes = options.max_body_bytes;
    limits_.request_timeout = options.request_timeout;
    limits_.header_timeout = options.request_timeout;
    QObject::connect(&sweep_, &QTimer::timeout, &sweep_, [this] { Sweep(); });
    relief_.setInterval(kReliefInterval);
    QObject::connect(&relief_, &QTimer::timeout, &relief_,
                     [this] { Relieve(); });
    StartSweep();
  }

  ~Impl() {
    state_->destroyed = true;
    for (auto* it : std::set(sockets_)) {
      it->CloseNow();
    }
  }

  std::uint16_t port() const { return port_; }
  std::size_t open_requests() const { return state_->open_requests; }
  std::size_t open_connections() const { return sockets_.size(); }

  void SetLimits(const HttpLimits& limits) {
    limits_ = limits;
    StartSweep();
  }

  void SetKeepAlive(bool keep_alive) {
    state_->closes_connections = !keep_alive;
  }

  void StopListening() {
    SetKeepAlive(false);
    // Closing would reset connections that the kernel has already accepted, so
    // they are taken over first.
    for (int n = 0; n < kListenBacklog; ++n) {
      if (!listener_.isListening() || !listener_.waitForNewConnection(0)) {
        break;
      }
    }
    listener_.close();
    // A connection that was accepted just now may hold a request that is not
    // read yet, so connections are closed only once the event loop has read
    // what they sent. Connections with a request in progress close after its
    // response.
    QTimer::singleShot(kStopReadTime, &sweep_, [this] { CloseIdle(); });
  }

  // Closes the connections on which no request has begun.
  void CloseIdle() {
    for (auto* it : std::set(sockets_)) {
      if (it->is_idle()) {
        it->CloseGracefully();
      }
    }
  }

 private:
  void Accept(qintptr descriptor) {
    if (max_connections_ > 0 && sockets_.size() >= max_connections_ &&
        !CloseLongestIdle()) {
      ::close(static_cast<int>(descriptor));
      return;
    }
    auto* socket = new CallerConnection(
        descriptor, &limits_,
        [this](CallerConnection& it, IncomingRequest request) {
          Handle(it, std::move(request));
        },
        [this](CallerConnection* it) { sockets_.erase(it); }, memory_,
        [this] { OnPaused(); });
    if (!socket->is_valid()) {
      ::close(static_cast<int>(descriptor));
      delete socket;
      return;
    }
    sockets_.insert(socket);
  }

  // Closes connections that have been idle longest. Returns false if there are
  // none.
  bool CloseLongestIdle() {
    const Millis now = SteadyNow();
    std::vector<CallerConnection*> idle;
    std::ranges::copy_if(sockets_, std::back_inserter(idle), [now](auto* it) {
      return it->can_yield() && it->idle_time(now) >= kMinIdleTime;
    });
    const auto n =
        std::min(idle.size(), max_connections_ / kClosedFraction + 1);
    std::ranges::partial_sort(
        idle, idle.begin() + static_cast<std::ptrdiff_t>(n), std::greater(),
        [now](const auto* it) { return it->idle_time(now); });
    for (std::size_t i = 0; i < n; ++i) {
      const auto held = idle[i]->Held(now);
      auto address = idle[i]->Address();
      idle[i]->CloseNow();
      ReportYield(
          {std::move(address), "connections", false, held.bytes, held.idle});
    }
    return n > 0;
  }

  void ReportYield(const YieldedCaller& it) {
    if (on_yield_) {
      on_yield_(it);
    }
  }

  void OnPaused() {
    if (relief_.isActive()) {
      return;
    }
    paused_since_ = SteadyNow();
    for (auto* it : sockets_) {
      it->ShrinkReadBuffer();
    }
    relief_.start();
  }

  // Resumes reading where the account allows it. If some still have to wait,
  // those that hold much and have been idle long yield.
  void Relieve() {
    ResumePaused();
    if (!IsPaused()) {
      relief_.stop();
      return;
    }
    if (memory_->is_full() || SteadyNow() - paused_since_ >= kPauseTime) {
      YieldMemory();
      paused_since_ = SteadyNow();
      ResumePaused();
    }
  }

  bool IsPaused() const {
    return std::ranges::any_of(sockets_,
                               [](auto* it) { return it->is_paused(); });
  }

  void ResumePaused() {
    for (auto* it : std::set(sockets_)) {
      it->TryResume();
    }
  }

  void YieldMemory() {
    const Millis now = SteadyNow();
    std::vector<CallerConnection*> able;
    std::vector<HeldMemory> held;
    for (auto* it : sockets_) {
      if (it->can_yield()) {
        able.push_back(it);
        held.push_back(it->Held(now));
      }
    }
    for (const auto i : memory_->choose_yielding(held)) {
      auto address = able[i]->Address();
      const bool is_refused = able[i]->Yield();
      ReportYield({std::move(address), "memory", is_refused, held[i].bytes,
                   held[i].idle});
    }
  }

  void Handle(CallerConnection& socket, IncomingRequest request) {
    if (unread_time_) {
      request.unread_time = unread_time_();
    }
    const auto state = std::make_shared<HttpReply::State>();
    state->server = state_;
    state->socket = &socket;
    state->is_head = request.method == "HEAD";
    state->close_after =
        HasToken(FindHeader(request.headers, "Connection"), "close");
    state->open_request.emplace(state_);
    socket.OnConnectionLost([state] { state->OnConnectionLost(); });
    HttpReply reply;
    reply.state_ = state;
    try {
      handler_(request, reply);
    } catch (const std::exception& error) {
      LogLine(LogEvent::kUnexpectedError)
          .Add("message", error.what())
          .Add("target", request.target);
      // Has no effect if the response has begun; the caller then sees it end
      // at its time limit.
      reply.SendError({kBadGateway, Outcome::kOutcomeUnknown,
                       "unexpected_error", "the request handler failed",
                       "the request may have run; check before sending it "
                       "again"});
    }
  }

  void StartSweep() {
    const Millis shortest =
        std::min({limits_.header_timeout, limits_.request_timeout,
                  limits_.idle_timeout});
    sweep_.start(
        std::clamp(shortest / kSweepsPerTimeout, Millis{1}, kMaxSweepInterval));
  }

  void Sweep() {
    const Millis now = SteadyNow();
    for (auto* it : std::set(sockets_)) {
      it->CheckTimeout(now);
    }
    // Responses may fill the memory while no caller waits to be read.
    if (memory_ && memory_->is_full() && !relief_.isActive()) {
      YieldMemory();
    }
  }

  HttpHandler handler_;
  std::function<Millis()> unread_time_;
  const std::shared_ptr<const MemoryHooks> memory_;
  const std::size_t max_connections_;
  const std::function<void(const YieldedCaller&)> on_yield_;
  HttpLimits limits_;
  Listener listener_;
  std::uint16_t port_ = 0;
  QTimer sweep_;
  QTimer relief_;
  Millis paused_since_{0};
  std::set<CallerConnection*> sockets_;
  std::shared_ptr<ServerState> state_ = std::make_shared<ServerState>();
};

HttpServer::HttpServer(const HttpServerOptions& options, HttpHandler handler)
    : impl_(std::make_unique<Impl>(options, std::move(handler))) {}

HttpServer::~HttpServer() = default;

std::uint16_t HttpServer::port() const {
  return impl_->port();
}

void HttpServer::SetLimits(const HttpLimits& limits) {
  impl_->SetLimits(limits);
}

void HttpServer::StopListening() {
  impl_->StopListening();
}

void HttpServer::SetKeepAlive(bool keep_alive) {
  impl_->SetKeepAlive(keep_alive);
}

std::size_t HttpServer::open_requests() const {
  return impl_->open_requests();
}

std::size_t HttpServer::open_connections() const {
  return impl_->open_connections();
}

}  // namespace crocuslatch
