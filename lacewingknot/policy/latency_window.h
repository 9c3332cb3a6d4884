// Quantiles of recent latencies.
//
// Two histograms with logarithmic bins take turns: samples go into the current
// one, which replaces the previous one when it is full, so that quantiles
// follow the last `kWindow` to twice `kWindow` samples.
//
// Not thread-safe; a value type.

#ifndef LACEWINGKNOT_POLICY_LATENCY_WINDOW_H_
#define LACEWINGKNOT_POLICY_LATENCY_WINDOW_H_

#include <boost/histogram.hpp>
#include <optional>

#include "lacewingknot/base/clock.h"

namespace lacewingknot {

class LatencyWindow {
 public:
  static constexpr std::size_t kWindow = 2'000;
  // Fewer samples than this give no quantile.
  static constexpr std::size_t kMinSamples = 50;

  LatencyWindow();

  void Add(Duration latency);

  // The latency that a fraction `q` of recent samples did not exceed.
  std::optional<Duration> Quantile(double q) const;

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Histogram = decltype(boost::histogram::make_histogram(Axis()));

  static Histogram Empty();

  Histogram current_;
  Histogram previous_;
  std::size_t current_count_ = 0;
  std::size_t previous_count_ = 0;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_LATENCY_WINDOW_H_
