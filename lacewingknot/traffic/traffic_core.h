// Everything that carries callers' requests, on one thread.
//
// The core joins the table, the pool, the relays and the sessions. It reads
// the blackboard before each decision to send, so that a change published by
// control is in force for the very next attempt.
//
// Not thread-safe: every function except Post runs on the io_context's thread.

#ifndef LACEWINGKNOT_TRAFFIC_TRAFFIC_CORE_H_
#define LACEWINGKNOT_TRAFFIC_TRAFFIC_CORE_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "lacewingknot/blackboard/blackboard.h"
#include "lacewingknot/policy/extra_load.h"
#include "lacewingknot/policy/latency_window.h"
#include "lacewingknot/policy/upstream_table.h"
#include "lacewingknot/policy/write_plan.h"
#include "lacewingknot/traffic/metrics.h"
#include "lacewingknot/traffic/relay.h"
#include "lacewingknot/traffic/upstream_pool.h"

namespace lacewingknot {

struct QueryRequest {
  std::string service;
  std::string query;
  std::optional<Duration> deadline;       // From now; the service's if none.
  std::optional<Duration> partial_after;  // From now; the service's if none.
};

struct WriteRequest {
  std::string service;
  std::string id;
  std::string body;
  std::optional<Duration> deadline;
};

using QueryDone = std::function<void(Result<QueryAnswer>)>;
using WriteDone = std::function<void(Result<WriteResult>)>;

class TrafficCore {
 public:
  struct Options {
    std::string vm;
    std::string boot;  // Differs at each start of the daemon.
    Clock clock;
    std::uint64_t seed = 0;
    std::size_t max_sessions = 512;
    SendToPeer send_to_peer;
  };

  // Traffic of one service, from its own past.
  struct ServiceState {
    ExtraLoadBudget budget{{}};
    LatencyWindow latency;
  };

  TrafficCore(boost::asio::io_context& io, Blackboard& board, Metrics& metrics,
              Options options);
  ~TrafficCore();

  // A refusal means that nothing was sent to any upstream.
  void Query(const QueryRequest& request, QueryDone done);
  void Write(const WriteRequest& request, WriteDone done);

  void OnRelayRequest(const std::string& reply_to, const RelayRequest& request);
  void OnRelayReply(const RelayReply& reply);
  void OnClaim(const std::string& upstream, const WarmthClaim& claim);

  // Publishes what this daemon knows of the upstreams, for peers.
  void PublishEvidence();

  // From now on refuses requests of callers; those in progress go on.
  void RefuseNewWork() { refusing_ = true; }

  // Requests of callers and of peers in progress.
  std::size_t in_progress() const {
    return sessions_ + relay_server_.outstanding();
  }

  std::vector<UpstreamStatus> StatusOf(std::string_view service);

  // For sessions.
  void SendQuery(const SendAction& action, const ShardTarget& shard,
                 const std::string& query, std::string_view service,
                 RelayClient::Done done);
  void CancelAttempt(AttemptId attempt);
  void OnSessionEnded() { --sessions_; }
  ServiceState& StateOf(const std::string& service);
  AttemptId NextAttempt() { return ++last_attempt_; }
  std::string WireId(AttemptId attempt) const;
  TimePoint Now() const { return options_.clock(); }
  boost::asio::io_context& io() { return io_; }
  UpstreamTable& table() { return table_; }
  UpstreamPool& pool() { return pool_; }
  Metrics& metrics() { return metrics_; }
  WriteLedger& ledger() { return ledger_; }

 private:
  void Refresh();
  Result<void> Admit() const;
  Duration AttemptTimeout(Duration wanted) const;
  void RunRelayed(const RelayItem& item, RelayClient::Done done);
  void RunDirect(AttemptId attempt, UpstreamHandle upstream,
                 const SubRequest& request, Duration timeout,
                 RelayClient::Done done);

  boost::asio::io_context& io_;
  Blackboard& board_;
  Metrics& metrics_;
  Options options_;
  UpstreamTable table_;
  UpstreamPool pool_;
  RelayClient relay_client_;
  RelayServer relay_server_;
  WriteLedger ledger_;
  std::map<std::string, ServiceState> services_;
  std::uint64_t seen_settings_ = 0;
  std::uint64_t seen_list_ = 0;
  std::uint64_t seen_permit_ = 0;
  AttemptId last_attempt_ = 0;
  std::size_t sessions_ = 0;
  bool refusing_ = false;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_TRAFFIC_TRAFFIC_CORE_H_
