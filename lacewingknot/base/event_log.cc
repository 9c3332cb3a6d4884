#include "lacewingknot/base/event_log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/helpers/timehelper.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <iostream>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>

namespace lacewingknot {
namespace {

using Level = EventInfo::Level;

constexpr bool kPerRequest = true;

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
    EventInfo{Event::kDaemonSettingsReloaded, "daemon_settings_reloaded",
              Level::kInfo},
    EventInfo{Event::kLogLinesDropped, "log_lines_dropped", Level::kWarning},
    EventInfo{Event::kSettingsKeyIgnored, "settings_key_ignored",
              Level::kWarning},
    EventInfo{Event::kSettingsAccepted, "settings_accepted", Level::kInfo},
    EventInfo{Event::kSettingsRefused, "settings_refused", Level::kError},
    EventInfo{Event::kSettingsStale, "settings_stale", Level::kWarning},
    EventInfo{Event::kSettingsConflict, "settings_conflict", Level::kError},
    EventInfo{Event::kVmListAccepted, "vm_list_accepted", Level::kInfo},
    EventInfo{Event::kPlatformUnavailable, "platform_unavailable",
              Level::kWarning},
    EventInfo{Event::kPlatformRecovered, "platform_recovered", Level::kInfo},
    EventInfo{Event::kRoutesInForce, "routes_in_force", Level::kInfo},
    EventInfo{Event::kRoutesRefused, "routes_refused", Level::kError},
    EventInfo{Event::kDirectoryChanged, "directory_changed", Level::kInfo},
    EventInfo{Event::kDirectoryEntryRefused, "directory_entry_refused",
              Level::kWarning},
    EventInfo{Event::kEvacuationChanged, "evacuation_changed", Level::kInfo},
    EventInfo{Event::kStoreLost, "store_lost", Level::kWarning},
    EventInfo{Event::kStoreRegained, "store_regained", Level::kInfo},
    EventInfo{Event::kStoreHistoryGone, "store_history_gone", Level::kWarning},
    EventInfo{Event::kStoreWatchStale, "store_watch_stale", Level::kInfo},
    EventInfo{Event::kSentinelsChanged, "sentinels_changed", Level::kInfo},
    EventInfo{Event::kStoreWentBack, "store_went_back", Level::kWarning},
    EventInfo{Event::kStoreContentsDiffer, "store_contents_differ",
              Level::kWarning},
    EventInfo{Event::kStoreEpochRose, "store_epoch_rose", Level::kWarning},
    EventInfo{Event::kStoreEpochRead, "store_epoch_read", Level::kInfo},
    EventInfo{Event::kStoreEpochInvalid, "store_epoch_invalid",
              Level::kWarning},
    EventInfo{Event::kStoreEpochRefuted, "store_epoch_refuted",
              Level::kWarning},
    EventInfo{Event::kStoreEpochHoldEnded, "store_epoch_hold_ended",
              Level::kInfo},
    EventInfo{Event::kContentsSourceChosen, "contents_source_chosen",
              Level::kInfo},
    EventInfo{Event::kContentsSourceLeft, "contents_source_left", Level::kInfo},
    EventInfo{Event::kContentsSnapshot, "contents_snapshot", Level::kInfo},
    EventInfo{Event::kContentsRefused, "contents_refused", Level::kWarning},
    EventInfo{Event::kContentsFromStore, "contents_from_store", Level::kInfo},
    EventInfo{Event::kUpstreamPresumedCold, "upstream_presumed_cold",
              Level::kInfo},
    EventInfo{Event::kUpstreamWarm, "upstream_warm", Level::kInfo},
    EventInfo{Event::kUpstreamFellBack, "upstream_fell_back", Level::kWarning},
    EventInfo{Event::kUpstreamDraining, "upstream_draining", Level::kInfo},
    EventInfo{Event::kUpstreamBelief, "upstream_belief", Level::kInfo},
    EventInfo{Event::kUpstreamRateStated, "upstream_rate_stated", Level::kInfo},
    EventInfo{Event::kUpstreamWaits, "upstream_waits", Level::kInfo},
    EventInfo{Event::kUpstreamLeaving, "upstream_leaving", Level::kInfo},
    EventInfo{Event::kUpstreamStatementMalformed,
              "upstream_statement_malformed", Level::kWarning},
    EventInfo{Event::kAnswerDropped, "answer_dropped", Level::kWarning},
    EventInfo{Event::kConcurrencyLimitChanged, "concurrency_limit_changed",
              Level::kInfo},
    EventInfo{Event::kAnswerRejected, "answer_rejected", Level::kWarning,
              kPerRequest},
    EventInfo{Event::kQueryPartial, "query_partial", Level::kInfo, kPerRequest},
    EventInfo{Event::kQueryRefused, "query_refused", Level::kInfo, kPerRequest},
    EventInfo{Event::kWriteUnknown, "write_unknown", Level::kWarning,
              kPerRequest},
    EventInfo{Event::kWriteNotRun, "write_not_run", Level::kInfo, kPerRequest},
    EventInfo{Event::kLateAnswerDropped, "late_answer_dropped", Level::kInfo,
              kPerRequest},
    EventInfo{Event::kRequestEnded, "request_ended", Level::kInfo, kPerRequest},
    EventInfo{Event::kRequestRejected, "request_rejected", Level::kInfo,
              kPerRequest},
    EventInfo{Event::kRelayAttemptFailed, "relay_attempt_failed", Level::kInfo,
              kPerRequest},
    EventInfo{Event::kRequestUnauthorized, "request_unauthorized", Level::kInfo,
              kPerRequest},
    EventInfo{Event::kTeamsInForce, "teams_in_force", Level::kInfo},
    EventInfo{Event::kTeamKeysWithdrawn, "team_keys_withdrawn", Level::kInfo},
    EventInfo{Event::kWaitingRequestUnauthorized,
              "waiting_request_unauthorized", Level::kInfo, kPerRequest},
    EventInfo{Event::kQuotaExceeded, "quota_exceeded", Level::kInfo},
    EventInfo{Event::kQuotaFallback, "quota_fallback", Level::kWarning},
    EventInfo{Event::kQuotaKeeperReplaced, "quota_keeper_replaced",
              Level::kInfo},
    EventInfo{Event::kQuotaContactChanged, "quota_contact_changed",
              Level::kWarning},
    EventInfo{Event::kTeamExceedsShare, "team_exceeds_share", Level::kInfo},
    EventInfo{Event::kFleetSizeChanged, "fleet_size_changed", Level::kInfo},
    EventInfo{Event::kRelayConnected, "relay_connected", Level::kInfo},
    EventInfo{Event::kRelayLost, "relay_lost", Level::kInfo},
    EventInfo{Event::kRelaysChanged, "relays_changed", Level::kInfo},
    EventInfo{Event::kMembersChanged, "members_changed", Level::kInfo},
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

// Quotes a value that contains a space, a quote or a line break, so that a line
// can still be split into fields. Line breaks become spaces.
std::string QuoteIfNeeded(const std::string& value) {
  if (value.find_first_of(" \"\n") == std::string::npos) return value;
  std::string quoted = "\"";
  for (char c : value) {
    if (c == '"') quoted += '\\';
    quoted += c == '\n' ? ' ' : c;
  }
  return quoted + '"';
}

struct LogLine {
  log4cplus::LogLevel level;
  bool is_per_request = false;
  std::string text;
  log4cplus::helpers::Time logged_at;
};

void WriteLine(const LogLine& line) {
  log4cplus::Logger logger = Logger();
  // The timestamp is the time at which the event was logged, not written.
  const log4cplus::spi::InternalLoggingEvent event(
      logger.getName(), line.level, log4cplus::tstring(),
      log4cplus::MappedDiagnosticContextMap(), line.text, log4cplus::tstring(),
      log4cplus::tstring(), line.logged_at, log4cplus::tstring(), 0);
  logger.callAppenders(event);
}

// Bounded queue from LogEvent to the writer thread. Before Start, Add writes
// each line itself. Thread-safe.
class LogQueue {
 public:
  static LogQueue& Instance() {
    // Never destroyed, because the detached writer thread may still run after
    // main has returned.
    static auto* const queue = new LogQueue;
    return *queue;
  }

