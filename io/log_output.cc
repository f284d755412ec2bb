#include "io/log_output.h"

#include <poll.h>
#include <unistd.h>

#include <QTimer>
#include <algorithm>
#include <chrono>
#include <climits>
#include <string>

#include "src/log.h"

namespace crocuslatch {
namespace {

// Lines are written in batches, since each write costs a system call and wakes
// up the reader.
constexpr std::chrono::milliseconds kFlushPeriod{100};
constexpr std::size_t kFlushBytes = 8 << 10;

}  // namespace

struct LogOutput::Core {
  LogOutputOptions options;
  std::string buffer;
  std::uint64_t dropped = 0;
  std::uint64_t reported_dropped = 0;
  QTimer timer;

  // poll() only guarantees that PIPE_BUF bytes can be written without blocking.
  void Flush() {
    while (!buffer.empty()) {
      pollfd ready{.fd = options.descriptor, .events = POLLOUT, .revents = 0};
      if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
        return;
      }
      const auto n = ::write(options.descriptor, buffer.data(),
                             std::min<std::size_t>(buffer.size(), PIPE_BUF));
      if (n <= 0) {
        return;
      }
      buffer.erase(0, static_cast<std::size_t>(n));
    }
    if (dropped > reported_dropped) {
      const auto n = dropped - reported_dropped;
      reported_dropped = dropped;
      LogLine(LogEvent::kLogLinesDropped).Add("lines", n);
    }
  }
};

LogOutput::LogOutput(const LogOutputOptions& options)
    : core_(std::make_unique<Core>()) {
  core_->options = options;
  core_->timer.setSingleShot(true);
  QObject::connect(&core_->timer, &QTimer::timeout, &core_->timer,
                   [this] { Flush(); });
}

LogOutput::~LogOutput() {
  Flush();
}

void LogOutput::Write(std::string_view line) {
  auto& buffer = core_->buffer;
  if (buffer.size() + line.size() + 1 > core_->options.max_buffered_bytes) {
    ++core_->dropped;
    return;
  }
  buffer.append(line).push_back('\n');
  if (buffer.size() >= kFlushBytes) {
    Flush();
  } else if (!core_->timer.isActive()) {
    core_->timer.start(kFlushPeriod);
  }
}

void LogOutput::Flush() {
  core_->Flush();
  if (!core_->buffer.empty() && !core_->timer.isActive()) {
    core_->timer.start(kFlushPeriod);
  }
}

std::uint64_t LogOutput::dropped_lines() const {
  return core_->dropped;
}

}  // namespace crocuslatch
