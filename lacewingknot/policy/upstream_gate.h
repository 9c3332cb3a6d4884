// Decides whether and when an attempt may go to one upstream, by what the
// upstream says of itself in its answers.
//
// Load pattern: upstreams are replaced while some daemons cannot reach the
// store, which would tell them who leaves; and in a burst half of the replicas
// turn requests away and name a time. An upstream's own word is fresher than
// the store's and holds whatever the store says:
//
// - leaving: nothing is sent to this incarnation again.
// - a wait, with a refusal: nothing is sent until its end, and then little for
//   a second, so that callers do not return all at once.
// - a rate: see stated_rate_limiter.h.
//
// A daemon learns this from its own answers, from the relays that query shards
// for it, and from other daemons (statement_table.h). A wait binds only the
// daemon that it was named to; the others prefer other replicas for a moment.
//
// No I/O and no clock. Not thread-safe; a value type.
//
// Example:
//   UpstreamGate gate({.random_seed = 1});
//   gate.OnAnswer({.wait = std::chrono::seconds(2)}, now);
//   if (gate.Check(now) == GateDecision::kOpen) {
//     gate.OnSent(now);
//     Send(request);
//   }

#ifndef LACEWINGKNOT_POLICY_UPSTREAM_GATE_H_
#define LACEWINGKNOT_POLICY_UPSTREAM_GATE_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "lacewingknot/base/clock.h"
#include "lacewingknot/policy/stated_rate_limiter.h"

namespace lacewingknot {

// What an upstream says of itself in one answer.
struct UpstreamStatement {
  bool is_leaving = false;
  // Time for which it wants no requests from this daemon.
  std::optional<Duration> wait;
  // Requests per second that it takes from all daemons together.
  std::optional<double> rate;
  // Values that made no sense and were ignored.
  int malformed = 0;

  bool says_something() const { return is_leaving || wait || rate; }
};

enum class GateDecision { kOpen, kLeaving, kWaiting, kRateLimited };

// Returns the name of the decision in logs and explanations.
std::string_view GateDecisionName(GateDecision decision);

class UpstreamGate {
 public:
  struct Options {
    std::uint64_t random_seed = 0;
  };
  // What an answer changed, for the log.
  struct Changes {
    bool leaving = false;
    bool wait = false;       // A wait began while there was none.
    bool rate = false;       // As of StatedRateLimiter::OnStated().
    bool malformed = false;  // For the first time.

    bool any() const { return leaving || wait || rate || malformed; }
  };

  explicit UpstreamGate(Options options)
      : rate_limiter_({.random_seed = options.random_seed}) {}

  // Applies what a complete answer says. Values that make no sense are bounded.
  Changes OnAnswer(const UpstreamStatement& statement, TimePoint now);
  // Applies what an answer to another daemon said at `stated_at`. This daemon's
  // own answers count for more unless they are older.
  Changes OnReport(const UpstreamStatement& statement, TimePoint stated_at,
                   TimePoint now);
  // Counts an attempt that is sent.
  void OnSent(TimePoint now);

  // Counts a request that could be sent to the upstream.
  void CountDemand() { rate_limiter_.CountDemand(); }

  // Whether an attempt may be sent now. May draw a lot (StatedRateLimiter).
  GateDecision Check(TimePoint now);

  // When an attempt may be sent if none is sent before: `now` if one may be
  // sent already, TimePoint::max() if never.
  TimePoint OpensAt(TimePoint now) const;
  // Attempts per second that pass once the gate has opened at `time`.
  double PassRate(TimePoint time) const;

  bool is_leaving() const { return is_leaving_; }
  // End of the wait; in the past if there is none.
  TimePoint wait_until() const { return wait_until_; }
  // Until then other replicas are preferred, because the upstream has asked
  // another daemon to wait.
  TimePoint avoided_until() const { return avoided_until_; }
  // When an answer to this daemon last said something or nothing.
  TimePoint answered_at() const { return answered_at_; }
  const StatedRateLimiter& rate_limiter() const { return rate_limiter_; }
  // Sets this daemon's equal share of a stated rate, 0 to 1.
  void set_rate_share(double share) { rate_limiter_.set_share(share); }
  // As of StatedRateLimiter.
  std::optional<StatedRateLimiter::Demand> TakeDueDemand(TimePoint now) {
    return rate_limiter_.TakeDueDemand(now);
  }
  void OnDemandSum(double per_second, TimePoint now) {
    rate_limiter_.OnDemandSum(per_second, now);
  }

 private:
  // Whether attempts keep a distance from each other at `time`.
  bool IsReturning(TimePoint time) const;

  bool is_leaving_ = false;
  bool was_malformed_ = false;
  TimePoint wait_until_{};
  TimePoint avoided_until_{};
  TimePoint answered_at_{};
  TimePoint last_sent_at_{};
  StatedRateLimiter rate_limiter_;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_UPSTREAM_GATE_H_
