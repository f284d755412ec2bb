#ifndef SRC_HTTP_FRONT_H_
#define SRC_HTTP_FRONT_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "src/error.h"
#include "src/http_client.h"

// Defines the HTTP server used for callers and for administration.

namespace crocuslatch {

struct IncomingRequest {
  std::string method;
  std::string path;
  std::string query;
  HttpHeaders headers;
  std::string body;
};

// The answer to one request; copies refer to the same answer. All calls must
// come from the server's thread. Calls after the caller left do nothing.
class HttpReply {
 public:
  void SendWhole(int status, const HttpHeaders& headers, std::string_view body);
  void SendError(const RequestError& error);

  // Chunked answer: one start, any number of writes, one end.
  void StartStream(int status, const HttpHeaders& headers);
  void Write(std::string_view data);
  void EndStream();
  // Closes the connection so that the caller sees an incomplete answer.
  void Abort();

  // Called once if the caller disconnects before the answer has ended.
  void OnDisconnect(std::function<void()> hook);
  bool IsOpen() const;

 private:
  friend class HttpFront;
  struct State;
  std::shared_ptr<State> state_;
};

using HttpHandler = std::function<void(const IncomingRequest&, HttpReply)>;

struct HttpFrontOptions {
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
class HttpFront {
 public:
  HttpFront(const HttpFrontOptions& options, HttpHandler handler);
  ~HttpFront();
  HttpFront(const HttpFront&) = delete;
  HttpFront& operator=(const HttpFront&) = delete;

  std::uint16_t port() const;
  // Stops accepting connections; requests in flight go on.
  void StopListening();
  // Answers that have not ended.
  std::size_t open_requests() const;

 private:
  class Server;
  std::unique_ptr<Server> server_;
};

}  // namespace crocuslatch

#endif  // SRC_HTTP_FRONT_H_
