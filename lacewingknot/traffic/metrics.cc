#include "lacewingknot/traffic/metrics.h"

#include <prometheus/text_serializer.h>

namespace lacewingknot {
namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;
using Buckets = prometheus::Histogram::BucketBoundaries;

const Buckets& LatencyBuckets() {
  static const Buckets buckets{0.001, 0.002, 0.004, 0.006, 0.008, 0.012, 0.016,
                               0.024, 0.032, 0.048, 0.064, 0.096, 0.128, 0.192,
                               0.256, 0.5,   1,     2,     5};
  return buckets;
}

const Buckets& CoverageBuckets() {
  static const Buckets buckets{0,    0.25, 0.5,  0.75,  0.9,
                               0.95, 0.98, 0.99, 0.999, 1};
  return buckets;
}

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

std::map<std::string, std::string> Labels(std::string_view name,
                                          std::string_view value) {
  return {{std::string(name), std::string(value)}};
}

std::map<std::string, std::string> ServiceLabels(std::string_view service,
                                                 std::string_view name,
                                                 std::string_view value) {
  return {{"service", std::string(service)},
          {std::string(name), std::string(value)}};
}

prometheus::Family<prometheus::Counter>& Counters(
    prometheus::Registry& registry, const std::string& name,
    const std::string& help) {
  return BuildCounter()
      .Name("lacewingknot_" + name)
      .Help(help)
      .Register(registry);
}

prometheus::Family<prometheus::Histogram>& Histograms(
    prometheus::Registry& registry, const std::string& name,
    const std::string& help) {
  return BuildHistogram()
      .Name("lacewingknot_" + name)
      .Help(help)
      .Register(registry);
}

prometheus::Gauge& Gauge(prometheus::Registry& registry,
                         const std::string& name, const std::string& help) {
  return BuildGauge()
      .Name("lacewingknot_" + name)
      .Help(help)
      .Register(registry)
      .Add({});
}

}  // namespace

Metrics::Metrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      query_seconds_(Histograms(*registry_, "query_seconds",
                                "Time from request to answer.")),
      query_coverage_(Histograms(*registry_, "query_coverage",
                                 "Fraction of shards in the answer.")),
      write_seconds_(Histograms(*registry_, "write_seconds",
                                "Time from request to outcome.")),
      queries_(Counters(*registry_, "queries_total", "Queries answered.")),
      attempts_(Counters(*registry_, "attempts_total",
                         "Attempts at upstreams, by kind.")),
      attempt_failures_(Counters(*registry_, "attempt_failures_total",
                                 "Attempts that gave no part, by type.")),
      refusals_(Counters(*registry_, "refusals_total",
                         "Requests refused and not run, by type.")),
      writes_(Counters(*registry_, "writes_total", "Writes by outcome.")),
      platform_reads_(Counters(*registry_, "platform_reads_total",
                               "Reads of the platform, by result.")),
      settings_(Counters(*registry_, "settings_documents_total",
                         "Settings documents seen, by decision.")),
      relayed_(Counters(*registry_, "relayed_total",
                        "Attempts sent on for other daemons.")
                   .Add({})),
      late_events_(Counters(*registry_, "late_events_total",
                            "Answers for attempts no longer live.")
                       .Add({})),
      peer_messages_refused_(Counters(*registry_, "peer_messages_refused_total",
                                      "Messages of peers not understood.")
                                 .Add({})),
      settings_revision_(Gauge(*registry_, "settings_revision",
                               "Revision of the settings in force.")),
      ready_(Gauge(*registry_, "ready", "1 while ready for callers.")) {}

void Metrics::OnQuery(std::string_view service, const QueryAnswer& answer,
                      Duration latency) {
  const double asked = static_cast<double>(answer.shards_asked);
  const double answered = static_cast<double>(answer.parts.size());
  const auto label = Labels("service", service);
  query_seconds_.Add(label, LatencyBuckets()).Observe(ToSeconds(latency));
  query_coverage_.Add(label, CoverageBuckets())
      .Observe(asked > 0 ? answered / asked : 0);
  const bool complete = answer.missing.empty();
  queries_.Add(ServiceLabels(service, "result", complete ? "whole" : "partial"))
      .Increment();
  const std::size_t extra = answer.retries + answer.hedges;
  const auto count = [&](std::string_view kind, std::size_t attempts) {
    attempts_.Add(ServiceLabels(service, "kind", kind))
        .Increment(static_cast<double>(attempts));
  };
  count("first", answer.attempts - std::min(extra, answer.attempts));
  count("retry", answer.retries);
  count("hedge", answer.hedges);
}

void Metrics::OnRefusal(std::string_view service, ErrorType type) {
  // Callers choose the name of an unknown service; as a label it would let them
  // create time series without limit.
  const bool known =
      type != ErrorType::kUnknownService && type != ErrorType::kInvalidRequest;
  refusals_
      .Add(ServiceLabels(known ? service : "", "type", ErrorTypeName(type)))
      .Increment();
}

void Metrics::OnWrite(std::string_view service, WriteOutcome outcome,
                      Duration latency) {
  writes_.Add(ServiceLabels(service, "outcome", WriteOutcomeName(outcome)))
      .Increment();
  write_seconds_.Add(Labels("service", service), LatencyBuckets())
      .Observe(ToSeconds(latency));
}

void Metrics::OnAttemptFailure(std::string_view service, ErrorType type) {
  attempt_failures_.Add(ServiceLabels(service, "type", ErrorTypeName(type)))
      .Increment();
}

void Metrics::OnRelayed(std::size_t items) {
  relayed_.Increment(static_cast<double>(items));
}

void Metrics::OnLateEvents(std::size_t count) {
  late_events_.Increment(static_cast<double>(count));
}

void Metrics::OnPeerMessageRefused() { peer_messages_refused_.Increment(); }

void Metrics::OnPlatformRead(bool answered) {
  platform_reads_.Add(Labels("result", answered ? "answered" : "failed"))
      .Increment();
}

void Metrics::OnSettings(std::string_view decision) {
  settings_.Add(Labels("decision", decision)).Increment();
}

void Metrics::set_settings_revision(std::uint64_t revision) {
  settings_revision_.Set(static_cast<double>(revision));
}

void Metrics::set_ready(bool ready) { ready_.Set(ready ? 1 : 0); }

std::string Metrics::Render() const {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

}  // namespace lacewingknot
