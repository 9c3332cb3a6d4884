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

double DepthFactor(std::int64_t requests, std::int64_t slots) {
  const auto others = static_cast<double>(requests);
  const auto parallel = static_cast<double>(std::max<std::int64_t>(slots, 1));
  const double waiting = std::max(0.0, others + 1 - parallel) / parallel;
  return 1 + waiting + kSharedSlotCost * others;
}

bool HasRoom(const ReplicaLoad& load, const ReplicaChoiceOptions& options) {
  if (!load.limit) return true;
  return load.in_flight + load.queued < *load.limit &&
         !IsSuspect(load, options);
}

Duration ExpectedTime(const ReplicaLoad& load,
                      const ReplicaChoiceOptions& options) {
  Duration time = load.time_at_next_depth.value_or(
      Scaled(load.expected_latency,
             DepthFactor(load.in_flight + load.queued, load.slots)));
  time += Scaled(options.failure_cost, load.failure_share);
  if (!load.is_local) time += options.remote_penalty;
  if (IsSuspect(load, options)) time += load.oldest_in_flight_age;
  return time;
}

std::optional<std::size_t> ChooseReplica(std::span<const ReplicaLoad> replicas,
                                         std::size_t rotation,
                                         const ReplicaChoiceOptions& options) {
  std::optional<std::size_t> best;
  bool best_has_room = false;
  Duration best_time{};
  for (std::size_t step = 0; step < replicas.size(); ++step) {
    const std::size_t i = (rotation + step) % replicas.size();
    if (replicas[i].is_backing_off) continue;
    const Duration time = ExpectedTime(replicas[i], options);
    const bool has_room = HasRoom(replicas[i], options);
    if (best && (has_room == best_has_room ? time >= best_time : !has_room)) {
      continue;
    }
    best = i;
    best_has_room = has_room;
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
