#include "lacewingknot/edge/edge_settings.h"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include "lacewingknot/net/http_connection.h"
#include "lacewingknot/settings/toml_document.h"

namespace lacewingknot::edge {
namespace {

constexpr std::array<std::string_view, 18> kKnownKeys{"vm",
                                                      "data_centre",
                                                      "listen",
                                                      "readiness_listen",
                                                      "control_listen",
                                                      "metrics_listen",
                                                      "gossip_listen",
                                                      "peers",
                                                      "store",
                                                      "store_max_staleness_ms",
                                                      "changes_in_force_ms",
                                                      "upstream_drain_ms",
                                                      "log_level",
                                                      "processor_share",
                                                      "disabled_mechanisms",
                                                      "extra_load",
                                                      "quota",
                                                      "stop"};

class SettingsReader {
 public:
  explicit SettingsReader(ParsedEdgeSettings& parsed) : parsed_(parsed) {}

  void AddFault(const toml::node& node, std::string_view key,
                std::string problem, std::string accepted) {
    parsed_.faults.push_back({.line = node.source().begin.line,
                              .key = std::string(key),
                              .problem = std::move(problem),
                              .accepted = std::move(accepted)});
  }

  void ReadText(const toml::table& root, std::string_view key,
                std::string& value) {
    const toml::node* node = root.get(key);
    const auto text = node ? node->value_exact<std::string>() : std::nullopt;
    if (text && !text->empty()) {
      value = *text;
      return;
    }
    AddFault(node ? *node : root, key, node ? "wrong type or empty" : "missing",
             "text in quotes");
  }

  // A key that is not `required` may be missing.
  void ReadAddress(const toml::table& root, std::string_view key, bool required,
                   std::string& value) {
    if (!required && root.get(key) == nullptr) return;
    std::string text;
    const std::size_t faults = parsed_.faults.size();
    ReadText(root, key, text);
    if (parsed_.faults.size() != faults) return;
    if (!ParseEndpoint(text)) {
      AddFault(*root.get(key), key, "not an address", "\"IP:PORT\"");
      return;
    }
    value = text;
  }

  // `path` is a dotted path, such as "stop.grace_seconds", for a key in a
  // table.
  void ReadNumber(const toml::table& root, std::string_view path, double min,
                  double max, double& value) {
    const auto view = root.at_path(path);
    const toml::node* node = view.node();
    if (node == nullptr) return;
    const auto number = node->value<double>();
    if (number && *number >= min && *number <= max) {
      value = *number;
      return;
    }
    AddFault(
        *node, path, "wrong type or range",
        "a number from " + std::to_string(min) + " to " + std::to_string(max));
  }

  // Reads a number of `Unit`s as a duration.
  template <typename Unit>
  void ReadDuration(const toml::table& root, std::string_view path, double min,
                    double max, Duration& value) {
    double number = std::chrono::duration_cast<Unit>(value).count();
    ReadNumber(root, path, min, max, number);
    value = std::chrono::duration_cast<Duration>(Unit(number));
  }

  void ReadPeers(const toml::table& root) {
    const toml::node* node = root.get("peers");
    if (node == nullptr) return;
    const toml::array* list = node->as_array();
    if (list == nullptr) {
      AddFault(*node, "peers", "wrong type", "a list of \"IP:PORT\"");
      return;
    }
    for (const toml::node& entry : *list) {
      const auto text = entry.value_exact<std::string>();
      if (!text || !ParseEndpoint(*text)) {
        AddFault(entry, "peers", "not an address", "a list of \"IP:PORT\"");
        continue;
      }
      parsed_.settings.peers.push_back(*text);
    }
  }

