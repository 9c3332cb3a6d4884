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
  entry.is_kept = false;
  removals_.erase(record.id);
  ApplyDoubt(entry, record);
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
  if (entry.doubted_until) {
    entry.remove_at = now;
    withdrawals_.erase(id);
    return;
  }
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

void DirectoryState::ApplyDoubt(Entry& entry, const UpstreamRecord& record) {
  const auto found = withdrawals_.find(record.id);
  if (found == withdrawals_.end()) return;
  const bool is_doubted =
      !record.draining && record.incarnation <= found->second.incarnation;
  if (!is_doubted) {
    // The upstream has registered anew.
    withdrawals_.erase(found);
    if (std::exchange(entry.doubted_until, std::nullopt)) changed_ = true;
  } else if (!entry.doubted_until) {
    entry.doubted_until = confirmed_at_ + kDoubtTime;
    changed_ = true;
  }
}

void DirectoryState::RememberWithdrawals() {
  for (const auto& [id, removal] : std::exchange(removals_, {})) {
    withdrawals_[id] = {.incarnation = removal.incarnation,
                        .was_removed = true,
                        .at = removal.at};
  }
  std::erase_if(withdrawals_, [&](const auto& withdrawal) {
    const auto& [id, mark] = withdrawal;
    const auto entry = entries_.find(id);
    const bool is_doubted =
        entry != entries_.end() && entry->second.doubted_until;
    return !is_doubted && *epoch_read_at_ - mark.at > kRememberRemovals;
  });
  for (const auto& [id, entry] : entries_) {
    if (!entry.record.draining) continue;
    withdrawals_[id] = {.incarnation = entry.record.incarnation,
                        .at = *epoch_read_at_};
  }
}

void DirectoryState::RememberRemoval(const UpstreamRecord& record,
                                     TimePoint now) {
  std::erase_if(removals_, [&](const auto& removal) {
    return now - removal.second.at > kRememberRemovals;
  });
  if (removals_.size() >= kMaxRememberedRemovals) return;
  removals_[record.id] = {.incarnation = record.incarnation, .at = now};
}

void DirectoryState::BeginListing(std::optional<TimePoint> epoch_read_at) {
  epoch_read_at_ = epoch_read_at;
  if (epoch_read_at_) RememberWithdrawals();
  for (auto& [id, entry] : entries_) entry.is_relisted = false;
  removal_revisions_.clear();
  evacuation_revisions_.clear();
}

void DirectoryState::RemoveUnlisted(const std::set<std::string>& present,
                                    std::uint64_t revision, TimePoint now) {
  for (auto& [id, entry] : entries_) {
    if (present.count(id) != 0) continue;
    if (epoch_read_at_ && entry.doubted_until) {
      // Still doubted if it comes back in this epoch.
      entry.remove_at = now;
    } else if (epoch_read_at_ && !entry.record.draining && !entry.remove_at) {
      entry.remove_at = *epoch_read_at_ + kKeepMissingUpstreams;
      entry.is_kept = true;
    }
    Remove(id, revision, now);
  }
}

void DirectoryState::Evacuate(const std::string& data_centre,
                              std::uint64_t revision) {
  std::uint64_t& known_revision = evacuation_revisions_[data_centre];
  if (revision < known_revision) return;
  known_revision = revision;
  kept_evacuations_.erase(data_centre);
  changed_ = evacuated_.insert(data_centre).second || changed_;
}

void DirectoryState::EndEvacuation(const std::string& data_centre,
                                   std::uint64_t revision) {
  std::uint64_t& known_revision = evacuation_revisions_[data_centre];
  if (revision < known_revision) return;
  known_revision = revision;
  kept_evacuations_.erase(data_centre);
  changed_ = evacuated_.erase(data_centre) > 0 || changed_;
}

void DirectoryState::EndUnlistedEvacuations(
    const std::set<std::string>& data_centres) {
  for (const std::string& name : evacuated_) {
    if (!epoch_read_at_ || data_centres.count(name) != 0) continue;
    kept_evacuations_.emplace(name, *epoch_read_at_ + kKeepMissingEvacuations);
  }
  changed_ = std::erase_if(evacuated_,
                           [&](const std::string& name) {
                             return data_centres.count(name) == 0 &&
                                    kept_evacuations_.count(name) == 0;
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
    if (entry.is_kept) ended_holds_.removed_upstreams.push_back(id);
    RememberRemoval(entry.record, now);
    removal_revisions_[id] = entry.revision;
    entries_.erase(id);
    changed_ = true;
  }
  EndDueHolds(now);
  return std::exchange(changed_, false);
}

void DirectoryState::EndDueHolds(TimePoint now) {
  for (auto& [id, entry] : entries_) {
    if (!entry.doubted_until || *entry.doubted_until > now) continue;
    // The entry must still have been present then.
    if (confirmed_at_ < *entry.doubted_until) {
      entry.doubted_until = now + kDoubtExtension;
      continue;
    }
    entry.doubted_until.reset();
    withdrawals_.erase(id);
    ended_holds_.trusted_upstreams.push_back(id);
    changed_ = true;
  }
  std::erase_if(kept_evacuations_, [&](const auto& kept) {
    if (kept.second > now) return false;
    evacuated_.erase(kept.first);
    ended_holds_.ended_evacuations.push_back(kept.first);
    changed_ = true;
    return true;
  });
}

DirectoryState::EpochHolds DirectoryState::epoch_holds() const {
  EpochHolds holds{.kept_evacuations = kept_evacuations_.size()};
  for (const auto& [id, entry] : entries_) {
    if (entry.is_kept) ++holds.kept_upstreams;
    if (entry.doubted_until) ++holds.doubted_upstreams;
  }
  return holds;
}

std::optional<TimePoint> DirectoryState::NextRemovalTime() const {
  std::optional<TimePoint> next;
  const auto add = [&next](const std::optional<TimePoint>& at) {
    if (at && (!next || *at < *next)) next = at;
  };
  for (const auto& [id, entry] : entries_) {
    add(entry.remove_at);
    add(entry.doubted_until);
  }
  for (const auto& [name, end] : kept_evacuations_) add(end);
  return next;
}

const UpstreamRecord* DirectoryState::Find(const std::string& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second.record;
}

Directory DirectoryState::Snapshot() const {
  Directory directory{.revision = revision_, .confirmed_at = confirmed_at_};
  for (const auto& [id, entry] : entries_) {
    const auto withdrawal = withdrawals_.find(id);
    const bool is_doubted =
        entry.doubted_until && withdrawal != withdrawals_.end();
    if (is_doubted && withdrawal->second.was_removed) continue;
    UpstreamRecord record = entry.record;
    if (is_doubted) record.draining = true;
    directory.upstreams.emplace(id, std::move(record));
  }
  directory.evacuated = evacuated_;
  return directory;
}

}  // namespace lacewingknot::edge
