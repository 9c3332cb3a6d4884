// Decisions on a request before anything of it is sent.
//
// Requests and explanations of requests (request_explanation.h) share them:
// they read the state of the daemon and change none. Callers record what
// follows from a decision.
//
// Not thread-safe: runs on the traffic thread.
//
// Example:
//   const auto routes = core.routes();
//   const AccessDecision decision =
//       DecideAccess(core, routes.get(), request, BootClock::now());
//   if (decision.is_refused()) return Refuse(decision);

#ifndef LACEWINGKNOT_EDGE_REQUEST_DECISIONS_H_
#define LACEWINGKNOT_EDGE_REQUEST_DECISIONS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "lacewingknot/edge/edge_core.h"
#include "lacewingknot/edge/team_table.h"

namespace lacewingknot::edge {

// Network time that a client's latency includes: 3 ms each way
// (docs/design/platform.md).
inline constexpr Duration kClientRoundTrip = std::chrono::milliseconds(6);
// Retry-After of a single request that no upstream could take in time.
inline constexpr Duration kSingleRetryAfter = std::chrono::milliseconds(250);
// Retry-After of a query refused because too few shards are available.
inline constexpr Duration kQueryRetryAfter = std::chrono::milliseconds(300);

// Causes of refusals in logs and explanations.
inline constexpr std::string_view kCauseNoConfiguration =
    "no_configuration_yet";
inline constexpr std::string_view kCauseNoRoute = "no_route";
inline constexpr std::string_view kCauseStopping = "stopping";
inline constexpr std::string_view kCauseOverQuota = "over_quota";
inline constexpr std::string_view kCauseOverload = "overload";
inline constexpr std::string_view kCauseTooFewShards = "too_few_shards";
inline constexpr std::string_view kCauseNotPlaceable = "no_replica_placeable";

// The route and the team of a request, or why it is refused before its team's
// quota is asked.
struct AccessDecision {
  const BoundRoute* route = nullptr;  // Null if none was found.
  TeamTable::Match team;
  int status = 0;          // Of the refusal; 0 if there is none.
  std::string_view cause;  // Of the refusal.
  std::optional<Duration> retry_after;

  bool is_refused() const { return status != 0; }
};
// `routes` is null before the first configuration; `credentials` are the values
// of the Authorization headers.
AccessDecision DecideAccess(const EdgeCore& core, const BoundTable* routes,
                            std::string_view host, std::string_view target,
                            const std::vector<std::string>& credentials,
                            TimePoint now);

// Whether a request of `team`, which may be null, needs a token of its quota.
bool NeedsQuotaToken(const EdgeCore& core, const Team* team);

// The team's priority, or else the route's. `team` may be null.
std::int64_t PriorityOf(const RouteSpec& spec, const Team* team);
// The team among those that share capacity that is short; empty if there is
// none or they do not. `team` may be null; the view refers to it.
std::string_view SharingTeamOf(const EdgeCore& core, const Team* team);

// The latest time for an answer: the client's deadline or the route's timeout,
// whichever is earlier, less a margin for the way back; earlier if the daemon
// stops.
TimePoint AnswerDeadline(const EdgeCore& core, const RouteSpec& spec,
                         std::optional<Duration> time_left,
                         TimePoint started_at);

// Latest start of a single request that waits for an upstream of `service`.
TimePoint LatestStartOfSingle(const Service& service, const RouteSpec& spec,
                              TimePoint started_at, TimePoint deadline);
// Retry-After of a single request that no upstream of `service` took.
Duration SingleRetryAfter(const Service& service, std::int64_t priority,
                          std::string_view team, TimePoint now);

// Latest time at which the answer to a query meets the route's objective.
TimePoint SoftDeadlineOfQuery(const EdgeCore& core, const BoundRoute& route,
                              TimePoint started_at, TimePoint deadline,
                              Duration client_round_trip);
// Latest start of an attempt at a shard that waits for a replica.
TimePoint LatestStartOfShard(const BoundRoute& route, TimePoint soft_deadline);

// Whether a query can start, apart from admission.
struct QueryStart {
  std::vector<bool> lacks_replica;  // By shard: it has no usable replica.
  std::size_t lacking = 0;          // Number of such shards.
  bool has_too_few_shards = false;
  // When the minimum coverage can be reached, if what replicas say of
  // themselves prevents it before.
  std::optional<TimePoint> withheld_until;
  // That is too late for the objective.
  bool is_withheld_too_long = false;
};
QueryStart DecideQueryStart(const BoundRoute& route, TimePoint soft_deadline,
                            TimePoint deadline, TimePoint now);
// Retry-After of a query that is refused before `until`.
Duration WithheldRetryAfter(TimePoint until, TimePoint now);
// Retry-After of a query that admission refuses.
Duration OverloadRetryAfter(std::uint64_t query_number);

// Returns the relay for the first attempt at a shard; none if this daemon
// chooses the replica itself.
RelayTable::Choice ChooseFirstRelay(const EdgeCore& core,
                                    const Service& service,
                                    std::uint64_t query_number, TimePoint now);
// Returns the relay through which this daemon queries `upstream`, which it has
// chosen itself; null if it does so directly.
RelayLinkPtr FindRelayBeside(const EdgeCore& core, const Service& service,
                             const Upstream& upstream,
                             std::uint64_t query_number, TimePoint now);

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_REQUEST_DECISIONS_H_
