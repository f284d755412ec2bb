#include "io/http_message.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace crocuslatch {
namespace {

std::string_view Trim(std::string_view text) {
  const auto from = text.find_first_not_of(" \t");
  if (from == std::string_view::npos) {
    return {};
  }
  return text.substr(from, text.find_last_not_of(" \t") - from + 1);
}

}  // namespace

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return std::ranges::equal(a, b, [](unsigned char x, unsigned char y) {
    return std::tolower(x) == std::tolower(y);
  });
}

std::string_view FindHeader(const HttpHeaders& headers, std::string_view name) {
  const auto it = std::ranges::find_if(headers, [&](const auto& header) {
    return EqualsIgnoringCase(header.first, name);
  });
  return it == headers.end() ? std::string_view() : it->second;
}

bool HasToken(std::string_view value, std::string_view token) {
  while (!value.empty()) {
    const auto comma = value.find(',');
    if (EqualsIgnoringCase(Trim(value.substr(0, comma)), token)) {
      return true;
    }
    value.remove_prefix(comma == std::string_view::npos ? value.size()
                                                        : comma + 1);
  }
  return false;
}

bool IsHopByHop(std::string_view name, std::string_view connection) {
  constexpr std::array<std::string_view, 9> kFixed{"Connection",
                                                   "Keep-Alive",
                                                   "Proxy-Authenticate",
                                                   "Proxy-Authorization",
                                                   "Proxy-Connection",
                                                   "TE",
                                                   "Trailer",
                                                   "Transfer-Encoding",
                                                   "Upgrade"};
  return std::ranges::any_of(
             kFixed, [&](auto it) { return EqualsIgnoringCase(it, name); }) ||
         HasToken(connection, name);
}

std::string_view ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 402:
      return "Payment Required";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 413:
      return "Content Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

std::string FormatHead(std::string_view start_line,
                       const HttpHeaders& headers) {
  std::string head(start_line);
  head += "\r\n";
  for (const auto& [name, value] : headers) {
    head.append(name).append(": ").append(value).append("\r\n");
  }
  head += "\r\n";
  return head;
}

}  // namespace crocuslatch
