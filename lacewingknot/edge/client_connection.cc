#include "lacewingknot/edge/client_connection.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>
#include <cstdio>
#include <utility>

#include "lacewingknot/base/event_log.h"

namespace lacewingknot::edge {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

// The client's latency includes another round trip if it has just opened the
// connection.
constexpr Duration kRoundTripWithConnect = 2 * kClientRoundTrip;

// Returns the bytes in the socket's send queue that the peer has not received.
int QueuedBytes(asio::ip::tcp::socket& socket) {
  int bytes = 0;
  // On failure the queue counts as unchanged.
  (void)ioctl(socket.native_handle(), SIOCOUTQ, &bytes);
  return bytes;
}

// A request waits this part of its objective, within bounds, for a token of its
// team's quota. The shortest wait lasts for an answer from another data centre.
constexpr int kQuotaPatienceDivisor = 5;
constexpr Duration kMinQuotaPatience = std::chrono::milliseconds(25);
constexpr Duration kMaxQuotaPatience = std::chrono::milliseconds(150);
// While no keeper answers, a request waits kMaxQuotaPatience, but at most this
// part of its timeout: the next keeper answers after some 80 ms, and a late
// answer is worth more than a refusal.
constexpr int kQuotaAnswerDivisor = 4;

std::string RetryAfterHeader(Duration after) {
  std::array<char, 48> text{};
  const int size =
      std::snprintf(text.data(), text.size(), "Retry-After: %.3f\r\n",
                    std::chrono::duration<double>(after).count());
  return {text.data(), static_cast<std::size_t>(size)};
}

bool IsBodilessStatus(int status) {
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return status == kNoContent || status == kNotModified;
}

std::string Serialize(const ClientAnswer& answer, bool head_only, bool close) {
  std::string text;
  text.reserve(answer.headers.size() + answer.body.size() + 128);
  text += "HTTP/1.1 ";
  text += std::to_string(answer.status);
  text += ' ';
  if (!answer.reason.empty()) {
    text += answer.reason;
  } else {
    const auto reason =
        http::obsolete_reason(static_cast<http::status>(answer.status));
    text.append(reason.data(), reason.size());
  }
  text += "\r\n";
  text += answer.headers;
  if (answer.retry_after) text += RetryAfterHeader(*answer.retry_after);
  if (!IsBodilessStatus(answer.status)) {
    text += "Content-Length: ";
    text += std::to_string(answer.body.size());
    text += "\r\n";
  }
  if (close) text += "Connection: close\r\n";
  text += "\r\n";
  if (!head_only && !IsBodilessStatus(answer.status)) text += answer.body;
  return text;
}

}  // namespace

ClientConnection::ClientConnection(asio::ip::tcp::socket socket,
                                   Options options)
    : socket_(std::move(socket)), options_(std::move(options)) {}

ClientLimits ClientConnection::limits() const {
  const auto routes = options_.core->routes();
  return routes ? routes->table->client_limits() : ClientLimits{};
}

void ClientConnection::Start() {
  boost::system::error_code ignored;  // The connection works without no_delay.
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  AwaitClient();
  Read();
}

void ClientConnection::BeginRequest() {
  const ClientLimits client_limits = limits();
  reader_.emplace(options_.core->names());
  reader_->eager(true);
  reader_->header_limit(static_cast<std::uint32_t>(client_limits.header_bytes));
  reader_->body_limit(client_limits.body_bytes);
  is_header_handled_ = false;
  AwaitClient();
}

Duration ClientConnection::AwaitLimit() const {
  const ClientLimits client_limits = limits();
  const bool reads_request = reader_ && unwritten_.empty();
  return reads_request ? client_limits.header_timeout
                       : client_limits.idle_timeout;
}

void ClientConnection::AwaitClient() {
  awaiting_since_ = BootClock::now();
  ArmTimer(AwaitLimit());
}

void ClientConnection::ArmTimer(Duration after) {
  options_.core->timers().Cancel(timer_);
  const auto run = [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self) self->OnTimeout();
  };
  timer_ = options_.core->timers().At(BootClock::now() + after, run);
}

