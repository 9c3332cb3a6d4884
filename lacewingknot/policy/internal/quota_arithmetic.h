// Arithmetic of quotas that keepers and clients share.

#ifndef LACEWINGKNOT_POLICY_INTERNAL_QUOTA_ARITHMETIC_H_
#define LACEWINGKNOT_POLICY_INTERNAL_QUOTA_ARITHMETIC_H_

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>

#include "lacewingknot/base/clock.h"

namespace lacewingknot::internal {

inline constexpr std::uint32_t kMaxTokens = 100'000;

inline double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

inline Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

inline std::uint32_t WholeTokens(double tokens) {
  // The tolerance covers rounding errors of the refill.
  constexpr double kTolerance = 1e-6;
  return static_cast<std::uint32_t>(
      std::clamp(std::floor(tokens + kTolerance), 0.0, double{kMaxTokens}));
}

}  // namespace lacewingknot::internal

#endif  // LACEWINGKNOT_POLICY_INTERNAL_QUOTA_ARITHMETIC_H_
