#include "lacewingknot/traffic/upstream_pool.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace lacewingknot {

UpstreamPool::UpstreamPool(boost::asio::io_context& io, UpstreamTable& table,
                           Options options)
    : io_(io), table_(table), options_(std::move(options)) {}

UpstreamPool::~UpstreamPool() {
  alive_.reset();
  for (auto& [upstream, state] : upstreams_) {
    for (const auto& pooled : state.connections) pooled->http->Close();
  }
}

UpstreamPool::UpstreamState& UpstreamPool::StateOf(UpstreamHandle upstream) {
  return upstreams_[upstream];
}

void UpstreamPool::Submit(AttemptId attempt, UpstreamHandle upstream,
                          Duration timeout,
                          std::function<HttpCall(Duration)> make_call,
                          CallDone done) {
  Call& call = calls_[attempt];
  call.attempt = attempt;
  call.upstream = upstream;
  call.deadline = Now() + timeout;
  call.make_call = std::move(make_call);
  call.done = std::move(done);
  call.timer = std::make_unique<boost::asio::steady_timer>(io_);
  call.timer->expires_after(timeout);
  call.timer->async_wait([this, attempt, alive = std::weak_ptr(alive_)](
                             boost::system::error_code error) {
    if (!error && !alive.expired()) OnTimeout(attempt);
  });
  UpstreamState& state = StateOf(upstream);
  table_.OnQueued(upstream, 1);
  state.waiting.push_back(attempt);
  boost::asio::post(io_, [this, upstream, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) DispatchWaiting(upstream);
  });
}

void UpstreamPool::DispatchWaiting(UpstreamHandle upstream) {
  options_.refresh();
  UpstreamState& state = StateOf(upstream);
  while (!state.waiting.empty()) {
    const AttemptId attempt = state.waiting.front();
    Call& call = calls_.at(attempt);
    const TimePoint now = Now();
    if (now >= call.deadline) {
      Finish(
          attempt,
          Error{ErrorType::kNotSent,
                "the deadline passed while the call waited for a connection"});
      continue;
    }
    const Result<void> allowed = table_.CheckSend(upstream, now);
    if (!allowed) {
      const std::int64_t limit = table_.ConnectionLimit(upstream, now);
      const bool may_wait = allowed.error().type == ErrorType::kLimitReached &&
                            limit > 0 &&
                            static_cast<std::int64_t>(state.waiting.size()) <=
                                table_.max_queue(upstream);
      if (may_wait) return;
      const AttemptId refused_attempt =
          limit > 0 && allowed.error().type == ErrorType::kLimitReached
              ? state.waiting.back()
              : attempt;
      Finish(refused_attempt, allowed.error());
      continue;
    }
    if (std::shared_ptr<PooledConnection> pooled =
            TakeIdleConnection(upstream)) {
      RemoveWaiting(upstream, attempt);
      SendOn(pooled, call);
      continue;
    }
    const bool may_open = static_cast<std::int64_t>(state.connections.size()) <
                          table_.ConnectionLimit(upstream, now);
    if (!may_open) return;
    OpenConnection(upstream, attempt);
  }
}

std::shared_ptr<UpstreamPool::PooledConnection>
UpstreamPool::TakeIdleConnection(UpstreamHandle upstream) {
  UpstreamState& state = StateOf(upstream);
  for (std::size_t i = 0; i < state.connections.size();) {
    std::shared_ptr<PooledConnection> pooled = state.connections[i];
    if (pooled->attempt || pooled->is_connecting) {
      ++i;
      continue;
    }
    if (pooled->http->IsReusable()) return pooled;
    // The other end closed the connection while it was idle, for example
    // during a pause of this process.
    pooled->http->Close();
    RemoveConnection(upstream, pooled, true);
  }
  return nullptr;
}

