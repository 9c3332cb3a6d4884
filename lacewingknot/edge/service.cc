#include "lacewingknot/edge/service.h"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>

#include "lacewingknot/policy/relay_ranking.h"

namespace lacewingknot::edge {
namespace {

// Weight of the newest sample in the moving average of the latency.
constexpr double kMeanLatencyWeight = 0.03;

// After this long without a request, connections are not reopened in advance.
constexpr Duration kRecentUse = std::chrono::seconds(15);

}  // namespace

ExtraAttemptKind ExtraAttemptKindOf(AttemptKind kind, bool urgent) {
  if (kind == AttemptKind::kRetry) return ExtraAttemptKind::kRetry;
  return urgent ? ExtraAttemptKind::kUrgentHedge : ExtraAttemptKind::kHedge;
}

Service::Service(Options options)
    : options_(std::move(options)),
      vm_hash_(XXH3_64bits(options_.vm.data(), options_.vm.size())),
      relay_group_(RelayRanking::GroupOf(options_.name)),
      extra_load_budget_(options_.extra_load, options_.started_at),
      waiting_({.timers = options_.timers,
                .withheld_until =
                    [this](TimePoint now) { return WithheldUntil(now); },
                .pass_rate = [this](TimePoint time) { return PassRate(time); },
                .on_fairness_refusal = options_.on_fairness_refusal}) {}

void Service::Add(UpstreamPtr upstream) {
  auto& limiter = cold_rate_limiters_[upstream->record().id];
  if (!limiter) limiter = std::make_shared<ColdRateLimiter>();
  upstream->set_cold_rate_limiter(limiter);
  const auto rank = [&](const UpstreamPtr& candidate) {
    return std::pair(
        !candidate->is_local(),
        XXH3_64bits_withSeed(candidate->record().id.data(),
                             candidate->record().id.size(), vm_hash_));
  };
  const auto position =
      std::lower_bound(upstreams_.begin(), upstreams_.end(), upstream,
                       [&](const UpstreamPtr& a, const UpstreamPtr& b) {
                         return rank(a) < rank(b);
                       });
  upstreams_.insert(position, std::move(upstream));
  UpdateDataCentres();
}

void Service::UpdateDataCentres() {
  std::set<std::string> data_centres;
  std::set<std::string> usable_data_centres;
  for (const UpstreamPtr& upstream : upstreams_) {
    data_centres.insert(upstream->record().data_centre);
    if (upstream->is_usable()) {
      usable_data_centres.insert(upstream->record().data_centre);
    }
  }
  data_centres_.assign(data_centres.begin(), data_centres.end());
  usable_data_centres_.assign(usable_data_centres.begin(),
                              usable_data_centres.end());
}

void Service::Remove(const UpstreamPtr& upstream) {
  std::erase(upstreams_, upstream);
  UpdateDataCentres();
  const TimePoint now = BootClock::now();
  std::erase_if(cold_rate_limiters_, [now](const auto& limiter) {
    return limiter.second.use_count() == 1 && limiter.second->IsUnused(now);
  });
}

UpstreamPtr Service::PreferredUpstream() const {
  const auto first = std::find_if(
      upstreams_.begin(), upstreams_.end(),
      [](const UpstreamPtr& upstream) { return upstream->is_usable(); });
  return first == upstreams_.end() ? nullptr : *first;
}

bool Service::HasUsableUpstream() const {
  return PreferredUpstream() != nullptr;
}

class Service::ChoiceEffects {
 public:
  static constexpr bool kReportsPassedOver = false;

  ChoiceEffects(Service& service, TimePoint now)
      : service_(service), now_(now) {}

  std::size_t NextRotation() { return service_.rotation_++; }
  GateDecision CheckGate(Upstream& upstream) {
    const GateDecision gate = upstream.CheckGate(now_);
    if (gate != GateDecision::kOpen && service_.options_.on_withheld) {
      service_.options_.on_withheld(gate);
    }
    return gate;
  }
  void OnCold(Upstream& upstream) { upstream.VerifyCold(now_); }
  void OnPassedOver(const Upstream&, std::string_view) {}
  void OnCandidate(const Upstream&) {}

 private:
  Service& service_;
  TimePoint now_;
};

class Service::SimulatedEffects {
 public:
  static constexpr bool kReportsPassedOver = true;

  SimulatedEffects(const Service& service, TimePoint now)
      : rotation_(service.rotation_), now_(now) {}

  std::size_t NextRotation() { return rotation_++; }
  GateDecision CheckGate(const Upstream& upstream) {
    // A copy draws the same lots as the gate would.
    const auto gate = gates_.try_emplace(&upstream, upstream.gate()).first;
    return gate->second.Check(now_);
  }
  void OnCold(const Upstream&) {}
  void OnPassedOver(const Upstream& upstream, std::string_view reason) {
    passed_over_[&upstream] = reason;
  }
  // A candidate of a later pass is none of the earlier ones' rejects.
  void OnCandidate(const Upstream& upstream) { passed_over_.erase(&upstream); }

  std::map<const Upstream*, std::string_view> TakePassedOver() {
    return std::move(passed_over_);
  }

