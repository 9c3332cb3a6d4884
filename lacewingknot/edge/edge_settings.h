// The settings file of an edge daemon, in TOML.
//
//   vm = "front-1"
//   data_centre = "regina"
//   listen = "10.1.0.9:8104"            # clients
//   readiness_listen = "10.1.0.9:8108"  # the load balancer
//   control_listen = "10.1.0.9:8106"    # other daemons, lacewingknotctl
//   metrics_listen = "10.1.0.9:9464"    # Prometheus
//   gossip_listen = "10.1.0.9:7380"     # other daemons, UDP; TCP for relays
//   peers = ["10.1.0.9:8106"]           # control addresses of some daemons
//   store = "10.200.1.7:8102"           # the configuration store
//   processor_share = 0.25              # in processors
//   log_level = "info"
//   store_max_staleness_ms = 4000       # max age of the view of the store
//   changes_in_force_ms = 3000          # max delay until a store change
//                                       # applies
//   upstream_drain_ms = 3000            # an upstream serves after its removal
//   disabled_mechanisms = []            # names of policy/mechanisms.h
//   [extra_load]                        # limits of the fleet for a service
//   ratio = 0.2
//   attempts = 52
//   [quota]                             # tolerance of teams' quotas; absent:
//                                       # no quota is enforced
//   window_seconds = 5                  # or window_ms
//   overshoot = 0.25
//   slack = 20
//   [stop]
//   grace_seconds = 6                   # time until the process is killed
//
// Unknown keys are ignored and reported in ParsedEdgeSettings::ignored: a file
// written for a newer version must not stop an older daemon.
//
// Thread-safe: ParseEdgeSettings() has no shared state.
//
// Example:
//   const ParsedEdgeSettings parsed = ParseEdgeSettings(text);
//   if (parsed.faults.empty()) Start(parsed.settings);

#ifndef LACEWINGKNOT_EDGE_EDGE_SETTINGS_H_
#define LACEWINGKNOT_EDGE_EDGE_SETTINGS_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "lacewingknot/base/clock.h"
#include "lacewingknot/base/event_log.h"
#include "lacewingknot/policy/mechanisms.h"
#include "lacewingknot/policy/team_quota.h"
#include "lacewingknot/settings/tree.h"

namespace lacewingknot::edge {

struct EdgeSettings {
  std::string vm;
  std::string data_centre;
  std::string listen;
  std::string readiness_listen;
  std::string control_listen;  // Empty if there are no other daemons.
  std::string metrics_listen;  // If empty, control_listen serves the metrics.
  std::string gossip_listen;   // Empty to disable gossip.
  std::vector<std::string> peers;
  std::string store;
  Duration store_max_staleness = std::chrono::milliseconds(4'000);
  Duration changes_in_force = std::chrono::milliseconds(3'000);
  Duration upstream_drain = std::chrono::milliseconds(3'000);
  LogLevel log_level = LogLevel::kInfo;
  double processor_share = 1;
  double extra_ratio = 0.1;
  double extra_attempts = 10;
  Duration stop_grace = std::chrono::seconds(6);
  MechanismSet disabled_mechanisms;
  std::optional<QuotaBounds> quota_bounds;
};

struct ParsedEdgeSettings {
  EdgeSettings settings;
  std::vector<SettingsFault> faults;  // `settings` is valid only if empty.
  std::vector<std::string> ignored;   // Unknown keys.
};

ParsedEdgeSettings ParseEdgeSettings(std::string_view text);

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_EDGE_SETTINGS_H_
