#include "lacewingknot/edge/request_explanation.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "lacewingknot/edge/relay_messages.h"
#include "lacewingknot/edge/request_decisions.h"
#include "lacewingknot/edge/request_session.h"
#include "lacewingknot/policy/partial_answer.h"

namespace lacewingknot::edge {
namespace {

using Json = nlohmann::json;
using Verdict = RequestExplanation::Verdict;

constexpr std::string_view kDirect = "direct";
constexpr std::string_view kRelay = "relay";
constexpr std::string_view kWaits = "waits";
constexpr std::string_view kNone = "none";

RequestExplanation::Configuration ExplainConfiguration(
    const BoundTable& routes, const Directory& directory, TimePoint now) {
  return {.version = routes.table->version(),
          .revision = routes.table->revision(),
          .in_force_ms = ToMillis(now - routes.in_force_since),
          .upstreams_revision = directory.revision,
          .upstreams_age_ms = ToMillis(now - directory.confirmed_at)};
}

RequestExplanation::Route ExplainRoute(const RouteSpec& spec) {
  return {.name = spec.name,
          .host = spec.host,
          .prefix = spec.prefix,
          .kind = spec.is_scatter() ? "gathered" : "single",
          .may_repeat = spec.retry_policy == RetryPolicy::kIdempotent,
          .is_public = spec.is_public,
          .priority = spec.priority,
          .objective_ms = ToMillis(spec.target_latency),
          .timeout_ms = ToMillis(spec.timeout),
          .targets = spec.targets.size(),
          .min_coverage = spec.min_coverage};
}

Verdict Refused(int status, std::string_view cause,
                std::optional<Duration> retry_after) {
  Verdict verdict{.outcome = "refused", .status = status, .cause = cause};
  if (retry_after) verdict.retry_after_ms = ToMillis(*retry_after);
  return verdict;
}

// One request and what follows from its route and team.
class Explainer {
 public:
  Explainer(const EdgeCore& core, const AccessDecision& access, TimePoint now)
      : core_(core),
        route_(*access.route),
        now_(now),
        priority_(PriorityOf(spec(), access.team.team)),
        sharing_team_(SharingTeamOf(core_, access.team.team)),
        deadline_(AnswerDeadline(core, spec(), std::nullopt, now)),
        query_number_(core.upcoming_query_number()) {}

  void ExplainSingle(RequestExplanation& explanation) const {
    WeightedRoundRobin selector = *route_.target_selector;  // Keeps its turn.
    const Service& service = *route_.services[selector.Next()];
    const TimePoint latest =
        LatestStartOfSingle(service, spec(), now_, deadline_);
    PlacementExplanation placement =
        PlaceHere(service, service.mean_latency(), latest);
    if (placement.cause == kCauseNotPlaceable) {
      placement.cause = kCauseNoReplica;  // As the log of such a request.
    }
    Verdict& verdict = explanation.verdict;
    if (placement.placement == kNone) {
      verdict =
          Refused(kStatusUnavailable, placement.cause,
                  SingleRetryAfter(service, priority_, sharing_team_, now_));
    } else if (placement.placement == kWaits) {
      verdict = {.outcome = "waits",
                 .cause = placement.cause,
                 .starts_in_ms = placement.starts_in_ms};
    }
    explanation.placements.push_back(std::move(placement));
  }

  void ExplainQuery(RequestExplanation& explanation) const {
    const TimePoint soft_deadline =
        SoftDeadlineOfQuery(core_, route_, now_, deadline_, kClientRoundTrip);
    const QueryStart start =
        DecideQueryStart(route_, soft_deadline, deadline_, now_);
    QueryAdmission admission = *route_.admission;  // Counts no refusal.
    explanation.admission = {
        .refused_share = admission.RefusedShare(now_),
        .admits = !core_.is_enabled(Mechanism::kAdmission) ||
                  admission.Admit(now_, sharing_team_)};
    PlaceShards(soft_deadline, explanation);
    Verdict& verdict = explanation.verdict;
    if (start.has_too_few_shards) {
      verdict =
          Refused(kStatusUnavailable, kCauseTooFewShards, kQueryRetryAfter);
    } else if (start.is_withheld_too_long) {
      verdict = Refused(kStatusUnavailable, kCauseWithheld,
                        WithheldRetryAfter(*start.withheld_until, now_));
    } else if (!explanation.admission->admits) {
      verdict = Refused(kStatusUnavailable, kCauseOverload,
                        OverloadRetryAfter(query_number_));
    } else if (start.withheld_until) {
      verdict = {.outcome = "waits",
                 .cause = kCauseWithheld,
                 .starts_in_ms = ToMillis(*start.withheld_until - now_)};
    } else {
      verdict = VerdictOfShards(*explanation.shards, soft_deadline);
    }
  }

