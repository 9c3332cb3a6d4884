#include "lacewingknot/policy/extra_load_window.h"

#include <algorithm>

namespace lacewingknot {
namespace {

// Fraction of the base allowance that a process has when it starts.
constexpr double kInitialFraction = 0.25;

// Returns the fraction of the allowance up to which `need` may spend.
constexpr double SpendableFraction(ExtraAttemptKind need) {
  switch (need) {
    case ExtraAttemptKind::kRetry:
      return 1.0;
    case ExtraAttemptKind::kUrgentHedge:
      return 0.7;
    case ExtraAttemptKind::kHedge:
      return 0.55;
  }
  return 0;
}

}  // namespace

std::int64_t ExtraLoadWindow::BucketIndex(TimePoint now) const {
  return now.time_since_epoch() /
         (limits_.length / static_cast<std::int64_t>(kBucketsPerWindow));
}

ExtraLoadWindow::Bucket& ExtraLoadWindow::BucketAt(TimePoint now) {
  const std::int64_t index = BucketIndex(now);
  Bucket& bucket = buckets_[static_cast<std::size_t>(index) % buckets_.size()];
  if (bucket.index != index) bucket = {.index = index};
  return bucket;
}

double ExtraLoadWindow::Allowance(TimePoint now) const {
  const std::int64_t index = BucketIndex(now);
  double first_attempts = 0;
  for (const Bucket& bucket : buckets_) {
    // The oldest bucket is only partly inside the window, so that its first
    // attempts earn nothing, while its extra attempts count as spent.
    if (index - bucket.index < static_cast<std::int64_t>(kBucketsPerWindow)) {
      first_attempts += bucket.first_attempts;
    }
  }
  const double windows_since_start =
      std::chrono::duration<double>(now - started_at_) /
      std::chrono::duration<double>(limits_.length);
  return limits_.ratio * first_attempts +
         limits_.base_allowance *
             (kInitialFraction + (1 - kInitialFraction) *
                                     std::clamp(windows_since_start, 0.0, 1.0));
}

double ExtraLoadWindow::Spent(TimePoint now) const {
  const std::int64_t index = BucketIndex(now);
  double extra_attempts = 0;
  for (const Bucket& bucket : buckets_) {
    if (index - bucket.index <= static_cast<std::int64_t>(kBucketsPerWindow)) {
      extra_attempts += bucket.extra_attempts;
    }
  }
  return extra_attempts;
}

void ExtraLoadWindow::OnFirstAttempt(TimePoint now) {
  ++BucketAt(now).first_attempts;
}

double ExtraLoadWindow::Remaining(TimePoint now) const {
  return std::max(0.0, Allowance(now) - Spent(now));
}

bool ExtraLoadWindow::TrySpend(ExtraAttemptKind need, TimePoint now) {
  if (Spent(now) + 1 > Allowance(now) * SpendableFraction(need)) return false;
  ++BucketAt(now).extra_attempts;
  return true;
}

}  // namespace lacewingknot
