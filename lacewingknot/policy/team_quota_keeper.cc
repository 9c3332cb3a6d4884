#include <algorithm>
#include <cmath>
#include <unordered_set>

#include "lacewingknot/policy/demand_shares.h"
#include "lacewingknot/policy/internal/quota_arithmetic.h"
#include "lacewingknot/policy/team_quota.h"

namespace lacewingknot {
namespace {

using internal::FromSeconds;
using internal::Seconds;
using internal::WholeTokens;

// Part of the depth that is kept for requests that wait, and the part of the
// rest that one daemon may get in advance.
constexpr double kReservedPart = 0.25;
constexpr double kAheadPart = 0.25;
// Part of the depth that all daemons together hold in advance.
constexpr double kHeldPart = 0.4;
// Part of the depth that a predecessor without an answer may have granted in
// advance.
constexpr double kUnknownGrantedPart = 0.4;

}  // namespace

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

}  // namespace lacewingknot
