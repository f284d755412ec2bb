#ifndef IO_HTTP_SERVER_H_
#define IO_HTTP_SERVER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "io/http_message.h"
#include "io/http_parser.h"
#include "io/memory_charge.h"
#include "io/shared_bytes.h"
#include "src/error.h"

// Defines the HTTP/1.1 server used for callers and for administration.

namespace crocuslatch {

struct IncomingRequest {
  std::string method;
  std::string path;
  std::string query;
  HttpHeaders headers;
  SharedBytes body;
  // Path and query as sent.
  std::string target;
  // Longest time that the request can have been waiting before it was read.
  Millis unread_time{0};
};

// Sends the response to one request; copies refer to the same response. All
// methods must be called on the server's thread. Calls have no effect after the
// caller has disconnected.
class HttpReply {
 public:
  // `headers` must not contain a Connection header; see CloseAfterResponse.
  void SendResponse(int status,
                    const HttpHeaders& headers,
                    std::string_view body);
  void SendError(const RequestError& error);

  // Chunked response: one start, any number of writes, one end.
  void StartStream(int status, const HttpHeaders& headers);
  void Write(std::string_view data);
  void EndStream();
  // Closes the connection, so that the caller sees an incomplete response.
  void Abort();

  // Closes the connection in order after the response.
  void CloseAfterResponse();

  // Sets a hook that is called once if the caller disconnects before the end of
  // the response. It is called from the event loop, never from inside another
  // method.
  void OnDisconnect(std::function<void()> hook);
  bool IsOpen() const;
  // Number of bytes of the response that the kernel has not accepted yet.
  std::size_t unsent_bytes() const;
  // True if the caller has closed its connection. Queries the kernel, since the
  // event loop may not have read the end of the connection yet.
  bool HasCallerLeft() const;

 private:
  friend class HttpServer;
  struct State;
  std::shared_ptr<State> state_;
};

using HttpHandler = std::function<void(const IncomingRequest&, HttpReply)>;

// Limits on the size and duration of requests.
struct HttpLimits {
  std::size_t max_header_bytes = 64 << 10;
  std::size_t max_body_bytes = 1 << 20;
  // From the first byte of a request to the end of its headers.
  Millis header_timeout{10000};
  // From the first byte of a request to its last.
  Millis request_timeout{10000};
  // Between requests.
  Millis idle_timeout{60000};
  bool operator==(const HttpLimits&) const = default;
};

// A connection that was closed to free memory or descriptors.
struct YieldedCaller {
  std::string address;
  // "memory" or "connections".
  std::string_view reason;
  // Whether the caller was told that its request was not run.
  bool is_refused = false;
  std::size_t bytes = 0;
  Millis idle{0};
};

struct HttpServerOptions {
  std::string address = "127.0.0.1";
  // 0 selects any free port.
  std::uint16_t port = 0;
  // Allows several threads to listen on the same port (SO_REUSEPORT).
  bool reuse_port = false;
  std::size_t max_body_bytes = 1 << 20;
  // The connection is closed if a request is incomplete after this time.
  Millis request_timeout{10000};
  // Returns the longest time that data which is read now can have been waiting
  // unread. May be empty.
  std::function<Millis()> unread_time;
  // If set, what connections hold is charged, reading stops while the account
  // says so, and connections without a running request yield when it is full.
  std::shared_ptr<const MemoryHooks> memory;
  // Above this number of connections, those that have been idle longest are
  // closed, or else new ones. 0 means no limit.
  std::size_t max_connections = 0;
  // Called when a connection yields. May be empty.
  std::function<void(const YieldedCaller&)> on_yield;
};

// Listens on the calling thread. Throws UserError "listen_failed".
class HttpServer {
 public:
  HttpServer(const HttpServerOptions& options, HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  std::uint16_t port() const;
  // Applies to requests that begin later.
  void SetLimits(const HttpLimits& limits);
  // Stops accepting connections and closes the idle ones soon after. Requests
  // in flight continue. Includes SetKeepAlive(false).
  void StopListening();
  // If false, every connection is closed after the next response that is
  // started on it. New connections are still accepted.
  void SetKeepAlive(bool keep_alive);
  // Number of requests whose response has not ended.
  std::size_t open_requests() const;
  std::size_t open_connections() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace crocuslatch

#endif  // IO_HTTP_SERVER_H_
