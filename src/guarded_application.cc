#include "src/guarded_application.h"

#include <exception>

#include "src/log.h"

namespace crocuslatch {

bool GuardedApplication::notify(QObject* receiver, QEvent* event) {
  try {
    return QCoreApplication::notify(receiver, event);
  } catch (const std::exception& error) {
    LogLine(LogEvent::kUnexpectedError)
        .Add("message", error.what())
        .Add("receiver", receiver->metaObject()->className());
  } catch (...) {
    LogLine(LogEvent::kUnexpectedError)
        .Add("message", "an exception of an unknown type");
  }
  return true;
}

}  // namespace crocuslatch
