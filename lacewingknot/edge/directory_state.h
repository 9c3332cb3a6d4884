// Keeps the directory of upstreams true while its source comes and goes.
//
// Entries vanish from the store when their owners cannot renew them, also while
// only the store was away and the upstream served on. A removal seen just after
// an outage is therefore held back until kHoldAfterOutage; an upstream that has
// not come back by then is gone. A removal in quiet times counts at once,
// unless much of the directory goes within a moment: then the store was away
// unseen.
//
// Pure: takes the time as an argument. Not thread-safe.
//
// Example:
//   DirectoryState state;
//   state.Put(record, revision);
//   state.Remove("up-1", revision, now);
//   if (state.Advance(now)) Publish(state.Snapshot(now));

#ifndef LACEWINGKNOT_EDGE_DIRECTORY_STATE_H_
#define LACEWINGKNOT_EDGE_DIRECTORY_STATE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lacewingknot/edge/upstream_directory.h"

namespace lacewingknot::edge {

class DirectoryState {
 public:
  // Entries of live upstreams are back within about two seconds of the store's
  // return; the rest is for our own delay in reading them.
  static constexpr Duration kHoldAfterOutage = std::chrono::milliseconds(2'500);
  // A shorter loss of the source lets no entry expire.
  static constexpr Duration kShortestOutage = std::chrono::milliseconds(1'000);

  // A value or removal of an entry at `revision`. Older revisions than the one
  // known of the same entry are ignored.
  void Put(UpstreamRecord record, std::uint64_t revision);
  void Remove(const std::string& id, std::uint64_t revision, TimePoint now);

  // A whole reading of the source: every entry that is not in `present` and was
  // not changed after `revision` is removed.
  void KeepOnly(const std::set<std::string>& present, std::uint64_t revision,
                TimePoint now);

  void Evacuate(const std::string& data_centre, std::uint64_t revision);
  void EndEvacuation(const std::string& data_centre, std::uint64_t revision);
  void KeepOnlyEvacuated(const std::set<std::string>& data_centres);

  // The source answers, or does not. `confirmed` is the revision that an answer
  // vouches for.
  void OnSourceLost(TimePoint now);
  void OnSourceAnswered(std::uint64_t confirmed, TimePoint now);
  bool source_lost() const { return lost_since_.has_value(); }
  std::optional<TimePoint> lost_since() const { return lost_since_; }

  // Carries out removals whose time has come. Returns whether there is anything
  // new to publish since the last call.
  bool Advance(TimePoint now);
  // When Advance may have something to do next.
  std::optional<TimePoint> NextWake() const;

  Directory Snapshot() const;

 private:
  // Share of the directory that may go within kSuddenTime and count at once.
  static constexpr double kSuddenShare = 0.3;
  static constexpr Duration kSuddenTime = std::chrono::milliseconds(1'500);

  struct Entry {
    UpstreamRecord record;
    std::uint64_t revision = 0;
    std::optional<TimePoint> remove_at;
  };

  std::map<std::string, Entry> entries_;
  std::map<std::string, std::uint64_t> removed_;  // Revision of the removal.
  std::set<std::string> evacuated_;
  std::map<std::string, std::uint64_t> evacuation_revisions_;
  std::optional<TimePoint> lost_since_;
  std::vector<TimePoint> removal_times_;  // Within kSuddenTime.
  std::optional<TimePoint> answered_again_at_;
  std::uint64_t revision_ = 0;
  TimePoint confirmed_at_{};
  bool changed_ = false;
};

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_DIRECTORY_STATE_H_
