// Structured log of numbered events.
//
// Each event has a fixed number and name, listed in docs/EVENTS.md. A line
// consists of the number, the name and the fields, for example
// `E1105 vm_list_accepted revision=17`, so that it can be searched by number
// and split into fields.
//
// Lines go to standard output. After StartLogWriter they pass through a bounded
// queue to a dedicated writer thread, so that a slow reader of standard output
// never blocks a request. Lines that exceed the capacity of the queue within
// one write interval are dropped, counted and reported as kLogLinesDropped. A
// part of the queue is reserved for warnings and for events that do not concern
// a single request, so that load does not displace the lines of a rare change.
//
// LogEvent and FlushLog are thread-safe.
//
// Example:
//   LogEvent(Event::kSettingsAccepted, {{"revision", 17}});

#ifndef LACEWINGKNOT_BASE_EVENT_LOG_H_
#define LACEWINGKNOT_BASE_EVENT_LOG_H_

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace lacewingknot {

enum class Event : std::uint16_t {
  kDaemonStarted = 1001,
  kDaemonReady = 1002,
  kDaemonNotReady = 1003,
  kDrainStarted = 1004,
  kDrainSignalRepeated = 1005,
  kDaemonStopped = 1006,
  kPauseDetected = 1007,
  kDaemonFailed = 1008,
  kDaemonSettingsReloaded = 1009,
  kLogLinesDropped = 1010,
  kSettingsKeyIgnored = 1011,
  kSettingsAccepted = 1101,
  kSettingsRefused = 1102,
  kSettingsStale = 1103,
  kSettingsConflict = 1104,
  kVmListAccepted = 1105,
  kPlatformUnavailable = 1106,
  kPlatformRecovered = 1107,
  kRoutesInForce = 1108,
  kRoutesRefused = 1109,
  kDirectoryChanged = 1110,
  kDirectoryEntryRefused = 1111,
  kEvacuationChanged = 1112,
  kStoreLost = 1113,
  kStoreRegained = 1114,
  kStoreHistoryGone = 1115,
  kStoreWatchStale = 1116,
  kSentinelsChanged = 1117,
  kStoreWentBack = 1118,
  kStoreContentsDiffer = 1119,
  kStoreEpochRose = 1120,
  kStoreEpochRead = 1121,
  kStoreEpochInvalid = 1122,
  kStoreEpochRefuted = 1123,
  kStoreEpochHoldEnded = 1124,
  kContentsSourceChosen = 1130,
  kContentsSourceLeft = 1131,
  kContentsSnapshot = 1132,
  kContentsRefused = 1133,
  kContentsFromStore = 1134,
  kUpstreamPresumedCold = 1201,
  kUpstreamWarm = 1202,
  kUpstreamFellBack = 1203,
  kUpstreamDraining = 1204,
  kAnswerRejected = 1205,
  kUpstreamBelief = 1206,
  kUpstreamRateStated = 1207,
  kUpstreamWaits = 1208,
  kUpstreamLeaving = 1209,
  kUpstreamStatementMalformed = 1210,
  kAnswerDropped = 1211,
  kConcurrencyLimitChanged = 1215,
  kQueryPartial = 1301,
  kQueryRefused = 1302,
  kWriteUnknown = 1303,
  kWriteNotRun = 1304,
  kLateAnswerDropped = 1305,
  kRequestEnded = 1306,
  kRequestRejected = 1307,
  kRelayAttemptFailed = 1308,
  kRequestUnauthorized = 1310,
  kTeamsInForce = 1311,
  kTeamKeysWithdrawn = 1312,
  kWaitingRequestUnauthorized = 1313,
  kQuotaExceeded = 1320,
  kQuotaFallback = 1321,
  kQuotaKeeperReplaced = 1322,
  kQuotaContactChanged = 1323,
  kTeamExceedsShare = 1325,
  kPeerUnreachable = 1401,
  kPeerProtocolMismatch = 1402,
  kPeerMessageMalformed = 1403,
  kFleetSizeChanged = 1404,
  kRelayConnected = 1405,
  kRelayLost = 1406,
  kRelaysChanged = 1407,
  kMembersChanged = 1408,
};

struct EventInfo {
  Event event;
  std::string_view name;
  enum class Level { kInfo, kWarning, kError } level;
  // The event concerns one request; such events come at the rate of requests.
  bool is_per_request = false;
};

// Returns every event, each once, in no particular order.
std::span<const EventInfo> AllEvents();

// One name=value field of an event.
struct EventField {
  EventField(std::string_view field_name, std::string_view text)
      : name(field_name), value(text) {}
  EventField(std::string_view field_name, const char* text)
      : name(field_name), value(text) {}
  EventField(std::string_view field_name, std::int64_t number)
      : name(field_name), value(std::to_string(number)) {}
  EventField(std::string_view field_name, std::uint64_t number)
      : name(field_name), value(std::to_string(number)) {}
  EventField(std::string_view field_name, int number)
      : name(field_name), value(std::to_string(number)) {}

  std::string_view name;
  std::string value;
};

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// Parses a level as the daemon settings write it: debug, info, warning or
// error. Returns nullopt for any other name.
std::optional<LogLevel> LogLevelFromName(std::string_view name);

// Sends log lines of `level` and above to standard output. Each line contains
// `source`, the name of the VM or program.
void ConfigureLogging(LogLevel level, std::string_view source);

// Starts the writer thread, which writes all later lines. Call once, after
// signals have been blocked, so that the thread inherits the blocked signals.
void StartLogWriter();

// Waits until the writer thread has written all queued lines, for at most
// `timeout`.
void FlushLog(std::chrono::milliseconds timeout);

// Logs `event` at its fixed level. Field values that contain a space, a quote
// or a line break are quoted.
void LogEvent(Event event, std::initializer_list<EventField> fields);

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_BASE_EVENT_LOG_H_
