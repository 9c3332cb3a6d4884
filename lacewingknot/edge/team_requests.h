// Counts the requests of each team by outcome, for the metrics.
//
// The number of time series is bounded: only the kMaxTeams teams with the most
// requests in the last complete window have their own; all others are summed.
// Because that set changes, the counts of one window are exported as gauges and
// not as counters, which must not decrease.
//
// Thread-safe.
//
// Example:
//   TeamRequests requests;
//   requests.OnRequest("search", "complete", now);
//   families.push_back(requests.Collect(now));

#ifndef LACEWINGKNOT_EDGE_TEAM_REQUESTS_H_
#define LACEWINGKNOT_EDGE_TEAM_REQUESTS_H_

#include <prometheus/metric_family.h>

#include <map>
#include <mutex>
#include <string>
#include <string_view>

#include "lacewingknot/base/clock.h"

namespace lacewingknot::edge {

class TeamRequests {
 public:
  static constexpr std::size_t kMaxTeams = 8;
  static constexpr Duration kWindow = std::chrono::minutes(1);

  void OnRequest(std::string_view team, std::string_view outcome,
                 TimePoint now);
  // Returns the requests of the last complete window.
  prometheus::MetricFamily Collect(TimePoint now) const;

 private:
  using Outcomes = std::map<std::string, double, std::less<>>;
  using Teams = std::map<std::string, Outcomes, std::less<>>;

  mutable std::mutex mutex_;
  // Guarded by mutex_.
  TimePoint window_begin_{};
  Teams current_;
  Teams complete_;  // Of the window before.
};

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_TEAM_REQUESTS_H_
