#include "lacewingknot/policy/store_state.h"

#include <xxhash.h>

#include <algorithm>

namespace lacewingknot {
namespace {

// Reports do not distinguish full reads that are longer ago than this.
constexpr Duration kReadAgeLimit = std::chrono::hours(1);
// A report seems later than it was by its time on the network.
constexpr Duration kMaxReportDelay = std::chrono::seconds(1);

bool HaveCommonRevision(const StoreState& one, const StoreState& other) {
  return std::max(one.since, other.since) <= std::min(one.until, other.until);
}

// Whether the contents differ at a revision that both states include.
bool Contradict(const StoreState& one, const StoreState& other) {
  return HaveCommonRevision(one, other) && one.digest != other.digest;
}

// Whether the store had a lower revision when `later` read it than in its
// answer to `earlier` before. Only the time of a full read counts: a watch may
// have been answered long before its answer arrived.
bool IsBehindEarlierAnswer(const StoreReport& earlier,
                           const StoreReport& later) {
  return later.state.until < earlier.state.until &&
         later.unbroken_since > earlier.confirmed_at + kMaxReportDelay;
}

}  // namespace

bool AreSame(const StoreState& one, const StoreState& other) {
  return one.is_known() && other.is_known() && one.digest == other.digest &&
         HaveCommonRevision(one, other);
}

void ContentsDigest::Put(const std::string& key, std::string_view value) {
  const std::uint64_t key_hash = XXH3_64bits(key.data(), key.size());
  const std::uint64_t hash =
      XXH3_64bits_withSeed(value.data(), value.size(), key_hash);
  std::uint64_t& known = hashes_[key];
  sum_ += hash - known;
  known = hash;
}

void ContentsDigest::Erase(const std::string& key) {
  const auto found = hashes_.find(key);
  if (found == hashes_.end()) return;
  sum_ -= found->second;
  hashes_.erase(found);
}

void ContentsDigest::Clear() {
  hashes_.clear();
  sum_ = 0;
}

std::uint32_t ContentsDigest::value() const {
  constexpr int kHalf = 32;
  return static_cast<std::uint32_t>(sum_ ^ (sum_ >> kHalf));
}

Comparison CompareReports(const StoreReport& own, const StoreReport& peer,
                          TimePoint now) {
  if (own.epoch != 0 && peer.epoch != 0 && own.epoch != peer.epoch) {
    return own.epoch < peer.epoch ? Comparison::kOwnMayBeOutdated
                                  : Comparison::kPeerMayBeOutdated;
  }
  if (!own.state.is_known() || !peer.state.is_known()) {
    return Comparison::kCompatible;
  }
  if (IsBehindEarlierAnswer(own, peer)) return Comparison::kOwnMayBeOutdated;
  if (IsBehindEarlierAnswer(peer, own)) return Comparison::kPeerMayBeOutdated;
  if (!Contradict(own.state, peer.state)) return Comparison::kCompatible;
  const TimePoint limit = now - kReadAgeLimit;
  return std::max(own.unbroken_since, limit) >
                 std::max(peer.unbroken_since, limit)
             ? Comparison::kPeerMayBeOutdated
             : Comparison::kOwnMayBeOutdated;
}

bool RereadLimiter::Allow(TimePoint now) {
  if (last_ != TimePoint{} && now - last_ < interval_) return false;
  if (last_ == TimePoint{} || now - last_ >= 2 * kMaxInterval) reads_ = 0;
  ++reads_;
  interval_ =
      reads_ <= kBurst ? kMinInterval : std::min(interval_ * 2, kMaxInterval);
  last_ = now;
  return true;
}

void StoreComparison::OnFullRead(const StoreReport& own) {
  own_ = own;
  passed_.clear();
  peer_reports_.clear();
}

std::optional<StoreReport> StoreComparison::OnAnswer(
    std::span<const StoreState> passed, const StoreReport& own, TimePoint now) {
  passed_.insert(passed_.end(), passed.begin(), passed.end());
  while (passed_.size() > kMaxPassedStates) passed_.pop_front();
  own_ = own;
  const auto found =
      std::find_if(peer_reports_.begin(), peer_reports_.end(),
                   [&](const auto& peer) { return IsOutdatedBy(peer, now); });
  if (found == peer_reports_.end()) return std::nullopt;
  return *found;
}

bool StoreComparison::OnPeerReport(const StoreReport& peer, TimePoint now) {
  if (!peer.state.is_known()) return false;
  peer_reports_.push_back(peer);
  if (peer_reports_.size() > kMaxPeerReports) peer_reports_.pop_front();
  return IsOutdatedBy(peer, now);
}

bool StoreComparison::IsOutdatedBy(const StoreReport& peer,
                                   TimePoint now) const {
  const auto is_outdated = [&](const StoreState& state) {
    StoreReport own = own_;
    own.state = state;
    return CompareReports(own, peer, now) == Comparison::kOwnMayBeOutdated;
  };
  return is_outdated(own_.state) ||
         std::any_of(passed_.begin(), passed_.end(), is_outdated);
}

}  // namespace lacewingknot
