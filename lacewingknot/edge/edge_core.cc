#include "lacewingknot/edge/edge_core.h"

#include <algorithm>
#include <iomanip>
#include <sstream>
#include <utility>

#include "lacewingknot/base/event_log.h"
#include "lacewingknot/net/http_connection.h"

namespace lacewingknot::edge {
namespace {

// Quantile of recent shard latencies at which attempts are hedged.
constexpr double kHedgeQuantile = 0.95;
// The quantile is recomputed after this many samples.
constexpr std::size_t kSamplesPerUpdate = 100;
// Bounds of the hedge delay, as shares of the route's latency objective.
constexpr double kMinHedgeDelayShare = 0.15;
constexpr double kMaxHedgeDelayShare = 0.50;
// Mean latency assumed before any attempt was answered, as a share of the
// objective.
constexpr double kInitialMeanLatencyShare = 0.12;
// Weight of the newest sample in the mean latency, and the multiple of the mean
// at which samples are capped: one slow replica must not raise the mean much.
constexpr double kMeanLatencyWeight = 0.01;
constexpr int kMaxSampleFactor = 3;

// Of each budget. Both, and the growth of strings in them, fit into the
// smallest VM; one answer of the largest size fits into each.
constexpr AnswerBudget::Options kHeldBytesLimits{.total_bytes = 17 << 20,
                                                 .divisor = 2};

// Teams named in the log for one change of their keys.
constexpr std::size_t kMaxLoggedTeams = 8;

std::string ToOneDecimal(double number) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(1) << number;
  return text.str();
}

Duration Scale(Duration duration, double share) {
  return std::chrono::duration_cast<Duration>(duration * share);
}

}  // namespace

RouteLatencyStats::RouteLatencyStats(Duration target_latency)
    : mean_latency_(Scale(target_latency, kInitialMeanLatencyShare)) {}

void RouteLatencyStats::RecordAttemptLatency(Duration latency) {
  mean_latency_ +=
      Scale(std::min(latency, mean_latency_ * kMaxSampleFactor) - mean_latency_,
            kMeanLatencyWeight);
}

void RouteLatencyStats::RecordShardLatency(Duration since_start) {
  window_.Add(since_start);
  if (++samples_since_update_ < kSamplesPerUpdate) return;
  samples_since_update_ = 0;
  hedge_quantile_ = window_.Quantile(kHedgeQuantile).value_or(Duration::zero());
}

Duration RouteLatencyStats::HedgeDelay(Duration target_latency) {
  const Duration max_delay = Scale(target_latency, kMaxHedgeDelayShare);
  if (hedge_quantile_ == Duration::zero()) return max_delay;
  return std::clamp(hedge_quantile_, Scale(target_latency, kMinHedgeDelayShare),
                    max_delay);
}

const BoundRoute* BoundTable::Find(std::string_view host,
                                   std::string_view path) const {
  const RouteSpec* spec = table->Find(host, path);
  return spec == nullptr ? nullptr : &routes[table->IndexOf(spec)];
}

EdgeCore::EdgeCore(Options options)
    : options_(std::move(options)),
      timers_(*options_.io),
      answer_budget_(std::make_shared<AnswerBudget>(kHeldBytesLimits)),
      unread_budget_(std::make_shared<AnswerBudget>(kHeldBytesLimits)),
      relays_({.io = options_.io,
               .timers = &timers_,
               .data_centre = options_.data_centre,
               .answer_budget = answer_budget_,
               .on_answer_dropped =
                   [this](std::string_view from, std::string_view cause,
                          std::size_t bytes) {
                     OnAnswerDropped(from, cause, bytes);
                   },
               .on_statements =
                   [this](std::span<const StatementReport> reports,
                          std::string_view from) {
                     ApplyStatements(reports, from);
                   }}) {
  if (options_.quota_bounds) EnforceQuotas(*options_.quota_bounds);
}

void EdgeCore::EnforceQuotas(const QuotaBounds& bounds) {
  team_quotas_.emplace(TeamQuotas::Options{.timers = &timers_,
                                           .metrics = options_.metrics,
                                           .self = options_.address,
                                           .bounds = bounds,
                                           .send = options_.on_quota_messages});
}

void EdgeCore::OnAnswerDropped(std::string_view from, std::string_view cause,
                               std::size_t bytes) {
  options_.metrics->OnAnswerDropped(cause);
  const auto unlogged = answer_dropped_log_.Admit(BootClock::now());
  if (!unlogged) return;
  LogEvent(Event::kAnswerDropped, {{"from", from},
                                   {"cause", cause},
                                   {"bytes", bytes},
                                   {"held_bytes", answer_budget_->held_bytes()},
                                   {"unlogged", *unlogged}});
}

