#include "lacewingknot/policy/warmup_state.h"

#include <algorithm>

namespace lacewingknot {
namespace {

// Returns this daemon's share of `total`. The shares of all daemons never add
// up to more than `total`; the owner gets the remainder of the division.
std::int64_t ShareOf(std::int64_t total, const WarmupState::FleetRole& role) {
  const std::int64_t per_daemon = total / role.fleet_size;
  if (!role.is_owner) return per_daemon;
  return total - per_daemon * (role.fleet_size - 1);
}

}  // namespace

std::int64_t WarmupState::Allowance(const Limits& limits, const FleetRole& role,
                                    bool connected, TimePoint now) const {
  const std::int64_t connections = ShareOf(limits.connections, role);
  if (!limits.enabled) return std::max<std::int64_t>(connections, 1);
  const bool is_proved =
      !presumed_cold_ && (connected || now - last_answer_at_ <= kMaxAnswerAge);
  const std::int64_t level =
      is_proved ? level_
                : std::min(limits.cold_concurrency, limits.connections);
  if (level < role.fleet_size) {
    return role.is_owner ? std::min(level, connections) : 0;
  }
  return std::min(ShareOf(level, role), connections);
}

bool WarmupState::OnConnectionsLost(TimePoint now) {
  const bool was_trusted = !presumed_cold_;
  presumed_cold_ = true;
  presumed_cold_since_ = now;
  return was_trusted;
}

void WarmupState::ResetToCold(const Limits& limits, std::string_view instance,
                              TimePoint now) {
  instance_ = instance;
  level_ = limits.cold_concurrency;
  level_changed_at_ = now;
  completions_ = 0;
}

bool WarmupState::OnCompletion(const Limits& limits, std::string_view instance,
                               bool is_owner, TimePoint now) {
  if (instance != instance_) ResetToCold(limits, instance, now);
  presumed_cold_ = false;
  last_answer_at_ = now;
  if (!is_owner || level_ >= limits.connections) return false;
  if (++completions_ < limits.warmup_completions) return false;
  completions_ = 0;
  level_ = std::min(level_ * 2, limits.connections);
  level_changed_at_ = now;
  return level_ >= limits.connections;
}

bool WarmupState::OnOverload(const Limits& limits, TimePoint now) {
  completions_ = 0;
  const bool warming = level_ < limits.connections;
  if (!warming || level_ <= limits.cold_concurrency) return false;
  level_ = std::max(level_ / 2, limits.cold_concurrency);
  level_changed_at_ = now;
  return true;
}

bool WarmupState::AdoptLevel(const WarmupReport& report) {
  const bool changed = report.level != level_;
  if (changed) completions_ = 0;
  level_ = report.level;
  level_changed_at_ = report.level_changed_at;
  return changed;
}

bool WarmupState::OnPeerReport(const WarmupReport& report) {
  if (report.instance.empty()) return false;
  const bool same_instance = report.instance == instance_;
  bool changed = false;
  if (same_instance && report.level_changed_at > level_changed_at_) {
    changed = AdoptLevel(report);
  }
  const bool answered_later =
      report.last_answer_at > last_answer_at_ &&
      (!presumed_cold_ || report.last_answer_at > presumed_cold_since_);
  if (!answered_later) return changed;
  last_answer_at_ = report.last_answer_at;
  changed = changed || presumed_cold_ || !same_instance;
  presumed_cold_ = false;
  if (same_instance) return changed;
  instance_ = report.instance;
  AdoptLevel(report);
  return true;
}

std::optional<WarmupReport> WarmupState::Report() const {
  if (presumed_cold_ || instance_.empty()) return std::nullopt;
  return WarmupReport{.instance = instance_,
                      .level = level_,
                      .last_answer_at = last_answer_at_,
                      .level_changed_at = level_changed_at_};
}

}  // namespace lacewingknot
