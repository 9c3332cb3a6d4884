// lacewingknotd: the daemon that runs on every VM that takes callers' requests,
// in the query role or, with --edge, in the edge role.

#include <tclap/CmdLine.h>

#include <csignal>
#include <fstream>
#include <functional>
#include <iostream>
#include <optional>
#include <span>
#include <sstream>
#include <thread>

#include "lacewingknot/base/event_log.h"
#include "lacewingknot/daemon/daemon.h"
#include "lacewingknot/edge/edge_daemon.h"
#include "platform/store_reader.h"
#include "platform/wire_names.h"

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

sigset_t HandledSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  return signals;
}

// Blocks the handled signals before any thread starts, so that every thread
// inherits the mask and only sigwait receives them. One that arrives during the
// start stays pending until then.
sigset_t BlockSignals() {
  const sigset_t signals = HandledSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

// Logs further signals while a drain runs; they don't shorten it.
void LogRepeatedSignals(const sigset_t& signals) {
  std::thread([signals] {
    for (;;) {
      int signal = 0;
      sigwait(&signals, &signal);
      LogEvent(Event::kDrainSignalRepeated, {{"signal", signal}});
    }
  }).detach();
}

// Waits for SIGTERM or SIGINT; calls `on_reload` at each SIGHUP before that.
void WaitForStopSignal(const sigset_t& signals,
                       const std::function<void()>& on_reload) {
  for (;;) {
    int signal = 0;
    sigwait(&signals, &signal);
    if (signal != SIGHUP) break;
    on_reload();
  }
  LogRepeatedSignals(signals);
}

// Ends the process without running destructors. No state outlives the process,
// and closing nng's sockets can hang when many of them are reconnecting.
[[noreturn]] void ExitProcess() {
  constexpr std::chrono::milliseconds kLogFlushTimeout{200};
  lacewingknot::FlushLog(kLogFlushTimeout);
  std::_Exit(kExitOk);
}

void PrintFaults(const std::string& path,
                 std::span<const lacewingknot::SettingsFault> faults) {
  for (const auto& fault : faults) {
    std::cerr << lacewingknot::FormatFault(path, fault) << "\n";
  }
}

int RunQueryDaemon(const std::string& path, const sigset_t& signals) {
  const auto parsed = lacewingknot::ParseDaemonSettings(ReadFile(path));
  PrintFaults(path, parsed.faults);
  if (!parsed.faults.empty()) return kExitUsage;
  lacewingknot::ConfigureLogging(parsed.settings.log_level, parsed.settings.vm);
  lacewingknot::StartLogWriter();
  lacewingknot::Daemon daemon(parsed.settings);
  if (const auto started = daemon.Start(); !started) {
    LogEvent(Event::kDaemonFailed, {{"detail", started.error().detail}});
    lacewingknot::FlushLog(std::chrono::seconds(1));
    return kExitFailed;
  }
  WaitForStopSignal(signals, [&] {
    LogEvent(Event::kDaemonSettingsReloaded,
             {{"vm", parsed.settings.vm}, {"changed", "nothing"}});
  });
  daemon.Drain();
  ExitProcess();
}

void ReloadEdgeSettings(const std::string& path,
                        lacewingknot::edge::EdgeDaemon& daemon) {
  const auto parsed = lacewingknot::edge::ParseEdgeSettings(ReadFile(path));
  for (const auto& fault : parsed.faults) {
    LogEvent(Event::kSettingsRefused,
             {{"detail", lacewingknot::FormatFault(path, fault)}});
  }
  if (parsed.faults.empty()) daemon.Reload(parsed.settings);
}

int RunEdgeDaemon(const std::string& path, const sigset_t& signals) {
  const auto parsed = lacewingknot::edge::ParseEdgeSettings(ReadFile(path));
  PrintFaults(path, parsed.faults);
  if (!parsed.faults.empty()) return kExitUsage;
  lacewingknot::ConfigureLogging(parsed.settings.log_level, parsed.settings.vm);
  lacewingknot::StartLogWriter();
  for (const std::string& key : parsed.ignored) {
    LogEvent(Event::kSettingsKeyIgnored, {{"file", path}, {"key", key}});
  }
  std::optional<lacewingknot::platform::StoreReader> store;
  lacewingknot::edge::EdgeDaemon daemon(
      {.settings = parsed.settings,
       .names = &lacewingknot::platform::PlatformHeaderNames(),
       .readiness_path = std::string(lacewingknot::platform::kReadinessPath),
       .on_store_report =
           [&](const lacewingknot::StoreReport& report) {
             store->OnPeerReport(report);
           },
       .on_upstreams_lacking = [&] { store->OnUpstreamsLacking(); },
       .on_store_confirmed_at =
           [&](const std::string& from, lacewingknot::TimePoint confirmed_at) {
             store->OnPeerConfirmed(from, confirmed_at);
           }});
  std::optional<lacewingknot::platform::StoreReader::PeerOptions> by_peers;
  if (daemon.passes_contents()) {
    by_peers = {
        .peers = [&] { return daemon.contents_peers(); },
        .on_update =
            [&](lacewingknot::edge::ContentsUpdate update) {
              daemon.PublishContents(std::move(update));
            },
        .on_from_peer =
            [&](bool from_peer) { daemon.OnContentsFromPeer(from_peer); },
        .on_received =
            [&](std::string_view kind) {
              daemon.metrics().OnContentsMessage("received", kind);
            },
        .on_source_left =
            [&](std::string_view reason) {
              daemon.metrics().OnContentsSourceLeft(reason);
            },
        .on_fallback = [&] { daemon.metrics().OnContentsFallback(); }};
  }
  store.emplace(lacewingknot::platform::StoreReader::Options{
      .address = parsed.settings.store,
      .on_routes = [&](auto table) { daemon.OnRoutes(std::move(table)); },
      .on_directory =
          [&](auto directory) { daemon.OnDirectory(std::move(directory)); },
      .on_call =
          [&](std::string_view outcome) {
            daemon.metrics().OnStoreCall(outcome);
          },
      .on_epoch_invalid =
          [&](std::string_view cause) {
            daemon.metrics().OnStoreEpochInvalid(cause);
          },
      .on_confirmed =
          [&](const lacewingknot::StoreReport& report) {
            daemon.SetStoreConfirmed(report);
          },
      .fleet_size = [&] { return daemon.fleet_size(); },
      .is_sentinel = [&] { return daemon.is_sentinel(); },
      .max_staleness = parsed.settings.store_max_staleness,
      .max_apply_delay = parsed.settings.changes_in_force,
      .removal_budget = {.drain = parsed.settings.upstream_drain},
      .contents_by_peers = std::move(by_peers)});
  if (const auto started = daemon.Start(); !started) {
    LogEvent(Event::kDaemonFailed, {{"detail", started.error().detail}});
    lacewingknot::FlushLog(std::chrono::seconds(1));
    return kExitFailed;
  }
  store->Start();
  WaitForStopSignal(signals, [&] { ReloadEdgeSettings(path, daemon); });
  daemon.Drain();
  ExitProcess();
}

}  // namespace

int main(int argc, char** argv) {
  const sigset_t signals = BlockSignals();
  try {
    TCLAP::CmdLine command("lacewingknotd: query tier daemon", ' ', "0.1.0");
    command.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> settings(
        "s", "settings", "Settings file of this process, in TOML.", true, "",
        "FILE", command);
    TCLAP::SwitchArg edge(
        "e", "edge",
        "Serve routes of the users' platform instead of queries over the "
        "settings tree.",
        command);
    command.parse(argc, argv);
    return edge.getValue() ? RunEdgeDaemon(settings.getValue(), signals)
                           : RunQueryDaemon(settings.getValue(), signals);
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& error) {
    std::cerr << error.error() << " " << error.argId() << "\n";
    return kExitUsage;
  }
}
