// Serves callers' queries and writes.
//
// The core owns the upstream table, the connection pool, the relays and the
// sessions. It applies what the control thread has published on the blackboard
// before each decision to send, so that a change is in force for the next
// attempt.
//
// Errors: a request that cannot be admitted is refused with a typed error
// before anything is sent to an upstream.
//
// Not thread-safe: every function must be called on the thread that runs the
// io_context.
//
// Example:
//   TrafficCore core(io, board, metrics,
//                    {.vm = "vm-1", .boot_id = "1700000000", .clock = clock,
//                     .send_to_peer = ...});
//   core.Query({.service = "search", .query = "q"},
//              [](Result<QueryAnswer> answer) { ... });

#ifndef LACEWINGKNOT_TRAFFIC_TRAFFIC_CORE_H_
#define LACEWINGKNOT_TRAFFIC_TRAFFIC_CORE_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "lacewingknot/blackboard/blackboard.h"
#include "lacewingknot/policy/extra_load_token_bucket.h"
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
  // Relative to the start of the query; the service's settings if unset.
  std::optional<Duration> deadline;
  std::optional<Duration> partial_after;
};

struct WriteRequest {
  std::string service;
  std::string id;  // Identifies the write, to detect duplicates.
  std::string body;
  // Relative to the start of the write; the service's settings if unset.
  std::optional<Duration> deadline;
};

using QueryDone = std::function<void(Result<QueryAnswer>)>;
using WriteDone = std::function<void(Result<WriteResult>)>;

class TrafficCore {
 public:
  struct Options {
    std::string vm;       // Id of this daemon's VM.
    std::string boot_id;  // Unique for each start of the daemon.
    Clock clock;
    std::uint64_t seed = 0;
    // Requests of callers in progress, above which new ones are refused.
    std::size_t max_sessions = 512;
    SendToPeer send_to_peer;
  };

  // Extra-load budget and recent latencies of one service.
  struct ServiceState {
    ExtraLoadTokenBucket budget{{}};
    LatencyWindow latency;
  };

  TrafficCore(boost::asio::io_context& io, Blackboard& board, Metrics& metrics,
              Options options);
  ~TrafficCore();

  // Start a request; `done` is called exactly once. A refusal means that
  // nothing was sent to any upstream.
  void Query(const QueryRequest& request, QueryDone done);
  void Write(const WriteRequest& request, WriteDone done);

  void OnRelayRequest(const std::string& reply_to, const RelayRequest& request);
  void OnRelayReply(const RelayReply& reply);
  // Applies a peer's report of an upstream's warm-up state.
  void OnPeerReport(const std::string& upstream, const WarmupReport& report);

  // Publishes this daemon's reports of upstreams' warm-up states, and the
  // upstreams about which it needs reports of peers.
  void PublishWarmupReports();

  // Refuses new requests of callers and new sub-requests of peers from now on;
  // those in progress continue.
  void RefuseNewRequests() { refuses_new_work_ = true; }

  // Number of callers' requests and of peers' sub-requests in progress.
  std::size_t in_progress() const {
    return session_count_ + relay_server_.outstanding();
  }

  std::vector<UpstreamStatus> StatusOf(std::string_view service);

  // The functions below are for sessions only.

  // Sends an attempt to its upstream, directly or through a relay. `done` is
  // called exactly once, unless the attempt is cancelled first: then only a
  // direct attempt that has already been sent still reports its outcome.
  void SendQuery(const SendAction& action, const ShardTarget& shard,
                 const std::string& query, std::string_view service,
                 RelayClient::Done done);
  void CancelAttempt(AttemptId attempt);
  void OnSessionEnded() { --session_count_; }
  ServiceState& StateOf(const std::string& service);
  AttemptId NextAttempt() { return ++last_attempt_; }
  // Id of an attempt in messages, unique over all daemons and restarts.
  std::string WireId(AttemptId attempt) const;
  TimePoint Now() const { return options_.clock(); }
  boost::asio::io_context& io() { return io_; }
  UpstreamTable& table() { return table_; }
  UpstreamPool& pool() { return pool_; }
  Metrics& metrics() { return metrics_; }
  WriteDeduplicator& write_deduplicator() { return write_deduplicator_; }

 private:
  // Applies blackboard sections that have changed to the upstream table.
  void ApplyPublishedSections();
  Result<void> CheckAdmission() const;
  // Limits an attempt's timeout to the lease of the view.
  Duration AttemptTimeout(Duration wanted) const;
  // Sends a peer's sub-request to its upstream.
  void RunRelayed(const RelayedAttempt& item, RelayClient::Done done);
  void SendDirect(AttemptId attempt, UpstreamHandle upstream,
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
  WriteDeduplicator write_deduplicator_;
  std::map<std::string, ServiceState> services_;
  std::uint64_t seen_settings_generation_ = 0;
  std::uint64_t seen_list_generation_ = 0;
  std::uint64_t seen_permit_generation_ = 0;
  AttemptId last_attempt_ = 0;
  std::size_t session_count_ = 0;
  bool refuses_new_work_ = false;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_TRAFFIC_TRAFFIC_CORE_H_
