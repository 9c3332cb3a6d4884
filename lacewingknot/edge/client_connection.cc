#include "lacewingknot/edge/client_connection.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>
#include <cstdio>
#include <utility>

#include "lacewingknot/base/event_log.h"

namespace lacewingknot::edge {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

// What a client's latency includes beyond our own time: 3 ms each way, and
// another exchange if it has just opened the connection
// (docs/design/platform.md).
constexpr Duration kRoundTrip = std::chrono::milliseconds(6);
constexpr Duration kRoundTripWithConnect = std::chrono::milliseconds(12);
// When a client that came before the first configuration may try again.
constexpr Duration kNotReadyRetryAfter = std::chrono::milliseconds(400);

std::string RetryAfterHeader(Duration after) {
  std::array<char, 48> text{};
  const int size =
      std::snprintf(text.data(), text.size(), "Retry-After: %.3f\r\n",
                    std::chrono::duration<double>(after).count());
  return {text.data(), static_cast<std::size_t>(size)};
}

bool HasNoBody(int status) {
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
  if (!HasNoBody(answer.status)) {
    text += "Content-Length: ";
    text += std::to_string(answer.body.size());
    text += "\r\n";
  }
  if (close) text += "Connection: close\r\n";
  text += "\r\n";
  if (!head_only && !HasNoBody(answer.status)) text += answer.body;
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
  boost::system::error_code ignored;  // The connection works without it.
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  StartReader();
  ArmTimer(limits().idle_timeout);
  Read();
}

void ClientConnection::StartReader() {
  const ClientLimits bounds = limits();
  reader_.emplace(options_.core->names());
  reader_->eager(true);
  reader_->header_limit(static_cast<std::uint32_t>(bounds.header_bytes));
  reader_->body_limit(bounds.body_bytes);
  header_seen_ = false;
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
  if (closed_) return;
  if (lingering_) {
    Close();
    return;
  }
  if (busy_) return;
  if (reader_->got_some()) {
    // A request that was not read whole has not run.
    Reject(kStatusRequestTimeout, "request_not_read_in_time");
    return;
  }
  Close();
}

void ClientConnection::Read() {
  if (reading_ || closed_) return;
  reading_ = true;
  socket_.async_read_some(
      asio::buffer(chunk_),
      [self = shared_from_this()](boost::system::error_code error,
                                  std::size_t bytes) {
        self->reading_ = false;
        self->OnRead(error, bytes);
      });
}

void ClientConnection::OnRead(boost::system::error_code error,
                              std::size_t bytes) {
  if (closed_) return;
  if (error) {
    Close();
    return;
  }
  if (lingering_) {
    Read();
    return;
  }
  buffer_.append(chunk_.data(), bytes);
  if (!busy_) Parse();
  if (!busy_ || buffer_.size() < kMaxAhead) Read();
}

void ClientConnection::Parse() {
  while (!busy_ && !closed_ && !buffer_.empty()) {
    if (!reader_->got_some()) ArmTimer(limits().header_timeout);
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
    if (reader_->is_header_done() && !header_seen_) OnHeader();
    if (!reader_->is_done()) return;
    OnRequest();
  }
}

void ClientConnection::OnHeader() {
  header_seen_ = true;
  if (reader_->is_done() || !reader_->request().expects_continue) return;
  boost::system::error_code ignored;  // The client sends its body anyway.
  const std::string_view go_on = "HTTP/1.1 100 Continue\r\n\r\n";
  socket_.write_some(asio::buffer(go_on.data(), go_on.size()), ignored);
}

void ClientConnection::OnParseError(boost::system::error_code error) {
  if (error == http::error::header_limit) {
    Reject(kStatusHeadersTooLarge, "headers_too_large");
  } else if (error == http::error::body_limit) {
    Reject(kStatusBodyTooLarge, "body_too_large");
  } else {
    Reject(kStatusBadRequest, "malformed_request");
  }
}

void ClientConnection::Reject(int status, std::string_view cause) {
  LogEvent(Event::kRequestRejected, {{"id", reader_->request().request_id},
                                     {"status", status},
                                     {"cause", cause}});
  options_.core->metrics().OnRequest("none", "rejected", Duration::zero());
  busy_ = true;
  keep_alive_ = false;
  OnAnswer({.status = status});
}

void ClientConnection::OnRequest() {
  options_.core->timers().Cancel(timer_);
  busy_ = true;
  ++requests_;
  ClientRequest request = std::move(reader_->request());
  keep_alive_ = request.keep_alive;
  head_only_ = request.method == "HEAD";
  const auto answer = [weak = weak_from_this()](const ClientAnswer& given) {
    if (const auto self = weak.lock()) self->OnAnswer(given);
  };
  const auto routes = options_.core->routes();
  if (!routes || options_.core->directory() == nullptr) {
    LogEvent(Event::kRequestRejected, {{"id", request.request_id},
                                       {"status", kStatusUnavailable},
                                       {"cause", "no_configuration_yet"}});
    OnAnswer(
        {.status = kStatusUnavailable, .retry_after = kNotReadyRetryAfter});
    return;
  }
  const BoundRoute* route = routes->Find(request.host, request.target);
  if (route == nullptr) {
    LogEvent(Event::kRequestRejected, {{"id", request.request_id},
                                       {"status", kStatusNotFound},
                                       {"cause", "no_route"},
                                       {"config", routes->table->version()}});
    OnAnswer({.status = kStatusNotFound});
    return;
  }
  const Duration round_trip =
      requests_ == 1 ? kRoundTripWithConnect : kRoundTrip;
  auto session = StartSession({.core = options_.core,
                               .routes = routes,
                               .route = route,
                               .request = std::move(request),
                               .started_at = BootClock::now(),
                               .client_round_trip = round_trip,
                               .answer = answer});
  // It may have answered already.
  if (busy_ && !closed_) session_ = std::move(session);
}

void ClientConnection::OnAnswer(const ClientAnswer& answer) {
  if (closed_) return;
  session_ = nullptr;
  if (options_.is_draining()) keep_alive_ = false;
  Write(Serialize(answer, head_only_, !keep_alive_));
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
  auto rest = std::make_shared<std::string>(bytes.substr(written));
  asio::async_write(socket_, asio::buffer(*rest),
                    [self = shared_from_this(), rest](
                        boost::system::error_code write_error, std::size_t) {
                      if (write_error) {
                        self->Close();
                      } else {
                        self->OnWritten();
                      }
                    });
}

void ClientConnection::OnWritten() {
  if (closed_) return;
  if (!keep_alive_) {
    Linger();
    return;
  }
  busy_ = false;
  StartReader();
  ArmTimer(limits().idle_timeout);
  if (buffer_.empty()) return;
  // Not from here: the answer may have been given inside Parse.
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    if (self->closed_ || self->busy_) return;
    self->Parse();
    self->Read();
  });
}

void ClientConnection::Linger() {
  lingering_ = true;
  buffer_.clear();
  boost::system::error_code ignored;  // The client may be gone already.
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  ArmTimer(kLingerTime);
  Read();
}

bool ClientConnection::CloseIfIdle() {
  if (!is_idle()) return false;
  if (!lingering_ && reader_->got_some()) return false;
  Close();
  return true;
}

void ClientConnection::Close() {
  if (closed_) return;
  closed_ = true;
  options_.core->timers().Cancel(timer_);
  boost::system::error_code ignored;  // Nothing is left to do about it.
  socket_.close(ignored);
  if (session_) std::exchange(session_, nullptr)->Cancel();
  if (options_.on_closed) options_.on_closed(this);
}

}  // namespace lacewingknot::edge
