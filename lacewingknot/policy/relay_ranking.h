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
// A fleet of few daemons has no use for concentrating queries: each of its
// daemons may connect to every upstream, and two or three relays would be left
// with a small share of the extra attempts. There only queries from data
// centres without replicas are relayed, in turn by all daemons beside the
// replicas, so that attempts, connections and extra attempts stay spread over
// the fleet (RelayMode::kSpread).
//
// Shards are hashed by service name into kGroupCount groups. The relays of a
// group in a data centre are selected by weighted rendezvous hashing, so that
// daemons with the same member list agree without communication, and the loss
// of a daemon moves only the groups of that daemon.
//
// No I/O and no clock; immutable after construction.
//
// Example:
//   const RelayFleet fleet(candidates, {.mode = RelayMode::kConcentrated,
//                                       .data_centre = "regina",
//                                       .self = "10.1.0.9:7380"});
//   const std::size_t group = RelayRanking::GroupOf(service);
//   const auto relays = fleet.RankingOf("regina").Relays(group);

#ifndef LACEWINGKNOT_POLICY_RELAY_RANKING_H_
#define LACEWINGKNOT_POLICY_RELAY_RANKING_H_

#include <array>
#include <cstddef>
#include <cstdint>
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

// How a fleet uses relays.
enum class RelayMode {
  // Two daemons of each data centre with replicas query a shard on behalf of
  // all others.
  kConcentrated,
  // Daemons query the shards of their own data centre directly. Any daemon in a
  // data centre with replicas relays for daemons elsewhere.
  kSpread,
};

// Returns the mode for a fleet of `daemons` daemons whose upstreams accept
// `connections` connections each: kSpread if every daemon may hold enough
// connections to every upstream.
RelayMode RelayModeFor(std::int64_t connections, std::size_t daemons);

// Score of `candidate` for `key` in weighted rendezvous hashing: the
// probability that a candidate has the highest score of all is proportional to
// its processor share.
double RendezvousScore(const RelayCandidate& candidate, std::uint64_t key);

// The relays of each group in one data centre in RelayMode::kConcentrated.
class RelayRanking {
 public:
  // Number of groups: the requests of one query, which may cover 90 shards, are
  // written by up to this many processors in parallel.
  static constexpr std::size_t kGroupCount = 8;
  // The primary relay, and a backup for when the primary does not respond.
  static constexpr std::size_t kRelaysPerGroup = 2;

  // Creates a ranking without relays.
  RelayRanking() = default;
  // `candidates` are all daemons of the data centre.
  explicit RelayRanking(std::span<const RelayCandidate> candidates);

  // Returns the group of the shard `service`.
  static std::size_t GroupOf(std::string_view service);

  // Returns the addresses of the group's relays, the primary first; empty if
  // the data centre has no daemons.
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
  // RelayMode::kConcentrated: this daemon's rank, primary 0, among the relays
  // of the service's group in its own data centre. Empty if it is not one of
  // them, or if the data centre holds no replicas.
  std::optional<std::size_t> rank;
  // RelayMode::kSpread: number of daemons in the data centres that hold
  // replicas, if this daemon is one of them; 0 otherwise.
  std::size_t direct_daemons = 0;
  // Number of all daemons that this daemon knows.
  std::size_t known_daemons = 1;
};

// Returns this daemon's share of `allowance`, the limit for the whole fleet of
// `daemons` daemons, which may exceed the number of known ones. The shares of
// all daemons sum to at most `allowance` if the daemons agree on the members.
double ShareOfLimit(double allowance, const RelayRole& place,
                    std::size_t daemons);

// The relays of all data centres, as seen by one daemon.
class RelayFleet {
 public:
  struct Options {
    RelayMode mode = RelayMode::kConcentrated;
    std::string data_centre;  // Of this daemon.
    std::string self;         // Address of this daemon.
  };

  // Creates a fleet without daemons.
  RelayFleet() = default;
  RelayFleet(const RelayCandidates& candidates, Options options);

  // Returns the relays of a data centre. The ranking is empty for an unknown
  // data centre and in RelayMode::kSpread.
  const RelayRanking& RankingOf(std::string_view data_centre) const;

  // Returns this daemon's role for a service whose replicas are in
  // `replica_data_centres`; empty if none of these has daemons.
  std::optional<RelayRole> RoleFor(
      std::span<const std::string> replica_data_centres,
      std::size_t group) const;

 private:
  struct DataCentre {
    std::size_t daemons = 0;
    RelayRanking ranking;
  };

  Options options_;
  std::size_t known_daemons_ = 0;
  std::map<std::string, DataCentre, std::less<>> data_centres_;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_RELAY_RANKING_H_
