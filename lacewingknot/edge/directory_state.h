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

  explicit DirectoryState(const RemovalBudget& budget = {}) : budget_(budget) {}

  // Applies a value or a removal of an entry at `revision`. Ignored if a later
  // revision of the same entry is known.
  void Put(UpstreamRecord record, std::uint64_t revision);
  void Remove(const std::string& id, std::uint64_t revision, TimePoint now);

  // Begins to apply a full listing of the source. It replaces what is known,
  // also where that bears a later revision: a source that returned without its
  // last changes uses their revisions again. Only a known incarnation that is
  // later than the listed one is kept until the upstream registers again.
  void BeginListing();
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
  // Returns when the next deferred removal is due; empty if there is none.
  std::optional<TimePoint> NextRemovalTime() const;

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

  // Whether the removals of the last moment are too many for one cause other
  // than an outage. Counts one more, at `now`.
  bool CountRemoval(TimePoint now);

  struct Entry {
    UpstreamRecord record;
    std::uint64_t revision = 0;
    bool is_relisted = true;  // Applied since the last BeginListing().
    std::optional<TimePoint> remove_at;
  };

  RemovalBudget budget_;
  std::map<std::string, Entry> entries_;
  std::map<std::string, std::uint64_t> removal_revisions_;
  std::set<std::string> evacuated_;
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
