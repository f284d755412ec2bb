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

void ReadAddress(TomlReader& reader, std::string_view key, std::string& out) {
  reader.Read(key, out, Presence::kRequired);
  if (reader.Has(key) && !ParseIpEndpoint(out)) {
    reader.Report(reader.LineOf(key),
                  fmt::format("\"{}\" is not an IP number with a port", out),
                  "give <IP number>:<port>, for example 10.0.0.5:7400");
  }
}

// 1 Tbit/s; only catches mistakes.
constexpr double kMaxLinkMbps = 1e6;

void ReadSeconds(TomlReader& reader, std::string_view key, Millis& out) {
  double seconds = static_cast<double>(out.count()) / 1000;
  reader.ReadNumber(key, seconds, 0, kMaxSeconds);
  out = Millis{std::llround(seconds * 1000)};
}

FrontSettings ReadFront(const toml::table& table, DocumentProblems& problems) {
  FrontSettings out;
  TomlReader top(table, "the settings", problems);
  top.ReadTable("host", Presence::kRequired, [&](const toml::table& it) {
    TomlReader reader(it, "[host]", problems);
    reader.ReadName("name", out.host_name, Presence::kRequired);
    reader.ReadName("failure_domain", out.failure_domain, Presence::kRequired);
  });
  top.ReadTable("listen", Presence::kRequired, [&](const toml::table& it) {
    TomlReader reader(it, "[listen]", problems);
    ReadAddress(reader, "callers", out.caller_address);
    ReadAddress(reader, "readiness", out.readiness_address);
    ReadAddress(reader, "metrics", out.metrics_address);
    ReadAddress(reader, "peers", out.peer_address);
  });
  top.ReadTable("store", Presence::kRequired, [&](const toml::table& it) {
    TomlReader reader(it, "[store]", problems);
    ReadAddress(reader, "address", out.store_address);
  });
  top.ReadTable("limits", Presence::kOptional, [&](const toml::table& it) {
    TomlReader reader(it, "[limits]", problems);
    reader.ReadNumber("link_mbps", out.link_mbps, 0, kMaxLinkMbps);
  });
  top.ReadTable("bounds", Presence::kOptional, [&](const toml::table& it) {
    TomlReader reader(it, "[bounds]", problems);
    ReadSeconds(reader, "grace_s", out.grace);
    reader.ReadMillis("drain_ms", out.drain, kMinMillis, kMaxMillis);
    ReadSeconds(reader, "retry_window_s", out.retry_window);
    reader.ReadNumber("retry_ratio", out.retry_ratio, 0, 1);
    reader.ReadNumber("retry_slack", out.retry_slack, 0, kMaxRetrySlack);
  });
  return out;
}

}  // namespace

FrontSettings ParseFrontSettings(std::string_view toml) {
  DocumentProblems problems;
  const auto table = ParseToml(toml, problems);
  if (problems.empty()) {
    auto out = ReadFront(table, problems);
    if (problems.empty()) {
      return out;
    }
  }
  SortByLine(problems);
  throw SettingsError(std::move(problems));
}

FrontSettings LoadFrontSettings(const std::string& path) {
  return ParseFrontSettings(ReadSettingsFile(path));
}

}  // namespace crocuslatch
