// VM lists for property tests of decisions that depend on the fleet.

#ifndef TESTING_ANY_VM_LIST_H_
#define TESTING_ANY_VM_LIST_H_

#include <rapidcheck.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "lacewingknot/policy/fleet_view.h"

namespace lacewingknot::testing {

// Returns a list of the VMs "vm-N" for the numbers in `vms`.
inline VmListPtr MakeVmList(std::uint64_t revision,
                            const std::vector<int>& vms) {
  auto list = std::make_shared<VmList>();
  list->revision = revision;
  for (int vm : vms) {
    list->vms.push_back({.id = "vm-" + std::to_string(vm), .data_centre = "a"});
  }
  return list;
}

// Generates a non-empty subset of the VM numbers 0 to `daemons` - 1.
inline std::vector<int> GenerateVms(int daemons) {
  const int mask = *rc::gen::inRange(1, 1 << daemons);
  std::vector<int> vms;
  for (int vm = 0; vm < daemons; ++vm) {
    if ((mask >> vm & 1) != 0) vms.push_back(vm);
  }
  return vms;
}

}  // namespace lacewingknot::testing

#endif  // TESTING_ANY_VM_LIST_H_
