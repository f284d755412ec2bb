#include "io/tcp_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <QTimer>
#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

namespace crocuslatch {
namespace {

constexpr std::size_t kReadBufferBytes = 64 << 10;

// Interval at which a socket that may not read asks again.
constexpr Millis kReadAgainInterval{20};

// Number of pieces that are passed to the kernel at once. A request has two.
constexpr std::size_t kMaxPieces = 8;

bool WouldBlock(int error) {
  return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

struct SocketAddress {
  sockaddr_storage storage{};
  socklen_t size = 0;
};

SocketAddress MakeSocketAddress(const IpEndpoint& peer) {
  SocketAddress out;
  sockaddr_in v4{};
  sockaddr_in6 v6{};
  if (::inet_pton(AF_INET, peer.address.c_str(), &v4.sin_addr) == 1) {
    v4.sin_family = AF_INET;
    v4.sin_port = htons(peer.port);
    std::memcpy(&out.storage, &v4, sizeof v4);
    out.size = sizeof v4;
  } else if (::inet_pton(AF_INET6, peer.address.c_str(), &v6.sin6_addr) == 1) {
    v6.sin6_family = AF_INET6;
    v6.sin6_port = htons(peer.port);
    std::memcpy(&out.storage, &v6, sizeof v6);
    out.size = sizeof v6;
  }
  return out;
}

}  // namespace

TcpSocket::TcpSocket(TcpSocketHooks hooks) : hooks_(std::move(hooks)) {
  read_again_.setSingleShot(true);
  QObject::connect(&read_again_, &QTimer::timeout, &context_,
                   [this] { OnReadable(); });
}

TcpSocket::~TcpSocket() {
  Close();
}

void TcpSocket::Connect(const IpEndpoint& peer, Millis unacknowledged_timeout) {
  const auto address = MakeSocketAddress(peer);
  if (address.size > 0) {
    descriptor_ = ::socket(address.storage.ss_family,
                           SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  }
  bool is_started = false;
  if (descriptor_ >= 0) {
    const int on = 1;
    const auto timeout =
        static_cast<unsigned int>(unacknowledged_timeout.count());
    ::setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    ::setsockopt(descriptor_, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
                 sizeof timeout);
    is_started = ::connect(descriptor_,
                           reinterpret_cast<const sockaddr*>(&address.storage),
                           address.size) == 0 ||
                 errno == EINPROGRESS;
  }
  if (!is_started) {
    Close();
    QTimer::singleShot(0, &context_,
                       [this] { End(TcpCloseReason::kConnectFailed); });
    return;
  }
  readable_ =
      std::make_unique<QSocketNotifier>(descriptor_, QSocketNotifier::Read);
  writable_ =
      std::make_unique<QSocketNotifier>(descriptor_, QSocketNotifier::Write);
  readable_->setEnabled(false);
  QObject::connect(readable_.get(), &QSocketNotifier::activated,
                   readable_.get(), [this] { OnReadable(); });
  QObject::connect(writable_.get(), &QSocketNotifier::activated,
                   writable_.get(), [this] { OnWritable(); });
}

void TcpSocket::Write(SharedBytes bytes) {
  Write(std::move(bytes), {});
}

void TcpSocket::Write(SharedBytes head, SharedBytes body) {
  if (descriptor_ < 0) {
    return;
  }
  Queue(std::move(head));
  Queue(std::move(body));
  if (is_connected_) {
    Flush();
  }
}

void TcpSocket::Queue(SharedBytes bytes) {
  if (!bytes.empty()) {
    unsent_bytes_ += bytes.size();
    unsent_.push_back(std::move(bytes));
  }
}

void TcpSocket::DropSent(std::size_t n) {
  unsent_bytes_ -= n;
  while (n > 0) {
    const std::size_t left = unsent_.front().size() - first_offset_;
    if (n < left) {
      first_offset_ += n;
      return;
    }
    n -= left;
    first_offset_ = 0;
    unsent_.pop_front();
  }
}

void TcpSocket::ClearUnsent() {
  unsent_.clear();
  first_offset_ = 0;
  unsent_bytes_ = 0;
}

void TcpSocket::CloseSending() {
  ClearUnsent();
  if (writable_) {
    writable_->setEnabled(false);
  }
  if (descriptor_ >= 0) {
    ::shutdown(descriptor_, SHUT_WR);
  }
}

void TcpSocket::Close() {
  is_connected_ = false;
  read_again_.stop();
  ClearUnsent();
  // A notifier may be running one of the hooks, so they are only disabled.
  for (auto* it : {readable_.get(), writable_.get()}) {
    if (it != nullptr) {
      it->setEnabled(false);
    }
  }
  if (descriptor_ >= 0) {
    ::close(std::exchange(descriptor_, -1));
  }
}

bool TcpSocket::IsIdle() const {
  char byte = 0;
  return is_connected_ &&
         ::recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
         WouldBlock(errno);
}

void TcpSocket::OnWritable() {
  if (descriptor_ < 0) {
    return;
  }
  if (is_connected_) {
    Flush();
    return;
  }
  int error = 0;
  socklen_t size = sizeof error;
  ::getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) {
    End(TcpCloseReason::kConnectFailed);
    return;
  }
  is_connected_ = true;
  readable_->setEnabled(true);
  writable_->setEnabled(false);
  hooks_.on_connected();
  if (is_connected_) {
    Flush();
  }
}

void TcpSocket::Flush() {
  while (!unsent_.empty()) {
    std::array<iovec, kMaxPieces> pieces{};
    std::size_t count = 0;
    for (const auto& it : unsent_) {
      if (count == pieces.size()) {
        break;
      }
      const auto bytes = it.view().substr(count == 0 ? first_offset_ : 0);
      pieces[count] = {const_cast<char*>(bytes.data()), bytes.size()};
      ++count;
    }
    msghdr message{};
    message.msg_iov = pieces.data();
    message.msg_iovlen = count;
    const auto n = ::sendmsg(descriptor_, &message, MSG_NOSIGNAL);
    if (n < 0) {
      // The kernel reports a reset only once. The next reads return the data
      // that preceded it, and then look like an orderly end.
      has_send_failed_ = has_send_failed_ || !WouldBlock(errno);
      break;
    }
    DropSent(static_cast<std::size_t>(n));
  }
  writable_->setEnabled(!unsent_.empty() && WouldBlock(errno));
}

void TcpSocket::OnReadable() {
  static thread_local std::array<char, kReadBufferBytes> buf;
  if (!is_connected_) {
    return;
  }
  const auto limit = hooks_.read_limit
                         ? std::min(hooks_.read_limit(), buf.size())
                         : buf.size();
  readable_->setEnabled(limit > 0);
  if (limit == 0) {
    read_again_.start(kReadAgainInterval);
    return;
  }
  const auto n = ::recv(descriptor_, buf.data(), limit, 0);
  if (n > 0) {
    hooks_.on_bytes({buf.data(), static_cast<std::size_t>(n)});
  } else if (n == 0) {
    End(has_send_failed_ ? TcpCloseReason::kReset : TcpCloseReason::kClosed);
  } else if (!WouldBlock(errno)) {
    End(TcpCloseReason::kReset);
  }
}

void TcpSocket::End(TcpCloseReason end) {
  Close();
  if (const auto hook = std::exchange(hooks_.on_end, nullptr)) {
    hook(end);
  }
}

}  // namespace crocuslatch
