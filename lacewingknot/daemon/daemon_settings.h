// The TOML settings file of one daemon process: its identity, addresses and
// process limits. Example:
//
//   vm = "vm-1"
//   data_centre = "regina"
//   listen = "127.0.0.1:8001"
//   peer_listen = "127.0.0.1:7001"
//   platform = "127.0.0.1:6000"
//
// Settings of services and upstreams come from the platform. Pure functions;
// thread-safe.

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
  std::string listen;       // "IP:PORT" for callers and operators.
  std::string peer_listen;  // "IP:PORT" for other daemons.
  std::string platform;     // "IP:PORT" of the configuration service.
  LogLevel log_level = LogLevel::kInfo;
  // Time between reporting not ready and refusing requests, in which the load
  // balancer can notice.
  Duration drain_notice = std::chrono::seconds(2);
  std::int64_t http_threads = 2;
  std::int64_t max_sessions = 512;
  std::int64_t max_body_bytes = 65'536;
};

struct ParsedDaemonSettings {
  DaemonSettings settings;
  // Every fault of the document; `settings` may be used only if this is empty.
  std::vector<SettingsFault> faults;
};

// Unknown keys are faults.
ParsedDaemonSettings ParseDaemonSettings(std::string_view text);

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_DAEMON_DAEMON_SETTINGS_H_
