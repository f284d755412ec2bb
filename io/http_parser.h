#ifndef IO_HTTP_PARSER_H_
#define IO_HTTP_PARSER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "io/http_message.h"

// Defines incremental parsers for HTTP/1.1 messages. Targets, header values and
// bodies are passed on unchanged.

namespace crocuslatch {

struct HttpRequestHead {
  std::string method;
  // As sent, including the query.
  std::string target;
  HttpHeaders headers;
  bool keep_alive = true;
  bool expects_continue = false;
};

struct HttpResponseHead {
  int status = 0;
  HttpHeaders headers;
  bool keep_alive = true;
  // The body has neither a length nor a chunked encoding, so it extends until
  // the connection is closed.
  bool ends_with_connection = false;
};

enum class ParseState {
  kNeedsMore,
  kDone,
  kMalformed,
  kHeaderTooLarge,
  kBodyTooLarge
};

struct ParseResult {
  ParseState state = ParseState::kNeedsMore;
  // Number of input bytes consumed. The rest must be passed again, followed by
  // more input.
  std::size_t used = 0;
};

// Parses one request and collects its body. Rejects messages whose framing
// parsers may interpret differently (request smuggling): several lengths, a
// length together with chunked encoding, and other transfer codings.
class HttpRequestParser {
 public:
  HttpRequestParser(std::size_t max_header_bytes, std::size_t max_body_bytes);
  ~HttpRequestParser();

  ParseResult Parse(std::string_view bytes);

  bool is_head_done() const;
  const HttpRequestHead& head() const;
  // Estimate of the memory that the head takes.
  std::size_t head_bytes() const;
  // Number of bytes of the body so far.
  std::size_t body_bytes() const;
  // Complete once the state is kDone.
  std::string TakeBody();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

struct HttpResponseHooks {
  std::function<void(const HttpResponseHead&)> on_head;
  std::function<void(std::string_view)> on_body;
};

// Parses one response and passes on its body as it arrives. Interim responses
// (1xx) are skipped. A status outside 100 to 599, the status 101 and a folded
// header line are malformed.
class HttpResponseParser {
 public:
  // `has_no_body` must be set for the response to a HEAD request.
  HttpResponseParser(bool has_no_body, HttpResponseHooks hooks);
  ~HttpResponseParser();

  ParseResult Parse(std::string_view bytes);
  // To be called when the connection was closed in order. Returns whether that
  // completes the response.
  bool FinishAtClose();

  bool is_head_done() const;

 private:
  class Impl;
  bool has_no_body_;
  HttpResponseHooks hooks_;
  // Bytes of the interim responses so far.
  std::size_t interim_bytes_ = 0;
  std::unique_ptr<Impl> impl_;
};

}  // namespace crocuslatch

#endif  // IO_HTTP_PARSER_H_
