#include <xxhash.h>

#include <algorithm>
#include <set>

#include "lacewingknot/settings/toml_document.h"
#include "lacewingknot/settings/tree.h"

namespace lacewingknot {
namespace {

// Parses one settings document into a tree and collects every fault. An object
// parses only one document.
class Parser {
 public:
  ParsedSettings Parse(std::string_view text);

 private:
  void AddFault(const toml::node& node, std::string key, std::string problem,
                std::string accepted);
  void ParseRevision(const toml::table& root);
  void ParseFleet(const toml::table& root);
  void ParseDataCentres(const toml::table& root);
  void ParseServices(const toml::table& root);
  void ParseUpstreams(const toml::table& root);
  // Adds a fault for each key of `table` that is not in `known`. `prefix` is
  // the path of the table, ending in a dot unless it is empty.
  void RefuseUnknownKeys(const toml::table& table, const std::string& prefix,
                         const std::set<std::string_view>& known);

  // Calls `parse(name, table, prefix)` for each table [section.NAME], where
  // `prefix` is "section.NAME.".
  template <typename ParseOne>
  void ForEachTable(const toml::table& root, std::string_view section,
                    ParseOne parse);

  // Returns nullopt if the type, unit or range is wrong.
  std::optional<SettingValue> ParseValue(const toml::node& node,
                                         const SettingInfo& info) const;
  // Returns the string at `key`, or an empty string if there is none. Adds a
  // fault if the value is empty or not a string, or missing but required.
  std::string ParseString(const toml::table& table, const std::string& prefix,
                          std::string_view key, bool is_required);
  // Returns true if the key `state` of `table` is "out".
  bool ParseOutState(const toml::table& table, const std::string& prefix);
  // Sets `value` if `key` is present and valid.
  void ParseFleetDuration(const toml::table& fleet, std::string_view key,
                          Duration min, Duration max, Duration& value);

  // Adds a fault for each parent that does not exist and for each service whose
  // chain of parents has a cycle.
  void CheckParents();
  // Adds a fault for each upstream whose service or data centre does not exist
  // or whose address lacks the part before or after its last colon.
  void CheckUpstreams();

