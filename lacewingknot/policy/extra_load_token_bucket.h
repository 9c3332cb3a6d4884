// A token bucket that limits retries and hedged requests together.
//
// Each first attempt adds `fraction` of a token; each retry or hedge that puts
// load on an upstream takes one. So the extra load is at most `fraction` of the
// first attempts plus `burst`, also when many upstreams fail at once.
//
// Not thread-safe; a value type.
//
// Example:
//   ExtraLoadTokenBucket budget({.fraction = 0.05, .burst = 20});
//   budget.OnFirstAttempts(shards);
//   if (budget.TrySpend()) Retry(attempt);

#ifndef LACEWINGKNOT_POLICY_EXTRA_LOAD_TOKEN_BUCKET_H_
#define LACEWINGKNOT_POLICY_EXTRA_LOAD_TOKEN_BUCKET_H_

#include <algorithm>

namespace lacewingknot {

class ExtraLoadTokenBucket {
 public:
  struct Limits {
    double fraction = 0;  // Tokens for each first attempt.
    double burst = 0;     // Capacity in tokens; the bucket starts full.
  };

  explicit ExtraLoadTokenBucket(Limits limits)
      : limits_(limits), tokens_(limits.burst) {}

  void set_limits(Limits limits) {
    limits_ = limits;
    tokens_ = std::min(tokens_, limits.burst);
  }

  void OnFirstAttempts(double count) {
    tokens_ = std::min(limits_.burst, tokens_ + count * limits_.fraction);
  }

  // Takes one token; returns false if there is no whole one.
  bool TrySpend() {
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

  double tokens() const { return tokens_; }

 private:
  Limits limits_;
  double tokens_;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_EXTRA_LOAD_TOKEN_BUCKET_H_
