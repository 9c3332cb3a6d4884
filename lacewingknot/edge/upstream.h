// One upstream as this daemon sees it: its record, its connections, the
// attempts that wait for one, and what its answers say about its state.
//
// Attempts wait here, most urgent first, while every connection is busy. When
// the upstream may no longer be used, those that wait end as kNotSent, so that
// their owners place them elsewhere; those in flight go on.
//
// Not thread-safe: runs on the traffic thread.

#ifndef LACEWINGKNOT_EDGE_UPSTREAM_H_
#define LACEWINGKNOT_EDGE_UPSTREAM_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "lacewingknot/edge/attempt.h"
#include "lacewingknot/edge/timer_queue.h"
#include "lacewingknot/edge/upstream_connection.h"
#include "lacewingknot/edge/upstream_directory.h"
#include "lacewingknot/policy/replica_choice.h"
#include "lacewingknot/policy/slowness.h"

namespace lacewingknot::edge {

class Upstream : public std::enable_shared_from_this<Upstream> {
 public:
  struct Options {
    boost::asio::io_context* io = nullptr;
    TimerQueue* timers = nullptr;
    const HeaderNames* names = nullptr;
    UpstreamRecord record;
    boost::asio::ip::tcp::endpoint endpoint;
    bool local = false;  // In this daemon's data centre.
    // Every attempt here is abandoned soon if it gets no answer, so that dead
    // connections need no probes.
    bool short_attempts = false;
    // Connections that this daemon may hold.
    std::int64_t connection_quota = 1;
    // Called when the belief about the upstream changes, for the log.
    std::function<void(const UpstreamRecord& record, std::string_view belief,
                       std::string_view cause)>
        on_belief;
    std::function<void()> on_connection_opened;
  };

  explicit Upstream(Options options);

  // Queues or sends `attempt`. Its `done` may be called before this returns.
  void Submit(AttemptPtr attempt);

  // Opens a connection if there is none, so that the next request need not wait
  // for one; again only if `in_use`. Returns whether it did.
  bool WarmUp(bool in_use, TimePoint now);

  // Nobody waits for `attempt` any more: takes it out of the queue, or closes
  // its connection if it is still at work after kAbandonGrace.
  void Abandon(const AttemptPtr& attempt);

  // Takes a new record of the same incarnation.
  void UpdateRecord(UpstreamRecord record) {
    options_.record = std::move(record);
  }
  void set_connection_quota(std::int64_t quota) {
    options_.connection_quota = quota;
  }
  // Whether new work may go here; false empties the queue.
  void set_usable(bool usable);
  bool usable() const { return usable_ && !misdirected_; }

  // Closes idle connections and, as they end, busy ones.
  void Retire();

  // `usual` is what such a request takes on average.
  ReplicaLoad Load(Duration usual, TimePoint now) const;

  bool local() const { return options_.local; }
  const UpstreamRecord& record() const { return options_.record; }

 private:
  using ConnectionPtr = std::shared_ptr<UpstreamConnection>;

  // Time that abandoned work may go on before its connection is closed. A
  // short rest of work costs less than a new connection.
  static constexpr Duration kAbandonGrace = std::chrono::milliseconds(300);
  // Time in which a connection must open.
  static constexpr Duration kConnectTimeout = std::chrono::milliseconds(700);
  // Idle time after which a connection is not used again, where the upstream
  // does not state its own.
  static constexpr Duration kDefaultIdleTime = std::chrono::seconds(4);
  // Margin below the idle time that the upstream states.
  static constexpr Duration kIdleMargin = std::chrono::milliseconds(600);
  // Backoff after consecutive failures, doubled up to the largest.
  static constexpr Duration kFirstBackoff = std::chrono::milliseconds(60);
  static constexpr Duration kLongestBackoff = std::chrono::milliseconds(1'000);
  // Time for which an address is left alone after it answered as another
  // upstream. The directory names a new one long before.
  static constexpr Duration kMisdirectedTime = std::chrono::seconds(6);
  // Half-life of the failures of an upstream that is not used.
  static constexpr double kForgetHalfLifeSeconds = 3.0;

  void Dispatch();
  void DispatchOnce();
  ConnectionPtr IdleConnection(TimePoint now);
  void OpenConnection();
  void OnOpenTimeout(const ConnectionPtr& connection);
  void OnClosed(bool opened);
  void OnExchange(const AttemptPtr& attempt, AttemptResult result);
  void NoteOutcome(const Attempt& attempt, const AttemptResult& result,
                   TimePoint now);
  void NoteFailure(std::string_view cause, TimePoint now);
  void RaiseFailureShare(TimePoint now);
  void NoteSuccess();
  void NoteMisdirected();
  void CloseIdle(std::string_view cause);
  void FailQueue(std::string_view cause);
  void RemoveClosed();
  std::size_t OpenCount(UpstreamConnection::State state) const;

  Options options_;
  bool usable_ = true;
  bool retired_ = false;
  bool warmed_ = false;
  bool misdirected_ = false;  // Another upstream has the address.
  std::vector<ConnectionPtr> connections_;
  std::deque<AttemptPtr> queue_;
  bool dispatching_ = false;
  bool dispatch_again_ = false;
  Slowness slowness_;
  double failure_share_ = 0;  // Smoothed share of failed attempts.
  TimePoint failure_at_{};
  int failures_in_row_ = 0;
  TimePoint backoff_until_{};
};

using UpstreamPtr = std::shared_ptr<Upstream>;

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_UPSTREAM_H_
