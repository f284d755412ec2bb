#include <fmt/format.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <QCoreApplication>
#include <QSocketNotifier>
#include <array>
#include <boost/program_options.hpp>
#include <cstdio>
#include <string>

#include "src/error.h"
#include "src/log.h"
#include "src/router.h"
#include "src/settings.h"

namespace {

namespace options = boost::program_options;

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

// Signals are written to the first socket and read from the second one by
// the event loop, since a signal handler may call hardly any function.
std::array<int, 2> signal_sockets{-1, -1};

void OnSignal(int /*number*/) {
  const char byte = 1;
  [[maybe_unused]] const auto n = ::write(signal_sockets[0], &byte, 1);
}

bool InstallSignalHandlers() {
  if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0,
                   signal_sockets.data()) != 0) {
    return false;
  }
  struct sigaction action {};
  action.sa_handler = &OnSignal;
  sigemptyset(&action.sa_mask);
  action.sa_flags = SA_RESTART;
  // Writing to a connection that its peer closed must not end the process.
  ::signal(SIGPIPE, SIG_IGN);
  return ::sigaction(SIGTERM, &action, nullptr) == 0 &&
         ::sigaction(SIGINT, &action, nullptr) == 0;
}

options::options_description MakeOptions() {
  options::options_description description("Options");
  description.add_options()("help", "print this help and exit")(
      "version", "print the version and exit")(
      "check", "check the settings file and exit")(
      "settings", options::value<std::string>(),
      "settings file (TOML), see examples/crocuslatchd.toml");
  return description;
}

int RunDaemon(const std::string& path, bool check_only) {
  const auto settings = crocuslatch::LoadSettings(path);
  if (check_only) {
    fmt::print("{}: no errors\n", path);
    return kExitOk;
  }
  if (!InstallSignalHandlers()) {
    fmt::print(stderr, "crocuslatchd: cannot install signal handlers\n");
    return kExitFailed;
  }
  crocuslatch::Router router(settings,
                             [] { QCoreApplication::exit(kExitFailed); });
  QSocketNotifier notifier(signal_sockets[1], QSocketNotifier::Read);
  QObject::connect(&notifier, &QSocketNotifier::activated, [&router] {
    std::array<char, 16> buf{};
    [[maybe_unused]] const auto n =
        ::read(signal_sockets[1], buf.data(), buf.size());
    router.Stop([] { QCoreApplication::quit(); });
  });
  const int exit_code = QCoreApplication::exec();
  crocuslatch::Log(crocuslatch::LogEvent::kStopped, "host {}",
                   settings.host_name);
  return exit_code;
}

}  // namespace

int main(int argc, char** argv) {
  QCoreApplication app(argc, argv);
  const auto description = MakeOptions();
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, description),
                   values);
  } catch (const options::error& error) {
    fmt::print(stderr, "crocuslatchd: {}; see crocuslatchd --help\n",
               error.what());
    return kExitUsage;
  }
  if (values.count("help") != 0) {
    std::ostringstream text;
    text << description;
    fmt::print(
        "Usage: crocuslatchd --settings FILE [--check]\n\n{}\n"
        "Exit codes: 0 stopped as planned, 1 error, 2 wrong usage.\n",
        text.str());
    return kExitOk;
  }
  if (values.count("version") != 0) {
    fmt::print("crocuslatchd {}\n", CROCUSLATCH_VERSION);
    return kExitOk;
  }
  if (values.count("settings") == 0) {
    fmt::print(stderr, "crocuslatchd: --settings is missing; see --help\n");
    return kExitUsage;
  }
  try {
    return RunDaemon(values["settings"].as<std::string>(),
                     values.count("check") != 0);
  } catch (const crocuslatch::UserError& error) {
    crocuslatch::Log(crocuslatch::LogEvent::kSettingsRejected, "{}; {}",
                     error.what(), error.remedy());
    return kExitFailed;
  }
}