 private:
  const RouteSpec& spec() const { return *route_.spec; }

  // Explains an attempt for which this daemon chooses the replica.
  PlacementExplanation PlaceHere(const Service& service, Duration mean_latency,
                                 TimePoint latest_start) const {
    PlacementExplanation placement{.service = service.name()};
    const Service::AttemptPreview preview = service.PreviewAttempt(
        AttemptKind::kFirst, {.mean_latency = mean_latency}, now_);
    AddReplicas(service, preview, mean_latency, placement);
    const bool is_next = !service.WouldWaitBehindOthers(now_);
    if (is_next && preview.chosen) {
      placement.placement = kDirect;
      placement.chosen = preview.chosen->record().id;
      placement.data_centre = preview.chosen->record().data_centre;
    } else if (!service.WithheldUntil(now_)) {
      placement.cause =
          service.HasUsableUpstream() ? kCauseNotPlaceable : kCauseNoReplica;
    } else {
      placement.cause = kCauseWithheld;
      const TimePoint start =
          service.waiting().ExpectedStart(priority_, sharing_team_, now_);
      if (start <= latest_start) {
        placement.placement = kWaits;
        placement.starts_in_ms = ToMillis(start - now_);
      }
    }
    if (placement.placement == kDirect) return placement;
    for (ReplicaExplanation& replica : placement.replicas) {
      replica.is_chosen = false;
    }
    return placement;
  }

  PlacementExplanation PlaceShard(const Service& service,
                                  TimePoint latest_start) const {
    const Duration mean_latency = route_.latency_stats->mean_latency();
    PlacementExplanation placement =
        PlaceHere(service, mean_latency, latest_start);
    if (!service.HasUsableUpstream()) return placement;
    RelayTable::Choice choice =
        ChooseFirstRelay(core_, service, query_number_, now_);
    if (!choice.relay && placement.placement == kDirect) {
      const UpstreamPtr chosen = ChosenOf(service, placement);
      choice = {.relay = FindRelayBeside(core_, service, *chosen, query_number_,
                                         now_),
                .data_centre = placement.data_centre};
    }
    if (!choice.relay) return placement;
    placement.placement = kRelay;
    placement.cause = {};
    placement.relay = choice.relay->address();
    placement.data_centre = choice.data_centre;
    placement.chosen.clear();
    placement.starts_in_ms.reset();
    for (ReplicaExplanation& replica : placement.replicas) {
      replica.is_chosen = false;
    }
    return placement;
  }

  static UpstreamPtr ChosenOf(const Service& service,
                              const PlacementExplanation& placement) {
    const auto upstreams = service.upstreams();
    return *std::find_if(upstreams.begin(), upstreams.end(),
                         [&](const UpstreamPtr& upstream) {
                           return upstream->record().id == placement.chosen;
                         });
  }

  void AddReplicas(const Service& service,
                   const Service::AttemptPreview& preview,
                   Duration mean_latency,
                   PlacementExplanation& placement) const {
    placement.extra_attempts_left = service.ExtraAttemptsLeft(now_);
    placement.all_replicas = service.upstreams().size();
    for (const UpstreamPtr& upstream : service.upstreams()) {
      if (upstream->is_usable()) ++placement.usable_replicas;
      if (placement.replicas.size() == PlacementExplanation::kMaxReplicas) {
        continue;
      }
      const ReplicaLoad load = service.LoadOf(*upstream, mean_latency, now_);
      ReplicaExplanation replica{
          .upstream = ExplainUpstream(*upstream, mean_latency, now_),
          .is_chosen = upstream == preview.chosen,
          .expected_us = ToMicros(ExpectedTime(load, service.choice())),
          .has_room = HasRoom(load, service.choice())};
      const auto found = preview.passed_over.find(upstream.get());
      if (!upstream->is_usable()) {
        replica.passed_over = replica.upstream.reason;
      } else if (found != preview.passed_over.end()) {
        replica.passed_over = found->second;
      } else if (load.is_backing_off && !replica.is_chosen) {
        replica.passed_over = "backing_off";
      }
      placement.replicas.push_back(std::move(replica));
    }
  }