void ClientConnection::OnTimeout() {
  if (is_closed_) return;
  if (is_lingering_) {
    Close();
    return;
  }
  if (has_request_ && unwritten_.empty()) return;
  const Duration waited = BootClock::now() - awaiting_since_;
  if (waited < AwaitLimit()) {  // The limit was raised meanwhile.
    ArmTimer(AwaitLimit() - waited);
    return;
  }
  if (!unwritten_.empty()) {
    // The socket takes more bytes only once much of its queue has been read.
    if (QueuedBytes(socket_) < queued_bytes_) {
      AwaitProgress();
    } else {
      CloseUnread("client_not_reading");
    }
    return;
  }
  if (reader_) {
    // A request that was not read completely has not run.
    Reject(kStatusRequestTimeout, "request_not_read_in_time");
    return;
  }
  Close();
}

void ClientConnection::Read() {
  if (is_reading_ || is_closed_) return;
  is_reading_ = true;
  socket_.async_read_some(
      asio::buffer(chunk_),
      [self = shared_from_this()](boost::system::error_code error,
                                  std::size_t bytes) {
        self->is_reading_ = false;
        self->OnRead(error, bytes);
      });
}

void ClientConnection::OnRead(boost::system::error_code error,
                              std::size_t bytes) {
  if (is_closed_) return;
  if (error) {
    Close();
    return;
  }
  if (is_lingering_) {
    Read();
    return;
  }
  buffer_.append(chunk_.data(), bytes);
  if (!has_request_) Parse();
  if (!has_request_ || buffer_.size() < kMaxPipelinedBytes) Read();
}

void ClientConnection::Parse() {
  while (!has_request_ && !is_closed_ && !buffer_.empty()) {
    if (!reader_) BeginRequest();
    boost::system::error_code error;
    const std::size_t used = reader_->put(asio::buffer(buffer_), error);
    buffer_.erase(0, used);
    if (error == http::error::need_more) {
      error = {};
      if (!reader_->is_header_done() &&
          buffer_.size() > limits().header_bytes) {
        error = http::error::header_limit;
      }
      if (!error) return;
    }
    if (error) {
      OnParseError(error);
      return;
    }
    if (reader_->is_header_done() && !is_header_handled_) OnHeader();
    if (!reader_->is_done()) return;
    OnRequest();
  }
}

void ClientConnection::OnHeader() {
  is_header_handled_ = true;
  if (reader_->is_done() || !reader_->request().expects_continue) return;
  // A failure is ignored: the client sends its body anyway.
  boost::system::error_code ignored;
  const std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
  socket_.write_some(
      asio::buffer(continue_response.data(), continue_response.size()),
      ignored);
}

void ClientConnection::OnParseError(boost::system::error_code error) {
  if (error == http::error::header_limit) {
    Reject(kStatusHeadersTooLarge, "headers_too_large");
  } else if (error == http::error::body_limit) {
    Reject(kStatusBodyTooLarge, "body_too_large");
  } else if (error == UnknownCodingError()) {
    Reject(kStatusNotImplemented, "unknown_transfer_coding");
  } else if (IsFramingError(error)) {
    Reject(kStatusBadRequest, "body_end_unknown");
  } else {
    Reject(kStatusBadRequest, "malformed_request");
  }
}

void ClientConnection::Reject(int status, std::string_view cause) {
  const auto routes = options_.core->routes();
  LogEvent(Event::kRequestRejected,
           {{"id", reader_->request().request_id},
            {"status", status},
            {"cause", cause},
            {"config", routes ? routes->table->version() : std::uint64_t{0}}});
  options_.core->metrics().OnRequest("none", "rejected", Duration::zero());
  options_.core->metrics().OnRejection(cause);
  has_request_ = true;
  keep_alive_ = false;
  OnAnswer({.status = status});
}

