#include "lacewingknot/edge/edge_metrics.h"

#include <prometheus/text_serializer.h>

namespace lacewingknot::edge {
namespace {

// In seconds, from the latency of a fast shard to the longest client deadline.
const prometheus::Histogram::BucketBoundaries& LatencyBuckets() {
  static const prometheus::Histogram::BucketBoundaries buckets{
      0.002, 0.005, 0.01, 0.02, 0.03, 0.045, 0.06, 0.08, 0.1,
      0.15,  0.2,   0.3,  0.45, 0.6,  1,     1.5,  3,    6};
  return buckets;
}

// Of numbers of requests in flight.
const prometheus::Histogram::BucketBoundaries& DepthBuckets() {
  static const prometheus::Histogram::BucketBoundaries buckets{
      1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 64};
  return buckets;
}

// Of multiples of the usual time.
const prometheus::Histogram::BucketBoundaries& MultipleBuckets() {
  static const prometheus::Histogram::BucketBoundaries buckets{
      0.5, 0.75, 1, 1.25, 1.5, 2, 2.5, 3, 4, 6, 10};
  return buckets;
}

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

EdgeMetrics::EdgeMetrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      requests_(prometheus::BuildCounter()
                    .Name("lacewingknot_edge_requests_total")
                    .Help("Client requests by route and outcome.")
                    .Register(*registry_)),
      request_seconds_(prometheus::BuildHistogram()
                           .Name("lacewingknot_edge_request_seconds")
                           .Help("From reading a request to its answer.")
                           .Register(*registry_)),
      rejections_(prometheus::BuildCounter()
                      .Name("lacewingknot_edge_rejected_requests_total")
                      .Help("Requests that could not be read, by cause.")
                      .Register(*registry_)),
      unauthorized_(prometheus::BuildCounter()
                        .Name("lacewingknot_edge_unauthorized_requests_total")
                        .Help("Requests answered 401, by cause.")
                        .Register(*registry_)),
      quota_decisions_(prometheus::BuildCounter()
                           .Name("lacewingknot_edge_quota_decisions_total")
                           .Help("Requests of teams with a quota, by outcome.")
                           .Register(*registry_)),
      quota_takeovers_(
          prometheus::BuildCounter()
              .Name("lacewingknot_edge_quota_takeovers_total")
              .Help("Quotas taken over from a keeper that did not answer.")
              .Register(*registry_)
              .Add({})),
      quota_messages_dropped_(
          prometheus::BuildCounter()
              .Name("lacewingknot_edge_quota_messages_dropped_total")
              .Help("Datagrams about quotas that were not sent, to bound them.")
              .Register(*registry_)
              .Add({})),
      hedges_denied_(prometheus::BuildCounter()
                         .Name("lacewingknot_edge_hedges_denied_total")
                         .Help("Extra attempts that were not sent, by reason.")
                         .Register(*registry_)),
      passed_over_(
          prometheus::BuildCounter()
              .Name("lacewingknot_edge_replicas_passed_over_total")
              .Help("Replicas not considered for an attempt, by reason.")
              .Register(*registry_)),
      malformed_statements_(
          prometheus::BuildCounter()
              .Name("lacewingknot_edge_malformed_statements_total")
              .Help("Upstreams that stated a value that makes no sense.")
              .Register(*registry_)
              .Add({})),
      statement_reports_(
          prometheus::BuildCounter()
              .Name("lacewingknot_edge_statement_reports_total")
              .Help("Statements of upstreams that other daemons reported.")
              .Register(*registry_)),
      waits_(prometheus::BuildCounter()
                 .Name("lacewingknot_edge_waits_total")
                 .Help("Requests and shards that found all replicas withheld, "
                       "by outcome.")
                 .Register(*registry_)),
      fairness_refusals_(
          prometheus::BuildCounter()
              .Name("lacewingknot_edge_fairness_refusals_total")
              .Help("Requests refused because their team exceeds its fair "
                    "share, by place.")
              .Register(*registry_)),
      answers_dropped_(
          prometheus::BuildCounter()
              .Name("lacewingknot_edge_answers_dropped_total")
              .Help("Answers dropped because of their size, by reason.")
              .Register(*registry_)),
      health_changes_(prometheus::BuildCounter()
                          .Name("lacewingknot_edge_upstream_beliefs_total")
                          .Help("Changes of belief about an upstream.")
                          .Register(*registry_)),
      store_calls_(prometheus::BuildCounter()
                       .Name("lacewingknot_edge_store_calls_total")
                       .Help("Calls to the configuration store by outcome.")
                       .Register(*registry_)),
      contents_messages_(
          prometheus::BuildCounter()
              .Name("lacewingknot_edge_contents_messages_total")
              .Help("Messages of the store's contents between daemons, by "
                    "direction and kind.")
              .Register(*registry_)),
      contents_sources_left_(
          prometheus::BuildCounter()
              .Name("lacewingknot_edge_contents_sources_left_total")
              .Help("Peers that no longer pass the store's contents on to this "
                    "daemon, by reason.")
              .Register(*registry_)),
      contents_fallbacks_(
          prometheus::BuildCounter()
              .Name("lacewingknot_edge_contents_fallbacks_total")
              .Help("Times that the store was asked for lack of a fit peer.")
              .Register(*registry_)
              .Add({})),
      contents_from_peer_(
          prometheus::BuildGauge()
              .Name("lacewingknot_edge_contents_from_peer")
              .Help("1 while the store's contents come from a peer.")
              .Register(*registry_)
              .Add({})),
      store_epochs_invalid_(
          prometheus::BuildCounter()
              .Name("lacewingknot_edge_store_epochs_invalid_total")
              .Help("Answers of the store without a valid epoch, by cause.")
              .Register(*registry_)),
      store_epoch_(prometheus::BuildGauge()
                       .Name("lacewingknot_edge_store_epoch")
                       .Help("Epoch of the store's contents in use; 0 if the "
                             "store states none.")
                       .Register(*registry_)
                       .Add({})),
      limits_(prometheus::BuildHistogram()
                  .Name("lacewingknot_edge_concurrency_limit")
                  .Help("Learned limit of the upstream of each attempt.")
                  .Register(*registry_)),
      depths_(prometheus::BuildHistogram()
                  .Name("lacewingknot_edge_attempt_depth")
                  .Help("Requests in flight at the upstream of each attempt.")
                  .Register(*registry_)),
      time_multiples_(
          prometheus::BuildHistogram()
              .Name("lacewingknot_edge_attempt_time_multiple")
              .Help("Time of attempts as a multiple of the usual time, by the "
                    "part of the limit that was in use.")
              .Register(*registry_)),
      connections_opened_(
          prometheus::BuildCounter()
              .Name("lacewingknot_edge_connections_opened_total")
              .Help("Connections opened to upstreams.")
              .Register(*registry_)
              .Add({})),
      config_version_(prometheus::BuildGauge()
                          .Name("lacewingknot_edge_config_version")
                          .Help("Version of the routes in force.")
                          .Register(*registry_)
                          .Add({})),
      upstreams_(prometheus::BuildGauge()
                     .Name("lacewingknot_edge_upstreams")
                     .Help("Upstreams that are known.")
                     .Register(*registry_)
                     .Add({})),
      ready_(prometheus::BuildGauge()
                 .Name("lacewingknot_edge_ready")
                 .Help("1 while the daemon reports itself ready.")
                 .Register(*registry_)
                 .Add({})),
      peers_(prometheus::BuildGauge()
                 .Name("lacewingknot_edge_fleet_size")
                 .Help("Daemons believed to be alive, this one included.")
                 .Register(*registry_)
                 .Add({})),
      store_confirmation_age_(
          prometheus::BuildGauge()
              .Name("lacewingknot_edge_store_confirmation_age_seconds")
              .Help("Time since the store last answered; -1 if it never did.")
              .Register(*registry_)
              .Add({})) {
  auto& attempts = prometheus::BuildCounter()
                       .Name("lacewingknot_edge_attempts_total")
                       .Help("Attempts at upstreams by kind and end.")
                       .Register(*registry_);
  auto& seconds = prometheus::BuildHistogram()
                      .Name("lacewingknot_edge_attempt_seconds")
                      .Help("From placing an attempt to its end.")
                      .Register(*registry_);
  auto& relayed = prometheus::BuildCounter()
                      .Name("lacewingknot_edge_relayed_attempts_total")
                      .Help("Attempts that a relay was asked for, by end.")
                      .Register(*registry_);
  for (std::size_t end = 0; end < kAttemptEndCount; ++end) {
    relayed_attempts_[end] = &relayed.Add(
        {{"end", std::string(AttemptEndName(static_cast<AttemptEnd>(end)))}});
  }
  for (std::size_t kind = 0; kind < kAttemptKindCount; ++kind) {
    const std::string kind_name(
        AttemptKindName(static_cast<AttemptKind>(kind)));
    attempt_seconds_[kind] =
        &seconds.Add({{"kind", kind_name}}, LatencyBuckets());
    for (std::size_t end = 0; end < kAttemptEndCount; ++end) {
      const std::string end_name(AttemptEndName(static_cast<AttemptEnd>(end)));
      attempts_[kind][end] =
          &attempts.Add({{"kind", kind_name}, {"end", end_name}});
    }
  }
}

std::string EdgeMetrics::RouteLabel(std::string_view route) {
  const std::lock_guard lock(mutex_);
  if (routes_.find(route) != routes_.end()) return std::string(route);
  if (routes_.size() >= kMaxRouteLabels) return "other";
  routes_.emplace(route, 0);
  return std::string(route);
}

void EdgeMetrics::OnRequest(std::string_view route, std::string_view outcome,
                            Duration latency) {
  const std::string label = RouteLabel(route);
  requests_.Add({{"route", label}, {"outcome", std::string(outcome)}})
      .Increment();
  request_seconds_.Add({{"route", label}}, LatencyBuckets())
      .Observe(Seconds(latency));
}

void EdgeMetrics::OnRejection(std::string_view cause) {
  rejections_.Add({{"cause", std::string(cause)}}).Increment();
}

void EdgeMetrics::OnUnauthorized(std::string_view cause) {
  unauthorized_.Add({{"cause", std::string(cause)}}).Increment();
}

void EdgeMetrics::OnQuotaDecision(std::string_view outcome) {
  quota_decisions_.Add({{"outcome", std::string(outcome)}}).Increment();
}

void EdgeMetrics::OnQuotaTakeover() { quota_takeovers_.Increment(); }

void EdgeMetrics::OnQuotaMessageDropped() {
  quota_messages_dropped_.Increment();
}

void EdgeMetrics::OnTeamRequest(std::string_view team,
                                std::string_view outcome) {
  team_requests_.OnRequest(team, outcome, BootClock::now());
}

void EdgeMetrics::OnAttempt(AttemptKind kind, AttemptEnd end,
                            Duration latency) {
  const auto kind_index = static_cast<std::size_t>(kind);
  attempts_[kind_index][static_cast<std::size_t>(end)]->Increment();
  attempt_seconds_[kind_index]->Observe(Seconds(latency));
}

void EdgeMetrics::OnRelayed(AttemptEnd end) {
  relayed_attempts_[static_cast<std::size_t>(end)]->Increment();
}

void EdgeMetrics::OnExtraAttemptDenied(std::string_view reason) {
  hedges_denied_.Add({{"reason", std::string(reason)}}).Increment();
}

void EdgeMetrics::OnReplicaPassedOver(std::string_view reason) {
  passed_over_.Add({{"reason", std::string(reason)}}).Increment();
}

void EdgeMetrics::OnStatementReports(std::size_t reports, std::size_t news) {
  statement_reports_.Add({{"kind", "news"}})
      .Increment(static_cast<double>(news));
  statement_reports_.Add({{"kind", "known"}})
      .Increment(static_cast<double>(reports - news));
}

void EdgeMetrics::OnStatementMalformed() { malformed_statements_.Increment(); }

void EdgeMetrics::OnWait(std::string_view outcome) {
  waits_.Add({{"outcome", std::string(outcome)}}).Increment();
}

void EdgeMetrics::OnFairnessRefusal(std::string_view where) {
  fairness_refusals_.Add({{"where", std::string(where)}}).Increment();
}

void EdgeMetrics::OnAnswerDropped(std::string_view cause) {
  answers_dropped_.Add({{"reason", std::string(cause)}}).Increment();
}

void EdgeMetrics::OnUpstreamHealthChange(std::string_view health) {
  health_changes_.Add({{"belief", std::string(health)}}).Increment();
}

void EdgeMetrics::OnConnectionOpened() { connections_opened_.Increment(); }

std::string EdgeMetrics::ServiceLabel(std::string_view service) {
  const std::lock_guard lock(mutex_);
  if (services_.find(service) != services_.end()) return std::string(service);
  if (services_.size() >= kMaxServiceLabels) return "other";
  services_.emplace(service);
  return std::string(service);
}

std::function<void(const AttemptObservation& observation)>
EdgeMetrics::MakeLimitObserver(std::string_view service) {
  const std::string label = ServiceLabel(service);
  auto& limit = limits_.Add({{"service", label}}, DepthBuckets());
  auto& depth = depths_.Add({{"service", label}}, DepthBuckets());
  auto& low = time_multiples_.Add({{"service", label}, {"depth", "up_to_half"}},
                                  MultipleBuckets());
  auto& high = time_multiples_.Add({{"service", label}, {"depth", "over_half"}},
                                   MultipleBuckets());
  return [&limit, &depth, &low, &high](const AttemptObservation& observation) {
    limit.Observe(static_cast<double>(observation.limit));
    depth.Observe(static_cast<double>(observation.depth));
    auto& multiple = observation.depth * 2 <= observation.limit ? low : high;
    multiple.Observe(observation.time_multiple);
  };
}

void EdgeMetrics::OnStoreCall(std::string_view outcome) {
  store_calls_.Add({{"outcome", std::string(outcome)}}).Increment();
  if (outcome == "ok") {
    store_confirmed_at_ = BootClock::now().time_since_epoch().count();
  }
}

void EdgeMetrics::OnContentsMessage(std::string_view direction,
                                    std::string_view kind) {
  contents_messages_
      .Add({{"direction", std::string(direction)}, {"kind", std::string(kind)}})
      .Increment();
}

void EdgeMetrics::OnContentsSourceLeft(std::string_view reason) {
  contents_sources_left_.Add({{"reason", std::string(reason)}}).Increment();
}

void EdgeMetrics::OnContentsFallback() { contents_fallbacks_.Increment(); }

void EdgeMetrics::set_contents_from_peer(bool from_peer) {
  contents_from_peer_.Set(from_peer ? 1 : 0);
}

void EdgeMetrics::set_store_confirmed_at(TimePoint at) {
  store_confirmed_at_ = at.time_since_epoch().count();
}

void EdgeMetrics::OnStoreEpochInvalid(std::string_view cause) {
  store_epochs_invalid_.Add({{"cause", std::string(cause)}}).Increment();
}

void EdgeMetrics::set_store_epoch(std::uint64_t epoch) {
  store_epoch_.Set(static_cast<double>(epoch));
}

std::optional<Duration> EdgeMetrics::StoreConfirmationAge(TimePoint now) const {
  const TimePoint::rep confirmed_at = store_confirmed_at_;
  if (confirmed_at == 0) return std::nullopt;
  return now - TimePoint(TimePoint::duration(confirmed_at));
}

void EdgeMetrics::set_config_version(std::uint64_t version) {
  config_version_.Set(static_cast<double>(version));
}

void EdgeMetrics::set_upstreams(std::size_t known) {
  upstreams_.Set(static_cast<double>(known));
}

void EdgeMetrics::set_ready(bool ready) { ready_.Set(ready ? 1 : 0); }

void EdgeMetrics::set_fleet_size(std::size_t peers) {
  peers_.Set(static_cast<double>(peers));
}

std::string EdgeMetrics::Render() const {
  const TimePoint now = BootClock::now();
  const auto age = StoreConfirmationAge(now);
  store_confirmation_age_.Set(age ? Seconds(*age) : -1);
  auto families = registry_->Collect();
  families.push_back(team_requests_.Collect(now));
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace lacewingknot::edge
