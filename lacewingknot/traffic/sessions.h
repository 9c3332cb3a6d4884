// Sessions carry out what the plans decide.
//
// A session keeps itself alive until it has answered its caller, through the
// callbacks of the attempts and the timer that it waits for. It answers
// exactly once.

#ifndef LACEWINGKNOT_TRAFFIC_SESSIONS_H_
#define LACEWINGKNOT_TRAFFIC_SESSIONS_H_

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>

#include "lacewingknot/traffic/traffic_core.h"

namespace lacewingknot {

class QuerySession : public std::enable_shared_from_this<QuerySession> {
 public:
  QuerySession(TrafficCore& core, QueryRequest request, QuerySpec spec,
               QueryDone done);
  void Start();

 private:
  QueryHooks MakeHooks();
  void Execute(QueryActions actions);
  void SetTimer();

  TrafficCore& core_;
  QueryRequest request_;
  TrafficCore::ServiceState& service_;
  std::optional<Duration> hedge_delay_;
  TimePoint started_at_;
  QueryPlan plan_;
  QueryDone done_;
  boost::asio::steady_timer timer_;
};

class WriteSession : public std::enable_shared_from_this<WriteSession> {
 public:
  WriteSession(TrafficCore& core, WriteRequest request, WriteSpec spec,
               WriteDone done);
  void Start();

 private:
  void Execute(WriteActions actions);
  void Send(const SendAction& action);
  void OnCallResult(AttemptId attempt, CallResult result);

  TrafficCore& core_;
  WriteRequest request_;
  TimePoint started_at_;
  WritePlan plan_;
  WriteDone done_;
  boost::asio::steady_timer timer_;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_TRAFFIC_SESSIONS_H_
