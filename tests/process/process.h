#ifndef TESTS_PROCESS_PROCESS_H_
#define TESTS_PROCESS_PROCESS_H_

#include <QProcess>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "src/types.h"

// Defines child processes of a test, and waits that keep the event loop
// running.

namespace crocuslatch::test {

// Returns the URL of `path` at a port of the loopback address.
std::string Url(std::uint16_t port, const std::string& path);

// Runs the event loop until `done` returns true or the timeout expires. Returns
// whether `done` returned true.
bool RunUntil(const std::function<bool()>& done, Millis timeout);
void RunFor(Millis time);

// Returns a different free port on each call, from a range that other test
// programs are unlikely to use.
std::uint16_t FreePort();

// Runs a program from the build directory. The process is killed by the
// destructor, and by the kernel if the test program dies. Its standard error is
// appended to the file `log`.
class Process {
 public:
  Process(const std::string& program,
          const std::vector<std::string>& arguments,
          const std::string& log);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // Ports from the line "listening <port> [control <port>]" that a stand-in
  // prints.
  std::uint16_t port() const { return port_; }
  std::uint16_t control_port() const { return control_port_; }
  // Waits for that line. Throws std::runtime_error if it does not appear.
  void WaitListening();
  void Signal(int number) const;
  // Returns what the process has written to its standard output since the last
  // call.
  std::string TakeOutput();
  bool IsRunning() const;
  std::int64_t pid() const { return process_.processId(); }
  // Waits for the process to end. Returns its exit status, or -1 if it was
  // killed or is still running.
  int WaitExit(Millis timeout);

 private:
  QProcess process_;
  std::uint16_t port_ = 0;
  std::uint16_t control_port_ = 0;
};

}  // namespace crocuslatch::test

#endif  // TESTS_PROCESS_PROCESS_H_
