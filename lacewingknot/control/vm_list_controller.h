// Keeps the published list of VMs.
//
// Writes the `vm_list` section. The list's revision only rises. The list lags,
// so it decides responsibility and says which VMs leave; it never proves that
// a VM is alive. Not thread-safe: lives on the control thread.

#ifndef LACEWINGKNOT_CONTROL_VM_LIST_CONTROLLER_H_
#define LACEWINGKNOT_CONTROL_VM_LIST_CONTROLLER_H_

#include <string>

#include "lacewingknot/blackboard/blackboard.h"

namespace lacewingknot {

class VmListController {
 public:
  explicit VmListController(Blackboard& board) : board_(board) {}

  // Takes a list that `source` held at `at`; returns whether it went into
  // force.
  bool OnDocument(const std::string& text, Source source, TimePoint at);

  // The platform, or every peer, held `revision` at `at`.
  void OnConfirmed(std::uint64_t revision, TimePoint at);

  // A peer holds `revision`.
  void OnPeerRevision(std::uint64_t revision);

  // Null until a list has been read.
  const VmListPtr& list() const { return section_.list; }
  const std::string& text() const { return section_.text; }
  std::uint64_t revision() const;
  TimePoint confirmed_at() const { return section_.confirmed_at; }
  bool behind() const { return section_.highest_peer_revision > revision(); }

 private:
  Blackboard& board_;
  VmListSection section_;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_CONTROL_VM_LIST_CONTROLLER_H_
