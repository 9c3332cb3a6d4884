// Explains to operators where a request would go now, and why, without sending
// it.
//
// The explanation uses the decisions of the request path (request_decisions.h,
// Service::PreviewAttempt()) and changes no state: it takes no token, draws no
// lot, moves no rotation, counts no demand and sends nothing. The key is used
// for the look-up of the team only and is not part of the result.
//
// Not thread-safe: ExplainRequest() runs on the traffic thread. Its result is a
// value that any thread may use.
//
// Example:
//   const RequestExplanation explanation = ExplainRequest(
//       core, {.host = "shop.example", .target = "/search/1"},
//       BootClock::now());

#ifndef LACEWINGKNOT_EDGE_REQUEST_EXPLANATION_H_
#define LACEWINGKNOT_EDGE_REQUEST_EXPLANATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "lacewingknot/edge/edge_core.h"
#include "lacewingknot/edge/explanation.h"

namespace lacewingknot::edge {

struct RequestToExplain {
  std::string host;
  std::string target;
  std::vector<std::string> credentials;  // Values of Authorization headers.
};

struct ReplicaExplanation {
  UpstreamExplanation upstream;
  // Why the choice of a replica passes it over; empty if it is a candidate.
  std::string_view passed_over;
  bool is_chosen = false;
  // Time of one more request by which candidates are compared.
  std::int64_t expected_us = 0;
  bool has_room = true;  // Below its limit and responding.
};

// Where a single request, or a query's attempt at one shard, would go.
struct PlacementExplanation {
  // One of: direct, relay, waits, none.
  std::string_view placement = "none";
  std::string_view cause;  // Why it waits or goes nowhere.
  std::string service;
  std::string relay;        // IP:PORT of the relay.
  std::string data_centre;  // Of the relay or the chosen replica.
  // Id of the chosen replica; empty if a relay chooses it.
  std::string chosen;
  // When a waiting request may expect to start.
  std::optional<std::int64_t> starts_in_ms;
  double extra_attempts_left = 0;
  std::size_t usable_replicas = 0;
  std::size_t all_replicas = 0;
  // The first kMaxReplicas in the order of preference.
  std::vector<ReplicaExplanation> replicas;

  static constexpr std::size_t kMaxReplicas = 8;
};

struct RequestExplanation {
  struct Configuration {
    std::uint64_t version = 0;
    std::uint64_t revision = 0;
    std::int64_t in_force_ms = 0;  // Since it came into force here.
    std::uint64_t upstreams_revision = 0;
    std::int64_t upstreams_age_ms = 0;  // Since the store confirmed them.
  };
  struct Route {
    std::string name;
    std::string host;
    std::string prefix;
    std::string_view kind;  // "single" or "gathered".
    bool may_repeat = false;
    bool is_public = false;
    std::int64_t priority = 0;
    std::int64_t objective_ms = 0;
    std::int64_t timeout_ms = 0;
    std::size_t targets = 0;  // Services among which requests are divided.
    double min_coverage = 0;
  };
  struct Quota {
    // One of: not_limited, not_enforced, allowed, asks_keeper, refused.
    std::string_view state = "not_limited";
    std::uint32_t held_tokens = 0;
    bool is_without_keeper = false;  // Decided without a keeper.
  };
  struct Admission {
    double refused_share = 0;
    bool admits = true;
  };
  struct Shards {
    std::size_t total = 0;
    std::size_t direct = 0;
    std::size_t relay = 0;
    std::size_t waits = 0;
    std::size_t none = 0;
  };
  struct Verdict {
    // One of: sent, waits, refused, fails. A request that fails may have run.
    std::string_view outcome = "sent";
    int status = 0;  // 0 if the answer is the upstreams'.
    std::string_view cause;
    std::optional<std::int64_t> retry_after_ms;
    std::optional<std::int64_t> starts_in_ms;  // Of a request that waits.
  };

  std::string vm;
  std::string data_centre;
  std::optional<std::int64_t> store_confirmed_ms;  // Age of its last word.
  std::optional<Configuration> configuration;
  std::optional<Route> route;
  std::optional<Team> team;
  std::optional<Quota> quota;          // After access was granted.
  std::optional<Admission> admission;  // Of gathered queries.
  std::optional<Shards> shards;
  // The service, or at most kMaxShards shards, those in trouble first.
  std::vector<PlacementExplanation> placements;
  Verdict verdict;

  static constexpr std::size_t kMaxShards = 8;
};

// Explains a request that arrives at `now` on an open connection, without a
// deadline of the client.
RequestExplanation ExplainRequest(const EdgeCore& core,
                                  const RequestToExplain& request,
                                  TimePoint now);

// Returns one JSON object.
std::string ToJson(const RequestExplanation& explanation);

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_REQUEST_EXPLANATION_H_
