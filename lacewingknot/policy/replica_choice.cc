#include "lacewingknot/policy/replica_choice.h"

#include <algorithm>

namespace lacewingknot {
namespace {

// Fraction of the expected latency that each request sent or queued here adds,
// even while a slot appears free, because other daemons use the same slots
// unseen.
constexpr double kSharedSlotCost = 0.4;

Duration Scaled(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(duration * factor);
}

}  // namespace

ReplicaChoiceOptions ReplicaChoiceWithout(const MechanismSet& disabled) {
  ReplicaChoiceOptions options{
      .uses_suspicion = !disabled.Contains(Mechanism::kSuspicion),
      .uses_slowness = !disabled.Contains(Mechanism::kSlownessEstimate),
      .uses_backoff = !disabled.Contains(Mechanism::kBackoff),
      .declines = !disabled.Contains(Mechanism::kDeclining)};
  if (disabled.Contains(Mechanism::kRemotePenalty)) options.remote_penalty = {};
  if (disabled.Contains(Mechanism::kFailureShare)) options.failure_cost = {};
  return options;
}

bool IsSuspect(const ReplicaLoad& load, const ReplicaChoiceOptions& options) {
  if (!options.uses_suspicion || load.in_flight == 0) return false;
  const Duration overdue_age =
      std::max(options.min_suspect_age,
               Scaled(load.expected_latency, options.suspect_age_factor));
  return load.oldest_in_flight_age > overdue_age;
}

Duration ExpectedTime(const ReplicaLoad& load,
                      const ReplicaChoiceOptions& options) {
  const auto requests = static_cast<double>(load.in_flight + load.queued);
  const auto slots = static_cast<double>(std::max<std::int64_t>(load.slots, 1));
  const double waiting = std::max(0.0, requests + 1 - slots) / slots;
  Duration time =
      Scaled(load.expected_latency, 1 + waiting + kSharedSlotCost * requests);
  time += Scaled(options.failure_cost, load.failure_share);
  if (!load.is_local) time += options.remote_penalty;
  if (IsSuspect(load, options)) time += load.oldest_in_flight_age;
  return time;
}

std::optional<std::size_t> ChooseReplica(std::span<const ReplicaLoad> replicas,
                                         std::size_t rotation,
                                         const ReplicaChoiceOptions& options) {
  std::optional<std::size_t> best;
  Duration best_time{};
  for (std::size_t step = 0; step < replicas.size(); ++step) {
    const std::size_t i = (rotation + step) % replicas.size();
    if (replicas[i].is_backing_off) continue;
    const Duration time = ExpectedTime(replicas[i], options);
    if (best && time >= best_time) continue;
    best = i;
    best_time = time;
  }
  return best;
}

bool ShouldDecline(const ReplicaLoad& best, Duration mean_latency,
                   const ReplicaChoiceOptions& options) {
  if (!options.declines) return false;
  if (best.is_backing_off || IsSuspect(best, options)) return true;
  return ExpectedTime(best, options) >
         Scaled(mean_latency, options.decline_factor) + options.remote_penalty;
}

bool FailsTooOften(const ReplicaLoad& best,
                   const ReplicaChoiceOptions& options) {
  return options.declines && best.failure_share > options.max_failure_share;
}

}  // namespace lacewingknot
