#include "core/host_stamp.h"

#include <fmt/format.h>

#include <array>
#include <charconv>
#include <chrono>

namespace crocuslatch {

std::string EncodeHostStamp(const HostStamp& stamp) {
  return fmt::format("2 {:016x} {} {} {} {}", stamp.incarnation,
                     stamp.boot_time.count(), stamp.wall_time.count(),
                     stamp.link_mbps, stamp.peer_address);
}

std::optional<HostStamp> DecodeHostStamp(std::string_view text) {
  constexpr std::string_view kFormat = "2 ";
  if (!text.starts_with(kFormat)) {
    return std::nullopt;
  }
  const auto* at = text.data() + kFormat.size();
  const auto* const end = text.data() + text.size();
  HostStamp stamp;
  auto result = std::from_chars(at, end, stamp.incarnation, 16);
  std::array<std::int64_t, 3> numbers{};
  for (auto& it : numbers) {
    if (result.ec != std::errc() || result.ptr == end || *result.ptr != ' ') {
      return std::nullopt;
    }
    result = std::from_chars(result.ptr + 1, end, it);
  }
  if (result.ec != std::errc() || result.ptr == end || *result.ptr != ' ') {
    return std::nullopt;
  }
  stamp.boot_time = Millis{numbers[0]};
  stamp.wall_time = Millis{numbers[1]};
  stamp.link_mbps = numbers[2];
  stamp.peer_address = std::string(result.ptr + 1, end);
  return stamp;
}

std::optional<Millis> MaxLifetime(const HostStamp& stamp,
                                  const HostStamp& start,
                                  const HostStampOptions& options) {
  const Millis by_wall = start.wall_time - stamp.wall_time;
  const Millis by_boot = start.boot_time - stamp.boot_time;
  const Millis difference = std::chrono::abs(by_wall - by_boot);
  if (difference <= options.clock_tolerance && by_boot >= Millis{0}) {
    return by_boot <= options.longest_life
               ? std::optional(by_boot + options.clock_tolerance)
               : std::nullopt;
  }
  // A step of the time of day on a host that was not started again brings the
  // clocks apart by seconds; another start of the host by any time.
  const bool may_be_same_boot = difference < options.longest_life;
  if (may_be_same_boot || by_wall < Millis{0} ||
      by_wall > options.longest_life) {
    return std::nullopt;
  }
  return by_wall + options.longest_step;
}

}  // namespace crocuslatch
