#include "lacewingknot/policy/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace lacewingknot {
namespace {

// Weight of a sample in the speed, and in the slow-down of its depth. The speed
// of a busy upstream follows five times as fast, so that what delays all depths
// goes there.
constexpr double kSpeedWeight = 0.2;
constexpr double kMinSlowdownWeight = 0.04;
// Weight in the slow-down of a depth that had few samples, or none for long,
// and the time without samples that gives half of the way to 1. While the
// upstream is busy, low depths are rare, but without them nothing shows the
// cost of high ones.
constexpr double kMaxSlowdownWeight = 0.2;
constexpr double kWeightHalfTimeSeconds = 2;
// Least weight of a depth above the limit in the fit: it has few samples.
constexpr double kMinFitWeight = 4;
// A probe is a rare sample whose result is needed soon.
constexpr double kProbeWeight = 0.35;
// Weight in the speed of a sample that was delayed by a pause.
constexpr double kPausedWeight = 0.1;
// Bound of a sample's deviation: a factor of two. It makes the estimate follow
// the median rather than the mean.
constexpr double kMaxResidual = 0.7;
// Weight of a request in the share of refusals of its depth.
constexpr double kRefusalWeight = 0.1;
// Half-life of the excess of the speed while there are no samples.
constexpr double kSpeedHalfLifeSeconds = 3;
// Half-life of the number of samples. A daemon with a sample every two seconds
// at a depth never reaches kMinSamples and stays at the prior.
constexpr double kSamplesHalfLifeSeconds = 10;
constexpr double kMinSamples = 8;
// Samples that count as much as the prior in the expected time.
constexpr double kPriorSamples = 8;
// Without a sample for this long, the limit returns to the slots.
constexpr Duration kMaxAge = std::chrono::seconds(30);
// An upstream that answered nothing for this multiple of the expected time had
// paused. Answers of a busy upstream follow each other sooner.
constexpr double kPauseFactor = 4;
// How long the estimate must suggest a lower or a higher limit, and the part
// of it by which daemons exceed it. Slowdowns of 600 ms end before the first.
constexpr Duration kLowerDelay = std::chrono::seconds(1);
constexpr Duration kRaiseDelay = std::chrono::milliseconds(300);
constexpr double kDelaySpread = 1;
// A raise that the next samples refute within this time is undone sooner.
constexpr Duration kUndoTime = std::chrono::seconds(4);
constexpr Duration kUndoDelay = std::chrono::milliseconds(300);
// A depth is within the limit if its ratio of throughput to time is at least
// this share of the best one at a lower depth. The gap keeps the limit from
// alternating between two depths. The shares of daemons differ by the spreads:
// with the same share for all, the mean limit of 500 daemons that saw the same
// times varied by 0.15 of the slots.
constexpr double kStayShare = 0.8;
constexpr double kStayShareSpread = 0.1;
constexpr double kRaiseShare = 0.95;
constexpr double kRaiseShareSpread = 0.05;
// Least time between probes, and the time by which it varies.
constexpr Duration kProbeInterval = std::chrono::milliseconds(1'200);
constexpr Duration kProbeSpread = std::chrono::milliseconds(800);
// The same after a probe that was faster than expected, and how many in
// succession that were not end this. Without the spread, 0.39 of 500 daemons
// that saw the same times probed within 25 ms.
constexpr Duration kFastProbeInterval = std::chrono::milliseconds(150);
constexpr Duration kFastProbeSpread = std::chrono::milliseconds(200);
constexpr int kMaxFailedProbes = 2;
// A busy upstream whose requests take more than this multiple of the usual time
// is slow, or has too many. If it gets no request at half of its limit or less
// for the time between probes, a dip of this many such requests tells which.
constexpr double kMinDipMultiple = 1.25;
constexpr int kDipSamples = 4;
// Salts of the numbers that a daemon keeps; those of its probes count up from
// zero.
constexpr std::uint64_t kIntervalSalt = ~std::uint64_t{0};
constexpr std::uint64_t kShareSalt = ~std::uint64_t{1};
constexpr std::uint64_t kDelaySalt = ~std::uint64_t{2};
// Growth of the expected time with each request in flight, even if none was
// observed: it spreads requests over replicas that are equal otherwise.
constexpr double kSpreadCost = 0.05;

double Remaining(Duration age, double half_life_seconds) {
  return std::exp2(-std::chrono::duration<double>(age).count() /
                   half_life_seconds);
}

// Returns the logarithm of the time of a request against the usual one.
double LogRatio(const ConcurrencyLimit::Sample& sample, TimePoint now) {
  const Duration time =
      std::max<Duration>(now - sample.sent_at, std::chrono::microseconds(1));
  return std::log(static_cast<double>(time.count()) /
                  static_cast<double>(sample.usual.count()));
}

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(Options options)
    : options_(options), levels_(1) {}

void ConcurrencyLimit::set_slots(std::int64_t slots) {
  slots = std::max<std::int64_t>(slots, 1);
  if (slots == slots_) return;
  slots_ = slots;
  Reset();
}

void ConcurrencyLimit::Reset() {
  limit_ = slots_;
  levels_.assign(static_cast<std::size_t>(std::min(slots_, kMaxLevels)), {});
  candidate_side_ = 0;
  failed_probes_ = kMaxFailedProbes;
  raised_at_ = {};
}

std::size_t ConcurrencyLimit::LevelOf(std::int64_t depth) const {
  const auto count = static_cast<std::int64_t>(levels_.size());
  const std::int64_t index = std::clamp<std::int64_t>(depth, 1, slots_) - 1;
  return static_cast<std::size_t>(
      count == slots_ ? index
                      : static_cast<std::int64_t>(static_cast<double>(index) *
                                                  static_cast<double>(count) /
                                                  static_cast<double>(slots_)));
}

std::int64_t ConcurrencyLimit::DepthOf(std::size_t level) const {
  if (level + 1 >= levels_.size()) return slots_;
  const double per_level =
      static_cast<double>(slots_) / static_cast<double>(levels_.size());
  return std::max<std::int64_t>(
      1, static_cast<std::int64_t>(static_cast<double>(level + 1) * per_level));
}

bool ConcurrencyLimit::IsAboveLimit(std::size_t level) const {
  return DepthOf(level) > limit_;
}

double ConcurrencyLimit::SpeedAt(TimePoint now) const {
  return speed_ * Remaining(now - speed_at_, kSpeedHalfLifeSeconds);
}

double ConcurrencyLimit::SamplesAt(const Level& level, TimePoint now) const {
  return level.samples *
         Remaining(now - level.last_at, kSamplesHalfLifeSeconds);
}

void ConcurrencyLimit::Count(Level& level, TimePoint now) {
  level.samples = SamplesAt(level, now) + 1;
  level.last_at = now;
}

void ConcurrencyLimit::AdjustSpeed(double delta, TimePoint now) {
  speed_ = SpeedAt(now) + delta;
  speed_at_ = now;
}

void ConcurrencyLimit::Adjust(std::size_t level, double delta) {
  levels_[level].slowdown += delta;
  if (!IsAboveLimit(level)) return;
  // Higher depths get no samples until the limit rises.
  for (std::size_t i = level + 1; i < levels_.size(); ++i) {
    levels_[i].slowdown += delta;
  }
}

void ConcurrencyLimit::OnSent(std::int64_t depth, TimePoint now) {
  if (depth <= 1) busy_since_ = now;
  if (depth > limit_) {
    sent_above_limit_at_ = now;
    ++probes_;
  }
  if (depth > LowDepth()) return;
  // A dip ends with its last sample; other low samples put it off.
  if (!IsDipDue(now) || ++dip_samples_ >= kDipSamples) {
    sent_low_at_ = now;
    dip_samples_ = 0;
  }
}

void ConcurrencyLimit::OnHeard(const Sample& sample, TimePoint now) {
  if (now - last_heard_ > kMaxAge) Reset();
  const Duration silence = now - std::max(last_heard_, busy_since_);
  last_heard_ = now;
  const double expected =
      static_cast<double>(sample.usual.count()) * std::exp(SpeedAt(now));
  if (static_cast<double>(silence.count()) > kPauseFactor * expected) {
    pause_ended_at_ = now;
  }
}

void ConcurrencyLimit::OnAnswer(const Sample& sample, TimePoint now) {
  if (sample.usual <= Duration::zero()) return;
  OnHeard(sample, now);
  const std::size_t index = LevelOf(sample.depth);
  Level& level = levels_[index];
  const double residual =
      std::clamp(LogRatio(sample, now) - SpeedAt(now) - level.slowdown,
                 -kMaxResidual, kMaxResidual);
  if (sample.sent_at < pause_ended_at_) {
    AdjustSpeed(kPausedWeight * residual, now);
  } else if (IsAboveLimit(index)) {
    Count(level, now);
    Adjust(index, kProbeWeight * residual);
    failed_probes_ = residual < 0 ? 0 : failed_probes_ + 1;
  } else {
    const double weight = std::clamp(
        std::max(1 - Remaining(now - level.last_at, kWeightHalfTimeSeconds),
                 1 / (SamplesAt(level, now) + 1)),
        kMinSlowdownWeight, kMaxSlowdownWeight);
    Count(level, now);
    Adjust(index, weight * residual);
    AdjustSpeed(kSpeedWeight * residual, now);
  }
  level.refused_share -= kRefusalWeight * level.refused_share;
  UpdateLimit(now);
}

void ConcurrencyLimit::OnLost(const Sample& sample, TimePoint now) {
  if (sample.usual <= Duration::zero()) return;
  const double residual = std::clamp(LogRatio(sample, now) - SpeedAt(now),
                                     -kMaxResidual, kMaxResidual);
  AdjustSpeed(kPausedWeight * residual, now);
}

void ConcurrencyLimit::OnRefusal(const Sample& sample, TimePoint now) {
  if (sample.usual <= Duration::zero()) return;
  OnHeard(sample, now);
  const std::size_t index = LevelOf(sample.depth);
  Level& level = levels_[index];
  Count(level, now);
  level.refused_share += kRefusalWeight * (1 - level.refused_share);
  if (IsAboveLimit(index)) failed_probes_ = kMaxFailedProbes;
  UpdateLimit(now);
}

std::int64_t ConcurrencyLimit::LowDepth() const {
  return std::max<std::int64_t>(limit_ / 2, 1);
}

bool ConcurrencyLimit::IsDipDue(TimePoint now) const {
  if (limit_ <= 1 || now - sent_low_at_ <= ProbeInterval()) return false;
  // A lowered limit needs the comparison as long as it lasts.
  return limit_ < slots_ || SpeedAt(now) + levels_[LevelOf(limit_)].slowdown >
                                std::log(kMinDipMultiple);
}

double ConcurrencyLimit::Fraction(std::uint64_t salt) const {
  // SplitMix64, so that consecutive seeds and salts give unrelated numbers.
  std::uint64_t hash = options_.seed + (salt + 1) * 0x9e3779b97f4a7c15U;
  hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9U;
  hash = (hash ^ (hash >> 27)) * 0x94d049bb133111ebU;
  hash ^= hash >> 31;
  return static_cast<double>(hash >> 11) * 0x1.0p-53;
}

Duration ConcurrencyLimit::ProbeInterval() const {
  return kProbeInterval + std::chrono::duration_cast<Duration>(
                              kProbeSpread * Fraction(kIntervalSalt));
}

Duration ConcurrencyLimit::NextProbeInterval() const {
  const bool is_fast = failed_probes_ < kMaxFailedProbes;
  return (is_fast ? kFastProbeInterval : kProbeInterval) +
         std::chrono::duration_cast<Duration>(
             (is_fast ? kFastProbeSpread : kProbeSpread) * Fraction(probes_));
}

std::int64_t ConcurrencyLimit::Limit(TimePoint now) const {
  if (now - last_heard_ > kMaxAge) return slots_;
  if (IsDipDue(now)) return LowDepth();
  const bool is_probe_due =
      limit_ < slots_ && now - sent_above_limit_at_ > NextProbeInterval();
  return is_probe_due ? limit_ + 1 : limit_;
}

bool ConcurrencyLimit::IsKnown(std::size_t level, TimePoint now) const {
  // Only probes get samples above the limit; these are known until they
  // succeed.
  return IsAboveLimit(level) || SamplesAt(levels_[level], now) >= kMinSamples;
}

std::vector<double> ConcurrencyLimit::FitSlowdowns(TimePoint now) const {
  // Isotonic regression: requests do not become faster by more of them.
  struct Block {
    double mean = 0;
    double weight = 0;
    std::size_t end = 0;  // One past its last level.
  };
  std::vector<Block> blocks;
  for (std::size_t i = 0; i < levels_.size(); ++i) {
    if (!IsKnown(i, now)) {
      // Like the depths below it.
      if (!blocks.empty()) blocks.back().end = i + 1;
      continue;
    }
    Block block{.mean = levels_[i].slowdown,
                .weight = std::max(SamplesAt(levels_[i], now), kMinFitWeight),
                .end = i + 1};
    while (!blocks.empty() && blocks.back().mean >= block.mean) {
      const Block& last = blocks.back();
      const double weight = last.weight + block.weight;
      block.mean =
          (last.mean * last.weight + block.mean * block.weight) / weight;
      block.weight = weight;
      blocks.pop_back();
    }
    blocks.push_back(block);
  }
  std::vector<double> slowdowns;
  slowdowns.reserve(levels_.size());
  for (const Block& block : blocks) {
    slowdowns.resize(block.end, block.mean - blocks.front().mean);
  }
  slowdowns.resize(levels_.size(), 0);
  return slowdowns;
}

double ConcurrencyLimit::LeastShare(bool is_above_limit) const {
  const double offset = Fraction(kShareSalt) - 0.5;
  return is_above_limit ? kRaiseShare + kRaiseShareSpread * offset
                        : kStayShare + kStayShareSpread * offset;
}

std::int64_t ConcurrencyLimit::Candidate(TimePoint now) const {
  std::int64_t limit = 1;
  double best = 0;
  double least_refused = 1;
  const std::vector<double> slowdowns = FitSlowdowns(now);
  for (std::size_t i = 0; i < levels_.size(); ++i) {
    const Level& level = levels_[i];
    const bool is_above = IsAboveLimit(i);
    const bool is_known = IsKnown(i, now);
    double refused = 0;
    if (is_known) {
      least_refused = std::min(least_refused, level.refused_share);
      refused = level.refused_share - least_refused;
    }
    const auto depth = static_cast<double>(DepthOf(i));
    const double ratio = depth * (1 - refused) * std::exp(-2 * slowdowns[i]);
    if (ratio < LeastShare(is_above) * best) break;
    best = std::max(best, ratio);
    limit = DepthOf(i);
  }
  return limit;
}

void ConcurrencyLimit::UpdateLimit(TimePoint now) {
  const std::int64_t candidate = Candidate(now);
  const int side = candidate < limit_ ? -1 : candidate > limit_ ? 1 : 0;
  if (side != candidate_side_) {
    candidate_side_ = side;
    candidate_since_ = now;
  }
  if (side == 0) return;
  const Duration lower_delay =
      now - raised_at_ < kUndoTime ? kUndoDelay : kLowerDelay;
  const double factor = 1 + kDelaySpread * Fraction(kDelaySalt);
  if (now - candidate_since_ <
      (side < 0 ? lower_delay : kRaiseDelay) * factor) {
    return;
  }
  (side < 0 ? sent_above_limit_at_ : raised_at_) = now;
  // Raised by steps, each of which may show that the estimate was too good.
  limit_ = std::min(candidate, limit_ + std::max<std::int64_t>(limit_ / 4, 1));
  candidate_side_ = 0;
}

Duration ConcurrencyLimit::ExpectedTime(std::int64_t depth, Duration usual,
                                        Duration prior, TimePoint now) const {
  const Level& level = levels_[LevelOf(depth)];
  const double samples = SamplesAt(level, now);
  const double own_weight = samples / (samples + kPriorSamples);
  const auto slots = static_cast<double>(slots_);
  const double waiting =
      std::max(0.0, static_cast<double>(depth) - slots) / slots;
  const double learned = static_cast<double>(usual.count()) *
                         std::exp(SpeedAt(now) + level.slowdown) *
                         (1 + waiting) *
                         (1 + kSpreadCost * static_cast<double>(depth - 1));
  return Duration(static_cast<Duration::rep>(
      own_weight * learned +
      (1 - own_weight) * static_cast<double>(prior.count())));
}

}  // namespace lacewingknot
