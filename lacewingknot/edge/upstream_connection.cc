#include "lacewingknot/edge/upstream_connection.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <utility>

#include "lacewingknot/base/event_log.h"
#include "lacewingknot/edge/internal/socket_options.h"

namespace lacewingknot::edge {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

// Subtracted from the time left that is sent to the upstream, to allow for the
// transfer of its answer.
constexpr Duration kAnswerTransferMargin = std::chrono::milliseconds(4);

std::string PerAttemptHeaders(const HeaderNames& names, const std::string& id,
                              const Attempt& attempt, TimePoint now) {
  const std::int64_t left = std::max<std::int64_t>(
      ToMillis(attempt.deadline - now - kAnswerTransferMargin), 1);
  std::string text;
  text.reserve(96);
  text += names.deadline_ms;
  text += ": ";
  text += std::to_string(left);
  text += "\r\n";
  text += names.expected_upstream;
  text += ": ";
  text += id;
  text += "\r\n\r\n";
  return text;
}

// Causes of closed connections and lost exchanges.
constexpr std::string_view kClosedWhileIdle = "closed_while_idle";
constexpr std::string_view kClosedAtIdleTimeout = "idle_timeout";
constexpr std::string_view kConnectionLost = "connection_lost";
constexpr std::string_view kAnswerCut = "answer_cut";
constexpr std::string_view kWriteFailed = "write_failed";
constexpr std::string_view kConnectFailed = "connect_failed";

std::uint64_t NextConnectionNumber() {
  static std::atomic<std::uint64_t> last = 0;
  return ++last;
}

}  // namespace

bool IsBrokenOffByUpstream(std::string_view cause) {
  return cause == kClosedWhileIdle || cause == kConnectionLost ||
         cause == kAnswerCut || cause == kWriteFailed;
}

UpstreamConnection::UpstreamConnection(asio::io_context& io, Options options)
    : number_(NextConnectionNumber()),
      socket_(io),
      options_(std::move(options)) {}

void UpstreamConnection::Open() {
  boost::system::error_code error;
  socket_.open(options_.endpoint.protocol(), error);
  if (error) {
    // The process is out of file descriptors; reported like a refused
    // connection.
    asio::post(socket_.get_executor(), [self = shared_from_this(), error] {
      self->OnConnected(error);
    });
    return;
  }
  if (options_.has_keep_alive_probes) {
    internal::SetUpstreamSocketOptions(socket_);
  }
  socket_.async_connect(
      options_.endpoint,
      [self = shared_from_this()](boost::system::error_code connect_error) {
        self->OnConnected(connect_error);
      });
}

void UpstreamConnection::OnConnected(boost::system::error_code error) {
  if (state_ == State::kClosed) return;
  if (error) {
    CloseSocket();
    auto on_closed = std::move(options_.on_closed);
    if (on_closed) on_closed(false, kConnectFailed);
    return;
  }
  boost::system::error_code ignored;  // The first read reports a failure.
  socket_.non_blocking(true, ignored);
  state_ = State::kIdle;
  idle_since_ = BootClock::now();
  Read();
  if (options_.on_open) options_.on_open();
}

void UpstreamConnection::StartReader() {
  reader_.emplace(*options_.names, attempt_->keep_headers);
  reader_->eager(true);
  reader_->body_limit(kMaxAnswerBytes);
  if (attempt_->request->answer_has_no_body) reader_->skip(true);
}

bool UpstreamConnection::HasCarried(const OutboundRequest& request) const {
  return std::find(request.carried_by.begin(), request.carried_by.end(),
                   number_) != request.carried_by.end();
}

void UpstreamConnection::Send(AttemptPtr attempt, TimePoint now) {
  attempt->request->carried_by.push_back(number_);
  state_ = State::kBusy;
  attempt_ = std::move(attempt);
  attempt_->sent = true;
  attempt_->request->was_sent = true;
  attempt_->sent_at = now;
  stray_answers_ = 0;
  interim_answers_ = 0;
  held_ = AnswerBudget::Reservation(options_.answer_budget);
  StartReader();
  const OutboundRequest& request = *attempt_->request;
  const std::string attempt_headers =
      PerAttemptHeaders(*options_.names, options_.upstream_id, *attempt_, now);
  const std::array<asio::const_buffer, 3> buffers{asio::buffer(request.head),
                                                  asio::buffer(attempt_headers),
                                                  asio::buffer(request.body)};
  const std::size_t total = asio::buffer_size(buffers);
  boost::system::error_code error;
  const std::size_t written = socket_.write_some(buffers, error);
  if (error && error != asio::error::would_block) {
    EndExchange({.end = AttemptEnd::kLost, .cause = kWriteFailed}, false);
    return;
  }
  if (written == total) return;
  auto remainder = std::make_shared<std::string>(
      request.head + attempt_headers + request.body);
  remainder->erase(0, written);
  WriteRemainder(remainder);
}

void UpstreamConnection::WriteRemainder(
    const std::shared_ptr<std::string>& remainder) {
  is_writing_ = true;
  asio::async_write(socket_, asio::buffer(*remainder),
                    [self = shared_from_this(), remainder](
                        boost::system::error_code error, std::size_t) {
                      self->is_writing_ = false;
                      // The outstanding read may have ended the exchange
                      // already.
                      if (error && self->state_ == State::kBusy) {
                        self->EndExchange(
                            {.end = AttemptEnd::kLost, .cause = kWriteFailed},
                            false);
                      }
                    });
}

