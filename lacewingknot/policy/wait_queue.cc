#include "lacewingknot/policy/wait_queue.h"

#include <algorithm>

namespace lacewingknot {

std::int64_t WaitQueue::MostUrgent() const {
  return std::min_element(priorities_.begin(), priorities_.end(),
                          [](const auto& one, const auto& other) {
                            return one.second < other.second;
                          })
      ->second;
}

TimePoint WaitQueue::ExpectedStart(std::int64_t priority, TimePoint opens_at,
                                   double per_second) const {
  if (priorities_.empty()) return opens_at;
  const std::int64_t most_urgent = std::min(MostUrgent(), priority);
  double ahead = 0;
  double less_urgent = 0;
  for (const auto& [id, other] : priorities_) {
    if (other <= priority) ++ahead;
    if (other > most_urgent) ++less_urgent;
  }
  constexpr auto kTurns = static_cast<double>(kTurnsPerLessUrgent);
  double turns = ahead * kTurns / (kTurns - 1);
  if (priority > most_urgent) {
    const auto turns_until_next = static_cast<double>(
        kTurnsPerLessUrgent - 1 - turns_ % kTurnsPerLessUrgent);
    turns = std::min(turns, turns_until_next + less_urgent * kTurns);
  }
  return opens_at + std::chrono::duration_cast<Duration>(
                        std::chrono::duration<double>(turns / per_second));
}

WaitQueue::Id WaitQueue::Add(std::int64_t priority) {
  priorities_.emplace(++last_id_, priority);
  return last_id_;
}

void WaitQueue::Remove(Id id) { priorities_.erase(id); }

std::optional<WaitQueue::Id> WaitQueue::Next() const {
  if (priorities_.empty()) return std::nullopt;
  const std::int64_t most_urgent = MostUrgent();
  if (IsTurnOfLessUrgent()) {
    const auto less_urgent = std::find_if(
        priorities_.begin(), priorities_.end(),
        [&](const auto& entry) { return entry.second > most_urgent; });
    if (less_urgent != priorities_.end()) return less_urgent->first;
  }
  return std::find_if(
             priorities_.begin(), priorities_.end(),
             [&](const auto& entry) { return entry.second == most_urgent; })
      ->first;
}

void WaitQueue::OnStarted(Id id) {
  Remove(id);
  ++turns_;
}

}  // namespace lacewingknot
