// How long a reader of the store waits for one watch, and which daemons confirm
// the store's state for the others.
//
// Load pattern: hundreds of daemons watch a store that seldom changes. A watch
// that the store receives while it fails is never answered, not even once the
// store works again, and only the missing answer shows it. Short watches on
// every daemon would bound the time for which a change is missed, at the cost
// of a call from each daemon every two seconds.
//
// Therefore a few daemons, the sentinels, watch for short times. The others ask
// one of them every second when the store last confirmed its state, and watch
// for a long time only while such reports arrive. A daemon whose state nobody
// has confirmed for max_unconfirmed() abandons its watch and calls the store,
// so that the bound also holds if the sentinels are cut off, paused or gone.
//
// The store may return from an outage without its last changes and use their
// revisions again. A revision
// that was seen before an outage then says nothing about the state after it. So
// a report confirms a daemon's state only if the store has answered that daemon
// since the reporting daemon last lost it, and if it is of the same epoch
// (policy/store_version.h).
//
// No I/O and no clock. Not thread-safe.
//
// Example:
//   WatchSchedule schedule({.max_staleness = std::chrono::seconds(4)});
//   const Duration wait = schedule.Wait(now, {.is_sentinel = false});
//   ...  // Calls the store; a peer reports meanwhile.
//   schedule.OnPeerReport({.revision = 412, .confirmed_at = now},
//                         {.revision = 412});
//   if (now >= schedule.GiveUpTime(started, wait)) Abandon();

#ifndef LACEWINGKNOT_POLICY_WATCH_SCHEDULE_H_
#define LACEWINGKNOT_POLICY_WATCH_SCHEDULE_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "lacewingknot/base/clock.h"
#include "lacewingknot/policy/membership.h"
#include "lacewingknot/policy/store_state.h"

namespace lacewingknot {

class WatchSchedule {
 public:
  struct Options {
    // Maximum age of the last confirmation while the store answers.
    Duration max_staleness = std::chrono::milliseconds(4'000);
    // Time, added to the wait that a call asks for, after which the call has
    // failed.
    Duration call_timeout = std::chrono::milliseconds(800);
  };
  struct State {
    bool is_sentinel = false;
    // The last call failed.
    bool is_store_lost = false;
    // A peer has seen a later revision, so that the store has an answer ready.
    bool is_behind = false;
  };

  explicit WatchSchedule(Options options) : options_(options) {}

  // The store answered this daemon.
  void OnConfirmed(TimePoint now);
  // A peer's report, received while this daemon's state is at `own`. A report
  // of a later version confirms nothing here, nor does one of an earlier epoch,
  // nor one of a daemon that has lost the store since it last answered here.
  // One without an epoch counts until OnEpochRose().
  void OnPeerReport(const StoreReport& report, const StoreVersion& own);
  // The store has returned with a higher epoch: what peers confirmed before
  // says nothing of it.
  void OnEpochRose();
  // A watch was abandoned at GiveUpTime().
  void OnAbandoned() { is_store_suspected_ = true; }

  // Returns the wait to ask for in the next watch.
  Duration Wait(TimePoint now, const State& state) const;
  // Returns when to give up a watch that began at `started` and asked for
  // `wait`, as far as is known now: reports extend a long watch.
  TimePoint GiveUpTime(TimePoint started, Duration wait) const;

  // Maximum time without confirmation during a long watch. Leaves time for one
  // more call within the maximum staleness.
  Duration max_unconfirmed() const;

 private:
  // Wait of a daemon that has no fresh report.
  Duration ShortWait() const;
  // Time between two confirmations to a sentinel.
  Duration SentinelInterval() const;

  Options options_;
  TimePoint confirmed_at_{};       // By the store's answers to this daemon.
  TimePoint peer_confirmed_at_{};  // By reports of peers.
  // A watch was abandoned, and the store has not answered since.
  bool is_store_suspected_ = false;
  bool has_epoch_risen_ = false;
};

// Returns the addresses of the sentinels of a fleet: at least two, in different
// data centres if there are several, and one for each 24 daemons. Daemons with
// the same list agree.
std::vector<std::string> SelectSentinels(std::span<const Member> alive);

// Returns the sentinels that `self` asks, in order of preference: those of its
// own data centre first, the others in an order of its own, which spreads the
// daemons over the sentinels.
std::vector<std::string> RankSentinels(const Member& self,
                                       std::span<const Member> alive,
                                       std::span<const std::string> sentinels);

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_WATCH_SCHEDULE_H_
