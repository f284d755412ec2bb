#include "src/event_loop.h"

#include <QObject>
#include <QTimer>
#include <memory>

namespace crocuslatch {

EventLoop MakeQtEventLoop() {
  // The object lives on the calling thread, so its queued calls run there.
  // deleteLater keeps the deletion on that thread, too.
  const std::shared_ptr<QObject> context(
      new QObject, [](QObject* it) { it->deleteLater(); });
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
