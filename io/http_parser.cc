#include "io/http_parser.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <cstdint>
#include <limits>
#include <utility>

namespace crocuslatch {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using ErrorCode = beast::error_code;

// Limit for the headers of a response, and for all interim responses before it
// together. Bodies are not limited here: the platform's values have at most
// 1 MB in base64, and a range response about 1 MB of items.
constexpr std::size_t kMaxResponseHeaderBytes = 64 << 10;
constexpr int kFirstStatus = 100;
constexpr int kSwitchingProtocols = 101;
constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;

// What a header field takes beside its text: two strings, and room that the
// list keeps for growth.
constexpr std::size_t kFieldBytes = 2 * sizeof(HttpHeaders::value_type);

ParseState ToParseState(const ErrorCode& ec, bool done) {
  if (!ec) {
    return done ? ParseState::kDone : ParseState::kNeedsMore;
  }
  if (ec == http::error::need_more) {
    return ParseState::kNeedsMore;
  }
  if (ec == http::error::header_limit) {
    return ParseState::kHeaderTooLarge;
  }
  return ec == http::error::body_limit ? ParseState::kBodyTooLarge
                                       : ParseState::kMalformed;
}

std::string ToString(beast::string_view text) {
  return {text.data(), text.size()};
}

// Feeds bytes to the Beast parser, which stops at the end of a message.
template <typename Parser>
ParseResult FeedParser(Parser& parser, std::string_view bytes) {
  ParseResult result;
  ErrorCode ec;
  while (!ec && !parser.is_done() && result.used < bytes.size()) {
    const auto rest = bytes.substr(result.used);
    const auto n =
        parser.put(boost::asio::const_buffer(rest.data(), rest.size()), ec);
    result.used += n;
    if (n == 0) {
      break;
    }
  }
  result.state = ToParseState(ec, parser.is_done());
  return result;
}

// Returns whether a Transfer-Encoding is anything but a single "chunked". Beast
// would treat the body of such a request as empty.
bool HasUnsupportedCoding(const HttpHeaders& headers) {
  return std::ranges::any_of(headers, [](const auto& it) {
    return EqualsIgnoringCase(it.first, "Transfer-Encoding") &&
           !EqualsIgnoringCase(it.second, "chunked");
  });
}

// Returns whether the head that `bytes` begins with has a line that continues
// the field before it (obs-fold in RFC 9112). Beast would join the two.
bool HasFoldedLine(std::string_view bytes) {
  const auto head = bytes.substr(0, bytes.find("\r\n\r\n"));
  return head.find("\r\n ") != std::string_view::npos ||
         head.find("\r\n\t") != std::string_view::npos;
}

}  // namespace

class HttpRequestParser::Impl : public http::basic_parser<true> {
 public:
  Impl(std::size_t max_header_bytes, std::size_t max_body_bytes) {
    header_limit(static_cast<std::uint32_t>(max_header_bytes));
    body_limit(max_body_bytes);
    eager(true);
  }

  HttpRequestHead head;
  std::string body;
  std::size_t head_bytes = 0;

 private:
  void on_request_impl(http::verb,
                       beast::string_view method,
                       beast::string_view target,
                       int,
                       ErrorCode&) override {
    head.method = ToString(method);
    head.target = ToString(target);
  }
  void on_response_impl(int, beast::string_view, int, ErrorCode&) override {}
  void on_field_impl(http::field,
                     beast::string_view name,
                     beast::string_view value,
                     ErrorCode&) override {
    head.headers.emplace_back(ToString(name), ToString(value));
    head_bytes += kFieldBytes + name.size() + value.size();
  }
  void on_header_impl(ErrorCode& ec) override {
    head.keep_alive = keep_alive();
    head.expects_continue =
        EqualsIgnoringCase(FindHeader(head.headers, "Expect"), "100-continue");
    if (HasUnsupportedCoding(head.headers)) {
      ec = http::error::bad_transfer_encoding;
    }
  }
  void on_body_init_impl(const boost::optional<std::uint64_t>& size,
                         ErrorCode&) override {
    if (size) {
      body.reserve(static_cast<std::size_t>(*size));
    }
  }
  std::size_t on_body_impl(beast::string_view bytes, ErrorCode&) override {
    body.append(bytes.data(), bytes.size());
    return bytes.size();
  }
  void on_chunk_header_impl(std::uint64_t,
                            beast::string_view,
                            ErrorCode&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t,
                                 beast::string_view bytes,
                                 ErrorCode&) override {
    body.append(bytes.data(), bytes.size());
    return bytes.size();
  }
  void on_finish_impl(ErrorCode&) override {}
};

