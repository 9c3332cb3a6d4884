// lacewingknotd: the daemon that runs on every entry VM.

#include <tclap/CmdLine.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include "lacewingknot/base/event_log.h"
#include "lacewingknot/daemon/daemon.h"

namespace {

using lacewingknot::Event;

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

// Notes further signals while a drain runs; they do not cut it short.
void NoteRepeatedSignals(const sigset_t& signals) {
  std::thread([signals] {
    for (;;) {
      int signal = 0;
      sigwait(&signals, &signal);
      LogEvent(Event::kDrainSignalRepeated, {{"signal", signal}});
    }
  }).detach();
}

int Run(const std::string& path) {
  const auto parsed = lacewingknot::ParseDaemonSettings(ReadFile(path));
  for (const auto& fault : parsed.faults) {
    std::cerr << lacewingknot::FormatFault(path, fault) << "\n";
  }
  if (!parsed.faults.empty()) return kExitUsage;
  lacewingknot::ConfigureLogging(parsed.settings.log_level, parsed.settings.vm);
  // Blocked before any thread starts, so that only sigwait sees them.
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  lacewingknot::Daemon daemon(parsed.settings);
  if (const auto started = daemon.Start(); !started) {
    LogEvent(Event::kDaemonFailed, {{"detail", started.error().detail}});
    return kExitFailed;
  }
  int signal = 0;
  sigwait(&signals, &signal);
  NoteRepeatedSignals(signals);
  daemon.Drain();
  // Nothing lasts, so there is nothing to tear down; closing nng's sockets can
  // take without end when many of them reconnect.
  std::_Exit(kExitOk);
}

}  // namespace

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine command("lacewingknotd: query tier daemon", ' ', "0.1.0");
    command.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> settings(
        "s", "settings", "Settings file of this process, in TOML.", true, "",
        "FILE", command);
    command.parse(argc, argv);
    return Run(settings.getValue());
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& error) {
    std::cerr << error.error() << " " << error.argId() << "\n";
    return kExitUsage;
  }
}
