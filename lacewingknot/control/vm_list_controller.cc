#include "lacewingknot/control/vm_list_controller.h"

#include <algorithm>

#include "lacewingknot/base/event_log.h"
#include "lacewingknot/documents/documents.h"

namespace lacewingknot {

std::uint64_t VmListController::revision() const {
  return section_.list == nullptr ? 0 : section_.list->revision;
}

bool VmListController::OnDocument(const std::string& text,
                                  DocumentSource source, TimePoint at) {
  Result<VmList> parsed = ParseVmList(text);
  if (!parsed) {
    LogEvent(Event::kSettingsRefused,
             {{"document", "vms"}, {"fault", parsed.error().detail}});
    return false;
  }
  if (section_.list != nullptr && parsed.value().revision <= revision()) {
    if (source == DocumentSource::kPlatform) {
      OnConfirmed(parsed.value().revision, at);
    }
    return false;
  }
  section_.list = std::make_shared<const VmList>(std::move(parsed.value()));
  section_.text = text;
  // A list from a peer does not confirm that the platform still holds it.
  section_.confirmed_at =
      source == DocumentSource::kPlatform ? at : TimePoint{};
  LogEvent(Event::kVmListAccepted,
           {{"revision", revision()}, {"vms", section_.list->vms.size()}});
  board_.vm_list.Publish(section_);
  return true;
}

void VmListController::OnConfirmed(std::uint64_t revision, TimePoint at) {
  if (section_.list == nullptr || revision != this->revision()) return;
  if (at <= section_.confirmed_at) return;
  section_.confirmed_at = at;
  board_.vm_list.Publish(section_);
}

void VmListController::OnPeerRevision(std::uint64_t revision) {
  if (revision <= section_.highest_peer_revision) return;
  section_.highest_peer_revision = revision;
  if (section_.list != nullptr) board_.vm_list.Publish(section_);
}

}  // namespace lacewingknot
