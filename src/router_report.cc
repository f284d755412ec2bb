#include "src/router_report.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace crocuslatch {
namespace {

QString Text(std::string_view text) {
  return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

QJsonArray Names(const std::vector<std::string>& names) {
  QJsonArray array;
  for (const auto& it : names) {
    array.append(Text(it));
  }
  return array;
}

std::string ToText(const QJsonObject& object) {
  return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

QJsonArray Backends(const std::vector<BackendStatus>& backends) {
  QJsonArray array;
  for (const auto& it : backends) {
    array.append(QJsonObject{{"name", Text(it.server)},
                             {"address", Text(it.address)},
                             {"target", Text(it.target)},
                             {"own_slots", static_cast<qint64>(it.own_slots)},
                             {"in_flight", static_cast<qint64>(it.in_flight)},
                             {"load", it.load},
                             {"ejected", it.ejected},
                             {"leaving", it.leaving}});
  }
  return array;
}

QJsonArray Held(const std::vector<HeldGrant>& grants) {
  QJsonArray array;
  for (const auto& it : grants) {
    array.append(QJsonObject{{"budget", Text(it.budget)},
                             {"free", static_cast<qint64>(it.free)},
                             {"reserved", static_cast<qint64>(it.reserved)},
                             {"unsettled", static_cast<qint64>(it.unsettled)}});
  }
  return array;
}

QJsonArray Grants(const BudgetRecord& record,
                  const std::function<bool(const HolderId&)>& is_gone) {
  QJsonArray array;
  for (const auto& [holder, grant] : record.grants) {
    if (grant.outstanding == 0) {
      continue;
    }
    array.append(
        QJsonObject{{"holder", Text(ToString(holder))},
                    {"outstanding", static_cast<qint64>(grant.outstanding)},
                    {"frozen", grant.frozen || is_gone(holder)}});
  }
  return array;
}

QJsonObject Orders(const std::string& budget, const ShardState& state) {
  std::map<ClaimState, int> counts;
  for (const auto& [key, claim] : state.claims) {
    if (claim.budget == budget) {
      ++counts[claim.state];
    }
  }
  return {{"claimed", counts[ClaimState::kClaimed]},
          {"finished", counts[ClaimState::kFinished]},
          {"abandoned", counts[ClaimState::kAbandoned]},
          {"in_doubt", counts[ClaimState::kInDoubt]}};
}

}  // namespace

std::string StatusReport(const RouterStatus& view) {
  QJsonObject object{
      {"host", Text(view.holder.host)},
      {"holder", Text(ToString(view.holder))},
      {"failure_domain", Text(view.failure_domain)},
      {"version", CROCUSLATCH_VERSION},
      {"document_version", 0},
      {"stopping", view.is_stopping},
      {"queued", static_cast<qint64>(view.queued)},
      {"live_routers", Names(view.live_routers)},
      {"connected_peers", Names(view.connected_peers)},
      {"backend_servers", Backends(view.backends)},
      {"grants", Held(view.grants)},
  };
  if (view.document) {
    object["document_version"] = static_cast<qint64>(view.document->version);
    object["document_sha256"] = Text(view.document->sha256);
  }
  return ToText(object);
}

std::string LedgerReport(const std::string& budget,
                         Tokens prepaid,
                         const ShardState& state,
                         const std::function<bool(const HolderId&)>& is_gone) {
  const auto it = state.budgets.find(budget);
  const BudgetRecord record =
      it == state.budgets.end() ? BudgetRecord{.limit = prepaid} : it->second;
  return ToText({{"budget", Text(budget)},
                 {"prepaid", static_cast<qint64>(prepaid)},
                 {"limit", static_cast<qint64>(record.limit)},
                 {"billed", static_cast<qint64>(record.billed)},
                 {"open_charges", static_cast<qint64>(record.open_charges)},
                 {"available", static_cast<qint64>(Available(record))},
                 {"grants", Grants(record, is_gone)},
                 {"orders", Orders(budget, state)}});
}

}  // namespace crocuslatch
