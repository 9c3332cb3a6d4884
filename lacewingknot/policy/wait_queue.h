// The order in which requests start that wait until an upstream takes requests
// again.
//
// Load pattern: all replicas of a service say that they take no requests for a
// time, or fewer than arrive, while clients go on sending. Urgent requests go
// first, and none is starved. A request whose turn would come too late is not
// queued, so that it can be refused at once; under sustained overload the
// queue therefore never holds more than can still be answered in time.
//
// Among requests of the same priority, teams take turns: the next request comes
// from the team with the fewest recent turns (policy/fair_share.h), so that a
// team that sends many times its usual requests delays its own first.
// Differences that chance explains do not count: between such teams, and within
// one team, requests start in the order of their arrival. Without teams, all
// requests are of the team with the empty name.
//
// No I/O and no clock. Not thread-safe; a value type.
//
// Example:
//   WaitQueue queue;
//   if (queue.ExpectedStart(priority, opens_at, rate, team) > latest_start) {
//     queue.OnRefused(priority, team);
//     return Refuse();
//   }
//   const WaitQueue::Id id = queue.Add(priority, team);
//   ...  // An upstream takes requests again.
//   if (const auto next = queue.Next()) Start(*next);

#ifndef LACEWINGKNOT_POLICY_WAIT_QUEUE_H_
#define LACEWINGKNOT_POLICY_WAIT_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "lacewingknot/base/clock.h"
#include "lacewingknot/policy/fair_share.h"

namespace lacewingknot {

class WaitQueue {
 public:
  using Id = std::uint64_t;

  // One turn in this many goes to the longest waiting of the less urgent
  // requests, if there are any; the others go to the most urgent ones.
  static constexpr std::uint64_t kTurnsPerLessUrgent = 4;

  // Returns when a request of `priority` and `team` that is added now may
  // expect to start, if the upstreams take requests from `opens_at` on,
  // `per_second` of them.
  TimePoint ExpectedStart(std::int64_t priority, TimePoint opens_at,
                          double per_second, std::string_view team = {}) const;
  // The same if teams did not take turns.
  TimePoint ExpectedStartInArrivalOrder(std::int64_t priority,
                                        TimePoint opens_at,
                                        double per_second) const;

  // Adds a request; 0 is the most urgent priority.
  Id Add(std::int64_t priority, std::string_view team = {});
  // Counts a request that was not added because it would start too late, as
  // demand of its team.
  void OnRefused(std::int64_t priority, std::string_view team);
  void Remove(Id id);

  // Returns the request whose turn it is; empty if none waits. The turn ends
  // when OnStarted() is called.
  std::optional<Id> Next() const;
  // Removes a request that has started.
  void OnStarted(Id id);

  bool empty() const { return requests_.empty(); }
  std::size_t size() const { return requests_.size(); }
  // Returns the number of teams with recent demand or turns, of all priorities.
  std::size_t remembered_teams() const;

 private:
  struct Request {
    std::int64_t priority = 0;
    std::string team;
  };
  // The requests of one priority.
  struct Level {
    std::map<std::string, std::set<Id>, std::less<>> waiting;  // By team.
    std::size_t waiting_count = 0;
    FairShare share;  // Use: turns.
  };

  // Returns the expected time until a request of `priority` starts, in turns.
  // `ahead` is the number of requests of that priority that start before.
  double ExpectedTurns(std::int64_t priority, double ahead) const;
  // The time that these take if `per_second` start.
  Duration TimeOfTurns(std::int64_t priority, double ahead,
                       double per_second) const;
  // Returns how many requests start before one of `team` that is added now.
  static double CountAhead(const Level& level, std::string_view team);
  // Returns the rank of a request of `team` that starts after `more` others of
  // it; requests of a lower rank start first. `equal_part` is the number of
  // recent turns for each team. See kRankWidth.
  static std::int64_t RankOf(const FairShare& share, double equal_part,
                             std::string_view team, std::size_t more);
  static Id NextOf(const Level& level);
  // Returns the level of `priority`, which is added if need be.
  Level& LevelOf(std::int64_t priority);

  // Returns the priority of the most urgent request. One must be waiting.
  std::int64_t MostUrgent() const;
  bool IsTurnOfLessUrgent() const {
    return turns_ % kTurnsPerLessUrgent == kTurnsPerLessUrgent - 1;
  }

  std::map<Id, Request> requests_;        // In the order of their arrival.
  std::map<std::int64_t, Level> levels_;  // By priority.
  Id last_id_ = 0;
  std::uint64_t turns_ = 0;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_WAIT_QUEUE_H_
