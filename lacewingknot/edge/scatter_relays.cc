// The part of ScatterSession that delegates attempts to relays.

#include <algorithm>
#include <utility>

#include "lacewingknot/edge/scatter_session.h"

namespace lacewingknot::edge {
namespace {

// The objective divided by this is how long a relay may delay a part to batch
// it with others.
constexpr int kBatchDelayDivisor = 20;

}  // namespace

void ScatterSession::SetState(Shard& shard, std::string_view data_centre,
                              QueriedDataCentre::State state) {
  for (QueriedDataCentre& queried : shard.queried_data_centres) {
    if (queried.name == data_centre) queried.state = state;
  }
}

void ScatterSession::AddDirectQuery(Shard& shard,
                                    const std::string& data_centre) {
  const auto same = std::find_if(shard.queried_data_centres.begin(),
                                 shard.queried_data_centres.end(),
                                 [&](const QueriedDataCentre& queried) {
                                   return queried.name == data_centre;
                                 });
  const auto state = same == shard.queried_data_centres.end()
                         ? QueriedDataCentre::State::kQueried
                         : same->state;
  shard.queried_data_centres.push_back({.name = data_centre, .state = state});
}

RelayTable::Choice ScatterSession::ChooseAnotherRelay(std::size_t index,
                                                      TimePoint now) const {
  const Shard& shard = shards_[index];
  if (shard.declined_attempts >= kMaxDeclinedAttempts) return {};
  const Service& service = *route().services[index];
  const RelayTable& relays = core().relay_table();
  if (relays.QueriesDirectly(service.usable_data_centres())) return {};
  // Without a data centre, the last relay has declined, and the shard's
  // upstreams are gone since.
  const bool is_last_usable = shard.last_relay &&
                              !shard.queried_data_centres.empty() &&
                              shard.last_relay->is_usable(now);
  if (relays.mode() == RelayMode::kSpread && is_last_usable) {
    // It can use all replicas, and knows which ones were tried.
    return {.relay = shard.last_relay,
            .data_centre = shard.queried_data_centres.back().name};
  }
  std::vector<std::string> excluded;
  excluded.reserve(shard.queried_data_centres.size());
  for (const QueriedDataCentre& queried : shard.queried_data_centres) {
    excluded.push_back(queried.name);
  }
  RelayTable::Choice choice =
      relays.ChooseRelay({.replica_data_centres = service.usable_data_centres(),
                          .group = service.relay_group(),
                          .query = query_number_,
                          .excluded_data_centres = excluded},
                         now);
  if (choice.relay || !choice.data_centre.empty()) return choice;
  // No other data centre has a replica: use another replica in the last one.
  if (is_last_usable) {
    return {.relay = shard.last_relay,
            .data_centre = shard.queried_data_centres.back().name};
  }
  return {};
}

void ScatterSession::DelegateToRelay(std::size_t index, AttemptKind kind,
                                     RelayTable::Choice choice, TimePoint now) {
  Shard& shard = shards_[index];
  const Service& service = *route().services[index];
  shard.last_relay = std::move(choice.relay);
  shard.queried_data_centres.push_back({.name = choice.data_centre});
  SetState(shard, choice.data_centre, QueriedDataCentre::State::kQueried);
  auto request = std::find_if(relay_requests_.begin(), relay_requests_.end(),
                              [&](const RelayRequest& other) {
                                return other.relay == shard.last_relay;
                              });
  if (request == relay_requests_.end()) {
    relay_requests_.push_back({.relay = shard.last_relay});
    request = relay_requests_.end() - 1;
  }
  const AttemptPtr attempt = MakeShardAttempt(index, kind);
  attempt->submitted_at = now;
  const std::uint64_t number = shard.last_relay->AddAttempt(attempt);
  if (!shard.batch_relay) shard.batch_relay = shard.last_relay;
  const bool in_batch = shard.batch_relay == shard.last_relay;
  request->message.attempts.push_back(
      {.number = number,
       .service = service.name(),
       .kind = kind,
       .is_mandatory = shard.queried_data_centres.size() >=
                       service.usable_data_centres().size(),
       .returns_own_records = !in_batch});
  shard.in_flight.push_back({.attempt = attempt,
                             .relay = shard.last_relay,
                             .number_at_relay = number,
                             .in_batch = in_batch,
                             .data_centre = std::move(choice.data_centre)});
  shard.was_relayed = true;
}

void ScatterSession::SendRelayRequests(TimePoint now) {
  auto requests = std::exchange(relay_requests_, {});
  for (RelayRequest& request : requests) {
    RelayAttemptRequest& message = request.message;
    message.query = query_number_;
    message.time_left_ms = ToMillis(attempt_deadline_ - now);
    message.priority = priority();
    message.is_urgent = is_urgent();
    message.mean_latency_us = ToMicros(route().latency_stats->mean_latency());
    message.top_records = static_cast<std::int64_t>(spec().top_records);
    message.max_batch_delay_us =
        core().is_enabled(Mechanism::kBatchingDelay)
            ? ToMicros(spec().target_latency) / kBatchDelayDivisor
            : 0;
    // A relay needs the client's request only once.
    if (std::find(queried_relays_.begin(), queried_relays_.end(),
                  request.relay) == queried_relays_.end()) {
      message.head = outbound().head;
      message.body = outbound().body;
      message.request_id = outbound().request_id;
      queried_relays_.push_back(request.relay);
      request.relay->SetBatchCallback(
          query_number_,
          [weak = weak_from_this()](std::string records,
                                    AnswerBudget::Reservation held,
                                    const std::function<void()>& end) {
            const auto self =
                std::static_pointer_cast<ScatterSession>(weak.lock());
            if (self) self->OnBatch(std::move(records), std::move(held), end);
          });
    }
    request.relay->SendRequest(std::move(message), now);
  }
}

void ScatterSession::UpdateBatchRelay(Shard& shard,
                                      const AttemptInFlight& ended) {
  if (!ended.relay || shard.batch_relay != ended.relay) return;
  const bool has_others = std::any_of(
      shard.in_flight.begin(), shard.in_flight.end(),
      [&](const AttemptInFlight& other) { return other.relay == ended.relay; });
  if (!has_others) shard.batch_relay = nullptr;
}

bool ScatterSession::RestartDeclinedAttempt(std::size_t index, AttemptKind kind,
                                            const AttemptInFlight& declined,
                                            std::string_view cause,
                                            TimePoint now) {
  Shard& shard = shards_[index];
  if (cause == kCauseNoBudget) ++denied_extra_attempts_;
  ++shard.declined_attempts;
  if (cause == kCauseBetterElsewhere) {
    SetState(shard, declined.data_centre, QueriedDataCentre::State::kDeclined);
  }
  shard.was_relayed =
      shard.runs + shard.refusals > 0 || !shard.in_flight.empty();
  // A hedge without budget is not restarted: another attempt is in flight, and
  // StartHedges() runs again.
  if (!shard.in_flight.empty() && cause == kCauseNoBudget) return false;
  if (is_key_withdrawn()) return false;
  RelayTable::Choice choice = ChooseAnotherRelay(index, now);
  if (choice.relay && choice.relay != declined.relay) {
    DelegateToRelay(index, kind, std::move(choice), now);
    return true;
  }
  return StartDirectAttempt(index, kind, now);
}

void ScatterSession::ReplaceByBatchedPart(Shard& shard,
                                          const AttemptResult& result) {
  shard.is_separate = false;
  shard.signature = result.reply.signature;
  shard.records = {};
  shard.held = {};
}

void ScatterSession::OnBatch(std::string records,
                             AnswerBudget::Reservation held,
                             const std::function<void()>& end_attempts) {
  if (finished()) return;
  if (!records.empty()) {
    batches_.push_back(std::move(records));
    held_batches_.push_back(std::move(held));
  }
  is_decision_deferred_ = true;
  end_attempts();
  is_decision_deferred_ = false;
  const TimePoint now = BootClock::now();
  SendRelayRequests(now);
  Decide(now);
}

void ScatterSession::AbandonAtRelays() {
  for (const RelayLinkPtr& relay : queried_relays_) {
    const bool is_working =
        std::any_of(shards_.begin(), shards_.end(), [&](const Shard& shard) {
          // A relay by itself abandons a shard's other attempts once it has a
          // part.
          if (shard.state == ShardState::kAnswered && !shard.is_separate) {
            return false;
          }
          return std::any_of(shard.in_flight.begin(), shard.in_flight.end(),
                             [&](const AttemptInFlight& attempt) {
                               return attempt.relay == relay;
                             });
        });
    relay->AbandonQuery(query_number_, is_working);
  }
}

}  // namespace lacewingknot::edge
