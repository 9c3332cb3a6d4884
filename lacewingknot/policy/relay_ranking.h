// Relays: daemons that query shards on behalf of the other daemons of their
// data centre.
//
// Load pattern: many small daemons behind a load balancer, each of which gets
// less than one query a second over a hundred shards. On its own, such a daemon
// learns about slow replicas only from its own few queries, opens a connection
// for almost every attempt, and, with its small share of a processor, spends
// most of an urgent query's latency objective on writing the requests. A few
// relays that query the same shards for the whole data centre see all of its
// queries, reuse their connections, and split the work of one query.
//
// Relays run in the data centres that hold the replicas, so that a query
// crosses between data centres only once: as one request for many shards,
// answered by one merged response.
//
// Shards are hashed by service name into kGroupCount groups. The relays of a
// group in a data centre are selected by weighted rendezvous hashing, so that
// daemons with the same member list agree without communication, and the loss
// of a daemon moves only the groups of that daemon.
//
// No I/O and no clock; immutable after construction.
//
// Example:
//   const RelayFleet fleet(candidates, "regina", "10.1.0.9:7380");
//   const std::size_t group = RelayRanking::GroupOf(service);
//   const auto relays = fleet.RankingOf("regina").Relays(group);

#ifndef LACEWINGKNOT_POLICY_RELAY_RANKING_H_
#define LACEWINGKNOT_POLICY_RELAY_RANKING_H_

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingknot {

struct RelayCandidate {
  std::string address;
  // In processors; may be below 1. The daemon's number of groups is
  // proportional to it.
  double processor_share = 1;

  friend bool operator==(const RelayCandidate&,
                         const RelayCandidate&) = default;
};

// All daemons, keyed by data centre.
using RelayCandidates =
    std::map<std::string, std::vector<RelayCandidate>, std::less<>>;

// The relays of each group in one data centre.
class RelayRanking {
 public:
  // Number of groups: the requests of one query, which may cover 90 shards, are
  // written by up to this many processors in parallel.
  static constexpr std::size_t kGroupCount = 8;
  // The primary relay, and a backup for when the primary does not respond.
  static constexpr std::size_t kRelaysPerGroup = 2;
  // A data centre with fewer daemons has no relays: each daemon sees enough
  // queries itself, and its connections fit within the upstreams' limits.
  static constexpr std::size_t kMinDaemons = 8;

  // Creates a ranking without relays.
  RelayRanking() = default;
  // `candidates` are all daemons of the data centre. The ranking has no relays
  // if there are fewer than kMinDaemons.
  explicit RelayRanking(std::span<const RelayCandidate> candidates);

  // Returns the group of the shard `service`.
  static std::size_t GroupOf(std::string_view service);

  // Returns the addresses of the group's relays, the primary first; empty if
  // daemons query the shards directly.
  std::span<const std::string> Relays(std::size_t group) const {
    return relays_[group];
  }
  bool empty() const { return relays_.front().empty(); }

 private:
  std::array<std::vector<std::string>, kGroupCount> relays_;
};

// This daemon's role in querying one service, which determines its share of a
// limit that the whole fleet shares for that service: connections to an
// upstream, or extra attempts in a window.
//
// Load pattern: relays make nearly all attempts to a shard; other daemons make
// only those that would have gone through a lost relay. Equal shares would
// leave most of the limit with daemons that send no attempts, while retries are
// denied where they are needed, such as when half of the replicas lose answers
// at once.
struct RelayRole {
  // Number of data centres that hold replicas of the service and have daemons.
  std::size_t replica_data_centres = 1;
  // This daemon's rank, primary 0, among the relays of the service's group in
  // its own data centre. Empty if it is not one of them, or if the data centre
  // holds no replicas or has no relays.
  std::optional<std::size_t> rank;
  // Number of daemons in the own data centre if it holds replicas and its
  // daemons query them directly; 0 otherwise.
  std::size_t direct_daemons = 0;
};

// Returns this daemon's share of `allowance`, the limit for the whole fleet of
// `daemons` daemons. The shares of all daemons sum to at most `allowance` if
// the daemons agree on the members.
double ShareOfLimit(double allowance, const RelayRole& place,
                    std::size_t daemons);

// The relays of all data centres, as seen by one daemon.
class RelayFleet {
 public:
  // Creates a fleet without daemons.
  RelayFleet() = default;
  // `self` is the address of this daemon, which runs in `data_centre`.
  RelayFleet(const RelayCandidates& candidates, std::string data_centre,
             std::string self);

  // Returns the relays of a data centre. The ranking is empty for an unknown
  // data centre and for one with fewer than RelayRanking::kMinDaemons
  // daemons.
  const RelayRanking& RankingOf(std::string_view data_centre) const;

  // Returns this daemon's role for a service whose replicas are in
  // `replica_data_centres`; empty if none of these has relays.
  std::optional<RelayRole> RoleFor(
      std::span<const std::string> replica_data_centres,
      std::size_t group) const;

 private:
  struct DataCentre {
    std::size_t daemons = 0;
    RelayRanking ranking;
  };

  std::string data_centre_;
  std::string self_;
  std::map<std::string, DataCentre, std::less<>> data_centres_;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_RELAY_RANKING_H_
