#ifndef IO_HTTP_CLIENT_H_
#define IO_HTTP_CLIENT_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "io/http_message.h"
#include "io/shared_bytes.h"
#include "src/types.h"

// Defines the HTTP/1.1 client used for backend servers and the platform.

namespace crocuslatch {

struct HttpRequest {
  std::string method;
  // "http://<IP address>:<port><target>"; the target is sent unchanged.
  std::string url;
  HttpHeaders headers;
  SharedBytes body;
  // Timeout for establishing a new connection.
  Millis connect_timeout{5000};
  // Timeout for the first byte of the response.
  Millis first_byte_timeout{5000};
  // Maximum time without data after the first byte.
  Millis stall_timeout{2000};
  // Maximum time from the start to the end of the response; 0 means no limit.
  Millis total_timeout{0};
};

// How a request ended.
enum class HttpResult {
  // The complete response was received, whatever its status.
  kComplete,
  // No byte of the request was sent: the connection was refused or was not
  // established in time, or `may_send` returned false.
  kNotSent,
  // The connection broke or an invalid response arrived after the request may
  // have been delivered.
  kBroken,
  // The first byte, further data or the end did not arrive in time.
  kTimedOut,
  // The response exceeds a size limit. The request may have been executed.
  kTooLarge,
  // Cancelled, or withdrawn without a response.
  kCancelled,
};

std::string_view ToString(HttpResult end);

struct HttpHooks {
  // Asked before the request is sent on a connection that was established for
  // it, since the reasons for sending it may have changed meanwhile. If it
  // returns false, the request ends with kNotSent.
  std::function<bool()> may_send;
  // Decides whether a response belongs to this request. A response that does
  // not, such as a late second response to an earlier request, is skipped, and
  // the connection is not reused. Without this hook, every response is
  // accepted.
  std::function<bool(int status, const HttpHeaders&)> accepts_response;
  std::function<void(int status, const HttpHeaders&)> on_headers;
  std::function<void(std::string_view)> on_data;
  // Called when the number of received bytes that the client holds because they
  // are an incomplete head, chunk header or trailer changes. May be empty.
  std::function<void(std::size_t)> on_buffered;
  // Asked before each read of the response; see TcpSocketHooks. May be empty.
  std::function<std::size_t()> read_limit;
  // Called exactly once, as the last hook, unless the client is destroyed
  // first.
  std::function<void(HttpResult)> on_end;
};

// A request in flight. Copies refer to the same request.
class HttpCall {
 public:
  // Ends the request with kCancelled and closes its connection. Has no effect
  // once the request has ended.
  void Cancel();
  // Shuts down the sending side, so that the server abandons the request, and
  // waits up to `wait` for the server to respond or close. Ends with kBroken if
  // a response begins in that time, and with kCancelled otherwise. Equivalent
  // to Cancel if the request was not sent or its response has already begun.
  void Withdraw(Millis wait);
  // True unless the request was sent on a reused connection.
  bool is_on_new_connection() const;
  // True if the response had neither a length nor chunks, so that only the end
  // of the connection marked its end. A server that crashes ends it, too.
  bool is_ended_by_connection() const;

 private:
  friend class HttpClient;
  struct State;
  std::shared_ptr<State> state_;
};

struct HttpClientOptions {
  // Maximum idle time after which a connection is reused, unless the server's
  // Keep-Alive header states a shorter time.
  Millis max_idle_time{4000};
  // How long before the server's announced timeout a connection is given up;
  // covers the transmission of a request.
  Millis idle_margin{500};
  // A connection whose data stays unacknowledged for this long is closed
  // (TCP_USER_TIMEOUT).
  Millis unacknowledged_timeout{3000};
};

// Sends requests on the calling thread's event loop. Each request is delivered
// at most once and never waits for a connection that another request uses.
class HttpClient {
 public:
  explicit HttpClient(const HttpClientOptions& options = {});
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  HttpCall Send(const HttpRequest& request, HttpHooks hooks);

  // Sends the request and collects the complete response. `status` is 0 unless
  // the result is kComplete.
  using CollectedCallback = std::function<
      void(HttpResult end, int status, const HttpHeaders&, const std::string&)>;
  HttpCall SendAndCollect(const HttpRequest& request,
                          CollectedCallback callback);

  // Closes all idle connections, for example after one of them timed out.
  void DropIdle();
  // True if a request to `authority` ("<IP address>:<port>") would now be sent
  // on an existing connection.
  bool has_idle_connection(const std::string& authority) const;
  // Number of connections, idle and in use.
  std::size_t open_connections() const;

 private:
  friend class HttpCall;
  class Connection;
  struct Pool;
  std::unique_ptr<Pool> pool_;
};

}  // namespace crocuslatch

#endif  // IO_HTTP_CLIENT_H_
