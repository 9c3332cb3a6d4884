#include "lacewingknot/policy/upstream_table.h"

#include <algorithm>
#include <cmath>

namespace lacewingknot {
namespace {

// How long an upstream that could not be reached is left alone, doubled for
// each failure in a row.
constexpr Duration kBackoffStep = std::chrono::milliseconds(50);
constexpr int kMaxBackoffDoublings = 4;

// How long an upstream that said it is draining gets no work, unless it says
// so again.
constexpr Duration kDrainingMemory = std::chrono::seconds(5);

// Answers after a shed that raise the limit set by it by one.
constexpr std::int64_t kAnswersPerStep = 8;

// Weight of the newest latency in the moving average.
constexpr double kLatencyWeight = 0.1;

// Time in which the latency of an upstream that is not used counts for half.
constexpr Duration kLatencyHalfLife = std::chrono::seconds(4);

// Latencies below this are alike.
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
  for (const auto& entry : entries_) entry->present = false;
  for (const auto& [name, node] : settings_->upstreams) {
    const auto [at, added] = by_name_.try_emplace(
        name, static_cast<UpstreamHandle>(entries_.size()));
    if (added) entries_.push_back(std::make_unique<Entry>());
    Entry& entry = *entries_[at->second];
    if (entry.node.address != node.address) entry.warmth = Warmth();
    entry.node = node;
    entry.policy = settings_->Policy(node.service);
    entry.present = true;
    entry.out = settings_->IsOut(node);
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
  MarkLeaving();
}

void UpstreamTable::ApplyVmList(VmListPtr list, TimePoint at) {
  if (fleet_.OnList(std::move(list), at)) MarkLeaving();
}

void UpstreamTable::MarkLeaving() {
  for (const auto& entry : entries_) entry->leaving = false;
  if (fleet_.list() == nullptr) return;
  for (const VmEntry& vm : fleet_.list()->vms) {
    const auto at = by_name_.find(vm.upstream);
    if (at != by_name_.end()) entries_[at->second]->leaving = vm.leaving;
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

bool UpstreamTable::Serves(const Entry& entry, IndexVersion version) const {
  return version == kAnyVersion || entry.versions.empty() ||
         Contains(entry.versions, version);
}

IndexVersion UpstreamTable::ChooseVersion(std::span<const ShardTarget> shards,
                                          std::span<const IndexVersion> avoid,
                                          TimePoint now) const {
  std::map<IndexVersion, std::size_t> coverage;
  std::vector<IndexVersion> of_shard;
  for (const ShardTarget& shard : shards) {
    of_shard.clear();
    for (UpstreamHandle replica : shard.replicas) {
      const Entry& entry = *entries_[replica];
      if (Refusal(entry, now)) continue;
      for (IndexVersion version : entry.versions) {
        if (!Contains(of_shard, version)) of_shard.push_back(version);
      }
    }
    for (IndexVersion version : of_shard) ++coverage[version];
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

Placement UpstreamTable::PlacementOf(const Entry& entry) const {
  return {.upstream = entry.node.name, .data_centre = entry.node.data_centre};
}

Warmth::Limits UpstreamTable::LimitsOf(const Entry& entry) const {
  return {.enabled = entry.policy.warmup,
          .cold_concurrency = entry.policy.cold_concurrency,
          .warmup_completions = entry.policy.warmup_completions,
          .connections = entry.policy.connections};
}

std::int64_t UpstreamTable::Allowance(const Entry& entry, TimePoint now) const {
  if (entry.policy.warmup) {
    if (!fleet_.MayShare(now)) return 0;
    const bool warm = entry.warmth.IsFull(LimitsOf(entry));
    if (!warm && !fleet_.IsSettled(now)) return 0;
  }
  const Warmth::Share share{
      .owner = fleet_.IsOwner(PlacementOf(entry), now),
      .fleet_size = static_cast<std::int64_t>(fleet_.FleetSize(now))};
  const std::int64_t allowance = entry.warmth.Allowance(
      LimitsOf(entry), share, entry.open_connections > 0, now);
  return entry.shed_limit > 0 ? std::min(allowance, entry.shed_limit)
                              : allowance;
}

std::optional<ErrorType> UpstreamTable::Refusal(const Entry& entry,
                                                TimePoint now) const {
  if (!entry.present || entry.out || entry.leaving) {
    return ErrorType::kNoUsableUpstream;
  }
  if (now < entry.draining_until) return ErrorType::kUpstreamDraining;
  if (now < entry.backoff_until) return ErrorType::kConnectFailed;
  return std::nullopt;
}

Result<void> UpstreamTable::CheckSend(UpstreamHandle upstream,
                                      TimePoint now) const {
  const Entry& entry = *entries_[upstream];
  if (now > permit_until_) return Error{ErrorType::kNotReady, "stale view"};
  if (const auto refusal = Refusal(entry, now)) {
    return Error{*refusal, entry.node.name};
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

void UpstreamTable::NoteLatency(Entry& entry, Duration latency, TimePoint now) {
  const double micros =
      std::chrono::duration<double, std::micro>(latency).count();
  entry.latency_micros += kLatencyWeight * (micros - entry.latency_micros);
  entry.latency_at = now;
}

double UpstreamTable::ExpectedMicros(const Entry& entry, TimePoint now) {
  // What is not tried is forgotten, so that a replica that was slow is tried
  // again; the floor keeps noise from deciding between fast ones.
  const auto unused = std::chrono::duration<double>(now - entry.latency_at);
  const auto half_life = std::chrono::duration<double>(kLatencyHalfLife);
  const double kept = std::exp2(-unused.count() / half_life.count());
  return std::max(entry.latency_micros * kept, kLatencyFloorMicros);
}

Result<UpstreamTable::Candidate> UpstreamTable::Consider(
    UpstreamHandle upstream, const RouteRequest& request, TimePoint now) const {
  const Entry& entry = *entries_[upstream];
  if (const auto refusal = Refusal(entry, now)) {
    return Error{*refusal, entry.node.name};
  }
  if (Contains(request.tried, upstream)) {
    return Error{ErrorType::kNoUsableUpstream, "tried"};
  }
  if (!Serves(entry, request.version)) {
    return Error{ErrorType::kVersionGone, entry.node.name};
  }
  if (request.warm_only && !entry.warmth.IsFull(LimitsOf(entry))) {
    return Error{ErrorType::kNoUsableUpstream, "cold"};
  }
  const std::int64_t allowance = Allowance(entry, now);
  Candidate candidate{.route = {.upstream = upstream, .relay = nullptr}};
  // The time that the attempt is likely to take; a relay is the last resort.
  constexpr double kRelayCost = 1e12;
  const double load = static_cast<double>(entry.in_flight + entry.queued + 1) /
                      static_cast<double>(std::max<std::int64_t>(allowance, 1));
  candidate.cost = load * ExpectedMicros(entry, now);
  if (allowance > 0) {
    candidate.warming = !entry.warmth.IsFull(LimitsOf(entry)) &&
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

Result<Route> UpstreamTable::Choose(const RouteRequest& request,
                                    TimePoint now) {
  if (now > permit_until_) return Error{ErrorType::kNotReady, "stale view"};
  std::optional<Candidate> best;
  std::optional<Error> reason;
  std::size_t equal = 0;
  bool random = false;
  for (UpstreamHandle replica : request.replicas) {
    Result<Candidate> candidate = Consider(replica, request, now);
    if (!candidate) {
      const bool gone = candidate.error().type == ErrorType::kVersionGone;
      if (!reason || gone) reason = candidate.error();
      continue;
    }
    random = random || entries_[replica]->policy.random_replica;
    // Every other time, an idle upstream that is warming goes first: without
    // work it would never be proved warm.
    const bool prefer = candidate.value().warming && random_() % 2 == 0;
    if (prefer) candidate.value().cost = 0;
    const double cost = random ? 0 : candidate.value().cost;
    const double best_cost = best && !random ? best->cost : 0;
    if (best && cost > best_cost) continue;
    equal = best && cost == best_cost ? equal + 1 : 1;
    if (random_() % equal == 0) best = candidate.value();
  }
  if (best) return best->route;
  return reason.value_or(Error{ErrorType::kNoUsableUpstream, "no replica"});
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
                             const AnswerEvidence& evidence, TimePoint now) {
  Entry& entry = *entries_[upstream];
  entry.failures = 0;
  entry.versions.assign(evidence.versions.begin(), evidence.versions.end());
  const bool owner = fleet_.IsOwner(PlacementOf(entry), now);
  entry.warmth.OnCompletion(LimitsOf(entry), evidence.instance, owner, now);
  NoteLatency(entry, evidence.latency, now);
  if (entry.shed_limit == 0) return;
  if (++entry.answers_since_shed < kAnswersPerStep) return;
  entry.answers_since_shed = 0;
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
      const int doublings = std::min(entry.failures, kMaxBackoffDoublings);
      entry.backoff_until = now + kBackoffStep * (1 << doublings);
      ++entry.failures;
      break;
    }
    case ErrorType::kUpstreamDraining:
      entry.draining_until = now + kDrainingMemory;
      break;
    case ErrorType::kShed:
    case ErrorType::kTimeout: {
      if (type == ErrorType::kTimeout) {
        NoteLatency(entry, entry.policy.attempt_timeout, now);
      }
      entry.warmth.OnOverload(LimitsOf(entry), now);
      const std::int64_t limit =
          entry.shed_limit > 0 ? entry.shed_limit : entry.in_flight;
      if (type == ErrorType::kShed) {
        entry.shed_limit = std::max<std::int64_t>(limit / 2, 1);
        entry.answers_since_shed = 0;
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
  if (lost_last && open == 0) entry.warmth.OnConnectionsLost(now);
}

void UpstreamTable::OnClaim(std::string_view upstream,
                            const WarmthClaim& claim) {
  const auto at = by_name_.find(upstream);
  if (at != by_name_.end()) entries_[at->second]->warmth.OnClaim(claim);
}

std::vector<std::pair<std::string_view, WarmthClaim>> UpstreamTable::Claims()
    const {
  std::vector<std::pair<std::string_view, WarmthClaim>> claims;
  for (const auto& entry : entries_) {
    if (!entry->present) continue;
    if (auto claim = entry->warmth.Claim()) {
      claims.emplace_back(entry->node.name, std::move(*claim));
    }
  }
  return claims;
}

std::vector<std::string_view> UpstreamTable::Suspects(TimePoint now) const {
  std::vector<std::string_view> suspects;
  for (const auto& entry : entries_) {
    if (!entry->present || !entry->policy.warmup) continue;
    const bool stale =
        entry->open_connections == 0 &&
        now - entry->warmth.evidence_at() > Warmth::kEvidenceLifetime / 2;
    const bool warming = !entry->warmth.IsFull(LimitsOf(*entry));
    if (entry->warmth.suspect() || stale || warming) {
      suspects.push_back(entry->node.name);
    }
  }
  return suspects;
}

std::optional<UpstreamHandle> UpstreamTable::Find(std::string_view name) const {
  const auto at = by_name_.find(name);
  if (at == by_name_.end() || !entries_[at->second]->present) return {};
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
  status.instance = entry.warmth.instance();
  status.level = entry.warmth.level();
  status.allowance = Allowance(entry, now);
  status.in_flight = entry.in_flight;
  status.owner = fleet_.IsOwner(PlacementOf(entry), now);
  status.refusal = Refusal(entry, now);
  const VmEntry* owner = fleet_.Owner(PlacementOf(entry));
  if (!entry.present) {
    status.reason = "not in the settings in force";
  } else if (entry.out) {
    status.reason = "taken out by the operators";
  } else if (entry.leaving) {
    status.reason = "leaving, by the VM list";
  } else if (status.refusal) {
    status.reason = ErrorTypeName(*status.refusal);
  } else if (now > permit_until_) {
    status.reason = "this daemon's view is stale";
  } else if (status.allowance > 0) {
    status.reason = "used directly";
  } else if (owner != nullptr && owner->id != options_.fleet.self) {
    status.reason = "cold or beyond this VM's share; through " + owner->id;
  } else {
    status.reason = "cold; waiting for the lease";
  }
  return status;
}

}  // namespace lacewingknot
