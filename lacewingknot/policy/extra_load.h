// One budget for retries and hedged requests together.
//
// Each first attempt earns `fraction` of a token; each retry or hedge that
// places work on an upstream spends one. So extra load is at most `fraction`
// of the first attempts plus `burst`, also when many upstreams fail at once.
//
// Not thread-safe; a value type.

#ifndef LACEWINGKNOT_POLICY_EXTRA_LOAD_H_
#define LACEWINGKNOT_POLICY_EXTRA_LOAD_H_

#include <algorithm>

namespace lacewingknot {

class ExtraLoadBudget {
 public:
  struct Limits {
    double fraction = 0;
    double burst = 0;
  };

  explicit ExtraLoadBudget(Limits limits)
      : limits_(limits), tokens_(limits.burst) {}

  void set_limits(Limits limits) {
    limits_ = limits;
    tokens_ = std::min(tokens_, limits.burst);
  }

  void OnFirstAttempts(double count) {
    tokens_ = std::min(limits_.burst, tokens_ + count * limits_.fraction);
  }

  // Takes a token; false if there is none.
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

#endif  // LACEWINGKNOT_POLICY_EXTRA_LOAD_H_