 private:
  std::size_t rotation_;
  TimePoint now_;
  std::map<const Upstream*, UpstreamGate> gates_;
  std::map<const Upstream*, std::string_view> passed_over_;
};

template <typename Effects>
std::vector<UpstreamPtr> Service::Candidates(const ReplicaCriteria& criteria,
                                             std::size_t subset_size,
                                             TimePoint now,
                                             Effects& effects) const {
  std::vector<UpstreamPtr> candidates;
  std::size_t usable_count = 0;
  for (const UpstreamPtr& upstream : upstreams_) {
    if (!upstream->is_usable()) continue;
    if (++usable_count > subset_size) {
      if (!Effects::kReportsPassedOver) break;
      effects.OnPassedOver(*upstream, "outside_subset");
      continue;
    }
    if (!upstream->PassesColdRateLimit(cold_share_, now)) {
      effects.OnCold(*upstream);
      effects.OnPassedOver(*upstream, "cold_rate_limited");
      continue;
    }
    if (criteria.local_only && !upstream->is_local()) {
      effects.OnPassedOver(*upstream, "another_data_centre");
      continue;
    }
    if (std::find(criteria.tried.begin(), criteria.tried.end(), upstream) !=
        criteria.tried.end()) {
      effects.OnPassedOver(*upstream, "tried");
      continue;
    }
    const GateDecision gate = effects.CheckGate(*upstream);
    if (gate != GateDecision::kOpen) {
      effects.OnPassedOver(*upstream, GateDecisionName(gate));
      continue;
    }
    effects.OnCandidate(*upstream);
    candidates.push_back(upstream);
  }
  return candidates;
}

ReplicaLoad Service::LoadOf(const Upstream& upstream, Duration mean_latency,
                            TimePoint now) const {
  ReplicaLoad load = upstream.CurrentLoad(mean_latency, now);
  if (!options_.choice.uses_slowness) {
    load.expected_latency = mean_latency;
    load.time_at_next_depth.reset();
  }
  if (!options_.choice.uses_backoff) load.is_backing_off = false;
  return load;
}

template <typename Effects>
UpstreamPtr Service::Choose(const ReplicaCriteria& criteria, TimePoint now,
                            Effects& effects) const {
  std::vector<UpstreamPtr> candidates =
      Candidates(criteria, subset_size_, now, effects);
  if (candidates.empty()) {
    candidates = Candidates(criteria, SIZE_MAX, now, effects);
  }
  std::vector<ReplicaLoad> loads;
  loads.reserve(candidates.size());
  for (const UpstreamPtr& upstream : candidates) {
    loads.push_back(LoadOf(*upstream, criteria.mean_latency, now));
    if (criteria.include_backing_off) loads.back().is_backing_off = false;
  }
  const auto chosen =
      ChooseReplica(loads, effects.NextRotation(), options_.choice);
  if (!chosen) return nullptr;
  const UpstreamPtr& upstream = candidates[*chosen];
  if (upstream->IsCold(now)) effects.OnCold(*upstream);
  return upstream;
}

template <typename Effects>
UpstreamPtr Service::ChooseForAttempt(AttemptKind kind,
                                      ReplicaCriteria criteria, TimePoint now,
                                      Effects& effects) const {
  UpstreamPtr upstream = Choose(criteria, now, effects);
  if (upstream || kind != AttemptKind::kFirst) return upstream;
  criteria.include_backing_off = true;
  return Choose(criteria, now, effects);
}

UpstreamPtr Service::ChooseForAttempt(AttemptKind kind,
                                      const ReplicaCriteria& criteria,
                                      TimePoint now) {
  ChoiceEffects effects(*this, now);
  return ChooseForAttempt(kind, criteria, now, effects);
}

Service::AttemptPreview Service::PreviewAttempt(AttemptKind kind,
                                                const ReplicaCriteria& criteria,
                                                TimePoint now) const {
  SimulatedEffects effects(*this, now);
  const UpstreamPtr chosen = ChooseForAttempt(kind, criteria, now, effects);
  return {.chosen = chosen, .passed_over = effects.TakePassedOver()};
}

std::optional<TimePoint> Service::WithheldUntil(TimePoint now) const {
  std::optional<TimePoint> earliest;
  for (const UpstreamPtr& upstream : upstreams_) {
    if (!upstream->is_usable()) continue;
    const TimePoint opens_at = upstream->gate().OpensAt(now);
    if (opens_at <= now) return std::nullopt;
    earliest = std::min(earliest.value_or(opens_at), opens_at);
  }
  return earliest;
}

bool Service::HasWaitingAhead(TimePoint now) {
  if (waiting_.empty()) return false;
  waiting_.StartThoseReady(now);
  return !waiting_.empty();
}

void Service::CountDemand() {
  for (const UpstreamPtr& upstream : upstreams_) upstream->CountDemand();
}

double Service::PassRate(TimePoint time) const {
  double rate = 0;
  for (const UpstreamPtr& upstream : upstreams_) {
    if (!upstream->is_usable() || upstream->gate().wait_until() > time) {
      continue;
    }
    rate += upstream->gate().PassRate(time);
  }
  return rate;
}

bool Service::Preconnect(TimePoint now) {
  if (limits_.cold_requests_per_second > 0) return false;
  const UpstreamPtr preferred = PreferredUpstream();
  return preferred &&
         preferred->Preconnect(now - last_first_attempt_ < kRecentUse, now);
}

void Service::RecordLatency(Duration latency) {
  mean_latency_ += std::chrono::duration_cast<Duration>(
      (latency - mean_latency_) * kMeanLatencyWeight);
}

}  // namespace lacewingknot::edge
