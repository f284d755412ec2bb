#ifndef IO_HTTP_CLIENT_H_
#define IO_HTTP_CLIENT_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "io/http_message.h"
#include "src/types.h"

// Defines the HTTP/1.1 client for backend servers and the platform.

namespace crocuslatch {

struct HttpRequest {
  std::string method;
  // "http://<IP number>:<port><target>"; the target is sent as it is.
  std::string url;
  HttpHeaders headers;
  std::string body;
  // Longest wait for a new connection.
  Millis connect_timeout{5000};
  // Longest wait for the first byte of the answer.
  Millis first_byte_timeout{5000};
  // Longest silence after the first byte.
  Millis stall_timeout{2000};
};

enum class HttpResult {
  kComplete,
  // No byte of the request was delivered: the connection was refused or was
  // not established in time.
  kNotSent,
  // The connection broke, or something else than an answer arrived, after the
  // request may have been delivered.
  kBroken,
  // Silence longer than one of the two timeouts.
  kTimedOut,
  kCancelled,
};

std::string_view ToString(HttpResult end);

struct HttpHooks {
  // Decides whether a response belongs to this request. One that does not,
  // such as a late second answer to an earlier request, is skipped, and the
  // connection is not used again. Without the hook every response belongs.
  std::function<bool(int status, const HttpHeaders&)> accepts_response;
  std::function<void(int status, const HttpHeaders&)> on_headers;
  std::function<void(std::string_view)> on_data;
  // Called exactly once, last, unless the client is destroyed first.
  std::function<void(HttpResult)> on_end;
};

// A request in flight. Copies refer to the same request.
class HttpCall {
 public:
  // Ends the request with kCancelled and closes its connection; does nothing
  // after its end.
  void Cancel();
  // Takes the request back: closes the sending side, so that the server drops
  // it, and waits for what the server sends until it closes, `wait` at most.
  // Ends with kBroken if an answer has begun, and with kCancelled otherwise.
  void Withdraw(Millis wait);
  // The request had to open a connection of its own.
  bool is_on_new_connection() const;

 private:
  friend class HttpClient;
  struct State;
  std::shared_ptr<State> state_;
};

struct HttpClientOptions {
  // A kept connection is not used again after this idle time, unless the
  // server's Keep-Alive header says less.
  Millis longest_idle{4000};
  // Time by which a kept connection is given up before the server would close
  // it; covers the way of the request.
  Millis idle_margin{500};
  // Unacknowledged bytes end a connection after this time (TCP_USER_TIMEOUT).
  Millis unacknowledged_timeout{3000};
};

// Sends requests on the calling thread's event loop. Each request is
// delivered at most once, and never waits for another one's connection.
class HttpClient {
 public:
  explicit HttpClient(const HttpClientOptions& options = {});
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  HttpCall Send(const HttpRequest& request, HttpHooks hooks);

  // Sends and collects the whole answer. `status` is 0 unless `end` is
  // kComplete.
  using WholeCallback = std::function<
      void(HttpResult end, int status, const HttpHeaders&, const std::string&)>;
  HttpCall SendAndCollect(const HttpRequest& request, WholeCallback callback);

  // Closes all idle connections, for example after one of them went silent.
  void DropIdle();
  // Idle and busy connections.
  std::size_t open_connections() const;

 private:
  friend class HttpCall;
  class Connection;
  struct Pool;
  std::unique_ptr<Pool> pool_;
};

}  // namespace crocuslatch

#endif  // IO_HTTP_CLIENT_H_