void ClientConnection::OnRequest() {
  options_.core->timers().Cancel(timer_);
  has_request_ = true;
  ++request_count_;
  ClientRequest request = std::move(reader_->request());
  keep_alive_ = request.keep_alive;
  is_head_request_ = request.method == "HEAD";
  const auto routes = options_.core->routes();
  const AccessDecision decision =
      DecideAccess(*options_.core, routes.get(), request.host, request.target,
                   request.credentials, BootClock::now());
  if (decision.is_refused()) {
    Refuse(request, routes.get(), decision);
    return;
  }
  if (routes->table->teams().empty()) {
    RestoreWithheldHeaders(request);
  } else {
    EraseWithheldHeaders(request);
  }
  request_read_at_ = BootClock::now();
  AwaitQuota(std::move(request), routes, *decision.route, decision.team);
}

void ClientConnection::AwaitQuota(ClientRequest request,
                                  std::shared_ptr<const BoundTable> routes,
                                  const BoundRoute& route,
                                  const TeamTable::Match& team) {
  if (!NeedsQuotaToken(*options_.core, team.team)) {
    StartRequest(std::move(request), std::move(routes), route, team, false);
    return;
  }
  const Duration patience =
      std::clamp<Duration>(route.spec->target_latency / kQuotaPatienceDivisor,
                           kMinQuotaPatience, kMaxQuotaPatience);
  const Duration answer_patience = std::max(
      patience,
      std::min(kMaxQuotaPatience, route.spec->timeout / kQuotaAnswerDivisor));
  const std::string name = team.team->name;
  // The table that owns the route and the team outlives the wait.
  auto waiting = std::make_shared<ClientRequest>(std::move(request));
  const auto on_decision = [weak = weak_from_this(), waiting, routes, &route,
                            team](const TeamQuotas::Decision& decision) {
    const auto self = weak.lock();
    if (!self || self->is_closed_) return;
    self->quota_wait_.reset();
    if (decision.is_allowed) {
      self->StartRequest(std::move(*waiting), routes, route, team, true);
      return;
    }
    LogEvent(Event::kRequestRejected, {{"id", waiting->request_id},
                                       {"status", kStatusTooManyRequests},
                                       {"cause", kCauseOverQuota},
                                       {"team", team.team->name},
                                       {"config", routes->table->version()}});
    self->options_.core->metrics().OnTeamRequest(team.team->name, "over_quota");
    self->OnAnswer({.status = kStatusTooManyRequests,
                    .retry_after = decision.retry_after});
  };
  const auto ticket = options_.core->team_quotas()->Acquire(
      name, request_read_at_ + answer_patience, on_decision,
      request_read_at_ + patience);
  if (ticket) quota_wait_.emplace(name, *ticket);
}

void ClientConnection::Refuse(const ClientRequest& request,
                              const BoundTable* routes,
                              const AccessDecision& decision) {
  ClientAnswer answer{.status = decision.status,
                      .retry_after = decision.retry_after};
  if (decision.status == kStatusUnauthorized) {
    LogEvent(Event::kRequestUnauthorized,
             {{"id", request.request_id},
              {"route", decision.route->spec->name},
              {"cause", decision.cause},
              {"config", routes->table->version()}});
    options_.core->metrics().OnUnauthorized(decision.cause);
    answer.headers = kChallengeHeader;
  } else {
    LogEvent(Event::kRequestRejected,
             {{"id", request.request_id},
              {"status", decision.status},
              {"cause", decision.cause},
              {"config", routes == nullptr ? std::uint64_t{0}
                                           : routes->table->version()}});
  }
  OnAnswer(answer);
}

void ClientConnection::StartRequest(ClientRequest request,
                                    std::shared_ptr<const BoundTable> routes,
                                    const BoundRoute& route,
                                    const TeamTable::Match& team,
                                    bool has_quota_token) {
  const auto answer = [weak = weak_from_this()](const ClientAnswer& given) {
    if (const auto self = weak.lock()) self->OnAnswer(given);
  };
  const Duration round_trip =
      request_count_ == 1 ? kRoundTripWithConnect : kClientRoundTrip;
  auto session = StartSession({.core = options_.core,
                               .routes = std::move(routes),
                               .route = &route,
                               .request = std::move(request),
                               .team = team,
                               .has_quota_token = has_quota_token,
                               .started_at = request_read_at_,
                               .client_round_trip = round_trip,
                               .answer = answer});
  // The session may have answered already.
  if (has_request_ && !is_closed_) session_ = std::move(session);
}

