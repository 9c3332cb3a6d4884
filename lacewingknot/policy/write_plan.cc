#include "lacewingknot/policy/write_plan.h"

namespace lacewingknot {

std::string_view WriteOutcomeName(WriteOutcome outcome) {
  switch (outcome) {
    case WriteOutcome::kDone:
      return "done";
    case WriteOutcome::kNotRun:
      return "not_run";
    case WriteOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

WritePlan::WritePlan(WriteSpec spec, ChooseRoute choose_route,
                     NextAttempt next_attempt)
    : spec_(std::move(spec)),
      choose_route_(std::move(choose_route)),
      next_attempt_(std::move(next_attempt)) {}

WriteActions WritePlan::Start(TimePoint now) { return Send(now); }

WriteActions WritePlan::Send(TimePoint now) {
  if (now >= spec_.deadline) {
    return Finish({.outcome = WriteOutcome::kNotRun,
                   .reason = ErrorType::kDeadlineExceeded});
  }
  Result<Route> route = choose_route_({.replicas = spec_.shard.replicas,
                                       .version = kAnyVersion,
                                       .tried = tried_,
                                       .direct_only = true});
  if (!route) {
    return Finish({.outcome = WriteOutcome::kNotRun,
                   .reason = last_failure_.value_or(route.error().type)});
  }
  tried_.push_back(route.value().upstream);
  attempt_in_flight_ = next_attempt_();
  ++attempts_;
  WriteActions actions;
  actions.send = SendAction{.attempt = *attempt_in_flight_,
                            .shard = 0,
                            .route = route.value(),
                            .version = kAnyVersion,
                            .timeout = spec_.deadline - now};
  return actions;
}

WriteActions WritePlan::OnDone(AttemptId attempt, std::string body) {
  if (finished_ || attempt != attempt_in_flight_) return {};
  return Finish({.outcome = WriteOutcome::kDone, .body = std::move(body)});
}

WriteActions WritePlan::OnFailure(AttemptId attempt, WriteOutcome outcome,
                                  ErrorType reason, TimePoint now) {
  if (finished_ || attempt != attempt_in_flight_) return {};
  attempt_in_flight_.reset();
  last_failure_ = reason;
  if (outcome == WriteOutcome::kNotRun) return Send(now);
  return Finish({.outcome = WriteOutcome::kUnknown, .reason = reason});
}

WriteActions WritePlan::OnDeadline() {
  if (finished_) return {};
  const std::optional<AttemptId> in_flight = attempt_in_flight_;
  WriteActions actions = Finish(
      {.outcome = in_flight ? WriteOutcome::kUnknown : WriteOutcome::kNotRun,
       .reason = ErrorType::kDeadlineExceeded});
  actions.cancel = in_flight;
  return actions;
}

WriteActions WritePlan::Finish(WriteResult result) {
  finished_ = true;
  attempt_in_flight_.reset();
  result.attempts = attempts_;
  WriteActions actions;
  actions.finished = std::move(result);
  return actions;
}

void WriteDeduplicator::DropExpired(TimePoint now) {
  while (!began_.empty() && now - began_.front().first > kRetention) {
    const auto entry = entries_.find(began_.front().second);
    // A write that was not run and began again has a newer element in the
    // queue.
    if (entry != entries_.end() &&
        entry->second.began_at == began_.front().first) {
      entries_.erase(entry);
    }
    began_.pop_front();
  }
}

Result<void> WriteDeduplicator::TryBegin(std::string_view id, TimePoint now) {
  DropExpired(now);
  const std::string key(id);
  if (entries_.contains(key)) {
    return Error{ErrorType::kDuplicateWrite, key};
  }
  if (entries_.size() >= kMaxEntries) {
    return Error{ErrorType::kOverloaded,
                 "too many write ids held to detect duplicates"};
  }
  entries_.emplace(key, Entry{.running = true, .began_at = now});
  began_.emplace_back(now, key);
  return Ok();
}

void WriteDeduplicator::OnFinished(std::string_view id, WriteOutcome outcome) {
  const auto entry = entries_.find(std::string(id));
  if (entry == entries_.end()) return;
  if (outcome == WriteOutcome::kNotRun) {
    entries_.erase(entry);
  } else {
    entry->second.running = false;
  }
}

}  // namespace lacewingknot
