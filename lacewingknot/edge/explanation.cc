#include "lacewingknot/edge/explanation.h"

#include <nlohmann/json.hpp>

namespace lacewingknot::edge {
namespace {

// Thresholds from which an upstream is reported as slow or failing.
constexpr double kSlowThreshold = 2;
constexpr double kFailingThreshold = 0.3;

std::string_view UnusableReasonName(UnusableReason reason) {
  switch (reason) {
    case UnusableReason::kDraining:
      return "draining";
    case UnusableReason::kEvacuated:
      return "evacuated";
    case UnusableReason::kLeaving:
      return "leaving";
    case UnusableReason::kMisdirected:
      return "replaced";
    case UnusableReason::kRetired:
      return "retired";
  }
  return "unknown";
}

std::string_view ReasonFor(const Upstream& upstream, const ReplicaLoad& load,
                           double slowness, TimePoint now) {
  if (const auto reason = upstream.unusable_reason()) {
    return UnusableReasonName(*reason);
  }
  if (load.is_backing_off) return "backing_off";
  if (now < upstream.gate().wait_until()) return "waiting";
  if (upstream.IsCold(now)) return "cold";
  if (upstream.gate().rate_limiter().stated()) return "rate_limited";
  if (IsSuspect(load, {})) return "silent";
  if (slowness >= kSlowThreshold) return "slow";
  if (load.failure_share >= kFailingThreshold) return "failing";
  return "good";
}

}  // namespace

UpstreamExplanation ExplainUpstream(const Upstream& upstream,
                                    Duration mean_latency, TimePoint now) {
  const ReplicaLoad load = upstream.CurrentLoad(mean_latency, now);
  const double slowness = static_cast<double>(load.expected_latency.count()) /
                          static_cast<double>(mean_latency.count());
  const UpstreamRecord& record = upstream.record();
  return {.id = record.id,
          .address = record.address,
          .data_centre = record.data_centre,
          .usable = upstream.is_usable() && !load.is_backing_off,
          .reason = ReasonFor(upstream, load, slowness, now),
          .slowness = slowness,
          .failure_share = load.failure_share,
          .in_flight = load.in_flight,
          .queued = load.queued,
          .stated_rate = upstream.gate().rate_limiter().stated().value_or(0),
          .own_rate = upstream.gate().rate_limiter().OwnRate(),
          .limit = load.limit,
          .next_us = load.time_at_next_depth
                         ? std::optional(ToMicros(*load.time_at_next_depth))
                         : std::nullopt};
}

std::optional<ServiceExplanation> ExplainService(const EdgeCore& core,
                                                 std::string_view service,
                                                 TimePoint now) {
  const ServicePtr found = core.FindService(service);
  if (!found) return std::nullopt;
  const RelayLinkPtr relay =
      core.relay_table()
          .ChooseRelay({.replica_data_centres = found->usable_data_centres(),
                        .group = found->relay_group()},
                       now)
          .relay;
  ServiceExplanation explanation{
      .service = found->name(),
      .asked_through = relay ? relay->address() : std::string(),
      .extra_attempts_left = found->ExtraAttemptsLeft(now),
      .usual_us = ToMicros(found->mean_latency())};
  for (const UpstreamPtr& upstream : found->upstreams()) {
    explanation.upstreams.push_back(
        ExplainUpstream(*upstream, found->mean_latency(), now));
  }
  return explanation;
}

std::string ToJson(const ServiceExplanation& explanation) {
  nlohmann::json upstreams = nlohmann::json::array();
  for (const UpstreamExplanation& upstream : explanation.upstreams) {
    upstreams.push_back({{"id", upstream.id},
                         {"address", upstream.address},
                         {"data_centre", upstream.data_centre},
                         {"usable", upstream.usable},
                         {"reason", upstream.reason},
                         {"slowness", upstream.slowness},
                         {"failure_share", upstream.failure_share},
                         {"in_flight", upstream.in_flight},
                         {"queued", upstream.queued},
                         {"stated_rate", upstream.stated_rate},
                         {"own_rate", upstream.own_rate}});
    if (upstream.limit) upstreams.back()["limit"] = *upstream.limit;
    if (upstream.next_us) upstreams.back()["next_us"] = *upstream.next_us;
  }
  return nlohmann::json{
             {"service", explanation.service},
             {"asked_through", explanation.asked_through},
             {"extra_attempts_left", explanation.extra_attempts_left},
             {"usual_us", explanation.usual_us},
             {"upstreams", upstreams}}
             .dump() +
         "\n";
}

}  // namespace lacewingknot::edge
