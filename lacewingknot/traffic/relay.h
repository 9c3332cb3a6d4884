// Relays sub-requests between daemons of the query tier.
//
// A daemon may be unable to use an upstream itself, because the upstream is
// cold or because its connections are the share of other daemons. It then sends
// the sub-request to the upstream's owner, the relay. The relay spends its own
// allowance: it checks with its upstream table at the time of sending, as for
// its own attempts.
//
// Load pattern: sub-requests and results for one peer that arise in one
// iteration of the event loop share one message.
//
// Only idempotent queries are relayed, never writes.
//
// Errors: an attempt fails with the error of sending to the relay, with the
// error that the relay reports, or with kTimeout at its own deadline.
//
// Not thread-safe: used on the traffic thread only.
//
// Example:
//   RelayClient client(io, send_to_peer);
//   client.Submit("10.0.0.8:7103", {.attempt = 7, .upstream = "up-1", ...},
//                 [](Result<Part> part, std::vector<IndexVersion> versions) {
//                   ...
//                 });
//   client.OnReply(reply);  // When the peer's message arrives.

#ifndef LACEWINGKNOT_TRAFFIC_RELAY_H_
#define LACEWINGKNOT_TRAFFIC_RELAY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "lacewingknot/peer/message.h"
#include "lacewingknot/policy/query_plan.h"
#include "lacewingknot/traffic/upstream_pool.h"

namespace lacewingknot {

// Sends an encoded body to the peer at `address`.
using SendToPeer = std::function<Result<void>(
    const std::string& address, PeerMessageKind kind, std::string body)>;

// The sending side: sends sub-requests to relays and waits for their results.
class RelayClient {
 public:
  // Receives the part, or the error and the index versions that the upstream
  // reported.
  using Done = std::function<void(Result<Part>, std::vector<IndexVersion>)>;

  RelayClient(boost::asio::io_context& io, SendToPeer send);
  ~RelayClient();

  // Sends `item` to the relay at address `peer`. `done` is called exactly once
  // unless the attempt is cancelled.
  void Submit(const std::string& peer, RelayedAttempt item, Done done);
  void Cancel(AttemptId attempt);
  void OnReply(const RelayReply& reply);

  // Number of sub-requests without a result.
  std::size_t outstanding() const { return pending_.size(); }

 private:
  struct Pending {
    std::string shard;
    Done done;
    std::unique_ptr<boost::asio::steady_timer> timer;
  };

  void Flush();
  void Finish(AttemptId attempt, Result<Part> part,
              std::vector<IndexVersion> versions);

  boost::asio::io_context& io_;
  SendToPeer send_;
  std::unordered_map<AttemptId, Pending> pending_;
  std::map<std::string, RelayRequest> outbox_;  // By address of the peer.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// The relay: sends sub-requests of other daemons to upstreams.
class RelayServer {
 public:
  // Sends one sub-request from this daemon and reports its outcome.
  using Run =
      std::function<void(const RelayedAttempt& item, RelayClient::Done)>;

  RelayServer(boost::asio::io_context& io, SendToPeer send, Run run);
  ~RelayServer();

  // Runs the sub-requests and sends their results to the peer at `reply_to`.
  void OnRequest(const std::string& reply_to, const RelayRequest& request);

  // Number of sub-requests in progress.
  std::size_t outstanding() const { return running_count_; }

 private:
  void Flush();

  boost::asio::io_context& io_;
  SendToPeer send_;
  Run run_;
  std::map<std::string, RelayReply> outbox_;  // By address of the peer.
  std::size_t running_count_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_TRAFFIC_RELAY_H_
