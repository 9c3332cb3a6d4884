// The routes and upstreams in force, resolved for use by requests.
//
// EdgeDaemon passes new routing tables and directories to EdgeCore, which
// resolves the names in them to Service and Upstream objects. A request keeps
// the BoundTable with which it began until it ends.
//
// Not thread-safe: runs on the traffic thread.

#ifndef LACEWINGKNOT_EDGE_EDGE_CORE_H_
#define LACEWINGKNOT_EDGE_EDGE_CORE_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "lacewingknot/base/log_throttle.h"
#include "lacewingknot/edge/edge_metrics.h"
#include "lacewingknot/edge/header_names.h"
#include "lacewingknot/edge/relay_table.h"
#include "lacewingknot/edge/routing_table.h"
#include "lacewingknot/edge/service.h"
#include "lacewingknot/edge/team_quotas.h"
#include "lacewingknot/edge/timer_queue.h"
#include "lacewingknot/edge/upstream_directory.h"
#include "lacewingknot/policy/answer_budget.h"
#include "lacewingknot/policy/demand_shares.h"
#include "lacewingknot/policy/latency_window.h"
#include "lacewingknot/policy/mechanisms.h"
#include "lacewingknot/policy/query_admission.h"
#include "lacewingknot/policy/statement_table.h"
#include "lacewingknot/policy/weighted_round_robin.h"

namespace lacewingknot::edge {

// Latency statistics of a route. They outlive versions of the configuration.
class RouteLatencyStats {
 public:
  explicit RouteLatencyStats(Duration target_latency);

  // Records the latency of an attempt that was answered.
  void RecordAttemptLatency(Duration latency);
  // Records the time from a query's start to a shard's answer, whichever
  // attempt gave it, or to the query's end if there was none. Latencies of the
  // answered attempts alone would omit slow attempts that a hedge overtook: the
  // hedge delay would fall, and hedges would overtake even more attempts.
  void RecordShardLatency(Duration since_start);

  // Mean latency of an attempt.
  Duration mean_latency() const { return mean_latency_; }

  // Time after which a first attempt is hedged, between bounds derived from the
  // route's latency objective.
  Duration HedgeDelay(Duration target_latency);

 private:
  LatencyWindow window_;
  std::size_t samples_since_update_ = 0;
  Duration mean_latency_;
  Duration hedge_quantile_{};  // Zero until enough samples were recorded.
};

// A route with its service names resolved.
struct BoundRoute {
  const RouteSpec* spec = nullptr;
  std::vector<ServicePtr> services;  // Of the spec's targets or shards.
  std::shared_ptr<WeightedRoundRobin> target_selector;  // Among `targets`.
  std::shared_ptr<RouteLatencyStats> latency_stats;
  std::shared_ptr<QueryAdmission> admission;
};

// One version of the routes. Shares ownership of the table and services that
// the routes refer to.
struct BoundTable {
  std::shared_ptr<const RoutingTable> table;
  std::vector<BoundRoute> routes;  // In the order of `table`.
  TimePoint in_force_since{};

  const BoundRoute* Find(std::string_view host, std::string_view path) const;
};

class EdgeCore {
 public:
  struct Options {
    boost::asio::io_context* io = nullptr;
    const HeaderNames* names = nullptr;
    EdgeMetrics* metrics = nullptr;
    std::string vm;
    // Start of the process. This daemon's share of extra attempts grows from
    // then on.
    TimePoint started_at = BootClock::now();
    std::string data_centre;
    // Limit on extra attempts of the whole fleet at one service: `extra_ratio`
    // of its requests plus `extra_attempts` per window.
    double extra_ratio = 0;
    double extra_attempts = 0;
    MechanismSet disabled;  // Mechanisms that operators switched off.
    // Whether limits of requests in flight are learned, unless the mechanism is
    // switched off.
    bool concurrency_limit = false;
    // Called when a query is refused because the directory holds too few
    // upstreams.
    std::function<void()> on_upstreams_lacking = [] {};
    // Called with what upstreams say that other daemons should be told.
    std::function<void(std::vector<StatementReport> reports)> on_statements =
        [](const auto&) {};
    // What quotas of teams tolerate; empty: none are enforced.
    std::optional<QuotaBounds> quota_bounds;
    // This daemon's address among the members.
    std::string address;
    // Called with asks for tokens of teams, for their keepers. If empty, this
    // daemon is the only one.
    std::function<void(std::vector<OutgoingQuotaMessage> messages)>
        on_quota_messages;
    // Called with this daemon's demand for upstreams that state rates, for
    // their keepers.
    std::function<void(std::vector<DemandReport> reports)> on_demands =
        [](const auto&) {};
  };

