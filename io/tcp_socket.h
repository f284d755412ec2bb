#ifndef IO_TCP_SOCKET_H_
#define IO_TCP_SOCKET_H_

#include <QObject>
#include <QSocketNotifier>
#include <QTimer>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "io/shared_bytes.h"
#include "src/ip_endpoint.h"
#include "src/types.h"

// Defines the client side of a TCP connection. It is used instead of
// QTcpSocket, which reports a reset as an orderly close, so that a truncated
// response without a length would appear complete.

namespace crocuslatch {

enum class TcpCloseReason {
  // The peer closed its side in order.
  kClosed,
  // Connection reset, also while data was written to it, or data not
  // acknowledged in time.
  kReset,
  kConnectFailed,
};

struct TcpSocketHooks {
  std::function<void()> on_connected;
  std::function<void(std::string_view)> on_bytes;
  // Asked before each read for the largest number of bytes to read. While it
  // returns 0, nothing is read, so that TCP makes the peer wait; it is asked
  // again soon. May be empty.
  std::function<std::size_t()> read_limit;
  // Called at most once, after the socket has been closed.
  std::function<void(TcpCloseReason)> on_end;
};

// Must be used on the thread that created it. Hooks may close the socket, but
// must not destroy it.
class TcpSocket {
 public:
  explicit TcpSocket(TcpSocketHooks hooks);
  ~TcpSocket();
  TcpSocket(const TcpSocket&) = delete;
  TcpSocket& operator=(const TcpSocket&) = delete;

  // Hooks are called from the event loop only, never from within this call. The
  // connection ends if data stays unacknowledged for `unacknowledged_timeout`.
  void Connect(const IpEndpoint& peer, Millis unacknowledged_timeout);
  void Write(SharedBytes bytes);
  // Writes both with one system call.
  void Write(SharedBytes head, SharedBytes body);
  // Shuts down the sending side only. Data that the kernel has not accepted yet
  // is dropped.
  void CloseSending();
  // Closes without calling a hook.
  void Close();

  bool is_connected() const { return is_connected_; }
  // Number of bytes that the kernel has not accepted yet.
  std::size_t unsent_bytes() const { return unsent_bytes_; }
  // True if the peer has neither sent unread data nor closed. Queries the
  // kernel, since an event may still be pending in the event loop.
  bool IsIdle() const;

 private:
  void OnWritable();
  void OnReadable();
  void Flush();
  void Queue(SharedBytes bytes);
  // Removes bytes that the kernel has accepted from the queue.
  void DropSent(std::size_t n);
  void ClearUnsent();
  void End(TcpCloseReason end);

  // Receiver of queued calls.
  QObject context_;
  TcpSocketHooks hooks_;
  int descriptor_ = -1;
  bool is_connected_ = false;
  // The connection broke while data was written.
  bool has_send_failed_ = false;
  std::unique_ptr<QSocketNotifier> readable_;
  std::unique_ptr<QSocketNotifier> writable_;
  QTimer read_again_;
  // The first piece lacks its first `first_offset_` bytes.
  std::deque<SharedBytes> unsent_;
  std::size_t first_offset_ = 0;
  std::size_t unsent_bytes_ = 0;
};

}  // namespace crocuslatch

#endif  // IO_TCP_SOCKET_H_
