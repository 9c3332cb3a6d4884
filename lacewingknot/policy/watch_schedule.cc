#include "lacewingknot/policy/watch_schedule.h"

#include <xxhash.h>

#include <algorithm>
#include <map>

#include "lacewingknot/policy/relay_ranking.h"

namespace lacewingknot {
namespace {

// Shares of the maximum staleness.
constexpr double kMaxUnconfirmedShare = 0.75;
constexpr double kSentinelIntervalShare = 0.4;

// Longest watch while the store is lost or suspected; bounds how late its
// recovery is noticed.
constexpr Duration kOutageWait = std::chrono::milliseconds(1'000);
constexpr Duration kMinWait = std::chrono::milliseconds(200);
constexpr Duration kMaxWait = std::chrono::milliseconds(25'000);

constexpr std::size_t kMinSentinels = 2;
constexpr std::size_t kDaemonsPerSentinel = 24;
constexpr std::uint64_t kSentinelKey = 0x5e'11'7e;

Duration Share(Duration duration, double share) {
  return std::chrono::duration_cast<Duration>(duration * share);
}

double Score(const Member& member, std::uint64_t key) {
  return RendezvousScore(
      {.address = member.address, .processor_share = member.processor_share},
      key);
}

// `members` ordered by descending score for `key`.
std::vector<const Member*> RankByScore(std::span<const Member> members,
                                       std::uint64_t key) {
  std::vector<std::pair<double, const Member*>> scored;
  scored.reserve(members.size());
  for (const Member& member : members) {
    scored.emplace_back(Score(member, key), &member);
  }
  std::sort(scored.begin(), scored.end(), [](const auto& a, const auto& b) {
    if (a.first != b.first) return a.first > b.first;
    return a.second->address < b.second->address;
  });
  std::vector<const Member*> ranked;
  ranked.reserve(scored.size());
  for (const auto& [score, member] : scored) ranked.push_back(member);
  return ranked;
}

}  // namespace

Duration WatchSchedule::max_unconfirmed() const {
  return Share(options_.max_staleness, kMaxUnconfirmedShare);
}

Duration WatchSchedule::ShortWait() const {
  return std::clamp(max_unconfirmed() - options_.call_timeout, kMinWait,
                    kMaxWait);
}

Duration WatchSchedule::SentinelInterval() const {
  return std::clamp(Share(options_.max_staleness, kSentinelIntervalShare),
                    kMinWait, kMaxWait);
}

void WatchSchedule::OnConfirmed(TimePoint now) {
  confirmed_at_ = now;
  is_store_suspected_ = false;
}

void WatchSchedule::OnPeerReport(const StoreReport& report,
                                 const StoreVersion& own) {
  if (report.epoch == 0 ? has_epoch_risen_ : report.epoch != own.epoch) return;
  if (report.revision > own.revision) return;
  if (report.unbroken_since > confirmed_at_) return;
  peer_confirmed_at_ = std::max(peer_confirmed_at_, report.confirmed_at);
}

void WatchSchedule::OnEpochRose() {
  has_epoch_risen_ = true;
  peer_confirmed_at_ = {};
}

Duration WatchSchedule::Wait(TimePoint now, const State& state) const {
  if (state.is_store_lost || is_store_suspected_) return kOutageWait;
  if (state.is_behind) return kMinWait;
  if (state.is_sentinel) {
    return std::clamp(confirmed_at_ + SentinelInterval() - now, kMinWait,
                      SentinelInterval());
  }
  const bool has_fresh_report = now - peer_confirmed_at_ < max_unconfirmed();
  if (has_fresh_report) return kMaxWait;
  // Counted from the last answer, so that the pause before this call does not
  // add to the bound.
  return std::clamp(confirmed_at_ + ShortWait() - now, kMinWait, ShortWait());
}

TimePoint WatchSchedule::GiveUpTime(TimePoint started, Duration wait) const {
  const TimePoint timeout = started + wait + options_.call_timeout;
  // Shorter waits do not rely on peers.
  if (wait <= std::max({ShortWait(), SentinelInterval(), kOutageWait})) {
    return timeout;
  }
  return std::min(
      timeout, std::max(confirmed_at_, peer_confirmed_at_) + max_unconfirmed());
}

std::vector<std::string> SelectSentinels(std::span<const Member> alive) {
  const std::size_t count = std::min(
      alive.size(),
      std::max(kMinSentinels,
               (alive.size() + kDaemonsPerSentinel - 1) / kDaemonsPerSentinel));
  std::vector<const Member*> candidates = RankByScore(alive, kSentinelKey);
  std::map<std::string_view, std::size_t> per_data_centre;
  std::vector<std::string> sentinels;
  while (sentinels.size() < count) {
    const auto chosen =
        std::min_element(candidates.begin(), candidates.end(),
                         [&](const Member* a, const Member* b) {
                           return per_data_centre[a->data_centre] <
                                  per_data_centre[b->data_centre];
                         });
    ++per_data_centre[(*chosen)->data_centre];
    sentinels.push_back((*chosen)->address);
    candidates.erase(chosen);
  }
  return sentinels;
}

std::vector<std::string> RankSentinels(const Member& self,
                                       std::span<const Member> alive,
                                       std::span<const std::string> sentinels) {
  const std::uint64_t key =
      XXH3_64bits(self.address.data(), self.address.size());
  std::vector<const Member*> ranked = RankByScore(alive, key);
  std::erase_if(ranked, [&](const Member* member) {
    return member->address == self.address ||
           std::find(sentinels.begin(), sentinels.end(), member->address) ==
               sentinels.end();
  });
  std::stable_partition(ranked.begin(), ranked.end(), [&](const Member* one) {
    return one->data_centre == self.data_centre;
  });
  std::vector<std::string> addresses;
  addresses.reserve(ranked.size());
  for (const Member* member : ranked) addresses.push_back(member->address);
  return addresses;
}

}  // namespace lacewingknot
