#include "src/log.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <utility>

namespace crocuslatch {
namespace {

std::string_view ToString(LogLevel level) {
  switch (level) {
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "error";
}

std::function<void(std::string_view)>& Sink() {
  static std::function<void(std::string_view)> sink;
  return sink;
}

std::string UtcNow() {
  const auto now = std::chrono::system_clock::now();
  const auto ms =
      std::chrono::duration_cast<Millis>(now.time_since_epoch()).count();
  const auto seconds = std::chrono::system_clock::to_time_t(now);
  std::tm parts{};
  ::gmtime_r(&seconds, &parts);
  return fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}.{:03}Z",
                     parts.tm_year + 1900, parts.tm_mon + 1, parts.tm_mday,
                     parts.tm_hour, parts.tm_min, parts.tm_sec, ms % 1000);
}

std::string Quote(std::string_view text) {
  std::string out = "\"";
  for (const char it : text) {
    if (it == '"' || it == '\\') {
      out += '\\';
      out += it;
    } else if (static_cast<unsigned char>(it) < 0x20) {
      out += fmt::format("\\u{:04x}", static_cast<int>(it));
    } else {
      out += it;
    }
  }
  out += '"';
  return out;
}

}  // namespace

const std::vector<LogEventInfo>& LogCatalogue() {
  static const std::vector<LogEventInfo> kCatalogue{
      {LogEvent::kStarted, LogLevel::kInfo, "started"},
      {LogEvent::kStopping, LogLevel::kInfo, "stopping"},
      {LogEvent::kStopped, LogLevel::kInfo, "stopped"},
      {LogEvent::kInvariantBroken, LogLevel::kError, "invariant_broken"},
      {LogEvent::kSettingsRejected, LogLevel::kError, "settings_rejected"},
      {LogEvent::kListenFailed, LogLevel::kError, "listen_failed"},
      {LogEvent::kSettingsReloaded, LogLevel::kInfo, "settings_reloaded"},
      {LogEvent::kLogLinesDropped, LogLevel::kWarning, "log_lines_dropped"},
      {LogEvent::kReadinessChanged, LogLevel::kInfo, "readiness_changed"},
      {LogEvent::kActivity, LogLevel::kInfo, "activity"},
      {LogEvent::kPreviousProcess, LogLevel::kInfo, "previous_process"},
      {LogEvent::kUnexpectedError, LogLevel::kError, "unexpected_error"},
      {LogEvent::kDocumentInForce, LogLevel::kInfo, "document_in_force"},
      {LogEvent::kDocumentRejected, LogLevel::kWarning, "document_rejected"},
      {LogEvent::kDocumentConflict, LogLevel::kWarning, "document_conflict"},
      {LogEvent::kDocumentFromPeer, LogLevel::kInfo, "document_from_peer"},
      {LogEvent::kDesiredStateInForce, LogLevel::kInfo,
       "desired_state_in_force"},
      {LogEvent::kDesiredStateRejected, LogLevel::kWarning,
       "desired_state_rejected"},
      {LogEvent::kShardConflict, LogLevel::kInfo, "shard_conflict"},
      {LogEvent::kShardUnreadable, LogLevel::kError, "shard_unreadable"},
      {LogEvent::kShardSegmentSealed, LogLevel::kInfo, "shard_segment_sealed"},
      {LogEvent::kHolderFrozen, LogLevel::kWarning, "holder_frozen"},
      {LogEvent::kBillAboveReservation, LogLevel::kError,
       "bill_above_reservation"},
      {LogEvent::kExchangeRejected, LogLevel::kError, "exchange_rejected"},
      {LogEvent::kGrantChanged, LogLevel::kInfo, "grant_changed"},
      {LogEvent::kGrantsReclaimed, LogLevel::kInfo, "grants_reclaimed"},
      {LogEvent::kTokensLent, LogLevel::kInfo, "tokens_lent"},
      {LogEvent::kTokensBorrowed, LogLevel::kInfo, "tokens_borrowed"},
      {LogEvent::kWriterLost, LogLevel::kInfo, "ledger_writer_lost"},
      {LogEvent::kWriterRegained, LogLevel::kInfo, "ledger_writer_regained"},
      {LogEvent::kLoanRefused, LogLevel::kInfo, "loan_refused"},
      {LogEvent::kLoanEnded, LogLevel::kInfo, "loan_ended"},
      {LogEvent::kLoanUnconfirmed, LogLevel::kWarning, "loan_unconfirmed"},
      {LogEvent::kStoreUnavailable, LogLevel::kWarning, "store_unavailable"},
      {LogEvent::kStoreRecovered, LogLevel::kInfo, "store_recovered"},
      {LogEvent::kStoreWriteUncertain, LogLevel::kWarning,
       "store_write_uncertain"},
      {LogEvent::kStoreThroughPeer, LogLevel::kInfo, "store_through_peer"},
      {LogEvent::kPeerConnected, LogLevel::kInfo, "peer_connected"},
      {LogEvent::kPeerLost, LogLevel::kInfo, "peer_lost"},
      {LogEvent::kPeerRejected, LogLevel::kWarning, "peer_rejected"},
      {LogEvent::kRequestRefused, LogLevel::kInfo, "request_refused"},
      {LogEvent::kRequestOutcomeUnknown, LogLevel::kWarning,
       "request_outcome_unknown"},
      {LogEvent::kStreamResumed, LogLevel::kInfo, "stream_resumed"},
      {LogEvent::kBadInput, LogLevel::kInfo, "bad_input"},
      {LogEvent::kRequestArrived, LogLevel::kInfo, "request_arrived"},
      {LogEvent::kRequestDispatched, LogLevel::kInfo, "request_dispatched"},
      {LogEvent::kDispatchEnded, LogLevel::kInfo, "dispatch_ended"},
      {LogEvent::kRequestEnded, LogLevel::kInfo, "request_ended"},
      {LogEvent::kReservationRefused, LogLevel::kInfo, "reservation_refused"},
      {LogEvent::kRequestWithdrawn, LogLevel::kInfo, "request_withdrawn"},
      {LogEvent::kAdmissionRefused, LogLevel::kInfo, "admission_refused"},
      {LogEvent::kCallerYielded, LogLevel::kWarning, "caller_yielded"},
      {LogEvent::kBackendEjected, LogLevel::kWarning, "backend_ejected"},
      {LogEvent::kBackendReadmitted, LogLevel::kInfo, "backend_readmitted"},
      {LogEvent::kBackendLeaving, LogLevel::kInfo, "backend_leaving"},
      {LogEvent::kBackendStalled, LogLevel::kWarning, "backend_stalled"},
      {LogEvent::kHostListUnavailable, LogLevel::kWarning,
       "host_list_unavailable"},
      {LogEvent::kServersChanged, LogLevel::kInfo, "servers_changed"},
      {LogEvent::kServerAvoided, LogLevel::kWarning, "server_avoided"},
      {LogEvent::kRegistryLate, LogLevel::kWarning, "registry_late"},
      {LogEvent::kServerCrashed, LogLevel::kWarning, "server_crashed"},
      {LogEvent::kPromptQuarantined, LogLevel::kError, "prompt_quarantined"},
      {LogEvent::kPromptReleased, LogLevel::kWarning, "prompt_released"},
      {LogEvent::kDomainEvacuated, LogLevel::kWarning, "domain_evacuated"},
      {LogEvent::kDomainRestored, LogLevel::kInfo, "domain_restored"},
      {LogEvent::kServerCold, LogLevel::kInfo, "server_cold"},
      {LogEvent::kServerWarm, LogLevel::kInfo, "server_warm"},
      {LogEvent::kServerSpeedChanged, LogLevel::kInfo, "server_speed_changed"},
  };
  return kCatalogue;
}

