#include "lacewingknot/edge/team_requests.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace lacewingknot::edge {
namespace {

constexpr std::string_view kOtherTeams = "other";

double SumOf(const std::map<std::string, double, std::less<>>& outcomes) {
  double sum = 0;
  for (const auto& [outcome, count] : outcomes) sum += count;
  return sum;
}

}  // namespace

void TeamRequests::OnRequest(std::string_view team, std::string_view outcome,
                             TimePoint now) {
  const std::lock_guard lock(mutex_);
  if (now - window_begin_ >= kWindow) {
    const bool is_adjacent = now - window_begin_ < 2 * kWindow;
    complete_ = is_adjacent ? std::move(current_) : Teams();
    current_ = {};
    window_begin_ = is_adjacent ? window_begin_ + kWindow : now;
  }
  auto found = current_.find(team);
  if (found == current_.end()) found = current_.emplace(team, Outcomes()).first;
  Outcomes& outcomes = found->second;
  auto count = outcomes.find(outcome);
  if (count == outcomes.end()) count = outcomes.emplace(outcome, 0).first;
  ++count->second;
}

prometheus::MetricFamily TeamRequests::Collect(TimePoint now) const {
  Teams teams;
  {
    const std::lock_guard lock(mutex_);
    const Duration age = now - window_begin_;
    if (age < kWindow) {
      teams = complete_;
    } else if (age < 2 * kWindow) {
      teams = current_;
    }
  }
  std::vector<std::pair<double, std::string>> by_size;
  for (const auto& [team, outcomes] : teams) {
    by_size.emplace_back(-SumOf(outcomes), team);
  }
  std::sort(by_size.begin(), by_size.end());
  Teams shown;
  for (std::size_t i = 0; i < by_size.size(); ++i) {
    const std::string& team = by_size[i].second;
    Outcomes& sums = shown[i < kMaxTeams ? team : std::string(kOtherTeams)];
    for (const auto& [outcome, count] : teams[team]) sums[outcome] += count;
  }
  prometheus::MetricFamily family{
      .name = "lacewingknot_edge_team_requests",
      .help =
          "Requests of the largest teams, and of all others together, in "
          "the last complete minute, by outcome.",
      .type = prometheus::MetricType::Gauge,
      .metric = {}};
  for (const auto& [team, outcomes] : shown) {
    for (const auto& [outcome, count] : outcomes) {
      prometheus::ClientMetric metric;
      metric.label = {{"outcome", outcome}, {"team", team}};
      metric.gauge.value = count;
      family.metric.push_back(std::move(metric));
    }
  }
  return family;
}

}  // namespace lacewingknot::edge
