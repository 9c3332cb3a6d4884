#include "lacewingknot/edge/directory_state.h"

#include <algorithm>
#include <utility>

namespace lacewingknot::edge {

void DirectoryState::Put(UpstreamRecord record, std::uint64_t revision) {
  const auto removed = removal_revisions_.find(record.id);
  if (removed != removal_revisions_.end() && removed->second >= revision) {
    return;
  }
  Entry& entry = entries_[record.id];
  if (entry.is_relisted && entry.revision >= revision && entry.revision != 0) {
    return;
  }
  const bool lacks_known_change =
      !entry.is_relisted && entry.revision > revision;
  entry.revision = revision;
  entry.is_relisted = true;
  entry.remove_at.reset();
  revision_ = std::max(revision_, revision);
  if (entry.record == record) return;
  if (lacks_known_change && entry.record.incarnation > record.incarnation) {
    return;
  }
  entry.record = std::move(record);
  changed_ = true;
}

void DirectoryState::Remove(const std::string& id, std::uint64_t revision,
                            TimePoint now) {
  revision_ = std::max(revision_, revision);
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  Entry& entry = found->second;
  if (entry.is_relisted && entry.revision > revision) return;
  entry.revision = revision;
  entry.is_relisted = true;
  if (entry.remove_at) return;
  RemovalEvidence evidence{.was_draining = entry.record.draining,
                           .outage_ended_at = outage_ended_at_,
                           .pause = pause_};
  entry.remove_at = RemovalTime(evidence, budget_, now);
  if (evidence.was_draining || *entry.remove_at > now) return;
  evidence.is_storm = CountRemoval(now);
  entry.remove_at = RemovalTime(evidence, budget_, now);
}

bool DirectoryState::CountRemoval(TimePoint now) {
  std::erase_if(removal_times_,
                [&](TimePoint at) { return now - at > kMassRemovalWindow; });
  removal_times_.push_back(now);
  const auto in_use = std::count_if(
      entries_.begin(), entries_.end(),
      [](const auto& entry) { return !entry.second.record.draining; });
  return static_cast<double>(removal_times_.size()) >
         kMassRemovalShare * static_cast<double>(in_use);
}

void DirectoryState::BeginListing() {
  for (auto& [id, entry] : entries_) entry.is_relisted = false;
  removal_revisions_.clear();
  evacuation_revisions_.clear();
}

void DirectoryState::RemoveUnlisted(const std::set<std::string>& present,
                                    std::uint64_t revision, TimePoint now) {
  for (const auto& [id, entry] : entries_) {
    if (present.count(id) == 0) Remove(id, revision, now);
  }
}

void DirectoryState::Evacuate(const std::string& data_centre,
                              std::uint64_t revision) {
  std::uint64_t& known_revision = evacuation_revisions_[data_centre];
  if (revision < known_revision) return;
  known_revision = revision;
  changed_ = evacuated_.insert(data_centre).second || changed_;
}

void DirectoryState::EndEvacuation(const std::string& data_centre,
                                   std::uint64_t revision) {
  std::uint64_t& known_revision = evacuation_revisions_[data_centre];
  if (revision < known_revision) return;
  known_revision = revision;
  changed_ = evacuated_.erase(data_centre) > 0 || changed_;
}

void DirectoryState::EndUnlistedEvacuations(
    const std::set<std::string>& data_centres) {
  changed_ = std::erase_if(evacuated_,
                           [&](const std::string& name) {
                             return data_centres.count(name) == 0;
                           }) > 0 ||
             changed_;
}

void DirectoryState::OnSourceAsked(TimePoint now) {
  pause_ = now - confirmed_at_;
}

void DirectoryState::OnPeerReport(TimePoint unbroken_since,
                                  TimePoint confirmed_at) {
  outage_.OnPeerReport(unbroken_since, confirmed_at);
}

void DirectoryState::OnSourceLost(TimePoint now) {
  outage_.OnLost(now);
  if (!lost_since_) lost_since_ = now;
}

void DirectoryState::OnSourceAnswered(std::uint64_t confirmed, TimePoint now) {
  const TimePoint served_since = outage_.OnRegained(now);
  if (lost_since_ && now - *lost_since_ >= kMinOutage) {
    outage_ended_at_ = served_since;
  }
  lost_since_.reset();
  confirmed_at_ = now;
  revision_ = std::max(revision_, confirmed);
}

bool DirectoryState::ApplyDueRemovals(TimePoint now) {
  std::vector<std::string> due;
  for (const auto& [id, entry] : entries_) {
    if (entry.remove_at && *entry.remove_at <= now) due.push_back(id);
  }
  for (const std::string& id : due) {
    const Entry& entry = entries_[id];
    removal_revisions_[id] = entry.revision;
    entries_.erase(id);
    changed_ = true;
  }
  return std::exchange(changed_, false);
}

std::optional<TimePoint> DirectoryState::NextRemovalTime() const {
  std::optional<TimePoint> next;
  for (const auto& [id, entry] : entries_) {
    if (entry.remove_at && (!next || *entry.remove_at < *next)) {
      next = entry.remove_at;
    }
  }
  return next;
}

const UpstreamRecord* DirectoryState::Find(const std::string& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second.record;
}

Directory DirectoryState::Snapshot() const {
  Directory directory{.revision = revision_, .confirmed_at = confirmed_at_};
  for (const auto& [id, entry] : entries_) {
    directory.upstreams.emplace(id, entry.record);
  }
  directory.evacuated = evacuated_;
  return directory;
}

}  // namespace lacewingknot::edge