  void Start() {
    is_started_ = true;
    std::thread([this] { Run(); }).detach();
  }

  void Add(LogLine line) {
    if (!is_started_) {
      WriteLine(line);
      std::cout.flush();
      return;
    }
    const std::lock_guard lock(mutex_);
    const bool may_use_reserve =
        line.level >= log4cplus::WARN_LOG_LEVEL || !line.is_per_request;
    const std::size_t capacity =
        may_use_reserve ? kMaxQueuedLines : kMaxQueuedLines * 3 / 4;
    if (lines_.size() >= capacity) {
      ++dropped_count_;
      return;
    }
    lines_.push_back(std::move(line));
  }

  void Flush(std::chrono::milliseconds timeout) {
    std::unique_lock lock(mutex_);
    is_flush_requested_ = true;
    flush_requested_.notify_all();
    batch_written_.wait_for(lock, timeout,
                            [&] { return lines_.empty() && is_writer_idle_; });
  }

 private:
  // Since the queue is written once per interval, its capacity also limits the
  // rate of lines. The last quarter is reserved for warnings, errors and events
  // that do not concern a single request.
  static constexpr std::size_t kMaxQueuedLines = 400;
  static constexpr std::chrono::milliseconds kWriteInterval{250};

  void Run() {
    for (;;) {
      std::deque<LogLine> lines;
      std::uint64_t dropped_count = 0;
      {
        std::unique_lock lock(mutex_);
        flush_requested_.wait_for(lock, kWriteInterval,
                                  [&] { return is_flush_requested_; });
        is_flush_requested_ = false;
        is_writer_idle_ = false;
        lines.swap(lines_);
        std::swap(dropped_count, dropped_count_);
      }
      for (const LogLine& line : lines) WriteLine(line);
      if (dropped_count > 0) {
        WriteLine({.level = log4cplus::WARN_LOG_LEVEL,
                   .text = "E1010 log_lines_dropped count=" +
                           std::to_string(dropped_count),
                   .logged_at = log4cplus::helpers::now()});
      }
      if (!lines.empty()) std::cout.flush();
      const std::lock_guard lock(mutex_);
      is_writer_idle_ = true;
      batch_written_.notify_all();
    }
  }