void UpstreamPool::OpenConnection(UpstreamHandle upstream, AttemptId attempt) {
  const auto endpoint = ParseEndpoint(table_.address(upstream));
  if (!endpoint) {
    Finish(attempt, endpoint.error());
    return;
  }
  RemoveWaiting(upstream, attempt);
  auto pooled = std::make_shared<PooledConnection>();
  pooled->is_connecting = true;
  pooled->attempt = attempt;
  pooled->http = HttpConnection::Create(
      io_, endpoint.value(),
      {.on_closed_while_idle = [this, upstream, weak = std::weak_ptr(pooled),
                                alive = std::weak_ptr(alive_)] {
        const auto lost = weak.lock();
        if (alive.expired() || lost == nullptr) return;
        RemoveConnection(upstream, lost, true);
        DispatchWaiting(upstream);
      }});
  StateOf(upstream).connections.push_back(pooled);
  Call& call = calls_.at(attempt);
  call.connection = pooled;
  table_.OnSent(upstream);
  pooled->http->Connect([this, upstream, pooled, alive = std::weak_ptr(alive_)](
                            const Result<void>& connected) {
    if (!alive.expired()) OnConnected(upstream, pooled, connected);
  });
}

void UpstreamPool::OnConnected(UpstreamHandle upstream,
                               const std::shared_ptr<PooledConnection>& pooled,
                               const Result<void>& connected) {
  pooled->is_connecting = false;
  const std::optional<AttemptId> attempt = pooled->attempt;
  if (attempt) table_.OnFinished(upstream);
  pooled->attempt.reset();
  if (!connected) {
    RemoveConnection(upstream, pooled, true);
    if (attempt) {
      table_.OnFailure(upstream, ErrorType::kConnectFailed, {}, Now());
      calls_.at(*attempt).connection.reset();
      Finish(*attempt, connected.error());
    }
    DispatchWaiting(upstream);
    return;
  }
  if (!attempt) {
    DispatchWaiting(upstream);
    return;
  }
  Call& call = calls_.at(*attempt);
  call.connection.reset();
  options_.refresh();
  const Result<void> allowed = table_.CheckSend(upstream, Now());
  if (allowed && Now() < call.deadline) {
    SendOn(pooled, call);
    return;
  }
  Finish(*attempt,
         allowed ? Error{ErrorType::kNotSent,
                         "the deadline passed while the connection was opened"}
                 : allowed.error());
  DispatchWaiting(upstream);
}

void UpstreamPool::SendOn(const std::shared_ptr<PooledConnection>& pooled,
                          Call& call) {
  const TimePoint now = Now();
  pooled->attempt = call.attempt;
  call.connection = pooled;
  call.sent = true;
  call.sent_at = now;
  table_.OnSent(call.upstream);
  const HttpCall http_call = call.make_call(call.deadline - now);
  pooled->http->Exchange(
      http_call,
      [this, upstream = call.upstream, pooled, attempt = call.attempt,
       alive = std::weak_ptr(alive_)](Result<HttpReply> reply) {
        if (!alive.expired()) {
          OnReply(upstream, pooled, attempt, std::move(reply));
        }
      });
}

void UpstreamPool::OnReply(UpstreamHandle upstream,
                           const std::shared_ptr<PooledConnection>& pooled,
                           AttemptId attempt, Result<HttpReply> reply) {
  const bool is_in_flight = pooled->attempt == attempt;
  if (!is_in_flight) return;  // Timed out; OnTimeout has done the accounting.
  table_.OnFinished(upstream);
  pooled->attempt.reset();
  const bool lost = !reply && reply.error().type != ErrorType::kCancelled;
  if (!pooled->http->is_open()) RemoveConnection(upstream, pooled, lost);
  ReportConnections(upstream, false);
  const auto at = calls_.find(attempt);
  if (at != calls_.end()) {
    Call& call = at->second;
    call.connection.reset();
    if (!reply) {
      call.sent = reply.error().type != ErrorType::kNotSent;
      table_.OnFailure(upstream, reply.error().type, {}, Now());
    }
    Finish(attempt, std::move(reply));
  }
  DispatchWaiting(upstream);
}

