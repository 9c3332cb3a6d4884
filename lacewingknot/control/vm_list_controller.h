// Holds the published list of VMs that is in force.
//
// The controller writes the `vm_list` section of the blackboard. The revision
// of the list in force only rises. The list lags behind the fleet: it decides
// which daemon owns an upstream and says which VMs are leaving, but it never
// proves that a VM is alive.
//
// Errors: a list that cannot be parsed is logged and refused; the list in force
// stays. Not thread-safe: used on the control thread only.
//
// Example:
//   VmListController vm_list(board);
//   vm_list.OnDocument(text, DocumentSource::kPlatform, now);
//   if (vm_list.list() != nullptr) Use(*vm_list.list());

#ifndef LACEWINGKNOT_CONTROL_VM_LIST_CONTROLLER_H_
#define LACEWINGKNOT_CONTROL_VM_LIST_CONTROLLER_H_

#include <string>

#include "lacewingknot/blackboard/blackboard.h"

namespace lacewingknot {

class VmListController {
 public:
  explicit VmListController(Blackboard& board) : board_(board) {}

  // Parses a list that `source` held at `at` and puts it in force if it is
  // newer; returns whether it did.
  bool OnDocument(const std::string& text, DocumentSource source, TimePoint at);

  // Records that `revision` was current at `at`, as confirmed by the platform
  // or by every exchange peer. Other revisions than the one in force are
  // ignored.
  void OnConfirmed(std::uint64_t revision, TimePoint at);

  // Records that a peer holds `revision`.
  void OnPeerRevision(std::uint64_t revision);

  // Null until a list is in force.
  const VmListPtr& list() const { return section_.list; }
  // The list in force as published; empty if there is none.
  const std::string& text() const { return section_.text; }
  // Revision of the list in force; 0 if there is none.
  std::uint64_t revision() const;
  // Latest time at which the list in force was confirmed as current;
  // TimePoint{} if never.
  TimePoint confirmed_at() const { return section_.confirmed_at; }
  // Whether a peer holds a newer list.
  bool is_behind() const { return section_.highest_peer_revision > revision(); }

 private:
  Blackboard& board_;
  VmListSection section_;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_CONTROL_VM_LIST_CONTROLLER_H_
