#include "src/event_loop.h"

#include <QCoreApplication>
#include <QObject>
#include <QTimer>
#include <algorithm>
#include <memory>

namespace crocuslatch {
namespace {

// QTimer counts milliseconds in an int. A longer delay ends after this time.
constexpr Millis kMaxDelay = std::chrono::hours(24 * 7);

}  // namespace

EventLoop MakeQtEventLoop() {
  // The object belongs to the calling thread, so its queued calls run there,
  // and deleteLater keeps its deletion there, too. While the application
  // closes, the object is leaked instead: Qt then drops pending tasks while it
  // holds the lock that deleteLater needs, and a dropped task can hold the last
  // reference, which would deadlock the process at exit.
  const std::shared_ptr<QObject> context(new QObject, [](QObject* it) {
    if (!QCoreApplication::closingDown()) {
      it->deleteLater();
    }
  });
  const auto post = [context](Task task) {
    QMetaObject::invokeMethod(context.get(), std::move(task),
                              Qt::QueuedConnection);
  };
  return {
      .post = post,
      .after =
          [context, post](Millis delay, Task task) {
            post([context, delay, task = std::move(task)] {
              QTimer::singleShot(std::clamp(delay, Millis{0}, kMaxDelay),
                                 Qt::PreciseTimer, context.get(), task);
            });
          },
      .now =
          [] {
            return std::chrono::duration_cast<Millis>(
                std::chrono::steady_clock::now().time_since_epoch());
          },
  };
}

}  // namespace crocuslatch
