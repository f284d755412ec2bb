#ifndef SRC_LOG_H_
#define SRC_LOG_H_

#include <fmt/format.h>

#include <concepts>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "src/types.h"

// Defines the numbered log events and the log lines, each of which is one JSON
// object. docs/events.md lists the events; a test compares the two.

namespace crocuslatch {

enum class LogLevel : std::uint8_t { kInfo, kWarning, kError };

// Numbers are stable; the number of a removed event is not reused.
// 1xx process, 2xx configuration, 3xx ledger, 4xx store, 5xx peers, 6xx
// requests, 7xx backend servers.
enum class LogEvent : std::uint16_t {
  kStarted = 100,
  kStopping = 101,
  kStopped = 102,
  kInvariantBroken = 103,
  kSettingsRejected = 104,
  kListenFailed = 105,
  kSettingsReloaded = 106,
  kLogLinesDropped = 107,
  kReadinessChanged = 108,
  kActivity = 109,
  kPreviousProcess = 110,
  kUnexpectedError = 111,
  kDocumentInForce = 200,
  kDocumentRejected = 201,
  kDocumentConflict = 202,
  kDocumentFromPeer = 203,
  kDesiredStateInForce = 204,
  kDesiredStateRejected = 205,
  kShardConflict = 300,
  kShardUnreadable = 301,
  kShardSegmentSealed = 302,
  kHolderFrozen = 303,
  kBillAboveReservation = 304,
  kExchangeRejected = 305,
  kGrantChanged = 306,
  kGrantsReclaimed = 307,
  kTokensLent = 308,
  kTokensBorrowed = 309,
  kWriterLost = 310,
  kWriterRegained = 311,
  kLoanRefused = 312,
  kLoanEnded = 313,
  kLoanUnconfirmed = 314,
  kStoreUnavailable = 400,
  kStoreRecovered = 401,
  kStoreWriteUncertain = 402,
  kStoreThroughPeer = 403,
  kPeerConnected = 500,
  kPeerLost = 501,
  kPeerRejected = 502,
  kRequestRefused = 600,
  kRequestOutcomeUnknown = 601,
  kStreamResumed = 602,
  kBadInput = 603,
  kRequestArrived = 604,
  kRequestDispatched = 605,
  kDispatchEnded = 606,
  kRequestEnded = 607,
  kReservationRefused = 608,
  kRequestWithdrawn = 609,
  kAdmissionRefused = 611,
  kCallerYielded = 620,
  kBackendEjected = 700,
  kBackendReadmitted = 701,
  kBackendLeaving = 702,
  kBackendStalled = 703,
  kHostListUnavailable = 704,
  kServersChanged = 705,
  kServerAvoided = 706,
  kRegistryLate = 707,
  kServerCrashed = 708,
  kPromptQuarantined = 709,
  kPromptReleased = 710,
  kDomainEvacuated = 711,
  kDomainRestored = 712,
  kServerCold = 713,
  kServerWarm = 714,
  kServerSpeedChanged = 730,
};

struct LogEventInfo {
  LogEvent event;
  LogLevel level;
  std::string_view name;
};

// Every event in ascending order.
const std::vector<LogEventInfo>& LogCatalogue();

// Sets the function that receives log lines without their line terminator. By
// default they go to standard output. Not thread-safe: set it before other
// threads start.
void SetLogSink(std::function<void(std::string_view line)> sink);

// One log line, which is written when the object is destroyed.
class LogLine {
 public:
  explicit LogLine(LogEvent event);
  ~LogLine();
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;

  LogLine& Add(std::string_view name, std::string_view value);
  LogLine& Add(std::string_view name, const char* value) {
    return Add(name, std::string_view(value));
  }
  LogLine& Add(std::string_view name, const std::string& value) {
    return Add(name, std::string_view(value));
  }
  LogLine& Add(std::string_view name, bool value);
  LogLine& Add(std::string_view name, double value);
  LogLine& Add(std::string_view name, Millis value) {
    return Add(name, value.count());
  }
  template <std::integral T>
  LogLine& Add(std::string_view name, T value) {
    return AddRaw(name, std::to_string(value));
  }

 private:
  LogLine& AddRaw(std::string_view name, std::string_view json);

  std::string line_;
};

// Writes a line with the single field "message".
void WriteLog(LogEvent event, std::string_view text);

template <typename... Args>
void Log(LogEvent event, fmt::format_string<Args...> format, Args&&... args) {
  WriteLog(event, fmt::format(format, std::forward<Args>(args)...));
}

}  // namespace crocuslatch

#endif  // SRC_LOG_H_
