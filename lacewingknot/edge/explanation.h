// Explains to operators why the upstreams of a service are used or not.
//
// Not thread-safe: ExplainService() runs on the traffic thread. Its result is a
// value that any thread may use.

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
  // The first that applies of: draining, evacuated, leaving, replaced,
  // backing_off, waiting, rate_limited, silent, slow, failing, good.
  std::string_view reason;
  double slowness = 1;       // Expected latency relative to the service's mean.
  double failure_share = 0;  // Of recent attempts, 0 to 1.
  std::int64_t in_flight = 0;
  std::int64_t queued = 0;
  // Requests per second that it takes from all daemons and from this one; 0 if
  // it states no rate.
  double stated_rate = 0;
  double own_rate = 0;
  // Requests in flight that it handles well, and the expected time of one more
  // request; empty if this is not estimated.
  std::optional<std::int64_t> limit;
  std::optional<std::int64_t> next_us;
};

struct ServiceExplanation {
  std::string service;
  // IP:PORT of the relay that queries it; empty if this daemon queries it
  // directly.
  std::string asked_through;
  double extra_attempts_left = 0;  // This daemon's remaining retry budget.
  std::int64_t usual_us = 0;       // Mean latency of a request.
  std::vector<UpstreamExplanation> upstreams;  // Preferred ones first.
};

// Explains `upstream`; `mean_latency` is that of a request to its service.
UpstreamExplanation ExplainUpstream(const Upstream& upstream,
                                    Duration mean_latency, TimePoint now);

// Returns an empty optional if no configuration or upstream names `service`.
std::optional<ServiceExplanation> ExplainService(const EdgeCore& core,
                                                 std::string_view service,
                                                 TimePoint now);

// Returns one JSON object whose keys are the names of the fields.
std::string ToJson(const ServiceExplanation& explanation);

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_EXPLANATION_H_
