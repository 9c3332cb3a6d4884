// A queue of timers that share one kernel timer.
//
// Load pattern: most timers of a request are cancelled long before they are
// due. Adding or cancelling a timer therefore costs no system call, unless the
// added timer becomes the earliest.
//
// Not thread-safe: runs on the io_context's thread.
//
// Example:
//   TimerQueue timers(io);
//   TimerQueue::Id id = timers.At(deadline, [self] { self->OnDeadline(); });
//   timers.Cancel(id);

#ifndef LACEWINGKNOT_EDGE_TIMER_QUEUE_H_
#define LACEWINGKNOT_EDGE_TIMER_QUEUE_H_

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <tuple>
#include <utility>

#include "lacewingknot/base/clock.h"

namespace lacewingknot::edge {

class TimerQueue {
 public:
  // Identifies a timer. A default-constructed Id identifies none.
  struct Id {
    TimePoint due{};
    std::uint64_t number = 0;
    bool operator<(const Id& other) const {
      return std::tie(due, number) < std::tie(other.due, other.number);
    }
  };

  explicit TimerQueue(boost::asio::io_context& io) : timer_(io) {}

  // Runs `run` at `due`, or as soon as possible if that is in the past.
  Id At(TimePoint due, std::function<void()> run);

  // Cancels the timer and clears `id`. Has no effect on a timer that has run or
  // was cancelled before.
  void Cancel(Id& id);

  // Returns a decaying maximum of the delay with which timers ran recently. It
  // estimates how long due work waits for the processor.
  Duration lag() const { return recent_lag_; }

 private:
  void Arm();
  void OnTimer();

  boost::asio::steady_timer timer_;
  std::map<Id, std::function<void()>> pending_;
  std::uint64_t next_number_ = 1;
  TimePoint armed_for_ = TimePoint::max();
  Duration recent_lag_{};
};

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_TIMER_QUEUE_H_
