#include "app/front_settings.h"

#include <fmt/format.h>

#include <cmath>

#include "src/ip_endpoint.h"
#include "src/toml_reader.h"

namespace crocuslatch {
namespace {

constexpr Millis kMinMillis{1};
constexpr Millis kMaxMillis{600000};
constexpr double kMaxSeconds = 600;
constexpr double kMaxRetrySlack = 1e6;
constexpr double kMaxColdExcess = 100;
constexpr double kMaxColdSlack = 1e6;
constexpr double kMaxMemoryMb = 1e6;
constexpr double kMaxDescriptors = 1e7;

void ReadAddress(TomlReader& reader,
                 std::string_view key,
                 std::string& address) {
  reader.Read(key, address, Presence::kRequired);
  if (reader.Has(key) && !ParseIpEndpoint(address)) {
    reader.Report(
        reader.LineOf(key),
        fmt::format("\"{}\" is not an IP address with a port", address),
        "give <IP address>:<port>, for example 10.0.0.5:7400");
  }
}

// 1 Tbit/s; catches only mistakes.
constexpr double kMaxLinkMbps = 1e6;

void ReadSeconds(TomlReader& reader, std::string_view key, Millis& duration) {
  double seconds = static_cast<double>(duration.count()) / 1000;
  reader.ReadNumber(key, seconds, 0, kMaxSeconds);
  duration = Millis{std::llround(seconds * 1000)};
}

FrontSettings ReadFront(const toml::table& table, DocumentProblems& problems) {
  FrontSettings settings;
  TomlReader root(table, "the settings", problems);
  root.ReadTable("host", Presence::kRequired, [&](const toml::table& it) {
    TomlReader reader(it, "[host]", problems);
    reader.ReadName("name", settings.host_name, Presence::kRequired);
    reader.ReadName("failure_domain", settings.failure_domain,
                    Presence::kRequired);
  });
  root.ReadTable("listen", Presence::kRequired, [&](const toml::table& it) {
    TomlReader reader(it, "[listen]", problems);
    ReadAddress(reader, "callers", settings.caller_address);
    ReadAddress(reader, "readiness", settings.readiness_address);
    ReadAddress(reader, "metrics", settings.metrics_address);
    ReadAddress(reader, "peers", settings.peer_address);
  });
  root.ReadTable("store", Presence::kRequired, [&](const toml::table& it) {
    TomlReader reader(it, "[store]", problems);
    ReadAddress(reader, "address", settings.store_address);
  });
  root.ReadTable("limits", Presence::kOptional, [&](const toml::table& it) {
    TomlReader reader(it, "[limits]", problems);
    reader.ReadNumber("link_mbps", settings.link_mbps, 0, kMaxLinkMbps);
    reader.ReadNumber("memory_mb", settings.memory_mb, 0, kMaxMemoryMb);
    reader.ReadNumber("max_descriptors", settings.max_descriptors, 0,
                      kMaxDescriptors);
  });
  root.ReadTable("bounds", Presence::kOptional, [&](const toml::table& it) {
    TomlReader reader(it, "[bounds]", problems);
    ReadSeconds(reader, "grace_s", settings.grace);
    reader.ReadMillis("drain_ms", settings.drain, kMinMillis, kMaxMillis);
    reader.ReadMillis("config_apply_ms", settings.config_apply, kMinMillis,
                      kMaxMillis);
    ReadSeconds(reader, "retry_window_s", settings.retry_window);
    reader.ReadNumber("retry_ratio", settings.retry_ratio, 0, 1);
    reader.ReadNumber("retry_slack", settings.retry_slack, 0, kMaxRetrySlack);
    reader.ReadNumber("cold_excess", settings.cold_excess, 0, kMaxColdExcess);
    reader.ReadNumber("cold_slack", settings.cold_slack, 0, kMaxColdSlack);
    reader.ReadMillis("evacuate_ms", settings.evacuate, kMinMillis, kMaxMillis);
  });
  return settings;
}

}  // namespace

FrontSettings ParseFrontSettings(std::string_view toml) {
  DocumentProblems problems;
  const auto table = ParseToml(toml, problems);
  if (problems.empty()) {
    auto settings = ReadFront(table, problems);
    if (problems.empty()) {
      return settings;
    }
  }
  SortByLine(problems);
  throw SettingsError(std::move(problems));
}

FrontSettings LoadFrontSettings(const std::string& path) {
  return ParseFrontSettings(ReadSettingsFile(path));
}

}  // namespace crocuslatch