  explicit EdgeCore(Options options);

  void ApplyRouting(const std::shared_ptr<const RoutingTable>& table);
  void ApplyDirectory(std::shared_ptr<const Directory> directory);
  // Starts keeping a connection open to the first replica of every shard.
  void StartPreconnecting();
  // Sets the daemons that may be relays; `self` is this daemon's address.
  void set_members(const RelayCandidates& members, const std::string& self);
  // Sets the number of daemons that are considered alive. Limits of the whole
  // fleet are divided by it.
  void set_fleet_size(std::size_t size);

  // Applies what daemon `from` reports of upstreams; what is news is passed on.
  void ApplyStatements(std::span<const StatementReport> reports,
                       std::string_view from);
  // Applies the keepers' answers to reported demand.
  void ApplyDemandSums(std::span<const DemandSum> sums);
  // Returns what is known of upstreams for a daemon that has just started; the
  // latest `max` reports, computed anew a few times a second.
  std::vector<StatementReport> LatestStatements(std::size_t max, TimePoint now);

  // Sets the callback for a routing table, in force by then, that withdrew keys
  // of teams.
  void set_on_keys_withdrawn(std::function<void()> callback) {
    on_keys_withdrawn_ = std::move(callback);
  }

  // The daemon stops and answers every request before `end`.
  void set_final_deadline(TimePoint end) { final_deadline_ = end; }
  // TimePoint::max() unless the daemon stops.
  TimePoint final_deadline() const { return final_deadline_; }

  void OnUpstreamsLacking() const { options_.on_upstreams_lacking(); }
  // A request was refused because `team` exceeds its fair share, by "admission"
  // to the route `name` or in the "queue" of the service `name`.
  void OnFairnessRefusal(std::string_view team, std::string_view where,
                         std::string_view name);
  // Enforces quotas from now on, as Options::quota_bounds does.
  void EnforceQuotas(const QuotaBounds& bounds);
  // Null if no quotas are enforced.
  TeamQuotas* team_quotas() { return team_quotas_ ? &*team_quotas_ : nullptr; }
  const TeamQuotas* team_quotas() const {
    return team_quotas_ ? &*team_quotas_ : nullptr;
  }
  bool is_enabled(Mechanism mechanism) const {
    return !options_.disabled.Contains(mechanism);
  }

  // Null until the first routing table.
  std::shared_ptr<const BoundTable> routes() const { return routes_; }
  // Limits the bytes that clients and entry daemons have not read yet, or sent
  // of incomplete frames.
  const std::shared_ptr<AnswerBudget>& unread_budget() const {
    return unread_budget_;
  }
  // Limits the bytes of answers that upstreams and relays have sent.
  const std::shared_ptr<AnswerBudget>& answer_budget() const {
    return answer_budget_;
  }
  const RelayTable& relay_table() const { return relays_; }
  const std::string& vm() const { return options_.vm; }
  const std::string& data_centre() const { return options_.data_centre; }
  // Null if neither a route nor an upstream names the service.
  ServicePtr FindService(std::string_view name) const;
  const Directory* directory() const { return directory_.get(); }

  boost::asio::io_context& io() { return *options_.io; }
  TimerQueue& timers() { return timers_; }
  const TimerQueue& timers() const { return timers_; }
  const HeaderNames& names() const { return *options_.names; }
  EdgeMetrics& metrics() { return *options_.metrics; }
  const EdgeMetrics& metrics() const { return *options_.metrics; }
  // Returns a number that is unique among the queries of this daemon.
  std::uint64_t NextQueryNumber() { return ++last_query_number_; }
  // Returns what NextQueryNumber() will return.
  std::uint64_t upcoming_query_number() const { return last_query_number_ + 1; }

