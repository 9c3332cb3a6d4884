// When the removal of an upstream's entry from the store takes effect.
//
// Load pattern: entries expire in the store when their upstreams cannot renew
// them, and a live upstream registers again within about two seconds after the
// store has returned. To drop it meanwhile costs its requests. But an upstream
// may also leave without having said `draining`: it then serves for a fixed
// time after the store has confirmed the removal, and a request that reaches it
// later is lost. Hundreds of entries may vanish at once for either reason: an
// outage that this daemon did not see, or planned work.
//
// Therefore a removal is held back only on evidence of an outage, and for no
// longer than a budget allows. The budget is the time for which an upstream
// serves after its removal, less the other links of the chain from the store's
// confirmation to the last request: the reader's pause between two calls, the
// delivery of its answer, and the sending of an attempt that was made just
// before.
//
// A daemon that the store turned away counts the time from when the store
// served a peer again, as far as peers have told it (OutageEvidence).
//
// No I/O and no clock. Not thread-safe.
//
// Example:
//   OutageEvidence outage;
//   outage.OnLost(now);
//   ...  // Peers report; the store answers again.
//   const TimePoint at = RemovalTime(
//       {.outage_ended_at = outage.OnRegained(now)}, budget, now);

#ifndef LACEWINGKNOT_POLICY_REMOVAL_HOLD_H_
#define LACEWINGKNOT_POLICY_REMOVAL_HOLD_H_

#include <optional>

#include "lacewingknot/base/clock.h"

namespace lacewingknot {

// Time within which live upstreams register again after the store's return.
inline constexpr Duration kReregistrationTime =
    std::chrono::milliseconds(2'000);
// The same, and the time to read their entries.
inline constexpr Duration kHoldAfterOutage = std::chrono::milliseconds(2'500);

// The links of the chain from the store's confirmation of a removal to the last
// request sent, apart from the reader's pause and the hold.
struct RemovalBudget {
  // Time for which an upstream serves after its removal was confirmed.
  Duration drain = std::chrono::milliseconds(3'000);
  // Longest time that an answer of a working store takes.
  Duration delivery = std::chrono::milliseconds(200);
  // Longest time from the choice of an upstream until the request is there: the
  // way to a relay, and the timeout of a connection.
  Duration sending = std::chrono::milliseconds(900);
};

// Returns how long the reader may pause between two calls, so that a removal
// that is not held is in force in time; zero if the budget leaves no time.
Duration LongestPause(const RemovalBudget& budget);

// Returns how long a removal may be held that was read after a pause of
// `pause`; zero if the budget leaves no time.
Duration LongestHold(const RemovalBudget& budget, Duration pause);

struct RemovalEvidence {
  // The entry had said that its upstream is about to leave.
  bool was_draining = false;
  // When the last outage ended that this daemon saw.
  std::optional<TimePoint> outage_ended_at;
  // Many entries that were in use vanish at once.
  bool is_storm = false;
  // Time before the call that brought the removal in which the store was not
  // asked: the removal may have been confirmed that long before.
  Duration pause{};
};

// Returns when a removal takes effect that was read at `now`; `now` itself if
// it is not held.
TimePoint RemovalTime(const RemovalEvidence& evidence,
                      const RemovalBudget& budget, TimePoint now);

// Finds out when an outage of the store ended that this daemon saw. Daemons
// notice the return at different times, and the store may turn away some of
// them only.
class OutageEvidence {
 public:
  // The store stopped answering this daemon.
  void OnLost(TimePoint now);
  // A peer reports that the store answered it at `confirmed_at` and has not
  // failed it since `unbroken_since`.
  void OnPeerReport(TimePoint unbroken_since, TimePoint confirmed_at);
  // The store answers this daemon again. Returns since when it served peers;
  // `now` if none is known to have been served before.
  TimePoint OnRegained(TimePoint now);

 private:
  // An answer this soon after the loss may be from before the outage, as the
  // ages in reports do not include their time on the way.
  static constexpr Duration kReportTolerance = std::chrono::milliseconds(500);

  std::optional<TimePoint> lost_at_;
  std::optional<TimePoint> peer_served_at_;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_REMOVAL_HOLD_H_
