#ifndef IO_HTTP_SERVER_H_
#define IO_HTTP_SERVER_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "io/http_message.h"
#include "src/error.h"

// Defines the HTTP/1.1 server used for callers and for administration.

namespace crocuslatch {

struct IncomingRequest {
  std::string method;
  std::string path;
  std::string query;
  HttpHeaders headers;
  std::string body;
  // Path and query as sent.
  std::string target;
};

// The answer to one request; copies refer to the same answer. All calls must
// come from the server's thread. Calls after the caller left do nothing.
class HttpReply {
 public:
  // A Connection header among `headers` is not allowed; see CloseAfter.
  void SendResponse(int status,
                    const HttpHeaders& headers,
                    std::string_view body);
  void SendError(const RequestError& error);

  // Chunked answer: one start, any number of writes, one end.
  void StartStream(int status, const HttpHeaders& headers);
  void Write(std::string_view data);
  void EndStream();
  // Closes the connection so that the caller sees an incomplete answer.
  void Abort();

  // Closes the connection in order after the answer.
  void CloseAfterResponse();

  // Called once if the caller disconnects before the answer has ended.
  void OnDisconnect(std::function<void()> hook);
  bool IsOpen() const;

 private:
  friend class HttpServer;
  struct State;
  std::shared_ptr<State> state_;
};

using HttpHandler = std::function<void(const IncomingRequest&, HttpReply)>;

// What a caller may send, and how long it may take.
struct HttpLimits {
  std::size_t max_header_bytes = 64 << 10;
  std::size_t max_body_bytes = 1 << 20;
  // From the first byte of a request to the end of its headers.
  Millis header_timeout{10000};
  // From the first byte of a request to its last.
  Millis request_timeout{10000};
  // Without a request.
  Millis idle_timeout{60000};
  bool operator==(const HttpLimits&) const = default;
};

struct HttpServerOptions {
  std::string address = "127.0.0.1";
  // 0 takes any free port.
  std::uint16_t port = 0;
  // Lets several threads listen on the same port.
  bool reuse_port = false;
  std::size_t max_body_bytes = 1 << 20;
  // A request that is not whole after this time is closed.
  Millis request_timeout{10000};
};

// Listens on the calling thread. Throws UserError "listen_failed".
class HttpServer {
 public:
  HttpServer(const HttpServerOptions& options, HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  std::uint16_t port() const;
  // Holds for requests that begin later.
  void SetLimits(const HttpLimits& limits);
  // Stops accepting connections; requests in flight go on, and their
  // connections and idle ones are closed in order.
  void StopListening();
  // Without, answers say that their connection closes; new ones are still
  // accepted.
  void SetKeepAlive(bool keep);
  // Answers that have not ended.
  std::size_t open_requests() const;
  std::size_t open_connections() const;

 private:
  class Impl;
  std::unique_ptr<Impl> server_;
};

}  // namespace crocuslatch

#endif  // IO_HTTP_SERVER_H_
