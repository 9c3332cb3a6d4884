#include "lacewingknot/control/settings_controller.h"

#include <xxhash.h>

#include <algorithm>

#include "lacewingknot/base/event_log.h"

namespace lacewingknot {
namespace {

std::string_view SourceName(DocumentSource source) {
  return source == DocumentSource::kPlatform ? "platform" : "peer";
}

std::string_view DecisionName(SettingsDecision decision) {
  switch (decision) {
    case SettingsDecision::kAccept:
      return "accepted";
    case SettingsDecision::kSame:
      return "same";
    case SettingsDecision::kStale:
      return "stale";
    case SettingsDecision::kConflictKeep:
      return "conflict_kept";
    case SettingsDecision::kConflictReplace:
      return "conflict_replaced";
  }
  return "unknown";
}

}  // namespace

SettingsVersion SettingsController::in_force() const {
  if (section_.settings == nullptr) return {};
  return {.revision = section_.settings->revision,
          .content_hash = section_.settings->content_hash};
}

SettingsDecision SettingsController::OnDocument(std::string_view text,
                                                DocumentSource source,
                                                TimePoint at) {
  ParsedSettings parsed = ParseSettings(text);
  if (parsed.tree == nullptr) {
    const std::uint64_t hash = XXH3_64bits(text.data(), text.size());
    if (hash != last_refused_hash_) Refuse(parsed.faults, source);
    last_refused_hash_ = hash;
    return SettingsDecision::kStale;
  }
  const SettingsVersion offered{.revision = parsed.tree->revision,
                                .content_hash = parsed.tree->content_hash};
  const SettingsDecision decision = DecideSettings(in_force(), offered);
  metrics_.OnSettings(DecisionName(decision));
  const EventField revision("revision", offered.revision);
  const EventField source_field("source", SourceName(source));
  switch (decision) {
    case SettingsDecision::kAccept:
      LogEvent(Event::kSettingsAccepted, {revision, source_field});
      break;
    case SettingsDecision::kStale:
      LogEvent(Event::kSettingsStale,
               {revision, source_field, {"in_force", in_force().revision}});
      return decision;
    case SettingsDecision::kConflictKeep:
      LogEvent(Event::kSettingsConflict,
               {revision, source_field, {"kept", "own"}});
      return decision;
    case SettingsDecision::kConflictReplace:
      LogEvent(Event::kSettingsConflict,
               {revision, source_field, {"kept", "offered"}});
      break;
    case SettingsDecision::kSame:
      if (source == DocumentSource::kPlatform) OnConfirmed(at);
      return decision;
  }
  // A document from a peer does not confirm that the platform still holds it.
  const bool confirmed = source == DocumentSource::kPlatform;
  section_ = {.settings = parsed.tree,
              .confirmed_at = confirmed ? at : TimePoint{},
              .source = source};
  metrics_.set_settings_revision(offered.revision);
  board_.settings.Publish(section_);
  return decision;
}

void SettingsController::OnConfirmed(TimePoint at) {
  if (section_.settings == nullptr) return;
  section_.confirmed_at = std::max(section_.confirmed_at, at);
}

void SettingsController::Refuse(const std::vector<SettingsFault>& faults,
                                DocumentSource source) {
  ++refused_count_;
  metrics_.OnSettings("refused");
  for (const SettingsFault& fault : faults) {
    LogEvent(Event::kSettingsRefused,
             {{"source", SourceName(source)},
              {"fault", FormatFault("settings", fault)}});
  }
}

}  // namespace lacewingknot
