// Sub-requests sent on for other daemons.
//
// A daemon that may not use an upstream itself, because it is cold or because
// its connections are the share of others, hands the sub-request to the daemon
// responsible for it. The relay spends its own allowance: it asks the table at
// the moment of sending like any attempt of its own. Sub-requests and results
// for one peer that come up in one turn of the loop share a message.
//
// Only idempotent queries are relayed, never writes.
//
// Not thread-safe: owned by the traffic thread.

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

// The entry's side: hands sub-requests to relays and awaits their results.
class RelayClient {
 public:
  using Done = std::function<void(Result<Part>, std::vector<IndexVersion>)>;

  RelayClient(boost::asio::io_context& io, SendToPeer send);
  ~RelayClient();

  // `done` is called exactly once unless the attempt is cancelled.
  void Submit(const std::string& peer, RelayItem item, Done done);
  void Cancel(AttemptId attempt);
  void OnReply(const RelayReply& reply);

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
  std::map<std::string, RelayRequest> outbox_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// The relay's side: runs sub-requests of other daemons.
class RelayServer {
 public:
  // Runs one sub-request from here and reports how it ended.
  using Run = std::function<void(const RelayItem& item, RelayClient::Done)>;

  RelayServer(boost::asio::io_context& io, SendToPeer send, Run run);
  ~RelayServer();

  void OnRequest(const std::string& reply_to, const RelayRequest& request);

  std::size_t outstanding() const { return running_; }

 private:
  void Flush();

  boost::asio::io_context& io_;
  SendToPeer send_;
  Run run_;
  std::map<std::string, RelayReply> outbox_;
  std::size_t running_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_TRAFFIC_RELAY_H_
