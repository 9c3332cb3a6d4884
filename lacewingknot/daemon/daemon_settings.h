// The daemon's own settings file: what one process needs to know of itself.
//
//   vm = "vm-1"
//   data_centre = "regina"
//   listen = "127.0.0.1:8001"
//   peer_listen = "127.0.0.1:7001"
//   platform = "127.0.0.1:6000"
//
// Everything about services and upstreams comes from the platform.

#ifndef LACEWINGKNOT_DAEMON_DAEMON_SETTINGS_H_
#define LACEWINGKNOT_DAEMON_DAEMON_SETTINGS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "lacewingknot/base/clock.h"
#include "lacewingknot/base/event_log.h"
#include "lacewingknot/settings/tree.h"

namespace lacewingknot {

struct DaemonSettings {
  std::string vm;
  std::string data_centre;
  std::string listen;       // For callers and operators.
  std::string peer_listen;  // For other daemons.
  std::string platform;     // The configuration service.
  LogLevel log_level = LogLevel::kInfo;
  // Time between going not ready and refusing work, for the balancer.
  Duration drain_notice = std::chrono::seconds(2);
  std::int64_t http_threads = 2;
  std::int64_t max_sessions = 512;
  std::int64_t max_body_bytes = 65'536;
};

struct ParsedDaemonSettings {
  DaemonSettings settings;
  std::vector<SettingsFault> faults;  // The settings hold only if empty.
};

ParsedDaemonSettings ParseDaemonSettings(std::string_view text);

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_DAEMON_DAEMON_SETTINGS_H_
