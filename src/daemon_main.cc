#include <fmt/format.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <QCoreApplication>
#include <QSocketNotifier>
#include <array>
#include <boost/program_options.hpp>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <string>

#include "app/front.h"
#include "io/log_output.h"
#include "src/error.h"
#include "src/guarded_application.h"
#include "src/log.h"
#include "src/router.h"
#include "src/settings.h"

namespace {

namespace options = boost::program_options;

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

// The signal handler writes each signal number to the first socket, and the
// event loop reads it from the second: a handler may call only
// async-signal-safe functions.
std::array<int, 2> signal_sockets{-1, -1};

void OnSignal(int number) {
  const char byte = static_cast<char>(number);
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
  // Writing to a connection that the peer closed must not kill the process.
  ::signal(SIGPIPE, SIG_IGN);
  return ::sigaction(SIGTERM, &action, nullptr) == 0 &&
         ::sigaction(SIGINT, &action, nullptr) == 0 &&
         ::sigaction(SIGHUP, &action, nullptr) == 0;
}

options::options_description MakeOptions() {
  options::options_description description("Options");
  description.add_options()("help", "print this help and exit")(
      "version", "print the version and exit")(
      "check", "check the settings file and exit")(
      "settings", options::value<std::string>(),
      "settings file (TOML), see examples/crocuslatchd.toml and "
      "examples/front.toml; default: $CROCUSLATCH_SETTINGS")(
      "mode", options::value<std::string>()->default_value("router"),
      "router: serves the routers' own API; front: forwards requests "
      "according to the platform's desired state");
  return description;
}

// Runs the event loop until the callback passed to `stop` is invoked. SIGHUP
// calls `reload`; SIGTERM and SIGINT call `stop`.
int RunUntilStopped(const std::function<void(std::function<void()>)>& stop,
                    const std::function<void()>& reload) {
  QSocketNotifier notifier(signal_sockets[1], QSocketNotifier::Read);
  QObject::connect(&notifier, &QSocketNotifier::activated, [&] {
    std::array<char, 16> buf{};
    const auto n = ::read(signal_sockets[1], buf.data(), buf.size());
    for (ssize_t i = 0; i < n; ++i) {
      if (buf[static_cast<std::size_t>(i)] == SIGHUP) {
        reload();
      } else {
        stop([] { QCoreApplication::quit(); });
      }
    }
  });
  return QCoreApplication::exec();
}

int RunRouter(const std::string& path) {
  const auto settings = crocuslatch::LoadSettings(path);
  crocuslatch::Router router(settings,
                             [] { QCoreApplication::exit(kExitFailed); });
  const int exit_code = RunUntilStopped(
      [&](const std::function<void()>& stopped) { router.Stop(stopped); },
      [&] {
        crocuslatch::LogLine(crocuslatch::LogEvent::kSettingsReloaded)
            .Add("message", "changed settings take effect at the next start");
      });
  crocuslatch::LogLine(crocuslatch::LogEvent::kStopped)
      .Add("host", settings.host_name);
  return exit_code;
}

int RunFront(const std::string& path) {
  const auto settings = crocuslatch::LoadFrontSettings(path);
  crocuslatch::LogOutput output;
  crocuslatch::SetLogSink(
      [&output](std::string_view line) { output.Write(line); });
  int exit_code = kExitOk;
  {
    crocuslatch::Front front(settings);
    exit_code = RunUntilStopped(
        [&](std::function<void()> stopped) { front.Stop(std::move(stopped)); },
        [&] { front.Reload(path); });
    crocuslatch::LogLine(crocuslatch::LogEvent::kStopped)
        .Add("host", settings.host_name);
  }
  crocuslatch::SetLogSink({});
  return exit_code;
}

int RunDaemon(const std::string& path, bool is_front, bool check_only) {
  if (check_only) {
    if (is_front) {
      crocuslatch::LoadFrontSettings(path);
    } else {
      crocuslatch::LoadSettings(path);
    }
    fmt::print("{}: no errors\n", path);
    return kExitOk;
  }
  if (!InstallSignalHandlers()) {
    fmt::print(stderr, "crocuslatchd: cannot install signal handlers\n");
    return kExitFailed;
  }
  return is_front ? RunFront(path) : RunRouter(path);
}

// The settings file from the command line, otherwise from the environment;
// empty if neither names one.
std::string SettingsPath(const options::variables_map& values) {
  if (values.count("settings") != 0) {
    return values["settings"].as<std::string>();
  }
  const char* path = std::getenv("CROCUSLATCH_SETTINGS");
  return path == nullptr ? "" : path;
}

}  // namespace

int main(int argc, char** argv) {
  // Qt's own event dispatcher costs less processor time per event than the one
  // that goes through GLib.
  qputenv("QT_NO_GLIB", "1");
  crocuslatch::GuardedApplication app(argc, argv);
  const auto description = MakeOptions();
  options::variables_map values;
  try {
    options::positional_options_description positional;
    positional.add("mode", 1);
    options::store(options::command_line_parser(argc, argv)
                       .options(description)
                       .positional(positional)
                       .run(),
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
        "Usage: crocuslatchd [MODE] --settings FILE [--check]\n\n{}\n"
        "Exit codes: 0 clean shutdown, 1 error, 2 invalid usage.\n",
        text.str());
    return kExitOk;
  }
  if (values.count("version") != 0) {
    fmt::print("crocuslatchd {}\n", CROCUSLATCH_VERSION);
    return kExitOk;
  }
  const auto path = SettingsPath(values);
  if (path.empty()) {
    fmt::print(stderr, "crocuslatchd: --settings is missing; see --help\n");
    return kExitUsage;
  }
  const auto mode = values["mode"].as<std::string>();
  if (mode != "router" && mode != "front") {
    fmt::print(stderr,
               "crocuslatchd: unknown mode \"{}\"; use router or front\n",
               mode);
    return kExitUsage;
  }
  try {
    return RunDaemon(path, mode == "front", values.count("check") != 0);
  } catch (const crocuslatch::SettingsError& error) {
    crocuslatch::LogLine(crocuslatch::LogEvent::kSettingsRejected)
        .Add("message", error.what())
        .Add("remedy", error.remedy());
    return kExitFailed;
  } catch (const crocuslatch::UserError& error) {
    crocuslatch::LogLine(crocuslatch::LogEvent::kListenFailed)
        .Add("message", error.what())
        .Add("remedy", error.remedy());
    return kExitFailed;
  }
}
