#include "lacewingknot/policy/store_version.h"

namespace lacewingknot {

EpochTracker::Anomaly EpochTracker::OnAnswer(std::optional<std::uint64_t> epoch,
                                             TimePoint asked_at) {
  if (!epoch) return has_value_ ? Anomaly::kMissing : Anomaly::kNone;
  if (*epoch < answered_) return Anomaly::kDecreased;
  has_value_ = true;
  read_has_value_ = true;
  answered_ = *epoch;
  if (reported_ > answered_ && asked_at >= reported_at_) {
    ++refuted_;
    refuted_at_ = asked_at;
    reported_ = 0;
    // The contents may bear the refuted value if no answer stated another.
    contents_ = std::min(contents_, answered_);
  } else if (reported_ != 0 && reported_ <= answered_) {
    refuted_at_.reset();
  }
  return Anomaly::kNone;
}

bool EpochTracker::OnPeerReport(std::uint64_t epoch, TimePoint now) {
  if (epoch <= known()) return false;
  if (refuted_at_ && now - *refuted_at_ < kRefutedInterval) return false;
  const bool was_known = must_read();
  reported_ = epoch;
  reported_at_ = now;
  return must_read() && !was_known;
}

void EpochTracker::OnReadBegan(TimePoint now) {
  read_began_at_ = now;
  read_has_value_ = false;
}

std::optional<EpochTracker::Rise> EpochTracker::OnReadEnded() {
  // What was read after a peer's report is at least of the reported epoch.
  const bool is_of_reported =
      !read_has_value_ && read_began_at_ >= reported_at_;
  const Rise rise{.from = contents_,
                  .to = is_of_reported ? known() : answered_};
  const bool has_risen = has_contents_ && rise.to > rise.from;
  has_contents_ = true;
  contents_ = std::max(rise.from, rise.to);
  if (!has_risen) return std::nullopt;
  has_risen_ = true;
  return rise;
}

}  // namespace lacewingknot
