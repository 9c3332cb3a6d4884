#include "lacewingknot/edge/waiting_requests.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace lacewingknot::edge {
namespace {

// An upstream may be added, or its rate may rise, before the time for which the
// next attempt is expected.
constexpr Duration kMaxCheckInterval = std::chrono::milliseconds(100);
constexpr Duration kMinCheckInterval = std::chrono::milliseconds(1);
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(250);
// Lower bound of the rate in estimates.
constexpr double kMinPassRate = 0.05;

}  // namespace

double WaitingRequests::PassRate(TimePoint opens_at) const {
  return std::max(options_.pass_rate(opens_at), kMinPassRate);
}

TimePoint WaitingRequests::ExpectedStart(std::int64_t priority,
                                         std::string_view team,
                                         TimePoint now) const {
  const TimePoint opens_at = options_.withheld_until(now).value_or(now);
  return queue_.ExpectedStart(priority, opens_at, PassRate(opens_at), team);
}

Duration WaitingRequests::RetryAfter(std::int64_t priority,
                                     std::string_view team,
                                     TimePoint now) const {
  return std::max(ExpectedStart(priority, team, now) - now, kMinRetryAfter);
}

void WaitingRequests::ReportRefusal(const Request& request,
                                    TimePoint now) const {
  if (request.team.empty() || !options_.on_fairness_refusal) return;
  const TimePoint opens_at = options_.withheld_until(now).value_or(now);
  if (queue_.ExpectedStartInArrivalOrder(request.priority, opens_at,
                                         PassRate(opens_at)) <=
      request.latest_start) {
    options_.on_fairness_refusal(request.team);
  }
}

std::optional<WaitingRequests::Id> WaitingRequests::Add(Request request,
                                                        TimePoint now) {
  if (ExpectedStart(request.priority, request.team, now) >
      request.latest_start) {
    queue_.OnRefused(request.priority, request.team);
    ReportRefusal(request, now);
    return std::nullopt;
  }
  const Id id = queue_.Add(request.priority, request.team);
  requests_.emplace(id, std::move(request));
  Schedule(now);
  return id;
}

void WaitingRequests::Remove(Id id) {
  queue_.Remove(id);
  requests_.erase(id);
  if (requests_.empty()) options_.timers->Cancel(timer_);
}

void WaitingRequests::EndThoseTooLate(TimePoint now) {
  std::vector<std::function<void()>> ended;
  for (auto& [id, request] : requests_) {
    if (request.latest_start >= now) continue;
    ended.push_back(std::move(request.on_too_late));
    queue_.Remove(id);
  }
  std::erase_if(requests_, [&](const auto& entry) {
    return entry.second.latest_start < now;
  });
  for (const auto& on_too_late : ended) on_too_late();
}

void WaitingRequests::StartThoseReady(TimePoint now) {
  // A request that starts may end at once, and its end may come back here.
  if (std::exchange(is_starting_, true)) return;
  EndThoseTooLate(now);
  while (const auto next = queue_.Next()) {
    if (options_.withheld_until(now)) break;
    // Kept alive, because the request may remove itself.
    const auto start = requests_.at(*next).start;
    if (!start(now)) break;
    queue_.OnStarted(*next);
    requests_.erase(*next);
  }
  is_starting_ = false;
  Schedule(now);
}

void WaitingRequests::Schedule(TimePoint now) {
  options_.timers->Cancel(timer_);
  if (requests_.empty()) return;
  TimePoint next = std::min(options_.withheld_until(now).value_or(now),
                            now + kMaxCheckInterval);
  // An upstream that takes attempts may still be unable to take the next one,
  // for example because that request has tried it before.
  next = std::max(next, now + kMinCheckInterval);
  timer_ =
      options_.timers->At(next, [this] { StartThoseReady(BootClock::now()); });
}

}  // namespace lacewingknot::edge
