#ifndef SRC_HTTP_CLIENT_H_
#define SRC_HTTP_CLIENT_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/types.h"

// Defines the HTTP client for backend servers and the platform.

namespace crocuslatch {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

struct HttpRequest {
  std::string method;
  std::string url;
  HttpHeaders headers;
  std::string body;
  // Longest wait for the first byte of the answer.
  Millis first_byte_timeout{5000};
  // Longest silence after the first byte.
  Millis stall_timeout{2000};
};

enum class HttpEnd {
  kComplete,
  // The connection was refused: no byte of the request was delivered.
  kNotSent,
  // The connection broke after the request may have been delivered.
  kBroken,
  // Silence longer than one of the two timeouts.
  kTimedOut,
  kCancelled,
};

struct HttpHooks {
  std::function<void(int status, const HttpHeaders&)> on_headers;
  std::function<void(std::string_view)> on_data;
  // Called exactly once, last, unless the client is destroyed first.
  std::function<void(HttpEnd)> on_end;
};

// A request in flight. Copies refer to the same request.
class HttpCall {
 public:
  // Ends the request with kCancelled; does nothing after its end.
  void Cancel();

 private:
  friend class HttpClient;
  struct State;
  std::shared_ptr<State> state_;
};

// Sends requests on the calling thread's event loop. Each request is
// delivered at most once, and never waits for another one's connection.
class HttpClient {
 public:
  HttpClient();
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  HttpCall Send(const HttpRequest& request, HttpHooks hooks);

  // Sends and collects the whole answer. `status` is 0 unless `end` is
  // kComplete.
  using WholeCallback = std::function<
      void(HttpEnd end, int status, const HttpHeaders&, const std::string&)>;
  HttpCall SendWhole(const HttpRequest& request, WholeCallback callback);

 private:
  struct Pool;
  std::unique_ptr<Pool> pool_;
};

// Value of the header `name`, compared without case; empty if absent.
std::string_view FindHeader(const HttpHeaders& headers, std::string_view name);

}  // namespace crocuslatch

#endif  // SRC_HTTP_CLIENT_H_
