#include "src/http_front.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <QAbstractHttpServer>
#include <QHostAddress>
#include <QHttpServerRequest>
#include <QHttpServerResponder>
#include <QMetaMethod>
#include <QPointer>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <QUrl>
#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

#include "src/log.h"

namespace crocuslatch {
namespace {

// Request line and headers; Qt itself has no limit on their sum.
constexpr std::size_t kMaxHeadBytes = 64 << 10;

// Unread part of a streamed answer; a caller that leaves more is cut off.
constexpr qint64 kMaxUnsentBytes = 8 << 20;

// A connection without a request is closed after this time.
constexpr Millis kIdleTimeout{60000};

constexpr int kListenBacklog = 1024;

QByteArray ToBytes(std::string_view text) {
  return {text.data(), static_cast<qsizetype>(text.size())};
}

UserError ListenError(const HttpFrontOptions& options, int error_number) {
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
int OpenListener(const HttpFrontOptions& options) {
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

HttpHeaders ReadHeaders(const QHttpServerRequest& request) {
  HttpHeaders result;
  for (const auto& [name, value] : request.headers()) {
    result.emplace_back(name.toStdString(), value.toStdString());
  }
  return result;
}

std::string ReadMethod(const QHttpServerRequest& request) {
  switch (request.method()) {
    case QHttpServerRequest::Method::Get:
      return "GET";
    case QHttpServerRequest::Method::Put:
      return "PUT";
    case QHttpServerRequest::Method::Delete:
      return "DELETE";
    case QHttpServerRequest::Method::Post:
      return "POST";
    case QHttpServerRequest::Method::Head:
      return "HEAD";
    case QHttpServerRequest::Method::Options:
      return "OPTIONS";
    case QHttpServerRequest::Method::Patch:
      return "PATCH";
    default:
      return "UNKNOWN";
  }
}

IncomingRequest ReadRequest(const QHttpServerRequest& request) {
  const QUrl url = request.url();
  return {.method = ReadMethod(request),
          .path = url.path(QUrl::FullyEncoded).toStdString(),
          .query = url.query(QUrl::FullyEncoded).toStdString(),
          .headers = ReadHeaders(request),
          .body = request.body().toStdString()};
}

bool AsksForClose(const HttpHeaders& headers) {
  return ToBytes(FindHeader(headers, "Connection")).toLower() == "close";
}

std::vector<std::string> HeaderValues(const HttpHeaders& headers,
                                      std::string_view lower_name) {
  std::vector<std::string> result;
  for (const auto& [name, value] : headers) {
    if (ToBytes(name).toLower() == ToBytes(lower_name)) {
      result.push_back(value);
    }
  }
  return result;
}

// True if the length headers state exactly this body. Qt takes a wrong or
// repeated Content-Length as it comes, so the rest of the connection could be
// read as a request that the caller did not send.
bool HasExactLength(const IncomingRequest& request) {
  const auto lengths = HeaderValues(request.headers, "content-length");
  if (!HeaderValues(request.headers, "transfer-encoding").empty()) {
    return lengths.empty();
  }
  const auto size = std::to_string(request.body.size());
  return lengths.empty() ? request.body.empty()
                         : lengths.size() == 1 && lengths[0] == size;
}

RequestError TooLarge(std::size_t limit) {
  return {413, Outcome::kNotRun, "body_too_large",
          fmt::format("the request is larger than {} bytes", limit),
          "send a smaller request"};
}

RequestError Malformed() {
  return {400, Outcome::kNotRun, "malformed_request",
          "the request is not valid HTTP/1.1", "correct the request"};
}

// A whole answer for a connection whose request Qt did not parse.
QByteArray RawAnswer(const RequestError& error) {
  const std::string body = ErrorBody(error);
  return ToBytes(
      fmt::format("HTTP/1.1 {} Error\r\nContent-Type: application/json\r\n"
                  "Content-Length: {}\r\nConnection: close\r\n\r\n{}",
                  error.http_status(), body.size(), body));
}

// A caller's connection with bounds that QAbstractHttpServer lacks: on the
// size of a request and on the time until it is whole. QAbstractHttpServer
// drops its own signals on garbage and leaves the connection open.
class CallerSocket : public QTcpSocket {
 public:
  CallerSocket(const HttpFrontOptions& options, QObject* parent)
      : QTcpSocket(parent),
        request_timeout_(options.request_timeout),
        max_bytes_(options.max_body_bytes + kMaxHeadBytes) {
    timer_.setSingleShot(true);
    connect(&timer_, &QTimer::timeout, &timer_, [this] { Drop(); });
    connect(this, &QTcpSocket::readyRead, &timer_, [this] { OnBytes(); });
    connect(this, &QTcpSocket::disconnected, &timer_, [this] { Lose(); });
    timer_.start(kIdleTimeout);
  }

  // `on_lost` is called if the connection ends before the answer does.
  void BeginAnswer(std::function<void()> on_lost) {
    on_lost_ = std::move(on_lost);
    received_ = 0;
    timer_.stop();
  }

  void EndAnswer() {
    on_lost_ = {};
    timer_.start(kIdleTimeout);
    if (bytesAvailable() > 0) {
      // A pipelined request is already in the buffer.
      QTimer::singleShot(0, &timer_, [this] { Q_EMIT readyRead(); });
    }
  }

  bool is_answering() const { return on_lost_ != nullptr; }

  // Sends what is buffered, then closes.
  void CloseGently() {
    on_lost_ = {};
    timer_.start(request_timeout_);
    disconnectFromHost();
  }

  void Drop() {
    abort();
    deleteLater();
    Lose();
  }

  void Reject(const RequestError& error) {
    Log(LogEvent::kBadInput, "{}:{}: {}",
        peerAddress().toString().toStdString(), peerPort(), error.what());
    // Nothing else of this connection is parsed.
    disconnect(this, &QTcpSocket::readyRead, nullptr, nullptr);
    connect(this, &QTcpSocket::disconnected, this, &QObject::deleteLater);
    write(RawAnswer(error));
    CloseGently();
  }

 protected:
  void disconnectNotify(const QMetaMethod& signal) override {
    // Invalid if all signals were disconnected at once, which is what
    // QAbstractHttpServer does when a request cannot be parsed.
    if (!signal.isValid() && state() == ConnectedState) {
      QTimer::singleShot(0, &timer_, [this] { RejectGarbage(); });
    }
  }

 private:
  void Lose() {
    if (const auto on_lost = std::exchange(on_lost_, {})) {
      on_lost();
    }
  }

  void RejectGarbage() {
    if (is_answering()) {
      Drop();
    } else {
      Reject(Malformed());
    }
  }

  void OnBytes() {
    if (is_answering()) {
      return;
    }
    if (received_ == 0) {
      timer_.start(request_timeout_);
    }
    received_ += static_cast<std::size_t>(bytesAvailable());
    if (received_ > max_bytes_) {
      Reject(TooLarge(max_bytes_));
    }
  }

  Millis request_timeout_;
  std::size_t max_bytes_;
  std::size_t received_ = 0;
  std::function<void()> on_lost_;
  QTimer timer_;
};

class CallerServer : public QTcpServer {
 public:
  explicit CallerServer(const HttpFrontOptions& options) : options_(options) {}

 protected:
  void incomingConnection(qintptr descriptor) override {
    auto* socket = new CallerSocket(options_, this);
    if (!socket->setSocketDescriptor(descriptor)) {
      ::close(static_cast<int>(descriptor));
      delete socket;
      return;
    }
    socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    addPendingConnection(socket);
  }

 private:
  HttpFrontOptions options_;
};

// What answers need of their server; outlives it.
struct ServerState {
  std::size_t open_requests = 0;
  bool stopping = false;
  bool destroyed = false;
};

}  // namespace

struct HttpReply::State {
  std::shared_ptr<ServerState> server;
  QPointer<CallerSocket> socket;
  std::unique_ptr<QHttpServerResponder> responder;
  std::function<void()> on_disconnect;
  bool is_head = false;
  bool close_after = false;
  bool streaming = false;
  bool ended = false;

  bool IsOpen() const {
    return !ended && socket &&
           socket->state() == QAbstractSocket::ConnectedState;
  }

  void WriteHead(int status, const HttpHeaders& headers) {
    close_after = close_after || server->stopping;
    responder->writeStatusLine(
        static_cast<QHttpServerResponder::StatusCode>(status));
    for (const auto& [name, value] : headers) {
      responder->writeHeader(ToBytes(name), ToBytes(value));
    }
    if (close_after) {
      responder->writeHeader("Connection", "close");
    }
  }

  void Close() {
    ended = true;
    --server->open_requests;
    responder.reset();
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

void HttpReply::SendWhole(int status,
                          const HttpHeaders& headers,
                          std::string_view body) {
  if (!IsOpen() || state_->streaming) {
    return;
  }
  state_->WriteHead(status, headers);
  state_->responder->writeHeader("Content-Length",
                                 QByteArray::number(qint64(body.size())));
  state_->responder->writeBody(state_->is_head ? QByteArray() : ToBytes(body));
  state_->End();
}

void HttpReply::SendError(const RequestError& error) {
  HttpHeaders headers{{"Content-Type", "application/json"}};
  if (error.retry_after().count() > 0) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(error.retry_after());
    headers.emplace_back("Retry-After", std::to_string(seconds.count()));
  }
  SendWhole(error.http_status(), headers, ErrorBody(error));
}

void HttpReply::StartStream(int status, const HttpHeaders& headers) {
  if (!IsOpen() || state_->streaming) {
    return;
  }
  state_->streaming = true;
  state_->WriteHead(status, headers);
  state_->responder->writeHeader("Transfer-Encoding", "chunked");
  // Ends the head, so that the caller sees the status at once.
  state_->responder->writeBody(QByteArray());
}

void HttpReply::Write(std::string_view data) {
  if (!IsOpen() || !state_->streaming || data.empty() || state_->is_head) {
    return;
  }
  if (state_->socket->bytesToWrite() > kMaxUnsentBytes) {
    Abort();
    return;
  }
  const auto chunk = fmt::format("{:x}\r\n{}\r\n", data.size(), data);
  state_->responder->writeBody(ToBytes(chunk));
}

void HttpReply::EndStream() {
  if (!IsOpen() || !state_->streaming) {
    return;
  }
  if (!state_->is_head) {
    state_->responder->writeBody("0\r\n\r\n");
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

void HttpReply::OnDisconnect(std::function<void()> hook) {
  if (state_ && !state_->ended) {
    state_->on_disconnect = std::move(hook);
  }
}

bool HttpReply::IsOpen() const {
  return state_ && state_->IsOpen();
}

class HttpFront::Server : public QAbstractHttpServer {
 public:
  Server(const HttpFrontOptions& options, HttpHandler handler)
      : options_(options), handler_(std::move(handler)) {
    Descriptor descriptor(OpenListener(options));
    listener_ = std::make_unique<CallerServer>(options);
    if (!listener_->setSocketDescriptor(descriptor.get())) {
      throw ListenError(options, EBADF);
    }
    descriptor.Release();
    // Otherwise accepting pauses at 30 connections in one turn of the loop.
    listener_->setMaxPendingConnections(kListenBacklog);
    port_ = listener_->serverPort();
    bind(listener_.get());
  }

  ~Server() override { state_->destroyed = true; }

  std::uint16_t port() const { return port_; }
  std::size_t open_requests() const { return state_->open_requests; }

  void StopListening() {
    state_->stopping = true;
    // Connections that the kernel has accepted would be reset by closing.
    for (int n = 0; n < kListenBacklog; ++n) {
      if (!listener_->isListening() || !listener_->waitForNewConnection(0)) {
        break;
      }
    }
    listener_->close();
  }

 protected:
  bool handleRequest(const QHttpServerRequest& request,
                     QTcpSocket* socket) override {
    auto* caller = static_cast<CallerSocket*>(socket);
    if (caller->is_answering()) {
      // A second answer would be written into the first one.
      caller->Drop();
      return true;
    }
    const IncomingRequest incoming = ReadRequest(request);
    if (!HasExactLength(incoming)) {
      caller->Reject(Malformed());
      return true;
    }
    HttpReply reply = MakeReply(request, incoming, caller);
    if (incoming.body.size() > options_.max_body_bytes) {
      reply.SendError(TooLarge(options_.max_body_bytes));
      return true;
    }
    handler_(incoming, std::move(reply));
    return true;
  }

  void missingHandler(const QHttpServerRequest&, QTcpSocket*) override {}

 private:
  HttpReply MakeReply(const QHttpServerRequest& request,
                      const IncomingRequest& incoming,
                      CallerSocket* socket) {
    const auto state = std::make_shared<HttpReply::State>();
    state->server = state_;
    state->socket = socket;
    state->responder =
        std::make_unique<QHttpServerResponder>(makeResponder(request, socket));
    state->is_head = incoming.method == "HEAD";
    state->close_after = AsksForClose(incoming.headers);
    ++state_->open_requests;
    socket->BeginAnswer([state] { state->OnLost(); });
    HttpReply reply;
    reply.state_ = state;
    return reply;
  }

  HttpFrontOptions options_;
  HttpHandler handler_;
  std::unique_ptr<CallerServer> listener_;
  std::uint16_t port_ = 0;
  std::shared_ptr<ServerState> state_ = std::make_shared<ServerState>();
};

HttpFront::HttpFront(const HttpFrontOptions& options, HttpHandler handler)
    : server_(std::make_unique<Server>(options, std::move(handler))) {}

HttpFront::~HttpFront() = default;

std::uint16_t HttpFront::port() const {
  return server_->port();
}

void HttpFront::StopListening() {
  server_->StopListening();
}

std::size_t HttpFront::open_requests() const {
  return server_->open_requests();
}

}  // namespace crocuslatch
