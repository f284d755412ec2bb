#ifndef SRC_IP_ENDPOINT_H_
#define SRC_IP_ENDPOINT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

// Defines IP numbers with ports and base URLs, as settings and documents
// write them. Names are never resolved.

namespace crocuslatch {

struct IpEndpoint {
  // IPv4 or IPv6 number without brackets.
  std::string address;
  std::uint16_t port = 0;
  bool operator==(const IpEndpoint&) const = default;
};

bool IsIpAddress(std::string_view text);

// Reads "127.0.0.1:80" or "[::1]:80"; the port is 1 to 65535.
std::optional<IpEndpoint> ParseIpEndpoint(std::string_view text);

// Reads "http://<IP number>:<port>", without a path.
std::optional<IpEndpoint> ParseBaseUrl(std::string_view text);

}  // namespace crocuslatch

#endif  // SRC_IP_ENDPOINT_H_
