#include "lacewingknot/policy/stated_rate_limiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lacewingknot {
namespace {

// Bounds of a plausible rate. Below the first, no request would find out that
// the limit has ended.
constexpr double kMinStatedRate = 0.1;
constexpr double kMaxStatedRate = 1e6;

// Change, as a share of the rate, that is worth a log line: an upstream may
// state a slightly different rate in every answer.
constexpr double kNotableChange = 0.2;

// Share of the stated rate that buckets use together. An upstream tolerates
// half more than its rate; the difference covers full buckets and daemons that
// disagree about the fleet's size.
constexpr double kBucketTarget = 1.2;
// Own rate, in requests per second, from which a bucket is used.
constexpr double kMinBucketRate = 1.2;
// Time for which a bucket's rate accumulates beyond one request.
constexpr double kBucketSeconds = 0.25;
// Time for which a lot's probability accrues at most: bounds what the fleet
// sends if every daemon attempts a request after a long rest.
constexpr double kLotSeconds = 4;
// Attempts per second below which demand is not reported.
constexpr double kMinReportedDemand = 0.01;
// Lower bound of a negative credit.
constexpr double kMaxDebt = 2;

// What an upstream tolerates in a window: this multiple of its rate, and some
// requests more.
constexpr double kWindowSeconds = 4;
constexpr double kToleratedFactor = 1.5;
constexpr double kToleratedExtra = 5;
// Standard deviations by which a Poisson process stays below the tolerance.
constexpr double kDeviations = 4.5;

// Time after which a request that waits draws again.
constexpr Duration kLotInterval = std::chrono::milliseconds(100);
// How long a lot that was won may be used.
constexpr Duration kWonLotLifetime = std::chrono::milliseconds(500);

// Share of the stated rate at which requests may be sent at random times by a
// large fleet: with a mean of x requests in a window, x + kDeviations * sqrt(x)
// equals the tolerance.
double RandomTarget(double stated) {
  const double tolerated =
      kToleratedFactor * kWindowSeconds * stated + kToleratedExtra;
  const double root =
      (std::sqrt(kDeviations * kDeviations + 4 * tolerated) - kDeviations) / 2;
  return std::min(1.0, root * root / (kWindowSeconds * stated));
}

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

bool StatedRateLimiter::OnStated(std::optional<double> per_second,
                                 TimePoint now) {
  if (per_second) {
    per_second = std::clamp(*per_second, kMinStatedRate, kMaxStatedRate);
  }
  if (per_second == stated_) return false;
  Accrue(now);
  if (!stated_) {
    credit_ = 0;
    won_at_.reset();
    next_report_at_.reset();
    demand_share_.reset();
  }
  const bool began_or_ended = stated_.has_value() != per_second.has_value();
  stated_ = per_second;
  const double rate = per_second.value_or(0);
  const double change = std::abs(rate - last_notable_rate_);
  if (!began_or_ended && change < kNotableChange * last_notable_rate_) {
    return false;
  }
  last_notable_rate_ = rate;
  return true;
}

bool StatedRateLimiter::UsesBucket() const {
  return stated_ && *stated_ * kBucketTarget * Share() >= kMinBucketRate;
}

double StatedRateLimiter::OwnRate() const {
  if (!stated_) return 0;
  return *stated_ * Share() *
         (UsesBucket() ? kBucketTarget : RandomTarget(*stated_));
}

std::optional<StatedRateLimiter::Demand> StatedRateLimiter::TakeDueDemand(
    TimePoint now) {
  if (!stated_) return std::nullopt;
  const Duration interval = ReportInterval(share_);
  if (!next_report_at_) {
    // Daemons that learn of the rate together must not report together.
    const double phase =
        std::uniform_real_distribution<double>(0.2, 1)(random_);
    next_report_at_ =
        now + std::chrono::duration_cast<Duration>(interval * phase);
    counted_since_ = now;
    attempts_ = 0;
    demand_ = 0;
  }
  if (now < *next_report_at_) return std::nullopt;
  const double rate = attempts_ / Seconds(now - counted_since_);
  demand_ = demand_ == 0 ? rate : (demand_ + rate) / 2;
  attempts_ = 0;
  counted_since_ = now;
  next_report_at_ = now + interval;
  // Part of the time in which a lot's probability accrues.
  reported_demand_ = demand_ * (1 - std::exp(-kLotSeconds * demand_));
  if (reported_demand_ < kMinReportedDemand) return std::nullopt;
  return Demand{.per_second = reported_demand_, .interval = interval};
}

void StatedRateLimiter::OnDemandSum(double per_second, TimePoint now) {
  // An answer to an earlier report may hold less.
  if (per_second < reported_demand_ || per_second <= 0) return;
  Accrue(now);
  demand_share_ = reported_demand_ / per_second;
  demand_share_until_ = now + SumLifetime(ReportInterval(share_));
}

void StatedRateLimiter::Accrue(TimePoint now) {
  const double rate = OwnRate();
  const double limit = UsesBucket() ? 1 + rate * kBucketSeconds
                                    : std::min(1.0, rate * kLotSeconds);
  credit_ = std::min(credit_ + rate * Seconds(now - accrued_at_), limit);
  accrued_at_ = now;
  if (now >= demand_share_until_) demand_share_.reset();
}

TimePoint StatedRateLimiter::OpensAt(TimePoint now) const {
  if (!stated_ || won_at_) return now;
  const double rate = OwnRate();
  const double missing =
      (UsesBucket() ? 1 : 0) - credit_ - rate * Seconds(now - accrued_at_);
  const TimePoint next_draw =
      UsesBucket() ? now : std::max(now, lost_at_ + kLotInterval);
  if (missing <= 0) return next_draw;
  return std::max(next_draw,
                  now + std::chrono::duration_cast<Duration>(
                            std::chrono::duration<double>(missing / rate)));
}

bool StatedRateLimiter::Allows(TimePoint now) {
  if (!stated_) return true;
  Accrue(now);
  return UsesBucket() ? credit_ >= 1 : Draw(now);
}

bool StatedRateLimiter::Draw(TimePoint now) {
  if (won_at_ && now - *won_at_ < kWonLotLifetime) return true;
  won_at_.reset();
  if (credit_ <= 0) return false;
  const double drawn = std::uniform_real_distribution<double>(0, 1)(random_);
  const bool won = drawn < credit_;
  credit_ = 0;
  if (won) {
    won_at_ = now;
  } else {
    lost_at_ = now;
  }
  return won;
}

void StatedRateLimiter::OnSent(TimePoint now) {
  if (!stated_) return;
  Accrue(now);
  if (std::exchange(won_at_, std::nullopt)) return;
  credit_ = std::max(credit_ - 1, -kMaxDebt);
}

}  // namespace lacewingknot