  std::atomic<bool> is_started_ = false;
  std::mutex mutex_;
  std::condition_variable flush_requested_;
  std::condition_variable batch_written_;
  // The members below are guarded by mutex_.
  std::deque<LogLine> lines_;
  std::uint64_t dropped_count_ = 0;  // Since the last batch.
  bool is_flush_requested_ = false;
  bool is_writer_idle_ = true;
};

}  // namespace

std::span<const EventInfo> AllEvents() { return kEvents; }

std::optional<LogLevel> LogLevelFromName(std::string_view name) {
  constexpr std::array<std::pair<std::string_view, LogLevel>, 4> kLevels{{
      {"debug", LogLevel::kDebug},
      {"info", LogLevel::kInfo},
      {"warning", LogLevel::kWarning},
      {"error", LogLevel::kError},
  }};
  for (const auto& [known, level] : kLevels) {
    if (known == name) return level;
  }
  return std::nullopt;
}

void ConfigureLogging(LogLevel level, std::string_view source) {
  log4cplus::Logger logger = Logger();
  logger.removeAllAppenders();
  constexpr bool kLogToStderr = false;
  constexpr bool kImmediateFlush = false;
  log4cplus::SharedAppenderPtr appender(
      new log4cplus::ConsoleAppender(kLogToStderr, kImmediateFlush));
  const std::string pattern =
      "%D{%Y-%m-%dT%H:%M:%S.%q} %p " + std::string(source) + " %m%n";
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
  logger.addAppender(appender);
  logger.setLogLevel(ToLog4cplus(level));
}

void StartLogWriter() { LogQueue::Instance().Start(); }

void FlushLog(std::chrono::milliseconds timeout) {
  LogQueue::Instance().Flush(timeout);
}

void LogEvent(Event event, std::initializer_list<EventField> fields) {
  const auto info = std::find_if(
      kEvents.begin(), kEvents.end(),
      [&](const EventInfo& known) { return known.event == event; });
  if (info == kEvents.end()) return;
  const log4cplus::LogLevel level = ToLog4cplus(info->level);
  if (!Logger().isEnabledFor(level)) return;
  std::string line = "E" + std::to_string(static_cast<int>(event)) + " " +
                     std::string(info->name);
  for (const EventField& field : fields) {
    line += ' ';
    line += field.name;
    line += '=';
    line += QuoteIfNeeded(field.value);
  }
  LogQueue::Instance().Add({.level = level,
                            .is_per_request = info->is_per_request,
                            .text = std::move(line),
                            .logged_at = log4cplus::helpers::now()});
}

}  // namespace lacewingknot
