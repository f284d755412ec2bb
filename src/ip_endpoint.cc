#include "src/ip_endpoint.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace crocuslatch {
namespace {

bool IsNumberOf(int family, std::string_view text) {
  std::array<unsigned char, sizeof(in6_addr)> buf{};
  return inet_pton(family, std::string(text).c_str(), buf.data()) == 1;
}

std::optional<std::uint16_t> ParsePort(std::string_view text) {
  std::uint16_t port = 0;
  const auto* end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, port);
  if (ec != std::errc() || rest != end || port == 0) {
    return std::nullopt;
  }
  return port;
}

}  // namespace

bool IsIpAddress(std::string_view text) {
  return IsNumberOf(AF_INET, text) || IsNumberOf(AF_INET6, text);
}

std::optional<IpEndpoint> ParseIpEndpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const auto port = ParsePort(text.substr(colon + 1));
  auto address = text.substr(0, colon);
  const bool bracketed =
      address.size() > 2 && address.front() == '[' && address.back() == ']';
  if (bracketed) {
    address = address.substr(1, address.size() - 2);
  }
  if (!port || !IsNumberOf(bracketed ? AF_INET6 : AF_INET, address)) {
    return std::nullopt;
  }
  return IpEndpoint{std::string(address), *port};
}

std::optional<IpEndpoint> ParseBaseUrl(std::string_view text) {
  constexpr std::string_view kScheme = "http://";
  if (!text.starts_with(kScheme)) {
    return std::nullopt;
  }
  return ParseIpEndpoint(text.substr(kScheme.size()));
}

}  // namespace crocuslatch