HttpRequestParser::HttpRequestParser(std::size_t max_header_bytes,
                                     std::size_t max_body_bytes)
    : impl_(std::make_unique<Impl>(max_header_bytes, max_body_bytes)) {}

HttpRequestParser::~HttpRequestParser() = default;

ParseResult HttpRequestParser::Parse(std::string_view bytes) {
  return FeedParser(*impl_, bytes);
}

bool HttpRequestParser::is_head_done() const {
  return impl_->is_header_done();
}

const HttpRequestHead& HttpRequestParser::head() const {
  return impl_->head;
}

std::size_t HttpRequestParser::head_bytes() const {
  return impl_->head_bytes;
}

std::size_t HttpRequestParser::body_bytes() const {
  return impl_->body.size();
}

std::string HttpRequestParser::TakeBody() {
  return std::move(impl_->body);
}

class HttpResponseParser::Impl : public http::basic_parser<false> {
 public:
  Impl(bool has_no_body, HttpResponseHooks* hooks) : hooks_(hooks) {
    header_limit(kMaxResponseHeaderBytes);
    // Beast treats an unset limit as a limit of 0 if the message has a length.
    body_limit(std::numeric_limits<std::uint64_t>::max());
    eager(true);
    skip(has_no_body);
  }

  bool is_interim() const { return head_.status < kFirstFinalStatus; }

 private:
  void on_request_impl(http::verb,
                       beast::string_view,
                       beast::string_view,
                       int,
                       ErrorCode&) override {}
  void on_response_impl(int status,
                        beast::string_view,
                        int,
                        ErrorCode& ec) override {
    // Beast accepts any three digits. After 101, the bytes are not HTTP, and no
    // request of this client asks for that.
    if (status < kFirstStatus || status > kLastStatus ||
        status == kSwitchingProtocols) {
      ec = http::error::bad_status;
      return;
    }
    head_.status = status;
  }
  void on_field_impl(http::field,
                     beast::string_view name,
                     beast::string_view value,
                     ErrorCode&) override {
    head_.headers.emplace_back(ToString(name), ToString(value));
  }
  void on_header_impl(ErrorCode& ec) override {
    if (HasUnsupportedCoding(head_.headers)) {
      ec = http::error::bad_transfer_encoding;
      return;
    }
    head_.keep_alive = keep_alive();
    head_.ends_with_connection = need_eof();
    if (!is_interim()) {
      hooks_->on_head(head_);
    }
  }
  void on_body_init_impl(const boost::optional<std::uint64_t>&,
                         ErrorCode&) override {}
  std::size_t on_body_impl(beast::string_view bytes, ErrorCode&) override {
    hooks_->on_body({bytes.data(), bytes.size()});
    return bytes.size();
  }
  void on_chunk_header_impl(std::uint64_t,
                            beast::string_view,
                            ErrorCode&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t,
                                 beast::string_view bytes,
                                 ErrorCode&) override {
    hooks_->on_body({bytes.data(), bytes.size()});
    return bytes.size();
  }
  void on_finish_impl(ErrorCode&) override {}

  HttpResponseHooks* hooks_;
  HttpResponseHead head_;
};

HttpResponseParser::HttpResponseParser(bool has_no_body,
                                       HttpResponseHooks hooks)
    : has_no_body_(has_no_body), hooks_(std::move(hooks)) {
  impl_ = std::make_unique<Impl>(has_no_body_, &hooks_);
}

HttpResponseParser::~HttpResponseParser() = default;

ParseResult HttpResponseParser::Parse(std::string_view bytes) {
  ParseResult total;
  while (true) {
    // Beast consumes nothing of a head before its end has arrived.
    if (!impl_->is_header_done() && HasFoldedLine(bytes.substr(total.used))) {
      total.state = ParseState::kMalformed;
      return total;
    }
    const auto result = FeedParser(*impl_, bytes.substr(total.used));
    total.used += result.used;
    total.state = result.state;
    if (result.state != ParseState::kDone || !impl_->is_interim()) {
      return total;
    }
    interim_bytes_ += result.used;
    if (interim_bytes_ > kMaxResponseHeaderBytes) {
      total.state = ParseState::kHeaderTooLarge;
      return total;
    }
    impl_ = std::make_unique<Impl>(has_no_body_, &hooks_);
  }
}

bool HttpResponseParser::FinishAtClose() {
  if (!impl_->is_header_done() || !impl_->need_eof()) {
    return false;
  }
  ErrorCode ec;
  impl_->put_eof(ec);
  return !ec && impl_->is_done();
}

bool HttpResponseParser::is_head_done() const {
  return impl_->is_header_done() && !impl_->is_interim();
}

}  // namespace crocuslatch
