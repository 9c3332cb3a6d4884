// The smoothed share of an upstream's recent attempts that failed.
//
// Load pattern: an upstream refuses a part of its requests for some seconds,
// and answers the others as fast as ever. Its latency does not show this.
//
// Not thread-safe; a value type.
//
// Example:
//   FailureShare share;
//   share.OnFailure(now);
//   if (share.Value(now) > limit) UseAnother();

#ifndef LACEWINGKNOT_POLICY_FAILURE_SHARE_H_
#define LACEWINGKNOT_POLICY_FAILURE_SHARE_H_

#include <chrono>
#include <cmath>

#include "lacewingknot/base/clock.h"

namespace lacewingknot {

class FailureShare {
 public:
  void OnFailure(TimePoint now) {
    share_ += kNewestWeight * (1 - share_);
    updated_at_ = now;
  }
  void OnSuccess() { share_ -= kNewestWeight * share_; }

  // From 0 to 1. Falls while there are no attempts, so that an upstream that is
  // avoided because of it is tried again.
  double Value(TimePoint now) const {
    return share_ *
           std::exp2(-std::chrono::duration<double>(now - updated_at_) /
                     kHalfLife);
  }

 private:
  // Weight of the newest attempt.
  static constexpr double kNewestWeight = 0.15;
  static constexpr std::chrono::duration<double> kHalfLife{3.0};

  double share_ = 0;
  TimePoint updated_at_{};
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_FAILURE_SHARE_H_
