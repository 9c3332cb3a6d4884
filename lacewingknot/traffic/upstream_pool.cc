#include "lacewingknot/traffic/upstream_pool.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace lacewingknot {

UpstreamPool::UpstreamPool(boost::asio::io_context& io, UpstreamTable& table,
                           Options options)
    : io_(io), table_(table), options_(std::move(options)) {}

UpstreamPool::~UpstreamPool() {
  alive_.reset();
  for (auto& [upstream, lanes] : lanes_) {
    for (const auto& lane : lanes.all) lane->connection->Close();
  }
}

UpstreamPool::Lanes& UpstreamPool::LanesOf(UpstreamHandle upstream) {
  return lanes_[upstream];
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
  Lanes& lanes = LanesOf(upstream);
  table_.OnQueued(upstream, 1);
  lanes.waiting.push_back(attempt);
  boost::asio::post(io_, [this, upstream, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) Pump(upstream);
  });
}

void UpstreamPool::Pump(UpstreamHandle upstream) {
  options_.refresh();
  Lanes& lanes = LanesOf(upstream);
  while (!lanes.waiting.empty()) {
    const AttemptId attempt = lanes.waiting.front();
    Call& call = calls_.at(attempt);
    const TimePoint now = Now();
    if (now >= call.deadline) {
      Finish(attempt, Error{ErrorType::kNotSent, "deadline passed in queue"});
      continue;
    }
    const Result<void> allowed = table_.CheckSend(upstream, now);
    if (!allowed) {
      const std::int64_t limit = table_.ConnectionLimit(upstream, now);
      const bool wait = allowed.error().type == ErrorType::kLimitReached &&
                        limit > 0 &&
                        static_cast<std::int64_t>(lanes.waiting.size()) <=
                            table_.max_queue(upstream);
      if (wait) return;
      const AttemptId refused =
          limit > 0 && allowed.error().type == ErrorType::kLimitReached
              ? lanes.waiting.back()
              : attempt;
      Finish(refused, allowed.error());
      continue;
    }
    if (std::shared_ptr<Lane> lane = TakeIdleLane(upstream)) {
      RemoveWaiting(upstream, attempt);
      SendOn(lane, call);
      continue;
    }
    const bool room = static_cast<std::int64_t>(lanes.all.size()) <
                      table_.ConnectionLimit(upstream, now);
    if (!room) return;
    OpenLane(upstream, attempt);
  }
}

std::shared_ptr<UpstreamPool::Lane> UpstreamPool::TakeIdleLane(
    UpstreamHandle upstream) {
  Lanes& lanes = LanesOf(upstream);
  for (std::size_t i = 0; i < lanes.all.size();) {
    std::shared_ptr<Lane> lane = lanes.all[i];
    if (lane->attempt || lane->connecting) {
      ++i;
      continue;
    }
    if (lane->connection->IsReusable()) return lane;
    // Closed by the other end while this process was not looking.
    lane->connection->Close();
    Release(upstream, lane, true);
  }
  return nullptr;
}

void UpstreamPool::OpenLane(UpstreamHandle upstream, AttemptId attempt) {
  const auto endpoint = ParseEndpoint(table_.address(upstream));
  if (!endpoint) {
    Finish(attempt, endpoint.error());
    return;
  }
  RemoveWaiting(upstream, attempt);
  auto lane = std::make_shared<Lane>();
  lane->connecting = true;
  lane->attempt = attempt;
  lane->connection = HttpConnection::Create(
      io_, endpoint.value(),
      {.on_lost = [this, upstream, weak = std::weak_ptr(lane),
                   alive = std::weak_ptr(alive_)] {
        const auto lost = weak.lock();
        if (alive.expired() || lost == nullptr) return;
        Release(upstream, lost, true);
        Pump(upstream);
      }});
  LanesOf(upstream).all.push_back(lane);
  Call& call = calls_.at(attempt);
  call.lane = lane;
  table_.OnSent(upstream);
  lane->connection->Connect(
      [this, upstream, lane,
       alive = std::weak_ptr(alive_)](const Result<void>& connected) {
        if (!alive.expired()) OnConnected(upstream, lane, connected);
      });
}

void UpstreamPool::OnConnected(UpstreamHandle upstream,
                               const std::shared_ptr<Lane>& lane,
                               const Result<void>& connected) {
  lane->connecting = false;
  const std::optional<AttemptId> attempt = lane->attempt;
  if (attempt) table_.OnFinished(upstream);
  lane->attempt.reset();
  if (!connected) {
    Release(upstream, lane, true);
    if (attempt) {
      table_.OnFailure(upstream, ErrorType::kConnectFailed, {}, Now());
      calls_.at(*attempt).lane.reset();
      Finish(*attempt, connected.error());
    }
    Pump(upstream);
    return;
  }
  if (!attempt) {
    Pump(upstream);
    return;
  }
  Call& call = calls_.at(*attempt);
  call.lane.reset();
  options_.refresh();
  const Result<void> allowed = table_.CheckSend(upstream, Now());
  if (allowed && Now() < call.deadline) {
    SendOn(lane, call);
    return;
  }
  Finish(*attempt, allowed ? Error{ErrorType::kNotSent, "connected too late"}
                           : allowed.error());
  Pump(upstream);
}

