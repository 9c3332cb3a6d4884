// A lease on this daemon's view (settings and VM list): whether the daemon may
// start new work.
//
// Load pattern: the platform fails, the network splits, or the daemon is
// paused, while the operators take a data centre out of service.
//
// The view is current while the platform, or a peer that holds the same
// revision, has confirmed it within the lease. If the platform answers no
// daemon, a quorum is enough: answers from at least half of the peers tried,
// which with this daemon are a majority. The operators cannot have published
// anything that no member of this side of a network split could see. A daemon
// cut off from the platform and from a quorum of peers starts no new work,
// because the operators may have taken a data centre out without its knowledge.
//
// The permit is a point in time that the traffic thread compares with the clock
// at the moment of sending, so it has expired when a paused daemon resumes.
//
// Not thread-safe; a value type.
//
// Example:
//   WorkPermit permit(std::chrono::seconds(3));
//   permit.set_has_view(true);
//   permit.OnConfirmed(confirmed_at);
//   permit.OnExchange("vm-2", /*answered=*/true, sent_at);
//   const bool may_work = now <= permit.Renew(peer_count, now);

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

  // The platform, or a peer, confirmed at `at` that the view held is current.
  void OnConfirmed(TimePoint at);

  // The exchange with `peer` that began at `at` has been answered or has
  // failed.
  void OnExchange(std::string_view peer, bool answered, TimePoint at);

  // Returns the latest time since which at least half of the peers tried within
  // the lease have answered; empty if fewer have.
  std::optional<TimePoint> PeerQuorumAt(TimePoint now) const;

  struct PeerCount {
    std::size_t answering = 0;  // Answered their last exchange.
    std::size_t tried = 0;
  };
  // Counts the peers of the exchanges within the lease.
  PeerCount CountPeers(TimePoint now) const;

  // Set while a peer holds a newer view that this daemon has not fetched yet.
  // The permit is not extended until it has.
  void set_peer_has_newer_view(bool behind) { behind_ = behind; }

  // Set if this daemon has settings and a VM list. The permit is not extended
  // without them.
  void set_has_view(bool has_view) { has_view_ = has_view; }

  // Extends the permit by the confirmations known at `now` and returns its end.
  // A daemon without peers (`peer_count` is 0) needs no confirmation.
  TimePoint Renew(std::size_t peer_count, TimePoint now);

  TimePoint valid_until() const { return valid_until_; }

 private:
  struct Exchange {
    std::string peer;
    bool answered;
    TimePoint at;
  };

  // Returns the last exchange within the lease with each peer.
  std::map<std::string_view, const Exchange*> LastExchanges(
      TimePoint now) const;

  Duration lease_;
  bool behind_ = false;
  bool has_view_ = false;
  TimePoint confirmed_at_{};
  TimePoint valid_until_{};
  std::deque<Exchange> exchanges_;  // Oldest first.
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_WORK_PERMIT_H_