  SettingsTree tree_;
  std::vector<SettingsFault> faults_;
};

void Parser::AddFault(const toml::node& node, std::string key,
                      std::string problem, std::string accepted) {
  faults_.push_back({.line = node.source().begin.line,
                     .key = std::move(key),
                     .problem = std::move(problem),
                     .accepted = std::move(accepted)});
}

ParsedSettings Parser::Parse(std::string_view text) {
  const auto document = ParseTomlDocument(text, faults_);
  if (!document) return {.tree = nullptr, .faults = faults_};
  const toml::table& root = *document;
  RefuseUnknownKeys(
      root, "", {"revision", "fleet", "data_centre", "service", "upstream"});
  ParseRevision(root);
  ParseFleet(root);
  ParseDataCentres(root);
  ParseServices(root);
  ParseUpstreams(root);
  CheckParents();
  CheckUpstreams();
  if (!faults_.empty()) {
    std::stable_sort(faults_.begin(), faults_.end(),
                     [](const SettingsFault& a, const SettingsFault& b) {
                       return a.line < b.line;
                     });
    return {.tree = nullptr, .faults = faults_};
  }
  tree_.text = std::string(text);
  tree_.content_hash = XXH3_64bits(text.data(), text.size());
  return {.tree = std::make_shared<const SettingsTree>(std::move(tree_)),
          .faults = {}};
}

void Parser::RefuseUnknownKeys(const toml::table& table,
                               const std::string& prefix,
                               const std::set<std::string_view>& known) {
  for (const auto& [key, node] : table) {
    if (known.contains(key.str())) continue;
    std::string accepted;
    for (std::string_view name : known) {
      accepted += (accepted.empty() ? "" : ", ") + std::string(name);
    }
    AddFault(node, prefix + std::string(key.str()), "unknown key", accepted);
  }
}

void Parser::ParseRevision(const toml::table& root) {
  const toml::node* node = root.get("revision");
  const std::string accepted = "a whole number above 0";
  if (node == nullptr) {
    AddFault(root, "revision", "missing", accepted);
    return;
  }
  const auto revision = node->value_exact<std::int64_t>();
  if (!revision || *revision <= 0) {
    AddFault(*node, "revision", "not a positive whole number", accepted);
    return;
  }
  tree_.revision = static_cast<std::uint64_t>(*revision);
}

void Parser::ParseFleetDuration(const toml::table& fleet, std::string_view key,
                                Duration min, Duration max, Duration& value) {
  const toml::node* node = fleet.get(key);
  if (node == nullptr) return;
  const auto text = node->value_exact<std::string>();
  const auto duration = text ? ParseDuration(*text) : std::nullopt;
  if (duration && *duration >= min && *duration <= max) {
    value = *duration;
    return;
  }
  AddFault(*node, "fleet." + std::string(key), "wrong type, unit or range",
           "a duration with a unit, from " + FormatDuration(min) + " to " +
               FormatDuration(max));
}

void Parser::ParseFleet(const toml::table& root) {
  const toml::node* node = root.get("fleet");
  if (node == nullptr) return;
  const toml::table* fleet = node->as_table();
  if (fleet == nullptr) {
    AddFault(*node, "fleet", "not a table", "[fleet]");
    return;
  }
  RefuseUnknownKeys(
      *fleet, "fleet.",
      {"view_lease", "gossip_interval", "platform_reads_per_second"});
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  ParseFleetDuration(*fleet, "view_lease", milliseconds(500), seconds(30),
                     tree_.fleet.view_lease);
  ParseFleetDuration(*fleet, "gossip_interval", milliseconds(50), seconds(5),
                     tree_.fleet.gossip_interval);
  const toml::node* reads = fleet->get("platform_reads_per_second");
  if (reads == nullptr) return;
  constexpr std::int64_t kMaxReadsPerSecond = 2'000;
  const auto count = reads->value_exact<std::int64_t>();
  if (count && *count >= 1 && *count <= kMaxReadsPerSecond) {
    tree_.fleet.platform_reads_per_second = *count;
    return;
  }
  AddFault(*reads, "fleet.platform_reads_per_second", "wrong type or range",
           "a whole number from 1 to " + std::to_string(kMaxReadsPerSecond));
}

template <typename ParseOne>
void Parser::ForEachTable(const toml::table& root, std::string_view section,
                          ParseOne parse) {
  const toml::node* node = root.get(section);
  if (node == nullptr) return;
  const std::string form = "[" + std::string(section) + ".NAME]";
  const toml::table* tables = node->as_table();
  if (tables == nullptr) {
    AddFault(*node, std::string(section), "not a table", form);
    return;
  }
  for (const auto& [name, child] : *tables) {
    const std::string prefix =
        std::string(section) + "." + std::string(name.str());
    if (const toml::table* table = child.as_table()) {
      parse(std::string(name.str()), *table, prefix + ".");
    } else {
      AddFault(child, prefix, "not a table", form);
    }
  }
}

std::string Parser::ParseString(const toml::table& table,
                                const std::string& prefix, std::string_view key,
                                bool is_required) {
  const toml::node* node = table.get(key);
  if (node == nullptr) {
    if (is_required) {
      AddFault(table, prefix + std::string(key), "missing", "text in quotes");
    }
    return "";
  }
  const auto text = node->value_exact<std::string>();
  if (!text || text->empty()) {
    AddFault(*node, prefix + std::string(key), "wrong type or empty",
             "text in quotes");
    return "";
  }
  return *text;
}

bool Parser::ParseOutState(const toml::table& table,
                           const std::string& prefix) {
  const toml::node* node = table.get("state");
  if (node == nullptr) return false;
  const auto state = node->value_exact<std::string>();
  if (!state || (*state != "in" && *state != "out")) {
    AddFault(*node, prefix + "state", "unknown state", "\"in\" or \"out\"");
    return false;
  }
  return *state == "out";
}

void Parser::ParseDataCentres(const toml::table& root) {
  ForEachTable(root, "data_centre",
               [&](std::string name, const toml::table& table,
                   const std::string& prefix) {
                 RefuseUnknownKeys(table, prefix, {"region", "state"});
                 DataCentreNode node;
                 node.name = name;
                 node.region = ParseString(table, prefix, "region", false);
                 node.is_out = ParseOutState(table, prefix);
                 tree_.data_centres.emplace(std::move(name), std::move(node));
               });
}

std::optional<SettingValue> Parser::ParseValue(const toml::node& node,
                                               const SettingInfo& info) const {
  const auto is_in_range = [&](double value) {
    return value >= info.min && value <= info.max;
  };
  switch (info.kind) {
    case SettingKind::kDuration: {
      const auto text = node.value_exact<std::string>();
      const auto duration = text ? ParseDuration(*text) : std::nullopt;
      using Millis = std::chrono::duration<double, std::milli>;
      if (!duration || !is_in_range(Millis(*duration).count())) return {};
      return *duration;
    }
    case SettingKind::kFraction: {
      const auto value = node.value<double>();
      if (!value || !is_in_range(*value)) return {};
      return *value;
    }
    case SettingKind::kInteger: {
      const auto value = node.value_exact<std::int64_t>();
      if (!value || !is_in_range(static_cast<double>(*value))) return {};
      return *value;
    }
    case SettingKind::kBoolean: {
      const auto value = node.value_exact<bool>();
      if (!value) return {};
      return *value;
    }
    case SettingKind::kChoice: {
      const auto value = node.value_exact<std::string>();
      const std::string choices = "|" + std::string(info.choices) + "|";
      if (!value || choices.find("|" + *value + "|") == std::string::npos) {
        return {};
      }
      return *value;
    }
  }
  return {};
}

void Parser::ParseServices(const toml::table& root) {
  ForEachTable(root, "service",
               [&](std::string name, const toml::table& table,
                   const std::string& prefix) {
                 std::set<std::string_view> known{"parent"};
                 for (const SettingInfo& info : AllSettings()) {
                   known.insert(info.name);
                 }
                 RefuseUnknownKeys(table, prefix, known);
                 ServiceNode service;
                 service.name = name;
                 service.line = table.source().begin.line;
                 service.parent = ParseString(table, prefix, "parent", false);
                 for (const SettingInfo& info : AllSettings()) {
                   const toml::node* node = table.get(info.name);
                   if (node == nullptr) continue;
                   auto value = ParseValue(*node, info);
                   if (!value) {
                     AddFault(*node, prefix + std::string(info.name),
                              "wrong type, unit or range", AcceptedForm(info));
                   }
                   service.values[static_cast<std::size_t>(info.key)] =
                       std::move(value);
                 }
                 tree_.services.emplace(std::move(name), std::move(service));
               });
}

void Parser::ParseUpstreams(const toml::table& root) {
  ForEachTable(
      root, "upstream",
      [&](std::string name, const toml::table& table,
          const std::string& prefix) {
        RefuseUnknownKeys(table, prefix,
                          {"service", "address", "data_centre", "state"});
        UpstreamNode node;
        node.name = name;
        node.line = table.source().begin.line;
        node.service = ParseString(table, prefix, "service", true);
        node.address = ParseString(table, prefix, "address", true);
        node.data_centre = ParseString(table, prefix, "data_centre", true);
        node.is_out = ParseOutState(table, prefix);
        tree_.upstreams.emplace(std::move(name), std::move(node));
      });
}

void Parser::CheckParents() {
  for (const auto& [name, service] : tree_.services) {
    std::set<std::string_view> seen{name};
    const ServiceNode* current = &service;
    while (!current->parent.empty()) {
      const auto parent = tree_.services.find(current->parent);
      if (parent == tree_.services.end()) {
        // A missing parent is reported only for the service that names it.
        if (current != &service) break;
        faults_.push_back({service.line, "service." + name + ".parent",
                           "no service named " + current->parent,
                           "the name of a service in this document"});
        break;
      }
      current = &parent->second;
      if (!seen.insert(current->name).second) {
        faults_.push_back({service.line, "service." + name + ".parent",
                           "cycle of parents through " + current->name,
                           "a chain of parents without a cycle"});
        break;
      }
    }
  }
}

void Parser::CheckUpstreams() {
  for (const auto& [name, upstream] : tree_.upstreams) {
    const std::string prefix = "upstream." + name + ".";
    if (!upstream.service.empty() &&
        !tree_.services.contains(upstream.service)) {
      faults_.push_back({upstream.line, prefix + "service",
                         "no service named " + upstream.service,
                         "the name of a service in this document"});
    }
    if (!upstream.data_centre.empty() &&
        !tree_.data_centres.contains(upstream.data_centre)) {
      faults_.push_back({upstream.line, prefix + "data_centre",
                         "no data centre named " + upstream.data_centre,
                         "the name of a data centre in this document"});
    }
    const auto colon = upstream.address.rfind(':');
    if (!upstream.address.empty() &&
        (colon == std::string::npos || colon == 0 ||
         colon + 1 == upstream.address.size())) {
      faults_.push_back(
          {upstream.line, prefix + "address", "not an address", "IP:PORT"});
    }
  }
}

}  // namespace

ParsedSettings ParseSettings(std::string_view text) {
  return Parser().Parse(text);
}

}  // namespace lacewingknot
