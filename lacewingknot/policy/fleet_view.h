// Which daemon is responsible for which upstream.
//
// Responsibility follows from the published VM list alone: rendezvous hashing
// of (upstream, VM), VMs of the upstream's own data centre first. No daemon
// writes anything. Two rules keep two daemons from being responsible at once
// while they hold different revisions of the list:
//
//  - A daemon acts on its list only within `lease` of the last confirmation.
//  - A daemon is responsible only if it has been so under every list held in
//    the last `lease`, and has passed over none, so that the lease of any
//    predecessor has run out by then.
//
// A daemon that was paused compares `now` with the confirmation when it is
// about to send, so its lease has expired when it wakes.
//
// Not thread-safe; a value type.
//
// Example:
//   FleetView view({.self = "vm-1", .lease = 3s});
//   view.OnList(list, now);
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

// One VM of the published list. `upstream` names the upstream that runs on the
// VM; it is empty for the system's own VMs.
struct VmEntry {
  std::string id;
  std::string data_centre;
  std::string peer_address;  // "IP:PORT" for messages between daemons.
  std::string upstream;
  bool leaving = false;
};

struct VmList {
  std::uint64_t revision = 0;
  std::vector<VmEntry> vms;
};

using VmListPtr = std::shared_ptr<const VmList>;

// The upstream whose responsible VM is sought.
struct Placement {
  std::string_view upstream;
  std::string_view data_centre;
};

// Returns the responsible VM of `list`, or null if it has no VM that stays.
// Every daemon that holds the same list gets the same VM.
const VmEntry* RendezvousOwner(const VmList& list, const Placement& placement);

// Returns the number of the system's own VMs, leaving ones included.
std::size_t EntryVmCount(const VmList& list);

class FleetView {
 public:
  struct Options {
    std::string self;
    Duration lease{};
  };

  explicit FleetView(Options options) : options_(std::move(options)) {}

  // Takes a list first seen at `at`. Ignores one no newer than the list held;
  // returns whether the list held has changed.
  bool OnList(VmListPtr list, TimePoint at);

  // The platform, or every peer, confirmed at `at` that `revision` is current.
  void OnConfirmed(std::uint64_t revision, TimePoint at);

  // A peer holds `revision`. A higher one ends the lease until it is read.
  void OnPeerRevision(std::uint64_t revision);

  void set_lease(Duration lease) { options_.lease = lease; }

  bool LeaseValid(TimePoint now) const;

  // True if the lease is valid and no list has been passed over within it: this
  // daemon knows the size of the fleet that others may still act on.
  bool IsSettled(TimePoint now) const;

  // True if this daemon alone may give work to a cold `placement` now.
  bool IsOwner(const Placement& placement, TimePoint now) const;

  // The VM responsible under the current list; null if there is none. Computed
  // once for each upstream and list.
  const VmEntry* Owner(const Placement& placement) const;

  // The largest fleet under any list held in the last lease, at least 1: the
  // divisor of limits that belong to the whole fleet.
  std::size_t FleetSize(TimePoint now) const;

  // False for a daemon that the list does not name, or has named for so short
  // a time that others may not count it yet: it has no share of any limit.
  bool MayShare(TimePoint now) const;

  // Upstreams have moved between data centres.
  void OnPlacementsChanged() { owners_.clear(); }

  const VmListPtr& list() const { return list_; }
  TimePoint confirmed_at() const { return confirmed_at_; }

 private:
  struct PastList {
    VmListPtr list;
    TimePoint superseded_at;
  };

  Options options_;
  VmListPtr list_;
  std::size_t size_ = 1;  // EntryVmCount of `list_`.
  TimePoint confirmed_at_{};
  TimePoint listed_at_{};
  bool listed_ = false;  // By the list held.
  std::uint64_t highest_peer_revision_ = 0;
  std::deque<PastList> past_;
  TimePoint skipped_at_{};  // The first list came, or one was passed over.
  // Owners under `list_`, which holds the entries.
  mutable std::unordered_map<std::string, const VmEntry*> owners_;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_FLEET_VIEW_H_
