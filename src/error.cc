#include "src/error.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <cstdlib>

#include "src/log.h"

namespace crocuslatch {

UserError::UserError(std::string code,
                     const std::string& message,
                     std::string remedy)
    : std::runtime_error(message),
      code_(std::move(code)),
      remedy_(std::move(remedy)) {}

RequestError::RequestError(int http_status,
                           Outcome outcome,
                           std::string code,
                           const std::string& message,
                           std::string remedy,
                           Millis retry_after)
    : UserError(std::move(code), message, std::move(remedy)),
      http_status_(http_status),
      outcome_(outcome),
      retry_after_(retry_after) {}

std::string ErrorBody(const RequestError& error) {
  QJsonObject body{
      {"code", QString::fromStdString(error.code())},
      {"message", QString::fromUtf8(error.what())},
      {"remedy", QString::fromStdString(error.remedy())},
      {"outcome",
       QString::fromUtf8(ToString(error.outcome()).data(),
                         static_cast<int>(ToString(error.outcome()).size()))}};
  if (error.retry_after().count() > 0) {
    body["retry_after_ms"] = static_cast<qint64>(error.retry_after().count());
  }
  return QJsonDocument(QJsonObject{{"error", body}})
      .toJson(QJsonDocument::Compact)
      .toStdString();
}

void FailInvariant(const char* expression, const char* file, int line) {
  Log(LogEvent::kInvariantBroken, "{} at {}:{}", expression, file, line);
  std::abort();
}

}  // namespace crocuslatch
