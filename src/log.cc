#include "src/log.h"

#include <QDateTime>
#include <algorithm>
#include <cstdio>

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

}  // namespace

const std::vector<LogEventInfo>& LogCatalogue() {
  static const std::vector<LogEventInfo> kCatalogue{
      {LogEvent::kStarted, LogLevel::kInfo, "started"},
      {LogEvent::kStopping, LogLevel::kInfo, "stopping"},
      {LogEvent::kStopped, LogLevel::kInfo, "stopped"},
      {LogEvent::kInvariantBroken, LogLevel::kError, "invariant_broken"},
      {LogEvent::kSettingsRejected, LogLevel::kError, "settings_rejected"},
      {LogEvent::kListenFailed, LogLevel::kError, "listen_failed"},
      {LogEvent::kDocumentInForce, LogLevel::kInfo, "document_in_force"},
      {LogEvent::kDocumentRejected, LogLevel::kWarning, "document_rejected"},
      {LogEvent::kDocumentConflict, LogLevel::kWarning, "document_conflict"},
      {LogEvent::kDocumentFromPeer, LogLevel::kInfo, "document_from_peer"},
      {LogEvent::kShardConflict, LogLevel::kInfo, "shard_conflict"},
      {LogEvent::kShardUnreadable, LogLevel::kError, "shard_unreadable"},
      {LogEvent::kShardSegmentSealed, LogLevel::kInfo, "shard_segment_sealed"},
      {LogEvent::kHolderFrozen, LogLevel::kWarning, "holder_frozen"},
      {LogEvent::kBillAboveReservation, LogLevel::kError,
       "bill_above_reservation"},
      {LogEvent::kExchangeRejected, LogLevel::kError, "exchange_rejected"},
      {LogEvent::kStoreUnavailable, LogLevel::kWarning, "store_unavailable"},
      {LogEvent::kStoreRecovered, LogLevel::kInfo, "store_recovered"},
      {LogEvent::kStoreWriteUncertain, LogLevel::kWarning,
       "store_write_uncertain"},
      {LogEvent::kPeerConnected, LogLevel::kInfo, "peer_connected"},
      {LogEvent::kPeerLost, LogLevel::kInfo, "peer_lost"},
      {LogEvent::kPeerRejected, LogLevel::kWarning, "peer_rejected"},
      {LogEvent::kRequestRefused, LogLevel::kInfo, "request_refused"},
      {LogEvent::kRequestOutcomeUnknown, LogLevel::kWarning,
       "request_outcome_unknown"},
      {LogEvent::kStreamResumed, LogLevel::kInfo, "stream_resumed"},
      {LogEvent::kBadInput, LogLevel::kInfo, "bad_input"},
      {LogEvent::kBackendEjected, LogLevel::kWarning, "backend_ejected"},
      {LogEvent::kBackendReadmitted, LogLevel::kInfo, "backend_readmitted"},
      {LogEvent::kBackendLeaving, LogLevel::kInfo, "backend_leaving"},
      {LogEvent::kBackendStalled, LogLevel::kWarning, "backend_stalled"},
      {LogEvent::kHostListUnavailable, LogLevel::kWarning,
       "host_list_unavailable"},
  };
  return kCatalogue;
}

void WriteLog(LogEvent event, std::string_view text) {
  const auto& all = LogCatalogue();
  const auto it = std::ranges::find(all, event, &LogEventInfo::event);
  const auto level = it == all.end() ? LogLevel::kError : it->level;
  const auto name = it == all.end() ? std::string_view("unlisted") : it->name;
  // One call for each line keeps the lines of different threads apart.
  const std::string line = fmt::format(
      "{} {} {} {} {}\n",
      QDateTime::currentDateTimeUtc().toString(Qt::ISODateWithMs).toStdString(),
      ToString(level), static_cast<int>(event), name, text);
  std::fwrite(line.data(), 1, line.size(), stderr);
}

}  // namespace crocuslatch
