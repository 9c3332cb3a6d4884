// One non-idempotent request (a write), run at most once.
//
// Load pattern: replicas fail or restart while a write is in flight, and
// callers repeat requests whose answer they did not get.
//
// A write has one of three outcomes: done, not run, unknown. An attempt that
// failed before any byte was sent, or for which the upstream states that it did
// not run, leaves the write not run, and the next replica may be tried. Once
// any byte may have been sent, the outcome is unknown until the upstream states
// it, and nothing is sent again.
//
// `WriteDeduplicator` refuses an id that this daemon has accepted before, so
// that a caller that repeats a request does not run it twice.
//
// Not thread-safe.
//
// Example:
//   WritePlan plan(spec, choose_route, next_attempt_id);
//   Execute(plan.Start(now));
//   // When an attempt has failed:
//   Execute(plan.OnFailure(attempt, WriteOutcome::kNotRun, reason, now));

#ifndef LACEWINGKNOT_POLICY_WRITE_PLAN_H_
#define LACEWINGKNOT_POLICY_WRITE_PLAN_H_

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "lacewingknot/policy/query_plan.h"

namespace lacewingknot {

enum class WriteOutcome { kDone, kNotRun, kUnknown };

// Returns "done", "not_run" or "unknown".
std::string_view WriteOutcomeName(WriteOutcome outcome);

struct WriteSpec {
  ShardTarget shard;
  TimePoint deadline;
};

struct WriteResult {
  WriteOutcome outcome = WriteOutcome::kNotRun;
  std::optional<ErrorType> reason;  // Set unless done.
  std::string body;                 // The upstream's answer if done.
  std::size_t attempts = 0;
};

// What the caller of WritePlan is to do.
struct WriteActions {
  std::optional<SendAction> send;
  std::optional<AttemptId> cancel;
  std::optional<WriteResult> finished;
};

class WritePlan {
 public:
  using ChooseRoute = std::function<Result<Route>(const RouteRequest&)>;
  using NextAttempt = std::function<AttemptId()>;

  WritePlan(WriteSpec spec, ChooseRoute choose_route, NextAttempt next_attempt);

  WriteActions Start(TimePoint now);

  // The attempt ended: the write is done, with `body` as the upstream's answer,
  // or the attempt failed with `reason` and left the write in `outcome`.
  // Ignored unless the attempt is in flight.
  WriteActions OnDone(AttemptId attempt, std::string body);
  WriteActions OnFailure(AttemptId attempt, WriteOutcome outcome,
                         ErrorType reason, TimePoint now);

  // The deadline has passed. The outcome is unknown if an attempt is in flight.
  WriteActions OnDeadline();

  bool finished() const { return finished_; }
  const WriteSpec& spec() const { return spec_; }

 private:
  WriteActions Send(TimePoint now);
  WriteActions Finish(WriteResult result);

  WriteSpec spec_;
  ChooseRoute choose_route_;
  NextAttempt next_attempt_;
  std::vector<UpstreamHandle> tried_;
  std::optional<AttemptId> attempt_in_flight_;
  std::optional<ErrorType> last_failure_;
  std::size_t attempts_ = 0;
  bool finished_ = false;
};

// Rejects duplicate writes: holds the ids of the writes that this daemon has
// accepted.
class WriteDeduplicator {
 public:
  // How long an id is kept.
  static constexpr Duration kRetention = std::chrono::minutes(10);
  static constexpr std::size_t kMaxEntries = 100'000;

  // Accepts the write `id`. Fails with kDuplicateWrite if it was accepted
  // before, unless its outcome was "not run", and with kOverloaded if
  // kMaxEntries ids are held: no id is dropped before its time.
  Result<void> TryBegin(std::string_view id, TimePoint now);
  void OnFinished(std::string_view id, WriteOutcome outcome);

  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    bool running = true;
    TimePoint began_at{};
  };

  // Drops the ids accepted more than kRetention before `now`.
  void DropExpired(TimePoint now);

  std::unordered_map<std::string, Entry> entries_;
  std::deque<std::pair<TimePoint, std::string>> began_;  // Oldest first.
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_WRITE_PLAN_H_
