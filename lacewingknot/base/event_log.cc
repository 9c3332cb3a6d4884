#include "lacewingknot/base/event_log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <algorithm>
#include <array>
#include <memory>

namespace lacewingknot {
namespace {

using Level = EventInfo::Level;

constexpr std::array kEvents{
    EventInfo{Event::kDaemonStarted, "daemon_started", Level::kInfo},
    EventInfo{Event::kDaemonReady, "daemon_ready", Level::kInfo},
    EventInfo{Event::kDaemonNotReady, "daemon_not_ready", Level::kWarning},
    EventInfo{Event::kDrainStarted, "drain_started", Level::kInfo},
    EventInfo{Event::kDrainSignalRepeated, "drain_signal_repeated",
              Level::kInfo},
    EventInfo{Event::kDaemonStopped, "daemon_stopped", Level::kInfo},
    EventInfo{Event::kPauseDetected, "pause_detected", Level::kWarning},
    EventInfo{Event::kDaemonFailed, "daemon_failed", Level::kError},
    EventInfo{Event::kSettingsAccepted, "settings_accepted", Level::kInfo},
    EventInfo{Event::kSettingsRefused, "settings_refused", Level::kError},
    EventInfo{Event::kSettingsStale, "settings_stale", Level::kWarning},
    EventInfo{Event::kSettingsConflict, "settings_conflict", Level::kError},
    EventInfo{Event::kVmListAccepted, "vm_list_accepted", Level::kInfo},
    EventInfo{Event::kPlatformUnavailable, "platform_unavailable",
              Level::kWarning},
    EventInfo{Event::kPlatformRecovered, "platform_recovered", Level::kInfo},
    EventInfo{Event::kUpstreamPresumedCold, "upstream_presumed_cold",
              Level::kInfo},
    EventInfo{Event::kUpstreamWarm, "upstream_warm", Level::kInfo},
    EventInfo{Event::kUpstreamFellBack, "upstream_fell_back", Level::kWarning},
    EventInfo{Event::kUpstreamDraining, "upstream_draining", Level::kInfo},
    EventInfo{Event::kAnswerRejected, "answer_rejected", Level::kWarning},
    EventInfo{Event::kQueryPartial, "query_partial", Level::kInfo},
    EventInfo{Event::kQueryRefused, "query_refused", Level::kInfo},
    EventInfo{Event::kWriteUnknown, "write_unknown", Level::kWarning},
    EventInfo{Event::kWriteNotRun, "write_not_run", Level::kInfo},
    EventInfo{Event::kLateAnswerDropped, "late_answer_dropped", Level::kInfo},
    EventInfo{Event::kPeerUnreachable, "peer_unreachable", Level::kWarning},
    EventInfo{Event::kPeerProtocolMismatch, "peer_protocol_mismatch",
              Level::kWarning},
    EventInfo{Event::kPeerMessageMalformed, "peer_message_malformed",
              Level::kWarning},
};

log4cplus::Logger Logger() {
  static log4cplus::Initializer initializer;
  return log4cplus::Logger::getInstance("lacewingknot");
}

log4cplus::LogLevel ToLog4cplus(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::kWarning:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::kError:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

log4cplus::LogLevel ToLog4cplus(Level level) {
  switch (level) {
    case Level::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case Level::kWarning:
      return log4cplus::WARN_LOG_LEVEL;
    case Level::kError:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

// Values with spaces are quoted, so that a line still splits by field.
std::string Quoted(const std::string& value) {
  if (value.find_first_of(" \"\n") == std::string::npos) return value;
  std::string quoted = "\"";
  for (char c : value) {
    if (c == '"') quoted += '\\';
    quoted += c == '\n' ? ' ' : c;
  }
  return quoted + '"';
}

}  // namespace

std::span<const EventInfo> AllEvents() { return kEvents; }

void ConfigureLogging(LogLevel level, std::string_view source) {
  log4cplus::Logger logger = Logger();
  logger.removeAllAppenders();
  constexpr bool kLogToStderr = true;
  constexpr bool kImmediateFlush = true;
  log4cplus::SharedAppenderPtr appender(
      new log4cplus::ConsoleAppender(kLogToStderr, kImmediateFlush));
  const std::string pattern =
      "%D{%Y-%m-%dT%H:%M:%S.%q} %p " + std::string(source) + " %m%n";
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
  logger.addAppender(appender);
  logger.setLogLevel(ToLog4cplus(level));
}

void LogEvent(Event event, std::initializer_list<EventField> fields) {
  const auto info = std::find_if(
      kEvents.begin(), kEvents.end(),
      [&](const EventInfo& known) { return known.event == event; });
  if (info == kEvents.end()) return;
  log4cplus::Logger logger = Logger();
  const log4cplus::LogLevel level = ToLog4cplus(info->level);
  if (!logger.isEnabledFor(level)) return;
  std::string line = "E" + std::to_string(static_cast<int>(event)) + " " +
                     std::string(info->name);
  for (const EventField& field : fields) {
    line += " " + std::string(field.name) + "=" + Quoted(field.value);
  }
  logger.log(level, line);
}

}  // namespace lacewingknot
