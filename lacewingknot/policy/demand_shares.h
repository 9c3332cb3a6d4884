// Divides the rate that an upstream states among the daemons by their demand.
//
// Load pattern: an upstream states a rate (stated_rate_limiter.h), and a few of
// the daemons have most of the requests for it. With equal shares these daemons
// pass the upstream over while the others leave their shares unused.
//
// For each upstream one daemon, the keeper, is chosen by rendezvous hashing.
// Daemons with demand report it to the keeper from time to time, and get the
// sum of all reports. A daemon's share is then a fixed part, which holds
// whatever the others do, and the rest by its part of the sum. Without an
// answer of the keeper it returns to an equal share. Reports are spread over
// time, so that a keeper gets kReportsPerSecond at most in a fleet of any size.
//
// No I/O and no clock. Not thread-safe; value types.
//
// Example:
//   DemandKeeper keeper;
//   const auto sum = keeper.OnReport("10.1.0.9:7380",
//       {.upstream = "s3-b", .per_second = 12, .interval = interval}, now);
//   if (sum) Answer(*sum);

#ifndef LACEWINGKNOT_POLICY_DEMAND_SHARES_H_
#define LACEWINGKNOT_POLICY_DEMAND_SHARES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "lacewingknot/base/clock.h"
#include "lacewingknot/policy/membership.h"

namespace lacewingknot {

// Reports that the keeper of one upstream gets at most.
inline constexpr double kReportsPerSecond = 25;

// One daemon's demand for one upstream, in attempts per second.
struct DemandReport {
  std::string upstream;  // Its ID.
  std::int64_t incarnation = 0;
  double per_second = 0;
  Duration interval{};  // Time until the daemon's next report.

  friend bool operator==(const DemandReport&, const DemandReport&) = default;
};

// The demand of all daemons, as the keeper answers.
struct DemandSum {
  std::string upstream;
  std::int64_t incarnation = 0;
  double per_second = 0;

  friend bool operator==(const DemandSum&, const DemandSum&) = default;
};

// Returns the time between two reports of a daemon whose equal share of an
// upstream is `equal_share`.
Duration ReportInterval(double equal_share);

// Returns how long a daemon may use the answer to a report.
inline Duration SumLifetime(Duration interval) { return interval * 5 / 2; }

// Returns a daemon's share of the rate. `demand_share` is its part of the sum;
// empty if no answer of the keeper is valid.
double ShareByDemand(double equal_share, std::optional<double> demand_share);

// Returns the address of the keeper of `upstream`; empty if nobody is alive.
// Daemons with the same member list agree.
std::string KeeperOf(std::string_view upstream, std::span<const Member> alive);

// Returns the addresses of the first `count` daemons that may be the keeper of
// `name`, the keeper first, then those that stand in for it.
std::vector<std::string> RankKeepers(std::string_view name,
                                     std::span<const Member> alive,
                                     std::size_t count);

// What the keeper knows.
class DemandKeeper {
 public:
  // Upstreams for which reports are kept at most.
  static constexpr std::size_t kMaxUpstreams = 256;

  // Records a report of `daemon` and returns the sum of the valid ones. Empty
  // while reports of other daemons may not have arrived yet.
  std::optional<DemandSum> OnReport(std::string_view daemon,
                                    const DemandReport& report, TimePoint now);

 private:
  struct Reported {
    double per_second = 0;
    TimePoint valid_until{};
  };
  struct Upstream {
    std::int64_t incarnation = 0;
    TimePoint first_report_at{};
    Duration longest_interval{};
    TimePoint valid_until{};
    std::map<std::string, Reported, std::less<>> by_daemon;
  };

  std::map<std::string, Upstream, std::less<>> upstreams_;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_DEMAND_SHARES_H_
