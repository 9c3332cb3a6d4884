// Maintains the directory of upstreams across outages of its source, the
// configuration store.
//
// Entries expire in the store when their owners cannot renew them. This also
// happens when only the store was unavailable and the upstream kept serving. A
// removal that arrives just after an outage
// is therefore deferred (policy/removal_hold.h); an upstream that is not
// registered again by then is removed. At other times a removal takes effect
// immediately, unless a large share of the directory is removed within a short
// time: that indicates an outage that no daemon has reported. Entries that had
// said `draining` leave at once and do not count for that share.
//
// The source may return from a copy, in a new epoch, without its latest
// changes. What is missing then is kept for a time, in which live upstreams
// register again and operators repeat their changes. An upstream that had been
// removed or draining and is listed as ready again may have ended since: it is
// not used until it would have expired.
//
// Deterministic: takes the time as an argument and does no I/O. Not
// thread-safe.
//
// Example:
//   DirectoryState state;
//   state.Put(record, revision);
//   state.Remove("up-1", revision, now);
//   if (state.ApplyDueRemovals(now)) Publish(state.Snapshot());

#ifndef LACEWINGKNOT_EDGE_DIRECTORY_STATE_H_
#define LACEWINGKNOT_EDGE_DIRECTORY_STATE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "lacewingknot/edge/upstream_directory.h"
#include "lacewingknot/policy/removal_hold.h"