void SetLogSink(std::function<void(std::string_view line)> sink) {
  Sink() = std::move(sink);
}

LogLine::LogLine(LogEvent event) {
  const auto& all = LogCatalogue();
  const auto it = std::ranges::find(all, event, &LogEventInfo::event);
  const auto level = it == all.end() ? LogLevel::kError : it->level;
  const auto name = it == all.end() ? std::string_view("unlisted") : it->name;
  line_ = fmt::format(R"({{"time":"{}","level":"{}","event":{},"name":"{}")",
                      UtcNow(), ToString(level), static_cast<int>(event), name);
}

LogLine::~LogLine() {
  line_ += '}';
  if (Sink()) {
    Sink()(line_);
    return;
  }
  line_ += '\n';
  // A single write per line keeps lines of different threads from interleaving.
  std::fwrite(line_.data(), 1, line_.size(), stdout);
  std::fflush(stdout);
}

LogLine& LogLine::Add(std::string_view name, std::string_view value) {
  return AddRaw(name, Quote(value));
}

LogLine& LogLine::Add(std::string_view name, bool value) {
  return AddRaw(name, value ? "true" : "false");
}

LogLine& LogLine::Add(std::string_view name, double value) {
  return AddRaw(name, fmt::format("{:.1f}", value));
}

LogLine& LogLine::AddRaw(std::string_view name, std::string_view json) {
  line_.append(",\"").append(name).append("\":").append(json);
  return *this;
}

void WriteLog(LogEvent event, std::string_view text) {
  LogLine(event).Add("message", text);
}

}  // namespace crocuslatch
