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

void Warmth::StartCold(const Limits& limits, std::string_view instance) {
  instance_ = instance;
  level_ = limits.cold_concurrency;
  completions_ = 0;
}

bool Warmth::OnCompletion(const Limits& limits, std::string_view instance,
                          TimePoint now) {
  if (instance != instance_) StartCold(limits, instance);
  suspect_ = false;
  evidence_at_ = now;
  if (level_ >= limits.connections) return false;
  ++completions_;
  if (completions_ < level_ * limits.warmup_completions) return false;
  completions_ = 0;
  level_ = std::min(level_ * 2, limits.connections);
  return level_ >= limits.connections;
}

bool Warmth::OnOverload(const Limits& limits) {
  completions_ = 0;
  const bool warming = level_ < limits.connections;
  if (!warming || level_ <= limits.cold_concurrency) return false;
  level_ = std::max(level_ / 2, limits.cold_concurrency);
  return true;
}

bool Warmth::OnClaim(const WarmthClaim& claim) {
  const bool newer = claim.evidence_at > evidence_at_ &&
                     (!suspect_ || claim.evidence_at > suspect_since_);
  if (!newer || claim.instance.empty()) return false;
  const bool changed =
      suspect_ || claim.instance != instance_ || claim.level != level_;
  if (claim.instance != instance_ || claim.level != level_) completions_ = 0;
  instance_ = claim.instance;
  level_ = claim.level;
  evidence_at_ = claim.evidence_at;
  suspect_ = false;
  return changed;
}

std::optional<WarmthClaim> Warmth::Claim() const {
  if (suspect_ || instance_.empty()) return std::nullopt;
  return WarmthClaim{
      .instance = instance_, .level = level_, .evidence_at = evidence_at_};
}

}  // namespace lacewingknot
