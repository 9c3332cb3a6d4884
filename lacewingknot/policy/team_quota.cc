#include "lacewingknot/policy/team_quota.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <unordered_set>

#include "lacewingknot/policy/demand_shares.h"

namespace lacewingknot {
namespace {

// Parts of the tolerated excess: the depth of the bucket beyond the burst, and
// what daemons without a keeper may send. The rest is for a keeper that takes
// over while its predecessor may still grant (TakeoverLevel).
constexpr double kDepthPart = 0.23;
constexpr double kFallbackPart = 0.2;
// What a takeover leaves for messages on the way: some 30 ms of the rate.
constexpr double kMarginPart = 0.02;
// Part of the overshoot by which buckets refill faster than the rate, to make
// up for tokens that are lost.
constexpr double kRefillPart = 0.1;
// Part of the depth that is kept for requests that wait, and the part of the
// rest that one daemon may get in advance.
constexpr double kReservedPart = 0.25;
constexpr double kAheadPart = 0.25;
// Part of the depth that all daemons together hold in advance.
constexpr double kHeldPart = 0.4;
// Part of the depth that a predecessor without an answer may have granted in
// advance.
constexpr double kUnknownGrantedPart = 0.4;
// Demand below which a daemon asks for each request, and the time that tokens
// in advance last.
constexpr double kMinDemandAhead = 2;
constexpr double kAheadSeconds = 3;
constexpr std::uint32_t kMaxTokens = 100'000;
constexpr double kDemandSeconds = 3;  // Of the decaying mean.
// How long a daemon's own token is valid. Tokens that were kept could all be
// used in the same window.
constexpr Duration kFallbackTime = std::chrono::seconds(1);
constexpr std::size_t kMinFleetSize = 8;
constexpr double kAnswerTimeWeight = 0.2;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

std::uint32_t WholeTokens(double tokens) {
  // The tolerance covers rounding errors of the refill.
  constexpr double kTolerance = 1e-6;
  return static_cast<std::uint32_t>(
      std::clamp(std::floor(tokens + kTolerance), 0.0, double{kMaxTokens}));
}

}  // namespace

double QuotaBounds::Excess(const TeamQuota& quota) const {
  return (quota.rate_per_second * Seconds(window) + quota.burst) * overshoot +
         slack;
}

double QuotaBounds::Limit(const TeamQuota& quota) const {
  return quota.rate_per_second * Seconds(window) + quota.burst + Excess(quota);
}

double BucketDepth(const TeamQuota& quota, const QuotaBounds& bounds) {
  return std::max(1.0, quota.burst + kDepthPart * bounds.Excess(quota));
}

double RefillPerSecond(const TeamQuota& quota, const QuotaBounds& bounds) {
  return quota.rate_per_second * (1 + kRefillPart * bounds.overshoot);
}

double FallbackPerWindow(const TeamQuota& quota, const QuotaBounds& bounds) {
  return kFallbackPart * bounds.Excess(quota);
}

double TakeoverLevel(const TeamQuota& quota, const QuotaBounds& bounds) {
  // A claim follows an ask without an answer, and takes its time.
  constexpr Duration kSilenceBefore =
      TeamQuotaClient::kMinRetry + TeamQuotaKeeper::kClaimTimeout;
  const double overlap = Seconds(FleetContact::kLifetime - kSilenceBefore) *
                         RefillPerSecond(quota, bounds);
  const double refill_excess =
      Seconds(bounds.window) *
      (RefillPerSecond(quota, bounds) - quota.rate_per_second);
  const double left =
      bounds.Limit(quota) - Seconds(bounds.window) * quota.rate_per_second -
      refill_excess - BucketDepth(quota, bounds) -
      FallbackPerWindow(quota, bounds) - kMarginPart * bounds.Excess(quota);
  return std::clamp(left - overlap, -overlap, quota.burst);
}

void FleetContact::SetMembers(std::span<const Member> alive, TimePoint now) {
  std::map<std::string_view, std::size_t> counts;
  for (const Member& member : alive) ++counts[member.data_centre];
  alive_ = alive.size();
  for (const auto& [name, count] : counts) {
    const auto [found, is_new] =
        data_centres_.try_emplace(std::string(name), DataCentre{});
    DataCentre& data_centre = found->second;
    if (is_new) data_centre.heard_at = now;
    if (count >= data_centre.daemons ||
        now - data_centre.counted_at > kMemory) {
      data_centre.daemons = count;
      data_centre.counted_at = now;
    }
  }
  std::erase_if(data_centres_, [&](const auto& entry) {
    return !counts.contains(entry.first) &&
           now - entry.second.counted_at > kMemory;
  });
}

void FleetContact::OnHeard(std::string_view data_centre, TimePoint now) {
  const auto found = data_centres_.find(data_centre);
  if (found != data_centres_.end()) found->second.heard_at = now;
}

bool FleetContact::HasMajority(TimePoint now) const {
  std::size_t total = 0;
  std::size_t reached = 0;
  bool reaches_first = false;
  for (const auto& [name, data_centre] : data_centres_) {
    const bool is_first = total == 0;
    total += data_centre.daemons;
    if (now - data_centre.heard_at <= kLifetime ||
        (name == data_centre_ && data_centre.daemons <= kFewDaemons)) {
      reached += data_centre.daemons;
      reaches_first = reaches_first || is_first;
    } else if (name == data_centre_) {
      ++reached;  // This daemon.
    }
  }
  if (total <= kFewDaemons) return true;
  return (reached * 2 > total || (reached * 2 == total && reaches_first)) &&
         alive_ * 2 >= total;
}

std::vector<std::string> FleetContact::TakeDueProbes(TimePoint now) {
  std::size_t total = 0;
  std::size_t expected = 0;  // In contact, or about to be.
  std::vector<std::pair<std::string_view, DataCentre*>> stale;
  for (auto& [name, data_centre] : data_centres_) {
    total += data_centre.daemons;
    const bool is_alone = name == data_centre_ && data_centre.daemons <= 1;
    if (is_alone || now - data_centre.heard_at < kProbeAfter) {
      expected += data_centre.daemons;
    } else {
      stale.emplace_back(name, &data_centre);
    }
  }
  const auto is_unanswered = [&](const DataCentre& data_centre) {
    return data_centre.probed_at > data_centre.heard_at &&
           now - data_centre.probed_at >= kProbeInterval;
  };
  // Those that did not answer last, then the largest.
  std::stable_sort(stale.begin(), stale.end(),
                   [&](const auto& left, const auto& right) {
                     const bool is_left_last = is_unanswered(*left.second);
                     const bool is_right_last = is_unanswered(*right.second);
                     if (is_left_last != is_right_last) return is_right_last;
                     return left.second->daemons > right.second->daemons;
                   });
  std::vector<std::string> due;
  for (const auto& [name, data_centre] : stale) {
    if (expected * 2 > total) break;
    if (!is_unanswered(*data_centre)) expected += data_centre->daemons;
    if (now - data_centre->probed_at < kProbeInterval) continue;
    data_centre->probed_at = now;
    due.emplace_back(name);
  }
  return due;
}

void TeamQuotaKeeper::SetQuotas(QuotaTable quotas, TimePoint now) {
  std::erase_if(
      teams_, [&](const auto& entry) { return !quotas.contains(entry.first); });
  std::erase_if(known_since_, [&](const auto& entry) {
    return !quotas.contains(entry.first);
  });
  for (const auto& [name, quota] : quotas) known_since_.try_emplace(name, now);
  for (auto& [name, state] : teams_) {
    if (state.bucket) Refill(*state.bucket, quotas_.find(name)->second, now);
  }
  quotas_ = std::move(quotas);
}

void TeamQuotaKeeper::SetMayGrant(bool may_grant, TimePoint now) {
  if (std::exchange(may_grant_, may_grant) == may_grant) return;
  granting_since_ = now;
  // What was known before is outdated: others may have taken over.
  teams_.clear();
}

void TeamQuotaKeeper::SetMembers(std::span<const Member> alive,
                                 bool is_whole_fleet, TimePoint now) {
  is_whole_fleet_ = is_whole_fleet;
  std::unordered_set<std::string_view> addresses;
  addresses.reserve(alive.size());
  for (const Member& member : alive) addresses.insert(member.address);
  const bool has_lost_members =
      std::any_of(members_.begin(), members_.end(), [&](const Member& before) {
        return !addresses.contains(before.address);
      });
  if (has_lost_members) members_lost_at_ = now;
  previous_members_ = std::exchange(members_, {alive.begin(), alive.end()});
  previous_view_at_ = std::exchange(view_at_, now);
  ++view_;
}

std::size_t TeamQuotaKeeper::bucket_count() const {
  return static_cast<std::size_t>(std::count_if(
      teams_.begin(), teams_.end(),
      [](const auto& entry) { return entry.second.bucket.has_value(); }));
}

void TeamQuotaKeeper::UpdateView(std::string_view team, TeamState& state,
                                 TimePoint now) {
  if (state.view == view_ && view_ != 0) return;
  const std::string first = KeeperOf(team, members_);
  const bool is_known = state.view != 0;
  const std::string before =
      is_known ? state.first : KeeperOf(team, previous_members_);
  state.view = view_;
  state.first = first;
  if (first != options_.self || (is_known && before == first)) return;
  state.keeper_since = before == first ? previous_view_at_ : view_at_;
  const auto known = known_since_.find(team);
  state.keeper_since = std::max(state.keeper_since, granting_since_);
  state.keeper_since = std::max(
      state.keeper_since, known == known_since_.end() ? now : known->second);
  if (state.bucket) return;
  // The daemon that was the keeper, the one that is it for daemons that do not
  // know this one yet, and those that may have become it in a part of the fleet
  // that was cut off.
  std::vector<std::string> candidates{before};
  const auto ranked = RankKeepers(team, members_, 2);
  if (ranked.size() > 1) candidates.push_back(ranked[1]);
  AddFirstOfDataCentres(team, candidates);
  state.predecessors.clear();
  for (std::string& candidate : candidates) {
    if (candidate.empty() || candidate == options_.self ||
        std::find(state.predecessors.begin(), state.predecessors.end(),
                  candidate) != state.predecessors.end()) {
      continue;
    }
    state.predecessors.push_back(std::move(candidate));
  }
}

void TeamQuotaKeeper::AddFirstOfDataCentres(
    std::string_view team, std::vector<std::string>& candidates) const {
  std::map<std::string_view, std::vector<Member>> by_data_centre;
  for (const Member& member : members_) {
    by_data_centre[member.data_centre].push_back(member);
  }
  for (const auto& [name, group] : by_data_centre) {
    std::string first = KeeperOf(team, group);
    if (std::find(candidates.begin(), candidates.end(), first) ==
        candidates.end()) {
      candidates.push_back(std::move(first));
    }
  }
}

double TeamQuotaKeeper::Outstanding(const Bucket& bucket, TimePoint now) const {
  double sum = now < bucket.inherited_until ? bucket.inherited : 0;
  for (const auto& [daemon, record] : bucket.daemons) {
    if (now - record.granted_at < kTokenLifetime) sum += record.grant.ahead;
  }
  return sum;
}

void TeamQuotaKeeper::Refill(Bucket& bucket, const TeamQuota& quota,
                             TimePoint now) const {
  const double added = Seconds(std::max(now - bucket.refilled_at, Duration{})) *
                       RefillPerSecond(quota, options_.bounds);
  bucket.refilled_at = std::max(bucket.refilled_at, now);
  const double depth = BucketDepth(quota, options_.bounds);
  const double room = std::max(1.0, depth - Outstanding(bucket, now));
  bucket.level = std::min(bucket.level + added, room);
}

bool TeamQuotaKeeper::EnsureBucket(std::string_view team, TeamState& state,
                                   const TeamQuota& quota, TimePoint now,
                                   std::vector<OutgoingQuotaMessage>& out) {
  if (state.bucket) return true;
  if (!state.claimed_at) {
    if (state.first != options_.self) {
      state.predecessors = RankKeepers(team, members_, kRanks);
      state.predecessors.erase(
          std::find(state.predecessors.begin(), state.predecessors.end(),
                    options_.self),
          state.predecessors.end());
      AddFirstOfDataCentres(team, state.predecessors);
    }
    std::erase(state.predecessors, options_.self);
    if (state.predecessors.empty()) {
      // Nobody else has granted since this daemon became the keeper.
      state.bucket =
          Bucket{.refilled_at =
                     state.first == options_.self ? state.keeper_since : now};
      Refill(*state.bucket, quota, now);
      return true;
    }
    state.claimed_at = now;
    state.claimed_from = std::exchange(state.predecessors, {});
    state.claim_sent_at = {};
    state.claimed_level = state.claimed_held = 0;
    state.claimed_bucket = false;
  }
  if (now - *state.claimed_at >= kClaimTimeout) {
    FinishClaim(team, state, quota, now);
    return true;
  }
  if (now - state.claim_sent_at >= kClaimInterval) {
    state.claim_sent_at = now;
    SendClaims(team, state, state.claimed_from, out);
  }
  return false;
}

void TeamQuotaKeeper::SendClaims(std::string_view team, const TeamState& state,
                                 std::span<const std::string> to,
                                 std::vector<OutgoingQuotaMessage>& out) const {
  for (const std::string& address : to) {
    out.push_back({.to = address,
                   .message = {.kind = QuotaMessageKind::kClaim,
                               .team = std::string(team),
                               .is_stand_in = state.first != options_.self}});
  }
}

void TeamQuotaKeeper::FinishClaim(std::string_view team, TeamState& state,
                                  const TeamQuota& quota, TimePoint now) {
  const double depth = BucketDepth(quota, options_.bounds);
  const bool is_complete = state.claimed_from.empty();
  state.claimed_at.reset();
  double level = std::min(depth, state.claimed_level);
  if (!is_complete && !state.claimed_bucket) {
    // The bounds cover one such takeover in a window. Further buckets first pay
    // for what the predecessor may grant.
    const Duration window = options_.bounds.window;
    const TimePoint latest =
        std::max({members_lost_at_, granting_since_, state.taken_over_at});
    const bool is_first =
        state.claimed_from.size() == 1 && now - latest > window;
    level = is_first ? TakeoverLevel(quota, options_.bounds)
                     : -Seconds(FleetContact::kLifetime) *
                           RefillPerSecond(quota, options_.bounds);
    state.taken_over_at = now;
  }
  state.bucket =
      Bucket{.level = level,
             .refilled_at = now,
             .inherited = is_complete ? std::min(depth, state.claimed_held)
                                      : kUnknownGrantedPart * depth,
             .inherited_until = now + kTokenLifetime};
  if (is_complete && !state.claimed_bucket && state.first == options_.self) {
    // Nobody has granted since this daemon became the keeper.
    state.bucket->refilled_at = state.keeper_since;
    Refill(*state.bucket, quota, now);
  }
  state.handed_until = {};
  state.suspects = std::exchange(state.claimed_from, {});
  state.suspected_at = state.asked_again_at = now;
  if (!is_complete) started_empty_.emplace_back(team);
}

void TeamQuotaKeeper::AskSuspectsAgain(std::string_view team, TeamState& state,
                                       TimePoint now,
                                       std::vector<OutgoingQuotaMessage>& out) {
  if (state.suspects.empty() || now - state.asked_again_at < kSuspectInterval) {
    return;
  }
  if (state.first == options_.self && now - state.suspected_at > kSuspectTime) {
    state.suspects.clear();
    return;
  }
  state.asked_again_at = now;
  SendClaims(team, state, state.suspects, out);
}

QuotaMessage TeamQuotaKeeper::Grant(Bucket& bucket, const TeamQuota& quota,
                                    std::string_view from,
                                    const QuotaMessage& ask, TimePoint now) {
  if (now - bucket.cleaned_at > std::chrono::seconds(1)) {
    bucket.cleaned_at = now;
    std::erase_if(bucket.daemons, [&](const auto& entry) {
      return now - entry.second.granted_at > kRecordTime;
    });
  }
  auto found = bucket.daemons.find(from);
  if (found == bucket.daemons.end()) {
    found = bucket.daemons.emplace(std::string(from), Record{}).first;
  }
  Record& record = found->second;
  // A repeated ask gets the same answer: the first one may be lost.
  if (record.number >= ask.number) return record.grant;
  const std::uint32_t returned = std::min(ask.given_back, record.grant.tokens);
  record.grant.ahead = 0;
  Refill(bucket, quota, now);
  bucket.level += returned;
  Refill(bucket, quota, now);
  const double depth = BucketDepth(quota, options_.bounds);
  const std::uint32_t tokens = std::min(ask.tokens, WholeTokens(bucket.level));
  const double left = bucket.level - tokens;
  double spare = kAheadPart * (left - kReservedPart * depth);
  spare = std::min(
      spare, kHeldPart * depth / static_cast<double>(bucket.daemons.size()));
  if (bucket.refusals_per_second > kAsksPerSecond / 2 &&
      now - bucket.refused_at < std::chrono::seconds(1)) {
    // The team is over its quota. Daemons are told to ask seldom, and get what
    // they can use until then.
    spare =
        std::max(spare, std::min(left, quota.rate_per_second / kAsksPerSecond));
  }
  const std::uint32_t ahead = std::min(ask.ahead, WholeTokens(spare));
  bucket.level = left - ahead;
  QuotaMessage grant{.kind = QuotaMessageKind::kGrant,
                     .team = ask.team,
                     .number = ask.number,
                     .tokens = tokens + ahead,
                     .ahead = ahead};
  if (tokens < ask.tokens) {
    const double elapsed = Seconds(now - bucket.refused_at);
    bucket.refused_at = now;
    bucket.refusals_per_second =
        bucket.refusals_per_second * std::exp(-elapsed) + 1;
    const double next =
        (1 - bucket.level) / RefillPerSecond(quota, options_.bounds);
    // Squared, so that few refusals delay nobody.
    const double pace =
        std::pow(bucket.refusals_per_second / kAsksPerSecond, 2);
    grant.wait = std::max(FromSeconds(next),
                          std::min<Duration>(FromSeconds(pace), kMaxWait));
    grant.wait = std::max<Duration>(grant.wait, std::chrono::milliseconds(1));
  }
  record = {.number = ask.number, .grant = grant, .granted_at = now};
  return grant;
}

void TeamQuotaKeeper::AnswerWaiting(TeamState& state, const TeamQuota& quota,
                                    TimePoint now,
                                    std::vector<OutgoingQuotaMessage>& out) {
  for (const Waiting& waiting : std::exchange(state.waiting, {})) {
    out.push_back({.to = waiting.from,
                   .message = Grant(*state.bucket, quota, waiting.from,
                                    waiting.ask, now)});
  }
}

void TeamQuotaKeeper::OnAsk(std::string_view from, const QuotaMessage& ask,
                            TimePoint now,
                            std::vector<OutgoingQuotaMessage>& out) {
  const auto answer_elsewhere = [&](const std::string& keeper) {
    out.push_back({.to = std::string(from),
                   .message = {.kind = QuotaMessageKind::kElsewhere,
                               .team = ask.team,
                               .number = ask.number,
                               .keeper = keeper}});
  };
  const auto quota = quotas_.find(ask.team);
  if (quota == quotas_.end() || !may_grant_) {
    answer_elsewhere("");
    return;
  }
  TeamState& state = teams_[ask.team];
  UpdateView(ask.team, state, now);
  if (!state.bucket) {
    if (now < state.handed_until) {
      answer_elsewhere(state.handed_to);
      return;
    }
    if (now < state.refused_until) {
      answer_elsewhere(state.refused_by);
      return;
    }
    if (!is_whole_fleet_ && state.first != options_.self) {
      answer_elsewhere("");
      return;
    }
    if (state.first != options_.self && !ask.is_stand_in) {
      answer_elsewhere(state.first);
      return;
    }
  }
  const bool has_bucket =
      EnsureBucket(ask.team, state, quota->second, now, out);
  const auto same = std::find_if(
      state.waiting.begin(), state.waiting.end(),
      [&](const Waiting& waiting) { return waiting.from == from; });
  if (same != state.waiting.end()) {
    same->ask = ask;
  } else if (state.waiting.size() < kMaxWaiting) {
    state.waiting.push_back({.from = std::string(from), .ask = ask});
  }
  if (!has_bucket) return;
  AnswerWaiting(state, quota->second, now, out);
  AskSuspectsAgain(ask.team, state, now, out);
}

bool TeamQuotaKeeper::Precedes(std::string_view team,
                               std::string_view other) const {
  const auto ranking = RankKeepers(team, members_, kRanks);
  const auto self = std::find(ranking.begin(), ranking.end(), options_.self);
  return self != ranking.end() &&
         std::find(ranking.begin(), self, other) == self;
}

void TeamQuotaKeeper::OnClaim(std::string_view from, const QuotaMessage& claim,
                              TimePoint now,
                              std::vector<OutgoingQuotaMessage>& out) {
  QuotaMessage answer{.kind = QuotaMessageKind::kHandOver, .team = claim.team};
  const auto quota = quotas_.find(claim.team);
  if (quota != quotas_.end()) {
    TeamState& state = teams_[claim.team];
    const bool had_view = state.view != 0;
    UpdateView(claim.team, state, now);
    const bool was_first =
        !had_view && KeeperOf(claim.team, previous_members_) == options_.self;
    if (!state.bucket && now < state.handed_until) {
      if (state.handed_to == from) {
        answer = state.handed;
      } else {
        answer.kind = QuotaMessageKind::kElsewhere;
        answer.keeper = state.handed_to;
      }
    } else if (claim.is_stand_in && may_grant_ &&
               (state.bucket || state.first == options_.self ||
                (is_whole_fleet_ && Precedes(claim.team, from)))) {
      answer.kind = QuotaMessageKind::kRefuseClaim;
    } else {
      if (may_grant_ && !state.bucket && state.predecessors.empty() &&
          !state.claimed_at && (state.first == options_.self || was_first)) {
        // Nobody has asked since this daemon became the keeper.
        state.bucket = Bucket{
            .refilled_at = std::max(
                {state.keeper_since, previous_view_at_, granting_since_})};
      }
      const bool is_elsewhere = !state.bucket && !state.first.empty() &&
                                state.first != from &&
                                state.first != options_.self;
      if (is_elsewhere) {
        answer.kind = QuotaMessageKind::kElsewhere;
        answer.keeper = state.first;
        out.push_back({.to = std::string(from), .message = std::move(answer)});
        return;
      }
      answer.has_bucket = state.bucket.has_value();
      if (state.bucket) {
        Refill(*state.bucket, quota->second, now);
        answer.tokens = WholeTokens(state.bucket->level);
        answer.ahead = WholeTokens(Outstanding(*state.bucket, now));
      }
      state.bucket.reset();
      state.handed = answer;
      state.handed_to = from;
      state.handed_until = now + kRedirectTime;
      state.suspects.clear();
      state.predecessors = {std::string(from)};
    }
  }
  out.push_back({.to = std::string(from), .message = std::move(answer)});
}

void TeamQuotaKeeper::OnClaimAnswer(std::string_view from,
                                    const QuotaMessage& answer, TimePoint now,
                                    std::vector<OutgoingQuotaMessage>& out) {
  const auto found = teams_.find(answer.team);
  const auto quota = quotas_.find(answer.team);
  if (found == teams_.end() || quota == quotas_.end()) return;
  TeamState& state = found->second;
  auto& asked = state.bucket ? state.suspects : state.claimed_from;
  if (!state.claimed_at && !state.bucket) return;
  if (std::erase(asked, from) == 0) return;
  if (answer.kind == QuotaMessageKind::kRefuseClaim) {
    // The keeper is well: this daemon does not stand in for it.
    state.claimed_at.reset();
    state.claimed_from.clear();
    state.suspects.clear();
    state.bucket.reset();
    state.refused_by = from;
    state.refused_until = now + kRefusalTime;
    for (const Waiting& waiting : std::exchange(state.waiting, {})) {
      out.push_back({.to = waiting.from,
                     .message = {.kind = QuotaMessageKind::kElsewhere,
                                 .team = answer.team,
                                 .number = waiting.ask.number,
                                 .keeper = std::string(from)}});
    }
    return;
  }
  // A daemon that answers a repeated claim stops granting; its tokens are
  // those that this bucket has been given meanwhile.
  if (answer.kind == QuotaMessageKind::kElsewhere) {
    // The bucket went on to another daemon, or has come back here.
    if (answer.keeper != options_.self && !answer.keeper.empty() &&
        std::find(asked.begin(), asked.end(), answer.keeper) == asked.end()) {
      asked.push_back(answer.keeper);
      if (!state.bucket) {
        SendClaims(answer.team, state, {&asked.back(), 1}, out);
      }
    }
  }
  if (state.bucket) return;
  if (answer.kind == QuotaMessageKind::kHandOver) {
    state.claimed_bucket = state.claimed_bucket || answer.has_bucket;
    state.claimed_level += answer.tokens;
    state.claimed_held += answer.ahead;
  }
  if (!asked.empty()) return;
  FinishClaim(answer.team, state, quota->second, now);
  AnswerWaiting(state, quota->second, now, out);
}

std::vector<OutgoingQuotaMessage> TeamQuotaKeeper::OnMessage(
    std::string_view from, const QuotaMessage& message, TimePoint now) {
  std::vector<OutgoingQuotaMessage> out;
  switch (message.kind) {
    case QuotaMessageKind::kAsk:
      OnAsk(from, message, now, out);
      break;
    case QuotaMessageKind::kClaim:
      OnClaim(from, message, now, out);
      break;
    case QuotaMessageKind::kElsewhere:
    case QuotaMessageKind::kHandOver:
    case QuotaMessageKind::kRefuseClaim:
      OnClaimAnswer(from, message, now, out);
      break;
    case QuotaMessageKind::kGrant:
      break;  // For the client.
  }
  return out;
}

void TeamQuotaClient::SetQuotas(QuotaTable quotas) {
  // Requests that wait for a quota that is gone may run.
  for (auto& [name, state] : teams_) {
    if (quotas.contains(name)) continue;
    for (const Waiting& waiting : state.waiting) {
      outcomes_.push_back(
          {.kind = Outcome::Kind::kAllowed, .request = waiting.request});
    }
  }
  std::erase_if(
      teams_, [&](const auto& entry) { return !quotas.contains(entry.first); });
  quotas_ = std::move(quotas);
}

void TeamQuotaClient::SetMembers(std::vector<Member> members,
                                 bool is_whole_fleet) {
  members_ = std::move(members);
  is_whole_fleet_ = is_whole_fleet;
  ++view_;
}

void TeamQuotaClient::UpdateRanking(std::string_view team, TeamState& state) {
  if (state.view == view_) return;
  state.view = view_;
  state.ranking = RankKeepers(team, members_, kRanks);
}

void TeamQuotaClient::ExpireHeld(TeamState& state, TimePoint now) {
  while (!state.held.empty() && state.held.front().valid_until <= now) {
    state.unused += state.held.front().tokens;
    state.held.pop_front();
  }
}

bool TeamQuotaClient::TakeHeld(TeamState& state, TimePoint now) {
  ExpireHeld(state, now);
  if (state.held.empty()) return false;
  if (--state.held.front().tokens == 0) state.held.pop_front();
  return true;
}

std::uint32_t TeamQuotaClient::HeldTokens(std::string_view team,
                                          TimePoint now) const {
  std::uint32_t sum = 0;
  const auto found = teams_.find(team);
  if (found == teams_.end()) return sum;
  for (const Held& held : found->second.held) {
    if (held.valid_until > now) sum += held.tokens;
  }
  return sum;
}

std::string TeamQuotaClient::Keeper(std::string_view team,
                                    TimePoint now) const {
  const auto found = teams_.find(team);
  if (found != teams_.end() && now < found->second.redirect_until) {
    return found->second.redirect;
  }
  const auto ranking = RankKeepers(team, members_, kRanks);
  for (const std::string& address : ranking) {
    const auto silent = silent_until_.find(address);
    if (silent == silent_until_.end() || silent->second <= now) return address;
  }
  return ranking.empty() ? std::string() : ranking.back();
}

void TeamQuotaClient::CountDemand(TeamState& state, TimePoint now) {
  const double elapsed = std::max(0.0, Seconds(now - state.counted_at));
  state.counted_at = now;
  state.per_second = state.per_second * std::exp(-elapsed / kDemandSeconds) +
                     1 / kDemandSeconds;
}

std::uint32_t TeamQuotaClient::WantedAhead(const TeamState& state) const {
  if (state.per_second < kMinDemandAhead) return 0;
  std::uint32_t held = 0;
  for (const Held& tokens : state.held) held += tokens.tokens;
  const std::uint32_t wanted = WholeTokens(state.per_second * kAheadSeconds);
  return held * 4 > wanted ? 0 : wanted - held;
}

TeamQuotaClient::Outcome TeamQuotaClient::Acquire(std::string_view team,
                                                  std::uint64_t request,
                                                  TimePoint latest,
                                                  TimePoint now,
                                                  TimePoint latest_token) {
  const Outcome allowed{.kind = Outcome::Kind::kAllowed, .request = request};
  const auto quota = quotas_.find(team);
  if (quota == quotas_.end()) return allowed;
  TeamState& state = teams_[quota->first];
  UpdateRanking(team, state);
  CountDemand(state, now);
  if (state.waiting.empty() && TakeHeld(state, now)) {
    AskAhead(quota->first, state, now);
    return allowed;
  }
  if (now < state.empty_until) return Refuse(team, state, request, now);
  if (now < state.unreachable_until || state.ranking.empty()) {
    return DecideAlone(team, state, request, now);
  }
  state.waiting.push_back({.request = request,
                           .latest = latest,
                           .latest_token = std::min(latest, latest_token)});
  if (!state.ask) StartAsk(quota->first, state, now);
  return {.request = request};
}

void TeamQuotaClient::Abandon(std::string_view team, std::uint64_t request) {
  const auto found = teams_.find(team);
  if (found == teams_.end()) return;
  std::erase_if(found->second.waiting, [&](const Waiting& waiting) {
    return waiting.request == request;
  });
}

void TeamQuotaClient::GiveBack(std::string_view team, TimePoint now) {
  constexpr Duration kReturnedLifetime = std::chrono::seconds(1);
  const auto found = teams_.find(team);
  if (found == teams_.end()) return;
  TeamState& state = found->second;
  // In front, because it expires first.
  state.held.push_front({.tokens = 1, .valid_until = now + kReturnedLifetime});
  ServeWaiting(state, now);
}

void TeamQuotaClient::StartAsk(const std::string& team, TeamState& state,
                               TimePoint now) {
  state.ask = Ask{.number = ++last_number_,
                  .tokens = static_cast<std::uint32_t>(
                      std::min<std::size_t>(state.waiting.size(), kMaxTokens)),
                  .ahead = WantedAhead(state),
                  .given_back = std::exchange(state.unused, 0)};
  Ask& ask = *state.ask;
  if (now < state.redirect_until) {
    ask.to = state.redirect;
    ask.is_stand_in = true;
  } else {
    // Keepers that did not answer lately come last.
    while (ask.rank + 1 < state.ranking.size()) {
      const auto silent = silent_until_.find(state.ranking[ask.rank]);
      if (silent == silent_until_.end() || silent->second <= now) break;
      ++ask.rank;
    }
    ask.is_stand_in = ask.rank > 0;
    ask.to = state.ranking[ask.rank];
  }
  SendAsk(team, state, now);
}

void TeamQuotaClient::AskAhead(const std::string& team, TeamState& state,
                               TimePoint now) {
  if (state.ask || now < state.empty_until || now < state.unreachable_until ||
      state.ranking.empty() || state.held.empty() || WantedAhead(state) == 0) {
    return;
  }
  StartAsk(team, state, now);
}

void TeamQuotaClient::SendAsk(const std::string& team, TeamState& state,
                              TimePoint now) {
  Ask& ask = *state.ask;
  if (ask.tries++ == 0) ask.sent_at = now;
  ask.retry_at =
      now + std::clamp<Duration>(answer_time_ * 2, kMinRetry, kMaxRetry);
  const QuotaMessage message{.kind = QuotaMessageKind::kAsk,
                             .team = team,
                             .number = ask.number,
                             .tokens = ask.tokens,
                             .ahead = ask.ahead,
                             .given_back = ask.given_back,
                             .is_stand_in = ask.is_stand_in};
  messages_.push_back({.to = ask.to, .message = message});
  if (ask.tries != 2 || ask.rank + 1 >= state.ranking.size()) return;
  // The keeper may be dead: requests that wait have no time for more silence.
  ask.also_to = state.ranking[ask.rank + 1];
  if (ask.also_to == ask.to) {
    ask.also_to.clear();
    return;
  }
  messages_.push_back({.to = ask.also_to, .message = message});
  messages_.back().message.is_stand_in = true;
  messages_.back().message.given_back = 0;
}

void TeamQuotaClient::AskNext(const std::string& team, TeamState& state,
                              TimePoint now) {
  Ask& ask = *state.ask;
  state.redirect_until = {};
  ask.also_to.clear();
  if (++ask.rank < state.ranking.size()) {
    ask.to = state.ranking[ask.rank];
    ask.is_stand_in = true;
    ask.tries = 0;
    // What the keeper may know as returned is not returned to another one.
    ask.given_back = 0;
    SendAsk(team, state, now);
    return;
  }
  state.ask.reset();
  state.unreachable_until = now + kUnreachableTime;
  for (const Waiting& waiting : std::exchange(state.waiting, {})) {
    outcomes_.push_back(DecideAlone(team, state, waiting.request, now));
  }
}

void TeamQuotaClient::ServeWaiting(TeamState& state, TimePoint now) {
  while (!state.waiting.empty() && TakeHeld(state, now)) {
    outcomes_.push_back({.kind = Outcome::Kind::kAllowed,
                         .request = state.waiting.front().request});
    state.waiting.pop_front();
  }
}

void TeamQuotaClient::OnGrant(const std::string& team, TeamState& state,
                              const QuotaMessage& grant, TimePoint now) {
  const TimePoint sent_at = state.ask->sent_at;
  answer_time_ += std::chrono::duration_cast<Duration>(
      (now - sent_at - answer_time_) * kAnswerTimeWeight);
  state.ask.reset();
  if (grant.tokens > 0) {
    state.held.push_back(
        {.tokens = std::min(grant.tokens, kMaxTokens),
         .valid_until = sent_at + TeamQuotaKeeper::kTokenLifetime});
  }
  ServeWaiting(state, now);
  if (grant.wait > Duration::zero()) {
    state.empty_until = now + grant.wait;
    state.refused = 0;
    // A request waits once for a token that comes in time.
    for (Waiting waiting : std::exchange(state.waiting, {})) {
      if (waiting.has_waited || state.empty_until >= waiting.latest_token) {
        outcomes_.push_back(Refuse(team, state, waiting.request, now));
        continue;
      }
      waiting.has_waited = true;
      state.waiting.push_back(waiting);
    }
    if (!state.waiting.empty()) state.ask_again_at = state.empty_until;
    return;
  }
  if (!state.waiting.empty()) StartAsk(team, state, now);
}

void TeamQuotaClient::OnMessage(std::string_view from,
                                const QuotaMessage& message, TimePoint now) {
  if (const auto silent = silent_until_.find(from);
      silent != silent_until_.end()) {
    silent_until_.erase(silent);
  }
  const auto found = teams_.find(message.team);
  if (found == teams_.end()) return;
  TeamState& state = found->second;
  if (!state.ask || state.ask->number != message.number) return;
  if (state.ask->also_to == from && state.ask->to != from) {
    state.ask->also_to.clear();
    if (message.kind != QuotaMessageKind::kGrant) return;
    // The stand-in has the bucket, so the keeper did not answer it either.
    silent_until_[state.ask->to] = now + kSilenceTime;
    OnGrant(found->first, state, message, now);
    return;
  }
  if (state.ask->to != from) return;
  if (message.kind == QuotaMessageKind::kGrant) {
    OnGrant(found->first, state, message, now);
    return;
  }
  if (message.kind != QuotaMessageKind::kElsewhere) return;
  Ask& ask = *state.ask;
  if (message.keeper.empty() || message.keeper == ask.to ||
      ++ask.redirects > kMaxRedirects) {
    AskNext(found->first, state, now);
    return;
  }
  state.redirect = message.keeper;
  state.redirect_until = now + kRedirectTime;
  ask.to = message.keeper;
  ask.also_to.clear();
  ask.is_stand_in = true;
  ask.tries = 0;
  SendAsk(found->first, state, now);
}

TeamQuotaClient::Outcome TeamQuotaClient::Refuse(std::string_view team,
                                                 TeamState& state,
                                                 std::uint64_t request,
                                                 TimePoint now) {
  const double rate = quotas_.find(team)->second.rate_per_second;
  // Requests that were refused earlier may use the tokens before this one.
  const Duration after_others =
      FromSeconds(static_cast<double>(state.refused++) / rate);
  const Duration next =
      state.empty_until > now ? state.empty_until - now : FromSeconds(1 / rate);
  return {.kind = Outcome::Kind::kRefused,
          .request = request,
          .retry_after = next + std::min(after_others, options_.bounds.window)};
}

bool TeamQuotaClient::TakeFallback(std::string_view team, TeamState& state,
                                   TimePoint now) {
  if (!is_whole_fleet_) return false;
  const TeamQuota& quota = quotas_.find(team)->second;
  const double daemons =
      static_cast<double>(std::max(members_.size(), kMinFleetSize));
  const double own = FallbackPerWindow(quota, options_.bounds) / daemons;
  if (own <= 0) return false;
  // One token in each period, valid for kFallbackTime. The periods of the
  // daemons begin at different times.
  const double period = Seconds(options_.bounds.window) / own;
  const std::string key = options_.self + '/' + std::string(team);
  const double phase =
      period * static_cast<double>(XXH3_64bits(key.data(), key.size()) >> 11) /
      static_cast<double>(std::uint64_t{1} << 53);
  const double time = Seconds(now.time_since_epoch()) + phase;
  const auto slot = static_cast<std::int64_t>(time / period);
  const double since = time - static_cast<double>(slot) * period;
  if (slot == state.fallback_slot || since > Seconds(kFallbackTime)) {
    return false;
  }
  state.fallback_slot = slot;
  return true;
}

TeamQuotaClient::Outcome TeamQuotaClient::DecideAlone(std::string_view team,
                                                      TeamState& state,
                                                      std::uint64_t request,
                                                      TimePoint now) {
  if (TakeFallback(team, state, now)) {
    return {.kind = Outcome::Kind::kAllowed,
            .request = request,
            .is_fallback = true};
  }
  Outcome refused = Refuse(team, state, request, now);
  refused.is_fallback = true;
  return refused;
}

void TeamQuotaClient::Tick(TimePoint now) {
  std::erase_if(silent_until_,
                [&](const auto& entry) { return entry.second <= now; });
  for (auto& [team, state] : teams_) {
    UpdateRanking(team, state);
    ExpireHeld(state, now);
    for (auto waiting = state.waiting.begin();
         waiting != state.waiting.end();) {
      if (waiting->latest > now) {
        ++waiting;
        continue;
      }
      outcomes_.push_back(DecideAlone(team, state, waiting->request, now));
      waiting = state.waiting.erase(waiting);
    }
    if (state.ask && state.ask->retry_at <= now) {
      if (state.ask->tries < kMaxTries) {
        SendAsk(team, state, now);
      } else {
        silent_until_[state.ask->to] = now + kSilenceTime;
        AskNext(team, state, now);
      }
    }
    if (state.ask_again_at != TimePoint{} && state.ask_again_at <= now) {
      state.ask_again_at = {};
      if (!state.ask && !state.waiting.empty()) StartAsk(team, state, now);
    }
    if (state.unused > 0 && !state.ask && !state.ranking.empty() &&
        now >= state.unreachable_until) {
      StartAsk(team, state, now);
    }
  }
}

std::optional<TimePoint> TeamQuotaClient::NextTick() const {
  std::optional<TimePoint> next;
  const auto include = [&](TimePoint at) {
    next = next ? std::min(*next, at) : at;
  };
  for (const auto& [team, state] : teams_) {
    if (!state.held.empty()) include(state.held.front().valid_until);
    for (const Waiting& waiting : state.waiting) include(waiting.latest);
    if (state.ask) include(state.ask->retry_at);
    if (state.ask_again_at != TimePoint{}) include(state.ask_again_at);
    if (state.unused > 0 && !state.ask) include(state.unreachable_until);
  }
  return next;
}

}  // namespace lacewingknot
