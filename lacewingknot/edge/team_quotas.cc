#include "lacewingknot/edge/team_quotas.h"

#include <algorithm>
#include <utility>

#include "lacewingknot/base/event_log.h"

namespace lacewingknot::edge {
namespace {

using Kind = TeamQuotaClient::Outcome::Kind;

// Asks of one daemon per millisecond at most, so that the numbers of a new
// process are higher than those of earlier ones.
constexpr std::uint64_t kAsksPerMillisecond = 1'000;

std::int64_t SecondOf(TimePoint time) {
  return std::chrono::floor<std::chrono::seconds>(time.time_since_epoch())
      .count();
}

}  // namespace

QuotaTable QuotasOf(const TeamTable& teams) {
  QuotaTable quotas;
  for (const Team& team : teams.teams()) {
    if (team.rate_per_second <= 0) continue;
    quotas[team.name] = {.rate_per_second = team.rate_per_second,
                         .burst = team.burst};
  }
  return quotas;
}

TeamQuotas::TeamQuotas(Options options)
    : options_(std::move(options)),
      client_({.self = options_.self,
               .bounds = options_.bounds,
               .first_number = static_cast<std::uint64_t>(ToMillis(
                                   BootClock::now().time_since_epoch())) *
                               kAsksPerMillisecond}),
      own_keeper_({.self = options_.self, .bounds = options_.bounds},
                  BootClock::now()) {
  if (options_.send) return;
  const std::vector<Member> members{{.address = options_.self}};
  own_keeper_.SetMembers(members, true, BootClock::now());
  client_.SetMembers(members, true);
}

void TeamQuotas::SetQuotas(const QuotaTable& quotas) {
  quotas_ = quotas;
  const auto is_gone = [&](const auto& entry) {
    return !quotas.contains(entry.first);
  };
  std::erase_if(unlogged_, is_gone);
  std::erase_if(recent_, is_gone);
  own_keeper_.SetQuotas(quotas, BootClock::now());
  client_.SetQuotas(quotas);
  Advance();
}

void TeamQuotas::SetMembers(std::vector<Member> members, bool is_whole_fleet) {
  client_.SetMembers(std::move(members), is_whole_fleet);
}

void TeamQuotas::OnMessages(std::string_view from,
                            std::span<const QuotaMessage> messages) {
  const TimePoint now = BootClock::now();
  for (const QuotaMessage& message : messages) {
    client_.OnMessage(from, message, now);
  }
  Advance();
}

std::optional<TeamQuotas::Ticket> TeamQuotas::Acquire(std::string_view team,
                                                      TimePoint latest,
                                                      Callback callback,
                                                      TimePoint latest_token) {
  const Ticket ticket = ++last_ticket_;
  const auto outcome =
      client_.Acquire(team, ticket, latest, BootClock::now(), latest_token);
  if (outcome.kind != Kind::kWaits) {
    Decide(std::string(team), outcome, callback);
    Advance();
    return std::nullopt;
  }
  waiting_.emplace(ticket, Waiting{.team = std::string(team),
                                   .callback = std::move(callback)});
  Advance();
  if (!waiting_.contains(ticket)) return std::nullopt;
  return ticket;
}

void TeamQuotas::Abandon(std::string_view team, Ticket ticket) {
  waiting_.erase(ticket);
  client_.Abandon(team, ticket);
}

void TeamQuotas::GiveBack(std::string_view team) {
  client_.GiveBack(team, BootClock::now());
  Advance();
}

TeamQuotas::Preview TeamQuotas::PreviewAcquire(std::string_view team,
                                               TimePoint now) const {
  // Copies decide as the originals would.
  TeamQuotaClient client = client_;
  Preview preview{.held_tokens = client.HeldTokens(team, now)};
  const Ticket ticket = last_ticket_ + 1;
  preview.outcome = client.Acquire(team, ticket, now, now);
  if (preview.outcome.kind != Kind::kWaits || options_.send) return preview;
  TeamQuotaKeeper keeper = own_keeper_;
  Exchange(options_.self, client, keeper, now);
  for (const auto& outcome : client.TakeOutcomes()) {
    if (outcome.request == ticket) preview.outcome = outcome;
  }
  return preview;
}

void TeamQuotas::Exchange(const std::string& self, TeamQuotaClient& client,
                          TeamQuotaKeeper& keeper, TimePoint now) {
  for (auto messages = client.TakeMessages(); !messages.empty();
       messages = client.TakeMessages()) {
    for (const OutgoingQuotaMessage& ask : messages) {
      for (const auto& answer : keeper.OnMessage(self, ask.message, now)) {
        client.OnMessage(self, answer.message, now);
      }
    }
  }
}

TeamQuotas::State TeamQuotas::StateOf(std::string_view team,
                                      TimePoint now) const {
  State state{.keeper = client_.Keeper(team, now),
              .tokens_held = client_.HeldTokens(team, now)};
  const auto recent = recent_.find(team);
  if (recent == recent_.end()) return state;
  const std::int64_t second = SecondOf(now);
  for (const Recent::Second& counted : recent->second.seconds) {
    if (counted.number < 0 ||
        counted.number + std::ssize(recent->second.seconds) <= second) {
      continue;
    }
    state.admitted += counted.admitted;
    state.refused += counted.refused;
  }
  return state;
}

void TeamQuotas::Advance() {
  const TimePoint now = BootClock::now();
  client_.Tick(now);
  if (options_.send) {
    auto messages = client_.TakeMessages();
    if (!messages.empty()) options_.send(std::move(messages));
  } else {
    Exchange(options_.self, client_, own_keeper_, now);
  }
  options_.timers->Cancel(timer_);
  if (const auto next = client_.NextTick()) {
    timer_ = options_.timers->At(*next, [this] { Advance(); });
  }
  // Last, because callbacks may acquire or give back tokens.
  for (const auto& outcome : client_.TakeOutcomes()) {
    const auto found = waiting_.find(outcome.request);
    if (found == waiting_.end()) continue;
    const Waiting waiting = std::move(found->second);
    waiting_.erase(found);
    Decide(waiting.team, outcome, waiting.callback);
  }
}

void TeamQuotas::Decide(const std::string& team,
                        const TeamQuotaClient::Outcome& outcome,
                        const Callback& callback) {
  if (quotas_.contains(team)) Count(team, outcome, BootClock::now());
  callback({.is_allowed = outcome.kind == Kind::kAllowed,
            .retry_after = outcome.retry_after});
}

void TeamQuotas::Count(const std::string& team,
                       const TeamQuotaClient::Outcome& outcome, TimePoint now) {
  const bool is_allowed = outcome.kind == Kind::kAllowed;
  auto& seconds = recent_[team].seconds;
  const std::int64_t second = SecondOf(now);
  Recent::Second& counted =
      seconds[static_cast<std::size_t>(second % std::ssize(seconds))];
  if (counted.number != second) counted = {.number = second};
  ++(is_allowed ? counted.admitted : counted.refused);
  if (outcome.is_fallback) {
    options_.metrics->OnQuotaDecision(is_allowed ? "fallback_allowed"
                                                 : "fallback_refused");
  } else {
    options_.metrics->OnQuotaDecision(is_allowed ? "allowed" : "refused");
  }
  if (is_allowed && !outcome.is_fallback) return;
  Unlogged& unlogged = unlogged_[team];
  if (!outcome.is_fallback) {
    ++unlogged.refused;
  } else if (is_allowed) {
    ++unlogged.fallback_allowed;
  } else {
    ++unlogged.fallback_refused;
  }
  if (now - unlogged.logged_at < kLogInterval) return;
  const TeamQuota& quota = quotas_.find(team)->second;
  if (unlogged.refused > 0) {
    LogEvent(Event::kQuotaExceeded,
             {{"team", team},
              {"refused", unlogged.refused},
              {"retry_after_ms", ToMillis(outcome.retry_after)},
              {"rate", std::to_string(quota.rate_per_second)},
              {"burst", std::to_string(quota.burst)}});
  }
  if (unlogged.fallback_allowed + unlogged.fallback_refused > 0) {
    LogEvent(Event::kQuotaFallback, {{"team", team},
                                     {"allowed", unlogged.fallback_allowed},
                                     {"refused", unlogged.fallback_refused}});
  }
  unlogged = {.logged_at = now};
}

}  // namespace lacewingknot::edge
