#include "lacewingknot/policy/demand_shares.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "lacewingknot/policy/relay_ranking.h"

namespace lacewingknot {
namespace {

// Part of the rate that is divided equally.
constexpr double kEqualPart = 0.1;
constexpr Duration kMinInterval = std::chrono::milliseconds(1'000);
constexpr Duration kMaxInterval = std::chrono::milliseconds(20'000);

}  // namespace

Duration ReportInterval(double equal_share) {
  const double daemons = 1 / std::max(equal_share, 1e-6);
  return std::clamp(
      std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(daemons / kReportsPerSecond)),
      kMinInterval, kMaxInterval);
}

double ShareByDemand(double equal_share, std::optional<double> demand_share) {
  if (!demand_share) return equal_share;
  return kEqualPart * equal_share + (1 - kEqualPart) * *demand_share;
}

std::string KeeperOf(std::string_view upstream, std::span<const Member> alive) {
  auto ranked = RankKeepers(upstream, alive, 1);
  return ranked.empty() ? std::string() : std::move(ranked.front());
}

std::vector<std::string> RankKeepers(std::string_view name,
                                     std::span<const Member> alive,
                                     std::size_t count) {
  const std::uint64_t key = XXH3_64bits(name.data(), name.size());
  struct Candidate {
    double score = 0;
    const Member* member = nullptr;
  };
  std::vector<Candidate> ranked;  // The best `count` so far, best first.
  for (const Member& member : alive) {
    const double score = RendezvousScore(
        {.address = member.address, .processor_share = member.processor_share},
        key);
    const auto position =
        std::find_if(ranked.begin(), ranked.end(),
                     [&](const auto& other) { return score > other.score; });
    if (position == ranked.end() && ranked.size() >= count) continue;
    ranked.insert(position, {.score = score, .member = &member});
    if (ranked.size() > count) ranked.pop_back();
  }
  std::vector<std::string> addresses;
  addresses.reserve(ranked.size());
  for (const Candidate& candidate : ranked) {
    addresses.push_back(candidate.member->address);
  }
  return addresses;
}

std::optional<DemandSum> DemandKeeper::OnReport(std::string_view daemon,
                                                const DemandReport& report,
                                                TimePoint now) {
  std::erase_if(upstreams_, [&](const auto& entry) {
    return entry.second.valid_until <= now;
  });
  auto found = upstreams_.find(report.upstream);
  const bool is_new = found == upstreams_.end() ||
                      found->second.incarnation < report.incarnation;
  if (is_new) {
    if (found == upstreams_.end() && upstreams_.size() >= kMaxUpstreams) {
      return std::nullopt;
    }
    found = upstreams_.insert_or_assign(report.upstream, Upstream{}).first;
    found->second.incarnation = report.incarnation;
    found->second.first_report_at = now;
  }
  Upstream& upstream = found->second;
  if (report.incarnation < upstream.incarnation) return std::nullopt;
  const TimePoint valid_until = now + SumLifetime(report.interval);
  upstream.valid_until = std::max(upstream.valid_until, valid_until);
  upstream.by_daemon.insert_or_assign(
      std::string(daemon),
      Reported{.per_second = report.per_second, .valid_until = valid_until});
  std::erase_if(upstream.by_daemon, [&](const auto& entry) {
    return entry.second.valid_until <= now;
  });
  // Every daemon reports once in its interval.
  upstream.longest_interval =
      std::max(upstream.longest_interval, report.interval);
  if (now - upstream.first_report_at < upstream.longest_interval * 6 / 5) {
    return std::nullopt;
  }
  DemandSum sum{.upstream = report.upstream,
                .incarnation = upstream.incarnation};
  for (const auto& [address, reported] : upstream.by_daemon) {
    sum.per_second += reported.per_second;
  }
  return sum;
}

}  // namespace lacewingknot
