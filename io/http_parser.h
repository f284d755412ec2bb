#ifndef IO_HTTP_PARSER_H_
#define IO_HTTP_PARSER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "io/http_message.h"

// Defines incremental parsers of HTTP/1.1 messages. Targets, header values
// and bodies keep their bytes.

namespace crocuslatch {

struct HttpRequestHead {
  std::string method;
  // As sent, with the query.
  std::string target;
  HttpHeaders headers;
  bool keep_alive = true;
  bool expects_continue = false;
};

struct HttpResponseHead {
  int status = 0;
  HttpHeaders headers;
  bool keep_alive = true;
  // The body has neither a length nor chunks and ends with the connection.
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
  // Bytes at the front of the input that were used; the rest has to be passed
  // again, followed by more bytes.
  std::size_t used = 0;
};

// Reads one request and collects its body. Refuses what different readers may
// frame differently: two lengths, a length beside chunks, other codings.
class HttpRequestParser {
 public:
  HttpRequestParser(std::size_t max_header_bytes, std::size_t max_body_bytes);
  ~HttpRequestParser();

  ParseResult Parse(std::string_view bytes);

  bool is_head_done() const;
  const HttpRequestHead& head() const;
  // Whole once the state is kDone.
  std::string TakeBody();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

struct HttpResponseHooks {
  std::function<void(const HttpResponseHead&)> on_head;
  std::function<void(std::string_view)> on_body;
};

// Reads one response and hands on its body as it arrives. Interim responses
// (1xx) are skipped.
class HttpResponseParser {
 public:
  // `has_no_body`: the request was a HEAD.
  HttpResponseParser(bool has_no_body, HttpResponseHooks hooks);
  ~HttpResponseParser();

  ParseResult Parse(std::string_view bytes);
  // The connection was closed in order. True if that completes the response.
  bool FinishAtClose();

  bool is_head_done() const;

 private:
  class Impl;
  bool has_no_body_;
  HttpResponseHooks hooks_;
  std::unique_ptr<Impl> impl_;
};

}  // namespace crocuslatch

#endif  // IO_HTTP_PARSER_H_