void EdgeCore::OnLimitChange(const UpstreamRecord& about, std::int64_t from,
                             std::int64_t to) {
  const auto unlogged = limit_change_log_.Admit(BootClock::now());
  if (!unlogged) return;
  LogEvent(Event::kConcurrencyLimitChanged, {{"upstream", about.id},
                                             {"service", about.service},
                                             {"from", from},
                                             {"to", to},
                                             {"slots", about.slots},
                                             {"unlogged", *unlogged}});
}

void EdgeCore::OnFairnessRefusal(std::string_view team, std::string_view where,
                                 std::string_view name) {
  options_.metrics->OnFairnessRefusal(where);
  const auto unlogged = fairness_refusal_log_.Admit(BootClock::now());
  if (!unlogged) return;
  LogEvent(Event::kTeamExceedsShare, {{"team", team},
                                      {"where", where},
                                      {"name", name},
                                      {"unlogged", *unlogged}});
}

ServicePtr EdgeCore::FindOrCreateService(const std::string& name) {
  ServicePtr& service = services_[name];
  if (service) return service;
  ReplicaChoiceOptions choice = ReplicaChoiceWithout(options_.disabled);
  if (is_enabled(Mechanism::kFailureShare)) {
    choice.max_failure_share = options_.extra_ratio;
  }
  service = std::make_shared<Service>(Service::Options{
      .name = name,
      .timers = &timers_,
      .extra_load = {},
      .started_at = options_.started_at,
      .vm = options_.vm,
      .choice = choice,
      .on_withheld =
          [metrics = options_.metrics](GateDecision reason) {
            metrics->OnReplicaPassedOver(GateDecisionName(reason));
          },
      .on_fairness_refusal =
          [this, name](std::string_view team) {
            OnFairnessRefusal(team, "queue", name);
          }});
  ApplyShares(*service);
  return service;
}

void EdgeCore::ApplyShares(Service& service) {
  const auto fleet = static_cast<double>(fleet_size_);
  service.set_extra_load(
      {.ratio = options_.extra_ratio * kRatioSafetyFactor,
       .base_allowance =
           OwnShare(service, options_.extra_attempts * kBaseSafetyFactor)});
  service.set_cold_share(service.limits().cold_requests_per_second / fleet);
  const auto limit = static_cast<double>(service.limits().max_connections);
  const auto share = std::max<std::int64_t>(
      1, static_cast<std::int64_t>(OwnShare(service, limit)));
  const double rate_share = OwnShare(service, 1);
  for (const UpstreamPtr& upstream : service.upstreams()) {
    upstream->set_connection_share(share);
    upstream->set_rate_share(rate_share);
    upstream->set_cold_start(
        {.is_limited = service.limits().cold_requests_per_second > 0,
         .cold_time = service.limits().cold_time,
         .health_path = service.limits().health_path});
  }
  // The number of replicas that this daemon may connect to, such that all
  // daemons together stay within each replica's connection limit.
  const double replicas = static_cast<double>(service.upstreams().size());
  const double subset = limit * replicas / fleet;
  const auto place =
      relays_.FindRole(service.data_centres(), service.relay_group());
  service.set_subset_size(
      place && (place->rank || place->direct_daemons > 0)
          ? SIZE_MAX
          : static_cast<std::size_t>(std::max(1.0, subset)));
}

double EdgeCore::OwnShare(const Service& service, double allowance) const {
  const auto place =
      shard_services_.count(service.name()) == 0
          ? std::nullopt
          : relays_.FindRole(service.data_centres(), service.relay_group());
  if (!place) return allowance / static_cast<double>(fleet_size_);
  return ShareOfLimit(allowance, *place, fleet_size_);
}

void EdgeCore::ApplyAllShares() {
  for (const auto& [name, service] : services_) ApplyShares(*service);
}

ServicePtr EdgeCore::FindService(std::string_view name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : found->second;
}

void EdgeCore::set_members(const RelayCandidates& members,
                           const std::string& self) {
  std::size_t daemons = 0;
  for (const auto& [name, candidates] : members) daemons += candidates.size();
  const std::size_t data_centres = members.size();
  if (is_enabled(Mechanism::kRelays)) relays_.set_members(members, self);
  std::int64_t own = 0;
  for (const std::string& shard : shard_services_) {
    const ServicePtr service = FindService(shard);
    if (!service) continue;
    const auto place =
        relays_.FindRole(service->data_centres(), service->relay_group());
    if (place && place->rank) ++own;
  }
  LogEvent(Event::kRelaysChanged, {{"daemons", daemons},
                                   {"own_shards", own},
                                   {"data_centres", data_centres}});
  ApplyAllShares();
}