 private:
  // Fractions of the fleet's extra-load ratio and base allowance that are used.
  // The rest covers daemons that disagree about the fleet's size, and daemons
  // that restart.
  static constexpr double kRatioSafetyFactor = 0.85;
  static constexpr double kBaseSafetyFactor = 0.8;
  // The fleet is assumed to have at least this many daemons, to allow for
  // daemons that gossip has not reported yet and VMs that may be added.
  static constexpr std::size_t kMinFleetSize = 8;

  // Interval of checks for missing connections, and the most that one check
  // opens: an opening connection briefly occupies a slot of the upstream.
  static constexpr Duration kPreconnectInterval =
      std::chrono::milliseconds(250);
  static constexpr std::size_t kMaxPreconnectsPerInterval = 16;
  // How long the latest statements are used again: many daemons may start at
  // the same time.
  static constexpr Duration kLatestStatementsLifetime =
      std::chrono::milliseconds(250);
  // Least time between two logged events of a kind that may come with every
  // request.
  static constexpr Duration kLogInterval = std::chrono::seconds(1);
  // Interval of checks for due reports of demand.
  static constexpr Duration kDemandCheckInterval =
      std::chrono::milliseconds(250);

  // Counts and logs an answer that was dropped because of its size.
  void OnAnswerDropped(std::string_view from, std::string_view cause,
                       std::size_t bytes);
  // Logs how `table` changes the teams; returns whether it withdraws keys.
  bool LogTeamChanges(const RoutingTable& table) const;
  // Logs that the limit of requests in flight at an upstream has changed.
  void OnLimitChange(const UpstreamRecord& about, std::int64_t from,
                     std::int64_t to);
  void Preconnect();
  ServicePtr FindOrCreateService(const std::string& name);
  void AddUpstream(const UpstreamRecord& record);
  void RemoveUpstream(const std::string& id);
  void OnStatementChange(const UpstreamRecord& about, const UpstreamGate& gate,
                         const UpstreamGate::Changes& changes,
                         std::string_view from);
  void ReportDemands();
  void UpdateUsable();
  // Passes the data centres that hold replicas of shards to the relay table.
  void UpdateReplicaDataCentres();
  // Sets the relay table's mode from the connections that shards allow.
  void UpdateRelayMode();
  void ApplyShares(Service& service);
  void ApplyAllShares();
  // This daemon's share of `allowance`, the fleet's limit at `service`.
  double OwnShare(const Service& service, double allowance) const;

  Options options_;
  TimerQueue timers_;
  std::shared_ptr<AnswerBudget> answer_budget_ =
      std::make_shared<AnswerBudget>(AnswerBudget::Options{});
  std::shared_ptr<AnswerBudget> unread_budget_ =
      std::make_shared<AnswerBudget>(AnswerBudget::Options{});
  LogThrottle answer_dropped_log_{kLogInterval};
  LogThrottle limit_change_log_{kLogInterval};
  LogThrottle fairness_refusal_log_{kLogInterval};
  std::shared_ptr<const BoundTable> routes_;
  std::shared_ptr<const Directory> directory_;
  std::map<std::string, ServicePtr, std::less<>> services_;
  std::map<std::string, UpstreamPtr, std::less<>> upstreams_;
  // Names of all services that have been shards of a route.
  std::set<std::string> shard_services_;
  std::map<std::string, std::shared_ptr<RouteLatencyStats>, std::less<>>
      latency_stats_;
  std::map<std::string, std::shared_ptr<QueryAdmission>, std::less<>>
      admissions_;  // By route; they outlive versions like `latency_stats_`.
  StatementTable statements_;
  std::vector<StatementReport> latest_statements_;
  TimePoint latest_statements_at_{};
  bool reports_demands_ = false;
  RelayTable relays_;
  std::optional<TeamQuotas> team_quotas_;
  std::size_t fleet_size_ = kMinFleetSize;
  std::uint64_t last_query_number_ = 0;
  TimePoint final_deadline_ = TimePoint::max();
  std::function<void()> on_keys_withdrawn_ = [] {};
};

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_EDGE_CORE_H_
