#ifndef SRC_GUARDED_APPLICATION_H_
#define SRC_GUARDED_APPLICATION_H_

#include <QCoreApplication>

// Defines the application object of the programs. An exception that escapes an
// event handler ends that event and is logged, and the process goes on: without
// it, one unexpected message would end all requests of the host. Broken
// invariants still end the process (CROCUSLATCH_ASSERT).

namespace crocuslatch {

class GuardedApplication : public QCoreApplication {
 public:
  using QCoreApplication::QCoreApplication;
  bool notify(QObject* receiver, QEvent* event) override;
};

}  // namespace crocuslatch

#endif  // SRC_GUARDED_APPLICATION_H_
