#include "lacewingknot/edge/timer_queue.h"

namespace lacewingknot::edge {
namespace {

// The recorded lag decays by 1/kLagDecay whenever due timers run.
constexpr int kLagDecay = 10;

}  // namespace

TimerQueue::Id TimerQueue::At(TimePoint due, std::function<void()> run) {
  const Id id{.due = due, .number = next_number_++};
  pending_.emplace(id, std::move(run));
  if (due < armed_for_) Arm();
  return id;
}

void TimerQueue::Cancel(Id& id) {
  pending_.erase(id);
  id = {};
}

void TimerQueue::Arm() {
  if (pending_.empty()) {
    armed_for_ = TimePoint::max();
    return;
  }
  const TimePoint due = pending_.begin()->first.due;
  armed_for_ = due;
  timer_.expires_after(std::max(due - BootClock::now(), Duration::zero()));
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) OnTimer();
  });
}

void TimerQueue::OnTimer() {
  // Prevents At() from arming while due timers run; Arm() below does it once.
  armed_for_ = TimePoint::min();
  const TimePoint now = BootClock::now();
  if (!pending_.empty() && pending_.begin()->first.due <= now) {
    const Duration late = now - pending_.begin()->first.due;
    recent_lag_ = std::max(late, recent_lag_ - recent_lag_ / kLagDecay);
  }
  while (!pending_.empty() && pending_.begin()->first.due <= now) {
    auto first = pending_.extract(pending_.begin());
    first.mapped()();
  }
  Arm();
}

}  // namespace lacewingknot::edge
