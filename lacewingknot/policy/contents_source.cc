#include "lacewingknot/policy/contents_source.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace lacewingknot {
namespace {

// Most sources that are avoided at the same time; bounds the memory.
constexpr std::size_t kMaxAvoided = 64;

}  // namespace

ContentsSource::Decision ContentsSource::Decide(TimePoint now,
                                                const State& state) {
  const bool reads_store = state.peers.is_settled && state.peers.is_sentinel;
  const bool keeps_reading =
      !is_store_lost_ || now - store_lost_at_ < kFollowsAfter;
  if (reads_store && keeps_reading) {
    SetPeer({}, now);
    is_following_ = false;
    left_ = 0;
    const TimePoint call_at = std::max(now, store_retry_at_);
    return {.calls_store = call_at == now, .until = call_at};
  }
  Decision decision;
  if (const std::string_view reason = Unfitness(now, state); !reason.empty()) {
    decision.left = Left{.peer = peer_, .reason = reason};
    if (reason != "unlisted") {
      ++left_;
      if (avoided_until_.size() < kMaxAvoided) {
        avoided_until_[peer_] = now + kAvoidFor;
      }
    }
    SetPeer({}, now);
  }
  std::erase_if(avoided_until_,
                [&](const auto& avoided) { return avoided.second <= now; });
  if (!peer_.empty() && is_following_ && now - chosen_at_ >= kReturnAfter) {
    const std::string preferred = ChoosePeer(now, state);
    if (!preferred.empty() && preferred != peer_) {
      decision.left = Left{.peer = peer_, .reason = "not_preferred"};
      SetPeer(preferred, now);
    }
  }
  if (peer_.empty()) SetPeer(ChoosePeer(now, state), now);
  is_following_ = IsFit(now, state);
  if (is_following_) left_ = 0;
  if (is_following_ && latest_.hops == 0 && !reads_store) OnStoreAnswered();
  decision.peer = peer_;
  const bool needs_store = reads_store ||
                           (!is_following_ && MayCallStore(state)) ||
                           (is_store_lost_ && latest_.hops > 0);
  decision.calls_store = needs_store && now >= store_retry_at_;
  decision.until = needs_store && !decision.calls_store
                       ? std::min(NextDecision(now), store_retry_at_)
                       : NextDecision(now);
  return decision;
}

bool ContentsSource::IsStale(TimePoint now) const {
  return now - latest_.confirmed_at > options_.max_unconfirmed;
}

bool ContentsSource::HasFresherPeer(TimePoint now) const {
  return is_store_lost_ && !freshest_peer_.empty() && freshest_peer_ != peer_ &&
         avoided_until_.count(freshest_peer_) == 0 &&
         now - freshest_confirmed_at_ < options_.max_unconfirmed;
}

std::string_view ContentsSource::Unfitness(TimePoint now, const State& state) {
  const std::string_view lost = std::exchange(lost_reason_, {});
  if (peer_.empty()) return {};
  if (!lost.empty()) return lost;
  if (!heard_at_) {
    const bool is_silent = opened_at_ ? now - *opened_at_ >= kFirstMessage
                                      : now - chosen_at_ >= kOpening;
    return is_silent ? "silent" : std::string_view();
  }
  if (now - *heard_at_ >= kSilence) return "silent";
  if (!latest_.has_contents) {
    return now - chosen_at_ >= kFirstContents ? "empty" : std::string_view();
  }
  if (!AcceptsHops(latest_.hops, state)) return "indirect";
  const bool is_stale = IsStale(now);
  const bool has_fresher =
      HasFresherPeer(now) &&
      freshest_confirmed_at_ > latest_.confirmed_at + kFresherBy;
  if (is_stale && (!is_store_lost_ || has_fresher)) return "stale";
  return UnlistedOrBehind(now, state);
}

bool ContentsSource::AcceptsHops(std::uint32_t hops, const State& state) const {
  const bool takes_indirect = is_store_lost_ || !state.peers.is_settled;
  return hops <= (takes_indirect ? kMaxHops : 0);
}

