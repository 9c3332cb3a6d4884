// Limits what this daemon sends to an upstream that states the rate it takes
// from all daemons together.
//
// Load pattern: an upstream that is short of capacity states a rate below what
// it gets, at a moment's notice. Few daemons with much load, relays among them,
// send to it several times a second each; in a fleet of hundreds each sends
// less than one request in ten seconds, and all of them may have one ready at
// the same time. Each daemon uses a fixed share of the rate, so that the sum
// holds without messages between the daemons.
//
// A share of one request a second or more is a token bucket. With a smaller
// share, a bucket that holds one request would let the whole fleet send at
// once. There each attempt draws a lot instead: it may go with a probability
// that equals the share that has accrued since the last draw, whose outcome
// uses it up. The fleet then sends at random times, at a mean that leaves room
// for the spread.
//
// No I/O and no clock. Not thread-safe; a value type.
//
// Example:
//   StatedRateLimiter limiter({.random_seed = 1});
//   limiter.set_share(1.0 / daemons);
//   limiter.OnStated(21.5, now);  // With each answer of the upstream.
//   if (limiter.Allows(now)) {
//     limiter.OnSent(now);
//     Send(request);
//   }

#ifndef LACEWINGKNOT_POLICY_STATED_RATE_LIMITER_H_
#define LACEWINGKNOT_POLICY_STATED_RATE_LIMITER_H_

#include <cstdint>
#include <optional>
#include <random>

#include "lacewingknot/base/clock.h"

namespace lacewingknot {

class StatedRateLimiter {
 public:
  struct Options {
    std::uint64_t random_seed = 0;
  };

  explicit StatedRateLimiter(Options options) : random_(options.random_seed) {}

  // Records what an answer states, in requests per second of all daemons; empty
  // if it states no rate, which ends the limit. Returns whether the limit
  // began, ended, or moved by a fifth since this last returned true.
  bool OnStated(std::optional<double> per_second, TimePoint now);
  // Sets this daemon's share of the rate, 0 to 1.
  void set_share(double share) { share_ = share; }

  // The stated rate; empty if there is none.
  std::optional<double> stated() const { return stated_; }
  // The rate of this daemon, in requests per second; 0 without a stated rate.
  double OwnRate() const;

  // Whether one more request may be sent now. May draw a lot.
  bool Allows(TimePoint now);
  // When Allows() may return true if nothing is sent before; `now` if it may do
  // so already.
  TimePoint OpensAt(TimePoint now) const;
  // Counts a request that is sent.
  void OnSent(TimePoint now);

 private:
  bool UsesBucket() const;
  void Accrue(TimePoint now);

  std::minstd_rand random_;
  double share_ = 1;
  std::optional<double> stated_;
  double last_notable_rate_ = 0;
  // Requests that may be sent; negative after requests that were sent anyway.
  double credit_ = 0;
  TimePoint accrued_at_{};
  // A lot was won and not used yet.
  std::optional<TimePoint> won_at_;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_STATED_RATE_LIMITER_H_
