#ifndef IO_TCP_SOCKET_H_
#define IO_TCP_SOCKET_H_

#include <QObject>
#include <QSocketNotifier>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "src/ip_endpoint.h"
#include "src/types.h"

// Defines the client side of a TCP connection. It is used instead of
// QTcpSocket, which reports a reset as an orderly close, so that a truncated
// response without a length would appear complete.

namespace crocuslatch {

enum class TcpCloseReason {
  // The peer closed its side in order.
  kClosed,
  // Connection reset, or data not acknowledged in time.
  kReset,
  kConnectFailed,
};

struct TcpSocketHooks {
  std::function<void()> on_connected;
  std::function<void(std::string_view)> on_bytes;
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
  void Write(std::string_view bytes);
  // Shuts down the sending side only. Data that the kernel has not accepted yet
  // is dropped.
  void CloseSending();
  // Closes without calling a hook.
  void Close();

  bool is_connected() const { return is_connected_; }
  // Number of bytes that the kernel has not accepted yet.
  std::size_t unsent_bytes() const { return unsent_.size(); }
  // True if the peer has neither sent unread data nor closed. Queries the
  // kernel, since an event may still be pending in the event loop.
  bool IsIdle() const;

 private:
  void OnWritable();
  void OnReadable();
  void Flush();
  void End(TcpCloseReason end);

  // Receiver of queued calls.
  QObject context_;
  TcpSocketHooks hooks_;
  int descriptor_ = -1;
  bool is_connected_ = false;
  std::unique_ptr<QSocketNotifier> readable_;
  std::unique_ptr<QSocketNotifier> writable_;
  std::string unsent_;
};

}  // namespace crocuslatch

#endif  // IO_TCP_SOCKET_H_
