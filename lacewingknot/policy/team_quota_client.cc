#include <xxhash.h>

#include <algorithm>
#include <cmath>

#include "lacewingknot/policy/demand_shares.h"
#include "lacewingknot/policy/internal/quota_arithmetic.h"
#include "lacewingknot/policy/team_quota.h"

namespace lacewingknot {
namespace {

using internal::FromSeconds;
using internal::kMaxTokens;
using internal::Seconds;
using internal::WholeTokens;

// Demand below which a daemon asks for each request, and the time that tokens
// in advance last.
constexpr double kMinDemandAhead = 2;
constexpr double kAheadSeconds = 3;
constexpr double kDemandSeconds = 3;  // Of the decaying mean.
// How long a daemon's own token is valid. Tokens that were kept could all be
// used in the same window.
constexpr Duration kFallbackTime = std::chrono::seconds(1);
constexpr std::size_t kMinFleetSize = 8;
constexpr double kAnswerTimeWeight = 0.2;

}  // namespace

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
    if (!IsSilent(address, now)) return address;
  }
  return ranking.empty() ? std::string() : ranking.back();
}

bool TeamQuotaClient::IsSilent(std::string_view address, TimePoint now) const {
  const auto silent = silent_until_.find(address);
  return silent != silent_until_.end() && silent->second > now;
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
    while (ask.rank + 1 < state.ranking.size() &&
           IsSilent(state.ranking[ask.rank], now)) {
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
