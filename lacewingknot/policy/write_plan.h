// One non-idempotent request, run at most once.
//
// Three outcomes: done, not run, unknown. An attempt that failed before any
// byte left, or that an upstream refused with its own word that it did not
// run, leaves the request not run, and the next replica may be tried. After
// any byte may have left, the outcome is unknown until the upstream says, and
// nothing is sent again.
//
// `WriteLedger` refuses an id that this daemon has taken before, so that a
// caller that repeats a request does not run it twice.
//
// Not thread-safe.
//
// Example:
//   WritePlan plan(spec, choose_route, next_attempt);
//   Execute(plan.Start(now));
//   Execute(plan.OnOutcome(attempt, AttemptOutcome::kNotRun, type, now));

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

// "done", "not_run" or "unknown".
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

  // The attempt ended. `body` is the upstream's answer if done, `reason` the
  // failure otherwise.
  WriteActions OnDone(AttemptId attempt, std::string body);
  WriteActions OnFailure(AttemptId attempt, WriteOutcome outcome,
                         ErrorType reason, TimePoint now);

  // The deadline passed with an attempt outstanding.
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
  std::optional<AttemptId> live_;
  std::optional<ErrorType> last_reason_;
  std::size_t attempts_ = 0;
  bool finished_ = false;
};

// Outcomes of the requests that this daemon took.
class WriteLedger {
 public:
  static constexpr Duration kMemory = std::chrono::minutes(10);
  static constexpr std::size_t kMaxEntries = 100'000;

  // Whether a request with `id` may start now. A request that was not run may
  // start again; a full ledger takes none.
  Result<void> TryBegin(std::string_view id, TimePoint now);
  void OnFinished(std::string_view id, WriteOutcome outcome);

  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    bool running = true;
    TimePoint begun_at{};
  };

  void Expire(TimePoint now);

  std::unordered_map<std::string, Entry> entries_;
  std::deque<std::pair<TimePoint, std::string>> by_age_;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_WRITE_PLAN_H_
