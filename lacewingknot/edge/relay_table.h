// The relays of this data centre and the links to them.
//
// Not thread-safe: runs on the traffic thread.

#ifndef LACEWINGKNOT_EDGE_RELAY_TABLE_H_
#define LACEWINGKNOT_EDGE_RELAY_TABLE_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "lacewingknot/edge/relay_link.h"
#include "lacewingknot/policy/relay_choice.h"

namespace lacewingknot::edge {

class RelayTable {
 public:
  struct Options {
    boost::asio::io_context* io = nullptr;
    TimerQueue* timers = nullptr;
  };

  explicit RelayTable(Options options) : options_(options) {}

  // `self`: this daemon's own address in `ranking`.
  void Update(RelayRanking ranking, const std::string& self);

  // The link through which the group's shards are asked; null if this daemon
  // asks them itself, because it is a relay of the group or none is usable.
  RelayLinkPtr For(std::size_t group, TimePoint now) const;

  // This daemon's place among the group's relays; none if it is no relay.
  std::optional<std::size_t> OwnRank(std::size_t group) const;
  // Whether others may ask the group's shards through this daemon.
  bool IsOwn(std::size_t group) const { return OwnRank(group).has_value(); }
  // Whether the data centre's daemons ask through relays at all.
  bool in_use() const { return !ranking_.empty(); }

 private:
  Options options_;
  std::string self_;
  RelayRanking ranking_;
  std::map<std::string, RelayLinkPtr, std::less<>> links_;  // By address.
  // Of each group, preferred ones first; null stands for this daemon.
  std::array<std::vector<RelayLinkPtr>, RelayRanking::kGroups> by_group_;
};

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_RELAY_TABLE_H_
