#include "lacewingknot/policy/latency_window.h"

namespace lacewingknot {
namespace {

constexpr unsigned kBins = 160;
constexpr double kMinMicros = 50;
constexpr double kMaxMicros = 60'000'000;

double Micros(Duration latency) {
  return std::chrono::duration<double, std::micro>(latency).count();
}

}  // namespace

LatencyWindow::Histogram LatencyWindow::MakeHistogram() {
  return boost::histogram::make_histogram(Axis(kBins, kMinMicros, kMaxMicros));
}

LatencyWindow::LatencyWindow()
    : current_(MakeHistogram()), previous_(MakeHistogram()) {}

void LatencyWindow::Add(Duration latency) {
  if (current_count_ == kWindow) {
    previous_ = current_;
    previous_count_ = current_count_;
    current_ = MakeHistogram();
    current_count_ = 0;
  }
  current_(Micros(latency));
  ++current_count_;
}

std::optional<Duration> LatencyWindow::Quantile(double q) const {
  const std::size_t total = current_count_ + previous_count_;
  if (total < kMinSamples) return std::nullopt;
  const double target_rank = q * static_cast<double>(total);
  const auto& axis = current_.axis();
  double cumulative = 0;
  for (int bin = -1; bin <= static_cast<int>(kBins); ++bin) {
    cumulative += current_.at(bin) + previous_.at(bin);
    if (cumulative < target_rank) continue;
    const double upper = bin < 0 ? kMinMicros : axis.bin(bin).upper();
    const double capped = std::min(upper, kMaxMicros);
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::micro>(capped));
  }
  return std::nullopt;
}

}  // namespace lacewingknot
