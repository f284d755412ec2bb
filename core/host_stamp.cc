#include "core/host_stamp.h"

#include <fmt/format.h>

#include <array>
#include <charconv>
#include <chrono>

namespace crocuslatch {

std::string EncodeHostStamp(const HostStamp& stamp) {
  return fmt::format("3 {:016x} {} {} {} {} {}", stamp.incarnation,
                     stamp.boot_time.count(), stamp.wall_time.count(),
                     stamp.link_mbps, stamp.peer_address, stamp.failure_domain);
}

std::optional<HostStamp> DecodeHostStamp(std::string_view text) {
  // Processes of the previous version write stamps without a failure domain.
  constexpr std::string_view kFormat = "3 ";
  constexpr std::string_view kFormatWithoutDomain = "2 ";
  const bool has_domain = text.starts_with(kFormat);
  if (!has_domain && !text.starts_with(kFormatWithoutDomain)) {
    return std::nullopt;
  }
  const auto* begin = text.data() + kFormat.size();
  const auto* const end = text.data() + text.size();
  HostStamp stamp;
  auto result = std::from_chars(begin, end, stamp.incarnation, 16);
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
  const std::string_view rest(result.ptr + 1, end);
  const auto space = has_domain ? rest.find(' ') : std::string_view::npos;
  if (has_domain && space == std::string_view::npos) {
    return std::nullopt;
  }
  stamp.peer_address = rest.substr(0, space);
  if (has_domain) {
    stamp.failure_domain = rest.substr(space + 1);
  }
  return stamp;
}

std::optional<Millis> MaxLifetime(const HostStamp& stamp,
                                  const HostStamp& start,
                                  const HostStampOptions& options) {
  const Millis wall_elapsed = start.wall_time - stamp.wall_time;
  const Millis boot_elapsed = start.boot_time - stamp.boot_time;
  const Millis difference = std::chrono::abs(wall_elapsed - boot_elapsed);
  if (difference <= options.clock_tolerance && boot_elapsed >= Millis{0}) {
    return boot_elapsed <= options.max_lifetime
               ? std::optional(boot_elapsed + options.clock_tolerance)
               : std::nullopt;
  }
  // Setting the wall clock without a reboot makes the clocks differ by seconds;
  // a reboot makes them differ by an arbitrary amount.
  const bool may_be_same_boot = difference < options.max_lifetime;
  if (may_be_same_boot || wall_elapsed < Millis{0} ||
      wall_elapsed > options.max_lifetime) {
    return std::nullopt;
  }
  return wall_elapsed + options.max_clock_step;
}

}  // namespace crocuslatch
