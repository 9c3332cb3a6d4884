#include "lacewingknot/policy/team_quota.h"

#include <algorithm>

#include "lacewingknot/policy/internal/quota_arithmetic.h"

namespace lacewingknot {
namespace {

using internal::Seconds;

// Parts of the tolerated excess: the depth of the bucket beyond the burst, and
// what daemons without a keeper may send. The rest is for a keeper that takes
// over while its predecessor may still grant (TakeoverLevel).
constexpr double kDepthPart = 0.23;
constexpr double kFallbackPart = 0.2;
// What a takeover leaves for messages on the way: some 30 ms of the rate.
constexpr double kMarginPart = 0.02;
// Part of the overshoot by which buckets refill faster than the rate, to make
// up for tokens that are lost.
constexpr double kRefillPart = 0.1;

}  // namespace

double QuotaBounds::Excess(const TeamQuota& quota) const {
  return (quota.rate_per_second * Seconds(window) + quota.burst) * overshoot +
         slack;
}

double QuotaBounds::Limit(const TeamQuota& quota) const {
  return quota.rate_per_second * Seconds(window) + quota.burst + Excess(quota);
}

double BucketDepth(const TeamQuota& quota, const QuotaBounds& bounds) {
  return std::max(1.0, quota.burst + kDepthPart * bounds.Excess(quota));
}

double RefillPerSecond(const TeamQuota& quota, const QuotaBounds& bounds) {
  return quota.rate_per_second * (1 + kRefillPart * bounds.overshoot);
}

double FallbackPerWindow(const TeamQuota& quota, const QuotaBounds& bounds) {
  return kFallbackPart * bounds.Excess(quota);
}

double TakeoverLevel(const TeamQuota& quota, const QuotaBounds& bounds) {
  // A claim follows an ask without an answer, and takes its time.
  constexpr Duration kSilenceBefore =
      TeamQuotaClient::kMinRetry + TeamQuotaKeeper::kClaimTimeout;
  const double overlap = Seconds(FleetContact::kLifetime - kSilenceBefore) *
                         RefillPerSecond(quota, bounds);
  const double refill_excess =
      Seconds(bounds.window) *
      (RefillPerSecond(quota, bounds) - quota.rate_per_second);
  const double left =
      bounds.Limit(quota) - Seconds(bounds.window) * quota.rate_per_second -
      refill_excess - BucketDepth(quota, bounds) -
      FallbackPerWindow(quota, bounds) - kMarginPart * bounds.Excess(quota);
  return std::clamp(left - overlap, -overlap, quota.burst);
}

}  // namespace lacewingknot
