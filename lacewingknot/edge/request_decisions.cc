#include "lacewingknot/edge/request_decisions.h"

#include <algorithm>

#include "lacewingknot/edge/http_messages.h"
#include "lacewingknot/edge/request_session.h"
#include "lacewingknot/policy/partial_answer.h"

namespace lacewingknot::edge {
namespace {

// Retry-After of requests that arrive before the first configuration.
constexpr Duration kNotReadyRetryAfter = std::chrono::milliseconds(400);
// Retry-After of requests that arrive too late before this daemon stops. Others
// can serve them at once.
constexpr Duration kStoppingRetryAfter = std::chrono::milliseconds(50);
// The answer is sent this long before the client's deadline, to allow for the
// network and this daemon's own delay.
constexpr Duration kAnswerDeadlineMargin = std::chrono::milliseconds(15);
// This daemon's own delay between the decision to answer and sending the
// answer.
constexpr Duration kResponseMargin = std::chrono::milliseconds(3);
// Added per shard: merging and sending its part on the smallest VM (0.12 of a
// core).
constexpr Duration kResponseMarginPerShard = std::chrono::microseconds(80);
// A request waits for the processor twice: before it is read, and before the
// decision to answer.
constexpr int kSchedulingDelaysPerRequest = 2;
// The objective divided by this is the most that is subtracted for these waits.
constexpr int kMaxSchedulingDelayDivisor = 4;
// Retry-After of queries refused by admission: overload lasts for seconds.
constexpr Duration kMinOverloadRetryAfter = std::chrono::milliseconds(300);
constexpr Duration kMaxOverloadRetryAfter = std::chrono::milliseconds(1'500);

// Returns why `credentials` give no team, if they do not.
std::string_view UnauthorizedCause(
    const std::vector<std::string>& credentials) {
  if (credentials.empty()) return "key_missing";
  return BearerKey(credentials).empty() ? "key_malformed" : "key_unknown";
}

}  // namespace

AccessDecision DecideAccess(const EdgeCore& core, const BoundTable* routes,
                            std::string_view host, std::string_view target,
                            const std::vector<std::string>& credentials,
                            TimePoint now) {
  AccessDecision decision;
  if (routes == nullptr || core.directory() == nullptr) {
    decision.status = kStatusUnavailable;
    decision.cause = kCauseNoConfiguration;
    decision.retry_after = kNotReadyRetryAfter;
    return decision;
  }
  decision.route = routes->Find(host, target);
  if (decision.route == nullptr) {
    decision.status = kStatusNotFound;
    decision.cause = kCauseNoRoute;
    return decision;
  }
  const RouteSpec& spec = *decision.route->spec;
  const TeamTable& teams = routes->table->teams();
  if (!teams.empty() && !spec.is_public) {
    const std::string_view key = BearerKey(credentials);
    if (!key.empty()) decision.team = teams.Find(key);
    if (!decision.team) {
      decision.status = kStatusUnauthorized;
      decision.cause = UnauthorizedCause(credentials);
      return decision;
    }
  }
  if (core.final_deadline() - now < spec.target_latency) {
    decision.status = kStatusUnavailable;
    decision.cause = kCauseStopping;
    decision.retry_after = kStoppingRetryAfter;
  }
  return decision;
}

bool NeedsQuotaToken(const EdgeCore& core, const Team* team) {
  return core.team_quotas() != nullptr && team != nullptr &&
         team->rate_per_second > 0;
}

std::string_view SharingTeamOf(const EdgeCore& core, const Team* team) {
  if (team == nullptr || !core.is_enabled(Mechanism::kTeamFairness)) return {};
  return team->name;
}

std::int64_t PriorityOf(const RouteSpec& spec, const Team* team) {
  return team == nullptr ? spec.priority
                         : team->priority.value_or(spec.priority);
}

TimePoint AnswerDeadline(const EdgeCore& core, const RouteSpec& spec,
                         std::optional<Duration> time_left,
                         TimePoint started_at) {
  const Duration time =
      std::min(spec.timeout, time_left.value_or(spec.timeout));
  return std::min(started_at + std::max(time - kAnswerDeadlineMargin, time / 2),
                  core.final_deadline());
}

TimePoint LatestStartOfSingle(const Service& service, const RouteSpec& spec,
                              TimePoint started_at, TimePoint deadline) {
  // A request waits beyond its latency objective only if no other waits, so
  // that sustained overload does not make every answer late.
  const TimePoint end =
      service.waiting().empty()
          ? deadline
          : std::min(deadline, started_at + spec.target_latency);
  return end - service.mean_latency();
}

Duration SingleRetryAfter(const Service& service, std::int64_t priority,
                          std::string_view team, TimePoint now) {
  return service.WithheldUntil(now)
             ? service.waiting().RetryAfter(priority, team, now)
             : kSingleRetryAfter;
}

TimePoint SoftDeadlineOfQuery(const EdgeCore& core, const BoundRoute& route,
                              TimePoint started_at, TimePoint deadline,
                              Duration client_round_trip) {
  if (!core.is_enabled(Mechanism::kPartialAnswers)) return deadline;
  const Duration objective = route.spec->target_latency;
  // The request waited for the processor as long as a timer does, and the
  // answer will again.
  const Duration scheduling_delay =
      core.is_enabled(Mechanism::kSchedulingMargin)
          ? std::min(core.timers().lag() * kSchedulingDelaysPerRequest,
                     objective / kMaxSchedulingDelayDivisor)
          : Duration::zero();
  const Duration response_margin =
      kResponseMargin + kResponseMarginPerShard * route.services.size();
  return std::min(deadline, started_at + objective - client_round_trip -
                                response_margin - scheduling_delay);
}

TimePoint LatestStartOfShard(const BoundRoute& route, TimePoint soft_deadline) {
  return soft_deadline - route.latency_stats->mean_latency();
}

QueryStart DecideQueryStart(const BoundRoute& route, TimePoint soft_deadline,
                            TimePoint deadline, TimePoint now) {
  QueryStart start;
  const std::size_t shards = route.services.size();
  const double min_coverage = route.spec->min_coverage;
  start.lacks_replica.reserve(shards);
  std::vector<TimePoint> openings;
  openings.reserve(shards);
  for (const ServicePtr& service : route.services) {
    const bool lacks_replica = !service->HasUsableUpstream();
    start.lacks_replica.push_back(lacks_replica);
    if (lacks_replica) {
      ++start.lacking;
    } else if (const auto until = service->WithheldUntil(now)) {
      openings.push_back(*until);
    }
  }
  start.has_too_few_shards = DecideQuery({.shards = shards,
                                          .failed = start.lacking,
                                          .min_coverage = min_coverage,
                                          .soft_deadline = soft_deadline,
                                          .deadline = deadline},
                                         now) == QueryDecision::kFail;
  if (start.has_too_few_shards || openings.empty()) return start;
  std::size_t reachable = shards - start.lacking - openings.size();
  const auto is_sufficient = [&] {
    return HasSufficientCoverage(reachable, shards, min_coverage);
  };
  if (is_sufficient()) return start;
  std::sort(openings.begin(), openings.end());
  start.withheld_until = openings.back();
  for (const TimePoint opening : openings) {
    ++reachable;
    if (!is_sufficient()) continue;
    start.withheld_until = opening;
    break;
  }
  start.is_withheld_too_long =
      *start.withheld_until > LatestStartOfShard(route, soft_deadline);
  return start;
}

Duration WithheldRetryAfter(TimePoint until, TimePoint now) {
  return std::max<Duration>(until - now, kQueryRetryAfter);
}

Duration OverloadRetryAfter(std::uint64_t query_number) {
  // Spread over the interval, so that the callers do not return together.
  constexpr std::uint64_t kSteps = 8;
  return kMinOverloadRetryAfter +
         (kMaxOverloadRetryAfter - kMinOverloadRetryAfter) *
             static_cast<std::int64_t>(query_number % kSteps) /
             static_cast<std::int64_t>(kSteps);
}

RelayTable::Choice ChooseFirstRelay(const EdgeCore& core,
                                    const Service& service,
                                    std::uint64_t query_number, TimePoint now) {
  return core.relay_table().ChooseRelay(
      {.replica_data_centres = service.usable_data_centres(),
       .group = service.relay_group(),
       .query = query_number},
      now);
}

RelayLinkPtr FindRelayBeside(const EdgeCore& core, const Service& service,
                             const Upstream& upstream,
                             std::uint64_t query_number, TimePoint now) {
  const RelayTable& relays = core.relay_table();
  if (upstream.is_local() ||
      relays.QueriesDirectly(service.usable_data_centres())) {
    return nullptr;
  }
  return relays.FindRelay(
      upstream.record().data_centre,
      {.group = service.relay_group(), .query = query_number}, now);
}

}  // namespace lacewingknot::edge
