// The part of ScatterSession that waits for replicas that take no requests for
// a time.

#include <algorithm>
#include <utility>

#include "lacewingknot/edge/scatter_session.h"

namespace lacewingknot::edge {

void ScatterSession::RefuseWithheld(TimePoint until, TimePoint now) {
  core().metrics().OnWait("too_late");
  Finish({.status = kStatusUnavailable,
          .retry_after = WithheldRetryAfter(until, now)},
         "refused", kCauseWithheld);
}

bool ScatterSession::StartFirstAttempt(std::size_t index, TimePoint now) {
  route().services[index]->CountDemand();
  if (!route().services[index]->HasWaitingAhead(now) &&
      StartDirectAttempt(index, AttemptKind::kFirst, now)) {
    return true;
  }
  return WaitForReplica(index, now);
}

bool ScatterSession::WaitForReplica(std::size_t index, TimePoint now) {
  Service& service = *route().services[index];
  if (!service.WithheldUntil(now)) return false;
  Shard& shard = shards_[index];
  const auto self =
      std::static_pointer_cast<ScatterSession>(shared_from_this());
  shard.cause = kCauseWithheld;
  shard.waiting = service.waiting().Add(
      {.priority = priority(),
       .team = std::string(sharing_team()),
       .latest_start = LatestStartOfShard(route(), soft_deadline_),
       .start = [self,
                 index](TimePoint turn) { return self->OnTurn(index, turn); },
       .on_too_late =
           [self, index] {
             self->shards_[index].waiting.reset();
             self->MarkFailed(self->shards_[index], kCauseWithheld);
             self->Decide(BootClock::now());
           }},
      now);
  core().metrics().OnWait(shard.waiting ? "waits" : "too_late");
  return shard.waiting.has_value();
}

bool ScatterSession::OnTurn(std::size_t index, TimePoint now) {
  Shard& shard = shards_[index];
  if (is_key_withdrawn()) {
    shard.waiting.reset();
    OnKeyWithdrawn();
    return true;
  }
  if (StartDirectAttempt(index, AttemptKind::kFirst, now)) {
    shard.waiting.reset();
    SendRelayRequests(now);
    return true;
  }
  if (route().services[index]->WithheldUntil(now)) return false;
  shard.waiting.reset();
  MarkFailed(shard, kCauseNotPlaceable);
  Decide(now);
  return true;
}

void ScatterSession::OnKeyWithdrawn() {
  if (!MayHaveRun()) {
    RefuseWithdrawnKey();
    return;
  }
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    Shard& shard = shards_[i];
    if (shard.state != ShardState::kPending) continue;
    if (shard.waiting) route().services[i]->waiting().Remove(*shard.waiting);
    shard.waiting.reset();
    std::erase_if(shard.in_flight, [](const AttemptInFlight& attempt) {
      const bool is_queued = attempt.upstream && !attempt.attempt->sent;
      if (is_queued) attempt.upstream->Abandon(attempt.attempt);
      return is_queued;
    });
    if (shard.in_flight.empty()) MarkFailed(shard, kCauseKeyWithdrawn);
  }
  Decide(BootClock::now());
}

}  // namespace lacewingknot::edge
