// Many timers over one kernel timer.
//
// Most timers of a request are cancelled long before they are due. Cancelling
// and adding one costs no system call unless it becomes the earliest.
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
  // Identifies a timer; a default one identifies none.
  struct Id {
    TimePoint due{};
    std::uint64_t number = 0;
    bool operator<(const Id& other) const {
      return std::tie(due, number) < std::tie(other.due, other.number);
    }
  };

  explicit TimerQueue(boost::asio::io_context& io) : timer_(io) {}

  Id At(TimePoint due, std::function<void()> run);

  // Does nothing if the timer has run or was cancelled. Clears `id`.
  void Cancel(Id& id);

  // How late timers have run of late: how long what is due waits for the
  // processor.
  Duration lag() const { return lag_; }

 private:
  void Arm();
  void OnTimer();

  boost::asio::steady_timer timer_;
  std::map<Id, std::function<void()>> pending_;
  std::uint64_t next_number_ = 1;
  TimePoint armed_for_ = TimePoint::max();
  Duration lag_{};
};

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_TIMER_QUEUE_H_
