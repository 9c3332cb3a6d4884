// Ownership of upstreams: which daemon is the owner of which upstream.
//
// Ownership follows from the published VM list alone: rendezvous hashing of
// (upstream, VM), in which VMs in the upstream's own data centre take
// precedence. No shared state is written. Two rules prevent two daemons from
// owning an upstream at the same time while they hold different revisions of
// the list:
//
//  - A daemon acts on its list only within `lease` of the last confirmation.
//  - A daemon owns an upstream only if it has owned it under every list held in
//    the last `lease` and has skipped no revision in that time, so that the
//    lease of any previous owner has expired by then.
//
// A daemon compares the time of the confirmation with `now` when it is about to
// send. After a pause of its process it therefore finds its lease expired.
//
// Not thread-safe; a value type.
//
// Example:
//   FleetView view({.self = "vm-1", .lease = 3s});
//   view.OnVmList(list, now);
//   view.OnConfirmed(list->revision, now);
//   if (view.IsOwner({"wicket01a", "regina"}, now)) ...

#ifndef LACEWINGKNOT_POLICY_FLEET_VIEW_H_
#define LACEWINGKNOT_POLICY_FLEET_VIEW_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "lacewingknot/base/clock.h"

namespace lacewingknot {

// One VM of the published list. `upstream` is the name of the upstream that
// runs on the VM; it is empty for VMs that run daemons of this system.
struct VmEntry {
  std::string id;
  std::string data_centre;
  std::string peer_address;  // "IP:PORT" for messages between daemons.
  std::string upstream;
  bool is_leaving = false;
};

struct VmList {
  std::uint64_t revision = 0;
  std::vector<VmEntry> vms;
};

using VmListPtr = std::shared_ptr<const VmList>;

// An upstream and the data centre in which it runs.
struct UpstreamPlacement {
  std::string_view upstream;
  std::string_view data_centre;
};

// Returns the owner VM under `list`, or null if the list has no daemon VM that
// is not leaving. All daemons that hold the same list compute the same VM.
const VmEntry* RendezvousOwner(const VmList& list,
                               const UpstreamPlacement& placement);

// Returns the number of VMs that run daemons, including leaving ones.
std::size_t DaemonVmCount(const VmList& list);

class FleetView {
 public:
  struct Options {
    std::string self;
    Duration lease{};
  };

  explicit FleetView(Options options) : options_(std::move(options)) {}

  // Adopts `list`, first seen at `at`, unless it is no newer than the current
  // list. Returns whether the current list has changed.
  bool OnVmList(VmListPtr list, TimePoint at);

  // Records that the platform, or every peer, confirmed at `at` that `revision`
  // is the current one.
  void OnConfirmed(std::uint64_t revision, TimePoint at);

  // Records that a peer holds `revision`. If it is higher than that of the
  // current list, the lease is invalid until that revision is read.
  void OnPeerRevision(std::uint64_t revision);

  void set_lease(Duration lease) { options_.lease = lease; }

  bool IsLeaseValid(TimePoint now) const;

  // Returns whether the lease is valid and no revision was skipped within it.
  // If so, this daemon knows every fleet size that others may still act on.
  bool IsFleetSizeKnown(TimePoint now) const;

  // Returns whether this daemon is the owner now: the only daemon that may send
  // requests to the upstream while it is cold.
  bool IsOwner(const UpstreamPlacement& placement, TimePoint now) const;

  // Returns the owner VM under the current list, or null if there is none.
  // Cached for each upstream until the list or the placements change.
  const VmEntry* Owner(const UpstreamPlacement& placement) const;

  // Returns the largest fleet size under any list held in the last `lease`, at
  // least 1. Limits that apply to the whole fleet are divided by it.
  std::size_t FleetSize(TimePoint now) const;

  // Returns whether this daemon has a share of the limits. It has none if it is
  // not on the list, or has been on it for less than `lease`, because others
  // may not count it yet.
  bool HasShare(TimePoint now) const;

  // Discards cached owners after upstreams moved between data centres.
  void OnPlacementsChanged() { owners_.clear(); }

  const VmListPtr& list() const { return list_; }
  TimePoint confirmed_at() const { return confirmed_at_; }

 private:
  struct SupersededList {
    VmListPtr list;
    TimePoint superseded_at;
  };

  Options options_;
  VmListPtr list_;
  std::size_t size_ = 1;  // DaemonVmCount(*list_).
  TimePoint confirmed_at_{};
  TimePoint listed_at_{};
  bool is_listed_ = false;  // Whether `list_` contains this daemon.
  std::uint64_t highest_peer_revision_ = 0;
  std::deque<SupersededList> superseded_lists_;
  TimePoint skipped_at_{};  // Of the first list or the last skipped revision.
  // Owners under `list_`, keyed by upstream; the pointers are into `list_`.
  mutable std::unordered_map<std::string, const VmEntry*> owners_;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_FLEET_VIEW_H_
