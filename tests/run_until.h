#ifndef TESTS_RUN_UNTIL_H_
#define TESTS_RUN_UNTIL_H_

#include <QElapsedTimer>
#include <QEventLoop>
#include <QTimer>
#include <functional>

#include "src/types.h"

// Defines functions that run a real event loop in tests.

namespace crocuslatch {

// Runs the event loop until `done` returns true; returns false if `limit`
// passes first.
inline bool RunUntil(const std::function<bool()>& done,
                     Millis limit = Millis{10000}) {
  QElapsedTimer clock;
  clock.start();
  // Uses a nested loop, because deferred deletions only run inside one.
  QEventLoop loop;
  QTimer timer;
  QObject::connect(&timer, &QTimer::timeout, &loop, [&] {
    if (done() || clock.elapsed() > limit.count()) {
      loop.quit();
    }
  });
  timer.start(2);
  loop.exec();
  return done();
}

inline void RunFor(Millis time) {
  RunUntil([] { return false; }, time);
}

}  // namespace crocuslatch

#endif  // TESTS_RUN_UNTIL_H_
