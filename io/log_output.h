#ifndef IO_LOG_OUTPUT_H_
#define IO_LOG_OUTPUT_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

// Defines a non-blocking writer of log lines.

namespace crocuslatch {

struct LogOutputOptions {
  int descriptor = 1;
  // Lines that exceed this buffer size are dropped and counted.
  std::size_t max_buffered_bytes = 256 << 10;
};

// Buffers lines and writes them from the thread's event loop.
class LogOutput {
 public:
  explicit LogOutput(const LogOutputOptions& options = {});
  ~LogOutput();
  LogOutput(const LogOutput&) = delete;
  LogOutput& operator=(const LogOutput&) = delete;

  void Write(std::string_view line);
  // Writes as much as the descriptor accepts without blocking.
  void Flush();
  std::uint64_t dropped_lines() const;

 private:
  struct Core;
  std::unique_ptr<Core> core_;
};

}  // namespace crocuslatch

#endif  // IO_LOG_OUTPUT_H_
