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
constexpr double kBucketTarget = 1.1;
// Own rate, in requests per second, from which a bucket is used.
constexpr double kMinBucketRate = 1;
// Time for which a bucket's rate accumulates beyond one request.
constexpr double kBucketSeconds = 0.25;
// Time for which a lot's probability accrues at most: bounds what the fleet
// sends if every daemon attempts a request after a long rest.
constexpr double kLotSeconds = 4;
// Lower bound of a negative credit.
constexpr double kMaxDebt = 2;

// What an upstream tolerates in a window: this multiple of its rate, and some
// requests more.
constexpr double kWindowSeconds = 4;
constexpr double kToleratedFactor = 1.5;
constexpr double kToleratedExtra = 5;
// Standard deviations by which a Poisson process stays below the tolerance.
constexpr double kDeviations = 5.5;

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
  return stated_ && *stated_ * kBucketTarget * share_ >= kMinBucketRate;
}

double StatedRateLimiter::OwnRate() const {
  if (!stated_) return 0;
  return *stated_ * share_ *
         (UsesBucket() ? kBucketTarget : RandomTarget(*stated_));
}

void StatedRateLimiter::Accrue(TimePoint now) {
  const double rate = OwnRate();
  const double limit = UsesBucket() ? 1 + rate * kBucketSeconds
                                    : std::min(1.0, rate * kLotSeconds);
  credit_ = std::min(credit_ + rate * Seconds(now - accrued_at_), limit);
  accrued_at_ = now;
}

TimePoint StatedRateLimiter::OpensAt(TimePoint now) const {
  if (!stated_ || won_at_) return now;
  const double rate = OwnRate();
  const double missing =
      (UsesBucket() ? 1 : 0) - credit_ - rate * Seconds(now - accrued_at_);
  if (missing <= 0) return now;
  return now + std::chrono::duration_cast<Duration>(
                   std::chrono::duration<double>(missing / rate));
}

bool StatedRateLimiter::Allows(TimePoint now) {
  if (!stated_) return true;
  Accrue(now);
  if (UsesBucket()) return credit_ >= 1;
  if (won_at_ && now - *won_at_ < kWonLotLifetime) return true;
  won_at_.reset();
  if (credit_ <= 0) return false;
  const double drawn = std::uniform_real_distribution<double>(0, 1)(random_);
  const bool won = drawn < credit_;
  credit_ = 0;
  if (won) won_at_ = now;
  return won;
}

void StatedRateLimiter::OnSent(TimePoint now) {
  if (!stated_) return;
  Accrue(now);
  if (std::exchange(won_at_, std::nullopt)) return;
  credit_ = std::max(credit_ - 1, -kMaxDebt);
}

}  // namespace lacewingknot
