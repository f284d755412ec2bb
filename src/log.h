#ifndef SRC_LOG_H_
#define SRC_LOG_H_

#include <fmt/format.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

// Defines the numbered log events and the function that writes them to
// standard error. docs/events.md is the catalogue; a test compares the two.

namespace crocuslatch {

enum class LogLevel : std::uint8_t { kInfo, kWarning, kError };

// Numbers are stable: a removed event's number is not used again.
// 1xx process, 2xx configuration, 3xx ledger, 4xx store, 5xx peers,
// 6xx requests, 7xx backend servers.
enum class LogEvent : std::uint16_t {
  kStarted = 100,
  kStopping = 101,
  kStopped = 102,
  kInvariantBroken = 103,
  kSettingsRejected = 104,
  kListenFailed = 105,
  kDocumentInForce = 200,
  kDocumentRejected = 201,
  kDocumentConflict = 202,
  kDocumentFromPeer = 203,
  kShardConflict = 300,
  kShardUnreadable = 301,
  kShardSegmentSealed = 302,
  kHolderFrozen = 303,
  kBillAboveReservation = 304,
  kExchangeRejected = 305,
  kStoreUnavailable = 400,
  kStoreRecovered = 401,
  kStoreWriteUncertain = 402,
  kPeerConnected = 500,
  kPeerLost = 501,
  kPeerRejected = 502,
  kRequestRefused = 600,
  kRequestOutcomeUnknown = 601,
  kStreamResumed = 602,
  kBadInput = 603,
  kBackendEjected = 700,
  kBackendReadmitted = 701,
  kBackendLeaving = 702,
  kBackendStalled = 703,
  kHostListUnavailable = 704,
};

struct LogEventInfo {
  LogEvent event;
  LogLevel level;
  std::string_view name;
};

// Every event in ascending order.
const std::vector<LogEventInfo>& LogCatalogue();

// Writes one line: time, level, event number, event name, text.
void WriteLog(LogEvent event, std::string_view text);

template <typename... Args>
void Log(LogEvent event, fmt::format_string<Args...> format, Args&&... args) {
  WriteLog(event, fmt::format(format, std::forward<Args>(args)...));
}

}  // namespace crocuslatch

#endif  // SRC_LOG_H_
