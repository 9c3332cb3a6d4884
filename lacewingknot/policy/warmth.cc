#include "lacewingknot/policy/warmth.h"

#include <algorithm>

namespace lacewingknot {
namespace {

// This daemon's part of `total`, so that the parts of all daemons never add up
// to more than `total`. What does not divide evenly is the owner's.
std::int64_t PartOf(std::int64_t total, const Warmth::Share& share) {
  const std::int64_t each = total / share.fleet_size;
  if (!share.owner) return each;
  return total - each * (share.fleet_size - 1);
}

}  // namespace

std::int64_t Warmth::Allowance(const Limits& limits, const Share& share,
                               bool connected, TimePoint now) const {
  const std::int64_t connections = PartOf(limits.connections, share);
  if (!limits.enabled) return std::max<std::int64_t>(connections, 1);
  const bool proved =
      !suspect_ && (connected || now - evidence_at_ <= kEvidenceLifetime);
  const std::int64_t level =
      proved ? level_ : std::min(limits.cold_concurrency, limits.connections);
  if (level < share.fleet_size) {
    return share.owner ? std::min(level, connections) : 0;
  }
  return std::min(PartOf(level, share), connections);
}

bool Warmth::OnConnectionsLost(TimePoint now) {
  const bool trusted = !suspect_;
  suspect_ = true;
  suspect_since_ = now;
  return trusted;
}

void Warmth::StartCold(const Limits& limits, std::string_view instance,
                       TimePoint now) {
  instance_ = instance;
  level_ = limits.cold_concurrency;
  level_at_ = now;
  completions_ = 0;
}

bool Warmth::OnCompletion(const Limits& limits, std::string_view instance,
                          bool owner, TimePoint now) {
  if (instance != instance_) StartCold(limits, instance, now);
  suspect_ = false;
  evidence_at_ = now;
  if (!owner || level_ >= limits.connections) return false;
  if (++completions_ < limits.warmup_completions) return false;
  completions_ = 0;
  level_ = std::min(level_ * 2, limits.connections);
  level_at_ = now;
  return level_ >= limits.connections;
}

bool Warmth::OnOverload(const Limits& limits, TimePoint now) {
  completions_ = 0;
  const bool warming = level_ < limits.connections;
  if (!warming || level_ <= limits.cold_concurrency) return false;
  level_ = std::max(level_ / 2, limits.cold_concurrency);
  level_at_ = now;
  return true;
}

bool Warmth::TakeLevel(const WarmthClaim& claim) {
  const bool changed = claim.level != level_;
  if (changed) completions_ = 0;
  level_ = claim.level;
  level_at_ = claim.level_at;
  return changed;
}

bool Warmth::OnClaim(const WarmthClaim& claim) {
  if (claim.instance.empty()) return false;
  const bool same = claim.instance == instance_;
  bool changed = false;
  if (same && claim.level_at > level_at_) changed = TakeLevel(claim);
  const bool newer = claim.evidence_at > evidence_at_ &&
                     (!suspect_ || claim.evidence_at > suspect_since_);
  if (!newer) return changed;
  evidence_at_ = claim.evidence_at;
  changed = changed || suspect_ || !same;
  suspect_ = false;
  if (same) return changed;
  instance_ = claim.instance;
  TakeLevel(claim);
  return true;
}

std::optional<WarmthClaim> Warmth::Claim() const {
  if (suspect_ || instance_.empty()) return std::nullopt;
  return WarmthClaim{.instance = instance_,
                     .level = level_,
                     .evidence_at = evidence_at_,
                     .level_at = level_at_};
}

}  // namespace lacewingknot