  // The lower, the more trouble.
  static int RankOfTrouble(const PlacementExplanation& placement) {
    if (placement.placement == kNone) return 0;
    if (placement.placement == kWaits) return 1;
    const bool all_good =
        std::all_of(placement.replicas.begin(), placement.replicas.end(),
                    [](const ReplicaExplanation& replica) {
                      return replica.upstream.reason == "good";
                    });
    return all_good ? 3 : 2;
  }

  void PlaceShards(TimePoint soft_deadline,
                   RequestExplanation& explanation) const {
    const TimePoint latest = LatestStartOfShard(route_, soft_deadline);
    RequestExplanation::Shards shards{.total = route_.services.size()};
    std::vector<PlacementExplanation>& placements = explanation.placements;
    placements.reserve(shards.total);
    for (const ServicePtr& service : route_.services) {
      placements.push_back(PlaceShard(*service, latest));
      const std::string_view placement = placements.back().placement;
      ++(placement == kDirect  ? shards.direct
         : placement == kRelay ? shards.relay
         : placement == kWaits ? shards.waits
                               : shards.none);
    }
    std::stable_sort(placements.begin(), placements.end(),
                     [](const auto& a, const auto& b) {
                       return RankOfTrouble(a) < RankOfTrouble(b);
                     });
    if (placements.size() > RequestExplanation::kMaxShards) {
      placements.resize(RequestExplanation::kMaxShards);
    }
    explanation.shards = shards;
  }

  // The verdict on a query that starts.
  Verdict VerdictOfShards(const RequestExplanation::Shards& shards,
                          TimePoint soft_deadline) const {
    const QueryDecision decision =
        DecideQuery({.shards = shards.total,
                     .failed = shards.none,
                     .min_coverage = spec().min_coverage,
                     .soft_deadline = soft_deadline,
                     .deadline = deadline_},
                    now_);
    if (decision != QueryDecision::kFail) return {};
    if (shards.direct + shards.relay == 0) {
      return Refused(kStatusUnavailable, kCauseTooFewShards, kQueryRetryAfter);
    }
    // Other shards' attempts may have been sent by then.
    return {.outcome = "fails",
            .status = kStatusBadGateway,
            .cause = kCauseTooFewShards};
  }