void UpstreamPool::OnTimeout(AttemptId attempt) {
  const auto at = calls_.find(attempt);
  if (at == calls_.end()) return;
  const Call call = std::move(at->second);
  calls_.erase(at);
  RemoveWaiting(call.upstream, attempt);
  const bool is_connecting =
      call.connection != nullptr && call.connection->is_connecting;
  ErrorType type = ErrorType::kNotSent;
  if (call.sent) type = ErrorType::kTimeout;
  if (is_connecting) type = ErrorType::kConnectFailed;
  table_.OnFailure(call.upstream, type, {}, Now());
  if (call.connection != nullptr) {
    CloseConnection(call.upstream, call.connection);
  }
  if (call.sent) CloseIdleConnections(call.upstream);
  if (!call.cancelled) {
    call.done(
        {.reply = Error{type, "the upstream did not answer before the timeout"},
         .sent = call.sent});
  }
  DispatchWaiting(call.upstream);
}

void UpstreamPool::CloseConnection(
    UpstreamHandle upstream, const std::shared_ptr<PooledConnection>& pooled) {
  pooled->attempt.reset();
  table_.OnFinished(upstream);
  pooled->http->Close();
  RemoveConnection(upstream, pooled, false);
}

void UpstreamPool::Cancel(AttemptId attempt) {
  const auto at = calls_.find(attempt);
  if (at == calls_.end()) return;
  Call& call = at->second;
  if (call.sent) {
    call.cancelled = true;
    return;
  }
  RemoveWaiting(call.upstream, attempt);
  if (call.connection != nullptr) {
    // The connection that is being opened stays in the pool for the next call.
    call.connection->attempt.reset();
    table_.OnFinished(call.upstream);
  }
  calls_.erase(at);
}

void UpstreamPool::CancelIfUnsent(AttemptId attempt) {
  const auto at = calls_.find(attempt);
  if (at != calls_.end() && !at->second.sent) Cancel(attempt);
}

void UpstreamPool::RemoveConnection(
    UpstreamHandle upstream, const std::shared_ptr<PooledConnection>& pooled,
    bool lost) {
  UpstreamState& state = StateOf(upstream);
  std::erase(state.connections, pooled);
  ReportConnections(upstream, lost && state.connections.empty());
}

void UpstreamPool::CloseIdleConnections(UpstreamHandle upstream) {
  std::erase_if(StateOf(upstream).connections,
                [](const std::shared_ptr<PooledConnection>& pooled) {
                  if (pooled->attempt || pooled->is_connecting) return false;
                  pooled->http->Close();
                  return true;
                });
  ReportConnections(upstream, false);
}

void UpstreamPool::ReportConnections(UpstreamHandle upstream, bool lost_last) {
  const UpstreamState& state = StateOf(upstream);
  const auto used_connections = std::count_if(
      state.connections.begin(), state.connections.end(),
      [](const auto& pooled) { return pooled->http->replies_received() > 0; });
  table_.OnConnections(upstream, static_cast<std::size_t>(used_connections),
                       lost_last, Now());
}

void UpstreamPool::Finish(AttemptId attempt, Result<HttpReply> reply) {
  const auto at = calls_.find(attempt);
  Call call = std::move(at->second);
  calls_.erase(at);
  RemoveWaiting(call.upstream, attempt);
  const Duration latency = call.sent ? Now() - call.sent_at : Duration::zero();
  if (call.cancelled) return;
  call.done({.reply = std::move(reply), .sent = call.sent, .latency = latency});
}

void UpstreamPool::RemoveWaiting(UpstreamHandle upstream, AttemptId attempt) {
  UpstreamState& state = StateOf(upstream);
  const auto at =
      std::find(state.waiting.begin(), state.waiting.end(), attempt);
  if (at == state.waiting.end()) return;
  state.waiting.erase(at);
  table_.OnQueued(upstream, -1);
}

}  // namespace lacewingknot
