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

std::vector<std::string_view> HttpReply::header_values(
    std::string_view name) const {
  const auto [first, last] = headers.equal_range(ToBoost(name));
  std::vector<std::string_view> values;
  for (auto field = first; field != last; ++field) {
    values.emplace_back(field->value().data(), field->value().size());
  }
  return values;
}

Result<asio::ip::tcp::endpoint> ParseEndpoint(std::string_view address) {
  const auto colon = address.rfind(':');
  const Error malformed{ErrorType::kInvalidSettings,
                        "not IP:PORT: " + std::string(address)};
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

void HttpConnection::Connect(ConnectCallback on_connected) {
  socket_.async_connect(
      endpoint_, [self = shared_from_this(),
                  on_connected = std::move(on_connected)](error_code error) {
        if (error) {
          self->Close();
          on_connected(Error{ErrorType::kConnectFailed, error.message()});
          return;
        }
        self->socket_.set_option(asio::ip::tcp::no_delay(true), error);
        on_connected(Ok());
      });
}

void HttpConnection::Exchange(const HttpCall& call, ReplyCallback on_reply) {
  constexpr int kHttp11 = 11;
  on_reply_ = std::move(on_reply);
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
          self->ReadReply();
        } else if (written == 0 && !self->closed_locally_) {
          self->FinishExchange(Error{ErrorType::kNotSent, error.message()});
        } else {
          self->FinishExchange(self->ToExchangeError(error));
        }
      });
}

void HttpConnection::ReadReply() {
  parser_.emplace();
  parser_->body_limit(kMaxReplyBytes);
  http::async_read(socket_, buffer_, *parser_,
                   [self = shared_from_this()](error_code error, std::size_t) {
                     self->OnReply(error);
                   });
}

Error HttpConnection::ToExchangeError(error_code error) const {
  if (closed_locally_) return {ErrorType::kCancelled, "closed locally"};
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
    const Error failure = ToExchangeError(error);
    Close();
    FinishExchange(failure);
    return;
  }
  ++replies_;
  auto message = parser_->release();
  HttpReply reply;
  reply.status = static_cast<int>(message.result_int());
  reply.body = std::move(message.body());
  const bool is_keep_alive = message.keep_alive();
  reply.headers = std::move(message.base());
  if (!is_keep_alive || buffer_.size() > 0) {
    Close();
  } else {
    WatchWhileIdle();
  }
  FinishExchange(std::move(reply));
}

void HttpConnection::FinishExchange(Result<HttpReply> result) {
  if (!on_reply_) return;
  ReplyCallback on_reply = std::move(on_reply_);
  on_reply_ = nullptr;
  on_reply(std::move(result));
}

void HttpConnection::WatchWhileIdle() {
  socket_.async_wait(
      asio::ip::tcp::socket::wait_read,
      [self = shared_from_this(), replies = replies_](error_code error) {
        // WatchWhileIdle runs again after each exchange, so this wait has no
        // effect once another exchange has begun.
        if (error || self->on_reply_ || replies != self->replies_) return;
        if (!self->socket_.is_open()) return;
        if (self->IsReusable()) {
          self->WatchWhileIdle();
          return;
        }
        self->Close();
        if (self->options_.on_closed_while_idle) {
          self->options_.on_closed_while_idle();
        }
      });
}

void HttpConnection::Close() {
  closed_locally_ = true;
  error_code ignored;
  socket_.close(ignored);
}

bool HttpConnection::IsReusable() {
  if (!socket_.is_open() || on_reply_) return false;
  char byte = 0;
  const auto received =
      recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  // The connection is reusable only if there is nothing to read. End of stream,
  // a reset and unexpected bytes all make it unusable.
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace lacewingknot