void UpstreamPool::SendOn(const std::shared_ptr<Lane>& lane, Call& call) {
  const TimePoint now = Now();
  lane->attempt = call.attempt;
  call.lane = lane;
  call.sent = true;
  call.sent_at = now;
  table_.OnSent(call.upstream);
  const HttpCall http_call = call.make_call(call.deadline - now);
  lane->connection->Exchange(
      http_call, [this, upstream = call.upstream, lane, attempt = call.attempt,
                  alive = std::weak_ptr(alive_)](Result<HttpReply> reply) {
        if (!alive.expired()) {
          OnReply(upstream, lane, attempt, std::move(reply));
        }
      });
}

void UpstreamPool::OnReply(UpstreamHandle upstream,
                           const std::shared_ptr<Lane>& lane, AttemptId attempt,
                           Result<HttpReply> reply) {
  const bool live = lane->attempt == attempt;
  if (!live) return;  // Cancelled or timed out, and accounted for there.
  table_.OnFinished(upstream);
  lane->attempt.reset();
  const bool lost = !reply && reply.error().type != ErrorType::kCancelled;
  if (!lane->connection->is_open()) Release(upstream, lane, lost);
  ReportConnections(upstream, false);
  const auto at = calls_.find(attempt);
  if (at != calls_.end()) {
    Call& call = at->second;
    call.lane.reset();
    if (!reply) {
      call.sent = reply.error().type != ErrorType::kNotSent;
      table_.OnFailure(upstream, reply.error().type, {}, Now());
    }
    Finish(attempt, std::move(reply));
  }
  Pump(upstream);
}

void UpstreamPool::OnTimeout(AttemptId attempt) {
  const auto at = calls_.find(attempt);
  if (at == calls_.end()) return;
  const Call call = std::move(at->second);
  calls_.erase(at);
  RemoveWaiting(call.upstream, attempt);
  const bool connecting = call.lane != nullptr && call.lane->connecting;
  ErrorType type = ErrorType::kNotSent;
  if (call.sent) type = ErrorType::kTimeout;
  if (connecting) type = ErrorType::kConnectFailed;
  table_.OnFailure(call.upstream, type, {}, Now());
  if (call.lane != nullptr) CloseLane(call.upstream, call.lane);
  if (call.sent) CloseIdleLanes(call.upstream);
  if (!call.cancelled) {
    call.done({.reply = Error{type, "no answer in time"}, .sent = call.sent});
  }
  Pump(call.upstream);
}

void UpstreamPool::CloseLane(UpstreamHandle upstream,
                             const std::shared_ptr<Lane>& lane) {
  lane->attempt.reset();
  table_.OnFinished(upstream);
  lane->connection->Close();
  Release(upstream, lane, false);
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
  if (call.lane != nullptr) {
    // The connection being made is kept for the next call.
    call.lane->attempt.reset();
    table_.OnFinished(call.upstream);
  }
  calls_.erase(at);
}

void UpstreamPool::Abandon(AttemptId attempt) {
  const auto at = calls_.find(attempt);
  if (at != calls_.end() && !at->second.sent) Cancel(attempt);
}

void UpstreamPool::Release(UpstreamHandle upstream,
                           const std::shared_ptr<Lane>& lane, bool lost) {
  Lanes& lanes = LanesOf(upstream);
  std::erase(lanes.all, lane);
  ReportConnections(upstream, lost && lanes.all.empty());
}

void UpstreamPool::CloseIdleLanes(UpstreamHandle upstream) {
  std::erase_if(LanesOf(upstream).all, [](const std::shared_ptr<Lane>& lane) {
    if (lane->attempt || lane->connecting) return false;
    lane->connection->Close();
    return true;
  });
  ReportConnections(upstream, false);
}

void UpstreamPool::ReportConnections(UpstreamHandle upstream, bool lost_last) {
  const Lanes& lanes = LanesOf(upstream);
  const auto proved = std::count_if(
      lanes.all.begin(), lanes.all.end(),
      [](const auto& lane) { return lane->connection->replies() > 0; });
  table_.OnConnections(upstream, static_cast<std::size_t>(proved), lost_last,
                       Now());
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
  Lanes& lanes = LanesOf(upstream);
  const auto at =
      std::find(lanes.waiting.begin(), lanes.waiting.end(), attempt);
  if (at == lanes.waiting.end()) return;
  lanes.waiting.erase(at);
  table_.OnQueued(upstream, -1);
}

}  // namespace lacewingknot
