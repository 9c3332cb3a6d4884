// Owns the links to the relays of each data centre and chooses the relay for a
// shard.
//
// A shard with replicas in this data centre is queried within it: through
// relays in RelayMode::kConcentrated, directly in RelayMode::kSpread
// (policy/relay_ranking.h). Any other shard is queried through a relay in a
// data centre that has a replica.
//
// Not thread-safe: runs on the traffic thread.
//
// Example:
//   RelayTable table({.io = &io, .timers = &timers, .data_centre = "regina"});
//   table.set_members(members, "10.1.0.9:7380");
//   table.set_replica_data_centres({"regina", "saskatoon"});
//   RelayTable::Choice choice =
//       table.ChooseRelay({.replica_data_centres = data_centres,
//                          .group = group}, now);

#ifndef LACEWINGKNOT_EDGE_RELAY_TABLE_H_
#define LACEWINGKNOT_EDGE_RELAY_TABLE_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "lacewingknot/edge/relay_link.h"
#include "lacewingknot/policy/relay_ranking.h"

namespace lacewingknot::edge {

class RelayTable {
 public:
  struct Options {
    boost::asio::io_context* io = nullptr;
    TimerQueue* timers = nullptr;
    std::string data_centre;  // Of this daemon.
    // As in RelayLink::Options.
    std::shared_ptr<AnswerBudget> answer_budget;
    AnswerDroppedHook on_answer_dropped;
    // As RelayLink::Options::on_statements.
    std::function<void(std::span<const StatementReport> reports,
                       std::string_view from)>
        on_statements;
  };

  explicit RelayTable(Options options) : options_(std::move(options)) {}

  // Sets all daemons of the fleet; `self` is the address of this one.
  void set_members(const RelayCandidates& members, const std::string& self);
  void set_mode(RelayMode mode);
  RelayMode mode() const { return mode_; }
  // Sets the data centres that have replicas of any shard. Links are kept only
  // to relays in these data centres.
  void set_replica_data_centres(std::set<std::string> data_centres);

  struct Criteria {
    std::span<const std::string>
        replica_data_centres;  // Data centres with replicas.
    std::size_t group = 0;     // Relay group (policy/relay_ranking.h).
    // Rotates among several data centres, and in RelayMode::kSpread among the
    // daemons of one.
    std::uint64_t query = 0;
    std::span<const std::string>
        excluded_data_centres;  // Data centres to avoid.
  };
  struct Choice {
    RelayLinkPtr relay;       // Null if this daemon queries the shard directly.
    std::string data_centre;  // Data centre of the replicas; empty for any.
  };
  // Chooses how to query a shard: in this data centre if it has a replica,
  // otherwise through a relay in one of the data centres that have one.
  Choice ChooseRelay(const Criteria& criteria, TimePoint now) const;
  // Returns the preferred usable relay in `data_centre` for shards of
  // `criteria.group` of `criteria.query`. Returns null if there is none or this
  // daemon itself is preferred to it.
  RelayLinkPtr FindRelay(std::string_view data_centre, const Criteria& criteria,
                         TimePoint now) const;

  // Returns this daemon's place for shards of `group` with replicas in
  // `replica_data_centres`; empty if no daemon uses relays for them.
  std::optional<RelayRole> FindRole(
      std::span<const std::string> replica_data_centres,
      std::size_t group) const;
  // Whether this daemon queries shards with usable replicas in
  // `replica_data_centres` directly, wherever the replica is, rather than
  // through a relay.
  bool QueriesDirectly(std::span<const std::string> replica_data_centres) const;
  // Whether relays query such shards on behalf of this daemon. It does so
  // itself only if these relays are lost.
  bool IsDelegatedToRelays(std::span<const std::string> replica_data_centres,
                           std::size_t group) const;

 private:
  struct SpreadLink {
    RelayCandidate relay;
    RelayLinkPtr link;
  };
  // Links to the relays of one data centre.
  struct DataCentreLinks {
    // RelayMode::kConcentrated: by group, preferred ones first; null stands for
    // this daemon.
    std::array<std::vector<RelayLinkPtr>, RelayRanking::kGroupCount> by_group;
    // RelayMode::kSpread: to all daemons of another data centre.
    std::vector<SpreadLink> spread;
  };

  void UpdateFleet();
  void UpdateLinks();
  RelayLinkPtr FindOrOpenLink(const std::string& address);

  Options options_;
  RelayMode mode_ = RelayMode::kConcentrated;
  RelayCandidates members_;
  std::string own_address_;
  RelayFleet fleet_;
  std::set<std::string> replica_data_centres_;
  std::map<std::string, RelayLinkPtr, std::less<>> links_;  // By address.
  std::map<std::string, DataCentreLinks, std::less<>> links_by_data_centre_;
};

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_RELAY_TABLE_H_
