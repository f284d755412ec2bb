#include "src/settings.h"

#include <fmt/format.h>

#include <fstream>
#include <optional>
#include <sstream>

#include "src/ip_endpoint.h"
#include "src/toml_reader.h"

namespace crocuslatch {
namespace {

constexpr std::size_t kMinSecretBytes = 16;
constexpr std::uint32_t kMaxWorkerThreads = 64;
constexpr std::uint16_t kMaxPort = 65535;
constexpr Millis kMinPeriod{50};
constexpr Millis kMaxPeriod{60000};
// A document must be in force everywhere within 7 s of its acceptance, also if
// a router misses two polls of the head: three periods, and a second to read
// the document.
constexpr Millis kMaxConfigHeadPeriod{2000};

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    return std::nullopt;
  }
  return std::move(text).str();
}

std::string StripTrailingNewlines(std::string text) {
  while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) {
    text.pop_back();
  }
  return text;
}

// Reads `key`, or the file that `<key>_file` names; exactly one must be set.
void ReadSecret(TomlReader& reader, const std::string& key, std::string& out) {
  const std::string file_key = key + "_file";
  const bool given = reader.Has(key);
  const bool from_file = reader.Has(file_key);
  if (given == from_file) {
    reader.Report(
        reader.line(),
        fmt::format("{} needs exactly one of \"{}\" and \"{}\"", reader.label(),
                    key, file_key),
        fmt::format("set \"{}\", or \"{}\" to a file that contains it", key,
                    file_key));
  }
  std::string path;
  reader.Read(key, out, Presence::kOptional);
  reader.Read(file_key, path, Presence::kOptional);
  if (given == from_file) {
    return;
  }
  if (from_file) {
    const auto text = ReadFile(path);
    if (!text) {
      reader.Report(reader.LineOf(file_key),
                    fmt::format("the file \"{}\" cannot be read", path),
                    "create the file or correct its path and permissions");
      return;
    }
    out = StripTrailingNewlines(*text);
  }
  if (out.size() < kMinSecretBytes) {
    reader.Report(
        reader.LineOf(from_file ? file_key : key),
        fmt::format("\"{}\" has fewer than {} bytes", key, kMinSecretBytes),
        "generate a longer random value");
  }
}

void CheckAddress(TomlReader& reader, const std::string& address) {
  if (!IsIpAddress(address)) {
    reader.Report(reader.LineOf("address"),
                  fmt::format("\"{}\" is not an IP address", address),
                  "give an IPv4 or IPv6 address, for example 10.0.0.5");
  }
}

void ReadAddressAndPort(TomlReader& reader, ListenerSettings& out) {
  reader.Read("address", out.address, Presence::kRequired);
  reader.ReadInteger<std::uint16_t>("port", out.port, 0, kMaxPort,
                                    Presence::kRequired);
  CheckAddress(reader, out.address);
}

void ReadBaseUrl(TomlReader& reader, std::string& out) {
  reader.Read("url", out, Presence::kRequired);
  if (!out.empty() && out.back() == '/') {
    out.pop_back();
  }
  if (reader.Has("url") && !ParseBaseUrl(out)) {
    reader.Report(reader.LineOf("url"),
                  fmt::format("\"{}\" is not a base URL", out),
                  "give http://<IP address>:<port> without a path");
  }
}

StaticPeer ReadStaticPeer(const toml::table& table,
                          DocumentProblems& problems) {
  TomlReader reader(table, "[[static_peer]]", problems);
  StaticPeer peer;
  reader.ReadName("host", peer.host, Presence::kRequired);
  reader.Read("address", peer.address, Presence::kRequired);
  if (reader.Has("address") && !ParseIpEndpoint(peer.address)) {
    reader.Report(
        reader.LineOf("address"),
        fmt::format("\"{}\" is not an IP address with a port", peer.address),
        "give <IP address>:<port>, for example 10.0.0.5:7400");
  }
  reader.ReportUnknownKeys();
  return peer;
}

