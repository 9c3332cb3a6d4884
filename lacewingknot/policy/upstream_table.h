// What this daemon knows of every upstream, and the choice among replicas.
//
// The table joins the settings in force, the VM list, peers' claims and this
// daemon's own outcomes. It decides at the moment of sending: an attempt that
// waited is checked again, so that no work goes to an upstream that has been
// taken out, is leaving, or has turned cold meanwhile.
//
// Handles are dense, stay valid for the life of the table and are never used
// for another upstream.
//
// Not thread-safe: owned by the traffic thread.
//
// Example:
//   Result<Route> route = table.Choose(request, now);
//   if (route && table.CheckSend(route.value().upstream, now)) {
//     table.OnSent(route.value().upstream);
//     ...
//     table.OnAnswer(route.value().upstream, evidence, now);
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
#include "lacewingknot/policy/warmth.h"
#include "lacewingknot/settings/tree.h"

namespace lacewingknot {

using UpstreamHandle = std::uint32_t;
using IndexVersion = std::uint64_t;

// No version: an upstream may answer from any.
inline constexpr IndexVersion kAnyVersion = 0;

// A shard and the upstreams that hold it.
struct ShardTarget {
  std::string shard;
  std::vector<UpstreamHandle> replicas;
};

// Where an attempt goes. `relay` is the VM that sends it on; null to send it
// from here. It points into the VM list held by the table.
struct Route {
  UpstreamHandle upstream = 0;
  const VmEntry* relay = nullptr;
};

struct RouteRequest {
  std::span<const UpstreamHandle> replicas;
  IndexVersion version = kAnyVersion;
  std::span<const UpstreamHandle> tried;
  // Hedges and writes go only to an upstream that this daemon may use itself.
  bool direct_only = false;
  // Hedges go only to a warm upstream.
  bool warm_only = false;
};

// What an answer proves about the upstream that gave it.
struct AnswerEvidence {
  std::string_view instance;
  std::span<const IndexVersion> versions;
  Duration latency{};
};

// Why an upstream is or is not used now, for `lacewingknotctl explain`.
struct UpstreamStatus {
  std::string name;
  std::string service;
  std::string data_centre;
  std::string instance;
  std::int64_t level = 0;
  std::int64_t allowance = 0;
  std::int64_t in_flight = 0;
  bool owner = false;
  std::optional<ErrorType> refusal;
  std::string reason;
};

class UpstreamTable {
 public:
  struct Options {
    FleetView::Options fleet;
    std::uint64_t seed = 0;
    // Relaying is off where the daemon has no peers to relay through.
    bool relaying = true;
  };

  explicit UpstreamTable(const Options& options);

  // Puts settings or a list in force. Unchanged upstreams keep their state.
  void ApplySettings(SettingsPtr settings);
  void ApplyVmList(VmListPtr list, TimePoint at);
  // New work is allowed until `until`.
  void set_permit(TimePoint until) { permit_until_ = until; }
  FleetView& fleet() { return fleet_; }

  // Shards of `service`, or kUnknownService.
  Result<std::vector<ShardTarget>> Shards(std::string_view service) const;

  // The version that most shards can serve, the newest among equals;
  // kAnyVersion if nothing is known. `avoid` lists versions found gone.
  IndexVersion ChooseVersion(std::span<const ShardTarget> shards,
                             std::span<const IndexVersion> avoid,
                             TimePoint now) const;

  Result<Route> Choose(const RouteRequest& request, TimePoint now);

  // Whether work may be sent from here to `upstream` at `now`; the moment of
  // sending is the moment to ask.
  Result<void> CheckSend(UpstreamHandle upstream, TimePoint now) const;

  // Connections that this daemon may hold to `upstream`, in use or idle.
  std::int64_t ConnectionLimit(UpstreamHandle upstream, TimePoint now) const;

  void OnQueued(UpstreamHandle upstream, std::int64_t change);
  void OnSent(UpstreamHandle upstream);
  // The attempt counted by OnSent ended.
  void OnFinished(UpstreamHandle upstream);
  void OnAnswer(UpstreamHandle upstream, const AnswerEvidence& evidence,
                TimePoint now);
  void OnFailure(UpstreamHandle upstream, ErrorType type,
                 std::span<const IndexVersion> versions, TimePoint now);
  // Connections opened before and still open; `lost_last` if the other end
  // closed the last one.
  void OnConnections(UpstreamHandle upstream, std::size_t open, bool lost_last,
                     TimePoint now);
  void OnClaim(std::string_view upstream, const WarmthClaim& claim);

  // Upstreams with evidence to share, and what it is.
  std::vector<std::pair<std::string_view, WarmthClaim>> Claims() const;
  // Upstreams of which this daemon needs a peer's evidence.
  std::vector<std::string_view> Suspects(TimePoint now) const;

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
    bool present = false;  // Named by the settings in force.
    bool out = false;
    bool leaving = false;  // By the VM list.
    Warmth warmth;
    std::int64_t in_flight = 0;
    std::int64_t queued = 0;
    std::size_t open_connections = 0;
    std::vector<IndexVersion> versions;
    TimePoint draining_until{};
    TimePoint backoff_until{};
    int failures = 0;             // In a row.
    std::int64_t shed_limit = 0;  // 0: none.
    std::int64_t answers_since_shed = 0;
    double latency_micros = 0;
    TimePoint latency_at{};
  };

  // A replica that may be used, and how good a choice it is.
  struct Candidate {
    Route route;
    double cost = 0;
    bool warming = false;  // Idle, and not yet proved warm.
  };

  Placement PlacementOf(const Entry& entry) const;
  Warmth::Limits LimitsOf(const Entry& entry) const;
  std::int64_t Allowance(const Entry& entry, TimePoint now) const;
  std::optional<ErrorType> Refusal(const Entry& entry, TimePoint now) const;
  static void NoteLatency(Entry& entry, Duration latency, TimePoint now);
  static double ExpectedMicros(const Entry& entry, TimePoint now);
  Result<Candidate> Consider(UpstreamHandle upstream,
                             const RouteRequest& request, TimePoint now) const;
  bool Serves(const Entry& entry, IndexVersion version) const;
  void MarkLeaving();

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