  void ReadDisabledMechanisms(const toml::table& root) {
    constexpr std::string_view kKey = "disabled_mechanisms";
    const toml::node* node = root.get(kKey);
    if (node == nullptr) return;
    std::string accepted = "a list of:";
    for (const MechanismInfo& info : AllMechanisms()) {
      accepted += " \"" + std::string(info.name) + '"';
    }
    const toml::array* list = node->as_array();
    if (list == nullptr) {
      AddFault(*node, kKey, "wrong type", accepted);
      return;
    }
    for (const toml::node& entry : *list) {
      const auto name = entry.value_exact<std::string>();
      if (const auto mechanism = FindMechanism(name.value_or(""))) {
        parsed_.settings.disabled_mechanisms.Insert(*mechanism);
      } else {
        AddFault(entry, kKey, "not a mechanism", accepted);
      }
    }
  }

  void ReadQuota(const toml::table& root) {
    const toml::node* node = root.get("quota");
    if (node == nullptr) return;
    if (!node->is_table()) {
      AddFault(*node, "quota", "wrong type", "a table");
      return;
    }
    QuotaBounds bounds;
    ReadDuration<std::chrono::duration<double>>(root, "quota.window_seconds", 1,
                                                600, bounds.window);
    ReadDuration<std::chrono::duration<double, std::milli>>(
        root, "quota.window_ms", 1'000, 600'000, bounds.window);
    ReadNumber(root, "quota.overshoot", 0, 10, bounds.overshoot);
    ReadNumber(root, "quota.slack", 0, 1e6, bounds.slack);
    parsed_.settings.quota_bounds = bounds;
  }

  void ReadLogLevel(const toml::table& root) {
    const toml::node* node = root.get("log_level");
    if (node == nullptr) return;
    const auto text = node->value_exact<std::string>();
    if (const auto level = LogLevelFromName(text.value_or(""))) {
      parsed_.settings.log_level = *level;
      return;
    }
    AddFault(*node, "log_level", "not a level",
             R"("debug", "info", "warning" or "error")");
  }

 private:
  ParsedEdgeSettings& parsed_;
};

}  // namespace

ParsedEdgeSettings ParseEdgeSettings(std::string_view text) {
  ParsedEdgeSettings parsed;
  const auto document = ParseTomlDocument(text, parsed.faults);
  if (!document) return parsed;
  const toml::table& root = *document;
  SettingsReader reader(parsed);
  EdgeSettings& settings = parsed.settings;
  reader.ReadText(root, "vm", settings.vm);
  reader.ReadText(root, "data_centre", settings.data_centre);
  reader.ReadAddress(root, "listen", true, settings.listen);
  reader.ReadAddress(root, "readiness_listen", true, settings.readiness_listen);
  reader.ReadAddress(root, "control_listen", false, settings.control_listen);
  reader.ReadAddress(root, "metrics_listen", false, settings.metrics_listen);
  reader.ReadAddress(root, "gossip_listen", false, settings.gossip_listen);
  reader.ReadAddress(root, "store", true, settings.store);
  reader.ReadPeers(root);
  reader.ReadLogLevel(root);
  reader.ReadDisabledMechanisms(root);
  reader.ReadQuota(root);
  reader.ReadNumber(root, "processor_share", 0.001, 1'000,
                    settings.processor_share);
  reader.ReadNumber(root, "extra_load.ratio", 0, 1, settings.extra_ratio);
  reader.ReadNumber(root, "extra_load.attempts", 0, 1e6,
                    settings.extra_attempts);
  reader.ReadDuration<std::chrono::duration<double>>(
      root, "stop.grace_seconds", 0.5, 3'600, settings.stop_grace);
  reader.ReadDuration<std::chrono::duration<double, std::milli>>(
      root, "store_max_staleness_ms", 1'500, 60'000,
      settings.store_max_staleness);
  reader.ReadDuration<std::chrono::duration<double, std::milli>>(
      root, "changes_in_force_ms", 500, 60'000, settings.changes_in_force);
  reader.ReadDuration<std::chrono::duration<double, std::milli>>(
      root, "upstream_drain_ms", 1'500, 600'000, settings.upstream_drain);
  for (const auto& [key, node] : root) {
    if (std::find(kKnownKeys.begin(), kKnownKeys.end(), key.str()) ==
        kKnownKeys.end()) {
      parsed.ignored.emplace_back(key.str());
    }
  }
  return parsed;
}

}  // namespace lacewingknot::edge
