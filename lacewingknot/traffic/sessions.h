// Sessions carry out the decisions of query and write plans.
//
// A session owns the plan of one request, sends the attempts that the plan
// asks for and feeds their outcomes back to it. The callbacks of its attempts
// and of its timer hold shared ownership, so that the session lives until it
// has answered its caller, which it does exactly once.
//
// Not thread-safe: used on the traffic thread only.
//
// Example:
//   std::make_shared<QuerySession>(core, request, std::move(spec),
//                                  std::move(done))
//       ->Start();

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