void EdgeCore::UpdateReplicaDataCentres() {
  std::set<std::string> data_centres;
  for (const std::string& shard : shard_services_) {
    const ServicePtr service = FindService(shard);
    if (service) {
      data_centres.insert(service->data_centres().begin(),
                          service->data_centres().end());
    }
  }
  relays_.set_replica_data_centres(std::move(data_centres));
}

void EdgeCore::UpdateRelayMode() {
  if (!routes_) return;
  std::optional<std::int64_t> connections;
  for (const BoundRoute& route : routes_->routes) {
    if (!route.spec->is_scatter()) continue;
    for (const ServicePtr& service : route.services) {
      const std::int64_t limit = service->limits().max_connections;
      connections = std::min(connections.value_or(limit), limit);
    }
  }
  if (connections) relays_.set_mode(RelayModeFor(*connections, fleet_size_));
}

void EdgeCore::ApplyRouting(const std::shared_ptr<const RoutingTable>& table) {
  auto bound = std::make_shared<BoundTable>();
  bound->table = table;
  bound->in_force_since = BootClock::now();
  bound->routes.reserve(table->routes().size());
  // Spreads the data centres' starting points over the round-robin cycle.
  const double phase =
      static_cast<double>(std::hash<std::string>()(options_.data_centre) %
                          1'000) /
      1'000;
  for (const RouteSpec& spec : table->routes()) {
    BoundRoute route{.spec = &spec};
    for (const std::string& shard : spec.shards) {
      shard_services_.insert(shard);
      route.services.push_back(FindOrCreateService(shard));
    }
    std::vector<double> weights;
    for (const RouteTarget& target : spec.targets) {
      route.services.push_back(FindOrCreateService(target.service));
      weights.push_back(target.weight);
    }
    route.target_selector =
        std::make_shared<WeightedRoundRobin>(weights, phase);
    auto& history = latency_stats_[spec.name];
    if (!history) {
      history = std::make_shared<RouteLatencyStats>(spec.target_latency);
    }
    route.latency_stats = history;
    auto& admission = admissions_[spec.name];
    if (!admission) admission = std::make_shared<QueryAdmission>();
    route.admission = admission;
    bound->routes.push_back(std::move(route));
  }
  const bool withdraws_keys = LogTeamChanges(*table);
  routes_ = std::move(bound);
  UpdateReplicaDataCentres();
  for (const auto& [name, service] : services_) {
    service->set_limits(table->LimitsOf(name));
  }
  UpdateRelayMode();
  ApplyAllShares();
  if (team_quotas_) team_quotas_->SetQuotas(QuotasOf(table->teams()));
  options_.metrics->set_config_version(table->version());
  if (withdraws_keys) on_keys_withdrawn_();
}

bool EdgeCore::LogTeamChanges(const RoutingTable& table) const {
  const TeamTable none;
  const TeamTable& old_teams = routes_ ? routes_->table->teams() : none;
  const TeamTable& teams = table.teams();
  const std::map<std::string, std::size_t> withdrawn =
      old_teams.KeysMissingIn(teams);
  std::size_t added = 0;
  for (const auto& [team, keys] : teams.KeysMissingIn(old_teams)) added += keys;
  std::size_t removed = 0;
  std::size_t logged = 0;
  for (const auto& [team, keys] : withdrawn) {
    removed += keys;
    if (++logged > kMaxLoggedTeams) continue;
    LogEvent(Event::kTeamKeysWithdrawn,
             {{"version", table.version()}, {"team", team}, {"keys", keys}});
  }
  if (added + removed > 0 || teams.teams().size() != old_teams.teams().size()) {
    LogEvent(Event::kTeamsInForce, {{"version", table.version()},
                                    {"teams", teams.teams().size()},
                                    {"keys", teams.key_count()},
                                    {"added", added},
                                    {"withdrawn", removed}});
  }
  return removed > 0;
}

void EdgeCore::set_fleet_size(std::size_t size) {
  options_.metrics->set_fleet_size(size);
  fleet_size_ = std::max(size, kMinFleetSize);
  UpdateRelayMode();
  ApplyAllShares();
}

void EdgeCore::StartPreconnecting() {
  if (is_enabled(Mechanism::kPreconnecting)) Preconnect();
}

void EdgeCore::Preconnect() {
  const TimePoint now = BootClock::now();
  std::size_t opened = 0;
  if (routes_) {
    for (const BoundRoute& route : routes_->routes) {
      if (!route.spec->is_scatter()) continue;
      for (const ServicePtr& service : route.services) {
        if (opened >= kMaxPreconnectsPerInterval) break;
        // Relays query the shard for this daemon.
        if (relays_.IsDelegatedToRelays(service->data_centres(),
                                        service->relay_group())) {
          continue;
        }
        if (service->Preconnect(now)) ++opened;
      }
    }
  }
  timers_.At(now + kPreconnectInterval, [this] { Preconnect(); });
}

void EdgeCore::AddUpstream(const UpstreamRecord& record) {
  const auto endpoint = ParseEndpoint(record.address);
  if (!endpoint) {
    LogEvent(Event::kDirectoryEntryRefused,
             {{"upstream", record.id}, {"reason", endpoint.error().detail}});
    return;
  }
  EdgeMetrics* metrics = options_.metrics;
  const bool learns_limit =
      options_.concurrency_limit && is_enabled(Mechanism::kConcurrencyLimit);
  auto upstream = std::make_shared<Upstream>(Upstream::Options{
      .io = options_.io,
      .timers = &timers_,
      .names = options_.names,
      .record = record,
      .endpoint = endpoint.value(),
      .is_local = record.data_centre == options_.data_centre,
      .process_started_at = options_.started_at,
      .has_short_attempts = shard_services_.count(record.service) > 0,
      .store_age =
          [metrics](TimePoint now) {
            return metrics->StoreConfirmationAge(now);
          },
      .on_health_change =
          [metrics](const UpstreamRecord& about, std::string_view health,
                    std::string_view cause) {
            metrics->OnUpstreamHealthChange(health);
            LogEvent(Event::kUpstreamBelief, {{"upstream", about.id},
                                              {"service", about.service},
                                              {"belief", health},
                                              {"cause", cause}});
          },
      .on_usability_change =
          [this, service = record.service] {
            FindOrCreateService(service)->UpdateDataCentres();
          },
      .on_connection_opened = [metrics] { metrics->OnConnectionOpened(); },
      .answer_budget = answer_budget_,
      .on_answer_dropped =
          [this](std::string_view from, std::string_view cause,
                 std::size_t bytes) { OnAnswerDropped(from, cause, bytes); },
      .on_cold_presumption =
          [metrics](const UpstreamRecord& about, bool is_cold,
                    std::string_view cause) {
            metrics->OnUpstreamHealthChange(is_cold ? "presumed_cold" : "warm");
            LogEvent(
                is_cold ? Event::kUpstreamPresumedCold : Event::kUpstreamWarm,
                {{"upstream", about.id},
                 {"service", about.service},
                 {"incarnation", about.incarnation},
                 {"cause", cause}});
          },
      .on_statement_change =
          [this](const UpstreamRecord& about, const UpstreamGate& gate,
                 const UpstreamGate::Changes& changes, std::string_view from) {
            OnStatementChange(about, gate, changes, from);
          },
      .learns_limit = learns_limit,
      .on_attempt_observed =
          learns_limit ? metrics->MakeLimitObserver(record.service) : nullptr,
      .on_limit_change =
          [this](const UpstreamRecord& about, std::int64_t from,
                 std::int64_t to) { OnLimitChange(about, from, to); }});
  upstreams_[record.id] = upstream;
  const TimePoint now = BootClock::now();
  if (const auto known = statements_.Find(record.id, record.incarnation, now)) {
    upstream->Restore(*known, now);
  }
  const ServicePtr service = FindOrCreateService(record.service);
  service->Add(std::move(upstream));
  ApplyShares(*service);
}

void EdgeCore::OnStatementChange(const UpstreamRecord& about,
                                 const UpstreamGate& gate,
                                 const UpstreamGate::Changes& changes,
                                 std::string_view from) {
  const EventField upstream("upstream", about.id);
  const EventField service("service", about.service);
  const EventField source("from", from.empty() ? "answer" : from);
  const TimePoint now = BootClock::now();
  if (changes.rate) {
    const StatedRateLimiter& limiter = gate.rate_limiter();
    if (limiter.stated() && !std::exchange(reports_demands_, true)) {
      timers_.At(now + kDemandCheckInterval, [this] { ReportDemands(); });
    }
    LogEvent(Event::kUpstreamRateStated,
             {upstream,
              service,
              source,
              {"state", limiter.stated() ? "stated" : "ended"},
              {"per_second", ToOneDecimal(limiter.stated().value_or(0))},
              {"own_per_second", ToOneDecimal(limiter.OwnRate())}});
  }
  if (changes.wait) {
    LogEvent(Event::kUpstreamWaits,
             {upstream,
              service,
              source,
              {"wait_ms", ToMillis((from.empty() ? gate.wait_until()
                                                 : gate.avoided_until()) -
                                   now)}});
  }
  if (changes.malformed) {
    options_.metrics->OnStatementMalformed();
    LogEvent(Event::kUpstreamStatementMalformed, {upstream, service});
  }
  if (changes.leaving) {
    LogEvent(Event::kUpstreamLeaving,
             {upstream,
              service,
              source,
              {"listed_as_draining", about.draining ? 1 : 0}});
  }
  if (!from.empty()) return;
  const StatementReport report = MakeStatementReport(about, gate, now);
  if (statements_.Merge(report, StatementSource::kOwnAnswer, now)) {
    options_.on_statements({report});
  }
}

void EdgeCore::ReportDemands() {
  const TimePoint now = BootClock::now();
  std::vector<DemandReport> reports;
  bool states_rate = false;
  for (const auto& [id, upstream] : upstreams_) {
    states_rate = states_rate || upstream->gate().rate_limiter().stated();
    if (auto report = upstream->TakeDueDemandReport(now)) {
      reports.push_back(std::move(*report));
    }
  }
  if (!reports.empty()) options_.on_demands(std::move(reports));
  reports_demands_ = states_rate;
  if (!states_rate) return;
  timers_.At(now + kDemandCheckInterval, [this] { ReportDemands(); });
}

void EdgeCore::ApplyDemandSums(std::span<const DemandSum> sums) {
  const TimePoint now = BootClock::now();
  for (const DemandSum& sum : sums) {
    const auto found = upstreams_.find(sum.upstream);
    if (found != upstreams_.end()) found->second->OnDemandSum(sum, now);
  }
}

void EdgeCore::ApplyStatements(std::span<const StatementReport> reports,
                               std::string_view from) {
  const TimePoint now = BootClock::now();
  std::vector<StatementReport> news;
  for (const StatementReport& report : reports) {
    if (!statements_.Merge(report, StatementSource::kPeer, now)) continue;
    news.push_back(report);
    const auto found = upstreams_.find(report.upstream);
    if (found == upstreams_.end() ||
        found->second->record().incarnation != report.incarnation) {
      continue;
    }
    found->second->OnReport(report, from, now);
  }
  options_.metrics->OnStatementReports(reports.size(), news.size());
  if (!news.empty()) options_.on_statements(std::move(news));
}

std::vector<StatementReport> EdgeCore::LatestStatements(std::size_t max,
                                                        TimePoint now) {
  if (now - latest_statements_at_ < kLatestStatementsLifetime) {
    return latest_statements_;
  }
  latest_statements_at_ = now;
  // Answers that change nothing are not recorded.
  for (const auto& [id, upstream] : upstreams_) {
    if (!upstream->gate().rate_limiter().stated()) continue;
    statements_.Merge(
        MakeStatementReport(upstream->record(), upstream->gate(), now),
        StatementSource::kOwnAnswer, now);
  }
  latest_statements_ = statements_.Latest(max, now);
  return latest_statements_;
}

void EdgeCore::RemoveUpstream(const std::string& id) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) return;
  const UpstreamPtr upstream = found->second;
  upstreams_.erase(found);
  FindOrCreateService(upstream->record().service)->Remove(upstream);
  upstream->Retire();
}

