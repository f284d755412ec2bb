#ifndef APP_CRASH_REPORT_CODEC_H_
#define APP_CRASH_REPORT_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/crash_evidence.h"

// Defines the value in which a host tells the others, through the store, which
// prompts were at servers that crashed and which have been served.

namespace crocuslatch {

struct CrashReport {
  // Consecutive in one process.
  std::uint64_t number = 0;
  // Wall-clock time since 1970 at the reporting host.
  Millis wall_time{0};
  // A crash, or the parts that have been served.
  std::optional<ServerCrash> crash;
  std::vector<std::string> served_parts;
  bool operator==(const CrashReport&) const = default;
};

struct HostCrashReports {
  // Identifies the process.
  std::string incarnation;
  // The last reports, oldest first.
  std::vector<CrashReport> reports;
  bool operator==(const HostCrashReports&) const = default;
};

std::string EncodeCrashReports(const HostCrashReports& reports);

// Returns nullopt if the text is not valid.
std::optional<HostCrashReports> DecodeCrashReports(std::string_view text);

}  // namespace crocuslatch

#endif  // APP_CRASH_REPORT_CODEC_H_
