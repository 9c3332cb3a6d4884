// The requests that wait until an upstream of one service takes requests again.
//
// A request is queued while what the upstreams say of themselves keeps all of
// them from it (policy/upstream_gate.h), in the order of policy/wait_queue.h,
// in which teams take turns.
// It ends waiting in one of three ways: its `start` is called and succeeds, its
// `on_too_late` is called, or Remove() is called.
//
// Not thread-safe: runs on the traffic thread.
//
// Example:
//   const auto id = service.waiting().Add(
//       {.priority = 1, .latest_start = deadline, .start = ...,
//        .on_too_late = ...}, now);
//   if (!id) Refuse(service.waiting().RetryAfter(1, team, now));

#ifndef LACEWINGKNOT_EDGE_WAITING_REQUESTS_H_
#define LACEWINGKNOT_EDGE_WAITING_REQUESTS_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "lacewingknot/edge/timer_queue.h"
#include "lacewingknot/policy/wait_queue.h"

namespace lacewingknot::edge {

class WaitingRequests {
 public:
  using Id = WaitQueue::Id;

  struct Options {
    TimerQueue* timers = nullptr;
    // Returns when an upstream takes an attempt again; empty if one takes it
    // now or none is usable.
    std::function<std::optional<TimePoint>(TimePoint now)> withheld_until;
    // Returns the attempts per second that the upstreams take from then on.
    std::function<double(TimePoint time)> pass_rate;
    // Called when a request of `team` is not queued because of its team's
    // turns, although it could start in time in the order of arrival. May be
    // empty.
    std::function<void(std::string_view team)> on_fairness_refusal;
  };
  struct Request {
    std::int64_t priority = 0;  // 0 is the most urgent.
    std::string team;           // Empty: teams do not take turns.
    // After this time the answer would come too late.
    TimePoint latest_start{};
    // Starts the request; returns whether it could be started or has ended.
    std::function<bool(TimePoint now)> start;
    std::function<void()> on_too_late;
  };

  explicit WaitingRequests(Options options) : options_(std::move(options)) {}

  // Queues `request`; returns empty if its turn would come too late.
  std::optional<Id> Add(Request request, TimePoint now);
  // Has no effect on a request that has ended waiting.
  void Remove(Id id);
  // Starts the requests whose turn has come.
  void StartThoseReady(TimePoint now);

  // Returns when a request of `priority` and `team` that arrives now may expect
  // to start.
  TimePoint ExpectedStart(std::int64_t priority, std::string_view team,
                          TimePoint now) const;
  // Returns the time until then, for a client that is refused.
  Duration RetryAfter(std::int64_t priority, std::string_view team,
                      TimePoint now) const;

  bool empty() const { return queue_.empty(); }

 private:
  // Reports a refusal that is due to the turns of other teams.
  void ReportRefusal(const Request& request, TimePoint now) const;
  double PassRate(TimePoint opens_at) const;
  void EndThoseTooLate(TimePoint now);
  void Schedule(TimePoint now);

  Options options_;
  WaitQueue queue_;
  std::map<Id, Request> requests_;
  TimerQueue::Id timer_;
  bool is_starting_ = false;
};

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_WAITING_REQUESTS_H_
