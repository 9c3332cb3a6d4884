// State that one component of the daemon publishes for the others.
//
// Each section is written by one component, named at its type, and may be read
// on any thread; see section.h. Thread-safe.
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
#include "lacewingknot/policy/warmup_state.h"
#include "lacewingknot/settings/tree.h"

namespace lacewingknot {

// Where a document was received from.
enum class DocumentSource { kPlatform, kPeer };

// Written by the settings controller.
struct SettingsSection {
  SettingsPtr settings;
  // When the platform last confirmed that it holds these settings; TimePoint{}
  // if the settings came from a peer and the platform has not confirmed them.
  TimePoint confirmed_at{};
  DocumentSource source = DocumentSource::kPlatform;
};

// Written by the VM list controller.
struct VmListSection {
  VmListPtr list;
  std::string text;  // The document as published, to be sent to peers.
  // When the platform last confirmed that it holds this list; TimePoint{} if
  // the list came from a peer and the platform has not confirmed it.
  TimePoint confirmed_at{};
  // Highest revision of the list that any peer has reported.
  std::uint64_t highest_peer_revision = 0;
};

// Written by the peer controller.
struct PermitSection {
  TimePoint until{};  // When the permit to work expires.
  std::size_t peers_answering = 0;
  std::size_t peers_tried = 0;
};

// Written by the control loop.
struct LifecycleSection {
  bool is_ready = false;
  bool is_draining = false;
};

// Warm-up reports to exchange with peers. Written by the traffic thread.
struct WarmupReportsSection {
  struct Item {
    std::string upstream;
    WarmupReport report;
  };
  std::vector<Item> reports;  // This daemon's reports, for peers.
  // Upstreams whose reports this daemon requests from peers.
  std::vector<std::string> requested_upstreams;
};

struct Blackboard {
  Section<SettingsSection> settings;
  Section<VmListSection> vm_list;
  Section<PermitSection> permit;
  Section<LifecycleSection> lifecycle;
  Section<WarmupReportsSection> warmup_reports;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_BLACKBOARD_BLACKBOARD_H_