  const EdgeCore& core_;
  const BoundRoute& route_;
  TimePoint now_;
  std::int64_t priority_;
  std::string_view sharing_team_;
  TimePoint deadline_;
  std::uint64_t query_number_;
};

// Explains the quota of `team`; sets the verdict if it refuses the request.
RequestExplanation::Quota ExplainQuota(const EdgeCore& core, const Team* team,
                                       TimePoint now, Verdict& verdict) {
  if (team == nullptr || team->rate_per_second <= 0) return {};
  if (!NeedsQuotaToken(core, team)) return {.state = "not_enforced"};
  using Kind = TeamQuotaClient::Outcome::Kind;
  const TeamQuotas::Preview preview =
      core.team_quotas()->PreviewAcquire(team->name, now);
  RequestExplanation::Quota quota{
      .state = "allowed",
      .held_tokens = preview.held_tokens,
      .is_without_keeper = preview.outcome.is_fallback};
  if (preview.outcome.kind == Kind::kWaits) quota.state = "asks_keeper";
  if (preview.outcome.kind == Kind::kRefused) {
    quota.state = "refused";
    verdict = Refused(kStatusTooManyRequests, kCauseOverQuota,
                      preview.outcome.retry_after);
  }
  return quota;
}

Json ReplicaJson(const ReplicaExplanation& replica) {
  const UpstreamExplanation& upstream = replica.upstream;
  Json json{{"id", upstream.id},
            {"address", upstream.address},
            {"data_centre", upstream.data_centre},
            {"state", upstream.reason},
            {"chosen", replica.is_chosen},
            {"passed_over", replica.passed_over},
            {"has_room", replica.has_room},
            {"expected_us", replica.expected_us},
            {"in_flight", upstream.in_flight},
            {"queued", upstream.queued},
            {"slowness", upstream.slowness},
            {"failure_share", upstream.failure_share},
            {"stated_rate", upstream.stated_rate},
            {"own_rate", upstream.own_rate}};
  if (upstream.limit) json["limit"] = *upstream.limit;
  return json;
}

Json PlacementJson(const PlacementExplanation& placement) {
  Json json{{"service", placement.service},
            {"placement", placement.placement},
            {"cause", placement.cause},
            {"relay", placement.relay},
            {"data_centre", placement.data_centre},
            {"chosen", placement.chosen},
            {"extra_attempts_left", placement.extra_attempts_left},
            {"usable_replicas", placement.usable_replicas},
            {"all_replicas", placement.all_replicas},
            {"replicas", Json::array()}};
  if (placement.starts_in_ms) json["starts_in_ms"] = *placement.starts_in_ms;
  for (const ReplicaExplanation& replica : placement.replicas) {
    json["replicas"].push_back(ReplicaJson(replica));
  }
  return json;
}

Json VerdictJson(const Verdict& verdict) {
  Json json{{"outcome", verdict.outcome}, {"cause", verdict.cause}};
  if (verdict.status != 0) json["status"] = verdict.status;
  if (verdict.retry_after_ms) json["retry_after_ms"] = *verdict.retry_after_ms;
  if (verdict.starts_in_ms) json["starts_in_ms"] = *verdict.starts_in_ms;
  return json;
}

Json RouteJson(const RequestExplanation::Route& route) {
  return {{"name", route.name},
          {"host", route.host},
          {"prefix", route.prefix},
          {"kind", route.kind},
          {"may_repeat", route.may_repeat},
          {"public", route.is_public},
          {"priority", route.priority},
          {"objective_ms", route.objective_ms},
          {"timeout_ms", route.timeout_ms},
          {"targets", route.targets},
          {"min_coverage", route.min_coverage}};
}

Json TeamJson(const Team& team) {
  Json json{{"name", team.name},
            {"rate_per_second", team.rate_per_second},
            {"burst", team.burst}};
  if (team.priority) json["priority"] = *team.priority;
  return json;
}

}  // namespace

RequestExplanation ExplainRequest(const EdgeCore& core,
                                  const RequestToExplain& request,
                                  TimePoint now) {
  RequestExplanation explanation{.vm = core.vm(),
                                 .data_centre = core.data_centre()};
  if (const auto age = core.metrics().StoreConfirmationAge(now)) {
    explanation.store_confirmed_ms = ToMillis(*age);
  }
  const auto routes = core.routes();
  if (routes && core.directory() != nullptr) {
    explanation.configuration =
        ExplainConfiguration(*routes, *core.directory(), now);
  }
  const AccessDecision access =
      DecideAccess(core, routes.get(), request.host, request.target,
                   request.credentials, now);
  if (access.route != nullptr) {
    explanation.route = ExplainRoute(*access.route->spec);
  }
  const Team* team = access.team.team;
  if (team != nullptr) explanation.team = *team;
  if (access.is_refused()) {
    explanation.verdict =
        Refused(access.status, access.cause, access.retry_after);
    return explanation;
  }
  Verdict quota_verdict;
  explanation.quota = ExplainQuota(core, team, now, quota_verdict);
  const Explainer explainer(core, access, now);
  if (access.route->spec->is_scatter()) {
    explainer.ExplainQuery(explanation);
  } else {
    explainer.ExplainSingle(explanation);
  }
  // The quota is asked first; the rest shows what follows once it allows.
  if (quota_verdict.status != 0) explanation.verdict = quota_verdict;
  return explanation;
}

std::string ToJson(const RequestExplanation& explanation) {
  Json json{{"vm", explanation.vm},
            {"data_centre", explanation.data_centre},
            {"placements", Json::array()},
            {"verdict", VerdictJson(explanation.verdict)}};
  if (explanation.store_confirmed_ms) {
    json["store_confirmed_ms"] = *explanation.store_confirmed_ms;
  }
  if (const auto& configuration = explanation.configuration) {
    json["configuration"] = {
        {"version", configuration->version},
        {"revision", configuration->revision},
        {"in_force_ms", configuration->in_force_ms},
        {"upstreams_revision", configuration->upstreams_revision},
        {"upstreams_age_ms", configuration->upstreams_age_ms}};
  }
  if (explanation.route) json["route"] = RouteJson(*explanation.route);
  if (explanation.team) json["team"] = TeamJson(*explanation.team);
  if (const auto& quota = explanation.quota) {
    json["quota"] = {{"state", quota->state},
                     {"held_tokens", quota->held_tokens},
                     {"without_keeper", quota->is_without_keeper}};
  }
  if (const auto& admission = explanation.admission) {
    json["admission"] = {{"admits", admission->admits},
                         {"refused_share", admission->refused_share}};
  }
  if (const auto& shards = explanation.shards) {
    json["shards"] = {{"total", shards->total},
                      {"direct", shards->direct},
                      {"relay", shards->relay},
                      {"waits", shards->waits},
                      {"none", shards->none}};
  }
  for (const PlacementExplanation& placement : explanation.placements) {
    json["placements"].push_back(PlacementJson(placement));
  }
  return json.dump() + "\n";
}

}  // namespace lacewingknot::edge