void UpstreamConnection::Read() {
  socket_.async_read_some(
      asio::buffer(chunk_),
      [self = shared_from_this()](boost::system::error_code error,
                                  std::size_t bytes) {
        self->OnRead(error, bytes);
      });
}

void UpstreamConnection::OnRead(boost::system::error_code error,
                                std::size_t bytes) {
  if (state_ == State::kClosed) return;
  if (error) {
    OnReadError(error);
    return;
  }
  if (state_ == State::kIdle) {
    Close("stray_bytes");
    return;
  }
  if (!held_.TryGrow(bytes)) {
    DropAnswer(kCauseAnswerBudget);
    return;
  }
  pending_.append(chunk_.data(), bytes);
  Parse();
  if (state_ == State::kBusy) {
    held_.ShrinkTo(std::min(held_.bytes(), HeldBytes()));
  }
  if (state_ != State::kClosed) Read();
}

std::size_t UpstreamConnection::HeldBytes() {
  const UpstreamReply& reply = reader_->reply();
  return pending_.size() + reply.forwarded_headers.size() + reply.body.size();
}

void UpstreamConnection::DropAnswer(std::string_view cause) {
  if (options_.on_answer_dropped) {
    options_.on_answer_dropped(options_.upstream_id, cause, HeldBytes());
  }
  EndExchange({.end = AttemptEnd::kLost, .cause = cause}, false);
}

void UpstreamConnection::Parse() {
  while (state_ == State::kBusy && !pending_.empty()) {
    boost::system::error_code error;
    const std::size_t used = reader_->put(asio::buffer(pending_), error);
    pending_.erase(0, used);
    if (error == http::error::need_more &&
        pending_.size() <= kMaxPendingBytes) {
      return;
    }
    if (error == http::error::body_limit) {
      DropAnswer(kCauseAnswerTooLarge);
      return;
    }
    if (error) {
      EndExchange({.end = AttemptEnd::kLost, .cause = "malformed_answer"},
                  false);
      return;
    }
    if (!reader_->is_done()) return;
    OnAnswer();
  }
}

void UpstreamConnection::OnReadError(boost::system::error_code error) {
  if (state_ == State::kIdle) {
    const bool was_due =
        idle_timeout_ && BootClock::now() - idle_since_ >= *idle_timeout_;
    Close(was_due ? kClosedAtIdleTimeout : kClosedWhileIdle);
    return;
  }
  // An answer without a length ends where the connection closes; after a reset
  // it is incomplete.
  if (error == asio::error::eof && reader_->is_header_done()) {
    boost::system::error_code end_error;
    reader_->put_eof(end_error);
    if (!end_error && reader_->is_done()) {
      OnAnswer();
      return;
    }
  }
  EndExchange({.end = AttemptEnd::kLost,
               .cause = reader_->got_some() ? kAnswerCut : kConnectionLost},
              false);
}

void UpstreamConnection::OnAnswer() {
  UpstreamReply& reply = reader_->reply();
  const int status_class = reply.status / 100;
  if (status_class == 1) {  // Interim answers are skipped.
    if (++interim_answers_ > kMaxInterimAnswers) {
      EndExchange({.end = AttemptEnd::kLost, .cause = "malformed_answer"},
                  false);
      return;
    }
    StartReader();
    return;
  }
  const bool is_of_another_request =
      !reply.request_id.empty() &&
      reply.request_id != attempt_->request->request_id;
  if (is_of_another_request) {
    LogEvent(Event::kLateAnswerDropped,
             {{"upstream", options_.upstream_id},
              {"answers", reply.request_id},
              {"awaited", attempt_->request->request_id},
              {"status", reply.status}});
    if (++stray_answers_ > kMaxStrayAnswers || !reply.keep_alive) {
      EndExchange(
          {.end = AttemptEnd::kLost, .cause = "answer_of_another_request"},
          false);
      return;
    }
    StartReader();
    return;
  }
  if (reply.idle_timeout) idle_timeout_ = reply.idle_timeout;
  AttemptResult result;
  const bool refused = reply.not_run || reply.status == kMisdirectedStatus;
  result.end = refused ? AttemptEnd::kRefused : AttemptEnd::kAnswered;
  // Bytes after the answer, or an answer before the whole request was written,
  // leave the connection in an unknown state.
  const bool reusable = reply.keep_alive && pending_.empty() && !is_writing_ &&
                        stray_answers_ == 0;
  result.reply = std::move(reply);
  result.reply.held = std::move(held_);
  EndExchange(std::move(result), reusable);
}

void UpstreamConnection::EndExchange(AttemptResult result, bool reusable) {
  const AttemptPtr attempt = std::exchange(attempt_, nullptr);
  // A closed connection may exist for some time; its answer must not.
  reader_.reset();
  held_ = {};
  if (reusable) {
    state_ = State::kIdle;
    idle_since_ = BootClock::now();
  } else {
    CloseSocket();
  }
  if (options_.on_exchange_end) {
    options_.on_exchange_end(attempt, std::move(result));
  }
}

void UpstreamConnection::Close(std::string_view cause) {
  if (state_ == State::kClosed) return;
  if (state_ == State::kBusy) {
    EndExchange({.end = AttemptEnd::kLost, .cause = cause}, false);
    return;
  }
  const bool opened = state_ == State::kIdle;
  CloseSocket();
  auto on_closed = std::move(options_.on_closed);
  if (on_closed) on_closed(opened, cause);
}

void UpstreamConnection::CloseSocket() {
  state_ = State::kClosed;
  pending_ = {};
  boost::system::error_code ignored;  // A failed close cannot be handled.
  socket_.close(ignored);
}

}  // namespace lacewingknot::edge
