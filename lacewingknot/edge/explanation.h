// Why a service's upstreams are, or are not, used: for operators.
//
// Not thread-safe: ExplainService runs on the traffic thread; its result is a
// value.

#ifndef LACEWINGKNOT_EDGE_EXPLANATION_H_
#define LACEWINGKNOT_EDGE_EXPLANATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "lacewingknot/edge/edge_core.h"

namespace lacewingknot::edge {

struct UpstreamExplanation {
  std::string id;
  std::string address;
  std::string data_centre;
  bool usable = false;
  // The first that holds: draining, evacuated, replaced, backing_off, silent,
  // slow, failing or good.
  std::string_view reason;
  double slowness = 1;       // Expected latency, in multiples of the usual one.
  double failure_share = 0;  // Of recent attempts, 0 to 1.
  std::int64_t in_flight = 0;
  std::int64_t queued = 0;
};

struct ServiceExplanation {
  std::string service;
  // The relay that asks it, IP:PORT; empty if this daemon does.
  std::string asked_through;
  double extra_attempts_left = 0;  // Of this daemon, for retries.
  std::int64_t usual_us = 0;       // What a request takes on average.
  std::vector<UpstreamExplanation> upstreams;  // Preferred ones first.
};

// Empty if no configuration or upstream names `service`.
std::optional<ServiceExplanation> ExplainService(const EdgeCore& core,
                                                 std::string_view service,
                                                 TimePoint now);

// One JSON object; keys are the fields' names.
std::string ToJson(const ServiceExplanation& explanation);

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_EXPLANATION_H_
