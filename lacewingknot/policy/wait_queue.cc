#include "lacewingknot/policy/wait_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lacewingknot {
namespace {

// Turns after which the counts of demand and turns have decayed to 1/e. Several
// hundred teams can take one each before the first one's is negligible.
constexpr double kTurnMemory = 256;
constexpr double kDecayPerTurn = 1 - 1 / kTurnMemory;
// Teams are ranked by the square root of their recent turns, in steps of this
// width from the root of an equal part on. The root of a count that varies by
// chance has a standard deviation of 1/2, so that equal teams rarely differ in
// rank. With half the width, 75 equal teams that sent 96% of what was taken
// lost 5% of it instead of 2.5%, because some of them were refused although no
// other team needed their turns (WaitQueueReplayTest).
constexpr double kRankWidth = 1;
// Largest part of the turns that is expected to go to teams that overtake.
constexpr double kMaxOvertakingShare = 0.9;
// With this many levels, those without waiting requests are forgotten.
// Configurations have a few priorities, but may change them.
constexpr std::size_t kMaxIdleLevels = 16;

}  // namespace

WaitQueue::Level& WaitQueue::LevelOf(std::int64_t priority) {
  if (levels_.size() >= kMaxIdleLevels && !levels_.contains(priority)) {
    std::erase_if(levels_, [](const auto& entry) {
      return entry.second.waiting_count == 0;
    });
  }
  return levels_[priority];
}

std::size_t WaitQueue::remembered_teams() const {
  std::size_t teams = 0;
  for (const auto& [priority, level] : levels_) {
    teams += level.share.team_count();
  }
  return teams;
}

std::int64_t WaitQueue::MostUrgent() const {
  return std::find_if(
             levels_.begin(), levels_.end(),
             [](const auto& entry) { return entry.second.waiting_count > 0; })
      ->first;
}

std::int64_t WaitQueue::RankOf(const FairShare& share, double equal_part,
                               std::string_view team, std::size_t more) {
  const double turns =
      (share.UseOf(team) + static_cast<double>(more)) / share.WeightOf(team);
  const double excess = std::sqrt(turns) - std::sqrt(equal_part);
  return std::max(static_cast<std::int64_t>(std::floor(excess / kRankWidth)),
                  std::int64_t{0});
}

double WaitQueue::CountAhead(const Level& level, std::string_view team) {
  const FairShare& share = level.share;
  const bool is_known = share.DemandOf(team) > 0;
  const std::size_t teams = share.team_count() + (is_known ? 0 : 1);
  if (teams == 1) return static_cast<double>(level.waiting_count);
  const double equal_part = share.total_use() / static_cast<double>(teams);
  const auto own = level.waiting.find(team);
  const std::size_t own_waiting =
      own == level.waiting.end() ? 0 : own->second.size();
  const std::int64_t own_rank = RankOf(share, equal_part, team, own_waiting);
  std::size_t ahead = own_waiting;
  for (const auto& [other, ids] : level.waiting) {
    if (other == team) continue;
    for (std::size_t i = 0;
         i < ids.size() && RankOf(share, equal_part, other, i) <= own_rank;
         ++i) {
      ++ahead;
    }
  }
  if (own_rank == 0) return static_cast<double>(ahead);
  // Teams of lower ranks overtake with requests that are yet to arrive.
  double overtaking = 0;
  share.ForEach([&](std::string_view other, double use) {
    if (other != team && RankOf(share, equal_part, other, 0) < own_rank) {
      overtaking += use;
    }
  });
  if (overtaking == 0) return static_cast<double>(ahead);
  const double overtaking_share =
      std::min(overtaking / share.total_use(), kMaxOvertakingShare);
  return static_cast<double>(ahead) / (1 - overtaking_share);
}

