#ifndef TESTS_PROCESS_PROCESS_H_
#define TESTS_PROCESS_PROCESS_H_

#include <QProcess>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "src/types.h"

// Defines processes that a test starts, signals and ends.

namespace crocuslatch::test {

std::string Url(std::uint16_t port, const std::string& path);

// Runs the event loop until `done` or the timeout; returns the last `done`.
bool RunUntil(const std::function<bool()>& done, Millis timeout);
void RunFor(Millis time);

// A port that no other test program uses; each call returns another one.
std::uint16_t FreePort();

// A process of the build directory. It is killed with its owner, and also if
// the test program itself is killed. Standard error goes to `log`.
class Process {
 public:
  Process(const std::string& program,
          const std::vector<std::string>& arguments,
          const std::string& log);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // Ports of a stand-in's "listening <port> [control <port>]" line.
  std::uint16_t port() const { return port_; }
  std::uint16_t control_port() const { return control_port_; }
  // Waits for that line.
  void WaitListening();
  void Signal(int number) const;
  bool IsRunning() const;
  // Waits for the end; the exit status, or -1 if it was killed or still runs.
  int WaitExit(Millis timeout);

 private:
  QProcess process_;
  std::uint16_t port_ = 0;
  std::uint16_t control_port_ = 0;
};

}  // namespace crocuslatch::test

#endif  // TESTS_PROCESS_PROCESS_H_
