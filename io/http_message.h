#ifndef IO_HTTP_MESSAGE_H_
#define IO_HTTP_MESSAGE_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

// Defines the parts of HTTP/1.1 messages that client and server share.

namespace crocuslatch {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

// ASCII comparison without case.
bool EqualsIgnoringCase(std::string_view a, std::string_view b);

// Value of the first header `name`, compared without case; empty if absent.
std::string_view FindHeader(const HttpHeaders& headers, std::string_view name);

// True if the comma-separated list `value` has the element `token`.
bool HasToken(std::string_view value, std::string_view token);

// True for headers that concern one connection only and are not forwarded:
// the fixed ones and those that `connection`, the value of the Connection
// header, names.
bool IsHopByHop(std::string_view name, std::string_view connection);

// Standard reason phrase, or "Status".
std::string_view ReasonPhrase(int status);

// Start line and headers up to and including the empty line.
std::string FormatHead(std::string_view start_line, const HttpHeaders& headers);

}  // namespace crocuslatch

#endif  // IO_HTTP_MESSAGE_H_