void EdgeCore::ApplyDirectory(std::shared_ptr<const Directory> directory) {
  std::vector<std::string> obsolete;
  for (const auto& [id, upstream] : upstreams_) {
    const auto found = directory->upstreams.find(id);
    const UpstreamRecord& old = upstream->record();
    if (found == directory->upstreams.end() ||
        found->second.incarnation != old.incarnation ||
        found->second.address != old.address ||
        found->second.service != old.service) {
      obsolete.push_back(id);
    } else {
      upstream->UpdateRecord(found->second);
    }
  }
  for (const std::string& id : obsolete) RemoveUpstream(id);
  for (const auto& [id, record] : directory->upstreams) {
    if (upstreams_.find(id) == upstreams_.end()) AddUpstream(record);
  }
  directory_ = std::move(directory);
  options_.metrics->set_upstreams(upstreams_.size());
  UpdateUsable();
}

void EdgeCore::UpdateUsable() {
  for (const auto& [id, upstream] : upstreams_) {
    upstream->set_evacuated(
        directory_->evacuated.count(upstream->record().data_centre) > 0);
  }
  // Separately, because queued attempts of one upstream may move to another.
  for (const auto& [id, upstream] : upstreams_) upstream->ApplyUsability();
  UpdateReplicaDataCentres();
}

}  // namespace lacewingknot::edge
