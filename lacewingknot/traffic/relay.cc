#include "lacewingknot/traffic/relay.h"

#include <boost/asio/post.hpp>

namespace lacewingknot {

RelayClient::RelayClient(boost::asio::io_context& io, SendToPeer send)
    : io_(io), send_(std::move(send)) {}

RelayClient::~RelayClient() = default;

void RelayClient::Submit(const std::string& peer, RelayedAttempt item,
                         Done done) {
  const AttemptId attempt = item.attempt;
  const auto timeout = std::chrono::microseconds(item.time_left_us);
  Pending& pending = pending_[attempt];
  pending.shard = item.shard;
  pending.done = std::move(done);
  pending.timer = std::make_unique<boost::asio::steady_timer>(io_, timeout);
  pending.timer->async_wait([this, attempt, alive = std::weak_ptr(alive_)](
                                boost::system::error_code error) {
    if (error || alive.expired()) return;
    Finish(attempt,
           Error{ErrorType::kTimeout,
                 "the relay did not reply before the timeout"},
           {});
  });
  if (outbox_.empty()) {
    boost::asio::post(io_, [this, alive = std::weak_ptr(alive_)] {
      if (!alive.expired()) Flush();
    });
  }
  outbox_[peer].items.push_back(std::move(item));
}

void RelayClient::Flush() {
  const auto outbox = std::move(outbox_);
  outbox_.clear();
  for (const auto& [peer, request] : outbox) {
    const Result<void> sent =
        send_(peer, PeerMessageKind::kRelayRequest, EncodePeerBody(request));
    if (sent) continue;
    for (const RelayedAttempt& item : request.items) {
      Finish(item.attempt, sent.error(), {});
    }
  }
}

void RelayClient::Cancel(AttemptId attempt) { pending_.erase(attempt); }

void RelayClient::OnReply(const RelayReply& reply) {
  for (const RelayResult& result : reply.results) {
    const auto at = pending_.find(result.attempt);
    if (at == pending_.end()) continue;
    if (!result.failure.empty()) {
      const auto type = ErrorTypeFromName(result.failure);
      Finish(result.attempt,
             Error{type.value_or(ErrorType::kUpstreamError),
                   "the relay's attempt failed"},
             result.versions);
      continue;
    }
    Finish(result.attempt,
           Part{.shard = at->second.shard,
                .version = result.version,
                .versions = result.versions,
                .items = result.items,
                .item_count = result.item_count},
           {});
  }
}

void RelayClient::Finish(AttemptId attempt, Result<Part> part,
                         std::vector<IndexVersion> versions) {
  const auto at = pending_.find(attempt);
  if (at == pending_.end()) return;
  const Done done = std::move(at->second.done);
  pending_.erase(at);
  done(std::move(part), std::move(versions));
}

RelayServer::RelayServer(boost::asio::io_context& io, SendToPeer send, Run run)
    : io_(io), send_(std::move(send)), run_(std::move(run)) {}

RelayServer::~RelayServer() = default;

void RelayServer::OnRequest(const std::string& reply_to,
                            const RelayRequest& request) {
  for (const RelayedAttempt& item : request.items) {
    ++running_count_;
    run_(item, [this, reply_to, attempt = item.attempt,
                alive = std::weak_ptr(alive_)](
                   Result<Part> part, std::vector<IndexVersion> versions) {
      if (alive.expired()) return;
      --running_count_;
      RelayResult result;
      result.attempt = attempt;
      result.versions = std::move(versions);
      if (part) {
        result.version = part.value().version;
        result.versions = std::move(part.value().versions);
        result.items = std::move(part.value().items);
        result.item_count = part.value().item_count;
      } else {
        result.failure = ErrorTypeName(part.error().type);
      }
      if (outbox_.empty()) {
        boost::asio::post(io_, [this, alive] {
          if (!alive.expired()) Flush();
        });
      }
      outbox_[reply_to].results.push_back(std::move(result));
    });
  }
}

void RelayServer::Flush() {
  const auto outbox = std::move(outbox_);
  outbox_.clear();
  for (const auto& [peer, reply] : outbox) {
    // A failure to send is ignored: the peer's attempt fails at its own
    // deadline.
    static_cast<void>(
        send_(peer, PeerMessageKind::kRelayReply, EncodePeerBody(reply)));
  }
}

}  // namespace lacewingknot
