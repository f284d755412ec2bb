#include "tests/process/process.h"

#include <fmt/format.h>
#include <signal.h>
#include <sys/prctl.h>
#include <unistd.h>

#include <QElapsedTimer>
#include <QEventLoop>
#include <QTcpServer>
#include <QTimer>
#include <stdexcept>

namespace crocuslatch::test {

namespace {

constexpr Millis kStartTimeout{15000};
constexpr int kFirstPort = 12000;
constexpr int kPortsInBlock = 100;
constexpr int kPortBlocks = 200;

}  // namespace

bool RunUntil(const std::function<bool()>& done, Millis timeout) {
  QElapsedTimer timer;
  timer.start();
  while (!done()) {
    if (timer.hasExpired(timeout.count())) {
      return false;
    }
    RunFor(Millis(5));
  }
  return true;
}

void RunFor(Millis time) {
  QEventLoop loop;
  QTimer::singleShot(time, Qt::PreciseTimer, &loop, &QEventLoop::quit);
  loop.exec();
}

std::uint16_t FreePort() {
  // Each test program uses a block of ports chosen by its process id, below the
  // system's ephemeral range.
  static int next = kFirstPort + (::getpid() % kPortBlocks) * kPortsInBlock;
  QTcpServer server;
  while (
      !server.listen(QHostAddress::LocalHost, static_cast<quint16>(++next))) {
  }
  return server.serverPort();
}

std::string Url(std::uint16_t port, const std::string& path) {
  return fmt::format("http://127.0.0.1:{}{}", port, path);
}

Process::Process(const std::string& program,
                 const std::vector<std::string>& arguments,
                 const std::string& log) {
  QStringList list;
  for (const auto& it : arguments) {
    list.append(QString::fromStdString(it));
  }
  process_.setStandardErrorFile(QString::fromStdString(log), QIODevice::Append);
  process_.setChildProcessModifier([] { prctl(PR_SET_PDEATHSIG, SIGKILL); });
  process_.start(QString::fromStdString(CROCUSLATCH_BIN_DIR "/" + program),
                 list);
  if (!process_.waitForStarted()) {
    throw std::runtime_error("cannot start " + program);
  }
}

Process::~Process() {
  process_.kill();
  process_.waitForFinished();
}

void Process::WaitListening() {
  QByteArray line;
  const bool listening = RunUntil(
      [&] {
        line += process_.readAllStandardOutput();
        return line.endsWith('\n');
      },
      kStartTimeout);
  const auto words = line.simplified().split(' ');
  if (!listening || words.size() < 2) {
    throw std::runtime_error("no \"listening\" line from " +
                             process_.program().toStdString());
  }
  port_ = words[1].toUShort();
  control_port_ = words.size() > 3 ? words[3].toUShort() : port_;
}

void Process::Signal(int number) const {
  if (IsRunning()) {
    ::kill(static_cast<pid_t>(process_.processId()), number);
  }
}

std::string Process::TakeOutput() {
  return process_.readAllStandardOutput().toStdString();
}

bool Process::IsRunning() const {
  return process_.state() == QProcess::Running;
}

int Process::WaitExit(Millis timeout) {
  RunUntil([&] { return !IsRunning(); }, timeout);
  const bool exited =
      !IsRunning() && process_.exitStatus() == QProcess::NormalExit;
  return exited ? process_.exitCode() : -1;
}

}  // namespace crocuslatch::test