void ClientConnection::OnAnswer(const ClientAnswer& answer) {
  if (is_closed_) return;
  session_ = nullptr;
  if (options_.is_draining()) keep_alive_ = false;
  Write(Serialize(answer, is_head_request_, !keep_alive_));
}

void ClientConnection::Write(std::string bytes) {
  boost::system::error_code error;
  const std::size_t written = socket_.write_some(asio::buffer(bytes), error);
  if (error && error != asio::error::would_block) {
    Close();
    return;
  }
  if (written == bytes.size()) {
    OnWritten();
    return;
  }
  held_ = AnswerBudget::Reservation(options_.core->unread_budget());
  if (!held_.TryGrow(bytes.size() - written)) {
    CloseUnread("client_unread_budget");
    return;
  }
  unwritten_ = bytes.substr(written);
  unwritten_begin_ = 0;
  AwaitProgress();
  WriteUnwritten();
}

void ClientConnection::AwaitProgress() {
  queued_bytes_ = QueuedBytes(socket_);
  AwaitClient();
}

void ClientConnection::WriteUnwritten() {
  socket_.async_write_some(
      asio::buffer(unwritten_) + unwritten_begin_,
      [self = shared_from_this()](boost::system::error_code error,
                                  std::size_t written) {
        if (self->is_closed_) return;
        if (error) {
          self->Close();
          return;
        }
        self->unwritten_begin_ += written;
        if (self->unwritten_begin_ < self->unwritten_.size()) {
          self->AwaitProgress();
          self->WriteUnwritten();
          return;
        }
        self->unwritten_ = {};
        self->held_ = {};
        self->OnWritten();
      });
}

void ClientConnection::CloseUnread(std::string_view cause) {
  LogEvent(Event::kAnswerDropped,
           {{"from", "client"},
            {"cause", cause},
            {"bytes", unwritten_.size() - unwritten_begin_},
            {"held_bytes", options_.core->unread_budget()->held_bytes()}});
  options_.core->metrics().OnAnswerDropped(cause);
  // The kernel would keep the bytes in its buffer after a close.
  boost::system::error_code ignored;  // The socket is closed either way.
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  Close();
}

void ClientConnection::OnWritten() {
  if (is_closed_) return;
  if (!keep_alive_) {
    Linger();
    return;
  }
  has_request_ = false;
  reader_.reset();
  AwaitClient();
  if (buffer_.empty()) return;
  // Posted, because the answer may have been given inside Parse().
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    if (self->is_closed_ || self->has_request_) return;
    self->Parse();
    self->Read();
  });
}

void ClientConnection::Linger() {
  is_lingering_ = true;
  buffer_.clear();
  // A failure is ignored: the client may have disconnected already.
  boost::system::error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  ArmTimer(kLingerTimeout);
  Read();
}

bool ClientConnection::CloseIfIdle() {
  if (!is_idle()) return false;
  if (!is_lingering_ && reader_) return false;
  Close();
  return true;
}

void ClientConnection::ExpireRequest() {
  // The answer ends the session.
  if (const auto session = session_) session->Expire();
}

void ClientConnection::OnKeysWithdrawn() {
  if (const auto session = session_) session->OnKeysWithdrawn();
}

void ClientConnection::Close() {
  if (is_closed_) return;
  is_closed_ = true;
  held_ = {};
  options_.core->timers().Cancel(timer_);
  boost::system::error_code ignored;  // A failed close cannot be handled.
  socket_.close(ignored);
  if (quota_wait_) {
    options_.core->team_quotas()->Abandon(quota_wait_->first,
                                          quota_wait_->second);
    quota_wait_.reset();
  }
  if (session_) std::exchange(session_, nullptr)->Cancel();
  if (options_.on_closed) options_.on_closed(this);
}

}  // namespace lacewingknot::edge
