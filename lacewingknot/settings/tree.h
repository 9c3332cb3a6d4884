// The settings tree that operators publish.
//
// The tree is written as a TOML document:
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
// A service inherits from its parent every setting that it does not set itself.
// A query that names a service covers that service and all its descendants, as
// far as they have upstreams. Each such service is one shard, and each of its
// upstreams is a replica of the shard.
//
// A document is either accepted whole or refused whole; a refusal lists every
// fault, except that a document that is not TOML has one fault. A parsed tree
// is shared as a pointer to const and is safe to read on any thread.
//
// Example:
//   ParsedSettings parsed = ParseSettings(text);
//   if (parsed.tree == nullptr) return Report(parsed.faults);
//   const ServicePolicy policy = parsed.tree->EffectivePolicy("wicket01");

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
  std::string key;       // For example "service.a.deadline".
  std::string problem;   // What is wrong with the value.
  std::string accepted;  // What would be accepted.
};

// Formats a fault as "FILE:LINE: KEY: PROBLEM; accepted: ACCEPTED".
std::string FormatFault(std::string_view file, const SettingsFault& fault);

struct ServiceNode {
  std::string name;
  std::string parent;  // Empty for a root.
  // Indexed by SettingKey; nullopt where the service inherits.
  std::array<std::optional<SettingValue>, kSettingCount> values;
  std::uint32_t line = 0;  // Line of the document.
};

struct UpstreamNode {
  std::string name;
  std::string service;
  std::string address;  // "IP:PORT".
  std::string data_centre;
  bool is_out = false;     // Whether operators have taken it out of service.
  std::uint32_t line = 0;  // Line of the document.
};

struct DataCentreNode {
  std::string name;
  std::string region;
  bool is_out = false;  // Whether operators have taken it out of service.
};

// Settings of the whole fleet of daemons.
struct FleetSettings {
  // Time for which a daemon may act on its view (settings and VM list) after
  // the view was last confirmed. A new owner of an upstream also waits this
  // long, until the permit of the previous owner has expired.
  Duration view_lease = std::chrono::seconds(3);
  // Interval between two exchanges with peers.
  Duration gossip_interval = std::chrono::milliseconds(500);
  // Reads of the platform per second by all daemons together while nothing
  // changes.
  std::int64_t platform_reads_per_second = 20;
};

// Settings of a service after inheritance. schema.cc documents each key.
struct ServicePolicy {
  Duration deadline{};
  Duration partial_after{};
  Duration attempt_timeout{};
  bool hedging = false;
  double hedge_quantile = 0;
  double extra_load = 0;
  std::int64_t extra_load_burst = 0;
  bool chooses_random_replica = false;  // replica_choice is "random".
  bool warmup = false;
  std::int64_t cold_concurrency = 0;
  std::int64_t warmup_completions = 0;
  std::int64_t connections = 0;
  std::int64_t slots = 0;
  std::int64_t max_queue = 0;
};

// A value after inheritance. `origin` is the name of the service that sets it,
// or "default" if none does.
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

  // Returns the settings of `service` after inheritance, in the order of
  // AllSettings(). The service must exist.
  std::vector<EffectiveSetting> EffectiveSettings(
      std::string_view service) const;
  // The same as a struct. The service must exist.
  ServicePolicy EffectivePolicy(std::string_view service) const;

  // Returns the names, in order, of `service` and its descendants that have
  // upstreams.
  std::vector<std::string> Shards(std::string_view service) const;

  // Returns true if operators have taken the upstream or its data centre out of
  // service.
  bool IsOut(const UpstreamNode& upstream) const;

 private:
  // Returns null for a root.
  const ServiceNode* Parent(const ServiceNode& node) const;
  // Returns true if `ancestor` names `node` or an ancestor of it.
  bool IsUnder(const ServiceNode& node, std::string_view ancestor) const;
};

using SettingsPtr = std::shared_ptr<const SettingsTree>;

struct ParsedSettings {
  SettingsPtr tree;                   // Null if there is any fault.
  std::vector<SettingsFault> faults;  // Ordered by line.
};

// Parses and validates a settings document.
ParsedSettings ParseSettings(std::string_view text);

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_SETTINGS_TREE_H_
