// The settings tree that operators publish.
//
// A document in TOML:
//
//   revision = 17
//   [fleet]
//   view_lease = "3s"
//   [data_centre.regina]
//   state = "in"
//   [service.wicket]
//   deadline = "200ms"
//   [service.wicket01]
//   parent = "wicket"
//   [upstream.wicket01a]
//   service = "wicket01"
//   address = "127.0.0.1:9101"
//   data_centre = "regina"
//
// A service inherits every setting of its parent unless it sets it itself. A
// query that names a service covers every service at or under it that has
// upstreams; each such service is one shard, held by all its upstreams.
//
// A document is accepted whole or refused whole, with every fault listed.
// `SettingsTree` is immutable and safe to share between threads.
//
// Example:
//   ParsedSettings parsed = ParseSettings(text);
//   if (!parsed.faults.empty()) Report(parsed.faults);
//   const ServicePolicy policy = parsed.tree->Policy("wicket01");

#ifndef LACEWINGKNOT_SETTINGS_TREE_H_
#define LACEWINGKNOT_SETTINGS_TREE_H_

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "lacewingknot/settings/schema.h"

namespace lacewingknot {

// One reason why a document is refused.
struct SettingsFault {
  std::uint32_t line = 0;
  std::string key;
  std::string problem;
  std::string accepted;
};

// "settings.toml:12: service.a.deadline: ...; accepted: ...".
std::string FormatFault(std::string_view file, const SettingsFault& fault);

struct ServiceNode {
  std::string name;
  std::string parent;  // Empty for a root.
  std::array<std::optional<SettingValue>, kSettingCount> values;
  std::uint32_t line = 0;
};

struct UpstreamNode {
  std::string name;
  std::string service;
  std::string address;  // "host:port".
  std::string data_centre;
  bool out = false;  // Taken out of service by the operators.
  std::uint32_t line = 0;
};

struct DataCentreNode {
  std::string name;
  std::string region;
  bool out = false;
};

// Values that hold for all daemons together.
struct FleetSettings {
  // How long a daemon may act on a view after it was last confirmed, and how
  // long a daemon newly responsible for an upstream waits for its predecessor.
  Duration view_lease = std::chrono::seconds(3);
  // Time between two exchanges with peers.
  Duration gossip_interval = std::chrono::milliseconds(500);
  // Platform reads a second by all daemons together, when nothing changes.
  std::int64_t platform_reads_per_second = 20;
};

// A service's settings after inheritance.
struct ServicePolicy {
  Duration deadline{};
  Duration partial_after{};
  Duration attempt_timeout{};
  bool hedging = false;
  double hedge_quantile = 0;
  double extra_load = 0;
  std::int64_t extra_load_burst = 0;
  bool random_replica = false;
  bool warmup = false;
  std::int64_t cold_concurrency = 0;
  std::int64_t warmup_completions = 0;
  std::int64_t connections = 0;
  std::int64_t slots = 0;
  std::int64_t max_queue = 0;
};

// A value and the node that sets it ("default" where none does).
struct EffectiveSetting {
  const SettingInfo* info;
  SettingValue value;
  std::string origin;
};

class SettingsTree {
 public:
  std::uint64_t revision = 0;
  std::uint64_t content_hash = 0;
  std::string text;  // The document as published.
  FleetSettings fleet;
  std::map<std::string, ServiceNode, std::less<>> services;
  std::map<std::string, UpstreamNode, std::less<>> upstreams;
  std::map<std::string, DataCentreNode, std::less<>> data_centres;

  // Settings of `service`, which must exist, in the order of AllSettings().
  std::vector<EffectiveSetting> Effective(std::string_view service) const;
  ServicePolicy Policy(std::string_view service) const;

  // Services at or under `service` that have upstreams, by name.
  std::vector<std::string> Shards(std::string_view service) const;

  // True if the operators have taken the upstream or its data centre out.
  bool IsOut(const UpstreamNode& upstream) const;

 private:
  const ServiceNode* Parent(const ServiceNode& node) const;
  bool IsUnder(const ServiceNode& node, std::string_view ancestor) const;
};

using SettingsPtr = std::shared_ptr<const SettingsTree>;

struct ParsedSettings {
  SettingsPtr tree;  // Null if there is any fault.
  std::vector<SettingsFault> faults;
};

ParsedSettings ParseSettings(std::string_view text);

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_SETTINGS_TREE_H_
