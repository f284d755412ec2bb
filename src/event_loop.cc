#include "src/event_loop.h"

#include <QCoreApplication>
#include <QObject>
#include <QTimer>
#include <memory>

namespace crocuslatch {

EventLoop MakeQtEventLoop() {
  // The object lives on the calling thread, so its queued calls run there.
  // deleteLater keeps the deletion on that thread, too.
  // It is left to the end of the process while the application closes: Qt then
  // drops the waiting tasks under the lock that deleteLater needs, and a task
  // can hold the last reference (the process hung at its exit).
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
              QTimer::singleShot(delay, Qt::PreciseTimer, context.get(), task);
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
