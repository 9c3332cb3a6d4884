// Limits what this daemon sends to an upstream that states the rate it takes
// from all daemons together.
//
// Load pattern: an upstream that is short of capacity states a rate below what
// it gets, at a moment's notice. Few daemons with much load, relays among them,
// send to it several times a second each; in a fleet of hundreds each sends
// less than one request in ten seconds, and all of them may have one ready at
// the same time. Each daemon uses a share of the rate: an equal one, so that
// the sum holds without messages between the daemons, or one that follows its
// demand (demand_shares.h).
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
#include "lacewingknot/policy/demand_shares.h"

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
  // Sets this daemon's equal share of the rate, 0 to 1.
  void set_share(double share) { share_ = share; }

  struct Demand {
    // Requests per second that this daemon has for the upstream. Less if they
    // are so rare that it could not use a share by them.
    double per_second = 0;
    Duration interval{};  // Time until the next report.
  };
  // Returns the demand if a report to the upstream's keeper is due; empty
  // otherwise.
  std::optional<Demand> TakeDueDemand(TimePoint now);
  // Applies the keeper's answer to the latest report: the demand of all
  // daemons.
  void OnDemandSum(double per_second, TimePoint now);

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
  // Counts a request that could be sent to the upstream, as demand.
  void CountDemand() { ++attempts_; }

 private:
  double Share() const { return ShareByDemand(share_, demand_share_); }
  bool UsesBucket() const;
  bool Draw(TimePoint now);
  void Accrue(TimePoint now);

  std::minstd_rand random_;
  double share_ = 1;
  std::optional<double> demand_share_;
  TimePoint demand_share_until_{};
  double attempts_ = 0;  // Demand since counted_since_.
  TimePoint counted_since_{};
  std::optional<TimePoint> next_report_at_;
  double demand_ = 0;  // Moving average, in attempts per second.
  double reported_demand_ = 0;
  std::optional<double> stated_;
  double last_notable_rate_ = 0;
  // Requests that may be sent; negative after requests that were sent anyway.
  double credit_ = 0;
  TimePoint accrued_at_{};
  TimePoint lost_at_{};  // A lot was lost.
  // A lot was won and not used yet.
  std::optional<TimePoint> won_at_;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_STATED_RATE_LIMITER_H_
