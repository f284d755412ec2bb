#include "core/host_stamp.h"

#include <fmt/format.h>

#include <charconv>
#include <chrono>
#include <utility>

namespace crocuslatch {

namespace {

// Most bounds that a stamp may state, so that a damaged number allocates
// little.
constexpr std::int64_t kMaxBounds = 10'000;

// Reads the fields of a stamp, each of which ends with a space.
class FieldReader {
 public:
  explicit FieldReader(std::string_view text) : text_(text) {}

  template <typename Number>
  std::optional<Number> ReadNumber(int base = 10) {
    Number number{};
    const auto* const end = text_.data() + text_.size();
    const auto result = std::from_chars(text_.data(), end, number, base);
    if (result.ec != std::errc() || result.ptr == end || *result.ptr != ' ') {
      return std::nullopt;
    }
    text_.remove_prefix(
        static_cast<std::size_t>(result.ptr + 1 - text_.data()));
    return number;
  }

  // Reads a text after its length, which is a field of its own.
  std::optional<std::string> ReadText() {
    const auto size = ReadNumber<std::size_t>();
    if (!size || *size >= text_.size() || text_[*size] != ' ') {
      return std::nullopt;
    }
    std::string text(text_.substr(0, *size));
    text_.remove_prefix(*size + 1);
    return text;
  }

  std::string_view rest() const { return text_; }

 private:
  std::string_view text_;
};

std::optional<std::vector<StampedBound>> ReadBounds(FieldReader& reader) {
  const auto n = reader.ReadNumber<std::int64_t>();
  if (!n || *n < 0 || *n > kMaxBounds) {
    return std::nullopt;
  }
  std::vector<StampedBound> bounds;
  for (std::int64_t i = 0; i < *n; ++i) {
    const auto budget = reader.ReadText();
    const auto sequence = reader.ReadNumber<std::uint64_t>();
    const auto armed = reader.ReadNumber<Tokens>();
    const auto pace = reader.ReadNumber<Tokens>();
    if (!budget || !sequence || !armed || !pace || *armed < 0 || *pace < 0 ||
        *armed > kMaxTokens || *pace > kMaxTokens) {
      return std::nullopt;
    }
    bounds.push_back({*budget, *sequence, *armed, *pace});
  }
  return bounds;
}

}  // namespace

std::string EncodeHostStamp(const HostStamp& stamp) {
  std::string text = fmt::format(
      "{} {:016x} {} {} {} ", stamp.bounds.empty() ? 3 : 4, stamp.incarnation,
      stamp.boot_time.count(), stamp.wall_time.count(), stamp.link_mbps);
  if (!stamp.bounds.empty()) {
    text += fmt::format("{} ", stamp.bounds.size());
    for (const auto& it : stamp.bounds) {
      text += fmt::format("{} {} {} {} {} ", it.budget.size(), it.budget,
                          it.sequence, it.armed, it.pace);
    }
  }
  return text + fmt::format("{} {}", stamp.peer_address, stamp.failure_domain);
}

// A stamp with bounds has a format that the previous version rejects: with the
// bounds left out, that version would count too little as used.
std::optional<HostStamp> DecodeHostStamp(std::string_view text) {
  // Processes of an earlier version write stamps without a failure domain.
  constexpr std::string_view kFormatWithBounds = "4 ";
  constexpr std::string_view kFormat = "3 ";
  constexpr std::string_view kFormatWithoutDomain = "2 ";
  const bool has_bounds = text.starts_with(kFormatWithBounds);
  const bool has_domain = has_bounds || text.starts_with(kFormat);
  if (!has_domain && !text.starts_with(kFormatWithoutDomain)) {
    return std::nullopt;
  }
  FieldReader reader(text.substr(kFormat.size()));
  HostStamp stamp;
  const auto incarnation = reader.ReadNumber<std::uint64_t>(16);
  const auto boot_time = reader.ReadNumber<std::int64_t>();
  const auto wall_time = reader.ReadNumber<std::int64_t>();
  const auto link_mbps = reader.ReadNumber<std::int64_t>();
  if (!incarnation || !boot_time || !wall_time || !link_mbps) {
    return std::nullopt;
  }
  stamp.incarnation = *incarnation;
  stamp.boot_time = Millis{*boot_time};
  stamp.wall_time = Millis{*wall_time};
  stamp.link_mbps = *link_mbps;
  if (has_bounds) {
    auto bounds = ReadBounds(reader);
    if (!bounds) {
      return std::nullopt;
    }
    stamp.bounds = std::move(*bounds);
  }
  const std::string_view rest = reader.rest();
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
