#include "lacewingknot/net/http_connection.h"

#include <sys/socket.h>

#include <charconv>

namespace lacewingknot {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

boost::string_view ToBoost(std::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

std::string_view HttpReply::header(std::string_view name) const {
  const auto value = headers[ToBoost(name)];
  return {value.data(), value.size()};
}

Result<asio::ip::tcp::endpoint> ParseEndpoint(std::string_view address) {
  const auto colon = address.rfind(':');
  const Error malformed{ErrorType::kInvalidSettings, std::string(address)};
  if (colon == std::string_view::npos) return malformed;
  error_code error;
  const auto ip =
      asio::ip::make_address(std::string(address.substr(0, colon)), error);
  if (error) return malformed;
  const std::string_view digits = address.substr(colon + 1);
  std::uint16_t port = 0;
  const auto parsed =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size()) {
    return malformed;
  }
  return asio::ip::tcp::endpoint(ip, port);
}

std::shared_ptr<HttpConnection> HttpConnection::Create(
    asio::io_context& io, asio::ip::tcp::endpoint endpoint, Options options) {
  return std::shared_ptr<HttpConnection>(
      new HttpConnection(io, std::move(endpoint), std::move(options)));
}

HttpConnection::HttpConnection(asio::io_context& io,
                               asio::ip::tcp::endpoint endpoint,
                               Options options)
    : socket_(io),
      endpoint_(std::move(endpoint)),
      options_(std::move(options)) {}

void HttpConnection::Connect(ConnectCallback done) {
  socket_.async_connect(endpoint_, [self = shared_from_this(),
                                    done = std::move(done)](error_code error) {
    if (error) {
      self->Close();
      done(Error{ErrorType::kConnectFailed, error.message()});
      return;
    }
    self->socket_.set_option(asio::ip::tcp::no_delay(true), error);
    done(Ok());
  });
}

void HttpConnection::Exchange(const HttpCall& call, ReplyCallback done) {
  constexpr int kHttp11 = 11;
  done_ = std::move(done);
  request_.emplace(http::string_to_verb(ToBoost(call.method)),
                   ToBoost(call.target), kHttp11);
  request_->set(http::field::host, endpoint_.address().to_string());
  for (const auto& [name, value] : call.headers) {
    request_->set(ToBoost(name), ToBoost(value));
  }
  request_->body() = call.body;
  request_->prepare_payload();
  http::async_write(
      socket_, *request_,
      [self = shared_from_this()](error_code error, std::size_t written) {
        if (!error) {
          self->Read();
        } else if (written == 0 && !self->closed_here_) {
          self->Finish(Error{ErrorType::kNotSent, error.message()});
        } else {
          self->Finish(self->FailureOf(error));
        }
      });
}

void HttpConnection::Read() {
  parser_.emplace();
  parser_->body_limit(kMaxReplyBytes);
  http::async_read(socket_, buffer_, *parser_,
                   [self = shared_from_this()](error_code error, std::size_t) {
                     self->OnReply(error);
                   });
}

Error HttpConnection::FailureOf(error_code error) const {
  if (closed_here_) return {ErrorType::kCancelled, "closed here"};
  const bool malformed =
      error.category() ==
          http::make_error_code(http::error::bad_version).category() &&
      error != http::error::end_of_stream &&
      error != http::error::partial_message;
  return {malformed ? ErrorType::kMalformedAnswer : ErrorType::kConnectionLost,
          error.message()};
}

void HttpConnection::OnReply(error_code error) {
  if (error) {
    const Error failure = FailureOf(error);
    Close();
    Finish(failure);
    return;
  }
  ++replies_;
  auto message = parser_->release();
  HttpReply reply;
  reply.status = static_cast<int>(message.result_int());
  reply.body = std::move(message.body());
  const bool keep = message.keep_alive();
  reply.headers = std::move(message.base());
  if (!keep || buffer_.size() > 0) {
    Close();
  } else {
    WatchIdle();
  }
  Finish(std::move(reply));
}

void HttpConnection::Finish(Result<HttpReply> result) {
  if (!done_) return;
  ReplyCallback done = std::move(done_);
  done_ = nullptr;
  done(std::move(result));
}

void HttpConnection::WatchIdle() {
  socket_.async_wait(
      asio::ip::tcp::socket::wait_read,
      [self = shared_from_this(), replies = replies_](error_code error) {
        // A later exchange has a watch of its own.
        if (error || self->done_ || replies != self->replies_) return;
        if (!self->socket_.is_open()) return;
        if (self->IsReusable()) {
          self->WatchIdle();
          return;
        }
        self->Close();
        if (self->options_.on_lost) self->options_.on_lost();
      });
}

void HttpConnection::Close() {
  closed_here_ = true;
  error_code ignored;
  socket_.close(ignored);
}

bool HttpConnection::IsReusable() {
  if (!socket_.is_open() || done_) return false;
  char byte = 0;
  const auto got =
      recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  // Nothing to read is the one good state: end of stream, a reset, or bytes
  // nobody asked for all make the connection useless.
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace lacewingknot
