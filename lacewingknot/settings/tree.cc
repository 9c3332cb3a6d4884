#include "lacewingknot/settings/tree.h"

#include <set>

namespace lacewingknot {
namespace {

template <typename T>
T ValueOf(const std::vector<EffectiveSetting>& all, SettingKey key) {
  return std::get<T>(all[static_cast<std::size_t>(key)].value);
}

}  // namespace

std::string FormatFault(std::string_view file, const SettingsFault& fault) {
  std::string text = std::string(file) + ":" + std::to_string(fault.line) +
                     ": " + fault.key + ": " + fault.problem;
  if (!fault.accepted.empty()) text += "; accepted: " + fault.accepted;
  return text;
}

const ServiceNode* SettingsTree::Parent(const ServiceNode& node) const {
  const auto parent = services.find(node.parent);
  return parent == services.end() ? nullptr : &parent->second;
}

bool SettingsTree::IsUnder(const ServiceNode& node,
                           std::string_view ancestor) const {
  for (const ServiceNode* current = &node; current != nullptr;
       current = Parent(*current)) {
    if (current->name == ancestor) return true;
  }
  return false;
}

std::vector<EffectiveSetting> SettingsTree::EffectiveSettings(
    std::string_view service) const {
  std::vector<EffectiveSetting> all;
  for (const SettingInfo& info : AllSettings()) {
    EffectiveSetting setting{&info, DefaultValue(info), "default"};
    for (const ServiceNode* node = &services.find(service)->second;
         node != nullptr; node = Parent(*node)) {
      const auto& value = node->values[static_cast<std::size_t>(info.key)];
      if (!value) continue;
      setting.value = *value;
      setting.origin = node->name;
      break;
    }
    all.push_back(std::move(setting));
  }
  return all;
}

ServicePolicy SettingsTree::EffectivePolicy(std::string_view service) const {
  const auto all = EffectiveSettings(service);
  ServicePolicy policy;
  policy.deadline = ValueOf<Duration>(all, SettingKey::kDeadline);
  policy.partial_after = ValueOf<Duration>(all, SettingKey::kPartialAfter);
  policy.attempt_timeout = ValueOf<Duration>(all, SettingKey::kAttemptTimeout);
  policy.hedging = ValueOf<bool>(all, SettingKey::kHedging);
  policy.hedge_quantile = ValueOf<double>(all, SettingKey::kHedgeQuantile);
  policy.extra_load = ValueOf<double>(all, SettingKey::kExtraLoad);
  policy.extra_load_burst =
      ValueOf<std::int64_t>(all, SettingKey::kExtraLoadBurst);
  policy.chooses_random_replica =
      ValueOf<std::string>(all, SettingKey::kReplicaChoice) == "random";
  policy.warmup = ValueOf<bool>(all, SettingKey::kWarmup);
  policy.cold_concurrency =
      ValueOf<std::int64_t>(all, SettingKey::kColdConcurrency);
  policy.warmup_completions =
      ValueOf<std::int64_t>(all, SettingKey::kWarmupCompletions);
  policy.connections = ValueOf<std::int64_t>(all, SettingKey::kConnections);
  policy.slots = ValueOf<std::int64_t>(all, SettingKey::kSlots);
  policy.max_queue = ValueOf<std::int64_t>(all, SettingKey::kMaxQueue);
  return policy;
}

std::vector<std::string> SettingsTree::Shards(std::string_view service) const {
  std::set<std::string> shards;
  for (const auto& [name, upstream] : upstreams) {
    const auto node = services.find(upstream.service);
    if (node != services.end() && IsUnder(node->second, service)) {
      shards.insert(upstream.service);
    }
  }
  return {shards.begin(), shards.end()};
}

bool SettingsTree::IsOut(const UpstreamNode& upstream) const {
  if (upstream.is_out) return true;
  const auto data_centre = data_centres.find(upstream.data_centre);
  return data_centre != data_centres.end() && data_centre->second.is_out;
}

}  // namespace lacewingknot
