#include "lacewingknot/policy/extra_window.h"

#include <algorithm>

namespace lacewingknot {
namespace {

// Part of the fixed allowance that a process has when it starts.
constexpr double kPartAtStart = 0.25;

// Part of the allowance up to which each need may spend.
constexpr double PartFor(ExtraNeed need) {
  switch (need) {
    case ExtraNeed::kRetry:
      return 1.0;
    case ExtraNeed::kUrgentHedge:
      return 0.7;
    case ExtraNeed::kHedge:
      return 0.55;
  }
  return 0;
}

}  // namespace

std::int64_t ExtraWindow::NumberOf(TimePoint now) const {
  return now.time_since_epoch() /
         (limits_.length / static_cast<std::int64_t>(kSteps));
}

ExtraWindow::Step& ExtraWindow::StepAt(TimePoint now) {
  const std::int64_t number = NumberOf(now);
  Step& step = steps_[static_cast<std::size_t>(number) % steps_.size()];
  if (step.number != number) step = {.number = number};
  return step;
}

double ExtraWindow::Allowed(TimePoint now) const {
  const std::int64_t number = NumberOf(now);
  double first = 0;
  for (const Step& step : steps_) {
    // The oldest step is only partly inside the window.
    if (number - step.number < static_cast<std::int64_t>(kSteps)) {
      first += step.first;
    }
  }
  const double age = std::chrono::duration<double>(now - started_) /
                     std::chrono::duration<double>(limits_.length);
  return limits_.ratio * first +
         limits_.fixed *
             (kPartAtStart + (1 - kPartAtStart) * std::clamp(age, 0.0, 1.0));
}

double ExtraWindow::Spent(TimePoint now) const {
  const std::int64_t number = NumberOf(now);
  double extra = 0;
  for (const Step& step : steps_) {
    if (number - step.number <= static_cast<std::int64_t>(kSteps)) {
      extra += step.extra;
    }
  }
  return extra;
}

void ExtraWindow::OnFirstAttempt(TimePoint now) { ++StepAt(now).first; }

double ExtraWindow::Left(TimePoint now) const {
  return std::max(0.0, Allowed(now) - Spent(now));
}

bool ExtraWindow::TrySpend(ExtraNeed need, TimePoint now) {
  if (Spent(now) + 1 > Allowed(now) * PartFor(need)) return false;
  ++StepAt(now).extra;
  return true;
}

}  // namespace lacewingknot
