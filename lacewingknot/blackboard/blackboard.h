// What controllers publish and others read.
//
// Each section holds one immutable value and has one writer. A reader gets a
// consistent value without waiting for the writer, and can tell by the
// generation, one atomic load, that nothing has changed.
//
// Thread-safe.
//
// Example:
//   board.permit.Publish({.until = now + 3s});
//   if (board.permit.generation() != seen) Apply(*board.permit.Read());

#ifndef LACEWINGKNOT_BLACKBOARD_BLACKBOARD_H_
#define LACEWINGKNOT_BLACKBOARD_BLACKBOARD_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "lacewingknot/policy/fleet_view.h"
#include "lacewingknot/policy/warmth.h"
#include "lacewingknot/settings/tree.h"

namespace lacewingknot {

template <typename T>
class Section {
 public:
  void Publish(T value) {
    value_.store(std::make_shared<const T>(std::move(value)));
    generation_.fetch_add(1);
  }

  // Null until the first Publish.
  std::shared_ptr<const T> Read() const { return value_.load(); }

  // Number of values published.
  std::uint64_t generation() const { return generation_.load(); }

 private:
  std::atomic<std::shared_ptr<const T>> value_;
  std::atomic<std::uint64_t> generation_{0};
};

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
