#include "lacewingknot/edge/relay_link.h"

#include <utility>

#include "lacewingknot/base/event_log.h"
#include "lacewingknot/net/http_connection.h"

namespace lacewingknot::edge {

namespace asio = boost::asio;

namespace {

// Makes `result` a lost attempt, because its answer was dropped.
void MarkDropped(RelayResult& result) {
  if (result.end != AttemptEnd::kAnswered) return;
  result.end = AttemptEnd::kLost;
  result.cause = kCauseAnswerBudget;
  result.signature.clear();
  result.records = {};
}

}  // namespace

void RelayLink::Open() {
  if (is_closed_) return;
  const auto endpoint = ParseEndpoint(options_.address);
  // The address comes from a peer and may be malformed.
  if (!endpoint) return;
  const auto socket = std::make_shared<asio::ip::tcp::socket>(*options_.io);
  socket->async_connect(endpoint.value(), [self = shared_from_this(), socket](
                                              boost::system::error_code error) {
    if (self->is_closed_) return;
    if (error) {
      self->ScheduleReconnect();
    } else {
      self->OnConnected(std::move(*socket));
    }
  });
  options_.timers->At(BootClock::now() + kConnectTimeout,
                      [self = shared_from_this(), socket] {
                        boost::system::error_code ignored;
                        // No effect after a connect: the socket was moved from.
                        socket->close(ignored);
                      });
}

void RelayLink::OnConnected(asio::ip::tcp::socket socket) {
  is_relay_stopping_ = false;
  unacknowledged_since_.reset();
  RelayChannel::Options channel = MakeWeakCallbacks(
      weak_from_this(), &RelayLink::OnMessage, &RelayLink::OnConnectionLost);
  channel.budget = options_.answer_budget;
  channel_ =
      std::make_shared<RelayChannel>(std::move(socket), std::move(channel));
  channel_->Start();
  LogEvent(Event::kRelayConnected, {{"relay", options_.address}});
}

void RelayLink::Close() {
  is_closed_ = true;
  if (channel_) std::exchange(channel_, nullptr)->Close();
  FailPendingAttempts();
}

bool RelayLink::is_usable(TimePoint now) const {
  if (!channel_ || is_relay_stopping_) return false;
  return !unacknowledged_since_ ||
         now - *unacknowledged_since_ < kUnresponsiveAfter;
}

std::uint64_t RelayLink::AddAttempt(AttemptPtr attempt) {
  const std::uint64_t number = next_attempt_number_++;
  pending_attempts_.emplace(number, std::move(attempt));
  return number;
}

void RelayLink::SendRequest(RelayAttemptRequest request, TimePoint now) {
  if (!channel_) {
    // The connection was lost after this relay was chosen.
    asio::post(*options_.io,
               [self = shared_from_this(),
                attempts = std::move(request.attempts)]() mutable {
                 for (const RelayAttempt& unsent : attempts) {
                   RelayResult result{.number = unsent.number,
                                      .end = AttemptEnd::kNotSent,
                                      .cause = std::string(kCauseRelayLost)};
                   self->FinishAttempt(result);
                 }
               });
    return;
  }
  for (const RelayAttempt& delegated : request.attempts) {
    const auto found = pending_attempts_.find(delegated.number);
    if (found == pending_attempts_.end()) continue;
    found->second->sent = true;
    found->second->request->was_sent = true;
    found->second->sent_at = now;
  }
  channel_->Send(request);
  if (!unacknowledged_since_) unacknowledged_since_ = now;
  ScheduleSilenceCheck();
}

void RelayLink::ScheduleSilenceCheck() {
  if (has_pending_silence_check_ || !unacknowledged_since_) return;
  has_pending_silence_check_ = true;
  options_.timers->At(*unacknowledged_since_ + kDisconnectAfter,
                      [self = shared_from_this()] {
                        self->has_pending_silence_check_ = false;
                        if (!self->channel_ || !self->unacknowledged_since_) {
                          return;
                        }
                        if (BootClock::now() - *self->unacknowledged_since_ <
                            kDisconnectAfter) {
                          self->ScheduleSilenceCheck();
                          return;
                        }
                        self->channel_->Close();
                        self->OnConnectionLost("silent");
                      });
}

void RelayLink::AbandonAttempt(std::uint64_t number) {
  const auto found = pending_attempts_.find(number);
  if (found == pending_attempts_.end()) return;
  found->second->abandoned = true;
  found->second->on_done = nullptr;
  pending_attempts_.erase(found);
}

void RelayLink::SetBatchCallback(std::uint64_t query, BatchCallback on_batch) {
  batch_callbacks_.insert_or_assign(query, std::move(on_batch));
}

void RelayLink::AbandonQuery(std::uint64_t query, bool cancel_at_relay) {
  batch_callbacks_.erase(query);
  if (cancel_at_relay && channel_) channel_->Send(RelayAbandon{.query = query});
}

void RelayLink::OnMessage(RelayMessage message) {
  unacknowledged_since_.reset();
  if (auto* results = std::get_if<RelayResults>(&message)) {
    OnResults(std::move(*results));
  } else if (std::holds_alternative<RelayStopNotice>(message)) {
    is_relay_stopping_ = true;
    LogEvent(Event::kRelayLost,
             {{"relay", options_.address}, {"reason", "relay is stopping"}});
  }
}

void RelayLink::OnResults(RelayResults message) {
  // Before the attempts end and others are started.
  if (!message.statements.empty() && options_.on_statements) {
    options_.on_statements(message.statements, options_.address);
  }
  const auto found = batch_callbacks_.find(message.query);
  if (found == batch_callbacks_.end() || message.results.empty()) return;
  std::optional<AnswerBudget::Reservation> held = Hold(message.records.size());
  if (!held) {
    // The records of a batch cannot be told apart.
    message.records = {};
    for (RelayResult& result : message.results) {
      if (result.records.empty()) MarkDropped(result);
    }
    held.emplace();
  }
  // Copied, because the callback may call AbandonQuery() and erase itself.
  const BatchCallback on_batch = found->second;
  on_batch(std::move(message.records), *std::move(held), [&] {
    for (RelayResult& result : message.results) FinishAttempt(result);
  });
}

std::optional<AnswerBudget::Reservation> RelayLink::Hold(std::size_t bytes) {
  AnswerBudget::Reservation held(options_.answer_budget);
  if (held.TryGrow(bytes)) return held;
  if (options_.on_answer_dropped) {
    options_.on_answer_dropped(options_.address, kCauseAnswerBudget, bytes);
  }
  return std::nullopt;
}

void RelayLink::FinishAttempt(RelayResult& result) {
  const auto found = pending_attempts_.find(result.number);
  if (found == pending_attempts_.end()) return;
  auto held = Hold(result.records.size());
  if (!held) MarkDropped(result);
  const AttemptPtr attempt = found->second;
  pending_attempts_.erase(found);
  attempt->upstream = std::move(result.upstream);
  attempt->Finish(
      {.end = result.end,
       .reply = {.status = result.status,
                 .request_id = attempt->request->request_id,
                 .signature = std::move(result.signature),
                 .body = std::move(result.records),
                 .held = held ? *std::move(held) : AnswerBudget::Reservation()},
       .cause = InternCause(result.cause)});
}

void RelayLink::OnConnectionLost(std::string_view cause) {
  channel_ = nullptr;
  unacknowledged_since_.reset();
  if (cause == kCauseAnswerBudget && options_.on_answer_dropped) {
    options_.on_answer_dropped(options_.address, cause, 0);
  }
  LogEvent(Event::kRelayLost, {{"relay", options_.address},
                               {"reason", cause},
                               {"attempts", pending_attempts_.size()}});
  FailPendingAttempts();
  ScheduleReconnect();
}

void RelayLink::FailPendingAttempts() {
  const auto lost = std::exchange(pending_attempts_, {});
  for (const auto& [number, attempt] : lost) {
    attempt->Finish({.end = AttemptEnd::kLost, .cause = kCauseRelayLost});
  }
}

void RelayLink::ScheduleReconnect() {
  options_.timers->At(BootClock::now() + kReconnectAfter,
                      [self = shared_from_this()] { self->Open(); });
}

}  // namespace lacewingknot::edge
