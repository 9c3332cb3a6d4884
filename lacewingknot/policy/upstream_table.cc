#include "lacewingknot/policy/upstream_table.h"

#include <algorithm>
#include <cmath>

namespace lacewingknot {
namespace {

// Backoff of an upstream after a connection failure, doubled for each further
// one in a row.
constexpr Duration kInitialBackoff = std::chrono::milliseconds(50);
constexpr int kMaxBackoffDoublings = 4;

// How long an upstream gets no attempts after it answered that it is draining,
// unless it answers so again.
constexpr Duration kDrainingHold = std::chrono::seconds(5);

// Answers that raise the limit set by shed requests by one.
constexpr std::int64_t kAnswersPerLimitIncrease = 8;

// Weight of the newest sample in the exponentially weighted moving average.
constexpr double kLatencyEwmaWeight = 0.1;

// Half-life of the mean latency of an upstream that gets no attempts.
constexpr Duration kLatencyHalfLife = std::chrono::seconds(4);

// Latencies below this are treated as equal.
constexpr double kLatencyFloorMicros = 1'000;

template <typename Range, typename Value>
bool Contains(const Range& range, const Value& value) {
  return std::find(range.begin(), range.end(), value) != range.end();
}

}  // namespace

UpstreamTable::UpstreamTable(const Options& options)
    : options_(options), fleet_(options.fleet), random_(options.seed) {}

void UpstreamTable::ApplySettings(SettingsPtr settings) {
  settings_ = std::move(settings);
  fleet_.set_lease(settings_->fleet.view_lease);
  fleet_.OnPlacementsChanged();
  for (const auto& entry : entries_) entry->in_settings = false;
  for (const auto& [name, node] : settings_->upstreams) {
    const auto [at, added] = by_name_.try_emplace(
        name, static_cast<UpstreamHandle>(entries_.size()));
    if (added) entries_.push_back(std::make_unique<Entry>());
    Entry& entry = *entries_[at->second];
    if (entry.node.address != node.address) entry.warmup_state = WarmupState();
    entry.node = node;
    entry.policy = settings_->EffectivePolicy(node.service);
    entry.in_settings = true;
    entry.taken_out = settings_->IsOut(node);
  }
  std::map<std::string, std::vector<UpstreamHandle>, std::less<>> replicas;
  for (const auto& [name, node] : settings_->upstreams) {
    replicas[node.service].push_back(by_name_.at(name));
  }
  shards_.clear();
  for (const auto& [name, service] : settings_->services) {
    std::vector<ShardTarget> shards;
    for (std::string& shard : settings_->Shards(name)) {
      std::vector<UpstreamHandle> holders = replicas[shard];
      shards.push_back({std::move(shard), std::move(holders)});
    }
    shards_.emplace(name, std::move(shards));
  }
  UpdateLeaving();
}

void UpstreamTable::ApplyVmList(VmListPtr list, TimePoint at) {
  if (fleet_.OnVmList(std::move(list), at)) UpdateLeaving();
}

void UpstreamTable::UpdateLeaving() {
  for (const auto& entry : entries_) entry->leaving = false;
  if (fleet_.list() == nullptr) return;
  for (const VmEntry& vm : fleet_.list()->vms) {
    const auto at = by_name_.find(vm.upstream);
    if (at != by_name_.end()) entries_[at->second]->leaving = vm.is_leaving;
  }
}

Result<std::vector<ShardTarget>> UpstreamTable::Shards(
    std::string_view service) const {
  const auto found = shards_.find(service);
  if (found == shards_.end() || found->second.empty()) {
    return Error{ErrorType::kUnknownService, std::string(service)};
  }
  return found->second;
}

bool UpstreamTable::ServesVersion(const Entry& entry,
                                  IndexVersion version) const {
  return version == kAnyVersion || entry.versions.empty() ||
         Contains(entry.versions, version);
}

IndexVersion UpstreamTable::ChooseVersion(std::span<const ShardTarget> shards,
                                          std::span<const IndexVersion> avoid,
                                          TimePoint now) const {
  std::map<IndexVersion, std::size_t> coverage;
  std::vector<IndexVersion> shard_versions;
  for (const ShardTarget& shard : shards) {
    shard_versions.clear();
    for (UpstreamHandle replica : shard.replicas) {
      const Entry& entry = *entries_[replica];
      if (UnavailableReason(entry, now)) continue;
      for (IndexVersion version : entry.versions) {
        if (!Contains(shard_versions, version)) {
          shard_versions.push_back(version);
        }
      }
    }
    for (IndexVersion version : shard_versions) ++coverage[version];
  }
  IndexVersion best = kAnyVersion;
  std::size_t best_count = 0;
  for (const auto& [version, count] : coverage) {
    if (Contains(avoid, version) || count < best_count) continue;
    best = version;
    best_count = count;
  }
  return best;
}

UpstreamPlacement UpstreamTable::PlacementOf(const Entry& entry) const {
  return {.upstream = entry.node.name, .data_centre = entry.node.data_centre};
}

WarmupState::Limits UpstreamTable::LimitsOf(const Entry& entry) const {
  return {.enabled = entry.policy.warmup,
          .cold_concurrency = entry.policy.cold_concurrency,
          .warmup_completions = entry.policy.warmup_completions,
          .connections = entry.policy.connections};
}

std::int64_t UpstreamTable::Allowance(const Entry& entry, TimePoint now) const {
  if (entry.policy.warmup) {
    if (!fleet_.HasShare(now)) return 0;
    const bool warm = entry.warmup_state.IsWarm(LimitsOf(entry));
    if (!warm && !fleet_.IsFleetSizeKnown(now)) return 0;
  }
  const WarmupState::FleetRole role{
      .is_owner = fleet_.IsOwner(PlacementOf(entry), now),
      .fleet_size = static_cast<std::int64_t>(fleet_.FleetSize(now))};
  const std::int64_t allowance = entry.warmup_state.Allowance(
      LimitsOf(entry), role, entry.open_connections > 0, now);
  return entry.shed_limit > 0 ? std::min(allowance, entry.shed_limit)
                              : allowance;
}

std::optional<ErrorType> UpstreamTable::UnavailableReason(const Entry& entry,
                                                          TimePoint now) const {
  if (!entry.in_settings || entry.taken_out || entry.leaving) {
    return ErrorType::kNoUsableUpstream;
  }
  if (now < entry.draining_until) return ErrorType::kUpstreamDraining;
  if (now < entry.backoff_until) return ErrorType::kConnectFailed;
  return std::nullopt;
}

Result<void> UpstreamTable::CheckSend(UpstreamHandle upstream,
                                      TimePoint now) const {
  const Entry& entry = *entries_[upstream];
  if (now > permit_until_) return Error{ErrorType::kNotReady, "permit expired"};
  if (const auto unavailable = UnavailableReason(entry, now)) {
    return Error{*unavailable, entry.node.name};
  }
  if (entry.in_flight >= Allowance(entry, now)) {
    return Error{ErrorType::kLimitReached, entry.node.name};
  }
  return Ok();
}

std::int64_t UpstreamTable::ConnectionLimit(UpstreamHandle upstream,
                                            TimePoint now) const {
  return Allowance(*entries_[upstream], now);
}

void UpstreamTable::RecordLatency(Entry& entry, Duration latency,
                                  TimePoint now) {
  const double micros =
      std::chrono::duration<double, std::micro>(latency).count();
  entry.mean_latency_micros +=
      kLatencyEwmaWeight * (micros - entry.mean_latency_micros);
  entry.latency_updated_at = now;
}

double UpstreamTable::ExpectedMicros(const Entry& entry, TimePoint now) {
  // The mean decays while the upstream gets no attempts, so that a replica that
  // was slow is tried again. The floor keeps noise from deciding between fast
  // replicas.
  const auto idle =
      std::chrono::duration<double>(now - entry.latency_updated_at);
  const auto half_life = std::chrono::duration<double>(kLatencyHalfLife);
  const double decay = std::exp2(-idle.count() / half_life.count());
  return std::max(entry.mean_latency_micros * decay, kLatencyFloorMicros);
}

Result<UpstreamTable::Candidate> UpstreamTable::EvaluateReplica(
    UpstreamHandle upstream, const RouteRequest& request, TimePoint now) const {
  const Entry& entry = *entries_[upstream];
  if (const auto unavailable = UnavailableReason(entry, now)) {
    return Error{*unavailable, entry.node.name};
  }
  if (Contains(request.tried, upstream)) {
    return Error{ErrorType::kNoUsableUpstream, "tried"};
  }
  if (!ServesVersion(entry, request.version)) {
    return Error{ErrorType::kVersionGone, entry.node.name};
  }
  if (request.warm_only && !entry.warmup_state.IsWarm(LimitsOf(entry))) {
    return Error{ErrorType::kNoUsableUpstream, "cold"};
  }
  const std::int64_t allowance = Allowance(entry, now);
  Candidate candidate{.route = {.upstream = upstream, .relay = nullptr}};
  // The cost is the expected time of the attempt. A relay costs more than any
  // direct route, so that it is used only if there is none.
  constexpr double kRelayCost = 1e12;
  const double load = static_cast<double>(entry.in_flight + entry.queued + 1) /
                      static_cast<double>(std::max<std::int64_t>(allowance, 1));
  candidate.cost = load * ExpectedMicros(entry, now);
  if (allowance > 0) {
    candidate.idle_while_warming =
        !entry.warmup_state.IsWarm(LimitsOf(entry)) &&
        entry.in_flight + entry.queued == 0;
    return candidate;
  }
  const VmEntry* owner = fleet_.Owner(PlacementOf(entry));
  const bool relayed = options_.relaying && !request.direct_only &&
                       owner != nullptr && owner->id != options_.fleet.self;
  if (!relayed) return Error{ErrorType::kNoUsableUpstream, "cold"};
  candidate.route.relay = owner;
  candidate.cost += kRelayCost;
  return candidate;
}

Result<Route> UpstreamTable::ChooseRoute(const RouteRequest& request,
                                         TimePoint now) {
  if (now > permit_until_) return Error{ErrorType::kNotReady, "permit expired"};
  std::optional<Candidate> best;
  std::optional<Error> reason;
  std::size_t equal_candidates = 0;
  bool choose_randomly = false;
  for (UpstreamHandle replica : request.replicas) {
    Result<Candidate> candidate = EvaluateReplica(replica, request, now);
    if (!candidate) {
      const bool version_gone =
          candidate.error().type == ErrorType::kVersionGone;
      if (!reason || version_gone) reason = candidate.error();
      continue;
    }
    choose_randomly =
        choose_randomly || entries_[replica]->policy.chooses_random_replica;
    // Every other time, an idle upstream that is warming up is preferred:
    // without attempts it would never become warm.
    const bool prefer =
        candidate.value().idle_while_warming && random_() % 2 == 0;
    if (prefer) candidate.value().cost = 0;
    const double cost = choose_randomly ? 0 : candidate.value().cost;
    const double best_cost = best && !choose_randomly ? best->cost : 0;
    if (best && cost > best_cost) continue;
    equal_candidates = best && cost == best_cost ? equal_candidates + 1 : 1;
    if (random_() % equal_candidates == 0) best = candidate.value();
  }
  if (best) return best->route;
  return reason.value_or(
      Error{ErrorType::kNoUsableUpstream, "no replica to choose from"});
}

void UpstreamTable::OnQueued(UpstreamHandle upstream, std::int64_t change) {
  entries_[upstream]->queued += change;
}

void UpstreamTable::OnSent(UpstreamHandle upstream) {
  ++entries_[upstream]->in_flight;
}

void UpstreamTable::OnFinished(UpstreamHandle upstream) {
  --entries_[upstream]->in_flight;
}

void UpstreamTable::OnAnswer(UpstreamHandle upstream,
                             const AnswerObservation& observation,
                             TimePoint now) {
  Entry& entry = *entries_[upstream];
  entry.consecutive_connection_failures = 0;
  entry.versions.assign(observation.versions.begin(),
                        observation.versions.end());
  const bool is_owner = fleet_.IsOwner(PlacementOf(entry), now);
  entry.warmup_state.OnCompletion(LimitsOf(entry), observation.instance,
                                  is_owner, now);
  RecordLatency(entry, observation.latency, now);
  if (entry.shed_limit == 0) return;
  if (++entry.answers_since_limit_change < kAnswersPerLimitIncrease) return;
  entry.answers_since_limit_change = 0;
  ++entry.shed_limit;
  if (entry.shed_limit >= entry.policy.connections) entry.shed_limit = 0;
}

void UpstreamTable::OnFailure(UpstreamHandle upstream, ErrorType type,
                              std::span<const IndexVersion> versions,
                              TimePoint now) {
  Entry& entry = *entries_[upstream];
  if (!versions.empty()) {
    entry.versions.assign(versions.begin(), versions.end());
  }
  switch (type) {
    case ErrorType::kConnectFailed:
    case ErrorType::kConnectionLost: {
      const int doublings =
          std::min(entry.consecutive_connection_failures, kMaxBackoffDoublings);
      entry.backoff_until = now + kInitialBackoff * (1 << doublings);
      ++entry.consecutive_connection_failures;
      break;
    }
    case ErrorType::kUpstreamDraining:
      entry.draining_until = now + kDrainingHold;
      break;
    case ErrorType::kShed:
    case ErrorType::kTimeout: {
      if (type == ErrorType::kTimeout) {
        RecordLatency(entry, entry.policy.attempt_timeout, now);
      }
      entry.warmup_state.OnOverload(LimitsOf(entry), now);
      const std::int64_t base_limit =
          entry.shed_limit > 0 ? entry.shed_limit : entry.in_flight;
      if (type == ErrorType::kShed) {
        entry.shed_limit = std::max<std::int64_t>(base_limit / 2, 1);
        entry.answers_since_limit_change = 0;
      }
      break;
    }
    default:
      break;
  }
}

void UpstreamTable::OnConnections(UpstreamHandle upstream, std::size_t open,
                                  bool lost_last, TimePoint now) {
  Entry& entry = *entries_[upstream];
  entry.open_connections = open;
  if (lost_last && open == 0) entry.warmup_state.OnConnectionsLost(now);
}

void UpstreamTable::OnPeerReport(std::string_view upstream,
                                 const WarmupReport& report) {
  const auto at = by_name_.find(upstream);
  if (at != by_name_.end()) {
    entries_[at->second]->warmup_state.OnPeerReport(report);
  }
}

std::vector<std::pair<std::string_view, WarmupReport>>
UpstreamTable::WarmupReports() const {
  std::vector<std::pair<std::string_view, WarmupReport>> reports;
  for (const auto& entry : entries_) {
    if (!entry->in_settings) continue;
    if (auto report = entry->warmup_state.Report()) {
      reports.emplace_back(entry->node.name, std::move(*report));
    }
  }
  return reports;
}

std::vector<std::string_view> UpstreamTable::UpstreamsNeedingReports(
    TimePoint now) const {
  std::vector<std::string_view> upstreams;
  for (const auto& entry : entries_) {
    if (!entry->in_settings || !entry->policy.warmup) continue;
    const bool answer_expires_soon =
        entry->open_connections == 0 &&
        now - entry->warmup_state.last_answer_at() >
            WarmupState::kMaxAnswerAge / 2;
    const bool warming = !entry->warmup_state.IsWarm(LimitsOf(*entry));
    if (entry->warmup_state.presumed_cold() || answer_expires_soon || warming) {
      upstreams.push_back(entry->node.name);
    }
  }
  return upstreams;
}

std::optional<UpstreamHandle> UpstreamTable::Find(std::string_view name) const {
  const auto at = by_name_.find(name);
  if (at == by_name_.end() || !entries_[at->second]->in_settings) return {};
  return at->second;
}

std::string_view UpstreamTable::name(UpstreamHandle upstream) const {
  return entries_[upstream]->node.name;
}

std::string_view UpstreamTable::address(UpstreamHandle upstream) const {
  return entries_[upstream]->node.address;
}

std::string_view UpstreamTable::service(UpstreamHandle upstream) const {
  return entries_[upstream]->node.service;
}

std::int64_t UpstreamTable::max_queue(UpstreamHandle upstream) const {
  return entries_[upstream]->policy.max_queue;
}

UpstreamStatus UpstreamTable::Status(UpstreamHandle upstream,
                                     TimePoint now) const {
  const Entry& entry = *entries_[upstream];
  UpstreamStatus status;
  status.name = entry.node.name;
  status.service = entry.node.service;
  status.data_centre = entry.node.data_centre;
  status.instance = entry.warmup_state.instance();
  status.level = entry.warmup_state.level();
  status.allowance = Allowance(entry, now);
  status.in_flight = entry.in_flight;
  status.is_owner = fleet_.IsOwner(PlacementOf(entry), now);
  status.unavailable_reason = UnavailableReason(entry, now);
  const VmEntry* owner = fleet_.Owner(PlacementOf(entry));
  if (!entry.in_settings) {
    status.reason = "not in the settings in force";
  } else if (entry.taken_out) {
    status.reason = "taken out by the operators";
  } else if (entry.leaving) {
    status.reason = "leaving according to the VM list";
  } else if (status.unavailable_reason) {
    status.reason = ErrorTypeName(*status.unavailable_reason);
  } else if (now > permit_until_) {
    status.reason = "this daemon's view is stale";
  } else if (status.allowance > 0) {
    status.reason = "used directly";
  } else if (owner != nullptr && owner->id != options_.fleet.self) {
    status.reason =
        "cold or beyond this VM's share; relayed through " + owner->id;
  } else {
    status.reason = "cold; waiting for the ownership lease";
  }
  return status;
}

}  // namespace lacewingknot
