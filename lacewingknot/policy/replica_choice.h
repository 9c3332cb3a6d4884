// Selection of one replica among those that hold the same shard.
//
// Load pattern: queries over many shards, each held by two or three replicas
// with two slots. Each replica pauses for a moment every few seconds, and some
// are many times slower than the rest. Random selection hits a paused replica
// in more than half of all queries over 20 shards.
//
// The replica with the least expected time is selected. A replica with an
// overdue request in flight is suspect: it is expected to take as long again as
// it has been unresponsive so far. The requests in flight serve as the probe
// that ends the suspicion, so a paused replica gets no further requests until
// it responds.
//
// At other times half of the replicas refuse nearly half of their requests for
// ten seconds. Each refusal costs an extra attempt, and their budget lasts for
// a few seconds only. A first attempt is then better made at a replica that
// takes its requests: that costs no extra attempt (FailsTooOften).
//
// No I/O and no clock.
//
// Example:
//   const auto chosen = ChooseReplica(loads, rotation++, options);
//   if (chosen) Send(replicas[*chosen]);

#ifndef LACEWINGKNOT_POLICY_REPLICA_CHOICE_H_
#define LACEWINGKNOT_POLICY_REPLICA_CHOICE_H_

#include <cstdint>
#include <optional>
#include <span>

#include "lacewingknot/base/clock.h"
#include "lacewingknot/policy/mechanisms.h"

namespace lacewingknot {

// The load of one replica as this daemon observes it.
struct ReplicaLoad {
  Duration expected_latency{};  // Latency of one request, from recent ones.
  std::int64_t in_flight = 0;
  std::int64_t queued = 0;  // Requests that wait here for a connection.
  std::int64_t slots = 1;   // Requests that the replica executes in parallel.
  Duration oldest_in_flight_age{};  // Age of the oldest request in flight.
  double failure_share = 0;  // Recent fraction of failed requests, 0 to 1.
  bool is_local = false;     // Runs in this daemon's data centre.
  // Temporarily excluded, because it recently refused or broke connections.
  bool is_backing_off = false;
  // Requests in flight that it handles well, and the time of one more request
  // (policy/concurrency_limit.h); empty if this is not estimated.
  std::optional<std::int64_t> limit;
  std::optional<Duration> time_at_next_depth;
};

struct ReplicaChoiceOptions {
  // Latency that a replica in another data centre must save to be preferred. It
  // accounts for the cost of traffic between data centres.
  Duration remote_penalty = std::chrono::milliseconds(14);
  // A replica is suspect if its oldest request in flight is older than this
  // multiple of the expected latency.
  double suspect_age_factor = 1.8;
  // Cost of a failed request: the time until its retry is answered.
  Duration failure_cost = std::chrono::milliseconds(60);
  // A first attempt is declined if its expected time exceeds this multiple of
  // the mean latency plus remote_penalty.
  double decline_factor = 2.5;
  // A first attempt is declined if a larger share of the replica's recent
  // requests failed. It should be the share of requests that the budget for
  // extra attempts can repeat for as long as the failures last.
  double max_failure_share = 1;
  // Minimum age of the oldest request in flight for a suspicion, so that short
  // requests do not cause one.
  Duration min_suspect_age = std::chrono::milliseconds(20);
  // Whether each of these observations counts (policy/mechanisms.h).
  bool uses_suspicion = true;
  bool uses_slowness = true;
  bool uses_backoff = true;
  bool declines = true;
};

// Returns the options without the mechanisms in `disabled`.
ReplicaChoiceOptions ReplicaChoiceWithout(const MechanismSet& disabled);

// Returns whether the replica has a request in flight that is overdue.
bool IsSuspect(const ReplicaLoad& load, const ReplicaChoiceOptions& options);

// Returns the multiple of the expected latency that a request takes if
// `requests` others are in flight or queued, without any estimate for the
// replica.
double DepthFactor(std::int64_t requests, std::int64_t slots);

// Returns whether the replica is below its limit and responds. True without a
// limit.
bool HasRoom(const ReplicaLoad& load, const ReplicaChoiceOptions& options);

// Returns the expected time of one more request to the replica.
Duration ExpectedTime(const ReplicaLoad& load,
                      const ReplicaChoiceOptions& options);

// Returns the index of the replica to use; empty if all of them are backing
// off. Replicas without room are used if no other is left. `rotation` breaks
// ties, so that equal replicas share the requests.
std::optional<std::size_t> ChooseReplica(std::span<const ReplicaLoad> replicas,
                                         std::size_t rotation,
                                         const ReplicaChoiceOptions& options);

// Returns whether a relay should decline a first attempt, so that it is made in
// the data centre of another replica. `best` is the best replica in the relay's
// own data centre, the only one that the relay may use; `mean_latency` is that
// of such requests. The load in other data centres is unknown here, so load
// alone is no reason to decline.
bool ShouldDecline(const ReplicaLoad& best, Duration mean_latency,
                   const ReplicaChoiceOptions& options);

// Returns whether a relay should decline a first attempt at `best` because its
// failures would use up the budget for extra attempts.
bool FailsTooOften(const ReplicaLoad& best,
                   const ReplicaChoiceOptions& options);

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_REPLICA_CHOICE_H_
