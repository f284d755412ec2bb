#include "app/crash_report_codec.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QString>

namespace crocuslatch {
namespace {

QString ToQString(std::string_view text) {
  return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

// Returns nullopt unless the field is a whole number from zero on.
std::optional<std::int64_t> ReadNumber(const QJsonObject& object,
                                       const char* name) {
  const auto number = object[QLatin1String(name)].toInteger(-1);
  return number < 0 ? std::nullopt : std::optional<std::int64_t>(number);
}

// Returns nullopt unless the field is a string.
std::optional<std::string> ReadString(const QJsonObject& object,
                                      const char* name) {
  const auto value = object[QLatin1String(name)];
  return value.isString() ? std::optional(value.toString().toStdString())
                          : std::nullopt;
}

template <typename Strings>
QJsonArray ToArray(const Strings& strings) {
  QJsonArray array;
  for (const auto& it : strings) {
    array.append(ToQString(it));
  }
  return array;
}

// Returns nullopt unless the field is an array of strings.
std::optional<std::vector<std::string>> ReadStrings(const QJsonObject& object,
                                                    const char* name) {
  const auto value = object[QLatin1String(name)];
  if (!value.isArray()) {
    return std::nullopt;
  }
  std::vector<std::string> strings;
  for (const auto& it : value.toArray()) {
    if (!it.isString()) {
      return std::nullopt;
    }
    strings.push_back(it.toString().toStdString());
  }
  return strings;
}

QJsonObject EncodeReport(const CrashReport& report) {
  QJsonObject object{{"n", static_cast<qint64>(report.number)},
                     {"ms", static_cast<qint64>(report.wall_time.count())}};
  if (report.crash) {
    object["server"] = ToQString(report.crash->server_id);
    object["begun"] = ToArray(report.crash->begun_parts);
    object["waiting"] = ToArray(report.crash->waiting_parts);
  } else {
    object["served"] = ToArray(report.served_parts);
  }
  return object;
}

std::optional<CrashReport> DecodeReport(const QJsonObject& object) {
  const auto number = ReadNumber(object, "n");
  const auto wall_ms = ReadNumber(object, "ms");
  if (!number || !wall_ms) {
    return std::nullopt;
  }
  CrashReport report{.number = static_cast<std::uint64_t>(*number),
                     .wall_time = Millis{*wall_ms}};
  if (const auto server = ReadString(object, "server")) {
    const auto begun = ReadStrings(object, "begun");
    const auto waiting = ReadStrings(object, "waiting");
    if (!begun || !waiting) {
      return std::nullopt;
    }
    report.crash =
        ServerCrash{.server_id = *server,
                    .begun_parts = {begun->begin(), begun->end()},
                    .waiting_parts = {waiting->begin(), waiting->end()}};
    return report;
  }
  auto served = ReadStrings(object, "served");
  if (!served) {
    return std::nullopt;
  }
  report.served_parts = *std::move(served);
  return report;
}

}  // namespace

std::string EncodeCrashReports(const HostCrashReports& reports) {
  QJsonArray array;
  for (const auto& it : reports.reports) {
    array.append(EncodeReport(it));
  }
  const QJsonObject object{{"incarnation", ToQString(reports.incarnation)},
                           {"reports", array}};
  return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

std::optional<HostCrashReports> DecodeCrashReports(std::string_view text) {
  const auto document = QJsonDocument::fromJson(QByteArray::fromRawData(
      text.data(), static_cast<qsizetype>(text.size())));
  const auto object = document.object();
  const auto incarnation = ReadString(object, "incarnation");
  const auto list = object[QLatin1String("reports")];
  if (!incarnation || !list.isArray()) {
    return std::nullopt;
  }
  HostCrashReports reports{.incarnation = *incarnation};
  for (const auto& it : list.toArray()) {
    auto report = DecodeReport(it.toObject());
    if (!report) {
      return std::nullopt;
    }
    reports.reports.push_back(*std::move(report));
  }
  return reports;
}

}  // namespace crocuslatch
