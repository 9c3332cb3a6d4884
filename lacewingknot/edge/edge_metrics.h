// Prometheus counters, gauges and latency histograms of the edge.
//
// Requests are labelled by route. At most kMaxRouteLabels routes get a label of
// their own, which bounds the number of time series; all others share the label
// "other". Learned limits are labelled by service in the same way.
//
// Thread-safe.

#ifndef LACEWINGKNOT_EDGE_EDGE_METRICS_H_
#define LACEWINGKNOT_EDGE_EDGE_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "lacewingknot/base/clock.h"
#include "lacewingknot/edge/attempt.h"
#include "lacewingknot/edge/team_requests.h"

namespace lacewingknot::edge {

class EdgeMetrics {
 public:
  EdgeMetrics();

  // `outcome`: complete, partial, refused, failed or abandoned.
  void OnRequest(std::string_view route, std::string_view outcome,
                 Duration latency);
  // Counts a request that was rejected before it had been read.
  void OnRejection(std::string_view cause);
  // Counts a request that was answered 401.
  void OnUnauthorized(std::string_view cause);
  // A request of a team with a quota was decided: allowed or refused, or
  // fallback_allowed or fallback_refused without a keeper.
  void OnQuotaDecision(std::string_view outcome);
  void OnQuotaTakeover();
  void OnQuotaMessageDropped();
  // Counts a request of a team; `outcome` as in OnRequest().
  void OnTeamRequest(std::string_view team, std::string_view outcome);
  void OnAttempt(AttemptKind kind, AttemptEnd end, Duration latency);
  // Counts an attempt that was delegated to a relay, by its outcome.
  void OnRelayed(AttemptEnd end);
  void OnExtraAttemptDenied(std::string_view reason);
  void OnReplicaPassedOver(std::string_view reason);
  // Other daemons reported `reports` statements, `news` of which were news.
  void OnStatementReports(std::size_t reports, std::size_t news);
  // An upstream stated a value that makes no sense.
  void OnStatementMalformed();
  // All replicas withheld themselves from a request or shard: it "waits", or
  // waiting would take it "too_late".
  void OnWait(std::string_view outcome);
  // A request was refused although a request of another team would not have
  // been, because its team exceeds its fair share: by "admission" or in a
  // "queue".
  void OnFairnessRefusal(std::string_view where);
  // An answer was dropped because of its size, for `cause`.
  void OnAnswerDropped(std::string_view cause);
  void OnUpstreamHealthChange(std::string_view health);
  void OnConnectionOpened();
  // Returns a function that records attempts at an upstream of `service` with a
  // learned limit of requests in flight. It must not outlive this object.
  std::function<void(const AttemptObservation& observation)> MakeLimitObserver(
      std::string_view service);
  // An `outcome` of "ok" confirms what is known of the store.
  void OnStoreCall(std::string_view outcome);
  // A message of the store's contents was `direction`, "sent" or "received".
  // `kind`: "snapshot", "changes", "confirmation" or "refused".
  void OnContentsMessage(std::string_view direction, std::string_view kind);
  // The source of the contents was left for `reason`, and another peer or the
  // store is asked.
  void OnContentsSourceLeft(std::string_view reason);
  // No peer was a fit source, and the store was called.
  void OnContentsFallback();
  void set_contents_from_peer(bool from_peer);
  // The store has confirmed the contents at `at`, to this daemon or a peer.
  void set_store_confirmed_at(TimePoint at);
  // An answer of the store stated its epoch wrongly, for `cause`.
  void OnStoreEpochInvalid(std::string_view cause);
  void set_store_epoch(std::uint64_t epoch);
  void set_config_version(std::uint64_t version);
  void set_upstreams(std::size_t known);
  void set_ready(bool ready);
  void set_fleet_size(std::size_t peers);

  // Time since the store last answered; empty if it never did.
  std::optional<Duration> StoreConfirmationAge(TimePoint now) const;

  // All metrics in the Prometheus text format.
  std::string Render() const;

 private:
  // Most routes with a label of their own.
  static constexpr std::size_t kMaxRouteLabels = 64;

  // Most services with a label of their own.
  static constexpr std::size_t kMaxServiceLabels = 64;

  std::string RouteLabel(std::string_view route);
  std::string ServiceLabel(std::string_view service);

  std::mutex mutex_;
  std::map<std::string, int, std::less<>> routes_;  // Guarded by mutex_.
  std::set<std::string, std::less<>> services_;     // Guarded by mutex_.
  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Family<prometheus::Histogram>& request_seconds_;
  prometheus::Family<prometheus::Counter>& rejections_;
  prometheus::Family<prometheus::Counter>& unauthorized_;
  prometheus::Family<prometheus::Counter>& quota_decisions_;
  prometheus::Counter& quota_takeovers_;
  prometheus::Counter& quota_messages_dropped_;
  TeamRequests team_requests_;
  // Indexed by kind, then by end. Looked up only once, because every attempt is
  // counted here.
  std::array<std::array<prometheus::Counter*, kAttemptEndCount>,
             kAttemptKindCount>
      attempts_{};
  std::array<prometheus::Histogram*, kAttemptKindCount> attempt_seconds_{};
  std::array<prometheus::Counter*, kAttemptEndCount> relayed_attempts_{};
  prometheus::Family<prometheus::Counter>& hedges_denied_;
  prometheus::Family<prometheus::Counter>& passed_over_;
  prometheus::Counter& malformed_statements_;
  prometheus::Family<prometheus::Counter>& statement_reports_;
  prometheus::Family<prometheus::Counter>& waits_;
  prometheus::Family<prometheus::Counter>& fairness_refusals_;
  prometheus::Family<prometheus::Counter>& answers_dropped_;
  prometheus::Family<prometheus::Counter>& health_changes_;
  prometheus::Family<prometheus::Counter>& store_calls_;
  prometheus::Family<prometheus::Counter>& contents_messages_;
  prometheus::Family<prometheus::Counter>& contents_sources_left_;
  prometheus::Counter& contents_fallbacks_;
  prometheus::Gauge& contents_from_peer_;
  prometheus::Family<prometheus::Counter>& store_epochs_invalid_;
  prometheus::Gauge& store_epoch_;
  prometheus::Family<prometheus::Histogram>& limits_;
  prometheus::Family<prometheus::Histogram>& depths_;
  prometheus::Family<prometheus::Histogram>& time_multiples_;
  prometheus::Counter& connections_opened_;
  prometheus::Gauge& config_version_;
  prometheus::Gauge& upstreams_;
  prometheus::Gauge& ready_;
  prometheus::Gauge& peers_;
  prometheus::Gauge& store_confirmation_age_;  // Set by Render().
  // In ticks of the clock; 0 before the first answer.
  std::atomic<TimePoint::rep> store_confirmed_at_ = 0;
};

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_EDGE_METRICS_H_
