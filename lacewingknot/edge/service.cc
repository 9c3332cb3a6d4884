#include "lacewingknot/edge/service.h"

#include <algorithm>

namespace lacewingknot::edge {
namespace {

// Weight of the newest sample in the service's typical latency.
constexpr double kTypicalWeight = 0.03;

}  // namespace

bool Service::HasUsable() const {
  return std::any_of(
      upstreams_.begin(), upstreams_.end(),
      [](const UpstreamPtr& upstream) { return upstream->usable(); });
}

bool Service::PassesColdGate(const UpstreamPtr& upstream, TimePoint now) const {
  if (limits_.cold_requests_per_second <= 0) return true;
  if (upstream->record().cold_until <= now) return true;
  const auto gate = cold_gates_.find(upstream.get());
  return gate == cold_gates_.end() || gate->second.Allows(cold_share_, now);
}

UpstreamPtr Service::Choose(std::span<const UpstreamPtr> tried,
                            bool even_backing_off, TimePoint now) {
  std::vector<ReplicaLoad> loads;
  std::vector<UpstreamPtr> candidates;
  for (const UpstreamPtr& upstream : upstreams_) {
    if (!upstream->usable() || !PassesColdGate(upstream, now)) continue;
    if (std::find(tried.begin(), tried.end(), upstream) != tried.end()) {
      continue;
    }
    loads.push_back(upstream->Load(typical_, now));
    if (even_backing_off) loads.back().backing_off = false;
    candidates.push_back(upstream);
  }
  const auto chosen = ChooseReplica(loads, rotation_++, choice_);
  if (!chosen) return nullptr;
  const UpstreamPtr& upstream = candidates[*chosen];
  if (limits_.cold_requests_per_second > 0 &&
      upstream->record().cold_until > now) {
    cold_gates_[upstream.get()].OnSent(now);
  }
  return upstream;
}

bool Service::Suspects(const UpstreamPtr& upstream, TimePoint now) const {
  return IsSuspect(upstream->Load(typical_, now), choice_);
}

void Service::NoteLatency(Duration latency) {
  typical_ += std::chrono::duration_cast<Duration>((latency - typical_) *
                                                   kTypicalWeight);
}

}  // namespace lacewingknot::edge
