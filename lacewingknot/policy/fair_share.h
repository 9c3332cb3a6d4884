// How teams share a capacity that is smaller than their demand.
//
// Load pattern: one team sends many times its usual requests for some seconds,
// beside many teams that send as usual, and capacity is short. If requests are
// served in the order of their arrival, every team loses the same part of them.
// Here capacity is divided max-min fairly: a team that demands less than the
// level gets all of it, the others get the level each. The level is the one at
// which the whole capacity is given away.
//
// One rule is added: no team gets a smaller part of its demand than
// kLeastShare of the part that all teams together get.
//
// Demand and use are counts that decay; the owner decides how fast. A team
// whose counts have become negligible is forgotten, and the number of teams is
// bounded.
//
// No I/O and no clock. Not thread-safe; a value type.
//
// Example:
//   FairShare share;
//   share.CountDemand("search");
//   share.Divide(capacity);
//   if (share.UseOf("search") >= share.AllowanceOf("search")) Refuse();
//   share.CountUse("search");

#ifndef LACEWINGKNOT_POLICY_FAIR_SHARE_H_
#define LACEWINGKNOT_POLICY_FAIR_SHARE_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace lacewingknot {

class FairShare {
 public:
  // A team that is served less than a quarter as often as all teams counts as
  // starved; the rest is a margin for counts that lag behind.
  static constexpr double kLeastShare = 0.3;
  // When one more is counted, the team with the smallest demand is forgotten.
  static constexpr std::size_t kMaxTeams = 1'024;

  void CountDemand(std::string_view team);
  void CountUse(std::string_view team);
  // Multiplies all counts by `factor`, at most 1.
  void Decay(double factor);
  // Divides `capacity`, in the unit of the counts. AllowanceOf(), WeightOf()
  // and ExceedsLevel() refer to the latest division.
  void Divide(double capacity);

  // Returns how much `team` may use of the capacity.
  double AllowanceOf(std::string_view team) const;
  // Returns the team's part relative to that of a team that gets the level: 1,
  // or more if kLeastShare entitles it to more.
  double WeightOf(std::string_view team) const;
  // Whether the team demands more than the level.
  bool ExceedsLevel(std::string_view team) const;

  double DemandOf(std::string_view team) const;
  double UseOf(std::string_view team) const;
  double total_demand() const { return total_.demand * scale_; }
  double total_use() const { return total_.use * scale_; }
  std::size_t team_count() const { return teams_.size(); }
  // Calls `visit` for every team with its use.
  template <typename Visitor>
  void ForEach(const Visitor& visit) const {
    for (const auto& [team, counts] : teams_) visit(team, counts.use * scale_);
  }

 private:
  // To be multiplied by `scale_`.
  struct Counts {
    double demand = 0;
    double use = 0;
  };

  Counts& CountsOf(std::string_view team);
  // Makes `scale_` 1 and forgets teams with negligible counts.
  void Normalise();

  std::map<std::string, Counts, std::less<>> teams_;
  Counts total_;
  double scale_ = 1;
  double level_ = 0;
  double least_share_ = 0;  // Of a team's demand.
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_FAIR_SHARE_H_