void ReadPeriods(TomlReader& reader, PeriodSettings& out) {
  reader.ReadMillis("config_head_ms", out.config_head, kMinPeriod,
                    kMaxConfigHeadPeriod);
  reader.ReadMillis("heartbeat_ms", out.heartbeat, kMinPeriod, kMaxPeriod);
  reader.ReadMillis("host_list_ms", out.host_list, kMinPeriod, kMaxPeriod);
  reader.ReadMillis("load_report_ms", out.load_report, kMinPeriod, kMaxPeriod);
  reader.ReadMillis("store_timeout_ms", out.store_timeout, kMinPeriod,
                    kMaxPeriod);
  reader.ReadMillis("peer_timeout_ms", out.peer_timeout, kMinPeriod,
                    kMaxPeriod);
}

using ReadSection = std::function<void(TomlReader&)>;

void ReadRequired(TomlReader& top,
                  const std::string& name,
                  DocumentProblems& problems,
                  const ReadSection& read) {
  top.ReadTable(name, Presence::kRequired, [&](const toml::table& table) {
    TomlReader reader(table, "[" + name + "]", problems);
    read(reader);
    reader.ReportUnknownKeys();
  });
}

void ReadHost(TomlReader& reader, Settings& out) {
  reader.ReadName("name", out.host_name, Presence::kRequired);
  reader.ReadName("failure_domain", out.failure_domain, Presence::kRequired);
  reader.ReadInteger<std::uint32_t>("worker_threads", out.worker_threads, 1,
                                    kMaxWorkerThreads, Presence::kOptional);
}

Settings ReadSettings(const toml::table& table, DocumentProblems& problems) {
  Settings out;
  TomlReader top(table, "the settings", problems);
  const auto section = [&](const std::string& name, const ReadSection& read) {
    ReadRequired(top, name, problems, read);
  };
  section("host", [&](TomlReader& it) { ReadHost(it, out); });
  section("caller",
          [&](TomlReader& it) { ReadAddressAndPort(it, out.caller); });
  section("admin", [&](TomlReader& it) {
    ReadAddressAndPort(it, out.admin);
    ReadSecret(it, "token", out.admin_token);
  });
  section("peer", [&](TomlReader& it) {
    ReadAddressAndPort(it, out.peer);
    ReadSecret(it, "fleet_secret", out.fleet_secret);
  });
  section("store", [&](TomlReader& it) { ReadBaseUrl(it, out.store_url); });
  section("host_list",
          [&](TomlReader& it) { ReadBaseUrl(it, out.host_list_url); });
  top.ForEachTable("static_peer", [&](const toml::table& it) {
    out.peers.push_back(ReadStaticPeer(it, problems));
  });
  top.ReadTable("periods", Presence::kOptional, [&](const toml::table& it) {
    TomlReader reader(it, "[periods]", problems);
    ReadPeriods(reader, out.periods);
    reader.ReportUnknownKeys();
  });
  top.ReportUnknownKeys();
  return out;
}

}  // namespace

SettingsError::SettingsError(DocumentProblems problems)
    : UserError("settings_rejected",
                FormatProblems(problems),
                "correct the listed lines and start again"),
      problems_(std::move(problems)) {}

Settings ParseSettings(std::string_view toml) {
  DocumentProblems problems;
  const auto table = ParseToml(toml, problems);
  if (!problems.empty()) {
    throw SettingsError(std::move(problems));
  }
  auto out = ReadSettings(table, problems);
  if (!problems.empty()) {
    SortByLine(problems);
    throw SettingsError(std::move(problems));
  }
  return out;
}

std::string ReadSettingsFile(const std::string& path) {
  auto text = ReadFile(path);
  if (!text) {
    throw SettingsError({{0, fmt::format("\"{}\" cannot be read", path),
                          "correct the path or the file's permissions"}});
  }
  return *std::move(text);
}

Settings LoadSettings(const std::string& path) {
  return ParseSettings(ReadSettingsFile(path));
}

}  // namespace crocuslatch
