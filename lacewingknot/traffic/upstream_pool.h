// Connections from this daemon to the upstreams, and the attempts that wait
// for one.
//
// The pool keeps within the connections that the table allows, and asks the
// table again at the moment of sending: after waiting, after connecting, and
// so also after a pause of the process. It tells the table what it learns:
// answers, failures, and the loss of the last connection.
//
// A timeout closes its connection and every idle connection of that upstream,
// as a connection that has gone silent is seldom the only one.
//
// Not thread-safe: owned by the traffic thread, as are its callbacks.

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

// How one call ended. `sent` is false only if no byte can have left.
struct CallResult {
  Result<HttpReply> reply;
  bool sent = false;
  Duration latency{};  // From sending to the reply.
};

class UpstreamPool {
 public:
  struct Options {
    Clock clock;
    // Refreshes the table from what control has published; called before each
    // decision to send.
    std::function<void()> refresh;
  };

  using CallDone = std::function<void(CallResult)>;

  UpstreamPool(boost::asio::io_context& io, UpstreamTable& table,
               Options options);
  ~UpstreamPool();

  // Sends `make_call(time_left)` when a connection is free. `done` is called
  // exactly once, never from within Submit, unless the call is cancelled.
  void Submit(AttemptId attempt, UpstreamHandle upstream, Duration timeout,
              std::function<HttpCall(Duration time_left)> make_call,
              CallDone done);

  // Forgets the call. A connection that carries it is kept until the answer,
  // which is dropped, or until the call's timeout, when it is closed: closing
  // it at once would cost a new connection for each hedge that wins.
  void Cancel(AttemptId attempt);

  // Like Cancel for a call that has not been sent. One that has been goes on,
  // and `done` is called: what it tells of the upstream still counts.
  void Abandon(AttemptId attempt);

  // Calls waiting or in flight.
  std::size_t outstanding() const { return calls_.size(); }

 private:
  struct Lane {
    std::shared_ptr<HttpConnection> connection;
    std::optional<AttemptId> attempt;
    bool connecting = false;
  };

  struct Lanes {
    std::vector<std::shared_ptr<Lane>> all;
    std::deque<AttemptId> waiting;
  };

  struct Call {
    AttemptId attempt;
    UpstreamHandle upstream;
    TimePoint deadline;
    std::function<HttpCall(Duration)> make_call;
    CallDone done;
    std::unique_ptr<boost::asio::steady_timer> timer;
    std::shared_ptr<Lane> lane;  // Set while a connection carries the call.
    bool sent = false;
    bool cancelled = false;
    TimePoint sent_at{};
  };

  Lanes& LanesOf(UpstreamHandle upstream);
  void Pump(UpstreamHandle upstream);
  std::shared_ptr<Lane> TakeIdleLane(UpstreamHandle upstream);
  void OpenLane(UpstreamHandle upstream, AttemptId attempt);
  void OnConnected(UpstreamHandle upstream, const std::shared_ptr<Lane>& lane,
                   const Result<void>& connected);
  void SendOn(const std::shared_ptr<Lane>& lane, Call& call);
  void OnReply(UpstreamHandle upstream, const std::shared_ptr<Lane>& lane,
               AttemptId attempt, Result<HttpReply> reply);
  void OnTimeout(AttemptId attempt);
  void CloseLane(UpstreamHandle upstream, const std::shared_ptr<Lane>& lane);
  void Release(UpstreamHandle upstream, const std::shared_ptr<Lane>& lane,
               bool lost);
  void CloseIdleLanes(UpstreamHandle upstream);
  void ReportConnections(UpstreamHandle upstream, bool lost_last);
  void Finish(AttemptId attempt, Result<HttpReply> reply);
  void RemoveWaiting(UpstreamHandle upstream, AttemptId attempt);
  TimePoint Now() const { return options_.clock(); }

  boost::asio::io_context& io_;
  UpstreamTable& table_;
  Options options_;
  std::unordered_map<UpstreamHandle, Lanes> lanes_;
  std::unordered_map<AttemptId, Call> calls_;
  // Callbacks of connections that outlive the pool find this expired.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_TRAFFIC_UPSTREAM_POOL_H_
