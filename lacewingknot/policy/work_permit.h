// Whether this daemon may start new work on the view it holds.
//
// A view is current while the platform, or a peer that holds the same
// revision, has confirmed it within the lease. When the platform answers
// nobody, most peers still answering is enough: the operators cannot have
// published anything that this side of a split could not see. Cut off from the
// platform and from most peers, a daemon takes no new work: the operators may
// have taken a data centre out without its knowing.
//
// The permit carries the time until which it holds, and traffic compares it
// with the clock at the moment of sending. After a pause it has run out.
//
// Not thread-safe; a value type.

#ifndef LACEWINGKNOT_POLICY_WORK_PERMIT_H_
#define LACEWINGKNOT_POLICY_WORK_PERMIT_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "lacewingknot/base/clock.h"

namespace lacewingknot {

class WorkPermit {
 public:
  explicit WorkPermit(Duration lease) : lease_(lease) {}

  void set_lease(Duration lease) { lease_ = lease; }

  // The view held was current at `at`, by the platform or by a peer.
  void OnConfirmed(TimePoint at);

  // An exchange with `peer` that began at `at` was answered or not.
  void OnExchange(std::string_view peer, bool answered, TimePoint at);

  // The latest time since when at least half of the peers tried within the
  // lease have answered; none if fewer answered.
  std::optional<TimePoint> PeersAgreedAt(TimePoint now) const;

  // Peers that answered their last exchange within the lease, of those tried.
  struct PeerCount {
    std::size_t answering = 0;
    std::size_t tried = 0;
  };
  PeerCount Peers(TimePoint now) const;

  // A peer holds a newer view, which this daemon has yet to fetch. The permit
  // is not extended until it has.
  void set_behind(bool behind) { behind_ = behind; }

  // There are settings and a list to work by.
  void set_has_view(bool has_view) { has_view_ = has_view; }

  // Extends the permit from what is known at `now`; returns its end.
  TimePoint Renew(std::size_t peer_count, TimePoint now);

  TimePoint valid_until() const { return valid_until_; }

 private:
  struct Exchange {
    std::string peer;
    bool answered;
    TimePoint at;
  };

  std::map<std::string_view, const Exchange*> LastExchanges(
      TimePoint now) const;

  Duration lease_;
  bool behind_ = false;
  bool has_view_ = false;
  TimePoint confirmed_at_{};
  TimePoint valid_until_{};
  std::deque<Exchange> exchanges_;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_WORK_PERMIT_H_
