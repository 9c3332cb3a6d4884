// What controllers publish and others read.
//
// Thread-safe.
//
// Example:
//   board.permit.Publish({.until = now + 3s});
//   if (board.permit.generation() != seen) Apply(*board.permit.Read());

#ifndef LACEWINGKNOT_BLACKBOARD_BLACKBOARD_H_
#define LACEWINGKNOT_BLACKBOARD_BLACKBOARD_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "lacewingknot/blackboard/section.h"
#include "lacewingknot/policy/fleet_view.h"
#include "lacewingknot/policy/warmth.h"
#include "lacewingknot/settings/tree.h"

namespace lacewingknot {

// Where a value came from.
enum class Source { kPlatform, kPeer };

// Written by the settings controller.
struct SettingsSection {
  SettingsPtr settings;
  TimePoint confirmed_at{};
  Source source = Source::kPlatform;
};

// Written by the VM list controller.
struct VmListSection {
  VmListPtr list;
  std::string text;  // As published, for peers.
  TimePoint confirmed_at{};
  std::uint64_t highest_peer_revision = 0;
};

// Written by the peer controller.
struct PermitSection {
  TimePoint until{};
  std::size_t peers_answering = 0;
  std::size_t peers_tried = 0;
};

// Written by the daemon's life cycle.
struct LifecycleSection {
  bool ready = false;
  bool draining = false;
};

// Written by the traffic thread.
struct EvidenceSection {
  struct Item {
    std::string upstream;
    WarmthClaim claim;
  };
  std::vector<Item> claims;
  std::vector<std::string> wanted;
};

struct Blackboard {
  Section<SettingsSection> settings;
  Section<VmListSection> vm_list;
  Section<PermitSection> permit;
  Section<LifecycleSection> lifecycle;
  Section<EvidenceSection> evidence;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_BLACKBOARD_BLACKBOARD_H_