std::string_view ContentsSource::UnlistedOrBehind(TimePoint now,
                                                  const State& state) {
  const auto lasts = [now](std::optional<TimePoint>& since, bool holds,
                           Duration limit) {
    if (!holds) since.reset();
    if (holds && !since) since = now;
    return holds && now - *since >= limit;
  };
  const auto& sources = state.peers.sources;
  const bool is_unlisted =
      std::find(sources.begin(), sources.end(), peer_) == sources.end();
  if (lasts(unlisted_since_, is_unlisted && !sources.empty(),
            is_store_lost_ ? kKeepUnlistedLost : kKeepUnlisted)) {
    return "unlisted";
  }
  const bool is_behind =
      lasts(behind_since_, state.is_behind && !is_store_lost_,
            options_.behind_tolerance);
  const bool is_unusable =
      lasts(unusable_since_, !latest_.is_in_force, options_.behind_tolerance);
  return is_behind || is_unusable ? "behind" : std::string_view();
}

std::string ContentsSource::ChoosePeer(TimePoint now,
                                       const State& state) const {
  const auto& sources = state.peers.sources;
  const bool tried_sources = left_ >= kSourcesBeforeStore || sources.empty();
  if (tried_sources && HasFresherPeer(now)) return freshest_peer_;
  const auto found = std::find_if(
      sources.begin(), sources.end(),
      [&](const auto& source) { return avoided_until_.count(source) == 0; });
  return found == sources.end() ? std::string() : *found;
}

void ContentsSource::SetPeer(std::string peer, TimePoint now) {
  if (peer == peer_) return;
  peer_ = std::move(peer);
  chosen_at_ = now;
  opened_at_.reset();
  heard_at_.reset();
  latest_ = {};
  unusable_since_.reset();
  unlisted_since_.reset();
  lost_reason_ = {};
}

bool ContentsSource::IsFit(TimePoint now, const State& state) const {
  return state.has_contents && heard_at_ && latest_.is_in_force &&
         !IsStale(now);
}

bool ContentsSource::MayCallStore(const State& state) const {
  if (peer_.empty() || left_ >= kSourcesBeforeStore || is_store_lost_) {
    return true;
  }
  return !state.has_contents;
}

TimePoint ContentsSource::NextDecision(TimePoint now) const {
  if (!is_following_) return now + kStep;
  TimePoint next = std::min(*heard_at_ + kSilence,
                            latest_.confirmed_at + options_.max_unconfirmed);
  if (behind_since_) {
    next = std::min(next, *behind_since_ + options_.behind_tolerance);
  }
  return std::max(next, now + std::chrono::milliseconds(1));
}

void ContentsSource::OnMessage(const Message& message, TimePoint now) {
  heard_at_ = now;
  latest_ = message;
}

void ContentsSource::OnPeerReport(const std::string& peer,
                                  TimePoint confirmed_at) {
  if (confirmed_at <= freshest_confirmed_at_) return;
  freshest_confirmed_at_ = confirmed_at;
  freshest_peer_ = peer;
}

void ContentsSource::OnStoreAnswered() {
  is_store_lost_ = false;
  retry_delay_ = kInitialRetry;
  store_retry_at_ = {};
}

void ContentsSource::OnStoreFailed(TimePoint now, const State& state) {
  // The sources that were left are no worse than the store.
  if (!is_store_lost_) avoided_until_.clear();
  if (!is_store_lost_) store_lost_at_ = now;
  is_store_lost_ = true;
  const bool is_urgent = !state.has_contents || state.peers.is_sentinel;
  std::uniform_real_distribution<double> jitter(0.75, 1);
  store_retry_at_ = now + std::chrono::duration_cast<Duration>(retry_delay_ *
                                                               jitter(random_));
  retry_delay_ =
      std::min(retry_delay_ * 2, is_urgent ? kMaxUrgentRetry : kMaxRetry);
}

std::vector<std::string> RankSeeds(const std::string& self,
                                   std::span<const std::string> seeds) {
  std::vector<std::string> ranked(seeds.begin(), seeds.end());
  std::erase(ranked, self);
  const auto key = [](const std::string& address) {
    return std::pair(XXH3_64bits(address.data(), address.size()), address);
  };
  std::sort(ranked.begin(), ranked.end(),
            [&](const auto& a, const auto& b) { return key(a) < key(b); });
  ranked.erase(std::unique(ranked.begin(), ranked.end()), ranked.end());
  return ranked;
}

}  // namespace lacewingknot
