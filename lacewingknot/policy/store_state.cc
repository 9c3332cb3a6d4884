#include "lacewingknot/policy/store_state.h"

#include <xxhash.h>

#include <algorithm>

namespace lacewingknot {
namespace {

// Reports do not distinguish full reads that are longer ago than this.
constexpr Duration kReadAgeLimit = std::chrono::hours(1);
// Whether the contents differ at a revision that both states include.
bool Contradict(const StoreState& one, const StoreState& other) {
  return std::max(one.since, other.since) <= std::min(one.until, other.until) &&
         one.digest != other.digest;
}

}  // namespace

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

Agreement CompareReports(const StoreReport& own, const StoreReport& peer,
                         TimePoint now) {
  if (!own.state.is_known() || !peer.state.is_known()) {
    return Agreement::kConsistent;
  }
  if (!Contradict(own.state, peer.state)) return Agreement::kConsistent;
  const TimePoint limit = now - kReadAgeLimit;
  return std::max(own.unbroken_since, limit) >
                 std::max(peer.unbroken_since, limit)
             ? Agreement::kPeerIsSuspect
             : Agreement::kOwnIsSuspect;
}

bool RereadLimiter::Allow(TimePoint now) {
  if (last_ != TimePoint{} && now - last_ < interval_) return false;
  const bool is_repeated =
      last_ != TimePoint{} && now - last_ < 2 * kMaxInterval;
  interval_ =
      is_repeated ? std::min(interval_ * 2, kMaxInterval) : kMinInterval;
  last_ = now;
  return true;
}

}  // namespace lacewingknot
