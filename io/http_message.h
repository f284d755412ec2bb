#ifndef IO_HTTP_MESSAGE_H_
#define IO_HTTP_MESSAGE_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

// Defines helpers for HTTP/1.1 messages that client and server share.

namespace crocuslatch {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

// Compares ASCII strings case-insensitively.
bool EqualsIgnoringCase(std::string_view a, std::string_view b);

// Returns the value of the first header `name` (case-insensitive); empty if
// absent.
std::string_view FindHeader(const HttpHeaders& headers, std::string_view name);

// Returns whether the comma-separated list `value` contains `token`
// (case-insensitive).
bool HasToken(std::string_view value, std::string_view token);

// Returns whether a header applies to one connection only and must not be
// forwarded: the standard hop-by-hop headers and those listed in `connection`,
// the value of the Connection header.
bool IsHopByHop(std::string_view name, std::string_view connection);

// Returns the standard reason phrase, or "Status" for other codes.
std::string_view ReasonPhrase(int status);

// Returns the start line and headers, including the terminating empty line.
std::string FormatHead(std::string_view start_line, const HttpHeaders& headers);

}  // namespace crocuslatch

#endif  // IO_HTTP_MESSAGE_H_
