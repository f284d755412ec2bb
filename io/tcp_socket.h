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

// Defines the client side of a TCP connection. QTcpSocket reports a reset as
// an orderly close, which makes a cut answer without a length look whole.

namespace crocuslatch {

enum class TcpEnd {
  // The peer closed its side in order.
  kClosed,
  // Reset, or no acknowledgement in time.
  kReset,
  kConnectFailed,
};

struct TcpSocketHooks {
  std::function<void()> on_connected;
  std::function<void(std::string_view)> on_bytes;
  // Called at most once; the socket is closed.
  std::function<void(TcpEnd)> on_end;
};

// Belongs to the thread that made it. Hooks may close the socket, but not
// destroy it.
class TcpSocket {
 public:
  explicit TcpSocket(TcpSocketHooks hooks);
  ~TcpSocket();
  TcpSocket(const TcpSocket&) = delete;
  TcpSocket& operator=(const TcpSocket&) = delete;

  // Hooks are called from the event loop only, never from inside this call.
  // Unacknowledged bytes end the connection after `unacknowledged_timeout`.
  void Connect(const IpEndpoint& peer, Millis unacknowledged_timeout);
  void Write(std::string_view bytes);
  // Closes the sending side only; the peer sees the end of what was sent.
  void CloseSending();
  // Closes without hooks.
  void Close();

  bool is_connected() const { return is_connected_; }
  // Bytes that the kernel has not taken yet.
  std::size_t unsent_bytes() const { return unsent_.size(); }
  // True if the peer has neither sent anything nor closed. Asks the kernel,
  // since an event may wait in the loop.
  bool IsQuiet() const;

 private:
  void OnWritable();
  void OnReadable();
  void Flush();
  void End(TcpEnd end);

  // Receiver of calls that are made later.
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