namespace lacewingknot::edge {

class DirectoryState {
 public:
  // Longest time for which a removal is deferred.
  static constexpr Duration kRemovalDelayAfterOutage = kHoldAfterOutage;
  // No entry expires during a shorter loss of the source.
  static constexpr Duration kMinOutage = std::chrono::milliseconds(1'000);
  // How long upstreams and evacuations are kept after the first listing of a
  // new epoch that lacks them.
  static constexpr Duration kKeepMissingUpstreams = kHoldAfterOutage;
  static constexpr Duration kKeepMissingEvacuations =
      std::chrono::milliseconds(5'000);
  // The entry of a silent upstream has expired after three heartbeat intervals.
  static constexpr Duration kDoubtTime = std::chrono::milliseconds(3'600);

  // What differs from the source because of its return in a new epoch.
  struct EpochHolds {
    std::size_t kept_upstreams = 0;
    std::size_t kept_evacuations = 0;
    std::size_t doubted_upstreams = 0;
  };
  // What ceased to differ, by id or name.
  struct EndedHolds {
    std::vector<std::string> removed_upstreams;
    std::vector<std::string> trusted_upstreams;
    std::vector<std::string> ended_evacuations;

    bool empty() const {
      return removed_upstreams.empty() && trusted_upstreams.empty() &&
             ended_evacuations.empty();
    }
  };

  explicit DirectoryState(const RemovalBudget& budget = {}) : budget_(budget) {}

  // Applies a value or a removal of an entry at `revision`. Ignored if a later
  // revision of the same entry is known.
  void Put(UpstreamRecord record, std::uint64_t revision);
  void Remove(const std::string& id, std::uint64_t revision, TimePoint now);

  // Begins to apply a full listing of the source. It replaces what is known,
  // also where that bears a later revision: a source that returned without its
  // last changes uses their revisions again. Only a known incarnation that is
  // later than the listed one is kept until the upstream registers again.
  // `epoch_read_at`: when the listing was read, if it is the first one of a new
  // epoch.
  void BeginListing(std::optional<TimePoint> epoch_read_at = std::nullopt);
  // Applies a full listing: removes every entry that is not in `present`.
  // `revision` is that of the listing.
  void RemoveUnlisted(const std::set<std::string>& present,
                      std::uint64_t revision, TimePoint now);

  // Evacuation marks a data centre whose upstreams must not be used. Changes
  // older than the known revision of the same data centre are ignored.
  void Evacuate(const std::string& data_centre, std::uint64_t revision);
  void EndEvacuation(const std::string& data_centre, std::uint64_t revision);
  // Applies a full listing of the evacuated data centres.
  void EndUnlistedEvacuations(const std::set<std::string>& data_centres);

  // Records that the source is asked for changes: those that its answer brings
  // were confirmed after its previous answer.
  void OnSourceAsked(TimePoint now);
  // The same for changes that a peer passes on: they were confirmed up to
  // `pause` before they arrived.
  void OnChangesPassedOn(Duration pause) { pause_ = pause; }
  // Records since when the source has answered a peer without fail, and its
  // last answer there.
  void OnPeerReport(TimePoint unbroken_since, TimePoint confirmed_at);
  // Records that the source stopped answering, or answered and thereby
  // confirmed the revision `confirmed`.
  void OnSourceLost(TimePoint now);
  void OnSourceAnswered(std::uint64_t confirmed, TimePoint now);
  bool source_lost() const { return lost_since_.has_value(); }
  std::optional<TimePoint> lost_since() const { return lost_since_; }

  // Applies the deferred removals that are due. Returns whether the directory
  // has changed since the last call.
  bool ApplyDueRemovals(TimePoint now);
  // Returns when the next deferred removal is due, or the next hold ends that a
  // new epoch has caused; empty if there is none.
  std::optional<TimePoint> NextRemovalTime() const;
  EpochHolds epoch_holds() const;
  // Returns the holds that have ended since the last call.
  EndedHolds TakeEndedHolds() { return std::exchange(ended_holds_, {}); }

  // Returns the record of upstream `id`; null if it is not known. Valid until
  // the next change.
  const UpstreamRecord* Find(const std::string& id) const;

  Directory Snapshot() const;

 private:
  // Share of the entries in use that may be removed within kMassRemovalWindow
  // with immediate effect.
  static constexpr double kMassRemovalShare = 0.3;
  static constexpr Duration kMassRemovalWindow =
      std::chrono::milliseconds(1'500);

  // Most removals that are remembered, and for how long: a copy of the source
  // is some seconds old.
  static constexpr std::size_t kMaxRememberedRemovals = 4'096;
  static constexpr Duration kRememberRemovals = std::chrono::minutes(10);
  // Until the next attempt to end a doubt that the source has not confirmed.
  static constexpr Duration kDoubtExtension = std::chrono::milliseconds(200);

  // Whether the removals of the last moment are too many for one cause other
  // than an outage. Counts one more, at `now`.
  bool CountRemoval(TimePoint now);

  struct Entry {
    UpstreamRecord record;
    std::uint64_t revision = 0;
    bool is_relisted = true;  // Applied since the last BeginListing().
    std::optional<TimePoint> remove_at;
    // The removal is due to a new epoch that lacks the entry.
    bool is_kept = false;
    // Until then the upstream is not used, whatever the record says.
    std::optional<TimePoint> doubted_until;
  };
  struct Removal {
    std::int64_t incarnation = 0;
    TimePoint at{};
  };
  // What an upstream was before the epoch rose.
  struct Withdrawal {
    std::int64_t incarnation = 0;
    bool was_removed = false;  // Else it was draining.
    TimePoint at{};            // Of its removal or of the new epoch.
  };

  // Collects the upstreams that were removed or draining before a new epoch.
  void RememberWithdrawals();
  // Records the doubt in a record that is applied to `entry`, or its end.
  void ApplyDoubt(Entry& entry, const UpstreamRecord& record);
  void EndDueHolds(TimePoint now);
  void RememberRemoval(const UpstreamRecord& record, TimePoint now);

  RemovalBudget budget_;
  std::map<std::string, Entry> entries_;
  std::map<std::string, std::uint64_t> removal_revisions_;
  std::set<std::string> evacuated_;
  // Evacuations that the source lacks since its new epoch, and their ends.
  std::map<std::string, TimePoint> kept_evacuations_;
  std::map<std::string, Removal> removals_;        // Of this epoch.
  std::map<std::string, Withdrawal> withdrawals_;  // Of earlier epochs.
  // Of the current listing, if it is the first one of its epoch.
  std::optional<TimePoint> epoch_read_at_;
  EndedHolds ended_holds_;
  std::map<std::string, std::uint64_t> evacuation_revisions_;
  std::optional<TimePoint> lost_since_;
  std::vector<TimePoint> removal_times_;  // Within kMassRemovalWindow.
  OutageEvidence outage_;
  std::optional<TimePoint> outage_ended_at_;
  // Between the previous answer and the last call.
  Duration pause_{};
  std::uint64_t revision_ = 0;
  TimePoint confirmed_at_{};
  bool changed_ = false;
};

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_DIRECTORY_STATE_H_