double WaitQueue::ExpectedTurns(std::int64_t priority, double ahead) const {
  const std::int64_t most_urgent = std::min(MostUrgent(), priority);
  double all_ahead = ahead;
  double less_urgent = priority > most_urgent ? ahead : 0;
  for (const auto& [other, level] : levels_) {
    if (other == priority) continue;
    const auto count = static_cast<double>(level.waiting_count);
    if (other < priority) all_ahead += count;
    if (other > most_urgent) less_urgent += count;
  }
  constexpr auto kTurns = static_cast<double>(kTurnsPerLessUrgent);
  const double turns = all_ahead * kTurns / (kTurns - 1);
  if (priority == most_urgent) return turns;
  const auto turns_until_next = static_cast<double>(
      kTurnsPerLessUrgent - 1 - turns_ % kTurnsPerLessUrgent);
  return std::min(turns, turns_until_next + less_urgent * kTurns);
}

TimePoint WaitQueue::ExpectedStart(std::int64_t priority, TimePoint opens_at,
                                   double per_second,
                                   std::string_view team) const {
  if (empty()) return opens_at;
  const auto level = levels_.find(priority);
  const double ahead =
      level == levels_.end() ? 0 : CountAhead(level->second, team);
  return opens_at + TimeOfTurns(priority, ahead, per_second);
}

TimePoint WaitQueue::ExpectedStartInArrivalOrder(std::int64_t priority,
                                                 TimePoint opens_at,
                                                 double per_second) const {
  if (empty()) return opens_at;
  const auto level = levels_.find(priority);
  const double ahead = level == levels_.end()
                           ? 0
                           : static_cast<double>(level->second.waiting_count);
  return opens_at + TimeOfTurns(priority, ahead, per_second);
}

Duration WaitQueue::TimeOfTurns(std::int64_t priority, double ahead,
                                double per_second) const {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      ExpectedTurns(priority, ahead) / per_second));
}

WaitQueue::Id WaitQueue::Add(std::int64_t priority, std::string_view team) {
  const Id id = ++last_id_;
  requests_.emplace(id, Request{priority, std::string(team)});
  Level& level = LevelOf(priority);
  level.waiting[std::string(team)].insert(id);
  ++level.waiting_count;
  level.share.CountDemand(team);
  return id;
}

void WaitQueue::OnRefused(std::int64_t priority, std::string_view team) {
  LevelOf(priority).share.CountDemand(team);
}

void WaitQueue::Remove(Id id) {
  const auto request = requests_.find(id);
  if (request == requests_.end()) return;
  Level& level = levels_.at(request->second.priority);
  const auto team = level.waiting.find(request->second.team);
  team->second.erase(id);
  if (team->second.empty()) level.waiting.erase(team);
  --level.waiting_count;
  requests_.erase(request);
}

WaitQueue::Id WaitQueue::NextOf(const Level& level) {
  const FairShare& share = level.share;
  const double equal_part =
      share.total_use() /
      static_cast<double>(std::max<std::size_t>(share.team_count(), 1));
  std::optional<std::pair<std::int64_t, Id>> next;
  for (const auto& [team, ids] : level.waiting) {
    const std::pair candidate(RankOf(share, equal_part, team, 0), *ids.begin());
    if (!next || candidate < *next) next = candidate;
  }
  return next->second;
}

std::optional<WaitQueue::Id> WaitQueue::Next() const {
  if (empty()) return std::nullopt;
  const std::int64_t most_urgent = MostUrgent();
  if (IsTurnOfLessUrgent()) {
    const auto less_urgent = std::find_if(
        requests_.begin(), requests_.end(),
        [&](const auto& entry) { return entry.second.priority > most_urgent; });
    if (less_urgent != requests_.end()) {
      return NextOf(levels_.at(less_urgent->second.priority));
    }
  }
  return NextOf(levels_.at(most_urgent));
}

void WaitQueue::OnStarted(Id id) {
  const auto request = requests_.find(id);
  if (request != requests_.end()) {
    FairShare& share = levels_.at(request->second.priority).share;
    share.CountUse(request->second.team);
    share.Decay(kDecayPerTurn);
    if (share.team_count() > 1) share.Divide(share.total_use());
  }
  Remove(id);
  ++turns_;
}

}  // namespace lacewingknot
