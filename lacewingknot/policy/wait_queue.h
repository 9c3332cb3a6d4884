// The order in which requests start that wait until an upstream takes requests
// again.
//
// Load pattern: all replicas of a service say that they take no requests for a
// time, or fewer than arrive, while clients go on sending. Urgent requests go
// first, and none is starved. A request whose turn would come too late is not
// queued, so that it can be refused at once; under sustained overload the
// queue therefore never holds more than can still be answered in time.
//
// No I/O and no clock. Not thread-safe; a value type.
//
// Example:
//   WaitQueue queue;
//   if (queue.ExpectedStart(priority, opens_at, rate) > latest_start) Refuse();
//   const WaitQueue::Id id = queue.Add(priority);
//   ...  // An upstream takes requests again.
//   if (const auto next = queue.Next()) Start(*next);

#ifndef LACEWINGKNOT_POLICY_WAIT_QUEUE_H_
#define LACEWINGKNOT_POLICY_WAIT_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "lacewingknot/base/clock.h"

namespace lacewingknot {

class WaitQueue {
 public:
  using Id = std::uint64_t;

  // One turn in this many goes to the longest waiting of the less urgent
  // requests, if there are any; the others go to the most urgent ones.
  static constexpr std::uint64_t kTurnsPerLessUrgent = 4;

  // Returns when a request of `priority` that is added now may expect to start,
  // if the upstreams take requests from `opens_at` on, `per_second` of them.
  TimePoint ExpectedStart(std::int64_t priority, TimePoint opens_at,
                          double per_second) const;

  // Adds a request; 0 is the most urgent priority.
  Id Add(std::int64_t priority);
  void Remove(Id id);

  // Returns the request whose turn it is; empty if none waits. The turn ends
  // when OnStarted() is called.
  std::optional<Id> Next() const;
  // Removes a request that has started.
  void OnStarted(Id id);

  bool empty() const { return priorities_.empty(); }
  std::size_t size() const { return priorities_.size(); }

 private:
  // Returns the priority of the most urgent request. One must be waiting.
  std::int64_t MostUrgent() const;
  bool IsTurnOfLessUrgent() const {
    return turns_ % kTurnsPerLessUrgent == kTurnsPerLessUrgent - 1;
  }

  std::map<Id, std::int64_t> priorities_;  // In the order of their arrival.
  Id last_id_ = 0;
  std::uint64_t turns_ = 0;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_WAIT_QUEUE_H_
