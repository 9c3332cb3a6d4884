// Quantiles over a sliding window of latencies.
//
// Keeps two histograms with logarithmic bins. Samples go into the current one,
// which replaces the previous one once it holds kWindow samples. Quantiles thus
// cover the last kWindow to 2 * kWindow samples.
//
// Not thread-safe; a value type.
//
// Example:
//   LatencyWindow window;
//   window.Add(latency);
//   const Duration hedge_delay = window.Quantile(0.95).value_or(default_delay);

#ifndef LACEWINGKNOT_POLICY_LATENCY_WINDOW_H_
#define LACEWINGKNOT_POLICY_LATENCY_WINDOW_H_

#include <boost/histogram.hpp>
#include <optional>

#include "lacewingknot/base/clock.h"

namespace lacewingknot {

class LatencyWindow {
 public:
  // Samples in one histogram.
  static constexpr std::size_t kWindow = 2'000;
  // Minimum number of samples for a quantile.
  static constexpr std::size_t kMinSamples = 50;

  LatencyWindow();

  void Add(Duration latency);

  // Returns the latency that a fraction `q` of the samples in the window do not
  // exceed, or nullopt if there are fewer than kMinSamples.
  std::optional<Duration> Quantile(double q) const;

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Histogram = decltype(boost::histogram::make_histogram(Axis()));

  static Histogram MakeHistogram();

  Histogram current_;
  Histogram previous_;
  std::size_t current_count_ = 0;
  std::size_t previous_count_ = 0;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_LATENCY_WINDOW_H_
