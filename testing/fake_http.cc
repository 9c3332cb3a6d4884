#include "testing/fake_http.h"

namespace lacewingknot::testing {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

boost::string_view ToBoost(std::string_view text) {
  return {text.data(), text.size()};
}

FakeRequest ToFakeRequest(const http::request<http::string_body>& message) {
  FakeRequest request;
  request.method = message.method_string().to_string();
  const std::string target(message.target());
  const auto query_start = target.find('?');
  request.path = target.substr(0, query_start);
  std::string remaining =
      query_start == std::string::npos ? "" : target.substr(query_start + 1);
  while (!remaining.empty()) {
    const auto end = remaining.find('&');
    const std::string pair = remaining.substr(0, end);
    const auto separator = pair.find('=');
    if (separator != std::string::npos) {
      request.parameters[pair.substr(0, separator)] =
          pair.substr(separator + 1);
    }
    remaining = end == std::string::npos ? "" : remaining.substr(end + 1);
  }
  request.headers = message.base();
  request.body = message.body();
  return request;
}

}  // namespace

std::string FakeRequest::header(std::string_view name) const {
  const auto value = headers[ToBoost(name)];
  return {value.data(), value.size()};
}

FakeConnection::FakeConnection(asio::ip::tcp::socket socket)
    : socket_(std::move(socket)) {}

void FakeConnection::Serve(Handler handler, std::function<void()> on_closed) {
  handler_ = std::move(handler);
  on_closed_ = std::move(on_closed);
  Read();
}

void FakeConnection::Read() {
  request_ = {};
  http::async_read(socket_, buffer_, request_,
                   [self = shared_from_this()](error_code error, std::size_t) {
                     if (self->is_silent_) return;
                     // Close() was called after the read had completed.
                     if (!self->handler_) return;
                     if (error) {
                       self->Close();
                       return;
                     }
                     ++self->request_count_;
                     self->WatchForPeerClose();
                     self->handler_(ToFakeRequest(self->request_), self);
                   });
}

void FakeConnection::WatchForPeerClose() {
  socket_.async_wait(
      asio::ip::tcp::socket::wait_read,
      [self = shared_from_this(), number = request_count_](error_code error) {
        if (error || number != self->request_count_) return;
        if (self->on_peer_closed_) self->on_peer_closed_();
      });
}

void FakeConnection::set_on_peer_closed(std::function<void()> on_peer_closed) {
  on_peer_closed_ = std::move(on_peer_closed);
}

void FakeConnection::Reply(const FakeReply& reply) {
  if (is_silent_ || !socket_.is_open()) return;
  on_peer_closed_ = nullptr;
  constexpr int kHttp11 = 11;
  auto message = std::make_shared<http::response<http::string_body>>(
      static_cast<http::status>(reply.status), kHttp11);
  for (const auto& [name, value] : reply.headers) {
    message->insert(ToBoost(name), ToBoost(value));
  }
  message->body() = reply.body;
  message->prepare_payload();
  if (reply.truncate > 0) {
    message->body().resize(reply.body.size() -
                           std::min(reply.truncate, reply.body.size()));
  }
  http::async_write(
      socket_, *message,
      [self = shared_from_this(), message, close = reply.truncate > 0](
          error_code error, std::size_t) {
        if (error || close) {
          self->Close();
        } else {
          self->Read();
        }
      });
}

void FakeConnection::ReplyRaw(const std::string& bytes, bool close) {
  if (is_silent_ || !socket_.is_open()) return;
  on_peer_closed_ = nullptr;
  auto buffer = std::make_shared<std::string>(bytes);
  asio::async_write(socket_, asio::buffer(*buffer),
                    [self = shared_from_this(), buffer, close](error_code error,
                                                               std::size_t) {
                      if (error || close) {
                        self->Close();
                      } else {
                        self->Read();
                      }
                    });
}

void FakeConnection::Close() {
  error_code ignored;
  socket_.close(ignored);
  on_peer_closed_ = nullptr;
  handler_ = nullptr;
  if (!on_closed_) return;
  const auto on_closed = std::move(on_closed_);
  on_closed_ = nullptr;
  on_closed();
}

FakeHttpServer::FakeHttpServer(asio::io_context& io, Options options)
    : io_(io),
      options_(std::move(options)),
      acceptor_(io, {asio::ip::make_address("127.0.0.1"), options_.port}),
      port_(acceptor_.local_endpoint().port()) {
  Accept();
}

void FakeHttpServer::Accept() {
  acceptor_.async_accept(
      [this](error_code error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) return;
        if (!error) OnAccepted(std::move(socket));
        Accept();
      });
}

void FakeHttpServer::OnAccepted(asio::ip::tcp::socket socket) {
  const bool is_full = options_.max_connections > 0 &&
                       connections_.size() >= options_.max_connections;
  if (is_full) ++refused_count_;
  if (is_down_ || is_full) {
    // Resets the connection, as a host without a listener does.
    error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    return;
  }
  error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  auto connection = std::make_shared<FakeConnection>(std::move(socket));
  connections_.insert(connection);
  peak_connections_ = std::max(peak_connections_, connections_.size());
  auto timer = std::make_shared<asio::steady_timer>(io_, options_.connect_cost);
  timer->async_wait([this, timer, connection](error_code) {
    connection->Serve(options_.handler,
                      [this, weak = std::weak_ptr(connection)] {
                        connections_.erase(weak.lock());
                      });
  });
}

void FakeHttpServer::CloseAll() {
  const auto connections = connections_;
  for (const auto& connection : connections) connection->Close();
  connections_.clear();
}

void FakeHttpServer::SilenceAll() {
  for (const auto& connection : connections_) {
    connection->Silence();
    silenced_connections_.push_back(connection);
  }
  connections_.clear();
}

void FakeHttpServer::set_down(bool down) {
  is_down_ = down;
  if (down) CloseAll();
}

}  // namespace lacewingknot::testing
