// Prometheus counters, gauges and histograms of the query tier.
//
// Histograms are kept per service, because services differ in latency and in
// deadlines. docs/operators/metrics.md lists the names and labels.
// Thread-safe.
//
// Example:
//   Metrics metrics;
//   metrics.OnQuery("search", answer, std::chrono::milliseconds(12));
//   const std::string text = metrics.Render();

#ifndef LACEWINGKNOT_TRAFFIC_METRICS_H_
#define LACEWINGKNOT_TRAFFIC_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>
#include <string_view>

#include "lacewingknot/base/error.h"
#include "lacewingknot/policy/query_plan.h"
#include "lacewingknot/policy/write_plan.h"

namespace lacewingknot {

class Metrics {
 public:
  Metrics();

  void OnQuery(std::string_view service, const QueryAnswer& answer,
               Duration latency);
  void OnRefusal(std::string_view service, ErrorType type);
  void OnWrite(std::string_view service, WriteOutcome outcome,
               Duration latency);
  void OnAttemptFailure(std::string_view service, ErrorType type);
  // Counts sub-requests of other daemons that this daemon sends to upstreams.
  void OnRelayed(std::size_t items);
  // Counts answers to attempts that are no longer in flight.
  void OnLateEvents(std::size_t count);
  void OnPeerMessageRefused();
  void OnPlatformRead(bool answered);
  void OnSettings(std::string_view decision);
  void set_settings_revision(std::uint64_t revision);
  void set_ready(bool ready);

  // Returns all metrics in the Prometheus text format.
  std::string Render() const;

 private:
  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Histogram>& query_seconds_;
  prometheus::Family<prometheus::Histogram>& query_coverage_;
  prometheus::Family<prometheus::Histogram>& write_seconds_;
  prometheus::Family<prometheus::Counter>& queries_;
  prometheus::Family<prometheus::Counter>& attempts_;
  prometheus::Family<prometheus::Counter>& attempt_failures_;
  prometheus::Family<prometheus::Counter>& refusals_;
  prometheus::Family<prometheus::Counter>& writes_;
  prometheus::Family<prometheus::Counter>& platform_reads_;
  prometheus::Family<prometheus::Counter>& settings_;
  prometheus::Counter& relayed_;
  prometheus::Counter& late_events_;
  prometheus::Counter& peer_messages_refused_;
  prometheus::Gauge& settings_revision_;
  prometheus::Gauge& ready_;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_TRAFFIC_METRICS_H_
