// Connections from this daemon to the upstreams, and the calls that wait for
// one.
//
// For each upstream the pool holds at most as many connections as the upstream
// table allows. It checks with the table again immediately before each call is
// sent: after the call has waited, after a connection has been opened, and so
// also after a pause of the process. It reports answers, failures and the loss
// of an upstream's last connection to the table.
//
// Load pattern: calls in excess of the free connections wait in order of
// arrival. While the table reports that its limit is reached, calls beyond the
// upstream's maximum queue length fail at once, the latest first.
//
// Errors: CallResult::sent says whether bytes of a failed call may have been
// sent. A call that times out after it was sent closes its connection and every
// idle connection of that upstream, because a connection that has stopped
// answering is seldom the only one.
//
// Not thread-safe: the pool and its callbacks run on the traffic thread.
//
// Example:
//   UpstreamPool pool(io, table, {.clock = clock, .refresh = [] {}});
//   pool.Submit(attempt, upstream, std::chrono::milliseconds(300),
//               [request](Duration) { return MakeQueryCall(request); },
//               [](CallResult result) { ... });

#ifndef LACEWINGKNOT_TRAFFIC_UPSTREAM_POOL_H_
#define LACEWINGKNOT_TRAFFIC_UPSTREAM_POOL_H_

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "lacewingknot/net/http_connection.h"
#include "lacewingknot/policy/upstream_table.h"
#include "lacewingknot/traffic/upstream_protocol.h"

namespace lacewingknot {

// The outcome of one call. `sent` is false only if no byte of the call can have
// been sent.
struct CallResult {
  Result<HttpReply> reply;
  bool sent = false;
  Duration latency{};  // From sending to the end of the call; 0 if unknown.
};

class UpstreamPool {
 public:
  struct Options {
    Clock clock;
    // Applies what the control thread has published to the table; called
    // before each decision to send.
    std::function<void()> refresh;
  };

  using CallDone = std::function<void(CallResult)>;

  UpstreamPool(boost::asio::io_context& io, UpstreamTable& table,
               Options options);
  ~UpstreamPool();

  // Sends `make_call(time_left)` as soon as a connection is free, or fails at
  // `timeout`. `done` is called exactly once unless the call is cancelled, and
  // never from within Submit.
  void Submit(AttemptId attempt, UpstreamHandle upstream, Duration timeout,
              std::function<HttpCall(Duration time_left)> make_call,
              CallDone done);

  // Cancels the call; `done` will not be called. If the call has been sent, its
  // connection stays open until the answer, which is discarded, or until the
  // call's timeout, when it is closed: closing it at once would cost a new
  // connection for each hedge that wins.
  void Cancel(AttemptId attempt);

  // Cancels the call if it has not been sent. A call that has been sent goes on
  // and `done` is called, because its outcome is still evidence about the
  // upstream.
  void CancelIfUnsent(AttemptId attempt);

  // Number of calls that are waiting or in flight.
  std::size_t outstanding() const { return calls_.size(); }

 private:
  struct PooledConnection {
    std::shared_ptr<HttpConnection> http;
    // The call that uses the connection, or for which it is being opened.
    std::optional<AttemptId> attempt;
    bool is_connecting = false;
  };

  struct UpstreamState {
    std::vector<std::shared_ptr<PooledConnection>> connections;
    std::deque<AttemptId> waiting;
  };

  struct Call {
    AttemptId attempt;
    UpstreamHandle upstream;
    TimePoint deadline;
    std::function<HttpCall(Duration)> make_call;
    CallDone done;
    std::unique_ptr<boost::asio::steady_timer> timer;
    // Set while a connection carries the call or is being opened for it.
    std::shared_ptr<PooledConnection> connection;
    bool sent = false;
    bool cancelled = false;
    TimePoint sent_at{};
  };

  UpstreamState& StateOf(UpstreamHandle upstream);
  // Sends waiting calls while connections are free or may be opened; fails
  // those that may not be sent.
  void DispatchWaiting(UpstreamHandle upstream);
  std::shared_ptr<PooledConnection> TakeIdleConnection(UpstreamHandle upstream);
  void OpenConnection(UpstreamHandle upstream, AttemptId attempt);
  void OnConnected(UpstreamHandle upstream,
                   const std::shared_ptr<PooledConnection>& pooled,
                   const Result<void>& connected);
  void SendOn(const std::shared_ptr<PooledConnection>& pooled, Call& call);
  void OnReply(UpstreamHandle upstream,
               const std::shared_ptr<PooledConnection>& pooled,
               AttemptId attempt, Result<HttpReply> reply);
  void OnTimeout(AttemptId attempt);
  void CloseConnection(UpstreamHandle upstream,
                       const std::shared_ptr<PooledConnection>& pooled);
  // Removes the connection from the pool; `lost` if the other end closed it.
  void RemoveConnection(UpstreamHandle upstream,
                        const std::shared_ptr<PooledConnection>& pooled,
                        bool lost);
  void CloseIdleConnections(UpstreamHandle upstream);
  void ReportConnections(UpstreamHandle upstream, bool lost_last);
  void Finish(AttemptId attempt, Result<HttpReply> reply);
  void RemoveWaiting(UpstreamHandle upstream, AttemptId attempt);
  TimePoint Now() const { return options_.clock(); }

  boost::asio::io_context& io_;
  UpstreamTable& table_;
  Options options_;
  std::unordered_map<UpstreamHandle, UpstreamState> upstreams_;
  std::unordered_map<AttemptId, Call> calls_;
  // Expires with the pool; callbacks of connections that outlive it check it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_TRAFFIC_UPSTREAM_POOL_H_
