// The state of every upstream as this daemon knows it, and the choice among the
// replicas of a shard.
//
// The table joins the settings in force, the VM list, peers' warm-up reports
// and the outcomes of this daemon's own attempts. Its decisions hold for the
// moment of sending only: an attempt that waited in a queue is checked again,
// so that nothing is sent to an upstream that has been taken out, is leaving,
// or is presumed cold since.
//
// Load pattern: each shard is held by a few replicas. Some are slow, shed
// requests, drain or have just restarted.
//
// Handles are dense, stay valid for the life of the table and are never used
// for another upstream.
//
// Not thread-safe: owned by the traffic thread.
//
// Example:
//   Result<Route> route = table.ChooseRoute(request, now);
//   if (route && table.CheckSend(route.value().upstream, now)) {
//     table.OnSent(route.value().upstream);
//     ...
//     table.OnFinished(route.value().upstream);
//     table.OnAnswer(route.value().upstream, observation, now);
//   }

#ifndef LACEWINGKNOT_POLICY_UPSTREAM_TABLE_H_
#define LACEWINGKNOT_POLICY_UPSTREAM_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "lacewingknot/base/error.h"
#include "lacewingknot/policy/fleet_view.h"
#include "lacewingknot/policy/warmup_state.h"
#include "lacewingknot/settings/tree.h"

namespace lacewingknot {

using UpstreamHandle = std::uint32_t;
using IndexVersion = std::uint64_t;

// Stands for no particular version: an upstream may answer from any.
inline constexpr IndexVersion kAnyVersion = 0;

// A shard and the upstreams that hold it.
struct ShardTarget {
  std::string shard;
  std::vector<UpstreamHandle> replicas;
};

// The destination of an attempt. `relay` is the VM whose daemon forwards it,
// null to send it from this daemon; it points into the VM list held by the
// table.
struct Route {
  UpstreamHandle upstream = 0;
  const VmEntry* relay = nullptr;
};

// The conditions on the route of an attempt.
struct RouteRequest {
  std::span<const UpstreamHandle> replicas;
  IndexVersion version = kAnyVersion;
  std::span<const UpstreamHandle> tried;  // Not to be chosen again.
  // Excludes relays; set for hedges and writes.
  bool direct_only = false;
  // Excludes upstreams that are not warm; set for hedges.
  bool warm_only = false;
};

// The state of an upstream that can be seen from one of its answers.
struct AnswerObservation {
  std::string_view instance;
  std::span<const IndexVersion> versions;  // All that it can serve.
  Duration latency{};
};

// The state of an upstream and why it is or is not used now, for
// `lacewingknotctl explain`.
struct UpstreamStatus {
  std::string name;
  std::string service;
  std::string data_centre;
  std::string instance;
  std::int64_t level = 0;
  std::int64_t allowance = 0;
  std::int64_t in_flight = 0;
  bool is_owner = false;  // Whether this daemon is its owner.
  std::optional<ErrorType>
      unavailable_reason;  // Set if it may get no attempts.
  std::string reason;      // For people.
};

class UpstreamTable {
 public:
  struct Options {
    FleetView::Options fleet;
    std::uint64_t seed = 0;
    // False for a daemon that has no peers to relay through.
    bool relaying = true;
  };

  explicit UpstreamTable(const Options& options);

  // Puts settings or a VM list in force. Upstreams keep their state, but one
  // whose address has changed starts cold.
  void ApplySettings(SettingsPtr settings);
  void ApplyVmList(VmListPtr list, TimePoint at);
  // Allows new attempts until `until` (policy/work_permit.h).
  void set_permit_until(TimePoint until) { permit_until_ = until; }
  FleetView& fleet() { return fleet_; }

  // Returns the shards of `service`; fails with kUnknownService if it has none.
  Result<std::vector<ShardTarget>> Shards(std::string_view service) const;

  // Returns the index version that most shards can serve, the newest among
  // equals; kAnyVersion if no version is known. `avoid` lists versions that
  // upstreams no longer have.
  IndexVersion ChooseVersion(std::span<const ShardTarget> shards,
                             std::span<const IndexVersion> avoid,
                             TimePoint now) const;

  // Returns the route with the least expected time that fulfils `request` (a
  // random one if the service sets this), a relay only if no replica can be
  // used directly. Fails with kNotReady if the
  // permit has expired, and with kVersionGone if this is why a replica was
  // excluded.
  Result<Route> ChooseRoute(const RouteRequest& request, TimePoint now);

  // Checks whether this daemon may send an attempt to `upstream` at `now`. To
  // be called immediately before sending.
  Result<void> CheckSend(UpstreamHandle upstream, TimePoint now) const;

