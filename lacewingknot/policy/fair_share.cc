#include "lacewingknot/policy/fair_share.h"

#include <algorithm>
#include <vector>

namespace lacewingknot {
namespace {

// Counts smaller than this are negligible.
constexpr double kNegligible = 1.0 / 16;
constexpr double kMinScale = 1.0 / 16;
// Halvings of the interval that holds the level: one in a million of the
// largest demand.
constexpr int kHalvings = 20;

double AllowanceAt(double level, double least_share, double demand) {
  return std::max(std::min(demand, level), least_share * demand);
}

}  // namespace

FairShare::Counts& FairShare::CountsOf(std::string_view team) {
  const auto found = teams_.find(team);
  if (found != teams_.end()) return found->second;
  if (teams_.size() >= kMaxTeams) Normalise();
  if (teams_.size() >= kMaxTeams) {
    const auto smallest = std::min_element(
        teams_.begin(), teams_.end(), [](const auto& one, const auto& other) {
          return one.second.demand < other.second.demand;
        });
    total_.demand -= smallest->second.demand;
    total_.use -= smallest->second.use;
    teams_.erase(smallest);
  }
  return teams_.emplace(team, Counts()).first->second;
}

void FairShare::CountDemand(std::string_view team) {
  CountsOf(team).demand += 1 / scale_;
  total_.demand += 1 / scale_;
}

void FairShare::CountUse(std::string_view team) {
  CountsOf(team).use += 1 / scale_;
  total_.use += 1 / scale_;
}

void FairShare::Decay(double factor) {
  scale_ *= factor;
  if (scale_ < kMinScale) Normalise();
}

void FairShare::Normalise() {
  total_ = {};
  for (auto entry = teams_.begin(); entry != teams_.end();) {
    Counts& counts = entry->second;
    counts.demand *= scale_;
    counts.use *= scale_;
    if (std::max(counts.demand, counts.use) < kNegligible) {
      entry = teams_.erase(entry);
      continue;
    }
    total_.demand += counts.demand;
    total_.use += counts.use;
    ++entry;
  }
  scale_ = 1;
}

void FairShare::Divide(double capacity) {
  std::vector<double> demands;
  demands.reserve(teams_.size());
  double largest = 0;
  for (const auto& [team, counts] : teams_) {
    demands.push_back(counts.demand * scale_);
    largest = std::max(largest, demands.back());
  }
  level_ = largest;
  least_share_ = 0;
  const double total = total_demand();
  if (total <= capacity) return;
  least_share_ = kLeastShare * std::max(capacity, 0.0) / total;
  double low = 0;
  for (int i = 0; i < kHalvings; ++i) {
    const double middle = (low + level_) / 2;
    double given = 0;
    for (const double demand : demands) {
      given += AllowanceAt(middle, least_share_, demand);
    }
    (given > capacity ? level_ : low) = middle;
  }
}

double FairShare::DemandOf(std::string_view team) const {
  const auto found = teams_.find(team);
  return found == teams_.end() ? 0 : found->second.demand * scale_;
}

double FairShare::UseOf(std::string_view team) const {
  const auto found = teams_.find(team);
  return found == teams_.end() ? 0 : found->second.use * scale_;
}

double FairShare::AllowanceOf(std::string_view team) const {
  return AllowanceAt(level_, least_share_, DemandOf(team));
}

double FairShare::WeightOf(std::string_view team) const {
  const double least = least_share_ * DemandOf(team);
  return least > level_ && level_ > 0 ? least / level_ : 1;
}

bool FairShare::ExceedsLevel(std::string_view team) const {
  return DemandOf(team) > level_;
}

}  // namespace lacewingknot