  // Returns how many connections, in use or idle, this daemon may hold to
  // `upstream`.
  std::int64_t ConnectionLimit(UpstreamHandle upstream, TimePoint now) const;

  // `change` attempts were added to the queue for `upstream` (removed if
  // negative).
  void OnQueued(UpstreamHandle upstream, std::int64_t change);
  // An attempt was sent and is in flight.
  void OnSent(UpstreamHandle upstream);
  // The attempt counted by OnSent ended.
  void OnFinished(UpstreamHandle upstream);
  void OnAnswer(UpstreamHandle upstream, const AnswerObservation& observation,
                TimePoint now);
  // An attempt failed. `versions` are those that the upstream can serve; empty
  // if it did not report them.
  void OnFailure(UpstreamHandle upstream, ErrorType type,
                 std::span<const IndexVersion> versions, TimePoint now);
  // `open` connections that have carried an answer are open now. `lost_last` is
  // whether the upstream closed the last of its connections.
  void OnConnections(UpstreamHandle upstream, std::size_t open, bool lost_last,
                     TimePoint now);
  // Merges a peer's warm-up report.
  void OnPeerReport(std::string_view upstream, const WarmupReport& report);

  // Returns the warm-up reports for peers, by name of the upstream.
  std::vector<std::pair<std::string_view, WarmupReport>> WarmupReports() const;
  // Returns the upstreams for which this daemon needs a peer's warm-up report.
  std::vector<std::string_view> UpstreamsNeedingReports(TimePoint now) const;

  // Returns the upstream `name` of the settings in force, if there is one.
  std::optional<UpstreamHandle> Find(std::string_view name) const;
  std::string_view name(UpstreamHandle upstream) const;
  std::string_view address(UpstreamHandle upstream) const;
  std::string_view service(UpstreamHandle upstream) const;
  std::int64_t max_queue(UpstreamHandle upstream) const;
  const SettingsPtr& settings() const { return settings_; }
  UpstreamStatus Status(UpstreamHandle upstream, TimePoint now) const;

 private:
  struct Entry {
    UpstreamNode node;
    ServicePolicy policy;
    bool in_settings = false;  // In the settings in force.
    bool taken_out = false;    // By the operators.
    bool leaving = false;      // By the VM list.
    WarmupState warmup_state;
    std::int64_t in_flight = 0;
    std::int64_t queued = 0;
    std::size_t open_connections = 0;
    std::vector<IndexVersion> versions;  // Empty if not known.
    TimePoint draining_until{};
    TimePoint backoff_until{};
    int consecutive_connection_failures = 0;
    // AIMD limit of attempts in flight, set to half of them by the first shed
    // request and halved by each further one; 0 if there is none.
    std::int64_t shed_limit = 0;
    std::int64_t answers_since_limit_change = 0;
    double mean_latency_micros = 0;
    TimePoint latency_updated_at{};
  };

  // A replica that may be used; the one with the least cost is chosen.
  struct Candidate {
    Route route;
    double cost = 0;                  // Expected microseconds times the load.
    bool idle_while_warming = false;  // Needs attempts to become warm.
  };

  UpstreamPlacement PlacementOf(const Entry& entry) const;
  WarmupState::Limits LimitsOf(const Entry& entry) const;
  // Returns how many attempts this daemon may have in flight to the upstream.
  std::int64_t Allowance(const Entry& entry, TimePoint now) const;
  // Returns why the upstream gets no attempts, whatever its warm-up level;
  // empty if it may get some.
  std::optional<ErrorType> UnavailableReason(const Entry& entry,
                                             TimePoint now) const;
  static void RecordLatency(Entry& entry, Duration latency, TimePoint now);
  // Returns the expected latency of an attempt in microseconds.
  static double ExpectedMicros(const Entry& entry, TimePoint now);
  // Returns the route over one replica, or why it cannot be used.
  Result<Candidate> EvaluateReplica(UpstreamHandle upstream,
                                    const RouteRequest& request,
                                    TimePoint now) const;
  bool ServesVersion(const Entry& entry, IndexVersion version) const;
  void UpdateLeaving();

  Options options_;
  FleetView fleet_;
  SettingsPtr settings_;
  TimePoint permit_until_{};
  std::vector<std::unique_ptr<Entry>> entries_;
  std::map<std::string, UpstreamHandle, std::less<>> by_name_;
  std::map<std::string, std::vector<ShardTarget>, std::less<>> shards_;
  std::mt19937_64 random_;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_UPSTREAM_TABLE_H_
